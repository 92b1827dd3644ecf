"""The scheduler alone, in virtual time: seconds pass at once, in order.

Endpoints are the least that can be: each call there takes a set time, or
fails. What is in doubt is the decisions, not the engines.
"""

import asyncio
import collections
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from rattanmill_core import ConfigDocument, Refusal, WorkClass
from rattanmill_platform import Endpoint
from rattanmill_policy import (
    EndpointTable,
    Outcome,
    Placement,
    Scheduler,
    Work,
)

MODEL = "commentary"


class _Selector(selectors.SelectSelector):
    """Moves the clock on instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready, after ``timeout`` of virtual time."""
        if timeout:
            self.now += timeout
        return super().select(0)


def run_virtually(work: Coroutine) -> Any:
    """Runs a coroutine on a loop in virtual time."""
    selector = _Selector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    loop.clock = selector
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_end(asyncio.all_tasks(loop)))
        loop.close()


async def _end(tasks: set[asyncio.Task]) -> None:
    """Cancels what a coroutine has left running."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def pause(seconds: float) -> None:
    """Lets virtual time pass while nothing runs, as in a stopped process."""
    asyncio.get_running_loop().clock.now += seconds


class Fleet:
    """Endpoints, the scheduler before them, and what each ran.

    Args:
        seconds: Time a call takes at each endpoint.
        make: Makes the scheduler from a table and a configuration.

    Attributes:
        failing: Names of endpoints that break each call.
        down: Names of endpoints that cannot be reached.
        ran: Calls that each endpoint was given.
        classes: Classes in force; may be replaced at any time.
    """

    def __init__(
        self,
        seconds: dict[str, float],
        make: Callable[..., Scheduler] = Scheduler,
    ) -> None:
        self.seconds = seconds
        self.failing: set[str] = set()
        self.down: set[str] = set()
        self.ran: collections.Counter[str] = collections.Counter()
        self.classes = {"default": WorkClass()}
        self.table = EndpointTable()
        self.table.refresh(
            [
                Endpoint(name, "engine", "model-bank", "a", "", [MODEL])
                for name in seconds
            ]
        )
        self.scheduler = make(
            self.table, lambda: ConfigDocument(classes=self.classes)
        )

    def limit(self, most: int) -> None:
        """Sets how many calls each endpoint may have at first."""
        for state in self.table.states.values():
            self.scheduler.known.candidates.stats_of(state).limit = most

    async def hold(self, work: Work) -> Placement | Refusal:
        """Returns a place for a call and keeps it."""
        return await self.scheduler.place(work)

    async def call(self, work: Work) -> Placement | Refusal:
        """Runs a call, with retries; returns its last place or a refusal."""
        while True:
            placed = await self.scheduler.place(work)
            if isinstance(placed, Refusal):
                return placed
            await self.finish(placed)
            if placed.outcome is Outcome.ANSWERED:
                return placed
            work.tried.append(placed.state.endpoint.name)
            if not self.scheduler.may_retry(work, placed.outcome):
                return placed

    async def finish(self, placed: Placement) -> None:
        """Runs a call that has a place to its end."""
        name = placed.state.endpoint.name
        if name in self.down:
            with placed:
                placed.outcome = Outcome.NOT_CONNECTED
            return
        self.ran[name] += 1
        with placed:
            if name in self.failing:
                await asyncio.sleep(0.01)
                placed.outcome = Outcome.BROKEN
                return
            placed.seconds = self.seconds[name]
            placed.first_token_seconds = placed.seconds / 10
            await asyncio.sleep(placed.seconds)
            placed.prompt_tokens = placed.work.prompt_tokens
            placed.cached_tokens = placed.cached_expected
            placed.output_tokens = 20
            placed.outcome = Outcome.ANSWERED


def chat_work(program: str, **fields: Any) -> Work:
    """Returns a call of a program's second turn, unless told otherwise."""
    given = {"turn": 2, "klass": "default", "output_tokens": 20} | fields
    return Work(program=program, model=MODEL, **given)


def conversation(name: str, messages: int, tokens: int = 500) -> list:
    """Returns the prefixes of a conversation."""
    return [(f"{name}/{i}".encode(), tokens) for i in range(messages)]


def with_target(seconds: float, **fields: Any) -> WorkClass:
    """Returns a class with a target."""
    return msgspec.structs.replace(
        WorkClass(), target_seconds=seconds, **fields
    )
