"""Runs all features, several files at a time, and prints one verdict.

Each feature file is a behave run of its own with its own stack. Scenarios in
KNOWN-RED.txt are printed and skipped. Arguments name feature files.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

import msgspec

_FEATURES = pathlib.Path("tests/features")
_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
_AT_ONCE = 4
_SECONDS = 1200


class Result(msgspec.Struct):
    """Scenarios of one feature file by verdict."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0


def known_red() -> list[str]:
    """Returns names of scenarios that are known to fail."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [
        line.split("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    ]


def run_feature(path: pathlib.Path) -> Result:
    """Runs one feature file and prints its output if it failed."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [
            sys.executable,
            "-m",
            "behave",
            str(path),
            "--format=json.pretty",
            f"--outfile={report.name}",
            "--format=progress3",
            "--outfile=-",
        ]
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=_SECONDS,
            env={**os.environ, "KNOWN_RED": "\n".join(known_red())},
            check=False,
        )
        result = read_report(pathlib.Path(report.name))
    if done.returncode and not result.failed:
        result.failed += 1
    verdict = "ok" if not result.failed else "FAILED"
    print(f"{verdict:7}{path.name}: {result.passed} passed", flush=True)
    if result.failed:
        print(done.stdout[-20_000:], done.stderr[-5000:], flush=True)
    return result


def read_report(path: pathlib.Path) -> Result:
    """Counts scenarios in behave's JSON report."""
    result = Result()
    try:
        features = json.loads(path.read_text(encoding="utf-8") or "[]")
    except json.JSONDecodeError:
        return Result(failed=1)
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            match element.get("status"):
                case "passed":
                    result.passed += 1
                case "skipped":
                    result.skipped += 1
                case _:
                    result.failed += 1
    return result


def main() -> int:
    """Runs the features; returns the exit code."""
    paths = [pathlib.Path(a) for a in sys.argv[1:]]
    paths = paths or sorted(_FEATURES.glob("*.feature"))
    for name in known_red():
        print(f"Known to fail, not run: {name}")
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        results = list(pool.map(run_feature, paths))
    passed = sum(r.passed for r in results)
    failed = sum(r.failed for r in results)
    skipped = sum(r.skipped for r in results)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
