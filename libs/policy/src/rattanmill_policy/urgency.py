"""Priorities of calls at engines that admit the most urgent call first.

The expected load is bursts of up to 2.6 times the mean, in which calls of
several ranks wait in the queue of the same engine. The sum of the waiting times
does not depend on the order; the order decides whose programs are late.
"""

import enum

MAX_PRIORITY = 9
_LEVELS = MAX_PRIORITY + 1
# A program with less slack than this share of its next call's duration is late
# if it has to wait for about one more call.
_TIGHT_SLACK_SHARE = 0.5
# Usage above the fair share, in fair shares, from which a workspace comes last.
# Usage is averaged over tens of seconds, so the excess grows slowly once the
# load of a workspace has risen. A higher limit notices it later.
_TOLERATED_EXCESS_SHARES = 0.5


class Urgency(enum.IntEnum):
    """Order of calls of the same rank, by their programs; the first is 0."""

    TIGHT = 0
    BEGUN = 1
    NEW = 2
    LAST = 3


def urgency_of(
    has_begun: bool,
    seconds_left: float | None,
    needed_seconds: float | None,
    excess: float,
) -> Urgency:
    """Returns the urgency of a call within its rank.

    Programs that have begun come first, since abandoning one halfway would
    waste the service it has received. One that is past its target would only
    make others late in turn, and so would a workspace over its fair share.

    Args:
        has_begun: Whether an earlier call of its program was served.
        seconds_left: Time until its program should be done, or None.
        needed_seconds: Duration of the call without waiting, or None if it is
            not known yet.
        excess: Usage of its workspace above the fair share, in fair shares.
    """
    if excess > _TOLERATED_EXCESS_SHARES:
        return Urgency.LAST
    if seconds_left is not None and seconds_left <= 0:
        return Urgency.LAST
    if not has_begun:
        return Urgency.NEW
    if seconds_left is None or needed_seconds is None:
        return Urgency.BEGUN
    slack = seconds_left - needed_seconds
    is_tight = 0 <= slack < _TIGHT_SLACK_SHARE * needed_seconds
    return Urgency.TIGHT if is_tight else Urgency.BEGUN


def request_priority(rank: int, rank_count: int, urgency: Urgency) -> int:
    """Returns the priority of a call, from 0 (first) to 9.

    Each rank has an equal part of the numbers. If that is less than four
    numbers, neighbouring urgencies share one; with more than ten ranks,
    neighbouring ranks do.

    Args:
        rank: Position of the call's rank among those in use; 0 is the most
            urgent.
        rank_count: Number of ranks in use.
        urgency: Urgency within the rank.
    """
    first = rank * _LEVELS // rank_count
    width = (rank + 1) * _LEVELS // rank_count - first
    width = min(max(width, 1), len(Urgency))
    return first + urgency * width // len(Urgency)
