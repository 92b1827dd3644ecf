"""Background tasks that must run on, and how tasks share the event loop."""

import asyncio
from collections.abc import Coroutine

from rattanmill_core.errors import InvariantError


def start_loop(name: str, work: Coroutine) -> asyncio.Task:
    """Starts a task that must not end except by cancellation.

    A lease that is no longer renewed, or a view that is no longer updated, has
    effects only much later and elsewhere: turns are refused, and calls go to
    previous owners. The end of the task is therefore reported immediately to
    the event loop's exception handler, as a broken invariant, and the daemon
    stops.

    Args:
        name: Name of the task's purpose, for the error message.
        work: Coroutine that runs until it is cancelled.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(lambda ended: _report_end(name, ended))
    return task


class LoopShare:
    """Lets others have the event loop after some steps in a row.

    Awaiting what is already there doesn't give the loop back: one task that
    always finds more to do holds up all others, and its own deadline.

    Attributes:
        taken: Steps since the loop was given back.

    Args:
        max_steps: Steps in a row.
    """

    def __init__(self, max_steps: int) -> None:
        self.max_steps = max_steps
        self.taken = 0

    async def step(self) -> None:
        """Counts a step, and gives the loop back after the last of a row."""
        self.taken += 1
        if self.taken >= self.max_steps:
            self.taken = 0
            await asyncio.sleep(0)


def _report_end(name: str, task: asyncio.Task) -> None:
    if task.cancelled():
        return
    error = InvariantError(f"The loop of the {name} has ended.")
    error.__cause__ = task.exception()
    task.get_loop().call_exception_handler(
        {"message": error.message, "exception": error}
    )
