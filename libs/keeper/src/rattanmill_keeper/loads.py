"""Exchange of endpoints' load reports among the front ends of a domain.

Each front end makes a small share of the calls, so it receives few of the
reports in responses. One storage instance of the domain, the load collector,
collects the reports of all of them and passes them on.
"""

import asyncio
import itertools
import uuid
from collections.abc import Callable

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import (
    CachedPrefix,
    EndpointLoad,
    ReportLoads,
    SharedLoads,
)
from rattanmill_keeper.prefixes import PrefixLog, SharedPrefixes
from rattanmill_keeper.reach import Reachability

_EXCHANGE_SECONDS = 0.2
_TIMEOUT_SECONDS = 0.2
# A front end that received no report for this long sends nothing.
_ACTIVE_SECONDS = 1.0
_MAX_AGE_SECONDS = 3.0
_MAX_LOADS = 64
_MAX_PREFIXES = 64
_MAX_COLLECTED_PAIRS = 4_000
# Sent again to a new collector, which takes 3 seconds with full messages.
_MAX_OWN_PAIRS = 1_000


class CollectedLoad(msgspec.Struct, frozen=True):
    """The newest load of an endpoint that front ends have reported.

    Attributes:
        position: Position of the report.
        load: The load, with its age on arrival.
        measured_at: Loop time of the endpoint's response.
        front_end: Id of the front end that reported it.
    """

    position: int
    load: EndpointLoad
    measured_at: float
    front_end: str


class LoadCollector:
    """Loads and prefixes that front ends have reported to a storage instance.

    Attributes:
        position: Position of the newest load.
        loads: Newest load of each endpoint, in order of positions.
        prefixes: Prefixes that front ends have sent to endpoints.

    Args:
        run: Run id of the process, to which positions are specific.
    """

    def __init__(self, run: str) -> None:
        self.run = run
        self.position = 0
        self.loads: dict[str, CollectedLoad] = {}
        self.prefixes = SharedPrefixes(_MAX_COLLECTED_PAIRS)

    def answer(self, request: ReportLoads) -> SharedLoads:
        """Records a report and returns what its sender has not received yet."""
        now = loop_seconds()
        is_known = request.run == self.run
        # A frozen process receives requests long after they were sent.
        delay = max(0.0, now - request.clock_seconds) if is_known else 0.0
        for load in request.loads:
            measured_at = now - delay - load.age_seconds
            self._add(load, measured_at, request.front_end)
        for pair in request.prefixes:
            self.prefixes.add(pair, request.front_end)
        self._drop_outdated(now)
        prefixes, prefix_position = self.prefixes.log.read(
            request.after_prefix if is_known else 0,
            _MAX_PREFIXES,
            request.front_end,
            frozenset(request.prefixes),
        )
        return SharedLoads(
            self.run,
            self._loads_after(
                request.after_load if is_known else 0, request.front_end, now
            ),
            prefixes,
            self.position,
            prefix_position,
            now,
        )

    def _add(
        self, load: EndpointLoad, measured_at: float, front_end: str
    ) -> None:
        known = self.loads.get(load.endpoint)
        if known is not None:
            if known.measured_at >= measured_at:
                return
            # Inserted again at the end, which keeps the order of positions.
            del self.loads[load.endpoint]
        self.position += 1
        self.loads[load.endpoint] = CollectedLoad(
            self.position, load, measured_at, front_end
        )

    def _loads_after(
        self, after: int, front_end: str, now: float
    ) -> list[EndpointLoad]:
        """Returns loads after a position, newest first."""
        found: list[EndpointLoad] = []
        oldest_at = now - _MAX_AGE_SECONDS
        for collected in reversed(self.loads.values()):
            if collected.position <= after or len(found) == _MAX_LOADS:
                break
            measured_at = collected.measured_at
            if collected.front_end != front_end and measured_at >= oldest_at:
                found.append(_with_age(collected.load, now - measured_at))
        return found

    def _drop_outdated(self, now: float) -> None:
        oldest_at = now - _MAX_AGE_SECONDS
        while self.loads:
            endpoint, collected = next(iter(self.loads.items()))
            if collected.measured_at >= oldest_at:
                return
            del self.loads[endpoint]


class CollectorState(msgspec.Struct):
    """What a front end knows of a collector from the last reply.

    Attributes:
        run: Run id, or empty if there was no reply.
        load_position: Position of the newest load that was received.
        prefix_position: Position of the newest prefix that was received.
        own_position: Position in the front end's own prefixes up to which the
            collector has them.
        clock_offset: Seconds that the collector's clock is ahead of the front
            end's.
    """

    run: str = ""
    load_position: int = 0
    prefix_position: int = 0
    own_position: int = 0
    clock_offset: float = 0.0


class MeasuredLoad(msgspec.Struct, frozen=True):
    """A load and the loop time of the endpoint's response."""

    load: EndpointLoad
    measured_at: float


class LoadExchange:
    """Exchanges loads and prefixes of endpoints with other front ends.

    Attributes:
        on_loads: Called with loads that are newer than those passed before.
        on_prefixes: Called with prefixes that other front ends have sent to
            endpoints.
        front_end: Random id of this process.
        pending: Newest loads to be reported, by endpoint.
        newest_at: Loop time of the newest known load of each endpoint.
        prefixes: Prefixes that this front end has sent to endpoints.
        states: State of the exchange with each collector, by name.
        collector: Name of the current collector, or empty.
        active_until: Loop time until which loads are exchanged.
        activity: Set while loads are exchanged.

    Args:
        reach: Links to the storage instances.
    """

    def __init__(self, reach: Reachability) -> None:
        self.reach = reach
        self.on_loads: Callable[[list[EndpointLoad]], None] = lambda loads: None
        self.on_prefixes: Callable[[list[CachedPrefix]], None] = (
            lambda prefixes: None
        )
        self.front_end = uuid.uuid4().hex[:12]
        self.pending: dict[str, MeasuredLoad] = {}
        self.newest_at: dict[str, float] = {}
        self.prefixes = PrefixLog()
        self.states: dict[str, CollectorState] = {}
        self.collector = ""
        self.active_until = float("-inf")
        self.activity = asyncio.Event()

    def record(self, load: EndpointLoad) -> None:
        """Records the load in a response; ignored without a slowdown."""
        if load.slowdown is None:
            return
        now = loop_seconds()
        self.active_until = now + _ACTIVE_SECONDS
        self.activity.set()
        measured_at = now - load.age_seconds
        if self._record_if_newest(load.endpoint, measured_at):
            self.pending[load.endpoint] = MeasuredLoad(load, measured_at)

    def record_prefix(self, endpoint: str, prefix: str) -> None:
        """Records that a prefix was sent to an endpoint.

        Prefixes are reported along with loads only, and each pair once.
        """
        pair = CachedPrefix(endpoint, prefix)
        is_new = self.prefixes.add(pair)
        if is_new and len(self.prefixes.entries) > _MAX_OWN_PAIRS:
            self.prefixes.drop_oldest()

    async def exchange_forever(self) -> None:
        """Exchanges loads while this front end receives any."""
        while True:
            if loop_seconds() >= self.active_until:
                self.activity.clear()
                await self.activity.wait()
            begun_at = loop_seconds()
            member = self._choose_collector()
            if member is not None:
                await self._exchange(member)
            elapsed = loop_seconds() - begun_at
            await asyncio.sleep(max(0.0, _EXCHANGE_SECONDS - elapsed))

    async def _exchange(self, member: Member) -> None:
        state = self.states.get(member.name) or CollectorState()
        reported = self._take_pending()
        asked_at = loop_seconds()
        request, own_position = self._request(state, reported, asked_at)
        reply = await self.reach.ask(member, request, _TIMEOUT_SECONDS)
        if not isinstance(reply, SharedLoads):
            # Newer loads replace those that may not have arrived.
            self.pending = reported | self.pending
            return
        self._count("sent", len(reported))
        now = loop_seconds()
        if state.own_position and reply.run != state.run:
            own_position = 0
        self.states[member.name] = CollectorState(
            reply.run,
            reply.load_position,
            reply.prefix_position,
            own_position,
            reply.clock_seconds - now,
        )
        self._receive(reply, now - asked_at, now)

    def _take_pending(self) -> dict[str, MeasuredLoad]:
        """Removes and returns the newest pending loads, oldest first."""
        oldest_at = loop_seconds() - _MAX_AGE_SECONDS
        pending, self.pending = self.pending, {}
        current = sorted(
            (each for each in pending.values() if each.measured_at > oldest_at),
            key=lambda each: each.measured_at,
        )
        return {each.load.endpoint: each for each in current[-_MAX_LOADS:]}

    def _request(
        self,
        state: CollectorState,
        reported: dict[str, MeasuredLoad],
        now: float,
    ) -> tuple[ReportLoads, int]:
        """Returns a request, and the position of its last own prefix."""
        prefixes, own_position = self.prefixes.read(
            state.own_position, _MAX_PREFIXES
        )
        request = ReportLoads(
            self.front_end,
            [
                _with_age(each.load, now - each.measured_at)
                for each in reported.values()
            ],
            prefixes,
            state.run,
            state.load_position,
            state.prefix_position,
            now + state.clock_offset,
        )
        return request, own_position

    def _receive(
        self, reply: SharedLoads, round_trip_seconds: float, now: float
    ) -> None:
        """Passes on what is new in a reply.

        The reply may have been under way for the whole round trip. Counting all
        of it makes no load look newer than it is.
        """
        loads = [
            _with_age(load, load.age_seconds + round_trip_seconds)
            for load in reply.loads
        ]
        loads = [
            load
            for load in loads
            if self._record_if_newest(load.endpoint, now - load.age_seconds)
        ]
        if loads:
            self._count("received", len(loads))
            # Only one of each message: recording takes longer than all other
            # work on a load.
            self.reach.metrics.observe(
                "rattanmill_load_age_seconds",
                loads[len(loads) // 2].age_seconds,
            )
            self.on_loads(loads)
        if reply.prefixes:
            self.on_prefixes(reply.prefixes)

    def _record_if_newest(self, endpoint: str, measured_at: float) -> bool:
        """Records a load's time and returns True if it is the newest known."""
        if measured_at <= self.newest_at.get(endpoint, float("-inf")):
            return False
        self.newest_at.pop(endpoint, None)
        self.newest_at[endpoint] = measured_at
        self._forget_outdated()
        return True

    def _forget_outdated(self) -> None:
        """Forgets an endpoint without loads, so that memory is bounded."""
        endpoint, measured_at = next(iter(self.newest_at.items()))
        if measured_at < loop_seconds() - 2 * _MAX_AGE_SECONDS:
            del self.newest_at[endpoint]

    def _choose_collector(self) -> Member | None:
        """Returns the first responsive storage instance of the domain."""
        members = self.reach.members.collectors(self.reach.domain)
        responsive = itertools.filterfalse(self.reach.is_unresponsive, members)
        chosen = next(responsive, None)
        name = chosen.name if chosen else ""
        if name != self.collector:
            why = self._why_changed(members)
            log_event("load_collector", old=self.collector, new=name, why=why)
            self.collector = name
        return chosen

    def _why_changed(self, members: list[Member]) -> str:
        if not self.collector:
            return "available"
        old = [each for each in members if each.name == self.collector]
        if not old:
            return "unlisted"
        if self.reach.is_unresponsive(old[0]):
            return "unresponsive"
        return "preferred"

    def _count(self, direction: str, amount: int) -> None:
        if amount:
            self.reach.metrics.count(
                "rattanmill_load_reports", amount, direction=direction
            )


def _with_age(load: EndpointLoad, seconds: float) -> EndpointLoad:
    return msgspec.structs.replace(load, age_seconds=seconds)
