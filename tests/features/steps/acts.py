"""Steps of non-idempotent calls."""

import concurrent.futures
import contextlib

from behave import given, then, when

from support import Client, Layout, ServiceSpec, start, wait_until
from support.deaf import unresponsive_listener
from support.stack import random_text

_LAYOUT = Layout(
    domains=("alba-east",),
    per_domain=3,
    services=[ServiceSpec("office-1"), ServiceSpec("office-2")],
    lease_seconds=1.5,
)
_ENDPOINTS = ("office-1", "office-2")
_NO_FAULTS = {
    "slow_seconds": 0.0,
    "hang": False,
    "lose_answers": 0,
    "reset_answers": 0,
    "refuse_before": 0,
    "fail_status": 0,
    "fencing": False,
    "redirect_to": "",
}
_NO_KV_FAULTS = {
    "down": False,
    "slow_seconds": 0.0,
    "lose_answers": 0,
    "lose_match": "",
    "slow_match": "",
}


def set_faults(context, **changes):
    for endpoint in _ENDPOINTS:
        if context.system.processes[endpoint].alive:
            context.system.standins[endpoint].faults(**changes)


def count_runs(context, key):
    total = context.runs_before_kill.get(key, 0)
    for endpoint in _ENDPOINTS:
        if context.system.processes[endpoint].alive:
            answer = context.system.standins[endpoint].request("GET", "/runs")
            total += answer.json.get(key, 0)
    return total


def idempotency_key(context, name):
    return f"{name}-{context.tag}"


def send_act(context, client, name, **options):
    """Sends an act of the scenario's program and returns the response."""
    options.setdefault("program", context.program)
    headers = {
        "Idempotency-Key": idempotency_key(context, name),
        "Rattanmill-Non-Idempotent": "true",
        **options.get("headers", {}),
    }
    if options["program"]:
        headers["Rattanmill-Program"] = options["program"]
    return client.request(
        options.get("method", "POST"),
        "/v1/services/index-office/deposits",
        options.get("body", b"deposit"),
        headers,
    )


def send_and_record(context, client, name, **options):
    context.act_responses.append(send_act(context, client, name, **options))


def other_clients(context):
    """Returns the clients of running instances that do not own the program."""
    return [
        i.client
        for i in context.system.instances
        if i.process.alive and i.name != context.owner.name
    ]


def restore(context):
    """Restarts what a scenario killed, and clears all faults."""
    for endpoint in _ENDPOINTS:
        if not context.system.processes[endpoint].alive:
            context.system.start_standin(endpoint, "", "standins.service")
    for instance in context.system.instances:
        if instance.process.alive:
            instance.process.resume()
        else:
            context.system.start_instance(instance)
    context.system.standins["kv"].faults(**_NO_KV_FAULTS)
    set_faults(context, **_NO_FAULTS)
    context.system.wait_ready()
    context.system.wait_open()


@given("a system for acts")
def step_system(context):
    start(context, _LAYOUT)
    restore(context)
    context.tag = random_text(4)
    context.act_responses = []
    context.runs_before_kill = {}
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(8)
    )
    context.program = context.clients[0].create(workspace="leith")
    context.owner = context.system.owner_of(context.program)


@given("the endpoints take {seconds:f} seconds per call")
def step_slow(context, seconds):
    set_faults(context, slow_seconds=seconds)


@given("the endpoints hang")
def step_hang(context):
    set_faults(context, hang=True)


@when("the endpoints work again")
def step_work_again(context):
    set_faults(context, **_NO_FAULTS)


@given("the endpoints have the fault {fault} for {count:d} calls")
def step_fault(context, fault, count):
    # Any endpoint may be chosen, so all have the fault.
    set_faults(context, **{fault: count})


@given("the endpoints redirect to each other")
def step_redirect(context):
    for endpoint, other in zip(_ENDPOINTS, reversed(_ENDPOINTS), strict=True):
        address = context.system.standins[other].address
        context.system.standins[endpoint].faults(
            redirect_to=f"http://{address}/deposits"
        )


@given("the endpoints {check} fencing tokens")
def step_fencing(context, check):
    set_faults(context, fencing=check == "check")


@given('endpoint "{endpoint}" is down')
def step_down(context, endpoint):
    known = context.system.standins[endpoint].request("GET", "/runs").json
    for key, count in known.items():
        before = context.runs_before_kill.get(key, 0)
        context.runs_before_kill[key] = before + count
    context.system.processes[endpoint].kill()


@given("no endpoint accepts connections")
def step_no_connections(context):
    context.listeners = context.scenario_stack.enter_context(
        contextlib.ExitStack()
    )
    for endpoint in _ENDPOINTS:
        step_down(context, endpoint)
        address = context.system.standins[endpoint].address
        context.listeners.enter_context(unresponsive_listener(address))


@when("the owner of the program is connecting to an endpoint")
def step_connecting(context):
    # An instance counts a call in flight once it has chosen an endpoint.
    def connecting():
        answer = context.owner.client.request("GET", "/v1/admin/endpoints")
        return sum(e["in_flight"] for e in answer.json)

    wait_until(connecting, "the owner is connecting")


@when("the endpoints accept connections again")
def step_accept_connections(context):
    context.listeners.close()
    step_endpoints_restarted(context)


@when("the endpoints are restarted")
def step_endpoints_restarted(context):
    for endpoint in _ENDPOINTS:
        context.system.start_standin(endpoint, "", "standins.service")


@given("the key-value service is unavailable")
@when("the key-value service is unavailable")
def step_kv_unavailable(context):
    context.system.standins["kv"].faults(down=True)


@when("the key-value service is available again")
@when("the key-value service is fast again")
def step_kv_back(context):
    context.system.standins["kv"].faults(**_NO_KV_FAULTS)


@given("responses to log writes are lost")
def step_lost_log_writes(context):
    kv = context.system.standins["kv"]
    kv.faults(lose_answers=100, lose_match="/log/")


@given("writes to the key-value service take {seconds:f} seconds")
def step_slow_kv(context, seconds):
    kv = context.system.standins["kv"]
    context.log_writes = kv.stats().get("log_writes_begun", 0)
    kv.faults(slow_seconds=seconds, slow_match="/log/")


@when('the intent of act "{name}" has reached the key-value service')
def step_intent_arrived(context, name):
    kv = context.system.standins["kv"]
    wait_until(
        lambda: kv.stats().get("log_writes_begun", 0) > context.log_writes,
        "the intent has reached the key-value service",
    )


@when("the owner of the program is paused")
def step_pause(context):
    context.owner.process.pause()


@when("the paused owner is resumed")
def step_resume(context):
    context.owner.process.resume()


@when("the owner of the program is killed")
def step_kill(context):
    context.owner.process.kill()


@when("the program of the acts is ended")
def step_end(context):
    path = f"/v1/programs/{context.program}"
    assert context.clients[0].request("DELETE", path).status == 200


@when('act "{name}" is started through non-owner {index:d}')
def step_started(context, name, index):
    # Through another instance, which stays up when the owner is killed.
    client = other_clients(context)[index]
    context.started = context.pool.submit(send_act, context, client, name)


@when('act "{name}" has reached an endpoint')
def step_reached(context, name):
    wait_until(
        lambda: count_runs(context, idempotency_key(context, name)),
        "the act is running",
    )


@when('act "{name}" is repeated through non-owner {index:d}')
def step_repeated(context, name, index):
    client = other_clients(context)[index]
    again = context.pool.submit(send_act, context, client, name)
    context.act_responses = [context.started.result(), again.result()]


@when('act "{name}" is sent through instance {index:d}')
def step_sent(context, name, index):
    send_and_record(context, context.clients[index], name)


@when('act "{name}" is sent through another instance')
def step_sent_elsewhere(context, name):
    send_and_record(context, other_clients(context)[0], name)


@when('act "{name}" is sent as PUT')
def step_sent_put(context, name):
    send_and_record(context, context.owner.client, name, method="PUT")


@given("each endpoint has answered an idempotent PUT and a PUT act")
def step_used_connections(context):
    client = context.owner.client
    for number in range(4):
        answer = client.request(
            "PUT", "/v1/services/index-office/deposits", b"x"
        )
        assert answer.status == 200, answer
        answer = send_act(context, client, f"used-{number}", method="PUT")
        assert answer.status == 200, answer


@when('act "{name}" is sent with a deadline of {seconds:g} seconds')
def step_deadline(context, name, seconds):
    headers = {"Rattanmill-Deadline": str(seconds)}
    client = Client(context.owner.http, seconds + 3)
    send_and_record(context, client, name, headers=headers)


@when('act "{name}" is sent with a body of {size:d} bytes')
def step_long(context, name, size):
    send_and_record(context, context.clients[0], name, body=b"x" * size)


@when('act "{name}" is sent without a program through each instance')
def step_no_program(context, name):
    for client in context.clients:
        send_and_record(context, client, name, program="")


@when('{count:d} keys are each used by workspaces "{one}" and "{other}"')
def step_workspaces(context, count, one, other):
    context.keys = [f"shared-{number}" for number in range(count)]
    for name in context.keys:
        for workspace in (one, other):
            headers = {"Rattanmill-Workspace": workspace}
            body = workspace.encode()
            send_and_record(
                context,
                context.clients[0],
                name,
                program="",
                headers=headers,
                body=body,
            )


@when('acts "{first}" to "{last}" are sent')
def step_several(context, first, last):
    for number in range(1, int(last.rsplit("-", 1)[1]) + 1):
        name = f"{first.rsplit('-', 1)[0]}-{number}"
        send_and_record(context, context.clients[number % 3], name)


@when('act "{name}" is sent until it is not refused with ran "{ran}"')
def step_until(context, name, ran):
    def answered():
        answer = send_act(context, context.clients[0], name)
        return answer.status == 200 or answer.json["ran"] != ran

    wait_until(answered, "the act is accepted")


@then("act response {number:d} has status {status:d}")
def step_status(context, number, status):
    answer = context.act_responses[number - 1]
    assert answer.status == status, answer


@then("all act responses have status {status:d}")
def step_all_status(context, status):
    wrong = [a for a in context.act_responses if a.status != status]
    assert not wrong, wrong[:3]


@then('act response {number:d} is refused with ran "{ran}"')
def step_refused(context, number, ran):
    answer = context.act_responses[number - 1]
    assert answer.status >= 400, answer
    assert answer.json["ran"] == ran, answer


@then("act response {number:d} has a Retry-After header")
def step_retry_after(context, number):
    assert "retry-after" in context.act_responses[number - 1].headers


@then("act response {number:d} arrived before that of the started act")
def step_before(context, number):
    assert not context.started.done(), context.started.result()
    assert context.started.result().status == 200


@then("the started act is answered with status {status:d}")
def step_started_status(context, status):
    answer = context.started.result()
    assert answer.status == status, answer


@then("the started act is refused")
def step_started_refused(context):
    answer = context.started.result()
    assert answer.status >= 400, answer
    assert answer.json["ran"] != "yes", answer


@then('act "{name}" ran {count:d} times')
def step_ran(context, name, count):
    found = count_runs(context, idempotency_key(context, name))
    assert found == count, found


@then("each act ran {count:d} times")
def step_each_ran(context, count):
    found = [
        count_runs(context, idempotency_key(context, name))
        for name in context.keys
    ]
    assert found == [count] * len(context.keys), found


@when("an idempotent call is sent")
def step_idempotent(context):
    response = context.clients[0].request(
        "POST", "/v1/services/index-office/deposits", b"deposit"
    )
    context.act_responses.append(response)


@then("act response 1 is complete")
def step_complete(context):
    (response,) = context.act_responses
    assert response.status == 200, response
    assert response.json["path"] == "/deposits", response
