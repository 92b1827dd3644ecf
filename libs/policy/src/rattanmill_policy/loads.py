"""Polls engines for load reports, at a rate independent of the fleet size."""

import asyncio
import contextlib
import random
from typing import Self

import aiohttp
import msgspec

from rattanmill_core import DECODE_ERRORS, start_loop
from rattanmill_platform import read_bounded
from rattanmill_policy.scheduler import Scheduler
from rattanmill_policy.speeds import LoadReport

# A report is about 500 bytes with headers, so polling uses at most 2 KB/s.
_POLL_INTERVAL_SECONDS = 0.25
_RECENT_USE_SECONDS = 10.0
_TIMEOUT_SECONDS = 2.0
# A sound report is far shorter.
MAX_REPORT_BYTES = 1024 * 1024


class LoadPoller:
    """Polls the engines in use, the least recently polled first.

    Args:
        scheduler: Receives the reports.
        session: HTTP session of the process.
    """

    def __init__(
        self, scheduler: Scheduler, session: aiohttp.ClientSession
    ) -> None:
        self.scheduler = scheduler
        self.session = session
        self.polled_at: dict[str, float] = {}
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("load reports", self._poll_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _poll_forever(self) -> None:
        while True:
            await asyncio.sleep(
                random.uniform(0.8, 1.2) * _POLL_INTERVAL_SECONDS
            )
            if name := self._next_endpoint():
                await self._poll(name)

    def _next_endpoint(self) -> str | None:
        now = asyncio.get_running_loop().time()
        states = self.scheduler.table.states
        recent = [
            name
            for name, stats in self.scheduler.state.candidates.stats.items()
            if now - stats.used < _RECENT_USE_SECONDS
            and name in states
            and states[name].endpoint.kind == "engine"
        ]
        self.polled_at = {
            n: a for n, a in self.polled_at.items() if n in states
        }
        return min(
            recent, key=lambda n: self.polled_at.get(n, 0.0), default=None
        )

    async def _poll(self, name: str) -> None:
        self.polled_at[name] = asyncio.get_running_loop().time()
        url = f"{self.scheduler.table.states[name].endpoint.url}/v1/load"
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, OSError, *DECODE_ERRORS
        ):
            async with self.session.get(url, timeout=timeout) as answer:
                data = await read_bounded(answer, MAX_REPORT_BYTES)
                report = msgspec.json.decode(data, type=LoadReport)
                if answer.status == 200 and report.slots:
                    self.scheduler.record_load_report(name, report)
