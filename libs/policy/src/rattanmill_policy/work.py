"""Calls to be placed by the scheduler, and their placements."""

import asyncio
from collections.abc import Callable
from typing import Self

import msgspec

from rattanmill_policy.outcome import Outcome
from rattanmill_policy.table import EndpointState


class Work(msgspec.Struct, kw_only=True):
    """A call that needs an endpoint.

    Attributes:
        program: Program id, or a unique id for a call without a program.
        parent: Program of which this one is a sub-agent, or empty.
        turn: Number of the call in its program, from 1.
        klass: Class of work.
        workspace: Workspace of the caller.
        model: Requested model, or empty for a plain service.
        service: Requested plain service, or empty for an engine.
        prefixes: Digest and tokens of each message of the prompt; the digest
            covers the prefix that ends with it.
        prompt_tokens: Estimated tokens of the whole prompt.
        max_output_tokens: Maximum tokens of the answer.
        seconds_left: Time until the caller's deadline, at the first try.
        age_seconds: Time since the program started, at the first try.
        attained_seconds: Service that the program has received so far.
        body_digest: Digest of the body, used to recognize a repeated call.
        tried: Endpoints at which this call has failed.
        runs: Number of tries that may have run the call.
        started_at: Loop time of the first try; set by the scheduler.
        deadline: Loop time of the caller's deadline; set by the scheduler.
    """

    program: str
    parent: str = ""
    turn: int = 1
    klass: str = ""
    workspace: str = ""
    model: str = ""
    service: str = ""
    prefixes: list[tuple[bytes, int]] = msgspec.field(default_factory=list)
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    seconds_left: float = 600.0
    age_seconds: float = 0.0
    attained_seconds: float = 0.0
    body_digest: bytes = b""
    tried: list[str] = msgspec.field(default_factory=list)
    runs: int = 0
    started_at: float = 0.0
    deadline: float = 0.0

    @property
    def group(self) -> str:
        """Name of the endpoint group: a model or a plain service."""
        return self.model or self.service

    @property
    def is_new(self) -> bool:
        """Whether no call of its program has run yet."""
        return bool(self.model) and self.turn <= 1 and not self.parent

    def remaining_seconds(self, now: float) -> float:
        """Returns the seconds until the caller's deadline at ``now``."""
        return self.deadline - now


class Placement:
    """A slot at an endpoint, held while the call runs there.

    The call counts as in flight from construction, not from ``with``. Otherwise
    calls decided at the same moment would all see the same free slot.

    Attributes:
        work: The call.
        state: State of the endpoint.
        on_release: Called with the placement when it is released.
        priority: Priority for engines; higher runs first.
        timeout_seconds: Maximum idle time of the endpoint.
        expected_seconds: Expected duration of the call.
        expected_cached_tokens: Tokens of the prompt that should be cached
            there.
        cache_last_used: Loop time of the last use of that prefix there; 0 if it
            is an estimate.
        outcome: Outcome, set by the holder before release.
        first_token_seconds: Time to the first token, set by the holder.
        seconds: Duration of the call; the time from construction to release
            unless the holder sets it.
        prompt_tokens: Tokens of the prompt, from the endpoint's usage.
        cached_tokens: Tokens of the prompt that the endpoint had cached.
        output_tokens: Tokens of the answer.
        started_at: Loop time of construction.
    """

    def __init__(
        self,
        work: Work,
        state: EndpointState,
        on_release: Callable[["Placement"], None],
    ) -> None:
        self.work = work
        self.state = state
        self.on_release = on_release
        self.priority = 0
        self.timeout_seconds = 60.0
        self.expected_seconds = 0.0
        self.expected_cached_tokens = 0
        self.cache_last_used = 0.0
        self.outcome = Outcome.ABANDONED
        self.first_token_seconds = 0.0
        self.seconds = 0.0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0
        self.started_at = asyncio.get_running_loop().time()
        state.in_flight += 1

    @property
    def url(self) -> str:
        """Base URL of the endpoint."""
        return self.state.endpoint.url

    def release(self) -> None:
        """Releases the slot."""
        self.state.in_flight -= 1
        now = asyncio.get_running_loop().time()
        self.seconds = self.seconds or now - self.started_at
        self.on_release(self)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()
