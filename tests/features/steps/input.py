"""Steps for invalid input."""

import contextlib
import json
import socket

from behave import given, then, when

from support import Client, EngineSpec, Layout, start
from support.client import Answer

_LAYOUT = Layout(
    domains=("alba-east",),
    per_domain=2,
    engines=[EngineSpec("engine-1", options={"decode": 100.0})],
    extra="[limits]\nbody_bytes = 65536\nconnections = 64\n"
    "receive_seconds = 1.5\n",
)
_DEEP_JSON = b"[" * 30_000 + b"]" * 30_000


@given("a system with small limits for input")
def step_system(context):
    start(context, _LAYOUT)
    context.client = context.clients[0]
    context.calls = count_calls(context)
    context.refusals_before = count_refusals(context)


def count_calls(context):
    return sum(
        context.system.standins[name].stats().get("calls", 0)
        for name in ("engine-1", "office-1")
    )


def count_refusals(context):
    name = "rattanmill_refusals_total"
    return sum(client.metric(name) for client in context.clients)


def raw(context, data):
    """Sends raw bytes and returns the response."""
    host, port = context.client.address.split(":")
    with socket.create_connection((host, int(port)), 30) as connection:
        # The response may arrive, and the connection close, before all is
        # sent.
        with contextlib.suppress(OSError):
            connection.sendall(data)
        answer = b""
        with contextlib.suppress(OSError):
            while part := connection.recv(65536):
                answer += part
                if b"}" in part:
                    break
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split()[1]) if head else 0
    return Answer(status, {}, body)


def post(context, path, body, **headers):
    names = {k.replace("_", "-"): v for k, v in headers.items()}
    return context.client.request("POST", path, body, names)


def chat_body(**fields):
    message = {"role": "user", "content": "x"}
    return {"model": "commentary", "messages": [message], **fields}


def chunked(context):
    head = b"POST /v1/programs HTTP/1.1\r\nHost: x\r\n"
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return raw(
        context,
        head
        + b"4000\r\n"
        + b" " * 0x4000
        + b"\r\n" * 1
        + (b"4000\r\n" + b" " * 0x4000 + b"\r\n") * 20,
    )


def deep_message(context):
    body = (
        b'{"model": "commentary", "messages": [{"content": %s}]}' % _DEEP_JSON
    )
    return post(context, "/v1/chat/completions", body)


def deep_chat(context):
    body = b'{"model": "commentary", "messages": [{}], "x": %s}' % _DEEP_JSON
    return post(context, "/v1/chat/completions", body)


def line_break(context):
    head = b"POST /v1/services/index-office/x HTTP/1.1\r\nHost: x\r\n"
    head += b"Rattanmill-Non-Idempotent: true\r\nContent-Length: 0\r\n"
    return raw(context, head + b"Idempotency-Key: a\x0bX-Evil: 1\r\n\r\n")


def workspace(context):
    head = b"POST /v1/services/index-office/x HTTP/1.1\r\nHost: x\r\n"
    head += b"Content-Length: 0\r\n"
    return raw(context, head + b"Rattanmill-Workspace: \xff\xfe\r\n\r\n")


def foreign_parent(context):
    body = {"parent": context.client.create(workspace="leith")}
    return post(context, "/v1/programs", body, Rattanmill_Workspace="oban")


def foreign_end(context):
    program = context.client.create(workspace="leith")
    headers = {"Rattanmill-Workspace": "oban"}
    path = f"/v1/programs/{program}"
    return context.client.request("DELETE", path, None, headers)


_STANDALONE_PROGRAM = "alba-east.0.any"
_REQUESTS = {
    "a body beyond the limit": lambda c: post(
        c, "/v1/chat/completions", b"x" * 70_000
    ),
    "an endless body in chunks": chunked,
    "broken JSON for a program": lambda c: post(c, "/v1/programs", b"{"),
    "deep JSON for a program": lambda c: post(
        c, "/v1/programs", b'{"parent": "", "budget": %s}' % _DEEP_JSON
    ),
    "deep JSON for a chat": deep_chat,
    "deep JSON in a message": deep_message,
    "a chat that is a list": lambda c: post(c, "/v1/chat/completions", b"[]"),
    "a chat with two answers": lambda c: post(
        c, "/v1/chat/completions", chat_body(n=2)
    ),
    "a body that is not UTF-8": lambda c: post(
        c, "/v1/chat/completions", b'{"model": "\xff"}'
    ),
    "a deadline that is no number": lambda c: post(
        c, "/v1/chat/completions", chat_body(), Rattanmill_Deadline="nan"
    ),
    "a turn that is no number": lambda c: post(
        c, "/v1/chat/completions", chat_body(), Rattanmill_Turn="-1"
    ),
    "an unprintable workspace": workspace,
    "a key with a line break": line_break,
    "a path that does not exist": lambda c: post(c, "/v1/nothing", b""),
    "a method that does not exist": lambda c: c.client.request(
        "PATCH", "/v1/programs"
    ),
    "the holder of acts as a program": lambda c: c.client.chat(
        "x", _STANDALONE_PROGRAM
    ),
    "an end of the holder of acts": lambda c: c.client.request(
        "DELETE", f"/v1/programs/{_STANDALONE_PROGRAM}"
    ),
    "the holder of acts as a parent": lambda c: post(
        c, "/v1/programs", {"parent": _STANDALONE_PROGRAM}
    ),
    "a parent of another workspace": foreign_parent,
    "an end of another's program": foreign_end,
    "a program of an unknown class": lambda c: post(
        c, "/v1/programs", {"class": "none"}
    ),
}


@when("a client sends {what}")
def step_sent(context, what):
    if what == "a body too slowly":
        head = b"POST /v1/programs HTTP/1.1\r\nHost: x\r\n"
        context.answer = raw(context, head + b"Content-Length: 9\r\n\r\n{")
    else:
        context.answer = _REQUESTS[what](context)


@then('the problem is {status:d} "{reason}"')
def step_problem(context, status, reason):
    assert context.answer.status == status, context.answer
    problem = json.loads(context.answer.body)
    assert problem["reason"] == reason, problem
    assert problem["detail"], problem


@then("it is refused with status {status:d}")
def step_refused(context, status):
    assert context.answer.status == status, context.answer


@then('the problem was counted as "{reason}"')
def step_counted(context, reason):
    name = "rattanmill_refusals_total"
    counted = sum(c.metric(name, reason=reason) for c in context.clients)
    assert counted > 0
    assert count_refusals(context) > context.refusals_before


@then("no endpoint was called")
def step_not_called(context):
    assert count_calls(context) == context.calls


@when("{count:d} connections are opened that send nothing")
def step_idle(context, count):
    host, port = context.client.address.split(":")
    context.idle = [
        context.scenario_stack.enter_context(
            socket.create_connection((host, int(port)), 30)
        )
        for _ in range(count)
    ]


@then("a caller is served meanwhile")
def step_served(context):
    for _ in range(5):
        answer = context.client.request("POST", "/v1/programs", {})
        assert answer.status == 201, answer


@then("the idle connections are closed and counted")
def step_closed(context):
    for connection in context.idle:
        with contextlib.suppress(ConnectionResetError):
            assert connection.recv(1) == b""
    name = "rattanmill_connections_closed_total"
    assert context.client.metric(name, why="too_many") > 0
    assert context.client.metric(name, why="idle") > 0


@when("a turn is sent that takes longer than its deadline")
def step_deadline(context):
    context.program = context.client.create()
    context.answer = Client(context.client.address, 5).chat(
        "x",
        context.program,
        1,
        headers={"Rattanmill-Deadline": "0.3"},
        max_tokens=100,
        standin={"output_tokens": 100},
    )


@then("a later repeat returns the turn")
def step_repeat(context):
    answer = context.client.chat(
        "x",
        context.program,
        1,
        max_tokens=100,
        standin={"output_tokens": 100},
    )
    assert answer.status == 200, answer
    assert len(answer.text.split()) == 100, answer
    assert answer.json["rattanmill"]["repeated"], answer
