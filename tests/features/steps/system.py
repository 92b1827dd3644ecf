"""Steps that start a system and read what it shows."""

import msgspec
from behave import given, then

from support import Layout, Stack


def start(context, layout):
    """Starts a system that ends with the feature, or reuses it."""
    if context.system is None or context.system.layout != layout:
        context.feature_stack.close()
        context.system = context.feature_stack.enter_context(Stack(layout))
        # Close pops the stack's callbacks, so it can be used again.
    context.clients = [i.client for i in context.system.instances]


@given("a system of three failure domains")
def step_three_domains(context):
    start(context, Layout())


@given("a system of three failure domains with {count:d} instances each")
def step_three_domains_of(context, count):
    start(context, msgspec.structs.replace(Layout(), per_domain=count))


@then('the refusal is "{reason}" and "{ran}"')
def step_refusal(context, reason, ran):
    problem = context.answer.json
    assert problem["reason"] == reason, context.answer
    assert problem["ran"] == ran, context.answer
