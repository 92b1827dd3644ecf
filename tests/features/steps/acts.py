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
_OFFICES = ("office-1", "office-2")
_WELL = {
    "slow_seconds": 0.0,
    "hang": False,
    "lose_answers": 0,
    "refuse_before": 0,
    "fail_status": 0,
    "fencing": False,
    "redirect_to": "",
}
_KV_WELL = {
    "down": False,
    "slow_seconds": 0.0,
    "lose_answers": 0,
    "lose_match": "",
    "slow_match": "",
}


def faults(context, **changes):
    for office in _OFFICES:
        if context.system.processes[office].alive:
            context.system.standins[office].faults(**changes)


def runs(context, key):
    total = context.runs_of_the_dead.get(key, 0)
    for office in _OFFICES:
        if context.system.processes[office].alive:
            answer = context.system.standins[office].request("GET", "/runs")
            total += answer.json.get(key, 0)
    return total


def key_of(context, name):
    return f"{name}-{context.tag}"


def act(context, client, name, **options):
    """Sends an act of the scenario's program and notes its answer."""
    options.setdefault("program", context.program)
    headers = {
        "Idempotency-Key": key_of(context, name),
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


def send(context, client, name, **options):
    context.act_answers.append(act(context, client, name, **options))


def others(context):
    """Clients of the instances that run and do not own the program."""
    return [
        i.client
        for i in context.system.instances
        if i.process.alive and i.name != context.owner.name
    ]


def revive(context):
    """Starts again what a scenario killed."""
    for office in _OFFICES:
        if not context.system.processes[office].alive:
            context.system.start_standin(office, "", "standins.service")
    for instance in context.system.instances:
        if instance.process.alive:
            instance.process.resume()
        else:
            context.system.start_instance(instance)
    context.system.standins["kv"].faults(**_KV_WELL)
    faults(context, **_WELL)
    context.system.wait_ready()
    context.system.wait_open()


@given("a system for acts")
def step_system(context):
    start(context, _LAYOUT)
    revive(context)
    context.tag = random_text(4)
    context.act_answers = []
    context.runs_of_the_dead = {}
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(8)
    )
    context.program = context.clients[0].create(workspace="leith")
    context.owner = context.system.owner_of(context.program)


@given("the offices take {seconds:f} seconds")
def step_slow(context, seconds):
    faults(context, slow_seconds=seconds)


@given("the offices hang")
def step_hang(context):
    faults(context, hang=True)


@when("the offices are well again")
def step_well(context):
    faults(context, **_WELL)


@given("the offices have the fault {fault} for {count:d} calls")
def step_fault(context, fault, count):
    # Which office is chosen is not at issue, so both have the fault.
    faults(context, **{fault: count})


@given("the offices redirect to one another")
def step_redirect(context):
    for office, other in zip(_OFFICES, reversed(_OFFICES), strict=True):
        address = context.system.standins[other].address
        context.system.standins[office].faults(
            redirect_to=f"http://{address}/deposits"
        )


@given("the offices {check} fencing numbers")
def step_fencing(context, check):
    faults(context, fencing=check == "check")


@given("{office} is gone")
def step_gone(context, office):
    known = context.system.standins[office].request("GET", "/runs").json
    for key, count in known.items():
        before = context.runs_of_the_dead.get(key, 0)
        context.runs_of_the_dead[key] = before + count
    context.system.processes[office].kill()


@given("no office takes connections")
def step_deaf(context):
    context.listeners = context.scenario_stack.enter_context(
        contextlib.ExitStack()
    )
    for office in _OFFICES:
        step_gone(context, office)
        address = context.system.standins[office].address
        context.listeners.enter_context(unresponsive_listener(address))


@when("the owner of the program is connecting to an office")
def step_connecting(context):
    # The instance counts a call at an endpoint once it has chosen one.
    def connecting():
        answer = context.owner.client.request("GET", "/v1/admin/endpoints")
        return sum(e["in_flight"] for e in answer.json)

    wait_until(connecting, "the owner is connecting")


@when("the offices take connections again")
def step_hearing(context):
    context.listeners.close()
    step_offices_back(context)


@when("the offices are back")
def step_offices_back(context):
    for office in _OFFICES:
        context.system.start_standin(office, "", "standins.service")


@given("the key-value service goes away")
@when("the key-value service goes away")
def step_kv_away(context):
    context.system.standins["kv"].faults(down=True)


@when("the key-value service is back")
@when("the key-value service is fast again")
def step_kv_back(context):
    context.system.standins["kv"].faults(**_KV_WELL)


@given("writes of the log take effect without an answer")
def step_lost_log_writes(context):
    kv = context.system.standins["kv"]
    kv.faults(lose_answers=100, lose_match="/log/")


@given("writes of the key-value service take {seconds:f} seconds")
def step_slow_kv(context, seconds):
    kv = context.system.standins["kv"]
    context.log_writes = kv.stats().get("log_writes_begun", 0)
    kv.faults(slow_seconds=seconds, slow_match="/log/")


@when('the intent of act "{name}" has reached the key-value service')
def step_intent_arrived(context, name):
    kv = context.system.standins["kv"]
    wait_until(
        lambda: kv.stats().get("log_writes_begun", 0) > context.log_writes,
        "the intent is on its way",
    )


@when("the owner of the program is frozen")
def step_freeze(context):
    context.owner.process.pause()


@when("the frozen owner wakes up")
def step_wake(context):
    context.owner.process.resume()


@when("the owner of the program is killed")
def step_kill(context):
    context.owner.process.kill()


@when("the program of the acts is ended")
def step_end(context):
    path = f"/v1/programs/{context.program}"
    assert context.clients[0].request("DELETE", path).status == 200


@when('act "{name}" is started through instance {index:d} of the program')
def step_started(context, name, index):
    # Through another instance, so that the caller outlives the owner.
    client = others(context)[index]
    context.started = context.pool.submit(act, context, client, name)


@when('act "{name}" has reached an office')
def step_reached(context, name):
    wait_until(
        lambda: runs(context, key_of(context, name)), "the act is running"
    )


@when('act "{name}" is repeated through instance {index:d} of the program')
def step_repeated(context, name, index):
    client = others(context)[index]
    again = context.pool.submit(act, context, client, name)
    context.act_answers = [context.started.result(), again.result()]


@when('act "{name}" goes through instance {index:d}')
def step_sent(context, name, index):
    send(context, context.clients[index], name)


@when('act "{name}" goes through another instance')
def step_sent_elsewhere(context, name):
    send(context, others(context)[0], name)


@when('act "{name}" is sent as PUT')
def step_sent_put(context, name):
    send(context, context.owner.client, name, method="PUT")


@given("each office has answered an idempotent PUT and a PUT act")
def step_used_connections(context):
    client = context.owner.client
    for number in range(4):
        answer = client.request(
            "PUT", "/v1/services/index-office/deposits", b"x"
        )
        assert answer.status == 200, answer
        answer = act(context, client, f"used-{number}", method="PUT")
        assert answer.status == 200, answer


@when('act "{name}" is sent with a deadline of {seconds:g} seconds')
def step_deadline(context, name, seconds):
    headers = {"Rattanmill-Deadline": str(seconds)}
    client = Client(context.owner.http, seconds + 3)
    send(context, client, name, headers=headers)


@when('act "{name}" is sent with a body of {size:d} bytes')
def step_long(context, name, size):
    send(context, context.clients[0], name, body=b"x" * size)


@when('act "{name}" is sent without a program through each instance')
def step_loose(context, name):
    for client in context.clients:
        send(context, client, name, program="")


@when('{count:d} keys are each used by workspaces "{one}" and "{other}"')
def step_workspaces(context, count, one, other):
    context.keys = [f"shared-{number}" for number in range(count)]
    for name in context.keys:
        for workspace in (one, other):
            headers = {"Rattanmill-Workspace": workspace}
            body = workspace.encode()
            send(
                context,
                context.clients[0],
                name,
                program="",
                headers=headers,
                body=body,
            )


@when('act "{first}" to "{last}" are sent')
def step_several(context, first, last):
    for number in range(1, int(last.rsplit("-", 1)[1]) + 1):
        name = f"{first.rsplit('-', 1)[0]}-{number}"
        send(context, context.clients[number % 3], name)


@when('act "{name}" is sent until it is not refused with ran "{ran}"')
def step_until(context, name, ran):
    def answered():
        answer = act(context, context.clients[0], name)
        return answer.status == 200 or answer.json["ran"] != ran

    wait_until(answered, "the act is taken")


@then("act answer {number:d} has status {status:d}")
def step_status(context, number, status):
    answer = context.act_answers[number - 1]
    assert answer.status == status, answer


@then("all act answers have status {status:d}")
def step_all_status(context, status):
    wrong = [a for a in context.act_answers if a.status != status]
    assert not wrong, wrong[:3]


@then('act answer {number:d} is refused with ran "{ran}"')
def step_refused(context, number, ran):
    answer = context.act_answers[number - 1]
    assert answer.status >= 400, answer
    assert answer.json["ran"] == ran, answer


@then("act answer {number:d} says when to come back")
def step_retry_after(context, number):
    assert "retry-after" in context.act_answers[number - 1].headers


@then("act answer {number:d} came before the started act's")
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
    found = runs(context, key_of(context, name))
    assert found == count, found


@then("each act ran {count:d} times")
def step_each_ran(context, count):
    found = [runs(context, key_of(context, name)) for name in context.keys]
    assert found == [count] * len(context.keys), found
