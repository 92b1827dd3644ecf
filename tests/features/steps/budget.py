"""Steps that compare the tokens that engines generated with the budgets."""

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
_NO_FAULTS = {
    "hang": False,
    "lose_streams": False,
    "over_report_tokens": 0,
    "slow_factor": 1.0,
}
_PAUSE_SECONDS = 0.1
_BUDGET_SPENT_REASONS = ("budget_exhausted",)


def generated_tokens(context):
    """Returns the engine's prompt and output tokens in this scenario."""
    stats = context.system.standins["engine-1"].stats()
    tokens = stats.get("prompt_tokens", 0) + stats.get("made_tokens", 0)
    return tokens - context.base_tokens


def send_turn(client, program, text="x", tokens=200):
    return client.chat(
        text, program, max_tokens=tokens, standin={"output_tokens": tokens}
    )


def running_instances(context):
    return [i for i in context.system.instances if i.process.alive]


def spend_budget(clients, program):
    """Sends turns until one is refused because the budget is spent."""
    answer = None
    for number, client in enumerate(itertools.cycle(clients)):
        assert number < 500, f"the budget is never spent: {answer}"
        if answer and "retry-after" in answer.headers:
            # An endpoint that failed is avoided for a moment.
            time.sleep(_PAUSE_SECONDS)
        # Short answers spend almost the whole budget.
        answer = send_turn(client, program, f"turn {number}", 20)
        if (
            answer.status != 200
            and answer.json["reason"] in _BUDGET_SPENT_REASONS
        ):
            return answer


def get_program(context, program):
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
    system.standins["engine-1"].faults(**_NO_FAULTS)
    system.wait_ready()
    system.wait_open()
    context.base_tokens = 0
    wait_until(
        lambda: generated_tokens(context) == generated_tokens(context),
        "the engine is quiet",
    )
    context.base_tokens = generated_tokens(context)
    context.sub_agents = []
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


def start_turn(context, program, client, tokens=300):
    """Starts a turn and returns it once the engine has it."""
    engine = context.system.standins["engine-1"]
    before = engine.stats().get("calls", 0)
    call = context.pool.submit(send_turn, client, program, "x", tokens)
    wait_until(
        lambda: engine.stats().get("calls", 0) > before, "a call is in flight"
    )
    return call


@when("the owner is killed with a turn in flight {times:d} times")
def step_owner_killed(context, times):
    system = context.system
    engine = system.standins["engine-1"]
    for _ in range(times):
        owner = system.owner_of(context.program)
        other = next(
            i for i in running_instances(context) if i.name != owner.name
        )
        engine.faults(slow_factor=10.0)
        call = start_turn(context, context.program, other.client)
        owner.process.kill()
        engine.faults(slow_factor=1.0)
        call.result()
        system.start_instance(owner)
        system.wait_ready()


@given("the instances have noticed that the engine is down")
def step_engine_down(context):
    kill_engine(context)
    wait_until(
        lambda: all(
            endpoint["state"] == "down"
            for i in running_instances(context)
            for endpoint in endpoints(i)
            if endpoint["name"] == "engine-1"
        ),
        "the engine is down for all instances",
    )


def endpoints(instance):
    return instance.client.request("GET", "/v1/admin/endpoints").json


def kill_engine(context):
    """Kills the engine; the tokens that it generated continue to count."""
    context.base_tokens = -generated_tokens(context)
    context.system.processes["engine-1"].kill()


def connecting_instance(context):
    """Returns an instance that has a call in flight at an endpoint, or None."""
    for instance in running_instances(context):
        if any(each["in_flight"] for each in endpoints(instance)):
            return instance
    return None


def send_to_unresponsive_engine(context, listener):
    """Sends a turn that waits for an engine that accepts no connection.

    A probe may run after the engine was killed and before the stand-in listens
    at its address. Then the endpoint is closed and no turn is sent there.

    Returns:
        The instance that waits, or None if the turn was refused.
    """
    system = context.system
    listener.close()
    if not system.processes["engine-1"].alive:
        system.restart_engine("engine-1")
        system.wait_open()
    kill_engine(context)
    listener.enter_context(
        unresponsive_listener(system.standins["engine-1"].address)
    )
    client = system.owner_of(context.program).client
    context.pending_turn = context.pool.submit(
        send_turn, client, context.program, "x", 1000
    )
    wait_until(
        lambda: connecting_instance(context) or context.pending_turn.done(),
        "the turn waits or is refused",
    )
    return connecting_instance(context)


@when("the owner is paused while it waits for an engine")
def step_owner_paused(context):
    with contextlib.ExitStack() as listener:
        # The instance that waits is the owner, even if the shard has moved
        # since the last check.
        context.owner = wait_until(
            lambda: send_to_unresponsive_engine(context, listener),
            lambda: f"an owner waits: {context.pending_turn.result()}",
        )
        context.owner.process.pause()
    context.other_clients = [
        i.client
        for i in running_instances(context)
        if i.name != context.owner.name
    ]
    context.system.restart_engine("engine-1")


@when("turns are sent through the next owner until the budget is spent")
def step_spend_next(context):
    context.answer = spend_budget(context.other_clients, context.program)


@when("the old owner is resumed and finishes")
def step_owner_resumed(context):
    context.owner.process.resume()
    context.pending_turn.result()


@when("turns are sent until the budget is spent")
def step_spend(context):
    clients = [i.client for i in running_instances(context)]
    context.answer = spend_budget(clients, context.program)


def create_children(context, parent, tokens):
    """Creates sub-agents until the parent's budget does not allow another."""
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


@when(
    "sub-agents with {tokens:d} tokens each are created until that is refused"
)
def step_children(context, tokens):
    context.sub_agents = create_children(context, context.program, tokens)
    assert len(context.sub_agents) > 1


@when("each of them creates sub-agents with {tokens:d} tokens")
def step_grandchildren(context, tokens):
    found = [
        create_children(context, child, tokens) for child in context.sub_agents
    ]
    assert all(found), found
    context.sub_agents += itertools.chain(*found)


@when("all of them send turns concurrently until their budgets are spent")
def step_all_spend(context):
    programs = [context.program, *context.sub_agents]
    list(context.pool.map(lambda p: spend_budget(context.clients, p), programs))


@when(
    "a turn for {turn_tokens:d} and a sub-agent with {tokens:d} tokens are"
    " requested"
)
def step_race(context, turn_tokens, tokens):
    kv = context.system.standins["kv"]
    before = kv.stats().get("log_writes_begun", 0)
    client = context.system.owner_of(context.program).client
    call = context.pool.submit(
        send_turn, client, context.program, "x", turn_tokens
    )
    wait_until(
        lambda: kv.stats().get("log_writes_begun", 0) > before,
        "the reservation is being committed",
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
    call = start_turn(context, child, client, 700)
    end = context.pool.submit(client.request, "DELETE", f"/v1/programs/{child}")
    engine.faults(slow_factor=1.0)
    assert call.result().status == 200, call.result()
    assert end.result().status == 200, end.result()
    left = get_program(context, context.program)["budget_left"]["tokens"]
    context.parent_left = left


@when("the parent of a sub-agent with {tokens:d} tokens is ended")
def step_end_parent(context, tokens):
    client = context.clients[0]
    child = client.create(parent=context.program, budget={"tokens": tokens})
    context.sub_agents = [child]
    path = f"/v1/programs/{context.program}"
    assert client.request("DELETE", path).status == 200


@when("the sub-agent sends turns until its budget is spent")
def step_child_spends(context):
    context.answer = spend_budget(context.clients, context.sub_agents[0])


@when("a turn is sent")
@when("a different turn is sent")
def step_turn(context):
    context.answer = send_turn(context.clients[0], context.program, "different")


@when("a turn requests {tokens:d} tokens")
def step_turn_asks(context, tokens):
    context.answer = send_turn(context.clients[1], context.program, "x", tokens)


@when("the same turn is sent {count:d} times")
def step_same_turns(context, count):
    for _ in range(count):
        context.answer = send_turn(
            context.clients[1], context.program, "again", 8
        )


@then("the engines generated at most {tokens:d} tokens for it")
@then("the engines generated at most {tokens:d} tokens for all of them")
@then("the engines generated at most {tokens:d} tokens for the sub-agent")
def step_generated(context, tokens):
    # Without any spent tokens, the check would prove nothing.
    assert 0 < generated_tokens(context) <= tokens, generated_tokens(context)


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
    state = get_program(context, context.program)
    assert state["spent_tokens"] <= tokens, state
    assert state["budget_left"]["tokens"] >= 0, state


@then("the program has spent more than {tokens:d} tokens")
def step_spent_least(context, tokens):
    state = get_program(context, context.program)
    assert state["spent_tokens"] > tokens, state


@then('the fault "{kind}" of engines was counted')
def step_fault(context, kind):
    name = "rattanmill_engine_faults_total"
    total = sum(c.metric(name, kind=kind) for c in context.clients)
    assert total > 0
