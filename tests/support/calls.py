"""Calls with only the fields that a placement decision needs."""

from typing import Any

from rattanmill_forward.calls import Call


def make_call(number: int, **fields: Any) -> Call:
    """Returns a call with the given ``fields``."""
    return Call(
        request_id=str(number),
        method="POST",
        host="a",
        target="/",
        headers=[],
        **fields,
    )
