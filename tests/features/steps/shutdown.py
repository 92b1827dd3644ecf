"""Steps of graceful shutdowns."""

import concurrent.futures

from behave import given, then, when

from support import Client, EngineSpec, Layout, start, wait_until
from support.stack import random_text

_LAYOUT = Layout(
    domains=("alba-north",),
    per_domain=3,
    engines=[EngineSpec("engine-1", options={"slots": 64})],
    # An instance that is stopped for a third of it refuses, rightly; a busy
    # machine stops one for half a second.
    lease_seconds=2.0,
    extra="[limits]\ndrain_seconds = 20\nnotice_seconds = 0.5\n",
)
# Ten seconds' worth: what is asked meanwhile takes a second, and several on a
# machine that is busy.
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
    context.ended = []
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
    """Makes a program that an instance owns."""
    program = instance.client.create()
    assert context.system.owner_of(program).name == instance.name
    return program


@when("streams and queued calls run through all instances")
def step_load(context):
    instances = context.system.instances
    engine = context.system.standins["engine-1"]
    # The first must not have ended before the last has begun, however long
    # it takes to send them.
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
                        lambda least=count: running(context) >= least,
                        "the first turn runs",
                    )
    wait_until(lambda: running(context) >= 9, "all streams run")
    engine.faults(slow_factor=1.0)
    if context.store_down:
        context.system.standins["kv"].faults(down=True)


def end(context, instance):
    instance.process.terminate()
    context.ended.append(instance)
    # Else the next scenario would go on with an instance that is about to end.
    context.scenario_stack.callback(instance.process.wait)


@when("one instance is told to end")
def step_end_one(context):
    end(context, context.system.instances[0])


@when("two instances are told to end")
def step_end_two(context):
    end(context, context.system.instances[0])
    end(context, context.system.instances[1])


@then("every one of those calls is answered whole")
def step_whole(context):
    for call in context.calls:
        answer = call.result()
        assert answer.status == 200, answer
        if answer.body.startswith(b"data:"):
            assert answer.events[-1] == "[DONE]", answer.events[-2:]
        assert len(answer.text.split()) in (300, _LONG_TOKENS), answer.text[
            -40:
        ]


@then("what was told to end exits with 0")
def step_exit(context):
    for instance in context.ended:
        assert instance.process.wait() == 0, instance.process.tail()


@when("a long stream keeps an instance that is told to end")
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
    end(context, leaving)
    wait_until(
        lambda: leaving.client.request("GET", "/readyz").status == 503,
        "the instance is draining",
    )


@then("that instance says it is not ready")
def step_not_ready(context):
    answer = context.ended[0].client.request("GET", "/readyz")
    assert answer.status == 503, answer


@then("new calls through it are answered or told when to come back")
def step_new_calls(context):
    client = context.ended[0].client
    answers = [client.chat("no program") for _ in range(3)]
    answers += [client.request("POST", "/v1/programs", {}) for _ in range(3)]
    answers.append(client.act(random_text()))
    assert not context.long.done(), "the stream ended too early to tell"
    assert all(a.status for a in answers), answers
    wrong = [
        a for a in answers if a.status >= 300 and "retry-after" not in a.headers
    ]
    assert not wrong, wrong
    assert any(a.status < 300 for a in answers), answers
    assert answers[0].headers.get("connection") == "close", answers[0]


@then("calls of the stream's shard are told to come back while it runs")
def step_kept_shard(context):
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
    assert not context.long.done(), "the stream ended too early to tell"
    reasons = {a.json["reason"] for a in answers}
    assert reasons == {"shutting_down"}, answers
    assert all(a.json["ran"] == "no" for a in answers), answers
    assert all("retry-after" in a.headers for a in answers), answers


@then("new programs are made through that instance while it runs")
def step_new_programs(context):
    # One in six met the shard that the stream keeps.
    for _ in range(_NEW_PROGRAMS):
        answer = context.ended[0].client.request("POST", "/v1/programs", {})
        assert answer.status == 201, answer
    assert not context.long.done(), "the stream ended too early to tell"


@then("programs of its other shards are answered while the stream runs")
def step_elsewhere(context):
    shard = context.long_program.split(".")[1]
    programs = [p for p in context.others[0] if p.split(".")[1] != shard]
    assert programs, context.others
    client = context.system.instances[1].client
    for program in programs:
        answer = client.chat("elsewhere", program, 1)
        assert answer.status == 200, answer
    assert not context.long.done(), "the stream ended too early to tell"


@when("an act runs whose caller has gone")
def step_act(context):
    system = context.system
    context.key = random_text()
    context.owner = system.instances[0]
    context.program = own_program(context, context.owner)
    system.standins["office-1"].faults(slow_seconds=1.0)
    impatient = Client(context.owner.http, 0.3)
    context.pool.submit(
        impatient.act, context.key, "deposit", context.program
    ).result()


@when("its owner is told to end")
def step_end_owner(context):
    end(context, context.owner)


@then("the act's repeat is answered with its outcome")
def step_repeat(context):
    client = context.system.instances[1].client
    answer = client.act(context.key, "deposit", context.program)
    assert answer.status == 200, answer
    assert answer.json["run"] == 1, answer


@when("a service call hangs at an instance that is told to end")
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
    end(context, system.instances[0])


@then("its log says what was cut off")
def step_log(context):
    assert "Cut off: 1 requests" in context.ended[0].process.tail()
