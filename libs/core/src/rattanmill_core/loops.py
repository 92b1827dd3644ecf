"""Tasks that must run for as long as their part does."""

import asyncio
from collections.abc import Coroutine

from rattanmill_core.errors import InvariantError


def start_loop(name: str, work: Coroutine) -> asyncio.Task:
    """Starts a task whose end, other than by being cancelled, is a fault.

    A lease that is not renewed any more, or a view that follows nothing,
    shows only much later and elsewhere: turns are refused, calls go to owners
    that have moved. So the end is reported at once, as a broken invariant, to
    the event loop's exception handler, and the daemon stops on it.

    Args:
        name: What the task keeps going, for the message.
        work: Runs until it is cancelled.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(lambda ended: _report(name, ended))
    return task


def _report(name: str, task: asyncio.Task) -> None:
    if task.cancelled():
        return
    error = InvariantError(f"The loop of the {name} has ended.")
    error.__cause__ = task.exception()
    task.get_loop().call_exception_handler(
        {"message": error.message, "exception": error}
    )
