"""Whether an endpoint may get new work: marks, holds and gradual return.

Two marks answer two questions, see ``Aspect``. A mark carries a generation, a
hybrid logical clock: higher than all that were seen and at least the time in
milliseconds. It grows with each change, and of two notes the one with the
higher generation holds. So an instance that was paused, or has just been
started, can neither bring back an endpoint that left meanwhile nor have its
own fresh sign taken for a stale one.
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
    """What an engine reports of itself; lags.

    Attributes:
        waiting: Calls in its queue.
        running: Calls in its batch.
        slots: Most calls in a batch.
        queued_tokens: Tokens still to be computed for all of these.
        cache_tokens: Tokens in its prefix cache.
        pinned_tokens: Of these, tokens held by pins.
        models: Models loaded.
        role: Its role.
        draining: Whether it is leaving.
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
    """One aspect of one endpoint.

    Attributes:
        aspect: Which.
        generation: Of the last change.
        closed: Whether it keeps new work away.
        sign: What made the last change.
        changed_at: Loop time of the last change, as seen here.
        hold_seconds: How long probes must be good before it opens again.
        good_since: Loop time of the first of the latest good probes.
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
        """Keeps new work away; False if it did so already."""
        return not self.closed and self._change(True, sign, now)

    def reopen(self, now: float) -> bool:
        """Lets work in again; False if it was open."""
        return self.closed and self._change(False, Sign.RETURNED, now)

    def merge(self, note: EndpointNote, now: float) -> bool:
        """Takes what another instance saw; True if that changes the state.

        At the same generation closed wins: two instances that changed it at
        the same time come to the same result in either order.
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
        """Learns of a probe; True if it has been good for long enough."""
        if not healthy:
            self.healthy_since = None
            return False
        if self.healthy_since is None:
            self.healthy_since = now
        return self.closed and now - self.healthy_since >= self.hold_seconds

    def ramp_limit(self, now: float) -> int | None:
        """Most calls at a time after a return; None if there is no limit.

        An endpoint that comes back is cold and may fail again: all work that
        waits for it at once would be lost or would break it again.
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
        """Returns what other instances should know."""
        return EndpointNote(
            endpoint, self.aspect, self.generation, self.closed, self.sign
        )
