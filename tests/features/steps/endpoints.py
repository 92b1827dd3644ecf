"""Steps that many features of endpoints share."""

import concurrent.futures
import itertools

import msgspec
from behave import given, then, when

from support import EngineSpec, Layout, ServiceSpec, start, wait_until
from support.stack import random_text

_AT_ONCE = 24

LAYOUT = Layout(
    engines=[EngineSpec(f"engine-{n + 1}", n) for n in range(3)],
    services=[ServiceSpec(f"office-{n + 1}", n) for n in range(2)],
)


@given("endpoints in three failure domains, and a list that lags")
def step_endpoints(context):
    start(context, LAYOUT)
    wait_until(
        lambda: all(
            set(phases(context, name).values()) == {"live"}
            for name in ("engine-1", "engine-2", "engine-3", "office-2")
        ),
        "all endpoints are live",
    )


def phases(context, name):
    """What each living instance says of an endpoint."""
    found = {}
    for instance in context.system.instances:
        if instance.process.alive:
            answer = instance.client.request("GET", "/v1/admin/endpoints")
            found[instance.name] = next(
                (e["state"] for e in answer.json if e["name"] == name), ""
            )
    return found


def make_calls(context, count, clients, **fields):
    """Makes calls at once, each with a text of its own."""
    with concurrent.futures.ThreadPoolExecutor(_AT_ONCE) as pool:
        return list(
            pool.map(
                lambda client: client.chat(random_text(), **fields),
                itertools.islice(itertools.cycle(clients), count),
            )
        )


@when("{count:d} calls are made through all instances")
def step_calls(context, count):
    before = received(context)
    context.answers = make_calls(context, count, context.clients)
    context.received = {
        name: number - before[name]
        for name, number in received(context).items()
    }


@when("{count:d} calls are made at once")
def step_calls_at_once(context, count):
    clients = [
        msgspec.structs.replace(i).client for i in context.system.instances
    ]
    for client in clients:
        client.seconds = 40.0
    context.answers = make_calls(context, count, clients)


def received(context):
    """Calls that reached each engine, refused ones too."""
    stats = {
        spec.name: context.system.standins[spec.name].stats()
        for spec in context.system.layout.engines
    }
    return {
        name: s.get("calls", 0) + s.get("refused_draining", 0)
        for name, s in stats.items()
    }


@then("all calls are answered")
def step_answered(context):
    wrong = [answer for answer in context.answers if answer.status != 200]
    assert not wrong, wrong


@then('"{name}" received nothing of them')
def step_received_nothing(context, name):
    assert context.received[name] == 0, context.received


@then('every instance shows "{name}" as "{phase}"')
def step_every(context, name, phase):
    wait_until(
        lambda: set(phases(context, name).values()) == {phase},
        lambda: f"{name} is {phase}: {phases(context, name)}",
    )


@then('every instance of its domain shows "{name}" as "{phase}"')
def step_own_domain(context, name, phase):
    spec = next(s for s in context.system.layout.engines if s.name == name)
    wait_domain(context, spec.domain, name, phase)


@then('every instance of the second failure domain shows "{name}" as "{phase}"')
def step_second_domain(context, name, phase):
    wait_domain(context, 1, name, phase)


def wait_domain(context, domain, name, phase):
    names = [i.name for i in context.system.in_domain(domain)]
    wait_until(
        lambda: {phases(context, name)[n] for n in names} == {phase},
        lambda: f"{name} is {phase}: {phases(context, name)}",
    )
