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
