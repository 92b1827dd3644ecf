"""Endpoints known to this instance, and what it has in flight at each."""

import asyncio
from collections.abc import Callable

from rattanmill_core import Aspect, EndpointNote, Sign, loop_seconds
from rattanmill_platform import Endpoint
from rattanmill_policy.health import AspectState, Load
from rattanmill_policy.outcome import Outcome

_SUSPECT_AVOID_SECONDS = 2.0
_MAX_FAILURES = 3
_UNLISTED_RETENTION_SECONDS = 300.0

# What an attempt that ended so says against its endpoint.
_ENDPOINT_FAILURES = (Outcome.NOT_CONNECTED, Outcome.BROKEN, Outcome.TIMED_OUT)


class EndpointState:
    """One endpoint as this instance sees it.

    Attributes:
        endpoint: As the instance list showed it last.
        listed: Whether it is on the list.
        in_flight: Calls this instance has there now.
        avoid_until: Loop time until which it gets no new work.
        departure: Whether it is leaving.
        reach: Whether it does its work when called from here.
        failures: Attempts that failed in a row.
        load: What it reported last, or None.
        cache_tokens_seen: Most tokens that it had in its cache.
        running: Timers of the attempts that are under way; see ``abort``.
        progress_at: Loop time at which one of these last made progress.
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
        """Both marks."""
        return self.departure, self.reach

    @property
    def closed(self) -> bool:
        """Whether a mark keeps new work away."""
        return self.departure.closed or self.reach.closed

    @property
    def phase(self) -> str:
        """One word for operators."""
        if self.departure.closed:
            return "leaving"
        return "down" if self.reach.closed else "live"

    def accepts_work(self, now: float) -> bool:
        """Whether it may get new work."""
        if self.closed or now < self.avoid_until:
            return False
        limits = [aspect.ramp_limit(now) for aspect in self.aspects]
        return all(limit is None or self.in_flight < limit for limit in limits)

    def update_load(self, load: Load) -> None:
        """Takes a load report."""
        self.load = load
        self.max_cache_tokens = max(self.max_cache_tokens, load.cache_tokens)

    def abort_attempts(self, now: float) -> None:
        """Gives up the attempts that wait for an answer there."""
        for timer in self.active_timeouts:
            timer.reschedule(now)


class EndpointTable:
    """All endpoints by name.

    Attributes:
        on_note: Called with each change that was first seen here.
        on_suspect: Called with an endpoint that should be probed at once.
    """

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.drained: frozenset[str] = frozenset()
        self.on_note: Callable[[EndpointNote], None] = lambda note: None
        self.on_suspect: Callable[[EndpointState], None] = lambda state: None

    def refresh(self, endpoints: list[Endpoint]) -> None:
        """Takes a newly read instance list.

        Only a change in the list is a sign. The list lags: that it still says
        ``live`` is no reason to use an endpoint that said it is leaving, and
        that it still says ``leaving`` is none against one that came back.
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
        """Keeps the marks of an endpoint that has gone for a while.

        Otherwise an old list, read by an instance that lags, would show a new
        endpoint that seems to be live.
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
        """Engines that serve a model and take work."""
        return [
            state
            for state in self._open_states()
            if state.endpoint.kind == "engine"
            and model in state.endpoint.models
        ]

    def services(self, service: str) -> list[EndpointState]:
        """Plain services of a name that take work."""
        return [
            state
            for state in self._open_states()
            if state.endpoint.kind == "service"
            and state.endpoint.service == service
        ]

    def has_suspects(self, group: str) -> bool:
        """Whether an endpoint of a model or service is only suspected.

        It gets no work for a moment, until a probe has told whether it is
        well; calls for it had better wait than be refused.
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
        """Whether any endpoint, open or not, serves the model."""
        return any(model in s.endpoint.models for s in self.states.values())

    def knows_service(self, service: str) -> bool:
        """Whether any plain service, open or not, has the name."""
        return any(
            s.endpoint.kind == "service" and s.endpoint.service == service
            for s in self.states.values()
        )

    def record_outcome(self, state: EndpointState, outcome: Outcome) -> None:
        """Learns from an attempt that ended.

        A failed attempt alone closes nothing: a full backlog refuses now and
        then, a stream is cut. The endpoint gets no new work until a probe,
        which is asked for at once, has told which it is.
        """
        if outcome is Outcome.ANSWERED:
            state.failures = 0
        elif outcome is Outcome.DRAINING:
            self.close(state, Aspect.DEPARTURE, Sign.DRAINING)
        elif outcome in _ENDPOINT_FAILURES:
            state.failures += 1
            if state.failures >= _MAX_FAILURES:
                self.close(state, Aspect.REACH, Sign.FAILING)
            self.avoid(state.endpoint.name, _SUSPECT_AVOID_SECONDS)
            self.on_suspect(state)

    def close(self, state: EndpointState, aspect: Aspect, sign: Sign) -> None:
        """Keeps new work away from an endpoint and tells others."""
        aspect_state = _aspect_state(state, aspect)
        if aspect_state.close(sign, loop_seconds()):
            self._on_closed(state, aspect_state)
            self.on_note(aspect_state.to_note(state.endpoint.name))

    def reopen(self, state: EndpointState, aspect: Aspect) -> None:
        """Lets new work in again, a little at first, and tells others."""
        aspect_state = _aspect_state(state, aspect)
        if aspect_state.reopen(loop_seconds()):
            state.failures = 0
            self.on_note(aspect_state.to_note(state.endpoint.name))

    def merge(self, note: EndpointNote) -> bool:
        """Takes what another instance saw; True if it was news."""
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
        # A call at an endpoint that hangs would wait for a time-out of a
        # minute; given up now, it still finishes elsewhere. A connection
        # that is refused says nothing about the calls that are running.
        if aspect_state.sign in (Sign.SILENT, Sign.STALLED):
            state.abort_attempts(loop_seconds())

    def avoid(self, name: str, seconds: float) -> None:
        """Gives an endpoint no new work for a while."""
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
