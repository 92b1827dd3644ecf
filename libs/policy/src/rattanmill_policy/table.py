"""Endpoints known to this instance, and its calls in flight at each."""

import asyncio
from collections.abc import Callable

from rattanmill_core import Aspect, EndpointNote, Sign, loop_seconds
from rattanmill_platform import Endpoint
from rattanmill_policy.health import AspectState, Load
from rattanmill_policy.outcome import Outcome

_SUSPECT_AVOID_SECONDS = 2.0
_CLOSE_AFTER_FAILURES = 3
_UNLISTED_RETENTION_SECONDS = 300.0

# Outcomes that count as a failure of the endpoint.
_ENDPOINT_FAILURES = (Outcome.NOT_CONNECTED, Outcome.BROKEN, Outcome.TIMED_OUT)


class EndpointState:
    """One endpoint as this instance sees it.

    Attributes:
        endpoint: Its latest entry in the instance list.
        listed: Whether it is on the list.
        in_flight: Calls of this instance in flight there.
        avoid_until: Loop time until which it gets no new work.
        departure: Whether it is leaving.
        reach: Whether it works when called from this failure domain.
        failures: Consecutive failed attempts.
        load: Its last load report, or None.
        max_cache_tokens: Highest number of tokens reported in its cache.
        active_timeouts: Timeouts of the attempts in progress; see
            ``abort_attempts``.
        progress_at: Loop time at which one of these attempts last made
            progress.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.listed = True
        self.in_flight = 0
        self.avoid_until = 0.0
        self.departure = AspectState(Aspect.DEPARTURE)
        self.reach = AspectState(Aspect.REACH)
        self.failures = 0
        self.load: Load | None = None
        self.max_cache_tokens = 0
        self.active_timeouts: set[asyncio.Timeout] = set()
        self.progress_at = 0.0

    @property
    def aspects(self) -> tuple[AspectState, AspectState]:
        """The states of both aspects."""
        return self.departure, self.reach

    @property
    def closed(self) -> bool:
        """Whether either aspect is closed to new work."""
        return self.departure.closed or self.reach.closed

    @property
    def phase(self) -> str:
        """State as one word, for operators."""
        if self.departure.closed:
            return "leaving"
        return "down" if self.reach.closed else "live"

    def accepts_work(self, now: float) -> bool:
        """Returns whether it may get new work."""
        if self.closed or now < self.avoid_until:
            return False
        limits = [aspect.ramp_limit(now) for aspect in self.aspects]
        return all(limit is None or self.in_flight < limit for limit in limits)

    def update_load(self, load: Load) -> None:
        """Records a load report."""
        self.load = load
        self.max_cache_tokens = max(self.max_cache_tokens, load.cache_tokens)

    def abort_attempts(self, now: float) -> None:
        """Times out the attempts that wait for an answer from it."""
        for timer in self.active_timeouts:
            timer.reschedule(now)


class EndpointTable:
    """All endpoints by name.

    Attributes:
        states: State of each endpoint, by name.
        drained: Names of the endpoints that operators have drained.
        on_note: Called with each change that this instance detected first.
        on_suspect: Called with an endpoint that should be probed at once.
    """

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.drained: frozenset[str] = frozenset()
        self.on_note: Callable[[EndpointNote], None] = lambda note: None
        self.on_suspect: Callable[[EndpointState], None] = lambda state: None

    def refresh(self, endpoints: list[Endpoint]) -> None:
        """Applies a newly read instance list.

        Only a change in the list is evidence. The list lags: ``live`` does not
        reopen an endpoint that reported that it is leaving, and ``leaving``
        does not close one that has returned.
        """
        for endpoint in endpoints:
            state = self.states.get(endpoint.name)
            before = state.endpoint.state if state else "live"
            if state is None:
                state = EndpointState(endpoint)
                self.states[endpoint.name] = state
            state.endpoint = endpoint
            state.listed = True
            if endpoint.state != "live" and before == "live":
                self.close(state, Aspect.DEPARTURE, Sign.LISTED)
        names = {endpoint.name for endpoint in endpoints}
        for name, state in list(self.states.items()):
            if name not in names:
                self._unlist(name, state)

    def _unlist(self, name: str, state: EndpointState) -> None:
        """Keeps the state of an endpoint removed from the list for a while.

        Otherwise an old list, read by an instance that lags, would show it as a
        new endpoint that seems to be live.
        """
        if state.listed:
            state.listed = False
            self.close(state, Aspect.DEPARTURE, Sign.UNLISTED)
        elif (
            loop_seconds() - state.departure.changed_at
            > _UNLISTED_RETENTION_SECONDS
        ):
            del self.states[name]

    def engines(self, model: str) -> list[EndpointState]:
        """Returns the engines that serve a model and accept work."""
        return [
            state
            for state in self._open_states()
            if state.endpoint.kind == "engine"
            and model in state.endpoint.models
        ]

    def services(self, service: str) -> list[EndpointState]:
        """Returns the plain services of a name that accept work."""
        return [
            state
            for state in self._open_states()
            if state.endpoint.kind == "service"
            and state.endpoint.service == service
        ]

    def has_suspects(self, group: str) -> bool:
        """Returns whether an endpoint of a model or service is only suspected.

        A suspected endpoint gets no work until a probe has shown whether it is
        healthy. Calls for it should wait for that instead of being refused.
        """
        now = loop_seconds()
        return any(
            not state.closed
            and state.listed
            and name not in self.drained
            and now < state.avoid_until
            and group in (state.endpoint.service, *state.endpoint.models)
            for name, state in self.states.items()
        )

    def knows_model(self, model: str) -> bool:
        """Returns whether any endpoint, open or not, serves the model."""
        return any(model in s.endpoint.models for s in self.states.values())

    def knows_service(self, service: str) -> bool:
        """Returns whether any plain service, open or not, has the name."""
        return any(
            s.endpoint.kind == "service" and s.endpoint.service == service
            for s in self.states.values()
        )

    def record_outcome(self, state: EndpointState, outcome: Outcome) -> None:
        """Records the outcome of an attempt at an endpoint.

        A failed attempt alone does not close the endpoint, since a full backlog
        occasionally refuses a connection and a stream can be cut. The endpoint
        gets no new work until a probe, requested at once, shows whether it is
        healthy.
        """
        if outcome is Outcome.ANSWERED:
            state.failures = 0
        elif outcome is Outcome.DRAINING:
            self.close(state, Aspect.DEPARTURE, Sign.DRAINING)
        elif outcome in _ENDPOINT_FAILURES:
            state.failures += 1
            if state.failures >= _CLOSE_AFTER_FAILURES:
                self.close(state, Aspect.REACH, Sign.FAILING)
            self.avoid(state.endpoint.name, _SUSPECT_AVOID_SECONDS)
            self.on_suspect(state)

    def close(self, state: EndpointState, aspect: Aspect, sign: Sign) -> None:
        """Closes an endpoint to new work and notifies other instances."""
        aspect_state = _aspect_state(state, aspect)
        if aspect_state.close(sign, loop_seconds()):
            self._on_closed(state, aspect_state)
            self.on_note(aspect_state.to_note(state.endpoint.name))

    def reopen(self, state: EndpointState, aspect: Aspect) -> None:
        """Reopens an endpoint, with a ramp-up, and notifies other instances."""
        aspect_state = _aspect_state(state, aspect)
        if aspect_state.reopen(loop_seconds()):
            state.failures = 0
            self.on_note(aspect_state.to_note(state.endpoint.name))

    def merge(self, note: EndpointNote) -> bool:
        """Merges a note of another instance; returns whether it was new."""
        state = self.states.get(note.endpoint)
        if state is None:
            return False
        aspect_state = _aspect_state(state, note.aspect)
        if not aspect_state.merge(note, loop_seconds()):
            return False
        if aspect_state.closed:
            self._on_closed(state, aspect_state)
        else:
            state.failures = 0
        return True

    def _on_closed(
        self, state: EndpointState, aspect_state: AspectState
    ) -> None:
        # A call at an endpoint that hangs would wait for a timeout of a minute;
        # aborted now, it can still finish at another endpoint. A refused
        # connection says nothing about the calls in progress.
        if aspect_state.sign in (Sign.SILENT, Sign.STALLED):
            state.abort_attempts(loop_seconds())

    def avoid(self, name: str, seconds: float) -> None:
        """Gives an endpoint no new work for some seconds."""
        if state := self.states.get(name):
            state.avoid_until = max(state.avoid_until, loop_seconds() + seconds)

    def _open_states(self) -> list[EndpointState]:
        now = loop_seconds()
        return [
            state
            for name, state in self.states.items()
            if name not in self.drained and state.accepts_work(now)
        ]


def _aspect_state(state: EndpointState, aspect: Aspect) -> AspectState:
    return state.departure if aspect is Aspect.DEPARTURE else state.reach
