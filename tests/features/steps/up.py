"""Steps that start ``make up``'s script and look for what it leaves."""

import os
import pathlib
import re
import signal
import subprocess
import sys

from behave import then, when

from support import Client, wait_until

# Not the script's own port, at which a developer may have it running, and not
# that of another run of this test on the same machine.
_PORT = 30_000 + os.getpid() % 40 * 50
_UP_PORT = 18_000
_ADDRESS = re.compile(r"^  http://(\S+)  (\S+)$", re.MULTILINE)
_PROCESS = re.compile(r"^  (\d+)  (\S+)$", re.MULTILINE)
_FOLDER = re.compile(r"^Logs: (\S+)/NAME.log$", re.MULTILINE)

_ENDED_IN_START = """
import os, signal, subprocess, sys
sys.path.insert(0, "scripts")
import up

class Popen(subprocess.Popen):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        print("begun", self.pid, flush=True)
        os.kill(os.getpid(), signal.SIGTERM)

subprocess.Popen = Popen
sys.argv = ["up.py", "{port}"]
sys.exit(up.main())
"""


def _start(context):
    path = pathlib.Path(f"/tmp/rattanmill-up-{os.getpid()}.out")
    context.scenario_stack.callback(path.unlink, missing_ok=True)
    with path.open("w") as output:
        process = subprocess.Popen(
            [sys.executable, "scripts/up.py", str(_PORT)],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    context.scenario_stack.callback(process.wait)
    context.scenario_stack.callback(process.terminate)
    return process, path


@when('"make up" is started')
def step_start(context):
    context.up, context.output = _start(context)
    wait_until(
        lambda: "Interrupt to end." in context.output.read_text(),
        lambda: f"it is up: {context.output.read_text()}",
        60,
    )
    text = context.output.read_text()
    context.addresses = _ADDRESS.findall(text)
    context.pids = [int(pid) for pid, _ in _PROCESS.findall(text)]
    context.folder = _FOLDER.search(text)[1]


@when('"make up" is started without waiting')
def step_start_only(context):
    context.up, context.output = _start(context)
    context.pids = wait_until(lambda: _children(context.up.pid), "it began")
    context.folder = ""


def _children(pid):
    path = pathlib.Path(f"/proc/{pid}/task/{pid}/children")
    return [int(child) for child in path.read_text().split()]


@when('"make up" is ended in the middle of starting a process')
def step_end_in_start(context):
    context.output = pathlib.Path(f"/tmp/rattanmill-up-{os.getpid()}.out")
    context.scenario_stack.callback(context.output.unlink, missing_ok=True)
    with context.output.open("w") as output:
        context.up = subprocess.Popen(
            [sys.executable, "-c", _ENDED_IN_START.format(port=_PORT)],
            stdout=output,
            stderr=subprocess.STDOUT,
        )
    context.up.wait(60)
    context.folder = ""
    text = context.output.read_text()
    context.pids = [int(p) for p in re.findall(r"^begun (\d+)$", text, re.M)]
    assert len(context.pids) == 1, text


@when('"make up" is started a second time')
def step_second(context):
    context.second = subprocess.run(
        [sys.executable, "scripts/up.py", str(_PORT)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("the second one exits with 1 and asks whether another is running")
def step_second_ended(context):
    assert context.second.returncode == 1, context.second
    assert "another 'make up'" in context.second.stderr, context.second


@then("it prints the addresses that docs/API.md uses")
def step_page_addresses(context):
    page = pathlib.Path("docs/API.md").read_text(encoding="utf-8")
    used = re.findall(r"^[A-Z]+=http://(\S+):(\d+)$", page, re.MULTILINE)
    printed = {
        (host, int(port) - _PORT + _UP_PORT)
        for address, _ in context.addresses
        for host, port in [address.rsplit(":", 1)]
    }
    assert used, "the page names no address"
    for host, port in used:
        assert (host, int(port)) in printed, (host, port, printed)


@then("every instance and stand-in that it prints answers")
def step_all_answer(context):
    assert len(context.addresses) == 6 + 11, context.addresses
    for address, name in context.addresses:
        path = "/readyz" if name.startswith("alba") else "/stats"
        answer = Client(address).request("GET", path)
        assert answer.status == 200, (name, answer)


@then("a fault that is set by curl shows")
def step_fault(context):
    kv = next(Client(a) for a, name in context.addresses if name == "kv")
    kv.faults(slow_seconds=0.01)
    assert kv.request("GET", "/faults").json["slow_seconds"] == 0.01


@when("it is ended with {name}")
def step_end(context, name):
    context.up.send_signal(getattr(signal, name))


@then("it exits with 0, and none of its processes and files is left")
def step_nothing_left(context):
    code = context.up.wait(30)
    assert code == 0, (code, context.output.read_text())
    left = [
        pid for pid in context.pids if pathlib.Path(f"/proc/{pid}").exists()
    ]
    assert not left, left
    assert not context.folder or not pathlib.Path(context.folder).exists()
