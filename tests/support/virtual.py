"""Runs the scheduler alone in virtual time, in which waiting takes no time.

Endpoints are minimal: each call takes a fixed time or fails. The tests check
the scheduler's decisions, not the engines.
"""

import asyncio
import collections
import contextlib
import selectors
from collections.abc import Callable, Coroutine, Iterator
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


class _VirtualClockSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        """Returns the ready events after ``timeout`` of virtual time."""
        if timeout:
            self.now += timeout
        return super().select(0)


def run_virtually(work: Coroutine) -> Any:
    """Runs a coroutine on an event loop with virtual time."""
    with virtual_loop() as loop:
        return loop.run_until_complete(work)


@contextlib.contextmanager
def virtual_loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Provides an event loop with virtual time."""
    selector = _VirtualClockSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now
    loop.clock = selector
    try:
        yield loop
    finally:
        loop.run_until_complete(_cancel_all(asyncio.all_tasks(loop)))
        loop.close()


async def _cancel_all(tasks: set[asyncio.Task]) -> None:
    """Cancels the tasks that a coroutine has left running."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def advance_clock(seconds: float) -> None:
    """Advances virtual time while nothing runs, as in a stopped process."""
    asyncio.get_running_loop().clock.now += seconds


class Fleet:
    """Endpoints, the scheduler in front of them, and the calls each ran.

    Args:
        seconds: Duration of a call at each endpoint.
        make_scheduler: Creates the scheduler from a table and a configuration.

    Attributes:
        failing: Names of endpoints that break each call.
        down: Names of endpoints that cannot be reached.
        run_counts: Number of calls that each endpoint ran.
        classes: Classes in force; may be replaced at any time.
    """

    def __init__(
        self,
        seconds: dict[str, float],
        make_scheduler: Callable[..., Scheduler] = Scheduler,
    ) -> None:
        self.seconds = seconds
        self.failing: set[str] = set()
        self.down: set[str] = set()
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.classes = {"default": WorkClass()}
        self.table = EndpointTable()
        self.table.refresh(
            [
                Endpoint(name, "engine", "model-bank", "a", "", [MODEL])
                for name in seconds
            ]
        )
        self.scheduler = make_scheduler(
            self.table, lambda: ConfigDocument(classes=self.classes)
        )

    def set_limit(self, limit: int) -> None:
        """Sets the initial concurrency limit of each endpoint."""
        for state in self.table.states.values():
            self.scheduler.state.candidates.stats_of(state).limit = limit

    async def hold(self, work: Work) -> Placement | Refusal:
        """Returns a placement for a call without running it."""
        return await self.scheduler.place(work)

    async def call(self, work: Work) -> Placement | Refusal:
        """Runs a call with retries; returns its last placement or a refusal."""
        while True:
            placement = await self.scheduler.place(work)
            if isinstance(placement, Refusal):
                return placement
            await self.finish(placement)
            if placement.outcome is Outcome.ANSWERED:
                return placement
            work.tried.append(placement.state.endpoint.name)
            if not self.scheduler.may_retry(work, placement.outcome):
                return placement

    async def finish(self, placement: Placement) -> None:
        """Runs a placed call to its end."""
        name = placement.state.endpoint.name
        if name in self.down:
            with placement:
                placement.outcome = Outcome.NOT_CONNECTED
            return
        self.run_counts[name] += 1
        with placement:
            if name in self.failing:
                await asyncio.sleep(0.01)
                placement.outcome = Outcome.BROKEN
                return
            placement.seconds = self.seconds[name]
            placement.first_token_seconds = placement.seconds / 10
            await asyncio.sleep(placement.seconds)
            placement.prompt_tokens = placement.work.prompt_tokens
            placement.cached_tokens = placement.expected_cached_tokens
            placement.output_tokens = 20
            placement.outcome = Outcome.ANSWERED


def chat_work(program: str, **fields: Any) -> Work:
    """Returns a call of a program's second turn, with ``fields`` replaced."""
    given = {"turn": 2, "klass": "default", "max_output_tokens": 20} | fields
    return Work(program=program, model=MODEL, **given)


def conversation_prefixes(name: str, messages: int, tokens: int = 500) -> list:
    """Returns the prefixes of a conversation."""
    return [(f"{name}/{i}".encode(), tokens) for i in range(messages)]


def class_with_target(seconds: float, **fields: Any) -> WorkClass:
    """Returns a class with a target."""
    return msgspec.structs.replace(
        WorkClass(), target_seconds=seconds, **fields
    )
