"""Steps of admission, queue order and shares."""

import asyncio
import concurrent.futures
import random

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from steps.system import start

from rattanmill_core import Reason, Refusal, WorkClass
from rattanmill_policy import Placement, Rules, Scheduler
from rattanmill_policy.admission import (
    Admission,
    Permits,
    ProgramProfile,
    allowed_delay,
    next_limit,
)
from rattanmill_policy.queueing import ProgramUsageTable, virtual_deadline
from support import EngineSpec, Layout, wait_until
from support.virtual import Fleet, chat_work, class_with_target, run_virtually

_EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)
_DELAY = 5.0


@given("a system whose only runner stands still")
def step_still(context):
    layout = Layout(
        domains=("alba-east",), per_domain=1, engines=[EngineSpec("runner")]
    )
    start(context, layout)
    context.runner = context.system.standins["runner"]
    context.scenario_stack.callback(context.runner.faults, hang=False)
    _set_target(context, 2.0)
    context.runner.faults(hang=True)


def _set_target(context, seconds):
    (client,) = context.clients
    shown = client.request("GET", "/v1/admin/config").json
    shown["classes"] = {
        "default": {},
        "hurried": {"target_seconds": seconds},
    }
    answer = client.request("PUT", "/v1/admin/config", shown)
    assert answer.status == 200, answer


def _begin(context):
    (client,) = context.clients
    program = client.create(**{"class": "hurried"}, workspace="leith")
    return context.pool.submit(client.chat, "hello", program, 1)


@when('12 programs of class "hurried" send their first turn')
def step_first_turns(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(16)
    context.scenario_stack.callback(context.pool.shutdown)
    context.scenario_stack.callback(context.runner.faults, hang=False)
    context.tasks = [_begin(context) for _ in range(12)]


def _refused(context):
    ended = [task.result() for task in context.tasks if task.done()]
    return [answer for answer in ended if answer.status == 429]


@then('some are refused as "overloaded" with a time to come back')
def step_some_refused(context):
    wait_until(lambda: _refused(context), "a program is refused")
    for answer in _refused(context):
        assert answer.json["reason"] == "overloaded", answer
        assert answer.json["ran"] == "no", answer
        assert int(answer.headers["retry-after"]) >= 1, answer


@then("each of those refused was told so while the runner stood still")
def step_while_still(context):
    def settled():
        calls = context.runner.stats().get("calls", 0)
        held = sum(not task.done() for task in context.tasks)
        return held and held + len(_refused(context)) == 12 and calls <= held

    wait_until(settled, "each program is refused or holds its place")


@when("the runner goes on")
def step_goes_on(context):
    context.runner.faults(hang=False)


@then("all that were not refused are answered")
def step_answered(context):
    statuses = {task.result().status for task in context.tasks}
    assert statuses == {200, 429}, statuses


@when('the target of "hurried" becomes 600 s')
def step_new_target(context):
    _set_target(context, 600.0)


@then('a program of class "hurried" is not refused any more')
def step_not_refused(context):
    # The runner still stands still and the queue is as long as before: only
    # the target has changed. A refusal would come at once.
    (client,) = context.clients
    queued = client.metric("rattanmill_queued")
    task = _begin(context)
    wait_until(
        lambda: task.done() or client.metric("rattanmill_queued") > queued,
        "the program is refused or waits",
    )
    assert not task.done(), task.result()
    context.runner.faults(hang=False)
    assert task.result().status == 200, task.result()


def _one_place(context, rules, workspace=""):
    context.rules = rules
    context.workspace = workspace


@given("a runner with one place, which is taken")
def step_one_place(context):
    _one_place(context, Rules())


@given("a runner with one place, which is taken, without an order")
def step_one_place_unordered(context):
    _one_place(context, Rules(order=False))


@given('a runner with one place, which is taken by workspace "flood"')
def step_one_place_flood(context):
    _one_place(context, Rules(), "flood")


@given(
    'a runner with one place, which is taken by workspace "flood",'
    " without shares"
)
def step_one_place_no_shares(context):
    _one_place(context, Rules(shares=False), "flood")


def _waiting_order(context, works):
    """Returns the programs in the order in which they get the one place."""

    async def run():
        fleet = Fleet(
            {"a": 0.5},
            lambda *args: Scheduler(*args, rules=context.rules, seed=1),
        )
        fleet.classes = {"default": class_with_target(3600.0)}
        fleet.set_limit(1)
        held = await fleet.hold(
            chat_work("holder", workspace=context.workspace)
        )
        order = []

        async def wait(work):
            placed = await fleet.scheduler.place(work)
            assert isinstance(placed, Placement), placed
            fleet.set_limit(1)
            order.append(work.program)
            await fleet.finish(placed)
            fleet.set_limit(1)

        tasks = []
        for work in works:
            tasks.append(asyncio.create_task(wait(work)))
            await asyncio.sleep(0.01)
        await fleet.finish(held)
        await asyncio.gather(*tasks)
        return order

    return run_virtually(run())


@when("a new program waits for it, and then one under way")
def step_two_wait(context):
    works = [chat_work("new", turn=1), chat_work("under way", turn=2)]
    context.order = _waiting_order(context, works)


@then("the one under way gets it first")
def step_under_way_first(context):
    assert context.order == ["under way", "new"], context.order


@then("the new one gets it first")
def step_new_first(context):
    assert context.order == ["new", "under way"], context.order


@when('workspace "flood" has 30 calls waiting and "small" then 1')
def step_flood(context):
    works = [
        chat_work(f"flood-{number}", workspace="flood") for number in range(30)
    ]
    works.append(chat_work("small", workspace="small"))
    context.order = _waiting_order(context, works)


@then('the call of "small" is among the first 3')
def step_small_first(context):
    assert "small" in context.order[:3], context.order


@then('the call of "small" is the last')
def step_small_last(context):
    assert context.order[-1] == "small", context.order


@then("a call under way has a higher priority than a new one placed before it")
def step_priority(context):
    async def run():
        fleet = Fleet({"a": 0.5})
        new = await fleet.hold(chat_work("new", turn=1))
        await asyncio.sleep(1)
        under_way = await fleet.hold(chat_work("under way", age_seconds=5.0))
        return new.priority, under_way.priority

    new, under_way = run_virtually(run())
    assert new < under_way, (new, under_way)


def _admits(delay, excess):
    admission = Admission(random.Random(1))
    admission.class_state("default").profile.record_sample("run", 1.0)
    verdict = admission.check_new(
        "default",
        WorkClass(target_seconds=60.0),
        Permits(),
        age=0.0,
        delay=delay,
        excess=excess,
        completion_rate=0.0,
        now=100.0,
    )
    return verdict.admitted


@then("a workspace within its share is admitted whenever one over it is")
def step_share_first(context):
    @_EXAMPLES
    @for_any(st.floats(0.0, 10.0), st.floats(0.0, 10.0))
    def check(delay, excess):
        assert _admits(delay, 0.0) or not _admits(delay, excess)

    check()


@then("at half of the allowed wait only the one within its share is")
def step_share_only(context):
    shape = Admission(random.Random(1)).class_state("default").profile
    shape.record_sample("run", 1.0)
    allowed = allowed_delay(shape, WorkClass(target_seconds=60.0))
    assert _admits(0.49 * allowed, 0.0)
    assert not _admits(0.49 * allowed, 2.0)


@when("a call with a deadline of 2 s waits for it")
def step_deadline(context):
    async def run():
        fleet = Fleet({"a": 0.5})
        fleet.set_limit(1)
        held = await fleet.hold(chat_work("holder"))
        refusal = await fleet.call(chat_work("late", seconds_left=2.0))
        late = asyncio.get_running_loop().time()
        state = held.state
        await fleet.finish(held)
        return refusal, late, state.in_flight

    context.outcome = run_virtually(run())


@then('it is refused as "overloaded" by its deadline, and holds no place')
def step_deadline_refused(context):
    refusal, now, in_flight = context.outcome
    assert isinstance(refusal, Refusal), refusal
    assert refusal.reason is Reason.OVERLOADED, refusal
    assert refusal.retry_after > 0, refusal
    assert now <= 1000.0 + 2.0 + 0.5, now
    assert in_flight == 0


@then("whatever waits for four targets goes before all that comes later")
def step_no_starving(context):
    ages = st.floats(0.0, 1e5)
    excess = st.floats(0.0, 100.0)

    @_EXAMPLES
    @for_any(ages, ages, st.floats(0.1, 1e4), excess, st.booleans())
    def check(old_age, new_age, target, over, is_new):
        waits = virtual_deadline(100.0, old_age, old_age, target, is_new, over)
        # Longest: a new deadline, being new, and the most for the excess.
        later = 100.0 + 6.5 * target
        fresh = virtual_deadline(later, new_age, 0.0, target, False, 0.0)
        assert waits <= fresh

    check()


@then("a sub-agent goes no earlier than its parent would")
def step_sub_agents(context):
    uses = ProgramUsageTable()
    parent = uses.usage_of(chat_work("parent"), 100.0)
    parent.attained = 50.0
    child = uses.usage_of(chat_work("child", parent="parent", turn=1), 130.0)
    grandchild = uses.usage_of(chat_work("grandchild", parent="child"), 130.0)
    assert child is parent
    assert grandchild is parent


def _refusals(count):
    admission = Admission(random.Random(1))
    state = admission.class_state("default")
    for number in range(20):
        state.admitted.record(90.0 + number / 2)
    verdicts = [
        admission.check_new(
            "default",
            WorkClass(target_seconds=60.0),
            Permits(),
            age=0.0,
            delay=1000.0,
            excess=0.0,
            completion_rate=1.0,
            now=100.0,
        )
        for _ in range(count)
    ]
    assert not any(verdict.admitted for verdict in verdicts)
    return [verdict.retry_after for verdict in verdicts]


@then("no two refusals of a moment give the same time to come back")
def step_distinct(context):
    times = _refusals(20)
    assert len(set(times)) == len(times), times


@then("the times are as far apart as programs begin")
def step_apart(context):
    times = sorted(_refusals(10))
    assert times[-1] - times[0] > 9 * 0.4, times


@then("a runner's limit falls while calls are slow and grows while not")
def step_limit(context):
    @_EXAMPLES
    @for_any(st.floats(1.0, 200.0))
    def check(limit):
        slow = next_limit(limit, int(limit) + 1, 100.0, 1.0)
        fast = next_limit(limit, int(limit) + 1, 1.0, 1.0)
        idle = next_limit(limit, 0, 1.0, 1.0)
        assert slow <= max(limit, 1.6)
        assert fast >= limit
        assert idle == limit

    check()


def _see(shape, programs, calls, now):
    for _ in range(programs):
        for number in range(1, calls + 1):
            shape.record_call(number, now)


@given("a class that saw {programs:d} programs of {calls:d} calls")
def step_saw(context, programs, calls):
    context.profile = ProgramProfile()
    _see(context.profile, programs, calls, 100.0)
    assert context.profile.calls_percentile(95.0) == calls


@when(
    "it is used again a week later by {programs:d} programs of {calls:d} calls"
)
def step_week_later(context, programs, calls):
    _see(context.profile, programs, calls, 100.0 + 7 * 86_400)


@then("the percentile {percent:d} of its calls is {calls:d}")
def step_percentile(context, percent, calls):
    assert context.profile.calls_percentile(percent) == calls
    assert round(context.profile.mean_calls()) == calls
