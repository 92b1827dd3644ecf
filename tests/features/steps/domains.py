"""Steps about failure domains that get out of reach, in virtual time."""

import asyncio

import msgspec
from behave import given, then, when

from rattanmill_core import Metrics, Ran, Refusal
from rattanmill_forward import Backend, Endpoint, Route, RouteKind, Service
from rattanmill_forward.calls import HttpCodec, ResponseHead
from rattanmill_forward.dispatch import Dispatcher, Job
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.exchange import ConnectionPool, OutcomeUnknown
from rattanmill_forward.stats import PerformanceModel
from support.calls import make_call
from support.virtual import run_virtually

_STEP_SECONDS = 0.05


class Weather(msgspec.Struct):
    """What a front hears, played in virtual time.

    Attributes:
        names: Domains.
        calls: Whether calls run there, which bring bytes.
        storage_down: Domain whose storage instances are down, or empty.
        cut: Domain that is cut off, or empty.
    """

    names: list[str]
    calls: bool
    storage_down: str = ""
    cut: str = ""


class Watched:
    """A front's view of domains, and when each was taken for cut off."""

    def __init__(self, weather):
        self.weather = weather
        self.phases = []
        self.cut_after = {}

    async def play(self):
        """Plays all phases."""
        now = asyncio.get_running_loop().time
        heard = dict.fromkeys(self.weather.names, now())

        async def try_domain(domain):
            await asyncio.sleep(0.003)
            return domain != self.weather.cut

        domains = DomainMonitor(
            "east",
            lambda: {name: now() - at for name, at in heard.items()},
            try_domain,
        )
        began = now()
        domains.on_unreachable = lambda domain: self.cut_after.setdefault(
            domain, now() - began
        )
        watch = asyncio.create_task(domains.run())
        for change, seconds in [({}, 1.0), *self.phases]:
            self.weather.storage_down = self.weather.cut = ""
            for field, value in change.items():
                setattr(self.weather, field, value)
            if change:
                began = now()
            for _ in range(round(seconds / _STEP_SECONDS)):
                self._hear(domains, heard, now())
                await asyncio.sleep(_STEP_SECONDS)
        watch.cancel()
        return domains.unreachable

    def _hear(self, domains, heard, now):
        for name in self.weather.names:
            if name == self.weather.cut:
                continue
            if name != self.weather.storage_down:
                heard[name] = now
            if self.weather.calls:
                domains.record_activity(name)


@given('a front end that gets data from domains "{names}" every 50 ms')
def step_hears(context, names):
    context.watched = Watched(Weather(names.split(", "), True))


@given('a front end that has no calls in domains "{names}"')
def step_no_calls(context, names):
    context.watched = Watched(Weather(names.split(", "), False))


@when('"{name}" is partitioned for {seconds:d} seconds')
def step_cut(context, name, seconds):
    context.watched.phases.append(({"cut": name}, seconds))
    context.left = run_virtually(context.watched.play())


@when('the storage instances of "{name}" are down for {seconds:d} seconds')
def step_storage(context, name, seconds):
    context.watched.phases.append(({"storage_down": name}, seconds))
    context.left = run_virtually(context.watched.play())


@when("all domains are reachable for 1 second")
def step_well(context):
    context.watched.phases.append(({}, 1.0))
    context.left = run_virtually(context.watched.play())


@then('"{name}" was considered unreachable within {max_ms:d} ms')
def step_noticed(context, name, max_ms):
    took = context.watched.cut_after[name]
    assert took * 1000 <= max_ms, took


@then('"{name}" was not considered unreachable')
def step_not_noticed(context, name):
    assert name not in context.watched.cut_after, context.watched.cut_after


@then("no domain is considered unreachable")
def step_none(context):
    assert not context.left, context.left


def _dialect():
    return HttpCodec(
        decode_call=lambda method, target, headers: "not used",
        endpoint_headers=lambda call, endpoint, left, last, size: [
            ("Host", "a"),
            ("Content-Length", "0"),
        ],
        decode_response=lambda status, headers: ResponseHead(status, headers),
        encode_refusal=lambda refusal: None,
    )


@given('an endpoint of "{domain}" that accepts requests and does not respond')
def step_silent(context, domain):
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
        pool = ConnectionPool("127.0.0.1", _dialect(), Metrics())
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
def step_given_up(context):
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
    context.cut = set()


@when('"{names}" is marked unreachable')
@when('"{names}" are marked unreachable')
def step_taken(context, names):
    context.cut = set(names.split(", "))


def _place(context, count):
    """Returns where payments are placed, or how they are refused."""

    async def place():
        registry, performance = context.make()
        domains = DomainMonitor("east", dict, None)
        domains.unreachable = context.cut
        dispatcher = Dispatcher(
            registry, performance, None, None, domains, _dialect(), Metrics()
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
            pick = dispatcher.pick(job)
            found.append(
                pick.endpoint.name
                if pick
                else dispatcher._refuse_no_endpoint(job)
            )
        return found

    return run_virtually(place())


@then('{count:d} payments from "east" are placed in "east" and "north" only')
def step_placed(context, count):
    assert set(_place(context, count)) <= {"east", "north"}


@then("a payment is refused at once as not run, with a retry delay")
def step_refused(context):
    (refusal,) = _place(context, 1)
    assert isinstance(refusal, Refusal), refusal
    assert refusal.ran is Ran.NO and refusal.retry_after, refusal
