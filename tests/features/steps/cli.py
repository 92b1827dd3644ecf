"""Steps that run the operators' command as a process of its own."""

import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib

from behave import given, then, when

from rattanmill_cli import changes
from rattanmill_cli.classes import edit_field
from rattanmill_cli.link import Link
from rattanmill_core import RattanmillError
from support import Layout, start, wait_until
from support.command import run_command


def run(context, text):
    """Runs ``rattanmill`` with the arguments in ``text``."""
    arguments = [
        part.replace("FOLDER", str(folder(context))) for part in text.split()
    ]
    address = context.system.instances[0].http if context.system else ""
    context.done = run_command(arguments, address)


def folder(context):
    """Returns a folder for files of the scenario."""
    if not hasattr(context, "folder"):
        made = tempfile.TemporaryDirectory(prefix="rattanmill-test-")
        context.scenario_stack.enter_context(made)
        context.folder = pathlib.Path(made.name)
    return context.folder


def shown(context, index=0):
    """Returns the configuration in force at an instance."""
    answer = context.clients[index].request("GET", "/v1/admin/config")
    assert answer.status == 200, answer
    return answer.json


def value_of(document, path):
    """Returns a value by its dotted name."""
    for name in path.split("."):
        document = document.get(name, {})
    return document


@given("a system that all scenarios of the feature share")
def step_shared(context):
    """Starts it with the first scenario."""
    start(context, Layout())


@given('the file "{name}" has')
def step_file(context, name):
    (folder(context) / name).write_text(context.text, encoding="utf-8")


@when('the operator runs "{text}"')
def step_run(context, text):
    run(context, text)


@when('what "{text}" prints is stored as "{name}"')
def step_run_to_file(context, text, name):
    run(context, text)
    assert context.done.returncode == 0, context.done
    path = folder(context) / name
    path.write_text(context.done.stdout, encoding="utf-8")


@when('"{old}" is replaced by "{new}" in the file "{name}"')
def step_replace(context, old, new, name):
    path = folder(context) / name
    text = path.read_text(encoding="utf-8")
    assert old in text, text
    path.write_text(text.replace(old, new), encoding="utf-8")


@when("another operator sets {path} to {value} while one sets {other} to {new}")
def step_race(context, path, value, other, new):
    """Brings the other's change between the first one's reading and sending."""
    _, name, field = other.split(".")
    edit = edit_field(name, field, float(new))
    write = edit.write
    raced = []

    def write_late(plain, wanted):
        if not raced:
            raced.append(True)
            _, other_name, other_field = path.split(".")
            text = f"class set {other_name} {other_field}={value}"
            run(context, f"{text} --operator ann")
            assert context.done.returncode == 0, context.done
        write(plain, wanted)

    edit.write = write_late
    context.race = asyncio.run(_apply(context, edit))


async def _apply(context, edit):
    async with Link(context.system.instances[1].http) as link:
        try:
            return await changes.apply_edits(link, [edit], "ben")
        except RattanmillError as error:
            return error


@when("{count:d} operators set targets of different classes at once")
def step_many(context, count):
    context.started = [
        subprocess.Popen(
            [
                *(sys.executable, "-m", "rattanmill_cli.main"),
                *("class", "set", f"many-{n}", f"target_seconds={n + 10}"),
                *("--create", "--address", instance.http),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for n in range(count)
        for instance in [context.system.instances[n % 6]]
    ]
    outputs = [process.communicate(timeout=60) for process in context.started]
    codes = [process.returncode for process in context.started]
    assert codes == [0] * count, outputs


@then("the command exits with {code:d}")
def step_exit(context, code):
    assert context.done.returncode == code, context.done


@then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.done.stdout, context.done


@then('it says "{text}"')
def step_says(context, text):
    assert text in context.done.stderr, context.done


@then('what it prints is JSON with "{path}"')
def step_json(context, path):
    value = json.loads(context.done.stdout)
    for name in path.split("."):
        value = value[int(name)] if name.isdecimal() else value[name]


@then('what it prints is TOML with "{path}" {value:g}')
def step_toml(context, path, value):
    table = tomllib.loads(context.done.stdout)
    assert value_of(table, path) == value, table


@then('"{path}" is {value:g} at every instance')
def step_in_force(context, path, value):
    for index in range(len(context.clients)):
        found = value_of(shown(context, index), path)
        assert found == value, (index, found)


@then('"{path}" becomes {value:g} at every instance')
def step_becomes(context, path, value):
    wait_until(
        lambda: all(
            value_of(shown(context, index), path) == value
            for index in range(len(context.clients))
        ),
        f"{path} is {value} everywhere",
    )


@then("all {count:d} targets are in force")
def step_all_targets(context, count):
    classes = shown(context)["classes"]
    found = [classes[f"many-{n}"]["target_seconds"] for n in range(count)]
    assert found == [n + 10 for n in range(count)], found


@then('the first operator is told of a conflict over "{path}" with "{name}"')
def step_told(context, path, name):
    message = getattr(context.race, "message", "")
    assert getattr(context.race, "exit_code", 0) == 6, context.race
    assert path in message and name in message, message


@then("the first operator's change is accepted")
def step_accepted(context):
    assert isinstance(context.race.number, int), context.race


@when("the operator shows and ends the program")
def step_show_end(context):
    run(context, f"program show {context.program}")
    assert "running" in context.done.stdout, context.done
    run(context, f"program end {context.program}")
