"""Steps for engine memory pinned for programs."""

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings, strategies

from rattanmill_policy import Pin, ProgramPins
from support import Client, EngineSpec, Layout, start, wait_until
from support.stack import ALBA, random_text

# The engine is in the second domain, the owners of the programs in the first.
LAYOUT = Layout(
    domains=ALBA[:2], engines=[EngineSpec("engine-1", 1)], services=[]
)


@given("engines that pin caches for programs, with fencing {fencing}")
def step_engines(context, fencing):
    start(context, LAYOUT)
    context.system.heal()
    for instance in context.system.instances:
        if not instance.process.alive:
            context.system.start_instance(instance)
    context.system.wait_ready()
    engine(context).faults(fencing=fencing == "on", lose_releases=0)


def engine(context):
    return context.system.standins["engine-1"]


def pins(context):
    return {
        pin["owner"]: pin["blocks"]
        for pin in engine(context).request("GET", "/v1/pins").json["pins"]
    }


def make_program(context, **budget):
    client = context.system.in_domain(0)[0].client
    program = client.create(budget=budget)
    answer = client.chat(random_text(2000), program, 1)
    assert answer.status == 200, answer
    return program


@when("a program has a long turn")
def step_long_turn(context):
    context.program = make_program(context)


@when("a program of {seconds:d} seconds has a long turn")
def step_short_life(context, seconds):
    context.program = make_program(context, seconds=seconds)
    step_pinned(context)


@when("another program of the same owner has a long turn")
def step_other_program(context):
    owner = context.system.owner_of(context.program)
    while True:
        context.other = make_program(context)
        if context.system.owner_of(context.other).name == owner.name:
            break
        end_program(context, context.other)
    wait_until(
        lambda: context.other in pins(context), "the other program is pinned"
    )
    step_pinned(context)


@then("an engine holds a pin for it")
def step_pinned(context):
    wait_until(
        lambda: pins(context).get(context.program), "the program is pinned"
    )


@then("no engine holds a pin")
def step_no_pin(context):
    wait_until(lambda: not pins(context), lambda: f"pins: {pins(context)}")


@then("engines hold pins for the other program only")
def step_other_only(context):
    wait_until(
        lambda: set(pins(context)) == {context.other},
        lambda: f"pins: {pins(context)}, not only {context.other}",
    )
    sweeps = sweep_count(context)
    wait_until(
        lambda: sweep_count(context) > sweeps + 1, "pins are swept twice"
    )
    assert set(pins(context)) == {context.other}, pins(context)


def sweep_count(context):
    return sum(
        instance.client.metric("rattanmill_pin_sweeps_total")
        for instance in context.system.in_domain(1)
    )


@when("the program is ended")
def step_end(context):
    end_program(context, context.program)


@when("the program is ended through another instance")
def step_end_elsewhere(context):
    end_program(context, context.program)


@when("the other program is ended")
def step_end_other(context):
    end_program(context, context.other)


def end_program(context, program):
    instance = next(
        i
        for i in context.system.instances
        if i.process.alive and i.name != getattr(context, "paused", "")
    )
    answer = instance.client.request("DELETE", f"/v1/programs/{program}")
    assert answer.status == 200, answer


@when("the next {count:d} releases are lost")
def step_lose(context, count):
    engine(context).faults(lose_releases=count)


@then("the program has ended")
def step_has_ended(context):
    path = f"/v1/programs/{context.program}"
    answer = context.clients[0].request("GET", path)
    assert answer.json["state"] == "ended", answer


@when("the program's owner is killed")
def step_kill_owner(context):
    context.system.owner_of(context.program).process.kill()


@when("the program's owner is paused until another takes over")
def step_pause_owner(context):
    system = context.system
    owner = system.owner_of(context.program)
    context.paused = owner.name
    owner.process.pause()
    context.scenario_stack.callback(owner.process.resume)
    shard = ".".join(context.program.split(".")[:2])
    other = next(i for i in system.in_domain(0) if i.name != owner.name)
    wait_until(
        lambda: (
            shard
            in Client(other.http)
            .request("GET", "/v1/admin/status")
            .json["shards"]
        ),
        "another instance has taken over",
    )


@when("the old owner resumes")
def step_resume_owner(context):
    context.system.instance(context.paused).process.resume()


@when(
    "the owner's failure domain is cut off and pins are swept {count:d} times"
)
def step_cut_and_sweep(context, count):
    context.system.cut(0, kv=False, domains=True)
    sweeps = sweep_count(context)
    wait_until(lambda: sweep_count(context) >= sweeps + count, "pins are swept")


@when("the partition ends and the program is ended")
def step_heal_and_end(context):
    context.system.heal()
    end_program(context, context.program)


PAUSES = strategies.lists(strategies.floats(0.5, 20.0), min_size=1, max_size=12)
CHECKS = settings(max_examples=100, deadline=None, derandomize=True)


def after_pauses(pauses):
    program_pins, now = ProgramPins(), 0.0
    for pause in pauses:
        program_pins.paused_at = now
        now += pause
        program_pins.end_pause(now)
    return program_pins


@given("any pauses of a program")
def step_pauses(context):
    context.pauses = PAUSES


@then("a pin outlasts the usual pause and expires after a much longer one")
def step_outlasts(context):
    @CHECKS
    @given_any(context.pauses)
    def check(pauses):
        kept = after_pauses(pauses * 10).pin_deadline(0.0)
        assert kept > sum(pauses) / len(pauses)
        assert kept <= max(10.0, 4 * max(*pauses, 15.0))

    check()


@then("a program whose pauses are long is not pinned")
def step_long_pauses(context):
    assert after_pauses([5.0] * 5).should_pin(1000)
    assert not after_pauses([600.0] * 5).should_pin(1000)


@then("all pin requests together stay near the length of the conversation")
def step_pin_requests(context):
    program_pins, sent = ProgramPins(), 0
    for tokens in range(1000, 170_000, 400):
        if not program_pins.covers("engine-1", tokens):
            program_pins.pins["engine-1"] = Pin(tokens, 0.0)
            sent += tokens
    assert sent < 6 * 170_000, sent
