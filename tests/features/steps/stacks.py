"""Steps of the systems that the tests themselves use."""

from behave import given, then, when

from support import EngineSpec, Layout, start
from support.stack import reserve

_LAYOUT = Layout(
    domains=("alba-east",),
    per_domain=1,
    engines=[EngineSpec("engine-1")],
)


@given("a system with an engine")
def step_system(context):
    start(context, _LAYOUT)


@when("its engine is killed")
def step_kill(context):
    context.system.processes["engine-1"].kill()


@then("no other system is given the engine's port")
def step_taken(context):
    host, port = context.system.standins["engine-1"].address.split(":")
    assert reserve(host, int(port)) is None


@then("the engine starts again at its old address")
def step_again(context):
    context.system.restart_engine("engine-1")
