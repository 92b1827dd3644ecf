"""Steps about streams that consist of several attempts."""

import time

from behave import given, then, when
from steps.site import send_turn, site

_ENGINES = ("llm-0", "llm-1", "llm-2")
_EVENTS = [1, 2, 3, 4]


def event_numbers(answer):
    """Returns the numbers in the data of an answer's events."""
    return [
        int(line.removeprefix(b"data: word").split(b" ")[0])
        for line in answer.body.splitlines()
        if line.startswith(b"data: word")
    ]


@given('every engine has the fault "{fault}" {count:d} times')
def step_engine_faults(context, fault, count):
    for name in _ENGINES:
        site(context).control_endpoint(name, *[fault] * count)


@then('an endpoint played the fault "{fault}"')
def step_played(context, fault):
    received = site(context).received_requests(context.request)
    played = [entry["fault"] for entry in received]
    assert fault in played, played


@then("its data are those of events 1 to 4, each once")
def step_data(context):
    assert event_numbers(context.answer) == _EVENTS, context.answer


@then("it was sent to endpoints {least:d} to {most:d} times")
def step_bounded(context, least, most):
    received = site(context).received_requests(context.request)
    assert least <= len(received) <= most, len(received)


@then("the response is the endpoint's")
def step_unchanged(context):
    assert context.answer.body == b"failed\n\n", context.answer
    assert context.answer.headers["x-response-signature"], context.answer


def send_budgeted(context, program, budget):
    send_turn(context, "east", "v", program, X_Token_Budget=str(budget))


@when(
    'a turn of program "{program}" with a budget of {budget:d} tokens is sent'
    ' to "east"'
)
def step_send_budgeted(context, program, budget):
    send_budgeted(context, program, budget)


@when("the faults of the engines are over")
def step_clear(context):
    for name in _ENGINES:
        site(context).control_endpoint(name, "clear")


@then(
    '{count:d} turns of program "{program}" with a budget of {budget:d} tokens'
    " are answered with 200"
)
def step_budget_left(context, count, program, budget):
    for _ in range(count):
        send_budgeted(context, program, budget)
        assert context.answer.status == 200, context.answer


@when('a plan is sent to "east" and timed')
def step_timed_plan(context):
    began = time.monotonic()
    context.request, context.answer = site(context).ask(
        "east", "POST", "/stream/plan/a", b"plan", X_Token_Usage="10,40"
    )
    context.waited_seconds = time.monotonic() - began


@then("its caller waited for less than {seconds:d} s")
def step_waited(context, seconds):
    assert context.waited_seconds < seconds, context.waited_seconds


@when(
    'a turn "{text}" of program "{program}" that goes on after event'
    ' {number:d} is sent to "{domain}"'
)
def step_resume_turn(context, text, program, number, domain):
    send_turn(context, domain, text, program, Last_Event_Id=str(number))
