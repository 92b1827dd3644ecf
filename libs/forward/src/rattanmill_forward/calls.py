"""A caller's request and an endpoint's answer, decoded once by a dialect."""

from collections.abc import Callable

import msgspec

from rattanmill_core import Refusal
from rattanmill_forward.endpoints import Endpoint

Headers = list[tuple[str, str]]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that several requests may share."""

    digest: str
    tokens: int


class Call(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes:
        request: Id of this request; another try has another one.
        method: HTTP method.
        host: Value of ``Host``.
        target: Path and query, as the caller sent them.
        headers: Headers that endpoints get, but for those that are ours.
        body: The body, whole.
        seconds_left: How long the caller waits, from arrival.
        arrived: Loop time of arrival.
        program: Program that it belongs to, or empty.
        finish_seconds: Time left until its program should be done, or None.
        budget: Tokens that the program may use in all, or None.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Most tokens of the answer.
        expected_tokens: The caller's guess of these, or 0.
        parts: Parts of the prompt in order.
        previous: The turn that this one continues, or empty.
        affinity: What the request is about, or empty.
        last_event: Id of the last event the caller has, or empty.
    """

    request: str
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes = b""
    seconds_left: float | None = None
    arrived: float = 0.0
    program: str = ""
    finish_seconds: float | None = None
    budget: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    previous: str = ""
    affinity: str = ""
    last_event: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split("?", 1)[0]

    def unread_tokens(self, cached_tokens: int) -> int:
        """Returns what is to be read of the prompt where a part is cached."""
        return max(0, self.prompt_tokens - cached_tokens)


class Load(msgspec.Struct, frozen=True):
    """Load that an endpoint reports with an answer."""

    running: int
    waiting: int
    slots: int


class AnswerHead(msgspec.Struct):
    """Status line and headers of an endpoint's answer.

    Attributes:
        status: Status.
        headers: Headers that the caller gets.
        request: Id of the request that it answers, or empty.
        is_signed: Whether the endpoint vouches for it.
        not_run: Whether it says that the request did not run.
        other_instance: Whether another endpoint has the address by now.
        is_encoded: Whether the body is not as the endpoint made it.
        load: Load that it reports, or None.
        idle_seconds: How long it keeps an idle connection, or None.
        closes: Whether it closes the connection after this answer.
    """

    status: int
    headers: Headers
    request: str = ""
    is_signed: bool = False
    not_run: bool = False
    other_instance: bool = False
    is_encoded: bool = False
    load: Load | None = None
    idle_seconds: float | None = None
    closes: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the endpoint did what it was asked."""
        return 200 <= self.status < 300


class RefusalHead(msgspec.Struct, frozen=True):
    """A refusal in the dialect's form."""

    status: int
    headers: Headers
    body: bytes


class Dialect(msgspec.Struct, frozen=True):
    """How callers and endpoints name what a request carries.

    Attributes:
        read_call: Decodes method, target and headers; a string names what is
            wrong with them.
        endpoint_headers: Headers of a call for an endpoint, given the seconds
            left, the last event that the caller has and the bytes of the body
            (None: only its end will tell).
        read_answer: Decodes status and headers of an answer.
        write_refusal: Encodes a refusal.
    """

    read_call: Callable[[str, str, Headers], Call | str]
    endpoint_headers: Callable[
        [Call, Endpoint, float, str, int | None], Headers
    ]
    read_answer: Callable[[int, Headers], AnswerHead]
    write_refusal: Callable[[Refusal], RefusalHead]
