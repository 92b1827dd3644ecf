"""Steps about streams that consist of several attempts."""

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


@then("the caller got events 1 to 4, each once, or an incomplete response")
def step_whole_or_incomplete(context):
    if context.answer.status == 0:
        return
    assert context.answer.status == 200, context.answer
    assert event_numbers(context.answer) == _EVENTS, context.answer


@then("it was sent to endpoints at most {count:d} times")
def step_bounded(context, count):
    received = site(context).received_requests(context.request)
    assert len(received) <= count, len(received)


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
