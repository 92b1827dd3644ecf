"""Steps that compare refusals with the calls that endpoints counted."""

import concurrent.futures

from behave import given, then, when

from support import Layout, start, wait_until

_LAYOUT = Layout(domains=("sanjose-a",), per_domain=2, lease_seconds=1.0)


def count_calls(context):
    """Returns the number of calls that the endpoints have started."""
    system = context.system
    return sum(
        system.standins[name].stats().get("calls", 0)
        for name in ("engine-1", "office-1")
        if system.processes[name].alive
    )


def restore(context):
    system = context.system
    if not system.processes["engine-1"].alive:
        system.restart_engine("engine-1")
    if not system.processes["office-1"].alive:
        system.start_standin("office-1", "", "standins.service")
    for instance in system.instances:
        if not instance.process.alive:
            system.start_instance(instance)
    system.standins["kv"].faults(down=False)
    system.standins["engine-1"].faults(draining=False, hang=False)
    system.standins["office-1"].faults(slow_seconds=0.0)
    system.wait_ready()
    system.wait_open()
    # An endpoint that was down is avoided for a while.
    wait_until(
        lambda: all(
            client.chat("warm up").status == 200
            and client.request("GET", "/v1/services/index-office/x").status
            == 200
            and client.request("POST", "/v1/programs", {}).status == 201
            for client in context.clients
        ),
        "the endpoints accept calls again",
    )


@given("a system for refusals")
def step_system(context):
    start(context, _LAYOUT)
    restore(context)
    context.client = context.clients[0]


def call_service(context, name="index-office", **headers):
    return context.client.request(
        "POST", f"/v1/services/{name}/x", b"{}", headers
    )


def call_ended_program(context):
    program = context.client.create()
    context.client.request("DELETE", f"/v1/programs/{program}")
    return context.client.chat("x", program)


def create_of_unknown_class(context):
    return context.client.request("POST", "/v1/programs", {"class": "none"})


def chat_with_budget(context, **budget):
    program = context.client.create(budget=budget)
    return context.client.chat("x" * 30, program)


def chat_beyond_turns(context):
    program = context.client.create(budget={"turns": 1})
    context.client.chat("x", program)
    context.calls_before = count_calls(context)
    return context.client.chat("y", program)


def chat_from_other_workspace(context):
    program = context.client.create(workspace="leith")
    headers = {"Rattanmill-Workspace": "oban"}
    return context.client.chat("x", program, headers=headers)


def chat_with_forged_receipt(context):
    program = context.client.create()
    return context.client.chat(
        "x", program, 1, rattanmill_receipts=["AAAA" * 20]
    )


def chat_at_draining_engine(context):
    context.system.standins["engine-1"].faults(draining=True)
    return context.client.chat("x")


def chat_without_engine(context):
    context.system.processes["engine-1"].kill()
    context.calls_before = count_calls(context)
    return context.client.chat("x")


def call_without_service(context):
    context.system.processes["office-1"].kill()
    context.calls_before = count_calls(context)
    return call_service(context)


def act_without_kv(context):
    context.system.standins["kv"].faults(down=True)
    return context.client.act("k")


def turn_without_kv(context):
    program = context.client.create()
    context.system.standins["kv"].faults(down=True)
    return context.client.chat("x", program)


_CASES = {
    "broken JSON": lambda c: c.client.request(
        "POST", "/v1/chat/completions", b"{"
    ),
    "for an unknown model": lambda c: c.client.chat("x", model="none"),
    "for an unknown service": lambda c: call_service(c, "none"),
    "of an unknown class": create_of_unknown_class,
    "of an unknown program": lambda c: c.client.chat("x", "sanjose-a.0.abc"),
    "of an ended program": call_ended_program,
    "of another workspace": chat_from_other_workspace,
    "a turn too far ahead": lambda c: c.client.chat("x", c.client.create(), 3),
    "beyond its budget": lambda c: chat_with_budget(c, tokens=40),
    "beyond its turns": chat_beyond_turns,
    "beyond its seconds": lambda c: chat_with_budget(c, seconds=1e-9),
    "an act without a key": lambda c: call_service(
        c, **{"Rattanmill-Non-Idempotent": "true"}
    ),
    "with a forged receipt": chat_with_forged_receipt,
    "too large": lambda c: c.client.chat("x" * 5_000_000),
    "for a draining engine": chat_at_draining_engine,
    "for an engine that is down": chat_without_engine,
    "for a service that is down": call_without_service,
    "an act while the KV is down": act_without_kv,
    "a turn while the KV is down": turn_without_kv,
}


@when("a call is made that is {case}")
def step_case(context, case):
    context.calls_before = count_calls(context)
    context.answer = _CASES[case](context)


@then('it is refused with reason "{reason}" and ran "{ran}"')
def step_reason(context, reason, ran):
    assert context.answer.status >= 400, context.answer
    problem = context.answer.json
    assert (problem["reason"], problem["ran"]) == (reason, ran), problem


@then('it is refused with ran "{ran}"')
def step_ran(context, ran):
    assert context.answer.status >= 400, context.answer
    assert context.answer.json["ran"] == ran, context.answer


@then("the endpoints counted {count:d} calls")
def step_calls_counted(context, count):
    assert count_calls(context) - context.calls_before == count


@then('refusals for "{reason}" were counted')
def step_metric(context, reason):
    name = "rattanmill_refusals_total"
    assert context.client.metric(name, reason=reason) > 0


def start_call(context, send):
    """Starts a call and returns its future once an endpoint runs it."""
    calls_before = count_calls(context)
    pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(1)
    )
    calls = [pool.submit(send)]

    def running():
        if calls[-1].done() and count_calls(context) == calls_before:
            # Refused before it ran, as right after an outage: send it again.
            assert calls[-1].result().json["ran"] == "no", calls[-1].result()
            calls.append(pool.submit(send))
        return count_calls(context) > calls_before

    wait_until(running, lambda: f"the call is running: {calls[-1]}")
    return calls[-1]


@when("a {kind} call runs at an endpoint that is killed")
def step_endpoint_killed(context, kind):
    system = context.system
    if kind == "service":
        system.standins["office-1"].faults(slow_seconds=30.0)
        call = start_call(context, lambda: call_service(context))
        system.processes["office-1"].kill()
    else:
        system.standins["engine-1"].faults(hang=True)
        program = context.client.create() if kind == "turn" else ""
        # A text of its own: that of another scenario would be quarantined.
        text = f"{kind} at an engine that dies"
        call = start_call(context, lambda: context.client.chat(text, program))
        system.processes["engine-1"].kill()
    context.answer = call.result()


@when("a turn runs while its owner and its engine are killed")
def step_both_killed(context):
    system = context.system
    program = context.client.create()
    owner = system.owner_of(program)
    other = next(i for i in system.instances if i.name != owner.name)
    system.standins["engine-1"].faults(hang=True)
    call = start_call(context, lambda: other.client.chat("Both die.", program))
    owner.process.kill()
    system.processes["engine-1"].kill()
    context.answer = call.result()
