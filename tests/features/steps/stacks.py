"""Steps of the systems that the tests themselves use."""

import subprocess
import sys

from behave import given, then, when

from support import EngineSpec, Layout, start
from support.stack import reserve

_LAYOUT = Layout(
    domains=("alba-east",),
    per_domain=1,
    engines=[EngineSpec("engine-1")],
)
_WRECK = "tests/features/wrecks/wreck.feature"


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


@when("a feature runs whose first scenario leaves a wreck behind")
def step_wreck(context):
    done = subprocess.run(
        [sys.executable, "scripts/run_tests.py", _WRECK],
        capture_output=True,
        text=True,
        check=False,
    )
    context.output = done.stdout
    assert done.returncode, done


@then("its second scenario passes")
def step_second(context):
    assert "1 passed, 2 failed, 0 skipped" in context.output, context.output


@then("the output tells how the stand-in ended")
def step_end(context):
    assert "--- kv, ended with -9" in context.output, context.output


@then("the output shows the first failure and its place")
def step_first(context):
    assert "\nASSERT FAILED: the first cause\n" in context.output
    lines = [
        line
        for line in context.output.splitlines()
        if line.startswith(f"Failed: {_WRECK}")
    ]
    assert len(lines) == 2, lines
    assert "One is wrecked" in lines[0], lines
    assert lines[0].endswith("the first cause"), lines
