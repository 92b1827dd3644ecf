"""Waits on conditions instead of for times."""

import time
from collections.abc import Callable
from typing import TypeVar

_T = TypeVar("_T")
_PAUSE_SECONDS = 0.02


def wait_until(
    condition: Callable[[], _T],
    what: str | Callable[[], str],
    seconds: float = 30.0,
) -> _T:
    """Returns the first true value of ``condition``.

    Raises:
        AssertionError: It stayed false for ``seconds``, which is far beyond
            what it takes.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if value := condition():
            return value
        time.sleep(_PAUSE_SECONDS)
    text = what if isinstance(what, str) else what()
    raise AssertionError(f"Not within {seconds:.0f} s: {text}")
