"""Steps about checkouts that are compared over played days."""

import contextlib
import io
import json
import pathlib
import shutil
import subprocess
import tempfile

from behave import given, then, when

from bench import days

_BENCH = """#!/usr/bin/env python3
import json, pathlib, random, sys
label = pathlib.Path.cwd().name
said = json.loads(pathlib.Path(sys.argv[0]).with_name("said.json").read_text())
with open(pathlib.Path(sys.argv[0]).with_name("turns"), "a") as file:
    file.write(label + "\\n")
turn = len(open(pathlib.Path(sys.argv[0]).with_name("turns")).readlines())
report = {
    "G": said["worth"][label] + random.Random(turn).uniform(-0.02, 0.02),
    "breaks": said["breaks"].get(label, {}),
    "parts": [["whole day", 1.0, 0.8]],
    "prices": [["calls", 10.0, 0.01]],
}
path = sys.argv[sys.argv.index("--report") + 1]
pathlib.Path(path).write_text(json.dumps(report))
"""


@given(
    'checkouts "{one}" and "{two}" and a bench that gives them {first:f} and'
    " {second:f}, more or less"
)
def step_checkouts(context, one, two, first, second):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.scenario_stack.callback(shutil.rmtree, context.folder)
    context.said = {"worth": {one: first, two: second}, "breaks": {}}
    context.checkouts = [context.folder / one, context.folder / two]
    for checkout in context.checkouts:
        commit = "commit -q --allow-empty -m first"
        identity = "-c user.name=a -c user.email=a@example.org"
        for command in (f"init -q {checkout}", f"{identity} {commit}"):
            where = checkout if checkout.exists() else context.folder
            subprocess.run(
                ["git", "-C", str(where), *command.split()], check=True
            )
    bench = context.folder / "bench"
    bench.write_text(_BENCH)
    bench.chmod(0o755)


@given('the bench finds that "{label}" breaks "{rule}"')
def step_breaks(context, label, rule):
    context.said["breaks"][label] = {rule: 1}


@when('days "{one}" and "{two}" are played {count:d} times with both')
def step_play(context, one, two, count):
    said = context.folder / "said.json"
    said.write_text(json.dumps(context.said))
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        days.play(
            pathlib.Path("site.toml"),
            *context.checkouts,
            bench=context.folder / "bench",
            out=context.folder / "out",
            days=[one, two],
            plays=count,
            jobs=1,
        )
    context.printed = printed.getvalue()


@then("each checkout was played {count:d} times, by turns")
def step_turns(context, count):
    turns = (context.folder / "turns").read_text().split()
    assert turns == [c.name for c in context.checkouts] * count, turns


@then('the table has {first:f} for "{one}" and {second:f} for "{two}"')
def step_table(context, first, one, second, two):
    head = context.printed.splitlines()[0]
    assert head.index(one) < head.index(two), head
    means = context.printed.split("mean of days |")[1].splitlines()[0]
    found = [float(cell) for cell in means.split("|")[:2]]
    assert abs(found[0] - first) < 0.02, found
    assert abs(found[1] - second) < 0.02, found


@then('"{label}" stands out')
def step_stands_out(context, label):
    assert f"{label} less" in context.printed
    assert "stands out" in context.printed, context.printed


@then('"{label}" does not stand out')
def step_chance(context, label):
    assert f"{label} less" in context.printed
    assert "may be chance" in context.printed, context.printed


@then("the plays are drawn")
def step_drawn(context):
    assert (context.folder / "out" / "plays.png").stat().st_size > 1000


@then('the table says that "{rule}" was broken')
def step_broken(context, rule):
    assert f"BROKEN {rule}" in context.printed, context.printed
