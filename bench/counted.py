"""A process of the system that counts its messages, for ``bench.idle``.

Usage: python -m bench.counted CHECKOUT ROLE COUNTS WITHOUT

At SIGUSR2 it writes to the file COUNTS how many messages it has sent and
taken, by kind. WITHOUT names what a front does not do: ``pings``, ``watches``
or ``nothing``.
"""

import asyncio
import collections
import importlib
import json
import pathlib
import runpy
import signal
import sys
from collections.abc import Callable

_FOREVER_SECONDS = 1e6


def main() -> None:
    """Runs the process."""
    checkout, role, counts, without = sys.argv[1:5]
    root = pathlib.Path(checkout)
    sys.path[:0] = [str(path) for path in sorted(root.glob("libs/*/src"))]
    _count_into(pathlib.Path(counts))
    _leave_out(without)
    entry = root / "platform" / "main.py"
    sys.path.insert(0, str(entry.parent))
    sys.argv = [str(entry), role]
    runpy.run_path(str(entry), run_name="__main__")


def _count_into(path: pathlib.Path) -> None:
    counts: collections.Counter[str] = collections.Counter()
    requests = importlib.import_module("rattanmill_wire.requests")
    keeper = importlib.import_module("rattanmill_keeper.keeper")
    requests.RequestLink.ask = _counted(
        requests.RequestLink.ask, counts, "sent"
    )
    # Older checkouts answer by ``serve`` alone.
    answers = "answer" if hasattr(keeper.Keeper, "answer") else "serve"
    answer = getattr(keeper.Keeper, answers)
    setattr(keeper.Keeper, answers, _counted(answer, counts, "taken"))

    def write(*args: object) -> None:
        # Whole or not at all: it is read as soon as it is there.
        new = path.with_suffix(".new")
        new.write_text(json.dumps(counts), encoding="utf-8")
        new.rename(path)

    signal.signal(signal.SIGUSR2, write)


def _counted(
    method: Callable, counts: collections.Counter, way: str
) -> Callable:
    def call(target: object, message: object, *args: object) -> object:
        counts[f"{way} {type(message).__name__}"] += 1
        return method(target, message, *args)

    return call


def _leave_out(what: str) -> None:
    async def wait(*args: object) -> None:
        await asyncio.sleep(_FOREVER_SECONDS)

    if what == "pings":
        reach = importlib.import_module("rattanmill_keeper.reach")
        reach.Reachability.ping_forever = wait
    if what == "watches":
        relayed = importlib.import_module("rattanmill_keeper.relayed")
        relayed.RelayedKv.watch = wait


if __name__ == "__main__":
    main()
