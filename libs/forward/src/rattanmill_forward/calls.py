"""Callers' requests and endpoints' responses, decoded once by a codec."""

import enum
import urllib.parse
from collections.abc import Callable

import msgspec

from rattanmill_core import Refusal
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.workspaces import Workspace
from rattanmill_keeper import RateLimit, Token

Headers = list[tuple[str, str]]

_EVENT_STREAM = "text/event-stream"


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share."""

    digest: str
    tokens: int


class Call(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes:
        request_id: Id of this request; a retry has another one.
        method: HTTP method.
        host: Value of ``Host``.
        target: Path and query, as the caller sent them.
        headers: Headers to forward, without those that this system sets.
        body: The body, whole or the buffered part of it.
        timeout_seconds: How long the caller waits, from arrival, or None.
        arrived_at: Loop time of arrival.
        program: Program that it belongs to, or empty.
        program_seconds_left: Time left until its program should be done, or
            None.
        token_budget: Tokens that the program may use in all, or None.
        prompt_tokens: Tokens of the prompt.
        max_output_tokens: Maximum tokens of the response.
        expected_output_tokens: The caller's estimate of these, or 0.
        prompt_parts: Parts of the prompt in order.
        previous_turn_id: The turn that this one continues, or empty.
        affinity_key: Key of the subject of the request, or empty.
        last_event_id: Id of the last event the caller has, or empty.
        key: The caller's key, or empty. Cleared once it was looked up.
        key_headers: Headers that carry the key. Forwarded only if callers need
            no keys, as these headers then belong to the endpoint.
        workspace: Workspace of the caller, or None.
        rate_limit: Rate limit under which ``rate_token`` was taken, or None.
        rate_token: Token for one run within that limit, or None.
        scope: Prefix that keeps the ids of different workspaces apart, see
            ``scoped``.
        undecodable: Names of its headers that could not be decoded.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes = b""
    timeout_seconds: float | None = None
    arrived_at: float = 0.0
    program: str = ""
    program_seconds_left: float | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    previous_turn_id: str = ""
    affinity_key: str = ""
    last_event_id: str = ""
    key: str = ""
    key_headers: Headers = []
    workspace: Workspace | None = None
    scope: str = ""
    rate_limit: RateLimit | None = None
    rate_token: Token | None = None
    undecodable: tuple[str, ...] = ()

    def scoped(self, caller_id: str) -> str:
        """Returns an id chosen by the caller, made unique over workspaces.

        Otherwise one workspace could continue the turns, or use up the budget,
        of another one by sending its ids.
        """
        return self.scope + caller_id if caller_id else ""

    def assign_workspace(self, workspace: Workspace | None) -> None:
        """Sets the workspace; None for a caller that needs no key.

        The key is not kept.
        """
        self.workspace = workspace
        self.key = ""
        self.key_headers = []
        name = urllib.parse.quote(workspace.name, safe="") if workspace else ""
        self.scope = f"{name}:"

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split("?", 1)[0]

    def uncached_tokens(self, cached_tokens: int) -> int:
        """Returns the prompt tokens to be read where a part is cached."""
        return max(0, self.prompt_tokens - cached_tokens)


class Load(msgspec.Struct, frozen=True):
    """Load that an endpoint reports with a response.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait for a slot.
        slots: Maximum number of concurrent requests.
        slowdown: How long work takes there at this moment relative to the
            usual time, or None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class Framing(enum.StrEnum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection_end"


class ResponseHead(msgspec.Struct):
    """Status line and headers of an endpoint's response.

    Attributes:
        status: Status code.
        headers: Headers to forward to the caller.
        request_id: Id of the request that it answers, or empty.
        is_signed: Whether the endpoint has signed it.
        not_run: Whether it states that the request did not run.
        is_misdirected: Whether another endpoint has the address now.
        is_encoded: Whether the body was encoded on the way.
        framing: What marks the end of the body.
        content_type: Media type of the body without parameters, in lower case,
            or empty.
        load: Load that it reports, or None.
        idle_timeout_seconds: How long the endpoint keeps an idle connection, or
            None.
        closes_connection: Whether the endpoint closes the connection after this
            response.
        undecodable: Names of its headers that could not be decoded.
    """

    status: int
    headers: Headers
    request_id: str = ""
    is_signed: bool = False
    not_run: bool = False
    is_misdirected: bool = False
    is_encoded: bool = False
    framing: Framing = Framing.CHUNKS
    content_type: str = ""
    load: Load | None = None
    idle_timeout_seconds: float | None = None
    closes_connection: bool = False
    undecodable: tuple[str, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether the status code is 2xx."""
        return 200 <= self.status < 300

    @property
    def slowdown(self) -> float:
        """The slowdown that it reports, or 1.0 if it reports none."""
        return (self.load and self.load.slowdown) or 1.0

    @property
    def is_delimited(self) -> bool:
        """Whether the body marks its end itself."""
        return self.framing is not Framing.CONNECTION_END

    @property
    def stream_type(self) -> str:
        """Media type of the body, if it is the response of a stream."""
        return self.content_type or _EVENT_STREAM

    @property
    def is_event_stream(self) -> bool:
        """Whether the body consists of events, if it is that of a stream."""
        return self.stream_type == _EVENT_STREAM


class RefusalResponse(msgspec.Struct, frozen=True):
    """A refusal encoded as an HTTP response."""

    status: int
    headers: Headers
    body: bytes


class HttpCodec(msgspec.Struct, frozen=True):
    """Encodes and decodes what HTTP requests and responses carry.

    Attributes:
        decode_call: Decodes method, target and headers; returns a string that
            describes the error if they are invalid.
        endpoint_headers: Returns the headers of a call for an endpoint, given
            the seconds left, the id of the last event that the caller has, the
            size of the body in bytes (None if it is unknown until the body
            ends), and the priority (None if it has none).
        decode_response: Decodes status and headers of a response.
        encode_refusal: Encodes a refusal.
    """

    decode_call: Callable[[str, str, Headers], Call | str]
    endpoint_headers: Callable[
        [Call, Endpoint, float, str, int | None, int | None], Headers
    ]
    decode_response: Callable[[int, Headers], ResponseHead]
    encode_refusal: Callable[[Refusal], RefusalResponse]
