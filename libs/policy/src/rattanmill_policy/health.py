"""Endpoint health: closing, reopening with backoff, and gradual ramp-up.

The state of each aspect, see ``Aspect``, carries a generation. The generation
is a hybrid logical clock: it increases with each change, is higher than all
that were seen and is at least the time in milliseconds. Of two notes the one
with the higher generation wins. An instance that was paused therefore cannot
reopen an endpoint that left in the meantime, and a change made by an instance
that has just started is not mistaken for a stale one.
"""

import time

import msgspec

from rattanmill_core import Aspect, EndpointNote, Sign

_INITIAL_HOLD_SECONDS = {Aspect.DEPARTURE: 5.0, Aspect.REACH: 1.0}
_MAX_HOLD_SECONDS = 120.0
_RELAPSE_SECONDS = 30.0
_RAMP_STEP_SECONDS = 1.0
_RAMP_STEPS = 6


class Load(msgspec.Struct):
    """Load that an engine reports; it lags behind the actual load.

    Attributes:
        waiting: Calls in its queue.
        running: Calls in its batch.
        slots: Maximum number of calls in a batch.
        queued_tokens: Tokens still to be computed for all of these calls.
        cache_tokens: Tokens in its prefix cache.
        pinned_tokens: Tokens of the prefix cache that are held by pins.
        models: Loaded models.
        role: Role of the engine.
        draining: Whether the engine is leaving.
    """

    waiting: int = 0
    running: int = 0
    slots: int = 0
    queued_tokens: int = 0
    cache_tokens: int = 0
    pinned_tokens: int = 0
    models: list[str] = msgspec.field(default_factory=list)
    role: str = ""
    draining: bool = False


class AspectState:
    """State of one aspect of one endpoint.

    Attributes:
        aspect: The aspect.
        generation: Generation of the last change.
        closed: Whether the endpoint gets no new work.
        sign: Reason for the last change.
        changed_at: Loop time of the last change seen by this instance.
        hold_seconds: Time for which probes must succeed before it reopens.
        healthy_since: Loop time of the first of the current run of successful
            probes, or None.
    """

    def __init__(self, aspect: Aspect) -> None:
        self.aspect = aspect
        self.generation = 0
        self.closed = False
        self.sign = Sign.RETURNED
        self.changed_at = float("-inf")
        self.hold_seconds = _INITIAL_HOLD_SECONDS[aspect]
        self.healthy_since: float | None = None

    def close(self, sign: Sign, now: float) -> bool:
        """Stops new work; returns False if it was already closed."""
        return not self.closed and self._change(True, sign, now)

    def reopen(self, now: float) -> bool:
        """Allows new work again; returns False if it was already open."""
        return self.closed and self._change(False, Sign.RETURNED, now)

    def merge(self, note: EndpointNote, now: float) -> bool:
        """Merges a note of another instance; returns whether the state changed.

        At the same generation closed wins, so that two instances that changed
        it at the same time reach the same state in either order.
        """
        if note.generation < self.generation:
            return False
        if note.generation == self.generation and not (
            note.closed and not self.closed
        ):
            return False
        changed = note.closed != self.closed
        self.generation = note.generation
        self.sign = note.sign
        if changed:
            self._set_closed(note.closed, now)
        return changed

    def record_probe(self, healthy: bool, now: float) -> bool:
        """Records a probe; returns whether probes succeeded for long enough."""
        if not healthy:
            self.healthy_since = None
            return False
        if self.healthy_since is None:
            self.healthy_since = now
        return self.closed and now - self.healthy_since >= self.hold_seconds

    def ramp_limit(self, now: float) -> int | None:
        """Returns the maximum concurrency after reopening; None if unlimited.

        An endpoint that reopens is cold and may fail again. If it got all
        waiting work at once, that work would be lost or would overload it
        again.
        """
        steps = (now - self.changed_at) / _RAMP_STEP_SECONDS
        return 2 ** int(steps) if steps < _RAMP_STEPS else None

    def _change(self, closed: bool, sign: Sign, now: float) -> bool:
        self.generation = max(self.generation + 1, int(time.time() * 1000))
        self.sign = sign
        self._set_closed(closed, now)
        return True

    def _set_closed(self, closed: bool, now: float) -> None:
        if closed:
            first = _INITIAL_HOLD_SECONDS[self.aspect]
            relapsed = now - self.changed_at < _RELAPSE_SECONDS
            longer = min(self.hold_seconds * 2, _MAX_HOLD_SECONDS)
            self.hold_seconds = longer if relapsed else first
        self.closed = closed
        self.changed_at = now
        self.healthy_since = None

    def to_note(self, endpoint: str) -> EndpointNote:
        """Returns the note that is sent to other instances."""
        return EndpointNote(
            endpoint, self.aspect, self.generation, self.closed, self.sign
        )
