"""Steps that read the instances' logs and use tokens and keys."""

import collections
import json
import os
import pathlib
import re
import signal
import subprocess
import sys

from behave import given, then, when

from support import Client, Layout, start, wait_until
from support.command import run_command
from support.stack import Instance, random_text

_TOKEN = "the-operators-own-token"
_KEYS = {
    "leith": "the-key-of-leith-0001",
    "portobello": "the-key-of-portobello",
}
_GUARDED_INDEX = 1
_EMBARGOED_TEXT = "embargoed-until-nine"
_JSON = '[log]\nformat = "json"\nlevel = "DEBUG"\n'
_ASSIGNMENT = re.compile(r"Shard (\S+) given to (\S+) at epoch (\d+)\.")
_TEXT_PROGRAM = """
import time
from rattanmill_core import configure_logs, log_ids, part_logger
configure_logs("text", "INFO")
log = part_logger("probe")
with log_ids("alba.1.x", "r7"):
    log.info("first {}", "line\\nsecond line")
    secret = "hidden-value"
    try:
        raise ValueError
    except ValueError:
        log.exception("Broken.")
"""


@given("a system with JSON logs and an instance that requires token and keys")
def step_guarded(context):
    if start(context, Layout(extra=_JSON)):
        _require_secrets(context.system)
    context.guarded = context.clients[_GUARDED_INDEX]


def _require_secrets(system):
    """Restarts one instance with a token file and a key file."""
    folder = pathlib.Path(system.folder)
    token, keys = folder / "token", folder / "keys"
    token.write_text(_TOKEN + "\n")
    keys.write_text("".join(f'{w} = "{k}"\n' for w, k in _KEYS.items()))
    system.layout.extra = (
        f'{_JSON}[operators]\ntoken_file = "{token}"\n'
        f'[callers]\nkeys_file = "{keys}"\n'
    )
    instance = system.instances[_GUARDED_INDEX]
    instance.process.terminate()
    instance.process.wait()
    system.start_instance(instance)
    system.layout.extra = _JSON
    wait_until(lambda: _owns_shards(system), "every shard has an owner again")


def _owns_shards(system):
    answer = _request(
        system.instances[_GUARDED_INDEX].client, "/v1/admin/status", _TOKEN
    )
    owned = answer.json["shards"] if answer.status == 200 else []
    other = system.instances[0].client.request("GET", "/v1/admin/status")
    return owned and len(owned) + len(other.json["shards"]) == 6


def _request(client, path, secret, method="GET", body=None, **headers):
    if secret:
        headers["Authorization"] = f"Bearer {secret}"
    return client.request(method, path, body, headers)


@when('"{path}" is requested without a token')
def step_request(context, path):
    context.response = _request(context.guarded, path, "")


@when('"{path}" is requested with the bearer "{secret}"')
def step_request_wrong(context, path, secret):
    context.response = _request(context.guarded, path, secret)


@when('"{path}" is requested with the operators\' token')
def step_request_right(context, path):
    context.response = _request(context.guarded, path, _TOKEN)


@then("the response status is {status:d}")
def step_requested(context, status):
    assert context.response.status == status, context.response
    if status == 401:
        assert context.response.headers["www-authenticate"] == "Bearer"


@when("the operator's command requests the status with the token's file")
def step_command(context):
    path = pathlib.Path(context.system.folder, "token")
    address = context.guarded.address
    arguments = ["status", "--token-file", str(path)]
    context.done = run_command(arguments, address)


@when('the operator runs "{text}" at that instance without the token')
def step_command_bare(context, text):
    context.done = run_command(text.split(), context.guarded.address)


def _create_program(context, key, **fields):
    return _request(context.guarded, "/v1/programs", key, "POST", fields)


@when(
    'a program is created with the key of "{workspace}" for workspace "{name}"'
)
@when('a program is created with the key of "{workspace}" for workspace ""')
def step_create(context, workspace, name=""):
    context.created = _create_program(context, _KEYS[workspace], workspace=name)


@when("a program is created without a key")
def step_create_bare(context):
    context.created = _create_program(context, "")


@then("the creation is refused with {status:d}")
def step_create_refused(context, status):
    assert context.created.status == status, context.created


@then('the program\'s workspace is "{workspace}"')
def step_workspace(context, workspace):
    program = context.created.json["program"]
    path = f"/v1/programs/{program}"
    shown = _request(context.guarded, path, _KEYS[workspace])
    assert shown.json["workspace"] == workspace, shown


@then(
    'the key of "{workspace}" may not show, run or end it,'
    " nor create a child of it"
)
def step_foreign(context, workspace):
    program = context.created.json["program"]
    key = _KEYS[workspace]
    path = f"/v1/programs/{program}"
    chat = {"model": "commentary", "messages": [{"role": "user"}]}
    answers = [
        _request(context.guarded, path, key),
        _request(context.guarded, f"{path}/history", key),
        _request(context.guarded, path, key, "DELETE"),
        _request(
            context.guarded,
            "/v1/chat/completions",
            key,
            "POST",
            chat,
            **{"Rattanmill-Program": program},
        ),
        _create_program(context, key, parent=program),
    ]
    assert [a.status for a in answers] == [403] * 5, answers


@then("the operators' token may show it")
def step_operator_shows(context):
    path = f"/v1/admin/programs/{context.created.json['program']}"
    assert _request(context.guarded, path, _TOKEN).status == 200


@when("a streamed turn runs, and an act whose response is lost")
def step_calls(context):
    client = context.clients[2]
    context.program = context.clients[4].create()
    answer = client.chat("hello", context.program, 1, stream=True)
    assert answer.status == 200, answer
    context.system.standins["office-1"].faults(lose_answers=1)
    answer = client.act(random_text(), program=context.program)
    assert answer.json["reason"] == "act_unknown", answer


def _logs(context):
    return [instance.process.log for instance in context.system.instances]


def _lines(context):
    return [
        json.loads(line)
        for path in _logs(context)
        for line in path.read_text().splitlines()
    ]


@then("the refusal is logged once, with the ids of program and request")
def step_logged_once(context):
    found = [
        line
        for line in _lines(context)
        if line["message"] == "Refused as act_unknown; it may have run."
        and line.get("program") == context.program
    ]
    assert len(found) == 1, found
    assert found[0]["request"], found


@then("every line of every instance is JSON with time, level, part and message")
def step_parse(context):
    lines = _lines(context)
    assert len(lines) > len(context.clients), lines
    for line in lines:
        assert {"time", "level", "part", "message"} <= set(line), line


@when("an instance is stopped and its shards have new owners")
def step_end_instance(context):
    instance = context.system.instances[5]
    instance.process.terminate()
    assert instance.process.wait() == 0
    context.system.start_instance(instance)
    client = context.clients[4]
    wait_until(lambda: _owners(client) == 6, "all shards have live owners")


def _owners(client):
    status = client.request("GET", "/v1/admin/status").json
    live = [i["name"] for i in status["instances"] if i["registered"]]
    owners = status["owners"]["alba-north"]
    return sum(owner in live for owner in owners)


@then("each new epoch is logged once among all instances")
def step_epochs(context):
    found = collections.Counter(
        match.groups()
        for line in _lines(context)
        if (match := _ASSIGNMENT.fullmatch(line["message"]))
    )
    assert found, "no change was logged"
    assert set(found.values()) == {1}, found
    owners = context.clients[4].request("GET", "/v1/admin/status").json
    shards = owners["owners"]["alba-north"]
    logged = {}
    for shard, owner, epoch in found:
        logged[shard] = max(logged.get(shard, (0, "")), (int(epoch), owner))
    for number, owner in enumerate(shards):
        assert logged[f"alba-north.{number}"][1] == owner, (number, logged)


@when("calls with secrets in headers and bodies succeed and fail")
def step_secret_calls(context):
    guarded, key = context.guarded, _KEYS["leith"]
    chat = {
        "model": "commentary",
        "messages": [{"role": "user", "content": _EMBARGOED_TEXT}],
        "max_tokens": 8,
    }
    path = "/v1/chat/completions"
    assert _request(guarded, path, key, "POST", chat).status == 200
    broken = {**chat, "max_tokens": _EMBARGOED_TEXT}
    assert _request(guarded, path, key, "POST", broken).status == 400
    act = {
        "Idempotency-Key": random_text(),
        "Rattanmill-Non-Idempotent": "true",
    }
    context.system.standins["office-1"].faults(lose_answers=1)
    path = "/v1/services/index-office/invoices"
    answer = _request(
        guarded, path, key, "POST", _EMBARGOED_TEXT.encode(), **act
    )
    assert answer.status == 409, answer
    assert _request(guarded, "/v1/admin/config", _TOKEN).status == 200
    path = "/v1/admin/config"
    assert (
        _request(guarded, path, _TOKEN, "PUT", _EMBARGOED_TEXT.encode()).status
        == 422
    )


@then("no log of any instance contains one of them")
def step_no_secrets(context):
    peers = pathlib.Path(context.system.folder, "secret").read_text()
    secrets = [_TOKEN, *_KEYS.values(), peers, _EMBARGOED_TEXT]
    for path in _logs(context):
        text = path.read_text()
        found = [secret for secret in secrets if secret in text]
        assert not found, (path, found)


@when("a process logs in text a message of two lines and an exception")
def step_text(context):
    context.text_log = subprocess.run(
        [sys.executable, "-c", _TEXT_PROGRAM],
        capture_output=True,
        text=True,
        check=True,
    ).stderr


@then("each message is one line with its part and ids")
def step_text_lines(context):
    ids = " [program=alba.1.x request=r7]"
    text = context.text_log
    assert f"probe: first line second line{ids}\n" in text, text
    assert f"probe: Broken.{ids}\n" in text, text


@then("the exception shows no values of variables")
def step_no_values(context):
    assert "ValueError" in context.text_log, context.text_log
    assert "hidden-value" not in context.text_log, context.text_log


@when("SIGHUP is sent to an instance")
def step_hangup(context):
    os.kill(context.system.instances[4].process.pid, signal.SIGHUP)


@then("that is logged, and the instance continues")
def step_hangup_logged(context):
    log = context.system.instances[4].process.log
    wait_until(lambda: "SIGHUP ignored" in log.read_text(), "it is logged")
    assert context.clients[4].request("GET", "/readyz").status == 200


_FAILING_PROGRAM = """
import sys
from rattanmill_core import InvariantError
from rattanmill_entry import admin, main

def fail(node):
    hidden = "hidden-value"
    raise {error}

admin.instance_status = fail
sys.argv = ["rattanmilld", "--settings", {path!r}]
main.main()
"""


def _request_failing_status(context, error):
    """Runs a daemon whose status raises, and requests its status."""
    system = context.system
    spare = system.instances[0]
    http, peer = system.address("127.0.1.30"), system.address("127.0.1.30")
    instance = Instance("spare", 0, http, peer, peer, spare.process)
    path = pathlib.Path(system.folder, "spare.toml")
    path.write_text(system.settings_text(instance))
    program = _FAILING_PROGRAM.format(error=error, path=str(path))
    context.failing = subprocess.Popen(
        [sys.executable, "-c", program], stderr=subprocess.PIPE, text=True
    )
    context.scenario_stack.callback(context.failing.wait)
    context.scenario_stack.callback(context.failing.kill)
    client = Client(http)
    wait_until(
        lambda: client.request("GET", "/healthz").status == 200, "it serves"
    )
    context.response = client.request("GET", "/v1/admin/status")
    context.alive = client.request("GET", "/healthz").status


@when("a request causes an unexpected error in a separate daemon")
def step_fail(context):
    _request_failing_status(context, 'ValueError("unforeseen")')


@when("a request causes a broken invariant in a separate daemon")
def step_break(context):
    _request_failing_status(context, 'InvariantError("Turn 3 follows turn 1.")')


@then('it is refused as "internal", and the daemon continues')
def step_internal(context):
    assert context.response.status == 500, context.response
    assert context.response.json["reason"] == "internal", context.response
    assert context.alive == 200
    context.failing.terminate()
    _, context.stderr = context.failing.communicate(timeout=30)
    assert context.failing.returncode == 0, context.stderr


@then("the traceback is one line of JSON")
def step_traceback(context):
    lines = [json.loads(line) for line in context.stderr.splitlines()]
    found = [line["exception"] for line in lines if "exception" in line]
    assert len(found) == 1 and "unforeseen" in found[0], lines
    assert "hidden-value" not in context.stderr, found


@then("the daemon exits with {code:d} and prints the reason")
def step_ends_broken(context, code):
    _, stderr = context.failing.communicate(timeout=30)
    assert context.failing.returncode == code, stderr
    assert stderr.splitlines()[-1] == "Turn 3 follows turn 1.", stderr


_NEW_KEY = "the-key-of-cramond-01"


def _write_keys(context, text):
    """Replaces the file by a rename, so that it is never read partially."""
    path = pathlib.Path(context.system.folder, "keys")
    new = path.with_suffix(".new")
    new.write_text(text)
    new.rename(path)


def _keys_text():
    return "".join(f'{w} = "{k}"\n' for w, k in _KEYS.items())


def _accepted(context):
    return _create_program(context, _NEW_KEY).status == 201


@when('the key file gets a key for "{workspace}"')
def step_new_key(context, workspace):
    assert not _accepted(context)
    _write_keys(context, f'{_keys_text()}{workspace} = "{_NEW_KEY}"\n')


@when("the key file is truncated")
def step_truncate_keys(context):
    _write_keys(context, 'leith = "the-k')


@when('the key file loses the key of "{workspace}"')
def step_lose_key(context, workspace):
    _write_keys(context, _keys_text())


@then('the key of "{workspace}" is soon accepted')
def step_key_accepted(context, workspace):
    wait_until(lambda: _accepted(context), "the new key is accepted")


@then('the key of "{workspace}" is soon refused')
def step_key_refused(context, workspace):
    wait_until(lambda: not _accepted(context), "the old key is refused")


@then('that is logged, and the key of "{workspace}" is still accepted')
def step_key_kept(context, workspace):
    log = context.system.instances[_GUARDED_INDEX].process.log
    wait_until(
        lambda: "Kept the old keys and token" in log.read_text(), "it is logged"
    )
    assert _accepted(context)
