"""Engines and front ends that place turns there, in virtual time.

Engines have slots, a queue in order of arrival, a cache of shared prompt parts
and a speed that changes. Front ends are dispatchers, with a pool that leads to
the engines. What front ends of a domain share is passed on with its age.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Coroutine
from types import SimpleNamespace

from rattanmill_core import Metrics
from rattanmill_forward import Backend, Endpoint, Route, RouteKind, Service
from rattanmill_forward.calls import Call, Load, PromptPart, ResponseHead
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.jobs import Job
from rattanmill_forward.load_sharing import share_loads
from rattanmill_forward.stats import PerformanceModel
from rattanmill_keeper import CachedPrefix, EndpointLoad
from support.calls import make_call

SLOTS = 12
TURN_SECONDS = 0.3
SLOWDOWN = 2.5
SHARED_TOKENS = 12_600
SHARING_SECONDS = 0.2
_EVENTS = 5
_PREFILL_SECONDS = 0.047
_DEADLINE_SECONDS = 30.0
_ROUTE = Route(
    *("turns", "a", "/", RouteKind.STREAM, _DEADLINE_SECONDS, 0.5, 1),
    backends=(Backend("llm", 1.0),),
    max_attempts=2,
)


def loop_now() -> float:
    """Returns the virtual time."""
    return asyncio.get_running_loop().time()


class Engine:
    """An engine.

    Attributes:
        ratio: Duration of its work relative to the average.
        slow_until: Time until which its work takes ``SLOWDOWN`` times as long.
        reports_speed: Whether its load reports have a slowdown.
        waiting: Number of turns that wait for a slot.
        cached: Shared prompt parts in its cache.
        run_count: Number of turns that it ran.
    """

    def __init__(self, endpoint: Endpoint, ratio: float = 1.0) -> None:
        self.endpoint = endpoint
        self.ratio = ratio
        self.slow_until = 0.0
        self.reports_speed = True
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0
        self.cached: set[str] = set()
        self.run_count = 0

    @property
    def slowdown(self) -> float:
        """Duration of work at this moment relative to the usual one."""
        return SLOWDOWN if loop_now() < self.slow_until else 1.0

    @property
    def load(self) -> Load:
        """Its load report."""
        slowdown = self.slowdown if self.reports_speed else None
        return Load(self.running, self.waiting, SLOTS, slowdown)

    async def work(self, seconds: float) -> None:
        """Works for a time that it would take at the average speed."""
        await asyncio.sleep(seconds * self.ratio * self.slowdown)

    async def admit(self) -> "_Response":
        """Returns a turn's response once the turn has a slot."""
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.run_count += 1
        return _Response(self)

    async def read(self, parts: tuple[PromptPart, ...]) -> None:
        """Reads the shared part of a prompt unless it is cached."""
        if parts and parts[0].digest not in self.cached:
            self.cached.add(parts[0].digest)
            await self.work(_PREFILL_SECONDS)


class _Response:
    """A response that keeps its slot until it is closed."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.head = ResponseHead(200, [], is_signed=True, load=engine.load)

    def __enter__(self) -> None:
        """Does nothing: the slot is in use."""

    def __exit__(self, *exc_info: object) -> None:
        self.engine.running -= 1
        self.engine.slots.release()


class DomainLoads:
    """What the front ends of a domain share, in order of arrival."""

    def __init__(self) -> None:
        self.loads: list[tuple[float, EndpointLoad]] = []
        self.prefixes: list[CachedPrefix] = []


class LoadPort:
    """A front end's side of the exchange with the others of its domain."""

    def __init__(self, domain: DomainLoads) -> None:
        self.domain = domain
        self.own: list[tuple[float, EndpointLoad]] = []
        self.own_prefixes: list[CachedPrefix] = []
        self.loads_seen = 0
        self.prefixes_seen = 0

    def record(self, report: EndpointLoad) -> None:
        """Records a report to be shared."""
        self.own.append((loop_now(), report))

    def record_prefix(self, endpoint: str, prefix: str) -> None:
        """Records a prefix to be shared."""
        self.own_prefixes.append(CachedPrefix(endpoint, prefix))

    def exchange(self) -> None:
        """Gets what is new from the others and gives them its own."""
        now = loop_now()
        self.on_loads(
            [
                EndpointLoad(
                    *(each.endpoint, each.running, each.waiting, each.slots),
                    *(each.slowdown, now - at),
                )
                for at, each in self.domain.loads[self.loads_seen :]
            ]
        )
        self.on_prefixes(self.domain.prefixes[self.prefixes_seen :])
        self.domain.loads += self.own
        self.domain.prefixes += self.own_prefixes
        self.own, self.own_prefixes = [], []
        self.loads_seen = len(self.domain.loads)
        self.prefixes_seen = len(self.domain.prefixes)

    async def exchange_forever(self) -> None:
        """Exchanges periodically, each front end at its own times."""
        await asyncio.sleep(random.uniform(0, SHARING_SECONDS))
        while True:
            self.exchange()
            await asyncio.sleep(SHARING_SECONDS)


class FrontEnd:
    """A front end that sends turns to the engines.

    Args:
        fleet: The engines.
        domain: Its failure domain.
        loads: What the front ends of this domain share.
    """

    def __init__(
        self, fleet: "EngineFleet", domain: str, loads: DomainLoads
    ) -> None:
        self.performance = PerformanceModel(domain)
        self.port = LoadPort(loads)
        share_loads(self.performance, fleet.registry, self.port)
        self.domains = DomainMonitor(domain, dict, None)
        self.dispatcher = Dispatcher(
            fleet.registry,
            self.performance,
            SimpleNamespace(send=fleet.send),
            SimpleNamespace(
                refusal=lambda fingerprint, ran: None,
                clear=lambda fingerprint: None,
            ),
            self.domains,
            SimpleNamespace(endpoint_headers=lambda call, *args: call),
            fleet.metrics,
        )
        self.turn_count = 0

    def job(self, shared_part: str) -> Job:
        """Returns a turn whose prompt begins with a shared part."""
        self.turn_count += 1
        call = make_call(
            self.turn_count,
            prompt_tokens=SHARED_TOKENS,
            max_output_tokens=_EVENTS,
            prompt_parts=(PromptPart(shared_part, SHARED_TOKENS),),
        )
        deadline = loop_now() + _DEADLINE_SECONDS
        return Job(call, _ROUTE, Service("llm"), b"", deadline)

    async def run_turn(
        self, shared_part: str = "shared", seconds: float = TURN_SECONDS
    ) -> str:
        """Runs a turn; returns the name of its engine.

        Args:
            shared_part: The part with which its prompt begins.
            seconds: Its duration at an idle engine of average speed.
        """
        job = self.job(shared_part)
        async with self.dispatcher.open_response(job) as running:
            engine = running.response.engine
            for _ in range(_EVENTS):
                await engine.work(seconds / _EVENTS)
                self.dispatcher.record_event(job, running)
        self.dispatcher.record_completion(job, running)
        return running.endpoint.name


class EngineFleet:
    """Engines of several domains, and what is counted of the turns there.

    Attributes:
        waits: Seconds that each turn waited for its slot.
        needless_waits: Of these, the waits for a slot while another engine had
            free ones.

    Args:
        domains: Failure domain of each engine.
        ratios: Duration of work at each engine relative to the average.
    """

    def __init__(self, domains: list[str], ratios: list[float]) -> None:
        self.registry = EndpointRegistry()
        self.metrics = Metrics()
        self.engines: dict[str, Engine] = {}
        self.waits: list[float] = []
        self.needless_waits: list[float] = []
        for index, (domain, ratio) in enumerate(
            zip(domains, ratios, strict=True)
        ):
            endpoint = Endpoint(
                f"engine-{index}", "llm", domain, f"{index}:1", SLOTS, False
            )
            self.registry.update(endpoint)
            self.engines[endpoint.name] = Engine(endpoint, ratio)

    async def send(
        self,
        endpoint: Endpoint,
        method: str,
        target: str,
        call: Call,
        *args: object,
        **options: object,
    ) -> _Response:
        """Sends a turn, as a connection pool does; ``call`` is its headers."""
        engine = self.engines[endpoint.name]
        is_needless = engine.slots.locked() and not all(
            each.slots.locked() for each in self.engines.values()
        )
        sent_at = loop_now()
        response = await engine.admit()
        self.waits.append(loop_now() - sent_at)
        if is_needless:
            self.needless_waits.append(self.waits[-1])
        await engine.read(call.prompt_parts)
        return response

    async def slow_down_forever(
        self, engine: Engine, rng: random.Random
    ) -> None:
        """Slows an engine for 0.6 s at a time, 0.15 of the time in all."""
        while True:
            await asyncio.sleep(rng.expovariate(1 / 3.4))
            engine.slow_until = loop_now() + 0.6
            await asyncio.sleep(0.6)


@contextlib.asynccontextmanager
async def in_background(*coroutines: Coroutine) -> AsyncIterator[None]:
    """Runs coroutines until the block ends."""
    tasks = [asyncio.ensure_future(each) for each in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
