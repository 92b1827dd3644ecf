"""Decides when an engine keeps a program's cache during a tool pause."""

import msgspec

from rattanmill_policy.table import EndpointState

_MIN_PIN_TOKENS = 64
_MIN_ROOM_TOKENS = 20_000
_MAX_CACHE_SHARE = 0.5
_REPIN_GROWTH = 1.25
_INITIAL_PAUSE_SECONDS = 15.0
_MAX_PAUSE_SECONDS = 120.0
_PAUSE_EWMA_WEIGHT = 0.3
# A pin expires after a pause of this many times the expected length.
_PIN_PAUSE_FACTOR = 4.0
_MIN_PIN_SECONDS = 10.0


class Pin(msgspec.Struct):
    """Pin of a program's cache at one engine.

    Attributes:
        tokens: Tokens of the pinned prompt.
        expires_at: Loop time at which the pin expires.
    """

    tokens: int
    expires_at: float


class ProgramPins(msgspec.Struct):
    """Pauses and pins of one program.

    Attributes:
        pins: Pins by engine name.
        paused_at: Loop time at which its last turn ended, or None.
        expected_pause_seconds: Expected length of a pause.
    """

    pins: dict[str, Pin] = msgspec.field(default_factory=dict)
    paused_at: float | None = None
    expected_pause_seconds: float = _INITIAL_PAUSE_SECONDS

    def end_pause(self, now: float) -> None:
        """Updates the expected pause with the pause that ends now."""
        if self.paused_at is not None:
            observed = now - self.paused_at
            self.expected_pause_seconds += _PAUSE_EWMA_WEIGHT * (
                observed - self.expected_pause_seconds
            )
            self.paused_at = None

    def pin_deadline(self, now: float) -> float:
        """Returns the loop time at which a pin used now expires."""
        wait = max(
            _MIN_PIN_SECONDS, _PIN_PAUSE_FACTOR * self.expected_pause_seconds
        )
        return now + wait

    def should_pin(self, tokens: int) -> bool:
        """Returns whether pauses are short and the cache is worth pinning."""
        soon = self.expected_pause_seconds <= _MAX_PAUSE_SECONDS
        return soon and tokens >= _MIN_PIN_TOKENS

    def covers(self, engine: str, tokens: int) -> bool:
        """Returns whether an existing pin covers most of a prompt.

        A pin request carries the whole conversation. Because it is sent again
        only after the conversation has grown by a quarter, the total size of
        all requests stays within a few times the length of the conversation.
        """
        pin = self.pins.get(engine)
        return pin is not None and tokens < pin.tokens * _REPIN_GROWTH


def has_room(state: EndpointState, tokens: int, own_tokens: int) -> bool:
    """Returns whether an engine can pin more without starving other prompts.

    Args:
        state: State of the engine.
        tokens: Tokens to pin.
        own_tokens: Tokens that this instance has already pinned there.
    """
    load = state.load
    pinned_tokens = max(own_tokens, load.pinned_tokens if load else 0)
    limit = max(_MIN_ROOM_TOKENS, _MAX_CACHE_SHARE * state.max_cache_tokens)
    return pinned_tokens + tokens <= limit
