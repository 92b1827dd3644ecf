"""Steps about calls that are placed among sampled endpoints."""

import asyncio
import collections
import contextlib
import itertools
import random
import re
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanmill_forward.calls import Load, PromptPart
from rattanmill_forward.candidates import draw_candidates
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.stats import (
    _MAX_PREFIXES,
    EndpointStats,
    InFlightCall,
    MovingAverage,
)
from rattanmill_keeper import EndpointLoad
from support.engines import (
    SLOTS,
    SLOWDOWN,
    TURN_SECONDS,
    DomainLoads,
    EngineFleet,
    FrontEnd,
    in_background,
    loop_now,
)
from support.virtual import run_virtually

_DOMAINS = ("d0", "d1", "d2")
_ENGINE_COUNT = 22
_SHARED_PARTS = [f"shared-{number}" for number in range(16)]
_TURNS = 3
_WARM_UP_SECONDS = 4.0
_WARM_UP_PROGRAMS_PER_SECOND = 90.0
_BURST_SECONDS = 4.0
# Half of what four engines can run.
_SHORT_TURNS_PER_SECOND = 400.0
_LOG = mock.Mock()


def _run(work, seed=1):
    """Runs a coroutine in virtual time; returns its result.

    Log lines are collected in place of being written.
    """
    state = random.getstate()
    random.seed(seed)
    try:
        with (
            mock.patch("rattanmill_forward.endpoints.log_event"),
            mock.patch("rattanmill_forward.dispatch.log_event", _LOG),
        ):
            return run_virtually(work)
    finally:
        random.setstate(state)


def _least_loaded(estimates):
    return min(estimates, key=lambda estimate: estimate.active_requests)


@given("40 front ends of 3 domains, which share reports every 0.2 s")
def step_burst_fleet(context):
    context.shares = True
    context.choice = contextlib.ExitStack


@given("the front ends choose {choice}")
def step_choice(context, choice):
    def replace():
        stack = contextlib.ExitStack()
        for name, function in (
            ("draw_candidates", lambda endpoints, *args: endpoints),
            ("choose", _least_loaded),
        ):
            stack.enter_context(
                mock.patch(f"rattanmill_forward.selecting.{name}", function)
            )
        return stack

    context.choice = replace
    context.shares = "own reports only" not in choice


class _Burst:
    """A burst of programs, after a time in which front ends learn.

    Attributes:
        losses: How much longer each program of the burst took than its turns
            at idle engines of average speed, in seconds.
    """

    def __init__(self, rng, shares):
        self.rng = rng
        self.shares = shares
        self.losses = []
        self.fleet = EngineFleet(
            list(itertools.islice(itertools.cycle(_DOMAINS), _ENGINE_COUNT)),
            rng.sample(
                [1 + 0.3 * i / _ENGINE_COUNT for i in range(_ENGINE_COUNT)],
                _ENGINE_COUNT,
            ),
        )
        loads = {domain: DomainLoads() for domain in _DOMAINS}
        domains = itertools.islice(itertools.cycle(_DOMAINS), 40)
        self.front_ends = [
            FrontEnd(self.fleet, domain, loads[domain]) for domain in domains
        ]

    async def run(self, programs_per_second):
        """Runs all programs to their end."""
        background = [
            self.fleet.slow_down_forever(
                engine, random.Random(self.rng.random())
            )
            for engine in self.fleet.engines.values()
        ]
        if self.shares:
            background += [
                front_end.port.exchange_forever()
                for front_end in self.front_ends
            ]
        async with in_background(*background):
            tasks = await self.start(
                _WARM_UP_PROGRAMS_PER_SECOND, _WARM_UP_SECONDS, []
            )
            self.fleet.waits.clear()
            self.fleet.needless_waits.clear()
            tasks += await self.start(
                programs_per_second, _BURST_SECONDS, self.losses
            )
            await asyncio.gather(*tasks)

    async def start(self, programs_per_second, seconds, losses):
        """Starts programs at random times; returns their tasks."""
        tasks = []
        end = loop_now() + seconds
        while loop_now() < end:
            await asyncio.sleep(self.rng.expovariate(programs_per_second))
            front_end = self.rng.choice(self.front_ends)
            part = self.rng.choice(_SHARED_PARTS)
            tasks.append(
                asyncio.create_task(_run_program(front_end, part, losses))
            )
        return tasks


async def _run_program(front_end, part, losses):
    began_at = loop_now()
    for _ in range(_TURNS):
        await front_end.run_turn(part)
    losses.append(loop_now() - began_at - _TURNS * TURN_SECONDS)


@when(
    "{rate:d} programs of three turns start in each second, with seed {seed:d}"
)
def step_burst(context, rate, seed):
    async def run():
        burst = _Burst(random.Random(seed), context.shares)
        await burst.run(rate)
        return burst

    with context.choice():
        context.burst = _run(run(), seed)


def _late_share(context, seconds):
    losses = context.burst.losses
    return sum(loss > seconds for loss in losses) / len(losses)


@then("at most {share:f} of the programs lose more than {seconds:f} s")
def step_few_late(context, share, seconds):
    found = _late_share(context, seconds)
    assert found <= share, found


@then("more than {share:f} of the programs lose more than {seconds:f} s")
def step_many_late(context, share, seconds):
    found = _late_share(context, seconds)
    assert found > share, found


@then(
    "at most {share:f} of the turns wait more than {seconds:f} s while another"
    " engine has free slots"
)
def step_needless(context, share, seconds):
    fleet = context.burst.fleet
    count = sum(wait > seconds for wait in fleet.needless_waits)
    assert count <= share * len(fleet.waits), (count, len(fleet.waits))


@then("turns wait {seconds:f} s on average at most")
def step_mean_wait(context, seconds):
    waits = context.burst.fleet.waits
    assert sum(waits) / len(waits) <= seconds, sum(waits) / len(waits)


@given("{count:d} engines of {domains:d} domains that report {what} slowdown")
def step_engines(context, count, domains, what):
    context.prepare = []

    def make():
        names = itertools.cycle(_DOMAINS[:domains])
        fleet = EngineFleet(list(itertools.islice(names, count)), [1.0] * count)
        loads = DomainLoads()
        front_ends = [FrontEnd(fleet, "d0", loads) for _ in range(2)]
        for engine in fleet.engines.values():
            engine.reports_speed = what == "a"
            if what == "a":
                front_ends[0].performance.services_with_slowdown.add("llm")
                front_ends[1].performance.services_with_slowdown.add("llm")
        for prepare in context.prepare:
            prepare(fleet, front_ends[0])
        return fleet, front_ends

    context.make = make


@given("two front ends of a domain have placed no turn yet")
def step_two(context):
    assert not context.prepare


def _share(front_ends):
    for front_end in (*front_ends, *front_ends):
        front_end.port.exchange()


def _places(front_end, part, count):
    """Returns where turns would be placed, and how many were compared."""
    picks = [
        front_end.dispatcher.selector.pick(front_end.job(part))
        for _ in range(count)
    ]
    names = collections.Counter(pick.endpoint.name for pick in picks)
    return names, {pick.candidates for pick in picks}


@when("one of them sends a turn and they share what they know")
def step_share(context):
    async def run():
        _, front_ends = context.make()
        context.used = await front_ends[0].run_turn("shared")
        _share(front_ends)
        context.known, _ = _places(front_ends[1], "shared", 50)
        context.unknown, _ = _places(front_ends[1], "other", 50)

    _run(run())


@then(
    "the other one places all of 50 turns with this prompt part at that engine"
)
def step_at_cached(context):
    assert set(context.known) == {context.used}, context.known


@then("it places turns with another prompt part at other engines too")
def step_elsewhere(context):
    assert len(context.unknown) > 3, context.unknown


@given("a front end with as many prefixes as it keeps for an engine")
def step_full(context):
    context.stats = EndpointStats()
    context.parts = [
        (PromptPart(f"own-{number}", 1),) for number in range(_MAX_PREFIXES)
    ]
    for parts in context.parts:
        context.stats.record_prompt(parts)


@when("another front end reports a prefix for that engine")
def step_other_prefix(context):
    context.stats.record_shared_prefix("/shared")


@then("all its own prefixes are still known")
def step_all_known(context):
    assert all(map(context.stats.cached_tokens, context.parts))
    assert len(context.stats.prefixes) == _MAX_PREFIXES


@then("one that it receives while there is room is dropped before its own")
def step_dropped_first(context):
    stats = context.stats
    del stats.prefixes["/own-7"]
    stats.record_shared_prefix("/shared")
    assert stats.cached_tokens((PromptPart("shared", 1),))
    stats.record_prompt((PromptPart("own-7", 1),))
    assert not stats.cached_tokens((PromptPart("shared", 1),))
    assert all(map(stats.cached_tokens, context.parts))


@when("a front end sends {count:d} turns with prompts of three parts")
def step_three_parts(context, count):
    async def run():
        fleet, front_ends = context.make()
        front_end = front_ends[0]
        parts = tuple(PromptPart(name, 100) for name in ("shared", "a", "b"))
        for _ in range(count):
            job = front_end.job("shared")
            job.call.prompt_parts = parts
            async with front_end.dispatcher.open_response(job):
                await asyncio.sleep(0.1)
        return list(fleet.engines), front_end.port.own_prefixes

    context.names, context.prefixes = _run(run())


@then("it has reported the first part once for each engine")
def step_reported_once(context):
    found = sorted((each.endpoint, each.prefix) for each in context.prefixes)
    assert found == [(name, "/shared") for name in context.names], found


@when(
    "turns of {seconds:f} s run for 4 s and one engine is slow for 0.5 s"
    " meanwhile"
)
def step_slow(context, seconds):
    async def run():
        fleet, front_ends = context.make()
        engine = fleet.engines["engine-0"]
        sent = []
        tasks = []

        async def turn(front_end):
            sent_at = loop_now() - began_at
            sent.append((sent_at, await front_end.run_turn("", seconds)))

        began_at = loop_now()
        sharing = [each.port.exchange_forever() for each in front_ends]
        async with in_background(*sharing):
            while loop_now() < began_at + 4:
                if not engine.slow_until and loop_now() > began_at + 1.5:
                    context.ratios = [_ratio(front_ends[0])]
                    engine.slow_until = loop_now() + 0.5
                tasks.append(
                    asyncio.create_task(turn(random.choice(front_ends)))
                )
                await asyncio.sleep(random.expovariate(_SHORT_TURNS_PER_SECOND))
            await asyncio.gather(*tasks)
        context.ratios.append(_ratio(front_ends[0]))
        context.sent = sent

    _run(run())


def _ratio(front_end):
    return front_end.performance.stats["engine-0"].duration_ratio


def _slow_engine_share(context, begin, end):
    names = [name for at, name in context.sent if begin <= at < end]
    return names.count("engine-0") / len(names)


@then("it gets at most {share:f} of the turns sent while its slowness is known")
def step_slow_share(context, share):
    # One of the front ends has heard of it after 0.1 s at the latest.
    found = _slow_engine_share(context, 1.6, 2.0)
    assert found <= share, found


@then("at least {share:f} of those sent from 0.5 s to 1.5 s after")
def step_share_after(context, share):
    found = _slow_engine_share(context, 2.5, 3.5)
    assert found >= share, found


@then("its learned duration ratio has changed by at most {change:f}")
def step_ratio(context, change):
    before, after = context.ratios
    assert abs(after - before) <= change, context.ratios


@when("{count:d} turns run at one that {event}")
def step_turns_at_slow(context, count, event):
    async def run():
        fleet, front_ends = context.make()
        front_end = front_ends[0]
        slow = fleet.engines["engine-0"]
        for _ in range(20):
            await front_end.run_turn()
        context.ratios = [_ratio(front_end)]
        # All turns go to the slow engine.
        fleet.registry.remove("engine-1")
        if event == "is slow":
            slow.slow_until = loop_now() + 60
        turns = [
            asyncio.create_task(front_end.run_turn()) for _ in range(count)
        ]
        await asyncio.sleep(0.01)
        slow.slow_until = loop_now() + 60
        await asyncio.gather(*turns)
        context.ratios.append(_ratio(front_end))

    _run(run())


@when("an engine reported a slowdown of {slowdown:g} {age:g} s ago")
def step_reported_slowdown(context, slowdown, age):
    async def run():
        fleet, front_ends = context.make()
        performance = front_ends[0].performance
        endpoint = fleet.engines["engine-0"].endpoint
        load = Load(0, 0, SLOTS, slowdown)
        performance.record_load(endpoint, load, loop_now() - age)
        call = front_ends[0].job("").call

        def estimate(seconds):
            performance.averages["call"] = MovingAverage(seconds)
            return performance.estimate(endpoint, call, "call", 0).run_seconds

        with mock.patch("rattanmill_forward.stats._TIE_BREAK_JITTER", 0.0):
            context.expected = {
                seconds: estimate(seconds) for seconds in (0.04, 0.3)
            }

    _run(run())


@then("a call of {usual:g} s is expected to take {least:g} to {most:g} s there")
def step_expected(context, usual, least, most):
    expected = context.expected[usual]
    assert least - 0.001 <= expected <= most + 0.001, expected


_SHARED_REPORT = re.compile(
    r"a shared report of (\d+) requests, ([\d.]+) s old"
)


@when("an engine is known from {reports}")
def step_reports(context, reports):
    async def run():
        fleet, front_ends = context.make()
        front_end = front_ends[0]
        endpoint = fleet.engines["engine-0"].endpoint
        stats = front_end.performance.stats_of(endpoint)

        def share(requests, age):
            front_end.port.on_loads(
                [EndpointLoad("engine-0", requests, 0, SLOTS, 1.0, age)]
            )

        def send():
            for number in range(3):
                InFlightCall(stats, str(number), 0).__enter__()

        plain = _SHARED_REPORT.match(reports)
        if plain:
            share(int(plain[1]), float(plain[2]))
        elif reports.startswith("an own report"):
            front_end.performance.record_response(
                endpoint, Load(2, 0, SLOTS, 1.0)
            )
            share(10, 0.3)
        elif "before 3" in reports:
            share(5, 0.0)
            await asyncio.sleep(1e-6)
            send()
        elif "heard after 3" in reports:
            await asyncio.sleep(0.05)
            send()
            share(5, 0.05)
        elif "after 3" in reports:
            send()
            await asyncio.sleep(0.05)
            share(5, 0.0)
        context.active = stats.active_requests(loop_now())

    _run(run())


@then("it is taken to have {least:g} to {most:g} requests")
def step_active(context, least, most):
    assert least - 0.01 <= context.active <= most + 0.01, context.active


@when(
    "one of two front ends sends {count:d} turns and they share what they know"
)
def step_unchanged(context, count):
    async def run():
        _, front_ends = context.make()
        for _ in range(count):
            await front_ends[0].run_turn()
        _, context.compared = _places(front_ends[0], "shared", count)
        _share(front_ends)
        context.loads = front_ends[0].port.domain

    _run(run())


@then("each of its turns was compared at {count:d} engines")
@then("{count:d} engines are compared for each")
def step_compared(context, count):
    assert context.compared == {count}, context.compared


@then("it has nothing to share")
def step_nothing(context):
    assert not context.loads.loads and not context.loads.prefixes


@given(
    'the engines of "{domain}" run {running:d} requests each, and {waiting:d}'
    " wait there"
)
def step_domain_busy(context, domain, running, waiting):
    def prepare(fleet, front_end):
        for engine in fleet.engines.values():
            if engine.endpoint.domain == domain:
                _report(front_end, engine, running, waiting)

    context.prepare.append(prepare)


@given(
    "{count:d} engines run {running:d} requests each, and {waiting:d} wait"
    " there"
)
def step_some_busy(context, count, running, waiting):
    def prepare(fleet, front_end):
        for engine in itertools.islice(fleet.engines.values(), count):
            _report(front_end, engine, running, waiting)

    context.prepare.append(prepare)


def _report(front_end, engine, running, waiting):
    front_end.performance.record_response(
        engine.endpoint, Load(running, waiting, SLOTS, SLOWDOWN)
    )


@when('{count:d} turns are placed while "{domains}" is unreachable')
@when("{count:d} turns are placed")
@when("{count:d} turns are placed at idle engines")
def step_place(context, count, domains=""):
    async def run():
        fleet, front_ends = context.make()
        front_ends[0].domains.unreachable = set(domains.split(", "))
        placed, context.compared = _places(front_ends[0], "shared", count)
        context.placed_domains = {
            fleet.engines[name].endpoint.domain for name in placed
        }

    _run(run())


@then('none is placed in "{domain}"')
def step_none_in(context, domain):
    assert context.placed_domains
    assert domain not in context.placed_domains, context.placed_domains


@then('all are placed in "{domain}"')
def step_all_in(context, domain):
    assert context.placed_domains == {domain}, context.placed_domains


@when("a turn is placed at one that is busy")
def step_place_busy(context):
    async def run():
        fleet, front_ends = context.make()
        front_end = front_ends[0]
        front_end.dispatcher.metrics = context.metrics = mock.Mock()
        busy = fleet.engines["engine-0"].endpoint
        # The busy engine has the whole prompt cached and others would take
        # seconds to read it.
        job = front_end.job("long")
        job.call.prompt_tokens = 1_000_000
        job.call.prompt_parts = (PromptPart("long", 1_000_000),)
        front_end.performance.stats_of(busy).record_prompt(
            job.call.prompt_parts
        )
        async with front_end.dispatcher.open_response(job):
            pass

    _LOG.reset_mock()
    _run(run())
    context.placed = [
        each.kwargs for each in _LOG.call_args_list if each.args == ("placed",)
    ]


@then('rattanmill_placed_busy counts it once as "{another}"')
def step_counted_busy(context, another):
    assert context.metrics.count.call_args_list == [
        mock.call("rattanmill_placed_busy", another=another)
    ]


@then("its log line has the slowdown that the engine has reported")
def step_logged(context):
    (line,) = context.placed
    assert line["slowdown"] == SLOWDOWN, line


_SAMPLES = st.lists(
    st.tuples(st.sampled_from(_DOMAINS), st.sampled_from((0, 100, 200))),
    max_size=9,
)


def _check_samples(check):
    """Checks what is drawn from any endpoints, given their cached tokens."""

    @settings(max_examples=200, derandomize=True, deadline=None)
    @for_all(_SAMPLES)
    def check_all(given):
        endpoints = [
            Endpoint(f"e{number}", "llm", domain, "", 1, False)
            for number, (domain, _) in enumerate(given)
        ]
        tokens = [each for _, each in given]
        drawn = draw_candidates(endpoints, "d0", tokens)
        check(endpoints, dict(zip(endpoints, tokens, strict=True)), drawn)

    check_all()


@then("every sample is made of different endpoints that may get the call")
def step_sample_valid(context):
    def check(endpoints, tokens, drawn):
        assert len(set(drawn)) == len(drawn)
        assert set(drawn) <= set(endpoints)

    _check_samples(check)


@then("has two of the own domain, three in all, if there are so many")
def step_sample_domains(context):
    def check(endpoints, tokens, drawn):
        local = [each for each in endpoints if each.domain == "d0"]
        remote_count = len(endpoints) - len(local)
        drawn_local = [each for each in drawn if each.domain == "d0"]
        local_count = min(2, len(local))
        assert len(drawn_local) >= local_count
        assert len(drawn) >= local_count + min(3 - local_count, remote_count)

    _check_samples(check)


@then("has one with most of the prompt cached, as a fourth at most")
def step_sample_cached(context):
    def check(endpoints, tokens, drawn):
        assert len(drawn) <= 4
        assert max(map(tokens.get, drawn), default=0) == max(
            tokens.values(), default=0
        )

    _check_samples(check)
