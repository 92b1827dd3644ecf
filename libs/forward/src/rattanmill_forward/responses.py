"""Helpers for responses to callers and their log lines."""

from rattanmill_forward import web
from rattanmill_forward.calls import Headers


def set_headers(response: web.StreamResponse, headers: Headers) -> None:
    """Sets headers; repeated ones are kept apart."""
    if any(name.lower() == "content-type" for name, _ in headers):
        response.headers.popall("Content-Type", None)
    for name, value in headers:
        response.headers.add(name, value)


def rounded_ms(seconds: float | None) -> int | None:
    """Returns seconds in whole milliseconds."""
    return None if seconds is None else round(seconds * 1000)
