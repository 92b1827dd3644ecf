"""Steps of what is built before a program starts."""

import collections
import contextlib
import http.client
import importlib.util
import json
import os
import pathlib
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families
from steps.site import send_payment, site

from rattanmill_core import Metrics
from rattanmill_core.metrics import MAX_HELD_RECORDS, HeldRecords
from support.site import DOMAINS

_ROOT = pathlib.Path(__file__).resolve().parents[3]
# In a header of bytecode: it holds by its source's hash, not by its time.
_BY_HASH = 0b11

_NODE = """node_name=one
zone=east
ip=127.0.0.1
port_range=7000,7001
platform.address=127.0.0.1:1
listen_addrs.front=127.0.0.1:7002
listen_addrs.ready=127.0.0.1:7002
data_dir={data}
"""
# Runs the entry point with a program that reports in place of running.
_REPORT = """
import gc, importlib, json, runpy, sys
sys.argv = ["main.py", sys.argv[1]]
sys.path.insert(0, "{folder}")
import_module = importlib.import_module
def report(name):
    is_enabled = gc.isenabled()
    module = import_module(name)
    async def run(*arguments):
        collections = [is_enabled, gc.isenabled()]
        modules = [n for n, m in sys.modules.items() if m is not None]
        print(json.dumps({{"collections": collections, "modules": modules}}))
    module.run = run
    return module
importlib.import_module = report
runpy.run_path("{folder}/main.py", run_name="__main__")
"""
# Reads metrics as a server does; prints the loop's thread, then those that
# imported OpenTelemetry.
_READ = """
import asyncio, sys, threading
from rattanmill_core import Metrics
class Watch:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("opentelemetry"):
            print(threading.get_ident())
async def read():
    print(threading.get_ident())
    metrics = Metrics()
    metrics.count("probe")
    page = await metrics.read()
    assert b"probe_total" in page, page
sys.meta_path.insert(0, Watch())
asyncio.run(read())
"""
_SHORT_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5)
_BUCKETS = (*_SHORT_BUCKETS, 1, 2, 5, 10, 20, 50, 100, 200, 500)
# Kind, name, label and value; durations in milliseconds.
_RECORDS = st.tuples(
    st.sampled_from(("count", "observe")),
    st.sampled_from("ab"),
    st.sampled_from(("x", "y")),
    st.one_of(
        st.integers(0, 600_000), st.sampled_from([b * 1000 for b in _BUCKETS])
    ).map(int),
)


@when("a clean copy is built as deployed")
def step_build(context):
    """Runs the build, with its dependencies there already."""
    folder = context.scenario_stack.enter_context(tempfile.TemporaryDirectory())
    context.copy = pathlib.Path(folder)
    for part in ("libs", "platform", "deploy"):
        shutil.copytree(
            _ROOT / part,
            context.copy / part,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    (context.copy / "target" / "deps").mkdir(parents=True)
    deploy = (context.copy / "deploy" / "system.toml").read_text()
    own = pathlib.Path(sys.executable).parent
    variables = {**os.environ, "PATH": f"{own}:{os.environ['PATH']}"}
    subprocess.run(
        tomllib.loads(deploy)["build"],
        shell=True,
        check=True,
        cwd=context.copy,
        env=variables,
    )


@then("each of its modules has bytecode that holds for a copy of any age")
def step_bytecode(context):
    sources = [
        *context.copy.glob("libs/*/src/*/*.py"),
        *context.copy.glob("platform/**/*.py"),
    ]
    assert len(sources) > 100, len(sources)
    for source in sources:
        code = pathlib.Path(importlib.util.cache_from_source(str(source)))
        assert code.exists(), source
        flags = int.from_bytes(code.read_bytes()[4:8], "little")
        assert flags == _BY_HASH, (source, flags)


@when("a process of each program has started")
def step_started(context):
    context.reports = {role: _report_of(role) for role in ("front", "storage")}


def _report_of(role):
    """Runs a program until its loop runs; returns its last line."""
    code = _REPORT.format(folder=str(pathlib.Path("platform").resolve()))
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "node.conf")
        file.write_text(_NODE.format(data=folder), encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-c", code, role],
            env={**os.environ, "RATTANMILL_NODE_FILE": str(file)},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout.splitlines()[-1])


@then("collections are on, and off while it imported")
def step_collections(context):
    found = [report["collections"] for report in context.reports.values()]
    assert found == [[False, True], [False, True]], found


@then('"{program}" has not imported {modules}')
def step_not_imported(context, program, modules):
    imported = set(context.reports[program]["modules"])
    assert f"rattanmill_site.{program}" in imported
    assert not imported.intersection(modules.split(", ")), modules


@then("random records are exposed in full, whenever they are first read")
def step_random_records(context):
    _check_random_records()


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(_RECORDS, max_size=60), st.integers(0, 60))
def _check_random_records(records, first_read):
    metrics = Metrics()
    for number, record in enumerate(records):
        if number == first_read:
            metrics.exposition()
        _record(metrics, record)
    metrics.gauge("probe_gauge", lambda: len(records))
    exposed = _exposed(metrics)
    metrics.recorder.provider.shutdown()
    expected = _expected(records) | {("probe_gauge", ()): len(records)}
    assert exposed == expected, (exposed, expected)


def _record(metrics, record):
    kind, name, label, value = record
    if kind == "count":
        metrics.count(f"probe_{name}", value, kind=label, other="x")
    else:
        metrics.observe(f"probe_{name}_seconds", value / 1000, kind=label)


def _expected(records):
    """Computes the series of the records without any library."""
    found = collections.Counter()
    for kind, name, label, value in records:
        if kind == "count":
            labels = (("kind", label), ("other", "x"))
            found[f"probe_{name}_total", labels] += value
            continue
        labels = (("kind", label),)
        found[f"probe_{name}_seconds_count", labels] += 1
        found[f"probe_{name}_seconds_sum", labels] += value / 1000
        for bound in (*_BUCKETS, float("inf")):
            series = (f"probe_{name}_seconds_bucket", (*labels, ("le", bound)))
            found[series] += value / 1000 <= bound
    return {series: round(value, 6) for series, value in found.items()}


def _exposed(metrics):
    """Returns the values of all series of this feature."""
    families = text_string_to_metric_families(metrics.exposition().decode())
    return {
        (sample.name, _labels(sample.labels)): round(sample.value, 6)
        for family in families
        for sample in family.samples
        if sample.name.startswith("probe_")
    }


def _labels(labels):
    return tuple(
        (name, float(value) if name == "le" else value)
        for name, value in sorted(labels.items())
        if not name.startswith("otel_")
    )


@when(
    "{number:d} durations and counts are recorded before the metrics are read"
)
def step_many(context, number):
    context.metrics = Metrics()
    context.most_held = 0
    for index in range(number):
        context.metrics.observe("probe_many_seconds", 0.003, kind="a")
        context.metrics.count("probe_many", kind=str(index % 50))
        if isinstance(context.metrics.recorder, HeldRecords):
            held = context.metrics.recorder.size
            context.most_held = max(held, context.most_held)


@then("at most {number:d} of them were ever held")
def step_bounded(context, number):
    assert 0 < context.most_held <= number == MAX_HELD_RECORDS


@then("all {number:d} durations and counts are exposed")
def step_all_exposed(context, number):
    exposed = _exposed(context.metrics)
    context.metrics.recorder.provider.shutdown()
    labels = (("kind", "a"),)
    in_bucket = ("probe_many_seconds_bucket", (*labels, ("le", 0.005)))
    below = ("probe_many_seconds_bucket", (*labels, ("le", 0.002)))
    counts = [v for (name, _), v in exposed.items() if name.endswith("_total")]
    assert exposed["probe_many_seconds_count", labels] == number
    assert (exposed[below], exposed[in_bucket]) == (0, number)
    assert len(counts) == 50 and sum(counts) == number, counts


@when("metrics of a fresh process are read from its event loop")
def step_read_in_loop(context):
    done = subprocess.run(
        [sys.executable, "-c", _READ],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    context.threads = done.stdout.split()


@then("they were imported in another thread than the loop's")
def step_other_thread(context):
    loop_thread, *threads = context.threads
    assert threads and loop_thread not in threads, context.threads


@when("its processes have served a payment at each front end")
def step_served(context):
    for domain in DOMAINS:
        _, answer = send_payment(context, domain)
        assert answer.status == 200, answer


@then("their metrics can be read, twice on one connection")
def step_metrics_read(context):
    for role, domain, number in site(context).places():
        host = site(context).host(role, domain, number)
        connection = http.client.HTTPConnection(host, 9464, timeout=10)
        with contextlib.closing(connection):
            for _ in range(2):
                connection.request("GET", "/metrics")
                answer = connection.getresponse()
                page = answer.read().decode()
                assert answer.status == 200
                assert "rattanmill_kv_calls_total{" in page, page
                answers = re.findall(
                    r"^rattanmill_answer_seconds_count.* (\S+)$", page, re.M
                )
                assert answers == (["1.0"] if role == "front" else []), page


@then("an unknown path, another method and no HTTP are refused there")
def step_metrics_refused(context):
    host = site(context).host("storage", "east")
    for method, path, status in (
        ("HEAD", "/metrics", 200),
        ("GET", "/metricsx", 404),
        ("POST", "/metrics", 405),
    ):
        connection = http.client.HTTPConnection(host, 9464, timeout=10)
        with contextlib.closing(connection):
            connection.request(method, path, b"" if method == "POST" else None)
            answer = connection.getresponse()
            assert answer.status == status, (method, path, answer.status)
            assert not answer.read()
    with socket.create_connection((host, 9464), timeout=10) as raw:
        raw.sendall(b"nonsense\r\n\r\n")
        assert raw.recv(4096).startswith(b"HTTP/1.1 400 ")
