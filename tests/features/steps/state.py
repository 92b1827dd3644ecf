"""Steps about owners, order and history, used by several features."""

import concurrent.futures
import time

from behave import given, then, when

from support import wait_until
from support.client import Client

_ENGINE = "engine-1"
_OTHER_DOMAIN_INDEX = 4


def background(context, work, *arguments):
    """Starts a call in the background and returns its future."""
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.scenario_stack.callback(pool.shutdown)
    return pool.submit(work, *arguments)


def engine(context):
    """Returns the engine; its faults are cleared after the scenario."""
    standin = context.system.standins[_ENGINE]
    context.scenario_stack.callback(standin.faults, hang=False, slow_factor=1.0)
    return standin


def kv_faults(context, **faults):
    """Sets faults of the key-value service until the scenario ends."""
    standin = context.system.standins["kv"]
    context.scenario_stack.callback(
        standin.faults,
        down=False,
        slow_seconds=0.0,
        lose_answers=0,
        lose_match="",
        refuse_match="",
        cut_sources=[],
    )
    standin.faults(**faults)


def running_clients(context):
    """Returns the clients of all running instances."""
    return [i.client for i in context.system.instances if i.process.alive]


def status(instance):
    """Returns an instance's status, or None if it does not respond."""
    answer = Client(instance.http, 2).request("GET", "/v1/admin/status")
    return answer.json if answer.status == 200 else None


def shard_of(program):
    """Returns failure domain and number of a program's shard as text."""
    return ".".join(program.split(".")[:2])


def current_owners(context, program):
    """Returns the names of the instances that report to own a program."""
    return [
        instance.name
        for instance in context.system.instances
        if instance.process.alive
        and (shown := status(instance))
        and shard_of(program) in shown["shards"]
    ]


def other_in_domain(context, instance):
    """Returns a running instance of the same failure domain."""
    return next(
        i
        for i in context.system.in_domain(instance.domain)
        if i is not instance and i.process.alive
    )


def turns_of(context, client, program):
    """Returns the numbers of a program's turns, or the refusal."""
    answer = client.request("GET", f"/v1/programs/{program}/history")
    if answer.status != 200:
        return answer
    return [turn["turn"] for turn in answer.json["turns"]]


@given("a program whose first turn is stored")
def step_program_with_turn(context):
    step_program_in(context, 0)
    answer = context.clients[_OTHER_DOMAIN_INDEX].chat(
        "Draft Leith.", context.program, 1
    )
    assert answer.status == 200, answer
    context.answers = {1: answer}


@given("a new program of failure domain {domain:d}")
def step_program_in(context, domain):
    instance = context.system.in_domain(domain)[0]
    wait_until(
        lambda: (status(instance) or {}).get("lease") == "held",
        "the instance has a lease",
    )
    wait_until(
        lambda: (
            instance.client.request("POST", "/v1/programs", {}).status == 201
        ),
        "programs can be created",
    )
    context.program = instance.client.create(workspace="leith")
    context.answers = {}
    context.receipts = []
    context.owner = context.system.owner_of(context.program)


@given("the engine makes no progress")
def step_engine_hangs(context):
    context.calls_before = engine(context).stats().get("calls", 0)
    engine(context).faults(hang=True)


@when("the engine continues")
def step_engine_continues(context):
    engine(context).faults(hang=False)


@when('turn {turn:d} "{text}" is running through another domain')
def step_running_call(context, turn, text):
    client = context.clients[_OTHER_DOMAIN_INDEX]
    context.running_call = background(
        context, client.chat, text, context.program, turn
    )
    _wait_for_calls(context, 1)


@when('turn {turn:d} "{text}" is running at the owner')
def step_running_at_owner(context, turn, text):
    context.owner = context.system.owner_of(context.program)
    context.running_call = background(
        context, context.owner.client.chat, text, context.program, turn
    )
    _wait_for_calls(context, 1)


def _wait_for_calls(context, count):
    stats = context.system.standins[_ENGINE].stats
    wait_until(
        lambda: stats().get("calls", 0) >= context.calls_before + count,
        f"the engine has {count} calls",
    )


@when("the owner is killed")
def step_kill_owner(context):
    context.owner = context.system.owner_of(context.program)
    context.owner.process.kill()
    context.scenario_stack.callback(_restart, context, context.owner)


def _restart(context, instance):
    if not instance.process.alive:
        context.system.start_instance(instance)
        context.system.wait_ready()


@when("the owner is paused until another instance owns the program")
def step_pause(context):
    context.owner = context.system.owner_of(context.program)
    context.owner.process.pause()
    context.scenario_stack.callback(context.owner.process.resume)
    other = other_in_domain(context, context.owner)
    wait_until(
        lambda: shard_of(context.program) in status(other)["shards"],
        "the shard was taken over",
    )


@when("the old owner is resumed and has a lease again")
def step_resume(context):
    context.owner.process.resume()
    wait_until(
        lambda: (status(context.owner) or {}).get("lease") == "held",
        "the old owner has a lease",
    )


@when('turn {turn:d} "{text}" is sent to the new owner')
def step_new_owner(context, turn, text):
    other = other_in_domain(context, context.owner)
    context.other_call = background(
        context, other.client.chat, text, context.program, turn
    )


@when('turn {turn:d} "{text}" is sent through a running instance')
def step_turn_running(context, turn, text):
    client = running_clients(context)[-1]
    context.answer = client.chat(text, context.program, turn)
    context.answers[turn] = context.answer


@then("the running call gets the stored answer of turn {turn:d}")
def step_running_call_stored(context, turn):
    answer = context.running_call.result()
    assert answer.status == 200, answer
    assert "receipt" not in answer.json["rattanmill"], answer
    _check_stored(context, turn, answer.text)


@then("the other call gets the stored answer of turn {turn:d}")
def step_other_call_stored(context, turn):
    answer = context.other_call.result()
    assert answer.status == 200, answer
    _check_stored(context, turn, answer.text)


def _check_stored(context, turn, text):
    client = running_clients(context)[-1]
    path = f"/v1/programs/{context.program}/history"
    answer = client.request("GET", path)
    assert answer.status == 200, answer
    stored = answer.json["turns"][turn - 1]
    assert stored["turn"] == turn, answer
    assert stored["answer"]["content"] == text, (stored, text)


@then("every running instance shows turns {turns}")
def step_all_show(context, turns):
    expected = [int(turn) for turn in turns.split(",")]
    # A restarted process runs before it listens.
    running = [i for i in context.system.instances if i.process.alive]
    wait_until(
        lambda: all(map(status, running)), "every running instance responds"
    )
    for client in running_clients(context):
        found = turns_of(context, client, context.program)
        assert found == expected, (client.address, found)


@then("exactly one instance owns the program")
def step_one_owner(context):
    wait_until(
        lambda: len(current_owners(context, context.program)) == 1,
        lambda: f"one owner, not {current_owners(context, context.program)}",
    )


@when("{count:d} turns are sent over {leases:d} lease times through its domain")
def step_turns_over(context, count, leases):
    """Sends turns with the receipts that the caller has got so far."""
    seconds = leases * context.system.layout.lease_seconds
    clients = [i.client for i in context.system.in_domain(0)]
    first = max(context.answers, default=0) + 1
    for turn in range(first, first + count):
        answer = clients[turn % len(clients)].chat(
            f"Line {turn}.",
            context.program,
            turn,
            rattanmill_receipts=context.receipts,
        )
        assert answer.status == 200, (turn, answer)
        context.answers[turn] = answer
        if receipt := answer.json["rattanmill"].get("receipt"):
            context.receipts.append(receipt)
        time.sleep(seconds / count)


@when("failure domain {domain:d} is cut off from the service")
def step_cut_kv(context, domain):
    context.scenario_stack.callback(context.system.heal)
    context.system.cut(domain, kv=True, domains=False)


@when("failure domain {domain:d} is cut off from the other domains")
def step_cut_domains(context, domain):
    context.scenario_stack.callback(context.system.heal)
    context.system.cut(domain, kv=False, domains=True)


@when("failure domain {domain:d} is cut off from everything")
def step_cut_all(context, domain):
    context.scenario_stack.callback(context.system.heal)
    context.system.cut(domain, kv=True, domains=True)


@when("all partitions end")
def step_partitions_end(context):
    context.system.heal()
    wait_all_held(context)


@when("the key-value service stops responding")
def step_kv_unresponsive(context):
    kv_faults(context, down=True)


@when("the key-value service responds again")
def step_kv_responds(context):
    context.system.standins["kv"].faults(down=False)
    wait_all_held(context)


def wait_all_held(context):
    """Waits until all running instances have leases again."""
    wait_until(
        lambda: all(
            (status(i) or {}).get("lease") == "held"
            for i in context.system.instances
            if i.process.alive
        ),
        "all instances have leases again",
    )


@then("the caller has {count:d} receipts")
def step_receipt_count(context, count):
    assert len(context.receipts) == count, len(context.receipts)


@when('turn {turn:d} "{text}" is also sent through instance {index:d}')
def step_also_sent(context, turn, text, index):
    client = context.clients[index]
    context.other_call = background(
        context, client.chat, text, context.program, turn
    )
    wait_until(
        lambda: client.metric("rattanmill_requests_total", kind="chat") >= 1,
        "the instance has the call",
    )


@then("the engine ran {count:d} more call")
def step_engine_ran(context, count):
    calls = engine(context).stats()["calls"] - context.calls_before
    assert calls == count, calls


@then("at most one call is answered with status 200")
def step_at_most_one(context):
    answers = [context.running_call.result(), context.other_call.result()]
    good = [answer for answer in answers if answer.status == 200]
    assert len(good) <= 1, answers


@then("eventually every running instance shows turns {turns}")
def step_all_show_eventually(context, turns):
    expected = [int(turn) for turn in turns.split(",")]
    wait_until(
        lambda: all(
            turns_of(context, client, context.program) == expected
            for client in running_clients(context)
        ),
        lambda: str(
            [
                turns_of(context, c, context.program)
                for c in running_clients(context)
            ]
        ),
    )


@given("the engine is {factor:d} times slower")
def step_engine_slow(context, factor):
    context.calls_before = engine(context).stats().get("calls", 0)
    engine(context).faults(slow_factor=float(factor))
