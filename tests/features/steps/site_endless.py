"""Steps about endpoints that send bytes without end."""

import concurrent.futures
import contextlib
import http.client
import itertools
import pathlib
import re
import socket

from behave import given, then, when
from steps.site import site

from support.site import HOST

_DOMAINS = ("east", "west", "north")
# Longer than any scenario.
_FAULT_SECONDS = 600.0
_PAY_TIMEOUT_MS = 4000
_DEADLINE_MS = "4000"
# A few at a time, as sound calls are that come beside the others.
_SOUND_AT_A_TIME = 4
_MAX_TRIES = 20


def send_turn(system):
    """Sends a turn without a budget, which waits for no disk."""
    return system.ask(
        "east", "POST", "/stream/talk/a", b"x", X_Deadline_Ms=_DEADLINE_MS
    )[1]


def send_plan(system):
    return system.ask(
        "east", "POST", "/stream/plan/a", b"x", X_Deadline_Ms=_DEADLINE_MS
    )[1]


def send_payment(system):
    return system.ask(
        "east", "POST", "/pay/a", b"pay", X_Deadline_Ms=_DEADLINE_MS
    )[1]


def forget_peak(process):
    """Forgets the most memory that a process has used so far."""
    pathlib.Path(f"/proc/{process.pid}/clear_refs").write_text("5")


def is_whole(answer):
    if answer.status != 200:
        return False
    if answer.body.startswith(b"done by desk"):
        return True
    return answer.body.count(b"data: word") == 4


@given('every {kind} sends "{fault}"')
def step_spoil(context, kind, fault):
    system = site(context)
    service = {"engine": "llm", "desk endpoint": "desk"}[kind]
    system.configure(pay_timeout_ms=_PAY_TIMEOUT_MS)
    context.spoiled_names = []
    for index, _ in enumerate(_DOMAINS):
        name = f"{service}-{index}"
        system.spoil_endpoint(name, [fault], 1.0, _FAULT_SECONDS)
        context.spoiled_names.append(name)
        context.scenario_stack.callback(system.control_endpoint, name, "clear")


def send_beside(context, spoiled, spoiled_count, sound, sound_count):
    """Sends calls whose endpoints never end, and sound ones beside them."""
    system = site(context)
    forget_peak(system.processes["front-east"])
    with (
        concurrent.futures.ThreadPoolExecutor(max(1, spoiled_count)) as many,
        concurrent.futures.ThreadPoolExecutor(_SOUND_AT_A_TIME) as few,
    ):
        first = [many.submit(spoiled, system) for _ in range(spoiled_count)]
        beside = [few.submit(sound, system) for _ in range(sound_count)]
        context.spoiled = [asked.result() for asked in first]
        context.sound = [asked.result() for asked in beside]


@when(
    '{turns:d} turns are sent to "east" and {payments:d} payments beside them'
)
def step_turns(context, turns, payments):
    send_beside(context, send_turn, turns, send_payment, payments)


@when(
    '{payments:d} payments are sent to "east" and {plans:d} plans beside them'
)
def step_payments(context, payments, plans):
    send_beside(context, send_payment, payments, send_plan, plans)


@when(
    '{callers:d} callers send payments to "east" and read nothing, and'
    " {plans:d} plans are sent beside them"
)
def step_unread(context, callers, plans):
    system = site(context)
    host, _, port = system.front_address("east").rpartition(":")
    with contextlib.ExitStack() as stack:
        for _ in range(callers):
            sock = socket.create_connection((host, int(port)))
            stack.enter_context(sock)
            sock.sendall(
                f"POST /pay/a HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {system.new_request_id()}\r\n"
                f"X-Deadline-Ms: {_DEADLINE_MS}\r\n"
                "Content-Length: 3\r\n\r\npay".encode()
            )
        send_beside(context, send_plan, 0, send_plan, plans)


@then("every {kind} is answered whole")
def step_whole(context, kind):
    wrong = [answer for answer in context.sound if not is_whole(answer)]
    assert not wrong, (len(wrong), len(context.sound), wrong[:3])


@then("no {kind} looks complete")
def step_none(context, kind):
    statuses = [answer.status for answer in context.spoiled]
    assert set(statuses) <= {0, 502, 503, 504}, statuses
    received = itertools.chain.from_iterable(
        map(site(context).control_endpoint, context.spoiled_names)
    )
    played = [entry for entry in received if "endless" in entry["fault"]]
    assert len(played) >= len(_DOMAINS), statuses


@then('the front end of "{domain}" has used less than {limit:d} MB')
def step_memory(context, domain, limit):
    front = site(context).processes[f"front-{domain}"]
    assert front.alive, front.tail()
    text = pathlib.Path(f"/proc/{front.pid}/status").read_text()
    peak_mb = int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) / 1024
    assert peak_mb < limit, peak_mb


@when(
    'a turn of at most {tokens:d} tokens is sent to "east" until it reaches an'
    " engine"
)
def step_budgeted(context, tokens):
    # A disk that takes long to sync may delay the permission of a turn.
    for _ in range(_MAX_TRIES):
        context.event_count = read_events(site(context), tokens)
        if context.event_count is not None:
            return
    raise AssertionError("no turn reached an engine")


def read_events(system, tokens):
    """Returns the number of events of a turn, or None if it was refused."""
    host, _, port = system.front_address("east").rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    with contextlib.closing(connection):
        headers = {
            "Host": HOST,
            "X-Request-Id": system.new_request_id(),
            "X-Deadline-Ms": _DEADLINE_MS,
            "X-Program-Id": "endless",
            "X-Token-Budget": "4000",
            "X-Token-Usage": f"10,{tokens}",
        }
        connection.request("POST", "/stream/talk/a", b"x", headers)
        response = connection.getresponse()
        if response.status == 503:
            response.read()
            return None
        assert response.status == 200, response.status
        body = bytearray()
        try:
            while piece := response.read1():
                body += piece
        except http.client.IncompleteRead:
            return body.count(b"data: word")
    raise AssertionError("the response looks complete")


@then("its caller got {count:d} events, and no complete response")
def step_events(context, count):
    assert context.event_count == count, context.event_count


@then('the front end of "{domain}" tells of an answer in excess by "{excess}"')
def step_told(context, domain, excess):
    front = site(context).processes[f"front-{domain}"]
    told = [line["excess"] for line in front.events("answer_in_excess")]
    assert excess in told, told
