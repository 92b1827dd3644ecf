"""Steps about structured log lines and the page that documents them."""

import ast
import fcntl
import json
import os
import pathlib
import re

from behave import then, when
from loguru import logger

from rattanmill_core.events import LineWriter, log_event, warn_event

_LOGS_PAGE = pathlib.Path("docs/LOGS.md")
_LOG_FUNCTIONS = ("log_event", "warn_event", "_write_line")
_COMMON_FIELDS = {
    "time",
    "level",
    "instance",
    "event",
    "message",
    "error",
    "cause",
}


def logged_events():
    """Returns the fields of each event, from the calls in the sources."""
    found = {}
    paths = [
        *pathlib.Path("libs").glob("*/src/**/*.py"),
        *pathlib.Path("platform").glob("**/*.py"),
    ]
    for path in paths:
        calls = [
            node
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8")))
            if isinstance(node, ast.Call)
        ]
        for node in calls:
            if not node.args:
                continue
            name = called_name(node)
            event = node.args[-2] if name == "_write_line" else node.args[0]
            if name == "RepeatedEvent":
                fields = found.setdefault(event.value, {"count"})
                fields |= recorded_fields(calls)
            if name in _LOG_FUNCTIONS and isinstance(event, ast.Constant):
                fields = found.setdefault(event.value, set())
                fields |= {keyword.arg for keyword in node.keywords}
                if name == "_write_line":
                    fields.add("count")
    return found


def called_name(call):
    return getattr(call.func, "id", getattr(call.func, "attr", ""))


def recorded_fields(calls):
    """Returns the fields that a module's repeated events are recorded with."""
    return {
        keyword.arg
        for call in calls
        if called_name(call) == "record"
        for keyword in call.keywords
    }


@when("docs/LOGS.md is compared with the code")
def step_compare(context):
    context.code = logged_events()
    context.page = _LOGS_PAGE.read_text(encoding="utf-8")
    rows = [
        line.split("|")[1]
        for line in context.page.splitlines()
        if line.startswith("| `")
    ]
    context.words = set(re.findall(r"`([a-z_]+)`", context.page))
    context.first_columns = set(re.findall(r"`([a-z_]+)`", " ".join(rows)))


@then("both have the same events")
def step_events(context):
    missing = set(context.code) - context.first_columns
    assert not missing, missing
    tables = context.page.split("## One line for each decision", 1)[1]
    listed = {
        name
        for line in tables.splitlines()
        if line.startswith("| `")
        for name in re.findall(r"`([a-z_]+)`", line.split("|")[1])
    }
    assert listed == set(context.code), listed ^ set(context.code)


@then("every field of the code is on the page")
def step_fields(context):
    for event, fields in context.code.items():
        unknown = fields - context.words - _COMMON_FIELDS
        assert not unknown, (event, unknown)


@when("5000 decisions, 50 warnings and 50 refusals are logged in one second")
def step_many_lines(context):
    reader, writer = os.pipe()
    # Makes room for all lines, since nobody reads before the end.
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 1024 * 1024)
    lines = LineWriter(writer, "test")
    # Counts all lines in one second, however long the loop takes.
    lines.decisions.second = lines.errors.second = None
    lines.decisions.try_acquire = _in_one_second(lines.decisions)
    lines.errors.try_acquire = _in_one_second(lines.errors)
    number = logger.add(lines, format="{message}", level="INFO")
    for count in range(5000):
        log_event("placed", request=str(count))
        if count % 100 == 0:
            warn_event("task_failed", message=str(count))
            log_event("refused", request=str(count))
    logger.remove(number)
    lines.decisions.try_acquire(0)
    warnings = lines.errors
    lines.descriptor = writer
    lines._report_dropped(0.0)
    os.close(writer)
    with os.fdopen(reader) as file:
        context.lines = [json.loads(line) for line in file]
    assert warnings.dropped == 0


def _in_one_second(limiter):
    try_acquire = limiter.try_acquire
    return lambda second: try_acquire(1)


@then(
    "at most 600 decisions, all warnings and refusals, and a count of the"
    " dropped lines are written"
)
def step_bounded(context):
    events = [line["event"] for line in context.lines]
    assert events.count("placed") <= 600, events.count("placed")
    assert events.count("task_failed") == 50
    assert events.count("refused") == 50
    drop_lines = [x for x in context.lines if x["event"] == "log_lines_dropped"]
    dropped_count = sum(line["count"] for line in drop_lines)
    assert dropped_count + events.count("placed") >= 5000, dropped_count


@when("lines are logged to a pipe that nobody reads")
def step_unread_pipe(context):
    reader, writer = os.pipe()
    lines = LineWriter(writer, "test")
    number = logger.add(lines, format="{message}", level="INFO")
    for _ in range(40):
        warn_event("task_failed", message="x" * 20_000)
    logger.remove(number)
    reported = b"log_lines_dropped" in lines.buffer
    context.dropped_count = lines.errors.dropped or reported
    os.close(reader)
    os.close(writer)


@then("the process continues and counts the dropped lines")
def step_not_blocked(context):
    assert context.dropped_count
