"""How an attempt at an endpoint can end."""

import enum


class Outcome(enum.StrEnum):
    """How an attempt at an endpoint ended."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not_connected"
    DRAINING = "draining"
    REJECTED = "rejected"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"
