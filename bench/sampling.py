"""Processor time and memory of a process, from the kernel's tables (Linux)."""

import os
import pathlib

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIB = 1024


def cpu_seconds(pid: int) -> float:
    """Returns the processor time a process has used, user and system."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def memory_bytes(pid: int) -> int:
    """Returns the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KIB
    return 0
