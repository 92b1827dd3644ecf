"""Outcomes of an attempt at an endpoint."""

import enum


class Outcome(enum.StrEnum):
    """Outcome of an attempt at an endpoint."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not_connected"
    DRAINING = "draining"
    REJECTED = "rejected"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"
