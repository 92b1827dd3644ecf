"""Replays programs at one engine that admits calls by priority or arrival.

Only the queue is simulated: each call takes the same time once it is admitted.
Priorities come from the product's code.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator

import msgspec

from rattanmill_forward import Backend, EngineConfig, Route, RouteKind, Service
from rattanmill_forward.placing import EndpointEstimate
from rattanmill_forward.priorities import PriorityAssigner
from rattanmill_forward.routes import Limits, RouteTable, build_route_table
from rattanmill_forward.workspaces import Workspace
from support.calls import make_call

SLOTS = 12
TURN_SECONDS = 0.3
# Targets of the deployments in docs/design/load.md.
_TARGET_SHARE = 1.6
_TARGET_EXTRA_SECONDS = 0.23
_ESTIMATE = EndpointEstimate("engine", True, SLOTS, 0.0, TURN_SECONDS, 0.0)


class Program(msgspec.Struct, eq=False):
    """A chain of calls, each sent once the one before has ended.

    Attributes:
        number: Number of the program.
        route_priority: Priority of its route.
        turns: Number of its calls.
        started_at: When its first call arrives, in seconds.
        workspace: Workspace, or None.
        served: Calls that have ended.
        ended_at: When its last call ended, or None.
    """

    number: int
    route_priority: int
    turns: int
    started_at: float
    workspace: Workspace | None = None
    served: int = 0
    ended_at: float | None = None

    @property
    def target_at(self) -> float:
        """When it should be done."""
        idle = self.turns * TURN_SECONDS
        return self.started_at + _TARGET_SHARE * idle + _TARGET_EXTRA_SECONDS

    @property
    def is_on_time(self) -> bool:
        """Whether it was done by its target."""
        return self.ended_at is not None and self.ended_at <= self.target_at


def arrivals(
    rng: random.Random,
    per_second: Callable[[float], float],
    peak: float,
    seconds: float,
) -> Iterator[float]:
    """Yields random arrival times at a rate that varies with time."""
    at = 0.0
    while (at := at + rng.expovariate(peak)) < seconds:
        if rng.random() < per_second(at) / peak:
            yield at


def make_table(priorities: tuple[int, ...]) -> RouteTable:
    """Returns a configuration with a route of each priority to one service."""
    routes = [
        Route(
            *(f"route-{priority}", "a", f"/{priority}/", RouteKind.STREAM),
            *(4.0, 0.5, priority),
            backends=(Backend("llm", 1.0),),
            max_attempts=2,
        )
        for priority in priorities
    ]
    service = Service("llm", EngineConfig(SLOTS, 1, 100_000))
    return build_route_table(1, routes, [service], Limits())


def priority_order() -> Callable[[Program, float], int]:
    """Returns a function to the priority of a program's next call."""
    service = make_table((0, 1)).services["llm"]
    assigner = PriorityAssigner()

    def priority(program: Program, now: float) -> int:
        call = make_call(
            program.number,
            program=str(program.number),
            arrived_at=now,
            program_seconds_left=program.target_at - now,
        )
        call.assign_workspace(program.workspace)
        level = assigner.priority(
            *(call, service, program.route_priority, program.served > 0),
            *(_ESTIMATE, now),
        )
        # Charged on arrival, as the queue is not part of the front end.
        assigner.record_served(call, service, TURN_SECONDS, now)
        return level

    return priority


def arrival_order() -> Callable[[Program, float], int]:
    """Returns a function that makes no difference between calls."""
    return lambda program, now: 0


def replay(
    programs: list[Program], priority: Callable[[Program, float], int]
) -> None:
    """Runs programs at one engine to their end.

    Args:
        programs: The programs; their results are set.
        priority: Returns the priority of a program's next call, given the time.
    """
    order = itertools.count()
    events = [(p.started_at, next(order), "arrival", p) for p in programs]
    heapq.heapify(events)
    waiting: list[tuple[int, int, Program]] = []
    free = SLOTS
    while events:
        now, _, kind, program = heapq.heappop(events)
        if kind == "end":
            free += 1
            program.served += 1
            if program.served == program.turns:
                program.ended_at = now
        if program.ended_at is None:
            level = priority(program, now)
            heapq.heappush(waiting, (level, next(order), program))
        while free and waiting:
            *_, admitted = heapq.heappop(waiting)
            free -= 1
            end = (now + TURN_SECONDS, next(order), "end", admitted)
            heapq.heappush(events, end)
