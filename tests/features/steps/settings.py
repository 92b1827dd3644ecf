"""Steps that check settings files, and the page that describes them."""

import json
import pathlib
import re
import socket
import subprocess
import sys
import tempfile

import zmq
from behave import given, then, when

from rattanmill_core.settings import KEYS, Settings

_RIGHT = {
    "instance.name": '"east-1"',
    "instance.domain": '"alba-east"',
    "instance.http": '"127.0.0.1:18080"',
    "instance.peer": '"127.0.0.1:18081"',
    "platform.kv": '"http://127.0.0.1:1"',
    "platform.directory": '"http://127.0.0.1:2/instances"',
    "platform.domains": '["alba-east"]',
    "peers.secret_file": '"FOLDER/secret"',
}
_ROW = re.compile(r"^\| `([a-z_.]+)` \| (.+?) \| ?(?:`(.*?)`)? \| .+ \|$")


def write(context, changes):
    """Writes a settings file; values are TOML text."""
    made = tempfile.TemporaryDirectory(prefix="rattanmill-test-")
    context.scenario_stack.enter_context(made)
    folder = pathlib.Path(made.name)
    secret = folder / "secret"
    secret.write_bytes(zmq.curve_keypair()[1])
    secret.chmod(0o600)
    short, same = folder / "short-keys", folder / "same-keys"
    short.write_text('leith = "short"\n')
    key = "a-key-that-two-have"
    same.write_text(f'leith = "{key}"\nportobello = "{key}"\n')
    sections = {name for name in changes if "." not in name}
    values = {**_RIGHT, **changes}
    lines = [
        f"{name} = {value}"
        for name, value in sorted(values.items(), key=lambda p: "." in p[0])
        if name in sections or name.split(".")[0] not in sections
    ]
    context.settings = folder / "settings.toml"
    text = "\n".join(lines).replace("FOLDER", str(folder))
    context.settings.write_text(text, encoding="utf-8")


def run_daemon(context, *arguments):
    """Runs the daemon's command until it ends."""
    command = [sys.executable, "-m", "rattanmill_entry.main"]
    context.ended = subprocess.run(
        [*command, "--settings", str(context.settings), *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@given("a settings file")
def step_right(context):
    write(context, {})


@given("a settings file with these changes")
def step_changed(context):
    write(context, {row["key"]: row["value"] for row in context.table})


@given("a settings file with {key} set to {value}")
def step_set(context, key, value):
    write(context, {key: value})


@given("the secret file may be read by all")
def step_open_secret(context):
    (context.settings.parent / "secret").chmod(0o644)


@given("another process listens on the address for callers")
def step_taken(context):
    taken = socket.create_server(("127.0.0.1", 18080))
    context.scenario_stack.callback(taken.close)


@when("the settings are checked")
def step_check(context):
    run_daemon(context, "--check")


@when("the daemon is started")
def step_start(context):
    run_daemon(context)


@then('the check ends with {code:d} and says "{text}"')
@then('it ends with {code:d} and says "{text}"')
def step_ends(context, code, text):
    said = context.ended.stdout + context.ended.stderr
    assert context.ended.returncode == code, context.ended
    assert text in said, said


@then('the check says nothing of "{text}"')
def step_silent(context, text):
    assert text not in context.ended.stderr, context.ended


@then("the check ends with {code:d} and says all of")
def step_all(context, code):
    assert context.ended.returncode == code, context.ended
    expected = context.text.splitlines()
    missing = [t for t in expected if t not in context.ended.stderr]
    assert not missing, (missing, context.ended.stderr)
    lines = context.ended.stderr.splitlines()
    assert len(lines) == len(expected), lines
    assert all(line.startswith(str(context.settings)) for line in lines), lines


@when("docs/SETTINGS.md is compared with the code")
def step_read_page(context):
    text = pathlib.Path("docs/SETTINGS.md").read_text(encoding="utf-8")
    found = [_ROW.match(line) for line in text.splitlines()]
    context.rows = {m[1]: (m[2], m[3]) for m in found if m}


@then("its rows are the settings, with what is allowed and the defaults")
def step_rows(context):
    defaults = dict(
        zip(
            Settings.__struct_fields__[-len(Settings.__struct_defaults__) :],
            Settings.__struct_defaults__,
            strict=True,
        )
    )
    expected = {
        key.path: (
            key.allowed,
            None if key.required else json.dumps(defaults[field]),
        )
        for field, key in KEYS.items()
    }
    assert context.rows == expected, context.rows.items() ^ expected.items()
