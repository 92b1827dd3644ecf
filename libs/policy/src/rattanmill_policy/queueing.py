"""The order in which waiting calls are placed."""

import asyncio
import collections
import math

import msgspec

from rattanmill_policy.work import Work

_MAX_PROGRAMS = 20_000
_DEADLINE_STEPS_PER_TARGET = 8
_MAX_EXCESS_SHARES = 3.0
_PRIORITY_STEPS_PER_SECOND = 10


class Waiter(msgspec.Struct, eq=False):
    """A call that waits for a placement.

    Attributes:
        deadline: Virtual deadline; the earliest is placed first.
        work: The call.
        placement: Future that receives the placement.
    """

    deadline: float
    work: Work
    placement: asyncio.Future


class ProgramUsage(msgspec.Struct):
    """Service used by a program and its sub-agents.

    Attributes:
        root: The program that is not a sub-agent of another.
        started_at: Loop time at which it started.
        attained: Attained service, in seconds.
        calls: Number of calls placed.
        answered_at: Loop time of its last answer; 0 once its next call has
            arrived.
    """

    root: str
    started_at: float
    attained: float = 0.0
    calls: int = 0
    answered_at: float = 0.0


class ProgramUsageTable:
    """Usage by program, with sub-agents counted for their parent.

    Otherwise a program could split itself into sub-agents, each of which looks
    new and small, and so get ahead of all other programs.
    """

    def __init__(self) -> None:
        self.usages: collections.OrderedDict[str, ProgramUsage] = (
            collections.OrderedDict()
        )

    def usage_of(self, work: Work, now: float) -> ProgramUsage:
        """Returns the usage to which a call is charged."""
        usage = self.usages.get(work.program) or self.usages.get(work.parent)
        if usage is None:
            root = work.parent or work.program
            usage = ProgramUsage(root, now - work.age_seconds)
            usage.attained = work.attained_seconds
            self.usages[root] = usage
        self.usages[work.program] = usage
        self.usages.move_to_end(work.program)
        while len(self.usages) > _MAX_PROGRAMS:
            self.usages.popitem(last=False)
        return usage


def virtual_deadline(
    now: float,
    age_seconds: float,
    attained_seconds: float,
    target_seconds: float,
    is_new: bool,
    excess: float,
) -> float:
    """Returns the loop time by which calls are ordered, earliest first.

    The value does not change while a call waits, so each waiting call
    eventually becomes the first and none starves.

    Args:
        now: Loop time.
        age_seconds: Time since the program started.
        attained_seconds: Service that it has received.
        target_seconds: Target of its class.
        is_new: Whether it has not started. Started programs come first, since
            abandoning one halfway would waste the service it has received.
        excess: Usage of its workspace beyond the fair share, in fair shares.
    """
    # A program past its target gets a new deadline one target later. With the
    # missed deadline it would precede all programs that can still finish in
    # time and make these late in turn.
    periods = math.floor(age_seconds / target_seconds) + 1
    deadline = now - age_seconds + periods * target_seconds
    step = target_seconds / _DEADLINE_STEPS_PER_TARGET
    rounded = math.ceil(deadline / step) * step
    # The remaining work is unknown. Among equal deadlines, the program with the
    # least attained service is the most likely to end soon.
    service_offset = (
        step * attained_seconds / (attained_seconds + target_seconds)
    )
    penalty = min(excess, _MAX_EXCESS_SHARES) * target_seconds
    penalty += target_seconds if is_new else 0.0
    return rounded + service_offset + penalty


def engine_priority(deadline: float, now: float, wall_time: float) -> int:
    """Returns the priority for engines: negated tenths of a second.

    Uses the wall clock, so that priorities of different instances are
    comparable. A wrong clock shifts the calls of one instance and has no other
    effect.
    """
    return -int((wall_time + deadline - now) * _PRIORITY_STEPS_PER_SECOND)
