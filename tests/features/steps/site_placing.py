"""Steps about calls that are placed at engines, in virtual time."""

import asyncio
import collections

import msgspec
from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_forward import Backend, Endpoint, Route, RouteKind, Service
from rattanmill_forward.calls import Load, PromptPart
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.jobs import Job, RunningCall
from rattanmill_forward.stats import InFlightCall, PerformanceModel
from support.calls import make_call
from support.virtual import run_virtually

_SLOTS = 24
# Time in which engines of average speed read a token.
_PREFILL_TOKEN_SECONDS = 16e-6
_PARTS = (PromptPart("shared", 1000), PromptPart("own", 4000))
_ROUTE = Route(
    *("turns", "a", "/", RouteKind.STREAM, 4.0, 0.5, 1),
    backends=(Backend("llm", 1.0),),
    max_attempts=1,
)


class FrontEnd:
    """A front end's placement decisions about engines of given speeds."""

    def __init__(self, ratios):
        self.ratios = ratios
        self.registry = EndpointRegistry()
        self.performance = PerformanceModel("east")
        domains = DomainMonitor("east", dict, None)
        self.dispatcher = Dispatcher(
            self.registry,
            self.performance,
            None,
            None,
            domains,
            None,
            Metrics(),
        )
        self.engines = {}
        now = asyncio.get_running_loop().time()
        for name, ratio in ratios.items():
            engine = Endpoint(name, "llm", "east", f"{name}:1", _SLOTS, False)
            self.engines[name] = engine
            self.registry.update(engine)
            stats = self.performance.stats_of(engine)
            stats.duration_ratio, stats.measured_at = ratio, now
        for _ in range(50):
            self.performance.average_for("read/event/llm", 0).add(
                _PREFILL_TOKEN_SECONDS
            )
            self.performance.average_for("event/llm", 0).add(0.03)

    def job(self, number):
        """Returns a turn of eight events."""
        call = make_call(
            number,
            prompt_tokens=5000,
            max_output_tokens=8,
            prompt_parts=_PARTS,
        )
        deadline = asyncio.get_running_loop().time() + 4
        return Job(call, _ROUTE, Service("llm"), b"", deadline)

    def place(self, job):
        """Places a turn, which stays in flight."""
        pick = self.dispatcher.selector.pick(job)
        stats = self.performance.stats_of(pick.endpoint)
        InFlightCall(
            stats, job.call.request_id, stats.uncached_tokens(job.call)
        ).__enter__()
        return pick.endpoint.name


@given(
    'engines "{names}" that take {one:f}, {two:f} and {three:f} of the'
    " average time"
)
def step_engines(context, names, one, two, three):
    context.ratios = dict(
        zip(names.split(", "), (one, two, three), strict=True)
    )
    context.prepare = []


@given('{count:d} streams run at "{name}"')
def step_run(context, count, name):
    def run(front_end):
        load = Load(count, 0, _SLOTS)
        front_end.performance.record_response(front_end.engines[name], load)

    context.prepare.append(run)


@given('the conversation is cached at "{name}"')
def step_cached(context, name):
    context.prepare.append(
        lambda front_end: front_end.performance.stats_of(
            front_end.engines[name]
        ).record_prompt(_PARTS)
    )


@when("{count:d} turns with 5000 prompt tokens are sent at once")
def step_send(context, count):
    async def send():
        front_end = FrontEnd(context.ratios)
        for prepare in context.prepare:
            prepare(front_end)
        return [
            front_end.place(front_end.job(number)) for number in range(count)
        ]

    context.placed = collections.Counter(run_virtually(send()))


@when(
    'a stream that may run on {most:d} engines ran on "{ran}" and "{name}" did'
    " not go on with it"
)
def step_not_continued(context, most, ran, name):
    async def send():
        front_end = FrontEnd(context.ratios)
        job = front_end.job(1)
        job.route = msgspec.structs.replace(job.route, max_attempts=most)
        job.possible_runs = ran.split(", ")
        job.not_continued.add(name)
        return [front_end.place(job)]

    context.placed = collections.Counter(run_virtually(send()))


@then("each engine gets at least {minimum:d} and at most {maximum:d} of them")
def step_spread(context, minimum, maximum):
    for name in context.ratios:
        assert minimum <= context.placed[name] <= maximum, context.placed


@then(
    "the last prompt has been read within half of the time that one engine"
    " would need"
)
def step_read(context):
    read = {
        name: count * 5000 * _PREFILL_TOKEN_SECONDS * context.ratios[name]
        for name, count in context.placed.items()
    }
    alone = sum(context.placed.values()) * 5000 * _PREFILL_TOKEN_SECONDS
    assert max(read.values()) <= alone / 2, read


@then('"{name}" gets it')
def step_gets(context, name):
    assert set(context.placed) == {name}, context.placed


@when(
    'a stream of {count:d} events within {seconds:f} s comes from "{name}",'
    " all but the first at once"
)
def step_burst(context, count, seconds, name):
    async def stream():
        front_end = FrontEnd(context.ratios)
        front_end.dispatcher.guard = _Guard()
        job = front_end.job(1)
        running = RunningCall(front_end.engines[name], None, 0.0)
        front_end.dispatcher.record_event(job, running)
        await asyncio.sleep(seconds)
        for _ in range(count - 1):
            front_end.dispatcher.record_event(job, running)
        front_end.dispatcher.record_completion(job, running)
        now = asyncio.get_running_loop().time()
        return {
            engine_name: front_end.performance.stats_of(
                engine
            ).duration_ratio_at(now)
            for engine_name, engine in front_end.engines.items()
        }

    context.learned = run_virtually(stream())


class _Guard:
    def clear(self, fingerprint):
        """Records the end of a call."""


@then('"{name}" is not estimated as faster than "{other}"')
def step_not_faster(context, name, other):
    assert context.learned[name] >= context.learned[other], context.learned
