"""Places each call on an endpoint, or refuses it."""

from typing import Self

import msgspec

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.table import EndpointState, EndpointTable


class Work(msgspec.Struct, kw_only=True):
    """A call that needs an endpoint.

    Attributes:
        program: Program id, or a unique id for a call without a program.
        klass: Class of work.
        workspace: Workspace of the caller.
        model: Model asked for, or empty for a plain service.
        service: Plain service asked for, or empty for an engine.
        prefixes: Digest and tokens of each prefix of the prompt, by message.
        prompt_tokens: Estimate of the whole prompt.
        output_tokens: Most tokens of the answer.
        seconds_left: Time until the caller's deadline.
        age_seconds: Time since the program began.
        attained_seconds: Service that the program has had so far.
        body_digest: Digest of the body, to recognise a call sent again.
        tried: Endpoints on which this call has failed.
    """

    program: str
    klass: str = ""
    workspace: str = ""
    model: str = ""
    service: str = ""
    prefixes: list[tuple[bytes, int]] = msgspec.field(default_factory=list)
    prompt_tokens: int = 0
    output_tokens: int = 0
    seconds_left: float = 600.0
    age_seconds: float = 0.0
    attained_seconds: float = 0.0
    body_digest: bytes = b""
    tried: list[str] = msgspec.field(default_factory=list)


class Placement:
    """A place at an endpoint, held while the call runs there.

    Attributes:
        state: The endpoint.
        priority: Passed on to engines; higher goes first.
        outcome: Set by the holder before it lets go.
        first_token_seconds: Time to the first token, set by the holder.
        seconds: Time the call took, set by the holder.
        prompt_tokens: Tokens of the prompt, from the endpoint's usage.
        cached_tokens: Of these, tokens it had cached.
        output_tokens: Tokens of the answer.
    """

    def __init__(
        self, scheduler: "Scheduler", work: Work, state: EndpointState
    ) -> None:
        self.scheduler = scheduler
        self.work = work
        self.state = state
        self.priority = 0
        self.outcome = Outcome.ABANDONED
        self.first_token_seconds = 0.0
        self.seconds = 0.0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0

    @property
    def url(self) -> str:
        """Base URL of the endpoint."""
        return self.state.endpoint.url

    def __enter__(self) -> Self:
        self.state.in_flight += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.state.in_flight -= 1
        self.scheduler.finished(self)


class Scheduler:
    """All placement decisions of one instance.

    Args:
        table: Endpoints known.
    """

    def __init__(self, table: EndpointTable) -> None:
        self.table = table

    async def place(self, work: Work) -> Placement | Refusal:
        """Returns a place for the call, perhaps after waiting for one."""
        candidates = self._candidates(work)
        if isinstance(candidates, Refusal):
            return candidates
        chosen = min(candidates, key=lambda state: state.in_flight)
        return Placement(self, work, chosen)

    def may_retry(self, work: Work, outcome: Outcome) -> bool:
        """Whether the retry budget allows one more attempt."""
        return len(work.tried) < 3 and outcome is not Outcome.REJECTED

    def finished(self, placement: Placement) -> None:
        """Learns from an attempt that ended."""
        self.table.learn(placement.state, placement.outcome)

    def _candidates(self, work: Work) -> list[EndpointState] | Refusal:
        if work.model:
            found = self.table.engines(work.model)
            known = self.table.knows_model(work.model)
            unknown = Reason.UNKNOWN_MODEL
        else:
            found = self.table.services(work.service)
            known = self.table.knows_service(work.service)
            unknown = Reason.UNKNOWN_SERVICE
        name = work.model or work.service
        if not known:
            return refuse(unknown, f"No endpoint serves '{name}'.")
        untried = [s for s in found if s.endpoint.name not in work.tried]
        if untried or found:
            return untried or found
        return refuse(
            Reason.NO_ENDPOINT, f"No endpoint for '{name}' takes work now."
        )
