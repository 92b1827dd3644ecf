"""When a program's cache is kept at an engine through a tool pause."""

import msgspec

from rattanmill_policy.table import EndpointState

_MIN_PIN_TOKENS = 64
_MIN_ROOM_TOKENS = 20_000
_MAX_CACHE_SHARE = 0.5
_REPIN_GROWTH = 1.25
_INITIAL_PAUSE_SECONDS = 15.0
_MAX_PAUSE_SECONDS = 120.0
_PAUSE_EWMA_WEIGHT = 0.3
# A pin is dropped when a pause has lasted so many times what was expected.
_PIN_PAUSE_FACTOR = 4.0
_MIN_PIN_SECONDS = 10.0


class Pin(msgspec.Struct):
    """A program's cache kept at one engine.

    Attributes:
        tokens: Tokens of the prompt that was pinned.
        until: Loop time at which it is dropped.
    """

    tokens: int
    expires_at: float


class ProgramPins(msgspec.Struct):
    """What is known of one program's pauses and pins.

    Attributes:
        pins: By name of the engine.
        paused_at: Loop time at which its last turn ended, or None.
        pause_seconds: Expected length of a pause.
    """

    pins: dict[str, Pin] = msgspec.field(default_factory=dict)
    paused_at: float | None = None
    expected_pause_seconds: float = _INITIAL_PAUSE_SECONDS

    def end_pause(self, now: float) -> None:
        """Learns from the pause that ends now."""
        if self.paused_at is not None:
            observed = now - self.paused_at
            self.expected_pause_seconds += _PAUSE_EWMA_WEIGHT * (
                observed - self.expected_pause_seconds
            )
            self.paused_at = None

    def pin_deadline(self, now: float) -> float:
        """Returns when a pin that is useful now is dropped."""
        wait = max(
            _MIN_PIN_SECONDS, _PIN_PAUSE_FACTOR * self.expected_pause_seconds
        )
        return now + wait

    def should_pin(self, tokens: int) -> bool:
        """Whether the program should be back soon enough with enough."""
        soon = self.expected_pause_seconds <= _MAX_PAUSE_SECONDS
        return soon and tokens >= _MIN_PIN_TOKENS

    def covers(self, engine: str, tokens: int) -> bool:
        """Whether a pin there has most of a prompt.

        A pin order carries the whole conversation. Sent again only when that
        has grown by a quarter, all orders together stay within a few times
        the length of the conversation.
        """
        pin = self.pins.get(engine)
        return pin is not None and tokens < pin.tokens * _REPIN_GROWTH


def has_room(state: EndpointState, tokens: int, own_tokens: int) -> bool:
    """Whether an engine can keep more without starving other prompts.

    Args:
        state: The engine.
        tokens: Tokens to keep.
        own_tokens: Tokens this instance keeps there already.
    """
    load = state.load
    pinned_tokens = max(own_tokens, load.pinned_tokens if load else 0)
    limit = max(_MIN_ROOM_TOKENS, _MAX_CACHE_SHARE * state.max_cache_tokens)
    return pinned_tokens + tokens <= limit
