"""Steps about the keys of workspaces on the users' platform."""

import http.client
import pathlib
import time

from behave import given, then, when
from steps.site import send_turn, site

from support import wait_until
from support.client import Answer, Client
from support.site import HOST

_DOMAINS = ("east", "west", "north")
_REVOCATION_MS = 3000
_METRICS_PORT = 9464


def _tenants(keys):
    return [
        {"name": name, "api_keys": list(found)} for name, found in keys.items()
    ]


def configure(context, tenants):
    """Puts a configuration with these workspaces in force."""
    site(context).tenants = tenants
    site(context).configure()
    version = site(context).version
    for domain in _DOMAINS:
        front = site(context).processes[f"front-{domain}"]
        wait_until(
            lambda f=front: _version_of(f) == version,
            f"{domain} has the configuration",
        )


def _version_of(front):
    events = front.events("config_in_force")
    return events[-1]["version"] if events else 0


@given(
    'workspaces "{first}" with key "{first_key}" and "{second}" with key'
    ' "{second_key}"'
)
def step_workspaces(context, first, first_key, second, second_key):
    _use_revocation(context)
    context.keys = {first: [first_key], second: [second_key]}
    configure(context, _tenants(context.keys))


def _use_revocation(context):
    """Restarts the system once with a bound for revoked keys."""
    system = site(context)
    if system.revocation_ms == _REVOCATION_MS:
        return
    system.revocation_ms = _REVOCATION_MS
    for role, domain, number in system.places():
        system.processes[f"{role}-{domain}"].kill()
        system.start(role, domain, first=False, number=number)
    for domain in _DOMAINS:
        wait_until(lambda d=domain: system.is_ready(d), f"{domain} is ready")


@given("a configuration without workspaces")
def step_no_workspaces(context):
    configure(context, None)


def _send(context, domain, headers, method="POST", path="/pay/a", body=b"x"):
    """Sends a request with headers that may be repeated."""
    system = site(context)
    context.request = system.new_request_id()
    host, _, port = system.front_address(domain).rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        connection.putrequest(method, path, skip_host=True)
        fields = [
            ("Host", HOST),
            ("X-Request-Id", context.request),
            ("X-Deadline-Ms", "3000"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        for name, value in fields:
            connection.putheader(name, value.encode())
        connection.endheaders(body)
        response = connection.getresponse()
        read = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        context.answer = Answer(response.status, found, read)
    finally:
        connection.close()
    return context.answer


def _key_headers(key):
    return [("Authorization", f"Bearer {key}")]


@when('a payment with these headers is sent to "{domain}":')
def step_with_headers(context, domain):
    rows = [context.table.headings, *(row.cells for row in context.table)]
    _send(context, domain, [(name, value) for name, value in rows])


@when(
    'a payment whose path and body contain a key is sent to "{domain}": "{key}"'
)
def step_in_path(context, domain, key):
    path = f"/pay/a?authorization=Bearer%20{key}&key={key}"
    _send(context, domain, [], path=path, body=key.encode())


@when('a payment with a key of {letters:d} letters is sent to "{domain}"')
def step_long_key(context, domain, letters):
    _send(context, domain, _key_headers("k" * letters))


@when('a look-up of the public route is sent to "{domain}" without a key')
def step_public(context, domain):
    _send(context, domain, [], "GET", "/open/a", b"")


def _received(context):
    received = site(context).received_requests(context.request)
    assert len(received) == 1, received
    return received[0]["headers"]


@then('the endpoint received the workspace "{name}" and no key')
def step_received(context, name):
    headers = _received(context)
    assert headers["x-tenant"] == name, headers
    assert "authorization" not in headers


@then("the endpoint received no workspace and no key")
def step_received_none(context):
    headers = _received(context)
    assert not {"x-tenant", "authorization"} & headers.keys(), headers


@then('the endpoint received the header "{name}" with "{value}"')
def step_received_header(context, name, value):
    assert _received(context)[name] == value


@when(
    'a turn "{text}" of "{workspace}" in program "{program}" is sent to'
    ' "{domain}"'
)
def step_turn(context, text, program, workspace, domain):
    key = context.keys[workspace][0]
    send_turn(context, domain, text, program, Authorization=f"Bearer {key}")
    if context.answer.status == 200:
        context.first_turn = context.request


@when(
    'the next turn "{text}" of "{workspace}" in program "{program}" is sent to'
    ' "{domain}"'
)
def step_next_turn(context, text, program, workspace, domain):
    key = context.keys[workspace][0]
    send_turn(
        context,
        domain,
        text,
        program,
        Authorization=f"Bearer {key}",
        X_Previous_Turn=context.first_turn,
    )


@when('turns of "{workspace}" in program "{program}" use up its budget')
def step_use_up(context, program, workspace):
    while True:
        step_turn(context, "x", program, workspace, "east")
        if context.answer.status != 200:
            break
    assert context.answer.status == 402, context.answer


@when('the key of "{workspace}" is replaced by "{key}"')
def step_replace(context, workspace, key):
    context.keys = {**context.keys, workspace: [key]}
    site(context).tenants = _tenants(context.keys)
    site(context).configure()


def _statuses(context, key):
    return {
        _send(context, domain, _key_headers(key)).status for domain in _DOMAINS
    }


@then(
    'payments with the key "{key}" are answered with {status:d} at every front'
    " end within {seconds:d} seconds"
)
def step_within(context, key, status, seconds):
    wait_until(
        lambda: _statuses(context, key) == {status}, f"{key}: {status}", seconds
    )


@then(
    'payments with the key "{key}" are answered with {status:d} at every front'
    " end"
)
def step_everywhere(context, key, status):
    assert _statuses(context, key) == {status}


@when("the store is unreachable for {seconds:d} seconds")
def step_unreachable(context, seconds):
    site(context).faults(down=True)
    context.scenario_stack.callback(site(context).faults, down=False)
    context.at_first = _statuses(context, "red-key-1")
    time.sleep(seconds)


@when("the store is reachable again")
def step_reachable(context):
    site(context).faults(down=False)


@then(
    'payments with the key "{key}" are answered with {first:d} at first and'
    " with {last:d} at last"
)
def step_at_last(context, key, first, last):
    assert context.at_first == {first}, context.at_first
    assert _statuses(context, key) == {last}


@then("no front end is ready")
def step_not_ready(context):
    assert not any(map(site(context).is_ready, _DOMAINS))


@then('no log, metric or file of the system contains "{text}"')
def step_nowhere(context, text):
    system = site(context)
    texts = {
        str(path): path.read_bytes()
        for path in pathlib.Path(system.folder.name).rglob("*")
        if path.is_file() and "store" not in path.name
    }
    for role, domain, number in system.places():
        address = f"{system.host(role, domain, number)}:{_METRICS_PORT}"
        answer = Client(address).request("GET", "/metrics")
        texts[address] = answer.body
    found = [name for name, body in texts.items() if text.encode() in body]
    assert len(texts) > len(_DOMAINS) and not found, found
