"""Front ends that exchange loads, and the storage instances of their domain.

All run in one process in virtual time; tests can break the links.
"""

import asyncio
import collections
import random
import uuid
from collections.abc import Coroutine
from typing import Any

import msgspec

from rattanmill_core import loop_seconds, start_loop
from rattanmill_keeper import EndpointLoad, Member, Members
from rattanmill_keeper.crashes import CrashLog
from rattanmill_keeper.loads import LoadCollector, LoadExchange
from rattanmill_keeper.messages import (
    CachedPrefix,
    ReportLoads,
    SharedLoads,
    codec,
)
from rattanmill_keeper.reach import Reachability
from support.memory import MemoryKv
from support.virtual import virtual_loop

DOMAIN = "east"
_CODEC = codec()


class Collector:
    """A storage instance.

    Attributes:
        is_frozen: Whether it answers nothing and queues all requests.
        queue: Requests that arrived while it was frozen.
    """

    def __init__(self) -> None:
        self.is_frozen = False
        self.queue: list[bytes] = []
        self.start()

    def start(self) -> None:
        """Starts it without any state."""
        self.run = uuid.uuid4().hex
        self.board = LoadCollector(self.run)
        self.crashes = CrashLog(self.run)

    def serve(self, data: bytes) -> bytes:
        """Returns the encoded reply to a request."""
        message = _CODEC.decode(data)
        board = self.board if isinstance(message, ReportLoads) else self.crashes
        return _CODEC.encode(board.answer(message))

    def thaw(self) -> None:
        """Ends the freeze and handles the requests that arrived meanwhile."""
        self.is_frozen = False
        queued, self.queue = self.queue, []
        for data in queued:
            self.serve(data)


class Sent(msgspec.Struct):
    """A request that a front end has sent, and its reply if it arrived."""

    at: float
    front_end: int
    member: str
    request: msgspec.Struct
    reply: msgspec.Struct | None = None


class FakeLink:
    """A front end's link to a storage instance."""

    def __init__(self, domain: "LoadDomain", front_end: int, name: str) -> None:
        self.domain = domain
        self.front_end = front_end
        self.name = name
        self.failures = 0

    async def ask(
        self, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Returns the reply, or None after the timeout."""
        sent = Sent(loop_seconds(), self.front_end, self.name, message)
        self.domain.sent.append(sent)
        data = _CODEC.encode(message)
        try:
            async with asyncio.timeout(seconds):
                reply = await self._deliver(data)
        except TimeoutError:
            return None
        sent.reply = _CODEC.decode(reply)
        return sent.reply

    async def _deliver(self, data: bytes) -> bytes:
        await asyncio.sleep(self.domain.draw_delay())
        collector = self.domain.collectors.get(self.name)
        if collector is None or (self.front_end, self.name) in self.domain.cuts:
            return await asyncio.Future()
        if collector.is_frozen:
            collector.queue.append(data)
            return await asyncio.Future()
        reply = collector.serve(data)
        await asyncio.sleep(self.domain.draw_delay())
        return reply


class FakeMembers(Members):
    """The storage instances as one front end knows them."""

    def __init__(self, domain: "LoadDomain", front_end: int) -> None:
        super().__init__(MemoryKv())
        self.domain = domain
        self.front_end = front_end
        for name in domain.collectors:
            self.known[name] = Member(name, DOMAIN, f"{name}:1", "run")
        far = Member("far", "west", "far:1", "run")
        self.known[far.name] = far

    def link(self, member: Member) -> FakeLink:
        """Returns a link to a storage instance."""
        return FakeLink(self.domain, self.front_end, member.name)


class CountingMetrics:
    """Sums counters by labels and keeps observed durations."""

    def __init__(self) -> None:
        self.counts: collections.Counter = collections.Counter()
        self.observed: list[tuple[str, float]] = []

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds to a counter."""
        self.counts[name, *labels.values()] += amount

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration."""
        self.observed.append((name, seconds))


class FakeFrontEnd:
    """A front end that exchanges loads.

    Attributes:
        heard: Time of arrival and load, in order.
        batches: Loads passed to the callback at a time.
        prefixes: Prefixes that it was told of, in order.
    """

    def __init__(self, domain: "LoadDomain", number: int) -> None:
        self.domain = domain
        self.metrics = CountingMetrics()
        self.reach = Reachability(
            DOMAIN, FakeMembers(domain, number), self.metrics
        )
        self.exchange = LoadExchange(self.reach)
        self.exchange.on_loads = self._on_loads
        self.exchange.on_prefixes = self._on_prefixes
        self.heard: list[tuple[float, EndpointLoad]] = []
        self.batches: list[list[EndpointLoad]] = []
        self.prefixes: list[CachedPrefix] = []
        self.tasks = [
            start_loop("pings", self.reach.ping_forever()),
            start_loop("loads", self.exchange.exchange_forever()),
        ]

    def receive(self, endpoint: str, slowdown: float | None = 1.0) -> None:
        """Receives a response with the load of an endpoint."""
        self.receive_load(EndpointLoad(endpoint, 1, 0, 12, slowdown))

    def receive_load(self, load: EndpointLoad) -> None:
        """Receives a response with a load."""
        self.exchange.record(load)

    def loads_of(self, endpoint: str) -> list[EndpointLoad]:
        """Returns the loads of an endpoint that it was told of."""
        return [load for _, load in self.heard if load.endpoint == endpoint]

    def _on_loads(self, loads: list[EndpointLoad]) -> None:
        self.batches.append(loads)
        self.heard += [(loop_seconds(), load) for load in loads]

    def _on_prefixes(self, prefixes: list[CachedPrefix]) -> None:
        self.prefixes += prefixes


class LoadDomain:
    """Storage instances and front ends of a failure domain.

    Attributes:
        collectors: Running storage instances by name; one of another domain
            among them, which only answers pings.
        cuts: Front ends and storage instances that do not reach each other.
        max_delay_seconds: Longest time that a message is under way.
        sent: All requests, in order.
    """

    def __init__(self, storages: int, front_ends: int) -> None:
        self.random = random.Random(1)
        self.collectors = {f"s{n}": Collector() for n in range(storages)}
        self.cuts: set[tuple[int, str]] = set()
        self.max_delay_seconds = 0.002
        self.sent: list[Sent] = []
        self.busy: set[int] = set()
        self.front_ends = [
            FakeFrontEnd(self, number) for number in range(front_ends)
        ]
        self.collectors["far"] = Collector()
        self.tasks = [start_loop("responses", self._receive_forever())]

    async def _receive_forever(self) -> None:
        """Lets busy front ends receive responses of endpoints of their own."""
        while True:
            for number in self.busy:
                self.front_ends[number].receive(f"own-{number}")
            await asyncio.sleep(0.1)

    def draw_delay(self) -> float:
        """Returns how long a message is under way in seconds."""
        return self.random.uniform(0, self.max_delay_seconds)

    def reports(self, front_end: int | None = None) -> list[Sent]:
        """Returns the load reports of a front end, or of all."""
        return [
            sent
            for sent in self.sent
            if isinstance(sent.request, ReportLoads)
            and front_end in (None, sent.front_end)
        ]

    def replies(self, front_end: int) -> list[SharedLoads]:
        """Returns the replies that a front end has received."""
        return [sent.reply for sent in self.reports(front_end) if sent.reply]

    def order(self) -> list[str]:
        """Returns the names of the storage instances as collectors."""
        members = self.front_ends[0].reach.members
        return [member.name for member in members.collectors(DOMAIN)]


def begin(context: Any, storages: int, front_ends: int) -> None:
    """Starts a scenario's domain."""
    context.loop = context.scenario_stack.enter_context(virtual_loop())

    async def start() -> LoadDomain:
        return LoadDomain(storages, front_ends)

    context.domain = run_in(context, start())
    pass_time(context, 1.0)


def run_in(context: Any, work: Coroutine) -> Any:
    """Runs a coroutine in the scenario's virtual time."""
    return context.loop.run_until_complete(work)


def pass_time(context: Any, seconds: float) -> None:
    """Lets the domain run for some seconds."""
    run_in(context, asyncio.sleep(seconds))
