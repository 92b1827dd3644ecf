"""Bounded load from one asyncio process."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec

_SECONDS = 120.0


class Timing(msgspec.Struct):
    """Seconds that each call took, and how many failed."""

    seconds: list[float]
    failed: int
    elapsed: float

    def quantile(self, share: float) -> float:
        """Returns the time that ``share`` of the calls stayed within."""
        ordered = sorted(self.seconds)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


Call = Callable[[aiohttp.ClientSession, int], Awaitable[bool]]


def session() -> aiohttp.ClientSession:
    """Returns a session for load; the number of connections is bounded."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=512),
        timeout=aiohttp.ClientTimeout(total=_SECONDS),
    )


async def open_loop(call: Call, rate: float, seconds: float) -> Timing:
    """Starts ``rate`` calls a second, whether or not earlier ones ended."""
    timing = Timing([], 0, 0.0)
    began = time.monotonic()
    async with session() as http:
        tasks = []
        for number in range(int(rate * seconds)):
            pause = began + number / rate - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            tasks.append(
                asyncio.create_task(_timed(call, http, number, timing))
            )
        await asyncio.gather(*tasks)
    timing.elapsed = time.monotonic() - began
    return timing


async def closed_loop(call: Call, count: int, at_once: int) -> Timing:
    """Makes ``count`` calls, ``at_once`` of them at any time."""
    timing = Timing([], 0, 0.0)
    numbers = iter(range(count))
    began = time.monotonic()

    async def work(http: aiohttp.ClientSession) -> None:
        for number in numbers:
            await _timed(call, http, number, timing)

    async with session() as http:
        await asyncio.gather(*(work(http) for _ in range(at_once)))
    timing.elapsed = time.monotonic() - began
    return timing


async def _timed(
    call: Call, http: aiohttp.ClientSession, number: int, timing: Timing
) -> None:
    began = time.monotonic()
    try:
        done = await call(http, number)
    except (aiohttp.ClientError, OSError, TimeoutError):
        done = False
    if done:
        timing.seconds.append(time.monotonic() - began)
    else:
        timing.failed += 1
