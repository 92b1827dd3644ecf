"""A storage instance alone: permissions, kept turns, restart by size.

Usage: python -m bench.keeping
"""

import asyncio
import concurrent.futures
import datetime
import multiprocessing
import pathlib
import statistics
import tempfile
import time
from collections.abc import Callable, Coroutine

import msgspec
from loguru import logger

from bench.results import report
from rattanmill_core import Metrics, wall_seconds
from rattanmill_keeper import Keeper, Members
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.messages import (
    KeptTurn,
    Open,
    Recorded,
    Reserve,
    Unsure,
)
from support.memory import MemoryKv

PAGE = pathlib.Path("docs/MEASUREMENTS.md")
_TURN_BYTES = 19_000
_TURNS = (1_000, 2_000, 4_000)
_ACCOUNTS = (10_000, 50_000)
_RESERVES = 2_000
_AT_ONCE = (1, 16, 128)
_BUDGET = 1_000_000
_RETENTION_SECONDS = 3_600.0
_PAGE_BYTES = 4_096
_METRICS = Metrics()

Fill = Callable[[Keeper, int], Coroutine]


class Restart(msgspec.Struct):
    """What reading a journal took.

    Attributes:
        records: Records of its kind.
        megabytes: Size of the journal.
        seconds: Time until all was read.
        memory: Megabytes that the process grew by.
    """

    records: int
    megabytes: float
    seconds: float
    memory: float


class Rate(msgspec.Struct):
    """Permissions given at a number of requests at a time."""

    at_once: int
    per_second: float
    p50_ms: float
    p99_ms: float


def main() -> None:
    """Measures and writes the page's section."""
    logger.remove()
    began = datetime.datetime.now(datetime.UTC)
    rates = [asyncio.run(_reserving(at_once)) for at_once in _AT_ONCE]
    turns = [_restart(_keep_turns, size) for size in _TURNS]
    accounts = [_restart(_open_accounts, size) for size in _ACCOUNTS]
    details = f"turns of {_TURN_BYTES} bytes, the disk of the temporary folder"
    tables = [
        _rates(rates),
        _restarts("turns", turns),
        _restarts("accounts", accounts),
    ]
    text = "\n\n".join(tables)
    report(PAGE, "keeping", began, details, text)


def _keeper(folder: pathlib.Path) -> Keeper:
    kv = MemoryKv()
    keeper = Keeper("a", folder, True, Members(kv), kv, _METRICS)

    async def consent(*args: object) -> Consent:
        return Consent()

    keeper.may_open = consent
    return keeper


async def _reserving(at_once: int) -> Rate:
    """Reserves as fast as the replies come."""
    took: list[float] = []
    with tempfile.TemporaryDirectory() as folder:
        async with _keeper(pathlib.Path(folder)) as keeper:
            numbers = iter(range(_RESERVES))

            async def ask() -> None:
                for number in numbers:
                    start = time.perf_counter()
                    reply = await _permit(keeper, f"p{number}")
                    took.append(time.perf_counter() - start)
                    assert isinstance(reply, Recorded), reply

            start = time.perf_counter()
            await asyncio.gather(*(ask() for _ in range(at_once)))
            seconds = time.perf_counter() - start
    cuts = statistics.quantiles(took, n=100)
    return Rate(at_once, len(took) / seconds, cuts[49] * 1e3, cuts[98] * 1e3)


async def _permit(keeper: Keeper, program: str) -> Recorded | Unsure:
    """Opens an account and records a first turn, as one holder does."""
    opened = await keeper.open(Open(program, _BUDGET, 10))
    ask = Reserve(program, "first", 10, _BUDGET, opened.place)
    return await keeper.reserve(ask)


async def _keep_turns(keeper: Keeper, count: int) -> None:
    expires = wall_seconds() + _RETENTION_SECONDS
    text = b"x" * _TURN_BYTES
    for number in range(count):
        # Texts of their own, as after reading them from the disk.
        kept = KeptTurn(f"t{number}", "", text[:-8] + b"%08d" % number, expires)
        await keeper.keep(kept)


async def _open_accounts(keeper: Keeper, count: int) -> None:
    for start in range(0, count, 500):
        await asyncio.gather(
            *(_permit(keeper, f"p{n}") for n in range(start, start + 500))
        )


def _restart(fill: Fill, count: int) -> Restart:
    """Fills a journal, ends the instance and starts it again.

    Each in a process of its own: what the first one has freed would hide what
    the second one takes.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        concurrent.futures.ProcessPoolExecutor(
            1, multiprocessing.get_context("spawn"), max_tasks_per_child=1
        ) as pool,
    ):
        pool.submit(_run, _fill, folder, fill, count).result()
        return pool.submit(_run, _reopen, folder, count).result()


def _run(work: Callable[..., Coroutine], *args: object) -> Restart | None:
    logger.remove()
    return asyncio.run(work(*args))


async def _fill(folder: str, fill: Fill, count: int) -> None:
    async with _keeper(pathlib.Path(folder)) as keeper:
        await fill(keeper, count)


async def _reopen(folder: str, count: int) -> Restart:
    size = sum(path.stat().st_size for path in _segments(folder))
    before = _resident()
    start = time.perf_counter()
    async with _keeper(pathlib.Path(folder)) as keeper:
        seconds = time.perf_counter() - start
        grown = _resident() - before
        found = len(keeper.table.held) + len(keeper.ledger.accounts)
        assert found == count, found
    return Restart(count, size / 1e6, seconds, grown / 1e6)


def _segments(folder: str) -> list[pathlib.Path]:
    return list(pathlib.Path(folder).rglob("*.journal"))


def _resident() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
    return int(pages.split()[1]) * _PAGE_BYTES


def _rates(rates: list[Rate]) -> str:
    rows = [
        f"| {r.at_once} | {r.per_second:.0f} | {r.p50_ms:.2f} |"
        f" {r.p99_ms:.2f} |"
        for r in rates
    ]
    head = "| permissions at a time | per second | p50 ms | p99 ms |"
    return "\n".join([head, "|---|---|---|---|", *rows])


def _restarts(what: str, found: list[Restart]) -> str:
    rows = [
        f"| {r.records} | {r.megabytes:.1f} | {r.seconds:.2f} |"
        f" {r.memory:.0f} |"
        for r in found
    ]
    head = f"| {what} | journal MB | restart s | memory MB |"
    return "\n".join([head, "|---|---|---|---|", *rows])


if __name__ == "__main__":
    main()
