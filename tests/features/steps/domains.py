"""Steps about failure domains that become unreachable, in virtual time."""

import asyncio

import msgspec
from behave import given, then, when

from rattanmill_core import Metrics, Ran, Refusal
from rattanmill_forward import Backend, Endpoint, Route, RouteKind, Service
from rattanmill_forward.calls import HttpCodec, ResponseHead
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.exchange import ConnectionPool, OutcomeUnknown
from rattanmill_forward.jobs import Job
from rattanmill_forward.stats import PerformanceModel
from support.calls import make_call
from support.virtual import run_virtually

_TICK_SECONDS = 0.05


class Conditions(msgspec.Struct):
    """What a front end receives, simulated in virtual time.

    Attributes:
        names: Domains.
        calls: Whether calls run there, which bring bytes.
        storage_down: Domain whose storage instances are down, or empty.
        partitioned: Domain that is partitioned, or empty.
    """

    names: list[str]
    calls: bool
    storage_down: str = ""
    partitioned: str = ""


class MonitorRun:
    """A front end's domain monitor, and when each domain became unreachable."""

    def __init__(self, conditions):
        self.conditions = conditions
        self.phases = []
        self.unreachable_after = {}

    async def play(self):
        """Simulates all phases."""
        now = asyncio.get_running_loop().time
        last_heartbeat_at = dict.fromkeys(self.conditions.names, now())

        async def probe(domain):
            await asyncio.sleep(0.003)
            return domain != self.conditions.partitioned

        domains = DomainMonitor(
            "east",
            lambda: {
                name: now() - at for name, at in last_heartbeat_at.items()
            },
            probe,
        )
        began = now()
        domains.on_unreachable = lambda domain: (
            self.unreachable_after.setdefault(domain, now() - began)
        )
        watch = asyncio.create_task(domains.run())
        for change, seconds in [({}, 1.0), *self.phases]:
            self.conditions.storage_down = self.conditions.partitioned = ""
            for field, value in change.items():
                setattr(self.conditions, field, value)
            if change:
                began = now()
            for _ in range(round(seconds / _TICK_SECONDS)):
                self._deliver(domains, last_heartbeat_at, now())
                await asyncio.sleep(_TICK_SECONDS)
        watch.cancel()
        return domains.unreachable

    def _deliver(self, domains, last_heartbeat_at, now):
        for name in self.conditions.names:
            if name == self.conditions.partitioned:
                continue
            if name != self.conditions.storage_down:
                last_heartbeat_at[name] = now
            if self.conditions.calls:
                domains.record_activity(name)


@given('a front end that gets data from domains "{names}" every 50 ms')
def step_active(context, names):
    context.monitor_run = MonitorRun(Conditions(names.split(", "), True))


@given('a front end that has no calls in domains "{names}"')
def step_no_calls(context, names):
    context.monitor_run = MonitorRun(Conditions(names.split(", "), False))


@when('"{name}" is partitioned for {seconds:d} seconds')
def step_partition(context, name, seconds):
    context.monitor_run.phases.append(({"partitioned": name}, seconds))
    context.unreachable = run_virtually(context.monitor_run.play())


@when('the storage instances of "{name}" are down for {seconds:d} seconds')
def step_storage(context, name, seconds):
    context.monitor_run.phases.append(({"storage_down": name}, seconds))
    context.unreachable = run_virtually(context.monitor_run.play())


@when("all domains are reachable for 1 second")
def step_reachable(context):
    context.monitor_run.phases.append(({}, 1.0))
    context.unreachable = run_virtually(context.monitor_run.play())


@then('"{name}" was considered unreachable within {max_ms:d} ms')
def step_detected(context, name, max_ms):
    took = context.monitor_run.unreachable_after[name]
    assert took * 1000 <= max_ms, took


@then('"{name}" was not considered unreachable')
def step_not_detected(context, name):
    assert name not in context.monitor_run.unreachable_after, (
        context.monitor_run.unreachable_after
    )


@then("no domain is considered unreachable")
def step_none(context):
    assert not context.unreachable, context.unreachable


def _make_codec():
    return HttpCodec(
        decode_call=lambda method, target, headers: "not used",
        endpoint_headers=lambda call, endpoint, left, last, size, priority: [
            ("Host", "a"),
            ("Content-Length", "0"),
        ],
        decode_response=lambda status, headers: ResponseHead(status, headers),
        encode_refusal=lambda refusal: None,
    )


@given('an endpoint of "{domain}" that accepts requests and does not respond')
def step_unresponsive(context, domain):
    context.domain = domain


@when('a stream and a payment wait for it and "west" becomes unreachable')
def step_wait(context):
    async def wait():
        async def serve(reader, writer):
            await reader.read(100)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        endpoint = Endpoint(
            "one", "app", context.domain, f"{host}:{port}", 4, False
        )
        pool = ConnectionPool("127.0.0.1", _make_codec(), Metrics())
        asks = [
            asyncio.create_task(
                pool.send(
                    endpoint,
                    "POST",
                    "/",
                    [("Host", "a"), ("Content-Length", "0")],
                    b"",
                    "r",
                    abort_when_unreachable=abort_when_unreachable,
                )
            )
            for abort_when_unreachable in (True, False)
        ]
        for _ in range(1000):
            if len(pool.active) == len(asks):
                break
            await asyncio.sleep(0)
        pool.abort_domain(context.domain)
        await asyncio.sleep(0.01)
        done = [ask.result() if ask.done() else None for ask in asks]
        for ask in asks:
            ask.cancel()
        await asyncio.gather(*asks, return_exceptions=True)
        server.close()
        return done

    context.stream, context.payment = asyncio.run(wait())


@then("the stream is aborted at once")
def step_aborted(context):
    assert isinstance(context.stream, OutcomeUnknown), context.stream


@then("the payment keeps waiting")
def step_waits(context):
    assert context.payment is None, context.payment


@given(
    'endpoints in "east", "west" and "north", of which the one in "west" is'
    " the fastest"
)
def step_endpoints(context):
    def make():
        registry = EndpointRegistry()
        performance = PerformanceModel("east")
        for domain in ("east", "west", "north"):
            endpoint = Endpoint(domain, "app", domain, "127.0.0.1:9", 4, False)
            registry.update(endpoint)
            if domain == "west":
                performance.stats_of(endpoint).record_duration_ratio(0.2, now())
        return registry, performance

    def now():
        return asyncio.get_running_loop().time()

    context.make = make
    context.unreachable_domains = set()


@when('"{names}" is marked unreachable')
@when('"{names}" are marked unreachable')
def step_mark_unreachable(context, names):
    context.unreachable_domains = set(names.split(", "))


def _place_payments(context, count):
    """Returns where payments are placed, or how they are refused."""

    async def place():
        registry, performance = context.make()
        domains = DomainMonitor("east", dict, None)
        domains.unreachable = context.unreachable_domains
        dispatcher = Dispatcher(
            registry, performance, None, None, domains, _make_codec(), Metrics()
        )
        route = Route(
            *("pay", "a", "/", RouteKind.NON_IDEMPOTENT, 2.0, 0.5, 1),
            backends=(Backend("app", 1.0),),
            max_attempts=1,
        )
        service = Service("app")
        found = []
        for number in range(count):
            call = make_call(number)
            job = Job(
                call, route, service, b"", asyncio.get_running_loop().time() + 2
            )
            pick = dispatcher.selector.pick(job)
            found.append(
                pick.endpoint.name
                if pick
                else dispatcher._refuse_no_endpoint(job)
            )
        return found

    return run_virtually(place())


@then('{count:d} payments from "east" are placed in "east" and "north" only')
def step_placed(context, count):
    assert set(_place_payments(context, count)) <= {"east", "north"}


@then("a payment is refused at once as not run, with a retry delay")
def step_refused(context):
    (refusal,) = _place_payments(context, 1)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.ran is Ran.NO and refusal.retry_after, refusal
