"""Steps that have requests explained from logs."""

import json
import pathlib
import re
import tempfile

from behave import given, then, when

from support.command import run_command

_DAY = sorted(map(str, pathlib.Path("tests/features/logs").glob("*.log")))


def line(time, instance, event, **fields):
    """Returns a line as an instance writes it."""
    return json.dumps(
        {
            "time": 1_774_859_000 + time,
            "level": "INFO",
            "instance": instance,
            "event": event,
            **fields,
        }
    )


def write(context, *lines):
    """Writes the log of the scenario."""
    made = tempfile.TemporaryDirectory(prefix="rattanmill-test-")
    context.scenario_stack.enter_context(made)
    context.log = pathlib.Path(made.name) / "instances.log"
    context.log.write_text("\n".join(lines) + "\n", encoding="utf-8")


@given(
    "the log of a program whose second turn seems to come {seconds:f} s too"
    " early"
)
def step_skewed(context, seconds):
    program = {"program": "p1"}
    first = {"request": "r1", **program}
    second = {"request": "r2", **program}
    late = 0.6 - seconds
    write(
        context,
        line(late, "front-b", "admitted", previous="r1", **second),
        line(late + 0.2, "front-b", "refused", reason="deadline", **second),
        line(0.0, "front-a", "admitted", previous="", **first),
        line(0.6, "front-a", "turn_kept", previous="", **first),
        line(0.6, "front-a", "answered", after_ms=600, **first),
    )


@given("the log of a request whose front was told to stop and started again")
def step_stopped(context):
    write(
        context,
        line(0.0, "front-a", "admitted", request="r1"),
        line(0.1, "front-a", "stopping", signal="SIGTERM"),
        line(1.1, "front-a", "started", role="front"),
    )


@given("the log of a request that has no end")
def step_no_end(context):
    write(context, line(0.0, "front-a", "admitted", request="r1"))


@given("that log ends in half a line and holds other output")
def step_spoiled(context):
    whole = context.log.read_text(encoding="utf-8")
    half = line(1.0, "front-a", "placed", request="r1")[:-1]
    context.log.write_text(f"r1 restarted\n{whole}{half}", encoding="utf-8")


def explain(context, *arguments):
    context.done = run_command(["explain", *arguments])


@when('the operator asks about "{ident}" in the logs of that day')
def step_ask_day(context, ident):
    explain(context, ident, *_DAY)
    assert context.done.returncode == 0, context.done


@when('the operator asks about "{ident}" in that log')
def step_ask_log(context, ident):
    explain(context, ident, str(context.log))
    assert context.done.returncode == 0, context.done


@when('the operator asks about "{ident}" in JSON')
def step_ask_json(context, ident):
    explain(context, ident, *_DAY, "--json")


@when('the operator asks with "{arguments}"')
def step_ask_wrong(context, arguments):
    explain(context, *arguments.split())


def told(context):
    """Returns the times and texts of the lines that were printed."""
    story, _, _ = context.done.stdout.partition("\n\n")
    found = re.findall(r"^ *([\d.]+)  (.+)$", story, re.MULTILINE)
    return [(float(time), text) for time, text in found]


@then("the lines are in the order of time")
def step_order(context):
    times = [time for time, _ in told(context)]
    assert times, context.done
    assert times == sorted(times), context.done.stdout


@then("{count:d} lines are told")
def step_count(context, count):
    assert len(told(context)) == count, context.done.stdout


@then("the second turn's lines stand after the first one's")
def step_second_after(context):
    requests = [text.split("request=")[1][:2] for _, text in told(context)]
    assert requests == ["r1", "r1", "r1", "r2", "r2"], context.done.stdout


@then('the last paragraph says "{text}"')
def step_says(context, text):
    _, _, last = context.done.stdout.partition("\n\n")
    assert text in last, context.done.stdout


@then("what it prints is JSON with {count:d} lines and the cause")
def step_json(context, count):
    said = json.loads(context.done.stdout)
    assert len(said["lines"]) == count, said
    assert "endpoint_failed" in said["causes"][0], said["causes"]


@then('the command fails with {code:d} and says "{text}"')
def step_fails(context, code, text):
    assert context.done.returncode == code, context.done
    assert text in context.done.stderr, context.done.stderr
