"""Steps for graceful shutdowns."""

import concurrent.futures

from behave import given, then, when

from support import Client, EngineSpec, Layout, start, wait_until
from support.stack import random_text

_LAYOUT = Layout(
    domains=("alba-north",),
    per_domain=3,
    engines=[EngineSpec("engine-1", options={"slots": 64})],
    # An instance that is paused for a third of it refuses, as intended. A
    # busy machine pauses one for half a second.
    lease_seconds=2.0,
    extra="[limits]\ndrain_seconds = 20\nnotice_seconds = 0.5\n",
)
# Streams for ten seconds: the requests sent meanwhile take a second, or
# several seconds on a busy machine.
_LONG_TOKENS = 4000
_NEW_PROGRAMS = 40
_SLOW_FACTOR = 20.0


@given("a system for shutdowns")
def step_system(context):
    start(context, _LAYOUT)
    system = context.system
    system.standins["kv"].faults(down=False)
    system.standins["office-1"].faults(hang=False, slow_seconds=0.0)
    for instance in system.instances:
        if not instance.process.alive:
            system.start_instance(instance)
    system.wait_ready()
    context.calls = []
    context.stopped_instances = []
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(64)
    )


@given("the key-value service is {state}")
def step_store(context, state):
    context.store_down = state == "down"


def running(context):
    load = context.system.standins["engine-1"].request("GET", "/v1/load").json
    return load.get("running", 0) + load.get("waiting", 0)


def chat(context, client, program, turn, tokens, stream):
    return context.pool.submit(
        client.chat,
        f"turn {turn}",
        program,
        turn,
        stream=stream,
        max_tokens=tokens,
        standin={"output_tokens": tokens},
    )


def own_program(context, instance):
    """Creates a program that the instance owns."""
    program = instance.client.create()
    assert context.system.owner_of(program).name == instance.name
    return program


@when("streams and queued calls run through all instances")
def step_load(context):
    instances = context.system.instances
    engine = context.system.standins["engine-1"]
    # The first must not end before the last has started, however long it
    # takes to send them.
    engine.faults(slow_factor=_SLOW_FACTOR)
    context.scenario_stack.callback(engine.faults, slow_factor=1.0)
    for owner in instances:
        for through in instances:
            program = own_program(context, owner)
            # The second turn waits for the first in the program's queue.
            for turn, stream in ((1, True), (2, False)):
                call = chat(context, through.client, program, turn, 300, stream)
                context.calls.append(call)
                if turn == 1:
                    count = len(context.calls) // 2 + 1
                    wait_until(
                        lambda minimum=count: running(context) >= minimum,
                        "the first turn runs",
                    )
    wait_until(lambda: running(context) >= 9, "all streams run")
    engine.faults(slow_factor=1.0)
    if context.store_down:
        context.system.standins["kv"].faults(down=True)


def shut_down(context, instance):
    instance.process.terminate()
    context.stopped_instances.append(instance)
    # Otherwise the next scenario would use an instance that is shutting down.
    context.scenario_stack.callback(instance.process.wait)


@when("one instance is told to shut down")
def step_end_one(context):
    shut_down(context, context.system.instances[0])


@when("two instances are told to shut down")
def step_end_two(context):
    shut_down(context, context.system.instances[0])
    shut_down(context, context.system.instances[1])


@then("each of those calls gets a complete answer")
def step_complete(context):
    for call in context.calls:
        answer = call.result()
        assert answer.status == 200, answer
        if answer.body.startswith(b"data:"):
            assert answer.events[-1] == "[DONE]", answer.events[-2:]
        assert len(answer.text.split()) in (300, _LONG_TOKENS), answer.text[
            -40:
        ]


@then("each instance that was told to shut down exits with 0")
def step_exit(context):
    for instance in context.stopped_instances:
        assert instance.process.wait() == 0, instance.process.tail()


@when("an instance with a long stream is told to shut down")
def step_long(context):
    leaving = context.system.instances[0]
    context.others = [
        [own_program(context, leaving) for _ in range(12)],
        own_program(context, leaving),
    ]
    program = context.others.pop()
    call = chat(context, leaving.client, program, 1, _LONG_TOKENS, True)
    context.long = call
    context.calls.append(call)
    context.long_program = program
    wait_until(lambda: running(context), "the stream runs")
    shut_down(context, leaving)
    wait_until(
        lambda: leaving.client.request("GET", "/readyz").status == 503,
        "the instance is draining",
    )


@then("that instance is not ready")
def step_not_ready(context):
    answer = context.stopped_instances[0].client.request("GET", "/readyz")
    assert answer.status == 503, answer


@then("new calls through it are answered or refused with a Retry-After")
def step_new_calls(context):
    client = context.stopped_instances[0].client
    answers = [client.chat("no program") for _ in range(3)]
    answers += [client.request("POST", "/v1/programs", {}) for _ in range(3)]
    answers.append(client.act(random_text()))
    assert not context.long.done(), "the stream ended too early for the check"
    assert all(a.status for a in answers), answers
    wrong = [
        a for a in answers if a.status >= 300 and "retry-after" not in a.headers
    ]
    assert not wrong, wrong
    assert any(a.status < 300 for a in answers), answers
    assert answers[0].headers.get("connection") == "close", answers[0]


@then("calls of the stream's shard get a Retry-After while it runs")
def step_delayed_shard(context):
    program = context.long_program
    calls = [
        call
        for client in context.clients[:2]
        for call in (
            chat(context, client, program, 2, 32, False),
            context.pool.submit(client.act, random_text(), program=program),
        )
    ]
    answers = [call.result() for call in calls]
    assert not context.long.done(), "the stream ended too early for the check"
    reasons = {a.json["reason"] for a in answers}
    assert reasons == {"shutting_down"}, answers
    assert all(a.json["ran"] == "no" for a in answers), answers
    assert all("retry-after" in a.headers for a in answers), answers


@then("new programs are created through that instance while it runs")
def step_new_programs(context):
    # One in six was placed in the shard that the stream delays.
    for _ in range(_NEW_PROGRAMS):
        answer = context.stopped_instances[0].client.request(
            "POST", "/v1/programs", {}
        )
        assert answer.status == 201, answer
    assert not context.long.done(), "the stream ended too early for the check"


@then("programs of its other shards are answered while the stream runs")
def step_elsewhere(context):
    shard = context.long_program.split(".")[1]
    programs = [p for p in context.others[0] if p.split(".")[1] != shard]
    assert programs, context.others
    client = context.system.instances[1].client
    for program in programs:
        answer = client.chat("elsewhere", program, 1)
        assert answer.status == 200, answer
    assert not context.long.done(), "the stream ended too early for the check"


@when("an act runs whose caller has disconnected")
def step_act(context):
    system = context.system
    context.key = random_text()
    context.owner = system.instances[0]
    context.program = own_program(context, context.owner)
    system.standins["office-1"].faults(slow_seconds=1.0)
    short_timeout_client = Client(context.owner.http, 0.3)
    context.pool.submit(
        short_timeout_client.act, context.key, "deposit", context.program
    ).result()


@when("its owner is told to shut down")
def step_end_owner(context):
    shut_down(context, context.owner)


@then("the act's repeat is answered with its outcome")
def step_repeat(context):
    client = context.system.instances[1].client
    answer = client.act(context.key, "deposit", context.program)
    assert answer.status == 200, answer
    assert answer.json["run"] == 1, answer


@when("an instance with a hanging service call is told to shut down")
def step_hang(context):
    system = context.system
    system.standins["office-1"].faults(hang=True)
    before = system.standins["office-1"].stats().get("calls", 0)
    context.pool.submit(
        system.instances[0].client.request,
        "POST",
        "/v1/services/index-office/x",
        b"",
    )
    wait_until(
        lambda: system.standins["office-1"].stats().get("calls", 0) > before,
        "the call hangs",
    )
    shut_down(context, system.instances[0])


@then("its log reports what was aborted")
def step_log(context):
    assert "Cut off: 1 requests" in context.stopped_instances[0].process.tail()
