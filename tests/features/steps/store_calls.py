"""Steps that count the calls of a fleet to the platform store."""

import asyncio
import os
import random

from behave import given, then, when

from support.fleet import ENDPOINTS, ReadingFleet
from support.virtual import run_virtually

_CONFIG = "op/config"
# Decides the random pauses. The variable gives another seed; 0 draws one.
_SEED_VARIABLE = "STORE_CALLS_SEED"
_DEFAULT_SEED = 1


@given(
    "{fronts:d} front ends and {keepers:d} storage instances in {domains:d}"
    " failure domains"
)
def step_fleet(context, fronts, keepers, domains):
    context.make = lambda **how: ReadingFleet(fronts, keepers, domains, **how)
    context.how = {}
    context.acts = []
    seed = int(os.environ.get(_SEED_VARIABLE, _DEFAULT_SEED))
    context.seed = seed or random.SystemRandom().randrange(1, 2**20)


@given("the pauses are drawn from seed {seed:d}")
def step_seed(context, seed):
    context.seed = seed


@given("the front ends read the list of storage instances from the store")
def step_read_directly(context):
    context.how = {"relayed": (_CONFIG, ENDPOINTS)}


@when("nothing changes for {seconds:d} seconds")
def step_calm(context, seconds):
    context.acts.append(lambda fleet: asyncio.sleep(seconds))


@when(
    "in {seconds:f} seconds {changes:d} entries of endpoints change and"
    " {restarts:d} storage instances register anew"
)
def step_changes(context, seconds, changes, restarts):
    async def change(fleet):
        count = max(changes, restarts)
        for number in range(count):
            await asyncio.sleep(seconds / count)
            if number < changes:
                fleet.change_endpoint()
            if number < restarts:
                fleet.register_anew(number)

    context.acts.append(change)


@when("the readers of {domains:d} failure domains are gone")
def step_readers_gone(context, domains):
    async def remove(fleet):
        fleet.remove_readers(domains)

    context.acts.append(remove)


@when("the store rejects all storage instances")
def step_reject(context):
    async def reject(fleet):
        fleet.store.rejected |= set(fleet.keepers)
        # Watches that wait notice it at the next change.
        fleet.change_endpoint()

    context.acts.append(reject)


@when("the store is down for {seconds:d} seconds")
def step_down(context, seconds):
    async def down(fleet):
        everyone = {*fleet.keepers, *(f"front-{n}" for n in range(1000))}
        fleet.store.rejected |= everyone
        fleet.store.wake()
        await asyncio.sleep(seconds)
        fleet.store.rejected -= everyone

    context.acts.append(down)


@when("all storage instances are gone")
def step_all_gone(context):
    async def remove(fleet):
        for node in fleet.keepers.values():
            node.is_there = False

    context.acts.append(remove)


@when("{count:d} entries of endpoints change a second later")
def step_change_soon(context, count):
    step_change_later(context, count, 1)


@when("{count:d} entries of endpoints change {seconds:d} seconds later")
def step_change_later(context, count, seconds):
    async def change(fleet):
        await asyncio.sleep(seconds)
        for _ in range(count):
            fleet.change_endpoint()

    context.acts.append(change)


async def _play(context, seconds):
    """Returns weighted calls a process, calls a second, and who lacks what."""
    async with context.make(**context.how) as fleet:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for act in context.acts:
            await act(fleet)
        await asyncio.sleep(seconds)
        calls = fleet.weighted_calls() / fleet.processes
        context.calls = dict(fleet.store.calls.most_common(8))
        rate = calls / (loop.time() - began)
        return calls, rate, fleet.fronts_lacking(), fleet.fronts_outdated()


def play(context, seconds=2.0):
    """Returns what ``_play`` does; plays once a scenario."""
    if not hasattr(context, "played"):
        random.seed(context.seed)
        context.played = run_virtually(_play(context, seconds))
    return context.played


def told(context):
    """Returns what a failed check tells."""
    return f"seed {context.seed}", context.played, context.calls


@then("at most {limit:f} calls a second and process were made")
def step_rate(context, limit):
    assert play(context)[1] <= limit, told(context)


@then("more than {limit:f} calls a second and process were made")
def step_rate_above(context, limit):
    assert play(context)[1] > limit, told(context)


@then("at most {limit:d} calls a process were made")
def step_calls(context, limit):
    assert play(context)[0] <= limit, told(context)


@then("all front ends know all entries")
def step_all_know(context):
    assert play(context)[2] == 0, told(context)


@then("all front ends know all endpoints {seconds:d} seconds later")
def step_all_know_endpoints(context, seconds):
    assert play(context, seconds)[3] == 0, told(context)


@then("all front ends know all entries {seconds:d} seconds later")
def step_all_know_soon(context, seconds):
    assert play(context, seconds)[2] == 0, told(context)
