"""The order in which waiting calls get a place."""

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
    """A call that waits for a place.

    Attributes:
        deadline: Virtual deadline; the least goes first.
        work: The call.
        place: Gets the place.
    """

    deadline: float
    work: Work
    placement: asyncio.Future


class ProgramUsage(msgspec.Struct):
    """What a program and its sub-agents have had so far.

    Attributes:
        root: The program that is nobody's sub-agent.
        began: Loop time at which it began.
        attained: Seconds of service.
        calls: Calls that were placed.
        last_end: Loop time at which its last call ended, or 0.
    """

    root: str
    started_at: float
    attained: float = 0.0
    calls: int = 0
    last_call_ended_at: float = 0.0


class ProgramUsageTable:
    """Use by program; sub-agents count for their parent.

    Without that, a program could split itself into sub-agents, each of
    which looks new and small, and so pass all others.
    """

    def __init__(self) -> None:
        self.usages: collections.OrderedDict[str, ProgramUsage] = (
            collections.OrderedDict()
        )

    def usage_of(self, work: Work, now: float) -> ProgramUsage:
        """Returns the use that a call counts for."""
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
    """Returns the loop time by which calls are ordered; the least goes first.

    It doesn't change while a call waits, and time passes for all: whatever
    waits long enough is first at last, so nothing starves.

    Args:
        now: Loop time.
        age_seconds: Time since the program began.
        attained_seconds: Service it has had.
        target_seconds: Its class's target.
        is_new: Whether it has not begun. What has begun goes first, since
            a program given up half-way wasted all it had.
        excess: What its workspace uses beyond its share, in shares.
    """
    # A program past its target gets a new deadline one target later. With the
    # one it missed it would go before all that can still be in time, and
    # these would be late in turn.
    periods = math.floor(age_seconds / target_seconds) + 1
    deadline = now - age_seconds + periods * target_seconds
    step = target_seconds / _DEADLINE_STEPS_PER_TARGET
    rounded = math.ceil(deadline / step) * step
    # The shape is unknown: among equals, what has had the least service is
    # the likeliest to end soon.
    service_offset = (
        step * attained_seconds / (attained_seconds + target_seconds)
    )
    penalty = min(excess, _MAX_EXCESS_SHARES) * target_seconds
    penalty += target_seconds if is_new else 0.0
    return rounded + service_offset + penalty


def engine_priority(deadline: float, now: float, wall_time: float) -> int:
    """Returns the priority for engines: tenths of seconds, negated.

    By the wall clock, so that instances' priorities compare. A wrong clock
    shifts one instance's calls and harms nothing else.
    """
    return -int((wall_time + deadline - now) * _PRIORITY_STEPS_PER_SECOND)
