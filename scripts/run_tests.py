"""Runs all features, several files at a time, and prints one verdict.

Each feature file is a behave run of its own with its own stack. Those that
measure the memory of processes run after all others, one at a time. Scenarios
in KNOWN-RED.txt are printed and skipped. Arguments name feature files.
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
_SERIAL_FEATURES = _FEATURES / "serial"
_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
_AT_ONCE = 4
_SECONDS = 1200
# The first failure of a feature is what led to the others.
_FIRST_LETTERS = 40_000
_LAST_LETTERS = 20_000


class Result(msgspec.Struct):
    """Scenarios of one feature file by verdict.

    Attributes:
        passed: Scenarios that passed.
        failed: Scenarios that failed, or whose feature broke off.
        skipped: Scenarios that were not run.
        failures: One line for each that failed.
    """

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    failures: list[str] = []


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
        result.failures.append(f"{path.name}: ended with {done.returncode}")
    verdict = "ok" if not result.failed else "FAILED"
    print(f"{verdict:7}{path.name}: {result.passed} passed", flush=True)
    if result.failed:
        print(shortened(done.stdout), shortened(done.stderr), flush=True)
    return result


def shortened(text: str) -> str:
    """Returns a text without its middle if it is long."""
    cut = len(text) - _FIRST_LETTERS - _LAST_LETTERS
    if cut <= 0:
        return text
    first, last = text[:_FIRST_LETTERS], text[-_LAST_LETTERS:]
    return f"{first}\n[{cut} letters left out]\n{last}"


def read_report(path: pathlib.Path) -> Result:
    """Counts scenarios in behave's JSON report."""
    result = Result()
    try:
        features = json.loads(path.read_text(encoding="utf-8") or "[]")
    except json.JSONDecodeError as error:
        return Result(failed=1, failures=[f"no report: {error}"])
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
                    result.failures.append(describe(element))
    return result


def describe(element: dict) -> str:
    """Returns where and why a scenario failed, in one line."""
    failed = (
        step
        for step in element.get("steps", [])
        if step.get("result", {}).get("status") in ("failed", "error")
    )
    step = next(failed, {"name": "no step", "result": {}})
    message = step["result"].get("error_message", "")
    lines = message.splitlines() if isinstance(message, str) else message
    # A traceback tells at its end, a failed check at its beginning.
    line = (
        lines[-1] if lines and "Traceback" in lines[0] else "".join(lines[:1])
    )
    place = f"{element['location']} {element['name']}"
    return f"{place}: {step['name']}: {line.strip()}"


def main() -> int:
    """Runs the features; returns the exit code."""
    paths = [pathlib.Path(a) for a in sys.argv[1:]]
    paths = paths or [
        *sorted(_FEATURES.glob("*.feature")),
        *sorted(_SERIAL_FEATURES.glob("*.feature")),
    ]
    serial = [p for p in paths if p.parent.name == _SERIAL_FEATURES.name]
    for name in known_red():
        print(f"Known to fail, not run: {name}")
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        others = [path for path in paths if path not in serial]
        results = list(pool.map(run_feature, others))
    results += map(run_feature, serial)
    passed = sum(r.passed for r in results)
    failed = sum(r.failed for r in results)
    skipped = sum(r.skipped for r in results)
    for result in results:
        for failure in result.failures:
            print(f"Failed: {failure}")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
