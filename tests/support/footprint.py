"""Memory and descriptors of a process while others use it."""

import contextlib
import os
import pathlib
import re
import threading
from typing import Self

from support.process import Process

_INTERVAL_SECONDS = 0.05
_KB = 1024


class Footprint:
    """Most memory and sockets that a process has held at a time.

    What has arrived at its sockets without being read counts as its memory.

    Attributes:
        memory_bytes: Most resident memory and unread bytes.
        sockets: Most open sockets.

    Args:
        process: The process.
    """

    def __init__(self, process: Process) -> None:
        self.process = process
        self.memory_bytes = 0
        self.sockets = 0
        self.is_done = threading.Event()
        self.thread = threading.Thread(target=self._watch, daemon=True)

    def __enter__(self) -> Self:
        # Forgets the peak that the process has had so far.
        path = pathlib.Path(f"/proc/{self.process.pid}/clear_refs")
        path.write_text("5", encoding="utf-8")
        self.thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.is_done.set()
        self.thread.join()

    def _watch(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                self._sample()
            if self.is_done.wait(_INTERVAL_SECONDS):
                return

    def _sample(self) -> None:
        inodes = self._socket_inodes()
        resident, peak = self._resident_bytes()
        held = resident + _unread_bytes(inodes)
        self.memory_bytes = max(self.memory_bytes, peak, held)
        self.sockets = max(self.sockets, len(inodes))

    def _socket_inodes(self) -> set[str]:
        folder = f"/proc/{self.process.pid}/fd"
        inodes = set()
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f"{folder}/{name}")
                if target.startswith("socket:["):
                    inodes.add(target[8:-1])
        return inodes

    def _resident_bytes(self) -> tuple[int, int]:
        """Returns the resident memory now and at its peak."""
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        text = path.read_text(encoding="utf-8")
        return (
            int(re.search(r"VmRSS:\s+(\d+) kB", text)[1]) * _KB,
            int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) * _KB,
        )


def _unread_bytes(inodes: set[str]) -> int:
    """Returns how much has arrived at sockets without being read."""
    unread = 0
    lines = pathlib.Path("/proc/net/tcp").read_text(encoding="utf-8")
    for line in lines.splitlines()[1:]:
        fields = line.split()
        if fields[9] in inodes:
            unread += int(fields[4].partition(":")[2], 16)
    return unread
