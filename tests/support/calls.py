"""Calls as a front decodes them, with as little as a decision needs."""

from typing import Any

from rattanmill_forward.calls import Call


def make_call(number: int, **fields: Any) -> Call:
    """Returns a call; ``fields`` say what matters about it."""
    return Call(
        request_id=str(number),
        method="POST",
        host="a",
        target="/",
        headers=[],
        **fields,
    )
