"""Steps for placement."""

import asyncio
import random

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from bench.policies import Naive
from rattanmill_core import Reason, WorkClass
from rattanmill_policy import LoadReport, Scheduler, Work
from rattanmill_policy.choosing import cached_prefixes
from rattanmill_policy.placement import PlacementRequest, cache_price, estimate
from rattanmill_policy.prefixes import PrefixMap
from rattanmill_policy.ring import Ring
from rattanmill_policy.speeds import BlendedSpeed, EndpointStats
from support.virtual import (
    Fleet,
    chat_work,
    conversation_prefixes,
    run_virtually,
)

_EXAMPLES = settings(max_examples=100, deadline=None, derandomize=True)
_NAMES = st.sets(st.text("abcdef123", min_size=1), min_size=2, max_size=12)


def _plan(context, names, seconds, make):
    context.seconds = dict.fromkeys(names.split(", "), seconds)
    context.make = make


@given('endpoints "{names}" that take {seconds:f} s per call')
def step_endpoints(context, names, seconds):
    _plan(context, names, seconds, lambda *args: Scheduler(*args, seed=1))


@given(
    'endpoints "{names}" that take {seconds:f} s per call,'
    " with the naive scheduler"
)
def step_naive_endpoints(context, names, seconds):
    _plan(context, names, seconds, Naive)


@given('endpoint "{name}" that takes {seconds:f} s per call')
def step_endpoint(context, name, seconds):
    context.seconds[name] = seconds


def _fleet(context):
    return Fleet(context.seconds, context.make)


async def _calls(fleet, count, at_once):
    numbers = iter(range(count))

    async def caller():
        for number in numbers:
            await fleet.call(chat_work(f"program-{number}"))

    await asyncio.gather(*(caller() for _ in range(at_once)))


@when("{count:d} calls are made, {at_once:d} at a time")
def step_calls(context, count, at_once):
    context.plan = [*getattr(context, "plan", []), ("calls", count, at_once)]


@when('endpoint "{name}" keeps one call for {seconds:d} s')
def step_keeps(context, name, seconds):
    context.plan.append(("keep", name, seconds))


async def _run_plan(context):
    fleet = _fleet(context)
    counts = []
    for action in context.plan:
        match action:
            case ("calls", count, at_once):
                before = fleet.run_counts.copy()
                await _calls(fleet, count, at_once)
                counts.append(fleet.run_counts - before)
            case ("keep", name, seconds):
                fleet.seconds = fleet.seconds | {name: float(seconds)}
    return counts


@then('endpoint "{slow}" ran less than a third as many calls as "{name}"')
def step_third(context, slow, name):
    ran = run_virtually(_run_plan(context))[-1]
    assert 3 * ran[slow] < ran[name], ran


@then('endpoint "{slow}" ran as many calls as "{name}"')
def step_as_much(context, slow, name):
    ran = run_virtually(_run_plan(context))[-1]
    assert ran[slow] == ran[name], ran


@then('endpoint "{name}" ran at most {most:d} of the last calls')
def step_at_most(context, name, most):
    ran = run_virtually(_run_plan(context))[-1]
    assert ran[name] <= most, ran


@when("a conversation of 20 turns runs beside other calls")
def step_conversation(context):
    async def talk():
        fleet = _fleet(context)
        others = asyncio.create_task(_calls(fleet, 60, 2))
        names = []
        for turn in range(1, 21):
            work = chat_work(
                "talk",
                turn=turn,
                prefixes=conversation_prefixes("talk", turn + 1),
                prompt_tokens=500 * (turn + 1),
            )
            placement = await fleet.call(work)
            names.append(placement.state.endpoint.name)
        await others
        return names

    context.names = run_virtually(talk())


@then("one endpoint ran all 20 turns")
def step_one_endpoint(context):
    assert len(set(context.names)) == 1, context.names


@when("a conversation's endpoint gets {count:d} other calls")
def step_busy(context, count):
    async def talk():
        fleet = _fleet(context)
        prefixes = conversation_prefixes("talk", 2)
        work = {"prefixes": prefixes, "prompt_tokens": 1000}
        first = await fleet.call(chat_work("talk", **work))
        state = first.state
        report = LoadReport(waiting=count - 4, running=4, slots=4)
        for _ in range(5):
            await asyncio.sleep(1)
            fleet.scheduler.record_load_report(state.endpoint.name, report)
        second = await fleet.call(chat_work("talk", turn=3, **work))
        return state, second.state

    context.first, context.second = run_virtually(talk())


@then("the conversation's next turn goes to the other endpoint")
def step_other(context):
    assert context.first is not context.second


@then("a prefix that an answer reports as not cached is discarded")
def step_discarded(context):
    context.prefixes = PrefixMap()
    old, new = (
        chat_work(name, prefixes=conversation_prefixes(name, 3))
        for name in ("old", "new")
    )
    context.old, context.new = old, new
    context.prefixes.record_prompt(old, "a", 10.0)
    context.prefixes.record_prompt(new, "a", 20.0)
    later = chat_work("later", prefixes=conversation_prefixes("later", 3))
    context.later = later
    context.prefixes.record_prompt(later, "a", 30.0)
    cached = context.prefixes.find(new)["a"]
    context.prefixes.record_answer("a", cached.tokens, cached.last_used, 0)
    assert not context.prefixes.find(new)
    assert context.prefixes.find(later)


@then("so are all prefixes that were last used before it")
def step_older(context):
    assert not context.prefixes.find(context.old)


@then("any two instances find the same homes for a prefix")
def step_same_homes(context):
    @_EXAMPLES
    @for_any(_NAMES, st.binary(min_size=1), st.randoms())
    def check(names, digest, rng):
        shuffled = rng.sample(sorted(names), len(names))
        first, second = Ring(sorted(names)), Ring(shuffled)
        assert first.homes(digest, 2) == second.homes(digest, 2)

    check()


@then("when an endpoint is removed, only the prefixes at home there move")
def step_few_move(context):
    @_EXAMPLES
    @for_any(_NAMES, st.binary(min_size=1))
    def check(names, digest):
        removed, *remaining = sorted(names)
        (before,) = Ring(names).homes(digest, 1)
        (after,) = Ring(remaining).homes(digest, 1)
        assert before in (after, removed)

    check()


@then("a ring updated step by step equals one built at once")
def step_same_ring(context):
    @_EXAMPLES
    @for_any(st.lists(_NAMES, min_size=1, max_size=6))
    def check(steps):
        ring = Ring()
        for names in steps:
            ring.update(names)
        assert ring.points == Ring(steps[-1]).points

    check()


@when('"a" is the faster endpoint but its only slot is taken')
def step_place_taken(context):
    async def run():
        fleet = _fleet(context)
        fleet.seconds = {"a": 0.18, "b": 0.2}
        await _calls(fleet, 40, 2)
        for name in fleet.seconds:
            fleet.scheduler.record_load_report(name, LoadReport(slots=8))
        fleet.set_limit(1)
        held = await fleet.hold(chat_work("holder"))
        assert held.state.endpoint.name == "a", held.state.endpoint
        began = asyncio.get_running_loop().time()
        placement = await fleet.hold(chat_work("next"))
        waited = asyncio.get_running_loop().time() - began
        return placement.state.endpoint.name, waited

    context.placement = run_virtually(run())


@then('the next call goes to "b" at once')
def step_to_b(context):
    assert context.placement == ("b", 0.0), context.placement


@then("more load, less cache or a slower measurement never lowers the cost")
def step_monotonic(context):
    tokens = st.integers(0, 100_000)
    seconds = st.floats(1e-6, 1.0)
    less = st.floats(0.0, 1.0)

    @_EXAMPLES
    @for_any(tokens, tokens, st.integers(0, 50), seconds, seconds, less)
    def check(prompt, output, in_flight, prefill, decode, share):
        cached = int(prompt * share)
        request = PlacementRequest(prompt, output, prompt, 3.0, True)
        stats = EndpointStats(4.0)
        stats.slots = 8

        def cost(load, cached, factor):
            speed = BlendedSpeed(prefill * factor, decode * factor, 0.1)
            return estimate(stats, speed, load, request, cached, 0.0).cost

        base_cost = cost(in_flight, cached, 1.0)
        assert base_cost <= cost(in_flight + 1, cached, 1.0)
        assert base_cost <= cost(in_flight, cached // 2, 1.0)
        assert base_cost <= cost(in_flight, cached, 1.5)

    check()


@then("a smaller share of wasted cache never lowers the price of lost cache")
def step_price(context):
    shares = st.floats(0.01, 1.0)

    @_EXAMPLES
    @for_any(shares, shares, st.floats(0.0, 100.0))
    def check(first, second, age):
        low, high = (
            cache_price(WorkClass(wasted_cache_share=share), age)
            for share in (max(first, second), min(first, second))
        )
        assert 0 <= low <= high

    check()


@then("a program at its target pays nothing for lost cache")
def step_free(context):
    klass = WorkClass(target_seconds=10.0, wasted_cache_share=0.01)
    assert cache_price(klass, 10.0) == 0


@given("{count:d} endpoints")
def step_many(context, count):
    names = ", ".join(f"endpoint-{number}" for number in range(count))
    _plan(context, names, 0.2, lambda *args: Scheduler(*args, seed=1))


@then("a decision compares at most {most:d} of them")
def step_compares(context, most):
    async def look():
        fleet = _fleet(context)
        rng = random.Random(1)
        for number in range(50):
            work = chat_work(
                f"program-{number}",
                prefixes=conversation_prefixes(f"talk-{rng.randrange(5)}", 4),
            )
            await fleet.call(work)
            scheduler_state = fleet.scheduler.state
            cached = cached_prefixes(scheduler_state, work)
            found = scheduler_state.candidates.select(work, cached)
            assert 1 < len(found) <= most, len(found)

    run_virtually(look())


@when("{count:d} calls request models that no endpoint serves")
def step_unknown_models(context, count):
    async def run():
        context.fleet = _fleet(context)
        works = (Work(program=str(n), model=f"m-{n}") for n in range(count))
        return [await context.fleet.call(work) for work in works]

    context.refusals = run_virtually(run())


@then('each is refused as "unknown_model" and no state is kept for them')
def step_nothing_kept(context):
    reasons = {refusal.reason for refusal in context.refusals}
    assert reasons == {Reason.UNKNOWN_MODEL}, reasons
    scheduler_state = context.fleet.scheduler.state
    kept = [len(scheduler_state.candidates.pools), len(scheduler_state.groups)]
    assert kept == [0, 0], kept
