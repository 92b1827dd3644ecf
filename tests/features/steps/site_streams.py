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


@given('endpoint "{name}" fails resumed streams')
def step_endpoint_fails_resumed(context, name):
    site(context).control_endpoint(name, *["resumed_error"] * 100)
    context.scenario_stack.callback(
        site(context).control_endpoint, name, "clear"
    )


@when('plans are sent to "east" until "llm-0" has broken off {count:d} of them')
def step_plans_until_cut(context, count):
    system = site(context)
    context.scenario_stack.callback(system.control_endpoint, "llm-0", "clear")
    context.cut_answers = []
    for _ in range(100):
        system.control_endpoint("llm-0", "clear")
        system.control_endpoint("llm-0", "cut")
        request, answer = system.ask(
            "east", "POST", "/stream/plan/a", b"plan", X_Token_Usage="10,40"
        )
        received = system.received_requests(request)
        if any(entry["fault"] == "cut" for entry in received):
            context.cut_answers.append(answer)
        if len(context.cut_answers) == count:
            return
    raise AssertionError("too few streams were broken off")


@then("the callers of these {count:d} got events 1 to 4, each once")
def step_all_whole(context, count):
    assert len(context.cut_answers) == count, context.cut_answers
    wrong = [
        answer
        for answer in context.cut_answers
        if answer.status != 200 or event_numbers(answer) != _EVENTS
    ]
    assert not wrong, wrong


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
