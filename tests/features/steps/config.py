"""Steps that change the configuration over HTTP, without the command."""

import time
import types

from behave import given, then, when

from rattanmill_entry.members import remove_gone_instances
from rattanmill_entry.node import LastHeartbeat
from rattanmill_platform import DomainShards, ShardOwner
from support import Client, wait_until

_KEY = "rm/live/config"


def put(context, document, index=0):
    """Sends a document, once the instance has the highest number in force."""
    context.sent = document
    context.answer = context.clients[index].request(
        "PUT", "/v1/admin/config", document
    )


def base(context):
    """Returns the document in force at the first instance."""
    answer = context.clients[0].request("GET", "/v1/admin/config")
    return answer.json


def store(context):
    """Returns a client of the key-value service."""
    return context.system.standins["kv"]


def stored(context):
    """Returns value and revision of the stored configuration."""
    answer = store(context).request("GET", f"/kv/{_KEY}")
    return answer.body, int(answer.headers["kv-revision"])


def write_by_hand(context, value):
    _, revision = stored(context)
    path = f"/kv/{_KEY}?expect={revision}"
    assert store(context).request("PUT", path, value).status == 200


@given("the store loses the response to the next write of the configuration")
def step_lose(context):
    store(context).faults(lose_answers=1, lose_match=f"/kv/{_KEY}")


@when('change "{change}" sets the default target to {seconds:d}')
def step_change(context, change, seconds):
    document = base(context)
    context.before = document["number"]
    document["change"] = change
    document["operator"] = "ann"
    document["classes"]["default"]["target_seconds"] = seconds
    put(context, document)
    context.first = context.answer
    context.first_sent = document


@when("another change sets the default target to {seconds:d}")
def step_other_change(context, seconds):
    document = base(context)
    document["change"] = ""
    document["classes"]["default"]["target_seconds"] = seconds
    put(context, document)
    assert context.answer.status == 200, context.answer


@when('change "{change}" is repeated')
def step_repeat(context, change):
    assert context.first_sent["change"] == change
    assert context.first.status == 200, context.first
    put(context, context.first_sent, index=3)


@when('change "{change}" is repeated with another target')
def step_repeat_other(context, change):
    document = context.first_sent
    document["classes"]["default"]["target_seconds"] = 999
    step_repeat(context, change)


@then("the change is accepted with the next number")
def step_accepted_next(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.json["number"] == context.before + 1, context.answer


@then("the change is accepted with the same number")
def step_accepted_same(context):
    assert context.answer.status == 200, context.answer
    assert context.answer.json["number"] == context.first.json["number"]


@then('the change is refused as "{reason}" and "{ran}"')
def step_change_refused(context, reason, ran):
    problem = context.answer.json
    assert (problem["reason"], problem["ran"]) == (reason, ran), problem


@when("the store is down")
def step_store_down(context):
    store(context).faults(down=True, hold_leases=True)


@when("the store is up again")
def step_store_up(context):
    store(context).faults(down=False, hold_leases=False)
    context.system.wait_ready()


@then("no instance has the default target {seconds:d}")
def step_not_in_force(context, seconds):
    for client in context.clients:
        document = client.request("GET", "/v1/admin/config").json
        target_seconds = document["classes"]["default"]["target_seconds"]
        assert target_seconds != seconds, document


@when("the stored configuration is corrupted by hand")
def step_corrupt(context):
    context.valid_value, _ = stored(context)
    write_by_hand(context, b"{")


@when("the stored configuration is repaired by hand")
def step_repair(context):
    write_by_hand(context, context.valid_value)


@when("the stored configuration is deleted by hand")
def step_delete(context):
    assert store(context).request("DELETE", f"/kv/{_KEY}").status == 200


@when(
    "the links of failure domain {domain:d} to the store and the others are cut"
)
def step_cut_links(context, domain):
    context.scenario_stack.callback(context.system.heal)
    context.system.cut(domain, kv=True, domains=True)


@when("all links are restored")
def step_links_back(context):
    context.system.heal()


@when('a change removes failure domain "{domain}"')
def step_remove_domain(context, domain):
    document = base(context)
    document["change"] = ""
    del document["domains"][domain]
    put(context, document)


@when('a change gives failure domain "{domain}" {count:d} shards')
def step_shards(context, domain, count):
    document = base(context)
    document["change"] = ""
    document["domains"][domain]["shards"] = count
    put(context, document)


@when("{count:d} changes are accepted one after another")
def step_many_changes(context, count):
    context.started_at = time.time()
    for number in range(count):
        document = base(context)
        document["change"] = f"many-{number}"
        document["operator"] = f"operator-{number}"
        put(context, document)
        assert context.answer.status == 200, context.answer
    context.last = context.answer.json["number"]


def _successful_answer(client, path):
    answer = client.request("GET", path)
    return answer if answer.status == 200 else None


@then("the history has the last {count:d} of them, with operator and time")
def step_history_kept(context, count):
    path = "/v1/admin/config/history"
    # An instance that was partitioned retries the store after a delay.
    answer = wait_until(
        lambda: _successful_answer(context.clients[4], path),
        "the history is read",
    )
    entries = answer.json
    numbers = [entry["number"] for entry in entries]
    assert numbers == list(range(context.last, context.last - count, -1)), (
        numbers
    )
    for index, entry in enumerate(entries):
        assert entry["operator"] == f"operator-{74 - index}", entry
        assert context.started_at - 1 < entry["applied"] < time.time() + 1, (
            entry
        )


@then("the store keeps fewer than {maximum:d} earlier documents")
def step_store_bounded(context, maximum):
    path = "/range?prefix=rm/config-history/"
    client = Client(store(context).address)
    wait_until(
        lambda: len(client.request("GET", path).json["entries"]) < maximum,
        f"fewer than {maximum} documents are kept",
    )


@given('instances "{one}", "{two}" and "{owner}" that lose their leases at 0 s')
def step_unregistered(context, one, two, owner):
    shards = DomainShards(1, [ShardOwner(owner, "i", 1)])
    context.node = types.SimpleNamespace(
        live=types.SimpleNamespace(
            synced=True, instances={}, shards={"alba-east": shards}
        ),
        addresses=dict.fromkeys((one, two, owner)),
        gone_since={},
        last_heartbeats={},
        settings=types.SimpleNamespace(lease_seconds=1.5),
        hub=types.SimpleNamespace(forget=lambda name: None),
    )
    remove_gone_instances(context.node, 0.0)


@given('a heartbeat of "{name}" arrives at {seconds:d} s')
def step_heartbeat(context, name, seconds):
    context.node.last_heartbeats[name] = LastHeartbeat(1, float(seconds))


@then("at {seconds:d} s all three are known")
def step_all_known(context, seconds):
    remove_gone_instances(context.node, float(seconds))
    assert len(context.node.addresses) == 3, context.node.addresses


@then('at {seconds:d} s "{one}" and "{other}" are known')
def step_two_known(context, seconds, one, other):
    remove_gone_instances(context.node, float(seconds))
    assert set(context.node.addresses) == {one, other}


@then('at {seconds:d} s "{one}" is known')
def step_one_known(context, seconds, one):
    remove_gone_instances(context.node, float(seconds))
    assert set(context.node.addresses) == {one}


@then("while the store is unavailable, no instance is removed")
def step_none_removed(context):
    node = context.node
    node.live.synced = False
    node.live.shards = {}
    remove_gone_instances(node, 1000.0)
    assert len(node.addresses) == 1, node.addresses
