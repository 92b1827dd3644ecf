"""Steps of what is built before a program starts."""

import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

from behave import then, when

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
import gc, importlib, runpy, sys
sys.argv = ["main.py", sys.argv[1]]
sys.path.insert(0, "{folder}")
import_module = importlib.import_module
def report(name):
    is_enabled = gc.isenabled()
    module = import_module(name)
    async def run(*arguments):
        print(is_enabled, gc.isenabled())
    module.run = run
    return module
importlib.import_module = report
runpy.run_path("{folder}/main.py", run_name="__main__")
"""


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
    context.reports = [_report_of(role) for role in ("front", "storage")]


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
    return done.stdout.splitlines()[-1]


@then("collections are on, and off while it imported")
def step_collections(context):
    assert context.reports == ["False True", "False True"], context.reports
