"""One process of a stack: started, killed, paused by its own id."""

import os
import pathlib
import signal
import subprocess
import sys
from typing import Self


class Process:
    """A child process whose output goes to a file.

    Attributes:
        name: Name of the process and its log file.
        log: File that gets its output.
    """

    def __init__(self, name: str, arguments: list[str], folder: str) -> None:
        self.name = name
        self.log = pathlib.Path(folder, f"{name}.log")
        self.arguments = [sys.executable, "-m", *arguments]
        self.process: subprocess.Popen | None = None

    def __enter__(self) -> Self:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.kill()

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Whether it runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def state(self) -> str:
        """In words: whether it runs, or how it ended."""
        if self.process is None:
            return "not started"
        code = self.process.poll()
        return "running" if code is None else f"ended with {code}"

    def kill(self) -> None:
        """Ends it at once."""
        if self.process and self.alive:
            self.process.send_signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def terminate(self) -> None:
        """Asks it to end; does not wait."""
        if self.process:
            self.process.terminate()

    def wait(self, seconds: float = 60.0) -> int:
        """Waits for its end and returns its exit code."""
        assert self.process is not None
        return self.process.wait(seconds)

    def pause(self) -> None:
        """Freezes it, as a stalled machine would."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def tail(self, lines: int = 30) -> str:
        """Returns the last lines of its output."""
        if not self.log.exists():
            return ""
        text = self.log.read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
