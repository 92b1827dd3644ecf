"""Steps that start a system and read what it shows."""

import msgspec
from behave import given, then

from support import Layout, start


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
