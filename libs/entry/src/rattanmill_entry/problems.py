"""Encodes refusals as HTTP problem details (RFC 9457)."""

import math

import msgspec
from aiohttp import web

from rattanmill_core import Metrics, Ran, Refusal, part_logger

_log = part_logger("answer")
_CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, omit_defaults=True):
    """JSON body of a refusal."""

    title: str
    status: int
    detail: str
    reason: str
    ran: str
    retry_after: float | None = None
    expected_turn: int | None = None


def problem_body(refusal: Refusal) -> bytes:
    """Returns the JSON body of a refusal."""
    return msgspec.json.encode(
        Problem(
            title=refusal.reason.replace("_", " ").capitalize(),
            status=refusal.status,
            detail=refusal.detail,
            reason=refusal.reason,
            ran=refusal.ran,
            retry_after=refusal.retry_after,
            expected_turn=refusal.expected_turn,
        )
    )


def record_refusal(refusal: Refusal, metrics: Metrics) -> None:
    """Counts a refusal, and logs it if the call may have run.

    The detail may quote an endpoint's response and is not logged.
    """
    metrics.refused(refusal)
    if refusal.ran is Ran.UNKNOWN:
        _log.warning("Refused as {}; it may have run.", refusal.reason)


def problem_response(refusal: Refusal, metrics: Metrics) -> web.Response:
    """Returns the HTTP response for a refusal and counts it."""
    record_refusal(refusal, metrics)
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    return web.Response(
        status=refusal.status,
        body=problem_body(refusal),
        content_type=_CONTENT_TYPE,
        headers=headers,
    )
