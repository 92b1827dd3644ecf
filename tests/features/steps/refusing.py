"""Steps about calls that are refused before they are sent."""

import asyncio
import collections
import contextlib
import random
import re
import types

import msgspec
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.test_utils import make_mocked_request
from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from rattanmill_site.headers import HTTP_CODEC

from rattanmill_core import Metrics, Ran, Reason, Refusal
from rattanmill_forward import Endpoint, Load, RouteKind, Service
from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.exchange import ConnectFailed, OutcomeUnknown
from rattanmill_forward.front import FrontEnd
from rattanmill_forward.jobs import Job, RunningCall
from rattanmill_forward.refusing import ExpectedStart, retry_seconds
from rattanmill_forward.stats import PerformanceModel
from rattanmill_forward.turns import TurnManager
from rattanmill_keeper import Reserved
from support.calls import make_call
from support.engine_queue import make_table
from support.virtual import run_virtually

_EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)
_SEED = 1
_EVENTS = 10
_URGENT, _LESS_URGENT = 0, 1
# Numbers that calls of new programs of these ranks get, and those of begun
# ones of the second rank.
_PRIORITIES = {_URGENT: 2, _LESS_URGENT: 7}
_BEGUN_PRIORITY = 6


class _Rejection:
    """Response of an endpoint that did not run the call."""

    def __init__(self, load):
        self.head = ResponseHead(503, [], not_run=True, load=load)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        """Does nothing, as there is no connection."""

    async def discard(self, max_bytes):
        """Does nothing, as there is no body."""


class _FrontEnd:
    """A front end whose endpoints reject each call or can't be reached."""

    def __init__(self, count, slots, seconds):
        random.seed(_SEED)
        self.sent = 0
        self.sent_to = []
        self.rejection = None
        self.rejection_load = None
        self.performance = PerformanceModel("east")
        self.pool = types.SimpleNamespace(send=self._send)
        registry = EndpointRegistry()
        self.engines = [
            Endpoint(f"e-{n}", "llm", "east", f"e-{n}:1", slots, False)
            for n in range(count)
        ]
        for engine in self.engines:
            registry.update(engine)
        self.dispatcher = Dispatcher(
            registry,
            self.performance,
            self.pool,
            types.SimpleNamespace(
                refusal=lambda fingerprint, ran: None,
                clear=lambda fingerprint: None,
                report_broken=lambda call, fingerprint, endpoint: None,
            ),
            DomainMonitor("east", dict, None),
            HTTP_CODEC,
            Metrics(),
        )
        self.dispatcher.rng = random.Random(_SEED)
        self.performance.average_for("first/event/llm", 0.0)
        self.performance.average_for("event/llm", 0.0).add(seconds / _EVENTS)
        self.table = make_table((_URGENT, _LESS_URGENT))

    async def _send(self, endpoint, *_, **__):
        self.sent += 1
        self.sent_to.append(endpoint.name)
        if self.rejection is None:
            return ConnectFailed("not listening")
        return _Rejection(self.rejection_load)

    def report(self, load):
        """Records a report of each engine."""
        for engine in self.engines:
            self.performance.record_response(engine, load)

    def record_served(self, engine, events, seconds, wait):
        """Records a stream that ran until now after waiting for a slot."""
        now = asyncio.get_running_loop().time()
        running = RunningCall(engine, None, now - seconds - wait, 0)
        job = self.make_job(3.0)
        running.first_event_at = now - seconds
        running.last_event_at = now
        running.event_count = events
        self.performance.record_first_event(engine, job.timing_key, wait, 0)
        self.dispatcher.record_completion(job, running)

    def make_job(self, left, rank=_LESS_URGENT, ran=(), **fields):
        """Returns a call that waits for ``left`` seconds."""
        now = asyncio.get_running_loop().time()
        begun = fields.pop("has_begun", None)
        route = self.table.match("a", f"/{rank}/")
        fields = {"max_output_tokens": _EVENTS} | fields
        call = make_call(1, arrived_at=now, **fields)
        return Job(
            *(call, route, self.table.draw_service(route), b"", now + left),
            possible_runs=list(ran),
            has_begun=begun,
        )

    async def dispatch(self, left, **fields):
        """Returns the refusal of one call; all end with one."""
        job = self.make_job(left, **fields)
        async with self.dispatcher.open_response(job) as refusal:
            assert isinstance(refusal, Refusal), refusal
            return refusal


def _run(context, act):
    """Prepares a front end as described and returns what ``act`` returns."""

    async def run():
        front_end = _FrontEnd(*context.engines)
        with contextlib.ExitStack() as stack:
            for prepare in context.prepare:
                await prepare(front_end, stack)
            return await act(front_end)

    return run_virtually(run())


@given("{count:d} engines with {slots:d} slots whose calls take {seconds:f} s")
def step_engines(context, count, slots, seconds):
    context.engines = (count, slots, seconds)
    context.prepare = []


@given("each engine reports {running:d} running and {waiting:d} waiting calls")
def step_report(context, running, waiting):
    async def report(front_end, stack):
        front_end.report(Load(running, waiting, 12, 1.0))

    context.prepare.append(report)


@given(
    "{count:d} further engines of which the last reports {running:d} running"
    " calls"
)
def step_further_engines(context, count, running):
    async def add(front_end, stack):
        engines = [
            Endpoint(f"more-{n}", "llm", "east", f"more-{n}:1", 12, False)
            for n in range(count)
        ]
        for engine in engines:
            front_end.dispatcher.registry.update(engine)
            load = Load(12, 60, 12, 1.0)
            if engine is engines[-1]:
                load = Load(running, 0, 12, 1.0)
            front_end.performance.record_response(engine, load)
        context.idle = engines[-1].name

    context.prepare.append(add)


@given(
    "{count:d} calls of {events:d} events ran for {seconds:f} s after waiting"
    " for {wait:f} s"
)
def step_served(context, count, events, seconds, wait):
    async def serve(front_end, stack):
        front_end.performance.averages.clear()
        for number in range(count):
            front_end.record_served(
                front_end.engines[number % len(front_end.engines)],
                events,
                seconds,
                wait,
            )

    context.prepare.append(serve)


@given("{seconds:f} s pass")
def step_pass(context, seconds):
    async def wait(front_end, stack):
        await asyncio.sleep(seconds)

    context.prepare.append(wait)


@given("one engine has not reported")
def step_no_report(context):
    async def forget(front_end, stack):
        front_end.performance.stats_of(front_end.engines[0]).load = None

    context.prepare.append(forget)


@given("one engine reports no slowdown")
def step_no_slowdown(context):
    async def change(front_end, stack):
        stats = front_end.performance.stats_of(front_end.engines[0])
        stats.load = msgspec.structs.replace(stats.load, slowdown=None)

    context.prepare.append(change)


@given("no call has been measured")
def step_not_measured(context):
    async def forget(front_end, stack):
        front_end.performance.averages.clear()

    context.prepare.append(forget)


@given(
    "{less:d} less urgent and {urgent:d} urgent calls of this front end wait at"
    " engines"
)
def step_waiting(context, less, urgent):
    _hold(
        context, {_PRIORITIES[_LESS_URGENT]: less, _PRIORITIES[_URGENT]: urgent}
    )


@given(
    "{new:d} new and {begun:d} begun less urgent calls of this front end wait"
    " at engines"
)
def step_waiting_begun(context, new, begun):
    _hold(context, {_PRIORITIES[_LESS_URGENT]: new, _BEGUN_PRIORITY: begun})


def _hold(context, counts):
    async def hold(front_end, stack):
        service = front_end.table.services["llm"]
        for priority, count in counts.items():
            for _ in range(count):
                stack.enter_context(
                    front_end.dispatcher.queues.count_waiting(service, priority)
                )

    context.prepare.append(hold)


@when(
    "{count:d} first turns arrive whose programs should be done in {finish:f} s"
    " and that wait for {left:f} s"
)
def step_crowd(context, count, finish, left):
    async def send(front_end):
        refusals = [
            await front_end.dispatch(
                left,
                has_begun=False,
                program=f"p-{number}",
                program_seconds_left=finish,
            )
            for number in range(count)
        ]
        return refusals, front_end.sent

    context.refusals, context.sent = _run(context, send)


@then("all are refused with status 503 before anything is sent")
def step_all_refused(context):
    assert context.sent == 0, context.sent
    for refusal in context.refusals:
        head = HTTP_CODEC.encode_refusal(refusal)
        assert head.status == 503 and "Retry-After" in dict(head.headers), head
        assert refusal.reason is Reason.OVERLOADED and refusal.ran is Ran.NO


@then("each may retry after {least:f} to {most:f} s")
def step_retry_range(context, least, most):
    delays = [refusal.retry_after for refusal in context.refusals]
    assert least <= min(delays) and max(delays) <= most, delays


@then("no {part} of a second has more than {most:d} of the retries")
def step_retry_spread(context, part, most):
    steps = {"tenth": 10, "hundredth": 100}[part]
    counts = collections.Counter(
        int(refusal.retry_after * steps) for refusal in context.refusals
    )
    assert max(counts.values()) <= most, counts


_KINDS = {
    "a first turn": {"has_begun": False},
    "an urgent first turn": {"has_begun": False, "rank": _URGENT},
    "a turn of a begun program": {"has_begun": True},
    "a turn of a program served here": {"has_begun": False, "program": "here"},
    "a turn of an unknown program": {"has_begun": None},
    "a call that may have run": {"has_begun": False, "ran": ["e-0"]},
}


@when(
    "{kind} arrives whose program should be done in {finish:f} s and that waits"
    " for {left:f} s"
)
@when(
    "{kind} with {events:d} events arrives whose program should be done in"
    " {finish:f} s and that waits for {left:f} s"
)
def step_one(context, kind, finish, left, events=_EVENTS):
    async def send(front_end):
        here = make_call(0, program="here")
        now = asyncio.get_running_loop().time()
        service = front_end.table.services["llm"]
        front_end.dispatcher.priorities.record_served(here, service, 0.3, now)
        fields = {
            "program": "p",
            "program_seconds_left": finish,
            "max_output_tokens": events,
        }
        refusal = await front_end.dispatch(left, **(fields | _KINDS[kind]))
        context.sent_to = front_end.sent_to
        return refusal, front_end.sent

    context.refusal, context.sent = _run(context, send)


@when(
    "a call of a plain service that took {seconds:f} s with its wait arrives"
    " and waits for {left:f} s"
)
def step_plain(context, seconds, left):
    async def send(front_end):
        job = front_end.make_job(left)
        job.route = msgspec.structs.replace(
            job.route, kind=RouteKind.IDEMPOTENT
        )
        job.service = Service("llm")
        average = front_end.performance.average_for(job.timing_key, 0.0)
        average.add(seconds)
        async with front_end.dispatcher.open_response(job) as refusal:
            return refusal, front_end.sent

    context.refusal, context.sent = _run(context, send)


@then("it is refused")
def step_refused(context):
    assert context.sent == 0, context.refusal
    assert context.refusal.reason is Reason.OVERLOADED, context.refusal
    assert context.refusal.ran is Ran.NO, context.refusal


@then("it is sent")
def step_sent(context):
    assert context.sent > 0, context.refusal


@then("the idle engine gets it first")
def step_idle_engine(context):
    assert context.sent_to[0] == context.idle, context.sent_to


@when("the first turn of a program with a budget is sent to a front end")
def step_serve(context):
    ends = []

    async def reserve(request):
        return Reserved(request.tokens)

    budgets = types.SimpleNamespace(
        reserve=reserve,
        granted_alone_by={},
        holders_of=lambda program: (),
        release=lambda program, attempt: ends.append("released at once"),
        settle_later=lambda *_: ends.append("settled in a moment"),
    )
    reach = types.SimpleNamespace(is_cut_off=lambda: False)
    keepers = types.SimpleNamespace(budgets=budgets, rates=None, reach=reach)

    async def serve(front_end):
        front_end.pool.send = _break_off
        served_by = FrontEnd(
            HTTP_CODEC,
            front_end.dispatcher,
            TurnManager(keepers, Metrics()),
            Metrics(),
        )
        served_by.route_table = front_end.table
        request = make_mocked_request(
            "POST",
            f"/{_LESS_URGENT}/",
            headers={
                "Host": "a",
                "X-Request-Id": "1",
                "X-Program-Id": "p",
                "X-Token-Budget": "1000",
                "X-Token-Usage": f"10,{_EVENTS}",
                "X-Finish-Ms": "1000",
            },
            payload=EMPTY_PAYLOAD,
        )
        return await served_by.serve(request)

    context.response = _run(context, serve)
    context.ends = ends


async def _break_off(*_, **__):
    """Sends a call to an engine that may have run it."""
    return OutcomeUnknown("connection closed")


@then("its reservation is {end}")
def step_reservation(context, end):
    assert context.ends == [end], (context.ends, context.response)


@then('the detail is like "{pattern}"')
def step_detail(context, pattern):
    assert re.fullmatch(pattern, context.refusal.detail), context.refusal


@when(
    "a turn that waits for {left:f} s is rejected by all engines, which report"
    " {report}"
)
def step_rejected(context, left, report):
    loads = {
        "12 running, 60 waiting calls": Load(12, 60, 12, 1.0),
        "12 running, no waiting calls": Load(12, 0, 12, 1.0),
        "no load": None,
    }

    async def send(front_end):
        front_end.rejection = True
        front_end.rejection_load = loads[report]
        return [await front_end.dispatch(left)]

    context.refusals = _run(context, send)


@when("a turn that waits for {left:f} s finds no engine that can be reached")
def step_unreachable(context, left):
    async def send(front_end):
        return [await front_end.dispatch(left)]

    context.refusals = _run(context, send)


@then("its Retry-After is from {least:f} to {most:f} s")
def step_retry_after(context, least, most):
    (refusal,) = context.refusals
    assert least <= refusal.retry_after <= most, refusal


def _check_retry(check):
    @_EXAMPLES
    @given_values(st.floats(0, 100), st.floats(0.01, 100), st.integers())
    def each(start, left, seed):
        seconds = retry_seconds(
            ExpectedStart(start, (0.0,), 1.0), left, random.Random(seed)
        )
        check(start, left, seconds)

    each()


@then(
    "for any start and time left, Retry-After is at most a third of the time"
    " left"
)
def step_third(context):
    def check(start, left, seconds):
        assert 0 <= seconds <= left / 3

    _check_retry(check)


@then(
    "it is within twice the expected start, and at least {least:f} s if the"
    " time left allows it"
)
def step_least(context, least):
    def check(start, left, seconds):
        assert seconds <= 2 * max(least, start)
        # Half of the longest, where that is limited by the time left. Rounded
        # down to milliseconds.
        assert seconds >= min(least, left / 6) - 0.001

    _check_retry(check)
