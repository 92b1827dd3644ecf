"""Steps for endpoints that leave, crash or hang."""

import contextlib
import itertools
import threading
import time

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings, strategies

from features.steps.endpoints import (
    make_calls,
    phases,
    received,
)
from rattanmill_core import Aspect, EndpointNote, Sign
from rattanmill_policy import AspectState
from support import wait_until

_MAX_BATCHES = 20
# Much slower than an engine appears after a few calls that it delayed.
_SLOW_FACTOR = 10.0


def set_faults(context, name, **faults):
    """Sets faults that are reset at the end of the scenario."""
    standin = context.system.standins[name]
    before = standin.request("GET", "/faults").json
    standin.faults(**faults)
    undo = {key: before[key] for key in faults}
    context.scenario_stack.callback(
        lambda: standin.request("POST", "/faults", undo)
    )


@contextlib.contextmanager
def slowed(context, names):
    """Slows engines down for the duration of the context."""
    standins = [context.system.standins[name] for name in names]
    for standin in standins:
        standin.faults(slow_factor=_SLOW_FACTOR)
    try:
        yield
    finally:
        for standin in standins:
            standin.faults(slow_factor=1.0)


@when('engine "{name}" starts to drain')
def step_drain(context, name):
    set_faults(context, name, draining=True)


@when('engine "{name}" stops draining')
def step_stop_draining(context, name):
    set_faults(context, name, draining=False)


@when('engine "{name}" hangs')
def step_hang(context, name):
    set_faults(context, name, hang=True)


@when('engine "{name}" stops hanging')
def step_stop_hanging(context, name):
    set_faults(context, name, hang=False)


def call_until(context, count, name, is_reached, domain=0):
    """Makes batches of calls through a domain until one reaches the engine.

    Placement decides which engine a call goes to. An engine that was recently
    slow or frozen gets no call while others are free, and calls cannot detect
    that it hangs unless one reaches it. The other engines are slowed down
    meanwhile, which placement learns from their answers.
    """
    clients = [i.client for i in context.system.in_domain(domain)]
    others = [
        spec.name for spec in context.system.layout.engines if spec.name != name
    ]
    context.answers = []
    with slowed(context, others):
        for _ in range(_MAX_BATCHES):
            context.answers += make_calls(context, count, clients)
            if is_reached():
                return
    raise AssertionError("no call reached the engine")


@when('{count:d} calls at once are made until one reaches engine "{name}"')
def step_calls_until(context, count, name):
    before = received(context)[name]
    call_until(context, count, name, lambda: received(context)[name] > before)


@when('engine "{name}" is frozen')
def step_freeze(context, name):
    process = context.system.processes[name]
    process.pause()
    context.scenario_stack.callback(process.resume)


@when('engine "{name}" resumes')
def step_resume(context, name):
    context.system.processes[name].resume()


@when("it is killed while {count:d} calls are made at once")
def step_kill_engine(context, count):
    engine = context.system.standins["engine-1"]
    before = engine.stats().get("calls", 0)

    def kill():
        wait_until(
            lambda: engine.stats().get("calls", 0) > before,
            "a call is in flight",
        )
        context.system.processes["engine-1"].kill()

    thread = threading.Thread(target=kill)
    thread.start()
    call_until(context, count, "engine-1", lambda: not thread.is_alive())
    thread.join()


@when('engine "{name}" is started again')
def step_restart(context, name):
    context.system.restart_engine(name)


@when('the list shows "{name}" as leaving')
def step_list_leaving(context, name):
    put_list(
        context,
        [
            {**entry, "state": "leaving"} if entry["name"] == name else entry
            for entry in read_list(context)
        ],
    )


@when('the list drops "{name}"')
def step_list_drops(context, name):
    put_list(context, [e for e in read_list(context) if e["name"] != name])


@when("the list is restored")
def step_list_restored(context):
    put_list(context, context.system.endpoint_list())


def read_list(context):
    directory = context.system.standins["directory"]
    return directory.request("GET", "/instances").json["instances"]


def put_list(context, instances):
    directory = context.system.standins["directory"]
    directory.request("PUT", "/instances", {"instances": instances})
    wait_until(lambda: read_list(context) == instances, "the list is changed")


@when('operators drain "{name}"')
def step_operators_drain(context, name):
    change_drained(context, [name])
    context.scenario_stack.callback(change_drained, context, [])


def change_drained(context, names):
    client = context.clients[0]
    document = client.request("GET", "/v1/admin/config").json
    document.update(drained=names, change="")
    answer = client.request("PUT", "/v1/admin/config", document)
    assert answer.status == 200, answer


@when("calls are made while the list is read repeatedly")
def step_calls_over_lists(context):
    directory = context.system.standins["directory"]
    enough = directory.stats()["reads"] + 5 * len(context.clients)
    before = received(context)
    context.answers = []
    while directory.stats()["reads"] < enough:
        context.answers += make_calls(context, 12, context.clients)
    context.received = {
        name: number - before[name]
        for name, number in received(context).items()
    }


@when('"{name}" is so slow that the second failure domain sends it nothing')
def step_slow_before(context, name):
    clients = [i.client for i in context.system.in_domain(1)]
    with slowed(context, [name]):
        for _ in range(_MAX_BATCHES):
            before = received(context)[name]
            make_calls(context, 12, clients)
            if received(context)[name] == before:
                return
    raise AssertionError("it still gets calls")


@when('"{name}" is cut off from the second failure domain')
def step_cut(context, name):
    context.signs_before = closing_signs(context)
    set_faults(context, name, cut_sources=["127.0.2."])


@when("{count:d} calls are made through the second failure domain")
def step_calls_second(context, count):
    names = [i.name for i in context.system.in_domain(1)]

    def has_failed():
        found = phases(context, "engine-1")
        return any(found[name] == "down" for name in names)

    call_until(context, count, "engine-1", has_failed, domain=1)


def closing_signs(context):
    """Returns the closing signs counted by each instance of domain 0."""
    return [
        sum(
            i.client.metric("rattanmill_endpoint_signs_total", sign=sign)
            for sign in ("refused", "silent", "stalled", "failing")
        )
        for i in context.system.in_domain(0)
    ]


@then('no instance of its domain closed "{name}" meanwhile')
def step_not_closed(context, name):
    # The second domain sends its notes every two seconds.
    clients = [i.client for i in context.system.in_domain(1)]
    rounds = [c.metric("rattanmill_note_rounds_total") for c in clients]
    wait_until(
        lambda: all(
            c.metric("rattanmill_note_rounds_total") > before + 1
            for c, before in zip(clients, rounds, strict=True)
        ),
        "notes were sent twice more",
    )
    assert closing_signs(context) == context.signs_before
    assert set(phases(context, name).values()) == {"live", "down"}


NOTES = strategies.lists(
    strategies.builds(
        EndpointNote,
        endpoint=strategies.just("engine"),
        aspect=strategies.just(Aspect.REACH),
        generation=strategies.integers(1, 6),
        closed=strategies.booleans(),
        sign=strategies.just(Sign.REFUSED),
    ),
    min_size=1,
    max_size=8,
)
CHECKS = settings(max_examples=200, deadline=None, derandomize=True)


@given("any notes about an endpoint")
def step_notes(context):
    context.notes = NOTES


@then("instances that receive them in any order agree")
def step_agree(context):
    @CHECKS
    @given_any(context.notes, strategies.randoms(use_true_random=False))
    def check(notes, random):
        first, second = AspectState(Aspect.REACH), AspectState(Aspect.REACH)
        shuffled = list(notes) * 2
        random.shuffle(shuffled)
        for note in notes:
            first.merge(note, 0.0)
        for note in shuffled:
            second.merge(note, 0.0)
        assert first.closed == second.closed, (notes, shuffled)
        assert first.generation == second.generation

    check()


@then("a stale note changes nothing")
def step_stale(context):
    @CHECKS
    @given_any(context.notes)
    def check(notes):
        aspect = AspectState(Aspect.REACH)
        aspect.close(Sign.REFUSED, time.monotonic())
        assert not any(aspect.merge(note, 1.0) for note in notes)
        assert aspect.closed

    check()


@then("an endpoint that keeps failing is tried less and less often")
def step_less_and_less(context):
    aspect = AspectState(Aspect.REACH)
    now = 0.0
    tries = []
    while now < 120.0:
        if not aspect.closed:
            tries.append(now)
            aspect.close(Sign.REFUSED, now)
        now += 0.5
        if aspect.record_probe(True, now):
            aspect.reopen(now)
    gaps = [b - a for a, b in itertools.pairwise(tries)]
    assert len(tries) <= 8, tries
    assert gaps == sorted(gaps), gaps
