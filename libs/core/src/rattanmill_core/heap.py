"""What this process takes of its machine's memory, and gives back of it."""

import ctypes
import functools
import os
import pathlib
from collections.abc import Callable

# Parameters of the C library's ``mallopt``.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3
_LARGE_BLOCK_BYTES = 128 * 1024
_PAGES_FILE = pathlib.Path("/proc/self/statm")


def return_large_blocks() -> None:
    """Has the C library return large blocks of memory as they are freed.

    By default it raises its thresholds with the blocks that it sees, and keeps
    hundreds of megabytes after a few rounds of large bodies.
    """
    mallopt = _c_function("mallopt")
    mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
    mallopt(_TRIM_THRESHOLD, _LARGE_BLOCK_BYTES)


def trim() -> None:
    """Has the C library return the free memory between blocks in use."""
    _c_function("malloc_trim")(0)


def resident_bytes() -> int | None:
    """Returns how much memory the process takes; None if that isn't known."""
    try:
        pages = int(_PAGES_FILE.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")


@functools.cache
def _c_function(name: str) -> Callable:
    """Returns a function of the C library, or one that does nothing."""
    try:
        return getattr(ctypes.CDLL(None), name)
    except (AttributeError, OSError):
        return lambda *args: None
