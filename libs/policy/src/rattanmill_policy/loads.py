"""Reads engines' load reports, at a rate that does not grow with the fleet."""

import asyncio
import contextlib
import random
from typing import Self

import aiohttp
import msgspec

from rattanmill_core import start_loop
from rattanmill_policy.scheduler import Scheduler
from rattanmill_policy.speeds import LoadReport

# With headers a report is about 500 bytes: 2 KB a second at most.
_PAUSE_SECONDS = 0.25
_RECENT_SECONDS = 10.0
_CALL_SECONDS = 2.0


class LoadReports:
    """Asks the engines in use for their load, the longest unasked first.

    Args:
        scheduler: Gets the reports.
        session: HTTP session of the process.
    """

    def __init__(
        self, scheduler: Scheduler, session: aiohttp.ClientSession
    ) -> None:
        self.scheduler = scheduler
        self.session = session
        self.asked: dict[str, float] = {}
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("load reports", self._ask_for_ever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _ask_for_ever(self) -> None:
        while True:
            await asyncio.sleep(random.uniform(0.8, 1.2) * _PAUSE_SECONDS)
            if name := self._next():
                await self._ask(name)

    def _next(self) -> str | None:
        now = asyncio.get_running_loop().time()
        states = self.scheduler.table.states
        recent = [
            name
            for name, stats in self.scheduler.known.candidates.stats.items()
            if now - stats.used < _RECENT_SECONDS
            and name in states
            and states[name].endpoint.kind == "engine"
        ]
        self.asked = {n: a for n, a in self.asked.items() if n in states}
        return min(recent, key=lambda n: self.asked.get(n, 0.0), default=None)

    async def _ask(self, name: str) -> None:
        self.asked[name] = asyncio.get_running_loop().time()
        url = f"{self.scheduler.table.states[name].endpoint.url}/v1/load"
        timeout = aiohttp.ClientTimeout(total=_CALL_SECONDS)
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError
        ):
            async with self.session.get(url, timeout=timeout) as answer:
                data = await answer.read()
                report = msgspec.json.decode(data, type=LoadReport)
                if answer.status == 200 and report.slots:
                    self.scheduler.take_report(name, report)
