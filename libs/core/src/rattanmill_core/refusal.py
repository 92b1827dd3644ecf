"""Refusals: outcomes of requests that received no endpoint response.

Each refusal has a stable reason, whether the request ran, and when to retry.
The HTTP representation is problem details (RFC 9457).
"""

import enum

import msgspec


class Ran(enum.StrEnum):
    """Whether a refused request was executed by an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Reason(enum.StrEnum):
    """Stable reasons; each has a row in ``_RULES`` and in docs/METRICS.md."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    HEADERS_TOO_LARGE = "headers_too_large"
    HEADERS_TOO_SLOW = "headers_too_slow"
    NO_ROUTE = "no_route"
    UNKNOWN_TURN = "unknown_turn"
    TURN_UNSURE = "turn_unsure"
    TURN_UNKEPT = "turn_unkept"
    NOT_CONFIGURED = "not_configured"
    CONFIG_STALE = "config_stale"
    NO_SUCH_CALL = "no_such_call"
    UNAUTHORIZED = "unauthorized"
    FOREIGN_PROGRAM = "foreign_program"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PROGRAM = "unknown_program"
    PROGRAM_ENDED = "program_ended"
    TURN_CONFLICT = "turn_conflict"
    TURN_GAP = "turn_gap"
    RECEIPT_INVALID = "receipt_invalid"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNRESERVED = "budget_unreserved"
    RATE_LIMITED = "rate_limited"
    RATE_UNKNOWN = "rate_unknown"
    LOOP_SUSPECTED = "loop_suspected"
    ACT_CONFLICT = "act_conflict"
    ACT_UNKNOWN = "act_unknown"
    ANSWER_NOT_KEPT = "answer_not_kept"
    STORE_UNAVAILABLE = "store_unavailable"
    OWNERSHIP_LOST = "ownership_lost"
    OWNER_UNREACHABLE = "owner_unreachable"
    NOT_OWNER = "not_owner"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    MEMORY_EXHAUSTED = "memory_exhausted"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    ENDPOINT_FAILED = "endpoint_failed"
    ANSWER_CUT = "answer_cut"
    SHUTTING_DOWN = "shutting_down"
    CONFIG_CONFLICT = "config_conflict"
    CONFIG_INVALID = "config_invalid"
    UNKNOWN_CONFIG = "unknown_config"
    INTERNAL = "internal"


class _Rule(msgspec.Struct, frozen=True):
    """HTTP status and the defaults of ``ran`` and ``retry_after``."""

    status: int
    ran: Ran = Ran.NO
    retry_after: float | None = None


_RULES = {
    Reason.BAD_REQUEST: _Rule(400),
    Reason.BODY_TOO_LARGE: _Rule(413),
    Reason.BODY_TOO_SLOW: _Rule(408),
    Reason.HEADERS_TOO_LARGE: _Rule(431),
    Reason.HEADERS_TOO_SLOW: _Rule(408),
    Reason.NO_ROUTE: _Rule(404),
    Reason.UNKNOWN_TURN: _Rule(404),
    Reason.TURN_UNSURE: _Rule(503, retry_after=0.5),
    Reason.TURN_UNKEPT: _Rule(503, retry_after=1.0),
    Reason.NOT_CONFIGURED: _Rule(503, retry_after=1.0),
    Reason.CONFIG_STALE: _Rule(503, retry_after=0.5),
    Reason.NO_SUCH_CALL: _Rule(404),
    Reason.UNAUTHORIZED: _Rule(401),
    Reason.FOREIGN_PROGRAM: _Rule(403),
    Reason.UNKNOWN_CLASS: _Rule(422),
    Reason.UNKNOWN_MODEL: _Rule(404),
    Reason.UNKNOWN_SERVICE: _Rule(404),
    Reason.UNKNOWN_PROGRAM: _Rule(404),
    Reason.PROGRAM_ENDED: _Rule(410),
    Reason.TURN_CONFLICT: _Rule(409),
    Reason.TURN_GAP: _Rule(409),
    Reason.RECEIPT_INVALID: _Rule(422),
    Reason.BUDGET_EXHAUSTED: _Rule(402),
    Reason.BUDGET_UNRESERVED: _Rule(503, retry_after=2.0),
    Reason.RATE_LIMITED: _Rule(429, retry_after=0.5),
    Reason.RATE_UNKNOWN: _Rule(503, retry_after=0.5),
    Reason.LOOP_SUSPECTED: _Rule(409),
    Reason.ACT_CONFLICT: _Rule(409),
    Reason.ACT_UNKNOWN: _Rule(409, Ran.UNKNOWN),
    Reason.ANSWER_NOT_KEPT: _Rule(409, Ran.YES),
    Reason.STORE_UNAVAILABLE: _Rule(503, retry_after=2.0),
    Reason.OWNERSHIP_LOST: _Rule(503, Ran.UNKNOWN, 1.0),
    Reason.OWNER_UNREACHABLE: _Rule(503, retry_after=1.0),
    Reason.NOT_OWNER: _Rule(503, retry_after=1.0),
    Reason.NO_ENDPOINT: _Rule(503, retry_after=1.0),
    Reason.OVERLOADED: _Rule(429, retry_after=1.0),
    Reason.MEMORY_EXHAUSTED: _Rule(503, retry_after=1.0),
    Reason.DEADLINE: _Rule(504, Ran.UNKNOWN),
    Reason.QUARANTINED: _Rule(422),
    Reason.ENDPOINT_FAILED: _Rule(502, Ran.UNKNOWN, 1.0),
    Reason.ANSWER_CUT: _Rule(502, Ran.UNKNOWN, 1.0),
    Reason.SHUTTING_DOWN: _Rule(503, retry_after=0.5),
    Reason.CONFIG_CONFLICT: _Rule(409),
    Reason.CONFIG_INVALID: _Rule(422),
    Reason.UNKNOWN_CONFIG: _Rule(404),
    Reason.INTERNAL: _Rule(500, Ran.UNKNOWN),
}


class Refusal(msgspec.Struct, frozen=True):
    """A refusal that can be sent to a caller or to another instance.

    Attributes:
        reason: Stable reason, see ``Reason``.
        ran: Whether the request was executed.
        detail: One human-readable sentence.
        retry_after: Seconds after which to retry, or None.
        expected_turn: Next turn that the program expects, for refusals of a
            wrong turn.
    """

    reason: Reason
    ran: Ran
    detail: str
    retry_after: float | None = None
    expected_turn: int | None = None

    @property
    def status(self) -> int:
        """HTTP status for this refusal."""
        return _RULES[self.reason].status

    def after(self, ran: Ran) -> "Refusal":
        """Returns this refusal, combined with the outcome of earlier attempts.

        A last attempt that was never sent does not cancel an earlier one:
        with "not run" for the last attempt alone, the caller would resend a
        request that may have run.
        """
        if self.ran is not Ran.NO or ran is Ran.NO:
            return self
        return msgspec.structs.replace(self, ran=ran)


def refuse(
    reason: Reason,
    detail: str,
    *,
    ran: Ran | None = None,
    retry_after: float | None = None,
    expected_turn: int | None = None,
) -> Refusal:
    """Creates a refusal, with defaults that depend on its reason."""
    rule = _RULES[reason]
    return Refusal(
        reason,
        rule.ran if ran is None else ran,
        detail,
        rule.retry_after if retry_after is None else retry_after,
        expected_turn,
    )
