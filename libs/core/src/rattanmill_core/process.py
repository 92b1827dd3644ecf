"""Code for every process: signals and fatal errors."""

import asyncio
import signal
from collections.abc import Callable

from rattanmill_core.errors import InvariantError
from rattanmill_core.events import log_event, warn_event


class Signals:
    """Handles signals and fatal errors of this process.

    Attributes:
        stop: Set when the process should stop.
        invariant_error: The broken invariant that stops the process, or None.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.invariant_error: InvariantError | None = None

    def install(self, on_reload: Callable[[], None]) -> None:
        """Installs handlers for signals and for unexpected ends of tasks."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, on_reload)
        loop.set_exception_handler(self._on_error)

    def _stop(self, name: str) -> None:
        log_event("stopping", signal=name)
        self.stop.set()

    def _on_error(self, loop: asyncio.AbstractEventLoop, context: dict) -> None:
        error = context.get("exception")
        warn_event(
            "task_failed",
            message=context.get("message"),
            error=repr(error),
            cause=repr(getattr(error, "__cause__", None)),
        )
        if isinstance(error, InvariantError):
            self.invariant_error = error
            self.stop.set()
