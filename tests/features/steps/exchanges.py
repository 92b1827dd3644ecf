"""Steps about calls over kept connections to endpoints."""

import asyncio

import hypothesis
from behave import then, when

from support.exchanges import CALLS, Answer, Body, Call, play_calls

_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
_SHORT = Call(Body.SHORT, False, Answer.PLAIN, False, False)
_EARLY = Call(Body.LONG, True, Answer.LATE_BEFORE, True, False)
_WHOLE = Call(Body.LONG, False, Answer.LATE_AT_ONCE, False, False)


@when(
    "an endpoint answers the call before again, and a long call before its body"
    " has come"
)
def step_late_and_early(context):
    calls = [_SHORT, _EARLY, _SHORT, _SHORT]
    context.outcome = asyncio.run(play_calls(calls))


@when("an endpoint answers the call before again while a long body is sent")
def step_late(context):
    calls = [_SHORT, _WHOLE, _WHOLE, _SHORT]
    context.calls = len(calls)
    context.outcome = asyncio.run(play_calls(calls))


@then("what it reads as one call is one caller's call")
def step_one_call(context):
    assert not context.outcome.wrong, context.outcome


@then("all calls got whole answers")
def step_answered(context):
    assert not context.outcome.wrong, context.outcome
    assert context.outcome.answered == context.calls, context.outcome


@then("no sequence of calls and answers mixes the calls of a connection")
def step_any_calls(context):
    @hypothesis.given(CALLS)
    @_SETTINGS
    def hold(calls):
        outcome = asyncio.run(play_calls(calls))
        assert not outcome.wrong, outcome

    hold()
