"""Steps for retries."""

import asyncio
import concurrent.futures
import contextlib
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from steps.system import start

from bench.policies import Naive
from rattanmill_entry import attempts
from rattanmill_entry.attempts import ChatRun, run_chat
from rattanmill_entry.chatbody import ChatBody
from rattanmill_entry.upstream import Delta, Failed, Finished, Usage
from rattanmill_policy import Outcome, Placement, Scheduler, Work
from rattanmill_policy.retries import RetryBudget, should_retry
from support import EngineSpec, Layout, wait_until
from support.virtual import (
    Fleet,
    chat_work,
    class_with_target,
    run_virtually,
)

_EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)


def _failing_fleet(names, failing, make_scheduler):
    fleet = Fleet(dict.fromkeys(names, 0.2), make_scheduler)
    fleet.failing = set(failing)
    # Closing failed endpoints would hide the retries.
    fleet.table.record_outcome = lambda state, outcome: None
    return fleet


def _make_scheduler(*args):
    return Scheduler(*args, seed=1)


@given('endpoints "a, b, c" that all break each call')
def step_all_break(context):
    context.make_scheduler = _make_scheduler


@given('endpoints "a, b, c" that all break each call, with the naive scheduler')
def step_all_break_naive(context):
    context.make_scheduler = Naive


@when("{count:d} calls are made one after the other")
def step_calls(context, count):
    async def run():
        fleet = _failing_fleet("abc", "abc", context.make_scheduler)
        for number in range(count):
            await fleet.call(chat_work(f"program-{number}"))
        return fleet

    context.fleet = run_virtually(run())
    context.count = count


@then("fewer than 10 in 100 calls were retried")
def step_few_retries(context):
    retries = context.fleet.run_counts.total() - context.count
    assert 0 < retries < context.count / 10, retries


@then("each call was tried 3 times")
def step_all_retried(context):
    assert context.fleet.run_counts.total() == 3 * context.count


@given('endpoints "a, b" of which "a" breaks each call')
def step_a_breaks(context):
    context.make_scheduler = _make_scheduler


@given('endpoints "a, b, c, d" of which "a" breaks calls and "b, c" are down')
def step_a_breaks_others_down(context):
    context.make_scheduler = _make_scheduler
    context.names = "abcd"
    context.down = "bc"


@when('calls are made until one fails at "{failing}"')
def step_until(context, failing):
    names = getattr(context, "names", "ab")
    context.failed_at = set(failing.split(", "))

    async def run():
        fleet = _failing_fleet(names, "a", context.make_scheduler)
        fleet.down = set(getattr(context, "down", ""))
        for number in range(100):
            placement = await fleet.call(chat_work(f"program-{number}"))
            if set(placement.work.tried) == context.failed_at:
                return placement
        raise AssertionError(f"no call met all of {failing}")

    context.placement = run_virtually(run())


@then('it is answered by "{name}"')
def step_by(context, name):
    tried = context.placement.work.tried
    assert sorted(tried) == sorted(context.failed_at), tried
    assert context.placement.state.endpoint.name == name
    assert context.placement.outcome is Outcome.ANSWERED


@given("a system with two endpoints")
def step_two_endpoints(context):
    endpoints = [EngineSpec("endpoint-1"), EngineSpec("endpoint-2")]
    layout = Layout(domains=("alba-east",), per_domain=1, engines=endpoints)
    start(context, layout)
    context.endpoints = ["endpoint-1", "endpoint-2"]


@when("the endpoint that runs a call is killed")
def step_kill(context):
    standins = context.system.standins
    for name in context.endpoints:
        standins[name].faults(hang=True)
    (client,) = context.clients
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.scenario_stack.callback(pool.shutdown)
    context.task = pool.submit(client.chat, "hello")

    def busy():
        return next(
            (n for n in context.endpoints if standins[n].stats().get("calls")),
            None,
        )

    context.killed = wait_until(busy, "an endpoint has the call")
    context.other = next(n for n in context.endpoints if n != context.killed)
    standins[context.other].faults(hang=False)
    context.system.processes[context.killed].kill()


@then("the call is answered by the other endpoint")
def step_other_answers(context):
    answer = context.task.result()
    assert answer.status == 200, answer
    assert context.system.standins[context.other].stats()["calls"] == 1


@then("retries never exceed 8 in 100 first tries plus the initial ten")
def step_budget(context):
    @_EXAMPLES
    @for_any(st.lists(st.booleans(), max_size=500))
    def check(events):
        budget = RetryBudget()
        first = retries = 0
        for is_first in events:
            if is_first:
                first += 1
                budget.deposit("a")
            else:
                retries += budget.try_withdraw("a")
            assert retries <= 10 + 0.08 * first + 1e-9

    check()


@then("a call past its deadline is not retried")
def step_past_deadline(context):
    work = chat_work("late", seconds_left=5.0)
    work.started_at, work.deadline = 100.0, 105.0
    assert should_retry(work, Outcome.BROKEN, 104.0)
    assert not should_retry(work, Outcome.BROKEN, 105.0)


@then("a program past its target has no shorter timeout than one in time")
def step_late_timeout(context):
    async def run():
        fleet = Fleet({"a": 0.2})
        fleet.classes = {"default": class_with_target(30.0)}
        fresh = await fleet.hold(chat_work("fresh"))
        late = await fleet.hold(chat_work("late", age_seconds=100.0))
        return fresh.timeout_seconds, late.timeout_seconds

    fresh, late = run_virtually(run())
    assert fresh <= late, (fresh, late)
    assert fresh >= 15.0, fresh


def _delta(text):
    return Delta({"content": text}, b"")


def _broken():
    return Failed(Outcome.BROKEN, 0, "connection lost")


@given("a stream that breaks after 2 parts and is continued elsewhere")
def step_broken_stream(context):
    async def first():
        for part in (_delta("a"), _delta("b"), _broken()):
            yield part

    async def not_resumed():
        yield Failed(Outcome.REJECTED, 404, "no such stream")

    context.first = first
    context.resumed = not_resumed


def _state(name):
    endpoint = SimpleNamespace(name=name, url=f"http://{name}")
    return SimpleNamespace(
        endpoint=endpoint, in_flight=0, active_timeouts=set(), progress_at=0.0
    )


def _fake_node(placements):
    """Returns a node that places calls at two endpoints in turn."""
    states = map(_state, ("first", "second"))

    async def place(work):
        placements.append(Placement(work, next(states), lambda _: None))
        return placements[-1]

    node = mock.MagicMock()
    node.guard.refusal.return_value = None
    node.guard.isolate.return_value = contextlib.AsyncExitStack()
    node.guard.handle_broken_attempt = mock.AsyncMock(return_value=None)
    node.guard.delay_retry = mock.AsyncMock()
    node.scheduler.place = place
    node.spawn = lambda coroutine: coroutine.close()
    node.scheduler.may_retry.return_value = True
    return node


@when(
    "the second endpoint repeats them, {seconds:f} s each, and ends the answer"
)
def step_continued(context, seconds):
    async def second():
        for text in "abc":
            yield _delta(text)
            await asyncio.sleep(seconds)
        yield Finished("stop", Usage(10, 3))

    streams = iter((context.first, second))

    async def run():
        chat = ChatBody("m", [b'{"role":"user"}'], {}, [], 8)
        call = ChatRun(
            chat, chat.messages, 8, Work(program="program"), stream=True
        )
        return [part async for part in run_chat(_fake_node(placements), call)]

    placements = []
    with (
        mock.patch.object(attempts, "stream_chat", lambda *_: next(streams)()),
        mock.patch.object(
            attempts, "resume_chat", lambda *_: context.resumed()
        ),
    ):
        context.parts = asyncio.run(run())
    context.placements = placements
    context.seconds = seconds


@then("the caller gets each part once")
def step_each_once(context):
    *parts, last = context.parts
    assert [p.fields["content"] for p in parts] == ["a", "b", "c"], parts
    assert isinstance(last, Finished), last


@then("the second endpoint's first token was counted at its first part")
def step_first_token(context):
    first, second = context.placements
    assert first.outcome is Outcome.BROKEN, first.outcome
    assert second.outcome is Outcome.ANSWERED, second.outcome
    assert second.first_token_seconds < context.seconds, (
        second.first_token_seconds
    )
    assert second.seconds > 2 * context.seconds, second.seconds
