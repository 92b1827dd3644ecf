"""Steps of the table of what is served when."""

import time

from behave import then, when
from steps.ownership import restart_at_end
from steps.state import kv_faults, other_in_domain, status

from support import wait_until

_FAULTS = {
    "up": {},
    "slow": {"slow_seconds": 0.3},
    "very slow": {"slow_seconds": 1.2},
    "away": {"down": True},
    "cut off": {"cut_sources": ["127.0.1."]},
    "over its rate": {"refuse_match": "/kv/"},
}


@when("the service is {state}")
def step_state(context, state):
    context.owner = context.system.owner_of(context.program)
    kv_faults(context, **_FAULTS[state])
    if state in ("away", "cut off"):
        wait_until(
            lambda: (status(context.owner) or {}).get("lease") == "outage",
            "the owner knows of the outage",
        )


@when("the owner's peer loses its record and lives on")
def step_unregistered(context):
    context.owner = context.system.owner_of(context.program)
    peer = other_in_domain(context, context.owner)
    address, _, _ = peer.http.rpartition(":")
    kv_faults(context, cut_sources=[address])

    def is_gone():
        instances = (status(context.owner) or {}).get("instances", [])
        return not any(
            each["name"] == peer.name and each["registered"]
            for each in instances
        )

    wait_until(is_gone, "the owner does not see the peer's record")


@when("the owner's peer dies and {count:d} lease time passes")
def step_alone(context, count):
    peer = other_in_domain(context, context.owner)
    peer.process.kill()
    restart_at_end(context, peer)
    time.sleep(count * context.system.layout.lease_seconds)


def next_turn(context):
    client = context.owner.client
    return client.chat("Shorter.", context.program, 2)


def over_reserved(context):
    """Asks for more than an eighth of the budget, which is what is ahead."""
    client = context.owner.client
    return client.chat("Long.", context.program, 2, max_tokens=4_000_000)


def change_config(context):
    client = context.owner.client
    document = client.request("GET", "/v1/admin/config").json
    return client.request("PUT", "/v1/admin/config", document)


_CALLS = {
    "a next turn": next_turn,
    "a turn over the reserved": over_reserved,
    "a kept turn": lambda context: context.owner.client.chat(
        "Draft Leith.", context.program, 1
    ),
    "the history": lambda context: context.owner.client.request(
        "GET", f"/v1/programs/{context.program}/history"
    ),
    "a new program": lambda context: context.owner.client.request(
        "POST", "/v1/programs", {}
    ),
    "an act": lambda context: context.owner.client.act(
        f"act-{context.program}", program=context.program
    ),
    "a new configuration": change_config,
    "a call without a program": lambda context: context.owner.client.chat(
        "Hello."
    ),
}


@then("meanwhile {call} gets {result}")
def step_answered(context, call, result):
    began = time.monotonic()
    answer = _CALLS[call](context)
    if not result[0].isdecimal():
        assert answer.status >= 400, answer
        assert answer.json["reason"] == result, answer
        assert answer.json["ran"] == "no", answer
        assert "retry-after" in answer.headers, answer
        # Far beyond what it takes: it must not wait for the service.
        assert time.monotonic() - began < 20, answer
        return
    status_text, _, receipt = result.partition(" and ")
    assert answer.status == int(status_text), answer
    assert (b'"receipt"' in answer.body) == (receipt == "a receipt"), answer
