"""Steps about the configuration in force at each instance."""

import threading
import time

from behave import given, then, when
from steps.ownership import restart_at_end
from steps.state import background, kv_faults

from support import wait_until
from support.client import Client


def config(client):
    """Returns the configuration in force, or number -1 if it is silent."""
    answer = client.request("GET", "/v1/admin/config")
    return answer.json if answer.status == 200 else {"number": -1}


def changed(document):
    """Returns a document that differs from all before."""
    klass = document["classes"]["default"]
    return {
        **document,
        "change": "",
        "classes": {
            **document["classes"],
            "default": {**klass, "max_turns": klass["max_turns"] + 1},
        },
    }


def change_through(context, client, document):
    return client.request("PUT", "/v1/admin/config", changed(document))


_RACE = "two operators apply changes through instances {one:d} and {other:d}"


@when(f"{_RACE} at once")
def step_race(context, one, other):
    clients = [context.clients[one], context.clients[other]]
    numbers = [config(client)["number"] for client in clients]
    wait_until(
        lambda: config(clients[0])["number"] == config(clients[1])["number"],
        f"both have the same number: {numbers}",
    )
    start = threading.Barrier(2)

    def change(client):
        document = config(client)
        start.wait()
        return change_through(context, client, document)

    calls = [background(context, change, client) for client in clients]
    context.results = [call.result() for call in calls]


@then("one is accepted and one is told of the conflict")
def step_one_accepted(context):
    statuses = sorted(answer.status for answer in context.results)
    assert statuses == [200, 409], context.results
    context.accepted = next(a for a in context.results if a.status == 200).json


@when("an operator applies a change through instance {index:d}")
def step_change(context, index):
    client = context.clients[index]
    if before := getattr(context, "accepted", None):
        # From an older one the change would rightly be a conflict.
        wait_until(lambda: config(client) == before, "it has the one before")

    def change():
        answer = change_through(context, client, config(client))
        # For a moment after a cut it may know the service as away.
        away = answer.status == 503 and answer.json["ran"] == "no"
        return None if away else answer

    context.result = wait_until(change, "the service answers")
    assert context.result.status == 200, context.result
    context.accepted = context.result.json


@then("the change is accepted")
def step_accepted(context):
    assert context.result.status == 200, context.result


@then("every instance has the accepted change in force")
def step_everywhere(context):
    wait_until(
        lambda: all(
            config(client) == context.accepted for client in context.clients
        ),
        lambda: str([config(c)["number"] for c in context.clients]),
        14,
    )


@when("every instance has it in force before the service is set back by one")
def step_set_back(context):
    step_everywhere(context)
    step_watch(context)
    kv = context.system.standins["kv"]
    path = "/kv/rm/live/config"
    revision = kv.request("GET", path).headers["kv-revision"]
    context.old = {
        **context.accepted,
        "number": context.accepted["number"] - 1,
        "change": "restored",
    }
    answer = kv.request("PUT", f"{path}?expect={revision}", context.old)
    assert answer.status == 200, answer
    # Every instance that watches has seen it when it answers from its view.
    time.sleep(0.5)


@then("its number is two above the one that was set back")
def step_two_above(context):
    assert context.accepted["number"] == context.old["number"] + 2


@when("failure domains {one:d} and {other:d} are cut off from the service")
def step_cut_two(context, one, other):
    kv_faults(context, cut_sources=[f"127.0.{one + 1}.", f"127.0.{other + 1}."])


@given("the numbers in force are watched at each instance")
def step_watch(context):
    context.numbers = [[] for _ in context.clients]
    ended = threading.Event()

    def watch():
        while not ended.is_set():
            for seen, client in zip(
                context.numbers, context.clients, strict=True
            ):
                seen.append(config(client)["number"])

    watching = background(context, watch)

    def end():
        ended.set()
        watching.result()

    context.scenario_stack.callback(end)


@then("no instance ever went back to a lower number")
def step_never_back(context):
    number = context.accepted["number"]
    wait_until(
        lambda: all(seen[-1] == number for seen in context.numbers),
        "the last change was seen everywhere",
    )
    for seen in context.numbers:
        assert seen == sorted(seen), seen
        assert len(set(seen)) > 1, seen


@when("instance {index:d} is frozen")
def step_freeze(context, index):
    process = context.system.instances[index].process
    process.pause()
    context.scenario_stack.callback(process.resume)


@when("instance {index:d} goes on")
def step_thaw(context, index):
    context.system.instances[index].process.resume()


@when("instance {index:d} dies")
def step_dies(context, index):
    instance = context.system.instances[index]
    instance.process.kill()
    restart_at_end(context, instance)


@when("instance {index:d} starts while it cannot reach the service")
def step_start_cut(context, index):
    instance = context.system.instances[index]
    kv_faults(context, cut_sources=[instance.http.rsplit(":", 1)[0]])
    context.system.start_instance(instance)
    client = Client(instance.http, 2)
    context.ready_numbers = set()
    ended = threading.Event()

    def watch():
        while not ended.is_set():
            before = client.request("GET", "/readyz").status
            shown = client.request("GET", "/v1/admin/config")
            if before == shown.status == 200:
                context.ready_numbers.add(shown.json["number"])

    watching = background(context, watch)

    def end():
        ended.set()
        watching.result()

    context.end_watch = end
    context.scenario_stack.callback(end)


@then("instance {index:d} was never ready with another number")
def step_never_other(context, index):
    wait_until(lambda: context.ready_numbers, "it was ready")
    context.end_watch()
    expected = {context.accepted["number"]}
    assert context.ready_numbers == expected, context.ready_numbers
