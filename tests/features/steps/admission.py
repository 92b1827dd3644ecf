"""Steps for admission, queue order and fair shares."""

import asyncio
import concurrent.futures
import random

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from steps.system import start

from rattanmill_core import Aspect, Reason, Refusal, WorkClass
from rattanmill_policy import Outcome, Placement, Rules, Scheduler
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
_RESEND_SECONDS = 0.1
_MAX_RESENDS = 200
# Longer than an endpoint that reopened gets few calls.
_RAMP_SECONDS = 7.0


@given("a system whose only endpoint is stalled")
def step_endpoint_stalled(context):
    layout = Layout(
        domains=("alba-east",), per_domain=1, engines=[EngineSpec("endpoint")]
    )
    start(context, layout)
    context.endpoint = context.system.standins["endpoint"]
    context.scenario_stack.callback(context.endpoint.faults, hang=False)
    _set_target(context, 2.0)
    context.endpoint.faults(hang=True)


def _set_target(context, seconds):
    (client,) = context.clients
    shown = client.request("GET", "/v1/admin/config").json
    shown["classes"] = {
        "default": {},
        "hurried": {"target_seconds": seconds},
    }
    answer = client.request("PUT", "/v1/admin/config", shown)
    assert answer.status == 200, answer


def _start_program(context):
    (client,) = context.clients
    program = client.create(**{"class": "hurried"}, workspace="leith")
    return context.pool.submit(client.chat, "hello", program, 1)


@when('12 programs of class "hurried" send their first turn')
def step_first_turns(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(16)
    context.scenario_stack.callback(context.pool.shutdown)
    context.scenario_stack.callback(context.endpoint.faults, hang=False)
    context.tasks = [_start_program(context) for _ in range(12)]


def _refused(context):
    ended = [task.result() for task in context.tasks if task.done()]
    return [answer for answer in ended if answer.status == 429]


@then('some are refused as "overloaded" with a Retry-After header')
def step_some_refused(context):
    wait_until(lambda: _refused(context), "a program is refused")
    for answer in _refused(context):
        assert answer.json["reason"] == "overloaded", answer
        assert answer.json["ran"] == "no", answer
        assert int(answer.headers["retry-after"]) >= 1, answer


@then("each refusal was returned while the endpoint was stalled")
def step_refused_while_stalled(context):
    def settled():
        calls = context.endpoint.stats().get("calls", 0)
        held = sum(not task.done() for task in context.tasks)
        return held and held + len(_refused(context)) == 12 and calls <= held

    wait_until(settled, "each program is refused or holds its place")


@when("the endpoint resumes")
def step_endpoint_resumes(context):
    context.endpoint.faults(hang=False)


@then("all programs that were not refused are answered")
def step_answered(context):
    statuses = {task.result().status for task in context.tasks}
    assert statuses == {200, 429}, statuses


@when('the target of "hurried" becomes 600 s')
def step_new_target(context):
    _set_target(context, 600.0)


@then('a program of class "hurried" is no longer refused')
def step_not_refused(context):
    # The endpoint is still stalled and the queue is as long as before; only the
    # target has changed. A refusal would arrive at once.
    (client,) = context.clients
    queued = client.metric("rattanmill_queued")
    task = _start_program(context)
    wait_until(
        lambda: task.done() or client.metric("rattanmill_queued") > queued,
        "the program is refused or waits",
    )
    assert not task.done(), task.result()
    context.endpoint.faults(hang=False)
    assert task.result().status == 200, task.result()


def _use_rules(context, rules, workspace=""):
    context.rules = rules
    context.workspace = workspace


@given("an endpoint whose only slot is taken")
def step_one_slot(context):
    _use_rules(context, Rules())


@given("an endpoint whose only slot is taken, without deadline order")
def step_one_slot_unordered(context):
    _use_rules(context, Rules(order=False))


@given('an endpoint whose only slot is taken by "flood"')
def step_one_slot_flood(context):
    _use_rules(context, Rules(), "flood")


@given('an endpoint whose only slot is taken by "flood", without shares')
def step_one_slot_no_shares(context):
    _use_rules(context, Rules(shares=False), "flood")


def _waiting_order(context, works):
    """Returns the programs in the order in which they get the only slot."""

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
            placement = await fleet.scheduler.place(work)
            assert isinstance(placement, Placement), placement
            fleet.set_limit(1)
            order.append(work.program)
            await fleet.finish(placement)
            fleet.set_limit(1)

        tasks = []
        for work in works:
            tasks.append(asyncio.create_task(wait(work)))
            await asyncio.sleep(0.01)
        await fleet.finish(held)
        await asyncio.gather(*tasks)
        return order

    return run_virtually(run())


@when("a new program waits for it, then a started one")
def step_two_wait(context):
    works = [chat_work("new", turn=1), chat_work("started", turn=2)]
    context.order = _waiting_order(context, works)


@then("the started program gets it first")
def step_started_first(context):
    assert context.order == ["started", "new"], context.order


@then("the new program gets it first")
def step_new_first(context):
    assert context.order == ["new", "started"], context.order


@when('workspace "flood" has 30 calls waiting and then "small" has 1')
def step_flood(context):
    works = [
        chat_work(f"flood-{number}", workspace="flood") for number in range(30)
    ]
    works.append(chat_work("small", workspace="small"))
    context.order = _waiting_order(context, works)


@then('the call of "small" is among the first 3')
def step_small_first(context):
    assert "small" in context.order[:3], context.order


@then('the call of "small" is last')
def step_small_last(context):
    assert context.order[-1] == "small", context.order


@then("a started program's call outranks a new program's earlier call")
def step_priority(context):
    async def run():
        fleet = Fleet({"a": 0.5})
        new = await fleet.hold(chat_work("new", turn=1))
        await asyncio.sleep(1)
        started = await fleet.hold(chat_work("started", age_seconds=5.0))
        return new.priority, started.priority

    new, started = run_virtually(run())
    assert new < started, (new, started)


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


@then("at half of the allowed delay only the one within its share is")
def step_share_only(context):
    profile = Admission(random.Random(1)).class_state("default").profile
    profile.record_sample("run", 1.0)
    allowed = allowed_delay(profile, WorkClass(target_seconds=60.0))
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


@then('it is refused as "overloaded" by its deadline and holds no slot')
def step_deadline_refused(context):
    refusal, now, in_flight = context.outcome
    assert isinstance(refusal, Refusal), refusal
    assert refusal.reason is Reason.OVERLOADED, refusal
    assert refusal.retry_after > 0, refusal
    assert now <= 1000.0 + 2.0 + 0.5, now
    assert in_flight == 0


@then("a call that waited for four targets precedes all later calls")
def step_no_starvation(context):
    ages = st.floats(0.0, 1e5)
    excess = st.floats(0.0, 100.0)

    @_EXAMPLES
    @for_any(ages, ages, st.floats(0.1, 1e4), excess, st.booleans())
    def check(old_age, new_age, target, excess, is_new):
        waiting_deadline = virtual_deadline(
            100.0, old_age, old_age, target, is_new, excess
        )
        # The maximum is a new deadline, the penalty for new programs and the
        # maximum penalty for excess usage.
        later_now = 100.0 + 6.5 * target
        later_deadline = virtual_deadline(
            later_now, new_age, 0.0, target, False, 0.0
        )
        assert waiting_deadline <= later_deadline

    check()


@then("a sub-agent is ordered no earlier than its parent")
def step_sub_agents(context):
    table = ProgramUsageTable()
    parent = table.usage_of(chat_work("parent"), 100.0)
    parent.attained = 50.0
    child = table.usage_of(chat_work("child", parent="parent", turn=1), 130.0)
    grandchild = table.usage_of(chat_work("grandchild", parent="child"), 130.0)
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


@then("no two simultaneous refusals give the same retry time")
def step_distinct(context):
    times = _refusals(20)
    assert len(set(times)) == len(times), times


@then("the retry times are spaced by the admission interval")
def step_spaced(context):
    times = sorted(_refusals(10))
    assert times[-1] - times[0] > 9 * 0.4, times


@then("an endpoint's limit falls while calls are slow and grows otherwise")
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


def _record_programs(profile, programs, calls, now):
    for _ in range(programs):
        for number in range(1, calls + 1):
            profile.record_call(number, now)


@given("a class that recorded {programs:d} programs of {calls:d} calls")
def step_recorded(context, programs, calls):
    context.profile = ProgramProfile()
    _record_programs(context.profile, programs, calls, 100.0)
    assert context.profile.calls_percentile(95.0) == calls


@when(
    "it is used again a week later by {programs:d} programs of {calls:d} calls"
)
def step_week_later(context, programs, calls):
    _record_programs(context.profile, programs, calls, 100.0 + 7 * 86_400)


@then("percentile {percent:d} of its calls is {calls:d}")
def step_percentile(context, percent, calls):
    assert context.profile.calls_percentile(percent) == calls
    assert round(context.profile.mean_calls()) == calls


async def _send_until_answered(fleet, program, turn):
    """Sends a turn again until it is answered."""
    for _ in range(_MAX_RESENDS):
        outcome = await fleet.call(chat_work(program, turn=turn))
        if isinstance(outcome, Placement) and (
            outcome.outcome is Outcome.ANSWERED
        ):
            return
        await asyncio.sleep(_RESEND_SECONDS)
    raise AssertionError(outcome)


def _end_failures(fleet):
    """Ends the failures; what a probe would show follows at once."""
    fleet.failing.clear()
    for state in fleet.table.states.values():
        fleet.table.reopen(state, Aspect.REACH)


@given(
    "an endpoint that fails for {seconds:d} s while a program sends its first"
    " turn"
)
def step_failing_for(context, seconds):
    async def fail():
        context.fleet = Fleet({"a": 0.2})
        context.fleet.failing.add("a")
        resent = asyncio.create_task(
            _send_until_answered(context.fleet, "resent", 1)
        )
        await asyncio.sleep(seconds)
        _end_failures(context.fleet)
        await resent

    context.first_phase = fail


@when(
    "{count:d} of its sub-agents have a turn each and the endpoint is idle"
    " again"
)
def step_short_queue(context, count):
    async def queue():
        await context.first_phase()
        await asyncio.sleep(_RAMP_SECONDS)
        turns = [
            chat_work(f"sub-agent-{number}", parent="resent")
            for number in range(count)
        ]
        await asyncio.gather(*map(context.fleet.call, turns))
        assert not any(
            state.in_flight for state in context.fleet.table.states.values()
        )
        return await context.fleet.hold(chat_work("new", turn=1))

    context.outcome = run_virtually(queue())


@then("a new program is admitted")
def step_new_admitted(context):
    assert isinstance(context.outcome, Placement), context.outcome


async def _learned_pause(pause, resend_gaps):
    """Returns the pause learned from a second turn that is sent repeatedly."""
    fleet = Fleet({"a": 0.2})
    await fleet.call(chat_work("program", turn=1))
    await asyncio.sleep(pause)
    fleet.failing.add("a")
    for gap in resend_gaps:
        await fleet.call(chat_work("program"))
        await asyncio.sleep(gap)
    _end_failures(fleet)
    await fleet.call(chat_work("program"))
    admission = fleet.scheduler.state.admission
    return admission.class_state("default").profile.pause


@then("the learned pause is the program's own, however often a turn is resent")
def step_pause_once(context):
    seconds = st.floats(0.01, 30.0)

    @_EXAMPLES
    @for_any(seconds, st.lists(seconds, max_size=5))
    def check(pause, resend_gaps):
        learned = run_virtually(_learned_pause(pause, resend_gaps))
        assert abs(learned - pause) < 1e-6, (learned, pause)

    check()
