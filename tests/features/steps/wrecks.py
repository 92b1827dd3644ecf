"""Steps that leave a wreck behind."""

from behave import given, then, when

from support import Layout, start

_LAYOUT = Layout(domains=("alba-east",), per_domain=1)
_LINES = 20_000


@given("a system to be wrecked")
def step_system(context):
    start(context, _LAYOUT)


@when("its key-value service dies")
def step_die(context):
    context.system.processes["kv"].kill()


@when("much is printed")
def step_print(context):
    print("a line of ten\n" * _LINES)


@then('a check fails with "{text}"')
def step_fail(context, text):
    raise AssertionError(text)


@then("its key-value service answers")
def step_answers(context):
    answer = context.system.standins["kv"].request("GET", "/stats")
    assert answer.status == 200, answer
