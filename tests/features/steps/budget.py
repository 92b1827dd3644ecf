"""Steps that hold what engines made against programs' budgets."""

import concurrent.futures
import contextlib
import itertools
import time

from behave import given, then, when

from support import EngineSpec, Layout, start, wait_until
from support.deaf import unresponsive_listener

_LAYOUT = Layout(
    domains=("alba-west",),
    per_domain=3,
    engines=[EngineSpec("engine-1", options={"decode": 2000.0})],
    lease_seconds=1.0,
)
_WELL = {
    "hang": False,
    "lose_streams": False,
    "over_report_tokens": 0,
    "slow_factor": 1.0,
}
_PAUSE_SECONDS = 0.1
_ENDED = ("budget_exhausted",)


def made(context):
    """Returns the tokens that the engine has worked on in this scenario."""
    stats = context.system.standins["engine-1"].stats()
    tokens = stats.get("prompt_tokens", 0) + stats.get("made_tokens", 0)
    return tokens - context.base


def turn(client, program, text="x", tokens=200):
    return client.chat(
        text, program, max_tokens=tokens, standin={"output_tokens": tokens}
    )


def living(context):
    return [i for i in context.system.instances if i.process.alive]


def spend(clients, program):
    """Sends turns until one is refused for want of budget."""
    answer = None
    for number, client in enumerate(itertools.cycle(clients)):
        assert number < 500, f"the budget is never spent: {answer}"
        if answer and "retry-after" in answer.headers:
            # Its engine is given a rest after it failed.
            time.sleep(_PAUSE_SECONDS)
        # Small answers use the budget up to nearly its end.
        answer = turn(client, program, f"turn {number}", 20)
        if answer.status != 200 and answer.json["reason"] in _ENDED:
            return answer


def shown(context, program):
    return context.clients[0].request("GET", f"/v1/programs/{program}").json


@given("a system for budgets")
def step_system(context):
    start(context, _LAYOUT)
    system = context.system
    for instance in system.instances:
        if instance.process.alive:
            instance.process.resume()
        else:
            system.start_instance(instance)
    system.standins["kv"].faults(slow_seconds=0.0, slow_match="")
    system.standins["engine-1"].faults(**_WELL)
    system.wait_ready()
    system.wait_open()
    context.base = 0
    wait_until(lambda: made(context) == made(context), "the engine is quiet")
    context.base = made(context)
    context.children = []
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(16)
    )


@given("a program with a budget of {tokens:d} tokens")
def step_program(context, tokens):
    context.program = context.clients[0].create(budget={"tokens": tokens})


@given("engines that cut streams and can't resume them")
def step_lose_streams(context):
    context.system.standins["engine-1"].faults(lose_streams=True)


@given("engines that report {tokens:d} tokens too many")
def step_over_report(context, tokens):
    engine = context.system.standins["engine-1"]
    engine.faults(over_report_tokens=tokens)


@given("commits of reservations are slow")
def step_slow_commits(context):
    kv = context.system.standins["kv"]
    kv.faults(slow_seconds=0.3, slow_match="/log/")


@given("a program of a class that allows {repeats:d} repeats")
def step_class(context, repeats):
    client = context.clients[0]
    config = client.request("GET", "/v1/admin/config").json
    config["classes"]["looping"] = {"max_repeats": repeats}
    answer = client.request("PUT", "/v1/admin/config", config)
    assert answer.status == 200, answer
    wait_until(
        lambda: all(
            "looping" in c.request("GET", "/v1/admin/config").json["classes"]
            for c in context.clients
        ),
        "the class is in force",
    )
    context.program = client.create(**{"class": "looping"})


def call_in_flight(context, program, client, tokens=300):
    """Starts a turn and returns it once the engine has it."""
    engine = context.system.standins["engine-1"]
    before = engine.stats().get("calls", 0)
    call = context.pool.submit(turn, client, program, "x", tokens)
    wait_until(
        lambda: engine.stats().get("calls", 0) > before, "a call is in flight"
    )
    return call


@when("the owner dies with a turn in flight {times:d} times")
def step_owner_dies(context, times):
    system = context.system
    engine = system.standins["engine-1"]
    for _ in range(times):
        owner = system.owner_of(context.program)
        other = next(i for i in living(context) if i.name != owner.name)
        engine.faults(slow_factor=10.0)
        call = call_in_flight(context, context.program, other.client)
        owner.process.kill()
        engine.faults(slow_factor=1.0)
        call.result()
        system.start_instance(owner)
        system.wait_ready()


@given("the instances have seen the engine die")
def step_engine_died(context):
    end_engine(context)
    wait_until(
        lambda: all(
            endpoint["state"] == "down"
            for i in living(context)
            for endpoint in endpoints(i)
            if endpoint["name"] == "engine-1"
        ),
        "the engine is down for all",
    )


def endpoints(instance):
    return instance.client.request("GET", "/v1/admin/endpoints").json


def end_engine(context):
    """Ends the engine; what it has made goes on to count."""
    context.base = -made(context)
    context.system.processes["engine-1"].kill()


def connecting(context):
    """Returns the instance that waits for an endpoint, if one does."""
    for instance in living(context):
        if any(each["in_flight"] for each in endpoints(instance)):
            return instance
    return None


def send_to_deaf_engine(context, deafness):
    """Sends a turn that waits for an engine which takes no connection.

    A probe that meets the moment after the engine's end and before anything
    listens in its place finds it dead, and then no turn is sent there.

    Returns:
        The instance that waits, or None if it has refused the turn.
    """
    system = context.system
    deafness.close()
    if not system.processes["engine-1"].alive:
        system.restart_engine("engine-1")
        system.wait_open()
    end_engine(context)
    deafness.enter_context(
        unresponsive_listener(system.standins["engine-1"].address)
    )
    client = system.owner_of(context.program).client
    context.late = context.pool.submit(turn, client, context.program, "x", 1000)
    wait_until(
        lambda: connecting(context) or context.late.done(),
        "the turn waits or is refused",
    )
    return connecting(context)


@when("the owner is frozen while it waits for an engine")
def step_frozen(context):
    with contextlib.ExitStack() as deafness:
        # The instance that waits is the owner, also where a shard has moved
        # since the last look.
        context.owner = wait_until(
            lambda: send_to_deaf_engine(context, deafness),
            lambda: f"an owner waits: {context.late.result()}",
        )
        context.owner.process.pause()
    context.others = [
        i.client for i in living(context) if i.name != context.owner.name
    ]
    context.system.restart_engine("engine-1")


@when("turns are sent through the next owner until the budget is spent")
def step_spend_next(context):
    context.answer = spend(context.others, context.program)


@when("the old owner wakes up and finishes")
def step_wake(context):
    context.owner.process.resume()
    context.late.result()


@when("turns are sent until the budget is spent")
def step_spend(context):
    clients = [i.client for i in living(context)]
    context.answer = spend(clients, context.program)


def children(context, parent, tokens):
    """Makes sub-agents until the parent's budget does not allow another."""
    found = []
    while True:
        answer = context.clients[0].request(
            "POST",
            "/v1/programs",
            {"parent": parent, "budget": {"tokens": tokens}},
        )
        if answer.status != 201:
            assert answer.json["reason"] == "budget_exhausted", answer
            return found
        found.append(answer.json["program"])


@when("sub-agents with {tokens:d} tokens each are made until that is refused")
def step_children(context, tokens):
    context.children = children(context, context.program, tokens)
    assert len(context.children) > 1


@when("each of them makes sub-agents with {tokens:d} tokens")
def step_grandchildren(context, tokens):
    found = [children(context, child, tokens) for child in context.children]
    assert all(found), found
    context.children += itertools.chain(*found)


@when("all of them send turns at once until their budgets are spent")
def step_all_spend(context):
    programs = [context.program, *context.children]
    list(context.pool.map(lambda p: spend(context.clients, p), programs))


@when(
    "a turn for {turn_tokens:d} and a sub-agent with {tokens:d} tokens are"
    " asked for"
)
def step_race(context, turn_tokens, tokens):
    kv = context.system.standins["kv"]
    before = kv.stats().get("log_writes_begun", 0)
    client = context.system.owner_of(context.program).client
    call = context.pool.submit(turn, client, context.program, "x", turn_tokens)
    wait_until(
        lambda: kv.stats().get("log_writes_begun", 0) > before,
        "the reservation is under way",
    )
    body = {"parent": context.program, "budget": {"tokens": tokens}}
    made_child = client.request("POST", "/v1/programs", body)
    context.granted = [call.result().status, made_child.status]


@when("a sub-agent with {tokens:d} tokens is ended while its turn runs")
def step_end_child(context, tokens):
    client = context.clients[0]
    child = client.create(parent=context.program, budget={"tokens": tokens})
    engine = context.system.standins["engine-1"]
    engine.faults(slow_factor=10.0)
    call = call_in_flight(context, child, client, 700)
    end = context.pool.submit(client.request, "DELETE", f"/v1/programs/{child}")
    engine.faults(slow_factor=1.0)
    assert call.result().status == 200, call.result()
    assert end.result().status == 200, end.result()
    left = shown(context, context.program)["budget_left"]["tokens"]
    context.parent_left = left


@when("a sub-agent with {tokens:d} tokens outlives its parent")
def step_outlive(context, tokens):
    client = context.clients[0]
    child = client.create(parent=context.program, budget={"tokens": tokens})
    context.children = [child]
    path = f"/v1/programs/{context.program}"
    assert client.request("DELETE", path).status == 200


@when("the sub-agent sends turns until its budget is spent")
def step_child_spends(context):
    context.answer = spend(context.clients, context.children[0])


@when("a turn is sent")
@when("a different turn is sent")
def step_turn(context):
    context.answer = turn(context.clients[0], context.program, "different")


@when("a turn asks for {tokens:d} tokens")
def step_turn_asks(context, tokens):
    context.answer = turn(context.clients[1], context.program, "x", tokens)


@when("the same turn is sent {count:d} times")
def step_same_turns(context, count):
    for _ in range(count):
        context.answer = turn(context.clients[1], context.program, "again", 8)


@then("the engines made at most {tokens:d} tokens for it")
@then("the engines made at most {tokens:d} tokens for all of them")
@then("the engines made at most {tokens:d} tokens for the sub-agent")
def step_made(context, tokens):
    # Something was spent, or the check would hold for nothing.
    assert 0 < made(context) <= tokens, made(context)


@then('the last turn was refused with "{reason}"')
def step_refused(context, reason):
    assert context.answer.json["reason"] == reason, context.answer


@then("not both are granted")
def step_one(context):
    assert context.granted in ([200, 402], [402, 201]), context.granted


@then("the parent had more than {tokens:d} tokens to spend")
def step_parent_left(context, tokens):
    assert context.parent_left > tokens, context.parent_left


@then("the turn is answered")
def step_answered(context):
    assert context.answer.status == 200, context.answer


@then("the program shows at most {tokens:d} tokens spent")
def step_spent_most(context, tokens):
    state = shown(context, context.program)
    assert state["spent_tokens"] <= tokens, state
    assert state["budget_left"]["tokens"] >= 0, state


@then("the program has spent more than {tokens:d} tokens")
def step_spent_least(context, tokens):
    state = shown(context, context.program)
    assert state["spent_tokens"] > tokens, state


@then('the fault "{kind}" of engines was counted')
def step_fault(context, kind):
    name = "rattanmill_engine_faults_total"
    total = sum(c.metric(name, kind=kind) for c in context.clients)
    assert total > 0
