"""What a start of each program takes: from exec to listening.

Usage: python -m bench.start [NAME=CHECKOUT ...]

Without a checkout this one is measured. Several are started by turns, each
from a copy without bytecode and from one with the bytecode that
``deploy/system.toml`` has made, as the programs may not write any themselves.
"""

import compileall
import datetime
import json
import os
import pathlib
import py_compile
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

import defopt
import msgspec

from bench.results import report
from support.client import Client
from support.process import Process
from support.waiting import wait_until

PAGE = pathlib.Path("docs/CAPACITY.md")
_STARTS = 12
_HEAVIEST = 10
_PORT = 18_700
_STORE = f"127.251.0.1:{_PORT}"
_PAGE_BYTES = 4_096
_ROLES = {"front": "127.251.1.1", "storage": "127.251.1.2"}


class Tree(msgspec.Struct, frozen=True):
    """A copy of a checkout's programs.

    Attributes:
        name: What the checkout is called in the tables.
        is_compiled: Whether it has bytecode of the programs.
        root: Where the copy is.
    """

    name: str
    is_compiled: bool
    root: pathlib.Path


class Start(msgspec.Struct, frozen=True):
    """One start, from exec until all addresses are listened at.

    Attributes:
        seconds: Time.
        processor: Processor time of all threads, in seconds.
        memory: Resident memory, in megabytes.
    """

    seconds: float
    processor: float
    memory: float


def main(*checkouts: str) -> None:
    """Measures and writes the page's section.

    Args:
        checkouts: Names and root folders to compare; this one if none is
            given.
    """
    began = datetime.datetime.now(datetime.UTC)
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder)
        trees = [
            _copy(checkout, is_compiled, place)
            for checkout in checkouts or ("this=.",)
            for is_compiled in (False, True)
        ]
        with Process("store", ["standins.sitestore", _STORE], folder):
            wait_until(_store_answers, "the store answers")
            rows = [row for role in _ROLES for row in _by_turns(role, trees)]
            heavy = [_heaviest(role, trees[-1]) for role in _ROLES]
    head = (
        "| program | checkout | bytecode | time to listening, ms |"
        " processor time, ms | memory, MB |"
    )
    table = "\n".join([head, "|---|---|---|---|---|---|", *rows])
    text = "\n\n".join([table, *heavy])
    details = f"{_STARTS} starts each by turns, mean and standard deviation"
    report(PAGE, "start", began, details, text)


def _copy(checkout: str, compiled: bool, place: pathlib.Path) -> Tree:
    name, _, folder = checkout.partition("=")
    root = place / f"{name}-{compiled}"
    for part in ("libs", "platform"):
        shutil.copytree(
            pathlib.Path(folder, part),
            root / part,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        if compiled:
            compileall.compile_dir(
                root / part,
                quiet=1,
                invalidation_mode=py_compile.PycInvalidationMode.CHECKED_HASH,
            )
    return Tree(name, compiled, root)


def _store_answers() -> bool:
    return Client(_STORE).request("GET", "/faults").status == 200


def _by_turns(role: str, trees: list[Tree]) -> list[str]:
    found: dict[Tree, list[Start]] = {tree: [] for tree in trees}
    for _ in range(_STARTS):
        for tree in trees:
            found[tree].append(_start(role, tree))
    return [_row(role, tree, starts) for tree, starts in found.items()]


def _row(role: str, tree: Tree, starts: list[Start]) -> str:
    bytecode = "by the build" if tree.is_compiled else "none"
    return (
        f"| {role} | {tree.name} | {bytecode} |"
        f" {_spread([s.seconds * 1e3 for s in starts])} |"
        f" {_spread([s.processor * 1e3 for s in starts])} |"
        f" {_spread([s.memory for s in starts])} |"
    )


def _spread(values: list[float]) -> str:
    return f"{statistics.mean(values):.0f} ± {statistics.stdev(values):.0f}"


def _start(role: str, tree: Tree) -> Start:
    began = time.perf_counter()
    with _launch(role, tree, ["-B"], subprocess.DEVNULL) as process:
        _wait_started(process)
        seconds = time.perf_counter() - began
        start = Start(seconds, _processor(process.pid), _resident(process.pid))
        process.kill()
    return start


def _launch(
    role: str, tree: Tree, options: list[str], errors: int
) -> subprocess.Popen:
    """Starts a program as the platform does, with few variables."""
    variables = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    variables["RATTANMILL_NODE_FILE"] = str(_settings(role, tree))
    main_file = tree.root / "platform" / "main.py"
    return subprocess.Popen(
        [sys.executable, *options, str(main_file), role],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
        stderr=errors,
        env=variables,
    )


def _settings(role: str, tree: Tree) -> pathlib.Path:
    host = _ROLES[role]
    fields = {
        "node_name": f"{role}-1",
        "zone": "east",
        "ip": host,
        "port_range": f"{_PORT + 5},{_PORT + 9}",
        "listen_addrs.front": f"{host}:{_PORT}",
        "listen_addrs.ready": f"{host}:{_PORT + 1}",
        "platform.address": _STORE,
        "bootstrap": "true",
        "data_dir": str(tree.root / "data"),
    }
    file = tree.root / f"{role}.conf"
    file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
    return file


def _wait_started(process: subprocess.Popen) -> None:
    for line in process.stdout:
        if json.loads(line)["event"] == "started":
            return
    raise RuntimeError(f"ended with {process.wait()} before it listened")


def _processor(pid: int) -> float:
    """Returns seconds on a processor; schedstat counts nanoseconds."""
    tasks = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def _resident(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(pages.split()[1]) * _PAGE_BYTES / 1e6


def _heaviest(role: str, tree: Tree) -> str:
    """Lists the packages that took most of the imports' time."""
    options = ["-B", "-X", "importtime"]
    with tempfile.TemporaryFile("w+") as errors:
        with _launch(role, tree, options, errors.fileno()) as process:
            _wait_started(process)
            process.kill()
        errors.seek(0)
        lines = errors.read().splitlines()
    took: dict[str, int] = {}
    for line in lines:
        cost, _, module = line.removeprefix("import time:").split("|")
        if cost.strip().isdecimal():
            package = module.strip().split(".")[0]
            took[package] = took.get(package, 0) + int(cost)
    heaviest = sorted(took, key=took.get, reverse=True)[:_HEAVIEST]
    listed = ", ".join(f"{name} {took[name] / 1e3:.0f}" for name in heaviest)
    return (
        f"Heaviest imports of `{role}`, ms by themselves under"
        f" `-X importtime`, of {sum(took.values()) / 1e3:.0f}: {listed}."
    )


if __name__ == "__main__":
    defopt.run(main)
