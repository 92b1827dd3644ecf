"""Calls on their way to endpoints, and what is known of their attempts."""

import asyncio

import msgspec

from rattanmill_core import Ran
from rattanmill_forward.bodies import BodyStream
from rattanmill_forward.calls import Call
from rattanmill_forward.crashes import fingerprint_of
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.exchange import EndpointResponse
from rattanmill_forward.joining import StreamJoiner
from rattanmill_forward.routes import Route, RouteKind, Service

# A stream that is interrupted so often without an event between is not resumed.
_MAX_INTERRUPTIONS = 4
_DEFAULT_EVENT_COUNT = 12.0


class Job(msgspec.Struct):
    """A call that is being dispatched to an endpoint.

    Attributes:
        call: The caller's request.
        route: The route that it matched.
        service: The service whose endpoints may run it.
        body: The body for endpoints; for a turn, its whole chain.
        deadline: Loop time by which the caller must get a response.
        possible_runs: Names of the endpoints at which it may have run.
        excluded: Names of the endpoints that can't run it now.
        terminated: Names of the endpoints at which it may have run and that
            have terminated since.
        not_continued: Names of the endpoints that did not go on with it where
            its caller is.
        stream: The attempts of a stream.
        body_stream: The part of a long body that is still to arrive, or None.
        fingerprint: Hash of what stays the same when the request is sent again.
        has_begun: Whether its program has had a turn before, or None if that
            is unknown.
    """

    call: Call
    route: Route
    service: Service
    body: bytes
    deadline: float
    possible_runs: list[str] = msgspec.field(default_factory=list)
    excluded: set[str] = msgspec.field(default_factory=set)
    terminated: set[str] = msgspec.field(default_factory=set)
    not_continued: set[str] = msgspec.field(default_factory=set)
    stream: StreamJoiner = msgspec.field(default_factory=StreamJoiner)
    body_stream: BodyStream | None = None
    fingerprint: bytes = b""
    has_begun: bool | None = None

    def __post_init__(self) -> None:
        self.stream.position.last_id = self.call.last_event_id
        self.fingerprint = fingerprint_of(self.call, self.body)

    @property
    def body_bytes(self) -> int | None:
        """Size of the body, or None if it is unknown until the body ends."""
        return self.body_stream.size if self.body_stream else len(self.body)

    @property
    def can_resend(self) -> bool:
        """Whether the whole body is still buffered."""
        return self.body_stream is None or not self.body_stream.is_started

    @property
    def ran(self) -> Ran:
        """Whether the call may have run."""
        return Ran.UNKNOWN if self.possible_runs else Ran.NO

    @property
    def timing_key(self) -> str:
        """Key under which the durations of calls of this kind are averaged."""
        if self.route.kind is RouteKind.STREAM:
            return f"event/{self.service.name}"
        return f"call/{self.route.name}"

    @property
    def has_attempts_left(self) -> bool:
        """Whether one more endpoint may run the call.

        Terminated endpoints are not counted, since a call that ran on one of
        them needs another endpoint.
        """
        counted = set(self.possible_runs) - self.terminated
        return len(counted) < self.route.max_attempts

    @property
    def can_resume(self) -> bool:
        """Whether another attempt may go on with its stream."""
        return (
            self.stream.position.is_resumable
            and self.stream.interruptions < _MAX_INTERRUPTIONS
        )

    def seconds_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def expected_events(self) -> float:
        """Returns the expected number of events, or 0 if it is not a stream."""
        if self.route.kind is not RouteKind.STREAM:
            return 0.0
        engine = self.service.engine
        tokens = self.call.expected_output_tokens or self.call.max_output_tokens
        if engine is None or not tokens:
            return _DEFAULT_EVENT_COUNT
        return max(1.0, tokens / engine.tokens_per_event)


class RunningCall(msgspec.Struct):
    """A call to which an endpoint has begun to respond.

    Attributes:
        endpoint: The endpoint.
        response: The endpoint's response.
        sent_at: Loop time at which the call was sent.
        uncached_tokens: Tokens of its prompt that were not cached, as far as
            known.
        slowdown: Slowdown that the response reported, or 1.0.
        first_event_at: Loop time of the first event of a stream.
        last_event_at: Loop time of the newest event.
        event_count: Number of events of this attempt.
        first_event_id: Id of the first of these that has one, or empty.
    """

    endpoint: Endpoint
    response: EndpointResponse
    sent_at: float
    uncached_tokens: int = 0
    slowdown: float = 1.0
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    event_count: int = 0
    first_event_id: str = ""
