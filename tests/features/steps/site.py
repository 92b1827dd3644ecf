"""Steps with a whole system on stand-ins of the users' platform."""

import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from behave import given, then, when

from support import wait_until
from support.site import AddressesTakenError, Site

_DOMAINS = ("east", "west", "north")
# Second byte of the loopback addresses of the first feature's system.
_FIRST_SITE_NUMBER = 61
_FORGED_HEADERS = {
    "X_Hold": "h1",
    "X_Pin_Ms": "4000",
    "X_Kv_Backup": "10.0.0.1:1",
    "Kv_From": "10.0.0.1:1/2",
    "X_Target_Instance": "llm-9",
    "X_Request_Priority": "0",
}
_SYSTEM_HEADERS = (
    "x-hold",
    "x-pin-ms",
    "x-kv-backup",
    "kv-from",
    "x-request-priority",
)


def site(context):
    return context.feature_site


def send_turn(context, domain, text, program, **headers):
    """Sends a turn of at most 40 tokens."""
    fields = {
        "X_Program_Id": program,
        "X_Session_Id": program,
        "X_Token_Budget": "400",
        "X_Token_Usage": "10,40",
        **headers,
    }
    context.request, context.answer = site(context).ask(
        domain, "POST", "/stream/talk/a", text.encode(), **fields
    )


def send_payment(context, domain, size=4):
    context.request, context.answer = site(context).ask(
        domain, "POST", "/pay/a", b"x" * size
    )
    return context.request, context.answer


@then("a second system on the same addresses reports that they are taken")
def step_taken(context):
    try:
        with Site(context.feature.site.number):
            raise AssertionError("two systems use the same addresses")
    except AddressesTakenError:
        pass


def site_number(feature):
    """Returns a unique number for each feature.

    Several features run at the same time; on the same addresses, each would use
    the processes of another.
    """
    files = sorted(pathlib.Path("tests/features").glob("site*.feature"))
    names = [path.name for path in files]
    return _FIRST_SITE_NUMBER + names.index(pathlib.Path(feature).name)


@given("a system on the users' platform")
def step_site(context):
    if not hasattr(context.feature, "site"):
        number = site_number(context.feature.filename)
        context.feature.site = context.feature_stack.enter_context(Site(number))
    context.feature_site = context.feature.site


@given('endpoint "{name}" has the faults {faults}')
def step_endpoint_faults(context, name, faults):
    site(context).control_endpoint(
        name, *(f.strip(' "') for f in faults.split(","))
    )


@given('every desk endpoint has the fault "{fault}"')
def step_desk_faults(context, fault):
    _inject_everywhere(context, "desk", fault)


@given('every engine has the fault "{fault}"')
def step_engine_faults(context, fault):
    _inject_everywhere(context, "llm", fault)


def _inject_everywhere(context, service, fault):
    """Sets a fault at each endpoint, cleared at the end of the scenario."""
    for index in range(len(_DOMAINS)):
        site(context).control_endpoint(f"{service}-{index}", fault)
    context.scenario_stack.callback(_clear_faults, site(context), service)


def _clear_faults(system, service):
    for index in range(len(_DOMAINS)):
        requests = system.control_endpoint(f"{service}-{index}", "clear")
        assert requests is not None


@when('a turn "{text}" of program "{program}" is sent to "{domain}"')
def step_turn(context, text, program, domain):
    send_turn(context, domain, text, program)
    context.first = (context.request, text, context.answer)


@when('the next turn "{text}" of program "{program}" is sent to "{domain}"')
def step_next_turn(context, text, program, domain):
    send_turn(context, domain, text, program, X_Previous_Turn=context.request)


@when(
    'a turn that continues the unknown turn "{previous}" is sent to "{domain}"'
)
def step_unknown_turn(context, previous, domain):
    send_turn(context, domain, "two", "unknown", X_Previous_Turn=previous)


@when('a turn with forged headers is sent to "{domain}"')
def step_forged(context, domain):
    send_turn(context, domain, "x", "forged", **_FORGED_HEADERS)


@when(
    'turns of program "{program}" with a budget of {budget:d} tokens,'
    " {max_tokens:d} at most each, are sent to all front ends until one is"
    " refused"
)
def step_budget(context, program, budget, max_tokens):
    context.used = 0
    for number in range(20):
        send_turn(
            context,
            _DOMAINS[number % 3],
            f"turn {number} ",
            program,
            X_Token_Budget=str(budget),
            X_Token_Usage=f"10,{max_tokens}",
        )
        if context.answer.status != 200:
            return
        context.used += 10 * context.answer.body.count(b"data:")
    raise AssertionError("no turn was refused")


@when('a payment is sent to "{domain}"')
def step_pay(context, domain):
    send_payment(context, domain)


@when('a payment of {size:d} bytes is sent to "{domain}"')
def step_pay_size(context, size, domain):
    send_payment(context, domain, size)


@when('{count:d} payments are sent to "{domain}"')
def step_pay_several(context, count, domain):
    context.paid = [send_payment(context, domain) for _ in range(count)]


@when(
    'look-ups are sent to "{domain}" until a desk endpoint has lost its'
    " response"
)
def step_look_up(context, domain):
    for _ in range(50):
        context.request, context.answer = site(context).ask(
            domain, "GET", "/seek/a"
        )
        runs = site(context).received_requests(context.request)
        if len(runs) > 1:
            return
        site(context).control_endpoint(runs[0]["endpoint"], "mute")
        context.scenario_stack.callback(_clear_faults, site(context), "desk")
    raise AssertionError("no response was lost")


@when('a plan is sent to "{domain}"')
def step_plan(context, domain):
    context.request, context.answer = site(context).ask(
        domain, "POST", "/stream/plan/a", b"plan", X_Token_Usage="10,40"
    )


@then("it is answered with {status:d}")
def step_status(context, status):
    assert context.answer.status == status, (context.request, context.answer)


@then("it is answered with {status:d} within its route's timeout")
def step_status_in_time(context, status):
    # The endpoint would have responded with 200 after twice that time.
    assert context.answer.status == status, context.answer


@then("all are answered with {status:d}")
def step_all_status(context, status):
    wrong = [pair for pair in context.paid if pair[1].status != status]
    assert not wrong, wrong


@then("the connection ends without a complete response")
def step_cut(context):
    assert context.answer.status == 0, context.answer


@then(
    "the endpoint received the first turn's input and events, and then"
    ' "{text}"'
)
def step_chain(context, text):
    _, first_text, first_answer = context.first
    data = [
        line[6:] + b"\n"
        for line in first_answer.body.splitlines()
        if line.startswith(b"data: ")
    ]
    expected = b"".join([first_text.encode(), *data, text.encode()])
    (received,) = site(context).received_requests(context.request)
    assert received["body"].encode("latin-1") == expected, (received, expected)
    assert data, first_answer


@then("no endpoint received it")
def step_not_received(context):
    assert not site(context).received_requests(context.request)


@then("the earlier turns used at most {tokens:d} tokens")
def step_used(context, tokens):
    assert 0 < context.used <= tokens, context.used


@then("the endpoint received none of the forged headers")
def step_no_forged(context):
    (received,) = site(context).received_requests(context.request)
    assert not set(_SYSTEM_HEADERS) & set(received["headers"]), received
    assert received["headers"]["x-target-instance"] == received["endpoint"], (
        received
    )


@then("each payment ran once")
def step_each_once(context):
    for request, _ in context.paid:
        ran = [
            s
            for s in site(context).received_requests(request)
            if s["fault"] != "shed"
        ]
        assert len(ran) == 1, (request, ran)


@then("it ran once")
def step_ran_once(context):
    assert len(site(context).received_requests(context.request)) == 1


@then("each response names the endpoint that ran it")
def step_own_response(context):
    for request, answer in context.paid:
        ran = [s["endpoint"] for s in site(context).received_requests(request)]
        assert answer.body == f"done by {ran[-1]}".encode(), (answer, ran)


@then("its events are 1 to {last:d}, each once")
def step_events(context, last):
    ids = [
        int(line[4:])
        for line in context.answer.body.splitlines()
        if line.startswith(b"id: ")
    ]
    assert ids == list(range(1, last + 1)), ids


@given('endpoint "{name}" is registered as draining')
def step_draining(context, name):
    service, _, index = name.partition("-")
    site(context).register(name, service, int(index), state="draining")
    context.scenario_stack.callback(
        site(context).register, name, service, int(index)
    )


@then('payments reach only "{names}" within {seconds:d} seconds')
def step_reach_only(context, names, seconds):
    allowed = set(names.split(", "))

    def only_allowed():
        for domain in _DOMAINS * 2:
            request, answer = send_payment(context, domain)
            assert answer.status == 200, answer
            ran = {
                s["endpoint"] for s in site(context).received_requests(request)
            }
            if not ran <= allowed:
                return False
        return True

    wait_until(only_allowed, "payments avoid it", float(seconds))


@given("forged entries among the registered endpoints")
def step_forged_entries(context):
    for key, value in (
        ("servers/forged-1", b"\xff\xfe no text"),
        ("servers/forged-2", b'{"service":"desk"}'),
        ("servers/forged-4", b'{"a":' + b"[" * 2000),
        ("servers/forged-5", b'{"a":' * 2000),
        (
            "servers/forged-3",
            json.dumps(
                {
                    "service": "desk",
                    "address": "nowhere",
                    "zone": "east",
                    "version": "v1",
                    "slots": 4,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "sequence": 1,
                }
            ).encode(),
        ),
    ):
        site(context).put(key, value)
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: _has_read(context, d, "servers/forged-5"),
            f"the front end of {domain} has read all of them",
        )


def _has_read(context, domain, key):
    """Whether a front end has read an endpoint's entry, and can't use it."""
    front = site(context).processes[f"front-{domain}"]
    assert front.alive, front.tail()
    unreadable = front.events("endpoint_unreadable")
    return any(line["key"] == key for line in unreadable)


@given(
    "the store compacts its history and gets a configuration that limits"
    " bodies to {size:d} bytes"
)
def step_compact(context, size):
    site(context).store.request("POST", "/compact", {})
    site(context).configure(max_body_bytes=size)
    context.scenario_stack.callback(site(context).configure)


@then(
    "a payment of {size:d} bytes is answered with {status:d} at every front end"
)
def step_size_everywhere(context, size, status):
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: send_payment(context, d, size)[1].status == status,
            f"the limit is in force in {domain}",
            5.0,
        )


@given("a configuration that closes connections idle for {milliseconds:d} ms")
def step_idle_timeout(context, milliseconds):
    site(context).configure(idle_timeout_ms=milliseconds)
    context.scenario_stack.callback(site(context).configure)
    wait_until(
        lambda: all(
            site(context)
            .processes[f"front-{domain}"]
            .events("config_in_force")[-1]["version"]
            == site(context).version
            for domain in _DOMAINS
        ),
        "the configuration is in force",
    )


@when("a caller sends a payment and keeps its connection open")
def step_keep_connection(context):
    host, _, port = site(context).front_address("east").rpartition(":")
    context.connection = http.client.HTTPConnection(host, int(port), timeout=20)
    context.connection.request(
        "POST",
        "/pay/a",
        b"x",
        {"Host": "tents.example", "X-Request-Id": "1d1e"},
    )
    assert context.connection.getresponse().read()


@then("the connection is closed by the front end")
def step_closed(context):
    assert context.connection.sock.recv(1) == b""
    context.connection.close()


@when(
    'a payment that takes 2 seconds runs at "{domain}" and the front end is'
    " terminated"
)
def step_end_front(context, domain):
    # The route's timeout is far off, so that only the front end's termination
    # could cut off the payment.
    site(context).configure(pay_timeout_ms=4000)
    context.scenario_stack.callback(site(context).configure)
    front = site(context).processes[f"front-{domain}"]
    wait_until(
        lambda: (
            front.events("config_in_force")[-1]["version"]
            == site(context).version
        ),
        "the configuration is in force",
    )
    _inject_everywhere(context, "desk", "slow")
    context.scenario_stack.callback(site(context).start, "front", domain)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        paying = pool.submit(send_payment, context, domain)
        wait_until(
            lambda: any(
                site(context).received_requests(line["request"])
                for line in front.events("placed")[-1:]
            ),
            "the payment runs",
        )
        front.terminate()
        wait_until(
            lambda: not site(context).is_ready(domain), "it is not ready"
        )
        context.was_unready = True
        context.answer = paying.result()[1]
    context.front = front


@then("the payment is answered with {status:d}")
def step_payment(context, status):
    assert context.answer.status == status, context.answer


@then('"{domain}" is not ready')
def step_not_ready(context, domain):
    assert context.was_unready


@then("the front end exits by itself")
def step_ends(context):
    assert context.front.wait(30.0) == 0
    assert context.front.events("drained")[-1]["cut"] == 0


@when(
    'the front end of "{domain}" restarts and gets a reload signal before it'
    " has read its settings"
)
def step_early_reload(context, domain):
    front = site(context).processes[f"front-{domain}"]
    settings = pathlib.Path(front.file)
    text = settings.read_text(encoding="utf-8")
    front.kill()
    settings.unlink()
    # Opening a FIFO blocks until the other end is opened.
    os.mkfifo(settings)
    site(context).processes[front.name] = front.__enter__()
    with settings.open("w", encoding="utf-8") as fifo:
        os.kill(front.pid, signal.SIGHUP)
        fifo.write(text)
    settings.unlink()
    settings.write_text(text, encoding="utf-8")


@then('"{domain}" becomes ready')
def step_becomes_ready(context, domain):
    wait_until(lambda: site(context).is_ready(domain), "it is ready")


@when(
    "a front end is started with settings that lack its addresses and have an"
    " invalid IP address"
)
def step_wrong_settings(context):
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("node_name=f\nzone=east\nip=10.1.0\n")
        file.flush()
        main = pathlib.Path("platform/main.py").resolve()
        context.done = subprocess.run(
            [sys.executable, str(main), "front"],
            capture_output=True,
            text=True,
            env={**os.environ, "RATTANMILL_NODE_FILE": file.name},
            check=False,
            timeout=60,
        )


@then("it exits with {code:d} and names all of them")
def step_names_all(context, code):
    assert context.done.returncode == code, context.done
    for name in (
        "port_range",
        "platform.address",
        "listen_addrs.front",
        "listen_addrs.ready",
        "ip: '10.1.0'",
    ):
        assert name in context.done.stderr, (name, context.done.stderr)


@when(
    'turns of program "{program}" are sent to "{domain}" while one holder of'
    " its account, then two, are killed and restarted"
)
def step_kill_holders(context, program, domain):
    context.used = 0
    domains = [domain, *(d for d in _DOMAINS if d != domain)]
    first, second = domains[:2]

    def send(number):
        send_turn(
            context,
            domain,
            f"turn {number} ",
            program,
            X_Token_Budget="200",
            X_Token_Usage="10,40",
        )
        context.used += 10 * context.answer.body.count(b"data:")
        return context.answer.status

    assert send(0) == 200, context.answer
    site(context).processes[f"storage-{first}"].kill()
    assert send(1) == 200, context.answer
    site(context).processes[f"storage-{second}"].kill()
    assert send(2) == 503, context.answer
    site(context).start("storage", first)
    wait_until(lambda: send(3) == 200, "a turn runs again")
    site(context).start("storage", second)
    context.last_status = context.answer.status
    for number in range(4, 12):
        send(number)


@then("the program has used no more than its budget")
def step_within_budget(context):
    assert context.used <= 200, context.used


@then("a turn is finally answered with 200")
def step_finally_answered(context):
    assert context.last_status == 200
