"""Priorities of calls for engines, and what they are decided from.

Each front end sees a small part of the load, so it knows few calls of a
workspace, often of one program only.
"""

import collections
import math

from rattanmill_forward.calls import Call
from rattanmill_forward.placing import EndpointEstimate
from rattanmill_forward.routes import Service
from rattanmill_policy.fairness import WorkspaceShares
from rattanmill_policy.urgency import request_priority, urgency_of

_MAX_PROGRAMS = 10_000
# Decayed number of programs from which a workspace's usage is compared with the
# fair share. With fewer, the many calls of one long program would count as an
# excess.
_MIN_RECENT_PROGRAMS = 2.5
# Programs start at random: up to this multiple of the square root of the
# expected number, a deviation counts as noise. The standard deviation of the
# decayed number is 0.7 of the root.
_NOISE_FACTOR = 2.0


class PriorityAssigner:
    """Assigns priorities to calls.

    Attributes:
        served: Programs of which this front end has served a call, least
            recently served first.
        shares: Recent service of each workspace at services with priorities.
        programs: Recent number of programs of each workspace, decayed in the
            same way.
    """

    def __init__(self) -> None:
        self.served: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.shares = WorkspaceShares()
        self.programs = WorkspaceShares()

    def priority(
        self,
        call: Call,
        service: Service,
        route_priority: int,
        has_begun: bool | None,
        estimate: EndpointEstimate | None,
        now: float,
    ) -> int | None:
        """Returns the priority of a call, or None if its service has none.

        Args:
            call: The call.
            service: Service that it is sent to.
            route_priority: Priority of its route.
            has_begun: Whether its program had begun as far as the turn shows,
                or None if that is unknown.
            estimate: Estimate for the endpoint, or None if no call of this
                kind has been measured.
            now: Loop time.
        """
        if not service.has_priorities:
            return None
        urgency = urgency_of(
            bool(self.has_begun(call, has_begun)),
            program_seconds_left(call, now),
            estimate and estimate.run_seconds + estimate.prefill_seconds,
            self.excess(call, now),
        )
        ranks = service.route_priorities
        return request_priority(
            ranks.index(route_priority), len(ranks), urgency
        )

    def has_begun(self, call: Call, has_begun: bool | None) -> bool | None:
        """Returns whether a call's program has begun, None if unknown.

        Args:
            call: The call.
            has_begun: What its turn shows, or None if it shows nothing.
        """
        # A caller that has events resumes a stream that was served.
        if call.last_event_id or self.has_served(call):
            return True
        return has_begun

    def has_served(self, call: Call) -> bool:
        """Whether a call of the same program was served here before."""
        return call.scoped(call.program) in self.served

    def excess(self, call: Call, now: float) -> float:
        """Returns its workspace's usage above the fair share, in fair shares.

        Returns 0 if chance explains the number of its programs.
        """
        if call.workspace is None:
            return 0.0
        name = call.workspace.name
        programs = self.programs.usage_of(name, now)
        if programs < _MIN_RECENT_PROGRAMS:
            return 0.0
        excess = self.shares.excess(name, now)
        expected = programs / (1 + excess)
        noise = _NOISE_FACTOR * math.sqrt(expected)
        return excess if programs - expected > noise else 0.0

    def record_served(
        self, call: Call, service: Service, seconds: float, now: float
    ) -> None:
        """Records that an endpoint began to respond to a call.

        Args:
            call: The call.
            service: Service that it was sent to.
            seconds: Expected duration of the call.
            now: Loop time.
        """
        is_new = not self.has_served(call)
        if call.workspace is not None and service.has_priorities:
            name = call.workspace.name
            self.shares.charge(name, seconds, now)
            self.programs.charge(name, float(is_new), now)
        if not call.program:
            return
        program = call.scoped(call.program)
        self.served[program] = None
        self.served.move_to_end(program)
        while len(self.served) > _MAX_PROGRAMS:
            self.served.popitem(last=False)


def program_seconds_left(call: Call, now: float) -> float | None:
    """Returns the time until the call's program should be done, or None."""
    if call.program_seconds_left is None:
        return None
    return call.program_seconds_left - (now - call.arrived_at)
