"""Steps that cause counted events and read the page of metrics."""

import ast
import pathlib
import re

from behave import then, when

from rattanmill_core import Metrics, Reason, refuse
from rattanmill_entry.engines import ProbeResult
from rattanmill_entry.route import RETRYABLE_REASONS
from rattanmill_forward.dispatch import RetryReason
from rattanmill_policy import Outcome
from rattanmill_wire import CallKind
from support import wait_until
from support.stack import random_text

_METRIC_NAME = re.compile(r"^rattanmill_[a-z_]+$")
_METRIC_ROW = re.compile(r"^\| `(rattanmill_\w+)` \| \w+ \| (.*?) ?\| .+ \|$")
_LABEL_VALUES_ROW = re.compile(r"^\| `([a-z_.]+)` \| (.+) \|$")
_METRIC_METHODS = ("count", "_count", "observe", "gauge", "total")


def _ended(client):
    program = client.create()
    client.request("DELETE", f"/v1/programs/{program}")
    return client.chat("more", program, 1)


def _twice(client):
    program = client.create()
    assert client.chat("one", program, 1).status == 200
    return client.chat("another", program, 1)


def _act_twice(client):
    key = random_text()
    assert client.act(key, "one").status == 200
    return client.act(key, "another")


def _foreign(client):
    program = client.create(workspace="leith")
    headers = {"Rattanmill-Workspace": "portobello"}
    return client.request("GET", f"/v1/programs/{program}", None, headers)


def _config(client, **changes):
    document = client.request("GET", "/v1/admin/config").json
    return client.request("PUT", "/v1/admin/config", {**document, **changes})


_REFUSED_CALLS = {
    "bad_request": lambda c: c.request("POST", "/v1/chat/completions", b"{"),
    "body_too_large": lambda c: c.request(
        "POST", "/v1/chat/completions", b" " * (5 * 1024 * 1024)
    ),
    "unknown_class": lambda c: c.request(
        "POST", "/v1/programs", {"class": "nix"}
    ),
    "unknown_model": lambda c: c.chat("hello", model="nix"),
    "unknown_service": lambda c: c.request("GET", "/v1/services/nix/x"),
    "unknown_program": lambda c: c.request("GET", "/v1/programs/x"),
    "program_ended": _ended,
    "turn_gap": lambda c: c.chat("hello", c.create(), 9),
    "turn_conflict": _twice,
    "receipt_invalid": lambda c: c.chat(
        "hello", c.create(), 1, rattanmill_receipts=["nonsense"]
    ),
    "budget_exhausted": lambda c: c.chat(
        "hello", c.create(budget={"tokens": 1}), 1
    ),
    "act_conflict": _act_twice,
    "act_unknown": lambda c: c.act(random_text()),
    "foreign_program": _foreign,
    "config_conflict": lambda c: _config(c, number=999),
    "config_invalid": lambda c: _config(c, drained=5),
    "unknown_config": lambda c: c.request(
        "GET", "/v1/admin/config/history/999"
    ),
}


@when('a caller sends a call that is refused as "{reason}"')
def step_refused(context, reason):
    if reason == "act_unknown":
        for spec in context.system.layout.services:
            context.system.standins[spec.name].faults(lose_answers=1)
    context.before = [_refusals(c, reason) for c in context.clients]
    answer = _REFUSED_CALLS[reason](context.clients[4])
    assert answer.json["reason"] == reason, answer


def _refusals(client, reason):
    return client.metric("rattanmill_refusals_total", reason=reason)


@then('the refusal "{reason}" is counted once, at that instance')
def step_counted(context, reason):
    after = [_refusals(c, reason) for c in context.clients]
    increases = [b - a for a, b in zip(context.before, after, strict=True)]
    assert increases == [0, 0, 0, 0, 1, 0], increases


@when("services break connections until a call was retried")
def step_break(context):
    def is_retried():
        for spec in context.system.layout.services:
            context.system.standins[spec.name].faults(refuse_before=1)
        # The HTTP library itself retries a broken GET, but not a POST.
        path = "/v1/services/index-office/x"
        context.clients[2].request("POST", path, b"hello")
        name = "rattanmill_retries_total"
        context.retries = context.clients[2].metric(name, reason="broken")
        return context.retries

    wait_until(is_retried, "a call was retried")


@then('the retry "{reason}" is counted')
def step_retry(context, reason):
    text = context.clients[2].request("GET", "/metrics").body.decode()
    assert f'reason="{reason}"' in text, text


@when("each reason for a refusal and each for a retry happens once")
def step_each(context):
    context.metrics = Metrics()
    for reason in Reason:
        context.metrics.refused(refuse(reason, "for a test"))
    for reason in (*Outcome, *RETRYABLE_REASONS):
        context.metrics.retried(reason)


@then("each is exported with a count of 1")
def step_each_shown(context):
    lines = context.metrics.exposition().decode().splitlines()
    for name, reasons in (
        ("refusals", Reason),
        ("retries", (*Outcome, *RETRYABLE_REASONS)),
    ):
        for reason in reasons:
            found = [
                line
                for line in lines
                if line.startswith(f"rattanmill_{name}_total{{")
                and f'reason="{reason}"' in line
            ]
            assert len(found) == 1, (name, reason)
            assert found[0].endswith(" 1.0"), found


@when("durations are observed and then a stream that was cut off is counted")
def step_observe_and_count(context):
    context.metrics = Metrics()
    context.metrics.observe("rattanmill_answer_seconds", 0.2)
    context.metrics.count(
        "rattanmill_stream_ends", framing="chunks", end="cut_off"
    )


@then("the page begins with that counter and ends with metrics of the runtime")
def step_counters_first(context):
    lines = context.metrics.exposition().decode().splitlines()
    samples = [line for line in lines if not line.startswith("#")]
    counter = 'rattanmill_stream_ends_total{end="cut_off",framing="chunks"} 1.0'
    assert counter in samples, samples
    first_bucket = next(
        n for n, line in enumerate(samples) if "_bucket" in line
    )
    assert samples.index(counter) < first_bucket, samples
    own = [line.startswith("rattanmill_") for line in samples]
    assert own == sorted(own, reverse=True), samples


@when("a program has a streamed turn through another domain")
def step_streamed(context):
    program = context.clients[0].create()
    answer = context.clients[3].chat("hello", program, 1, stream=True)
    assert answer.status == 200, answer


@then("these have values above 0 at any instance")
def step_above(context):
    for row in context.table:
        values = [c.metric(row["name"]) for c in context.clients]
        assert any(value > 0 for value in values), (row["name"], values)


@when("docs/METRICS.md is compared with the code")
def step_compare(context):
    page = pathlib.Path("docs/METRICS.md").read_text(encoding="utf-8")
    lines = page.splitlines()
    found = [_METRIC_ROW.match(line) for line in lines]
    context.page = {m[1]: set(re.findall(r"`(\w+)`", m[2])) for m in found if m}
    found = [_LABEL_VALUES_ROW.match(line) for line in lines]
    context.values = {
        m[1]: set(re.findall(r"`([\w ]+)`", m[2])) for m in found if m
    }
    context.names: set[str] = set()
    context.labels: dict[str, dict[str, set[str]]] = {}
    for path in pathlib.Path("libs").glob("*/src/**/*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            _read_node(context, node)


def _read_node(context, node):
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        if _METRIC_NAME.match(node.value):
            context.names.add(node.value)
    elif isinstance(node, ast.Call) and _is_metric_call(node):
        labels = context.labels.setdefault(node.args[0].value, {})
        for keyword in node.keywords:
            values = labels.setdefault(keyword.arg, set())
            values |= {
                inner.value
                for inner in ast.walk(keyword.value)
                if isinstance(inner, ast.Constant)
                and isinstance(inner.value, str)
            }


def _is_metric_call(node):
    return (
        isinstance(node.func, ast.Attribute)
        and node.func.attr in _METRIC_METHODS
        and node.args
        and isinstance(node.args[0], ast.Constant)
        and str(node.args[0].value).startswith("rattanmill_")
    )


@then("both have the same names and labels")
def step_same_names(context):
    page, code = set(context.page), context.names
    assert page == code, (page - code, code - page)
    for name, labels in context.labels.items():
        missing = set(labels) - context.page[name]
        assert not missing, (name, missing)


@then("the page has every value of the labels")
def step_values(context):
    values = context.values
    assert values["rattanmill_refusals.reason"] == set(Reason)
    retries = {*Outcome, *RETRYABLE_REASONS, *RetryReason}
    retries.remove(Outcome.ANSWERED)
    assert values["rattanmill_retries.reason"] == retries
    assert values["rattanmill_requests.kind"] == set(CallKind)
    assert values["rattanmill_request_seconds.kind"] == set(CallKind)
    assert values["rattanmill_probes.found"] == set(ProbeResult)
    for name, labels in context.labels.items():
        for label, used in labels.items():
            listed = values.get(f"{name}.{label}", set())
            assert used <= listed, (name, label, used - listed)
