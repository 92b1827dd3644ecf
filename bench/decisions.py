"""Measures the time of one decision at growing numbers of endpoints.

Usage: python -m bench.decisions
"""

import asyncio
import os
import pathlib
import random
import statistics
import time

from rattanmill_core import ConfigDocument
from rattanmill_platform import Endpoint
from rattanmill_policy import (
    EndpointTable,
    LoadReport,
    Outcome,
    Placement,
    Scheduler,
    Work,
)

SIZES = (10, 100, 1000, 6300)
_CALLS = 2000
_WARM = 500
_PROGRAMS = 200
_MESSAGES = 20
_LEAST_REST = 0.001
_BUSY_LOAD = 2.0
_PAGE = pathlib.Path("docs/MEASUREMENTS.md")
_BEGIN = "<!-- decisions: begin -->"
_END = "<!-- decisions: end -->"


def _work(number: int, turn: int) -> Work:
    prefixes = [(b"shared", 500)]
    prefixes += [(b"%d/%d" % (number, i), 100) for i in range(turn + 1)]
    return Work(
        program=str(number),
        turn=turn,
        klass="default",
        workspace=str(number % 20),
        model="commentary",
        prefixes=prefixes,
        prompt_tokens=sum(tokens for _, tokens in prefixes),
        max_output_tokens=200,
    )


async def measure(size: int) -> list[float]:
    """Returns seconds of each decision, placing and learning together."""
    table = EndpointTable()
    table.refresh(
        [
            Endpoint(f"e-{n}", "engine", "bank", "a", "", ["commentary"])
            for n in range(size)
        ]
    )
    scheduler = Scheduler(table, ConfigDocument, seed=1)
    rng = random.Random(1)
    times = []
    for count in range(_WARM + _CALLS):
        work = _work(rng.randrange(_PROGRAMS), 1 + count % _MESSAGES)
        began = time.perf_counter()
        placed = await scheduler.place(work)
        assert isinstance(placed, Placement), placed
        with placed:
            placed.outcome = Outcome.ANSWERED
            placed.seconds, placed.first_token_seconds = 0.5, 0.1
            placed.prompt_tokens = work.prompt_tokens
            placed.cached_tokens = placed.expected_cached_tokens
            placed.output_tokens = 50
        times.append(time.perf_counter() - began)
        name = placed.state.endpoint.name
        scheduler.record_load_report(name, LoadReport(0, 2, 8))
        if count % 50 == 0:
            await asyncio.sleep(_LEAST_REST)
    return times[_WARM:]


def _table() -> str:
    busy = os.getloadavg()[0]
    trial = " **Trial: other work ran.**" if busy > _BUSY_LOAD else ""
    lines = [
        f"`python -m bench.decisions`, {time.strftime('%Y-%m-%d %H:%M')},"
        f" {_CALLS} calls, seed 1, load average before it {busy:.1f}.{trial}",
        "",
        "| endpoints | median us | p99 us | most us |",
        "|---|---|---|---|",
    ]
    for size in SIZES:
        times = sorted(asyncio.run(measure(size)))
        median = statistics.median(times) * 1e6
        p99 = times[int(len(times) * 0.99)] * 1e6
        most = times[-1] * 1e6
        lines.append(f"| {size} | {median:.0f} | {p99:.0f} | {most:.0f} |")
    return "\n".join(lines)


def main() -> None:
    """Writes the table of docs/MEASUREMENTS.md."""
    table = _table()
    print(table)
    text = _PAGE.read_text(encoding="utf-8")
    head, rest = text.split(_BEGIN, 1)
    tail = rest.split(_END, 1)[1]
    page = "\n".join([head + _BEGIN, table, _END + tail])
    _PAGE.write_text(page, encoding="utf-8")


if __name__ == "__main__":
    main()
