"""When a program's cache is kept at an engine through a tool pause."""

import msgspec

from rattanmill_policy.table import EndpointState

_LEAST_TOKENS = 64
_LEAST_ROOM_TOKENS = 20_000
_MOST_SHARE = 0.5
_GROWTH = 1.25
_FIRST_PAUSE_SECONDS = 15.0
_MOST_PAUSE_SECONDS = 120.0
_WEIGHT = 0.3
# A pin is dropped when a pause has lasted so many times what was expected.
_PATIENCE = 4.0
_LEAST_PIN_SECONDS = 10.0


class Pin(msgspec.Struct):
    """A program's cache kept at one engine.

    Attributes:
        tokens: Tokens of the prompt that was pinned.
        until: Loop time at which it is dropped.
    """

    tokens: int
    until: float


class Pinned(msgspec.Struct):
    """What is known of one program's pauses and pins.

    Attributes:
        pins: By name of the engine.
        paused_at: Loop time at which its last turn ended, or None.
        pause_seconds: Expected length of a pause.
    """

    pins: dict[str, Pin] = msgspec.field(default_factory=dict)
    paused_at: float | None = None
    pause_seconds: float = _FIRST_PAUSE_SECONDS

    def returned(self, now: float) -> None:
        """Learns from the pause that ends now."""
        if self.paused_at is not None:
            seen = now - self.paused_at
            self.pause_seconds += _WEIGHT * (seen - self.pause_seconds)
            self.paused_at = None

    def deadline(self, now: float) -> float:
        """Returns when a pin that is useful now is dropped."""
        wait = max(_LEAST_PIN_SECONDS, _PATIENCE * self.pause_seconds)
        return now + wait

    def is_worth_keeping(self, tokens: int) -> bool:
        """Whether the program should be back soon enough with enough."""
        soon = self.pause_seconds <= _MOST_PAUSE_SECONDS
        return soon and tokens >= _LEAST_TOKENS

    def covers(self, engine: str, tokens: int) -> bool:
        """Whether a pin there has most of a prompt.

        A pin order carries the whole conversation. Sent again only when that
        has grown by a quarter, all orders together stay within a few times
        the length of the conversation.
        """
        pin = self.pins.get(engine)
        return pin is not None and tokens < pin.tokens * _GROWTH


def has_room(state: EndpointState, tokens: int, ours: int) -> bool:
    """Whether an engine can keep more without starving other prompts.

    Args:
        state: The engine.
        tokens: Tokens to keep.
        ours: Tokens this instance keeps there already.
    """
    load = state.load
    held = max(ours, load.pinned_tokens if load else 0)
    most = max(_LEAST_ROOM_TOKENS, _MOST_SHARE * state.cache_tokens_seen)
    return held + tokens <= most
