"""Steps about watches continued elsewhere, in virtual time with seeds."""

import asyncio
import collections
import functools
import random
from unittest import mock

from behave import given, then, when

from rattanmill_keeper import mirror
from support.fleet import ENDPOINTS, ReadingFleet
from support.virtual import run_virtually

_DOMAINS = 2
_ACTS = 60
_KEYS = 6
_MAX_PAUSE_SECONDS = 1.5
_MAX_FAULT_SECONDS = 5.0
_QUIET_SECONDS = 15.0


async def change(fleet, draw):
    """Writes or removes one entry, or more than an instance remembers."""
    for number in draw.sample(range(_KEYS), draw.choice((1, 1, _KEYS))):
        key = f"{ENDPOINTS}endpoint-{number}"
        if draw.random() < 0.4:
            fleet.store.remove(key)
        else:
            fleet.store.put(key, str(draw.random()).encode())


async def forget(fleet, draw):
    """Lets the store forget its history."""
    fleet.store.forget_changes()


async def restart(fleet, draw):
    """Restarts a storage instance, which then has read nothing."""
    node = draw.choice(list(fleet.keepers.values()))
    await node.mirrors.__aexit__(None, None, None)
    node.mirrors = mirror.Mirrors(node.kv)


async def reject(fleet, draw):
    """Lets the store reject a process for a while."""
    name = draw.choice([*fleet.keepers, "front-0"])
    fleet.store.rejected.add(name)
    fleet.store.wake()
    asyncio.get_running_loop().call_later(
        draw.uniform(0.1, _MAX_FAULT_SECONDS),
        fleet.store.rejected.discard,
        name,
    )


async def silence(fleet, draw):
    """Lets a storage instance fall silent for a while."""
    node = draw.choice(list(fleet.keepers.values()))
    node.is_there = False
    asyncio.get_running_loop().call_later(
        draw.uniform(0.1, _MAX_FAULT_SECONDS),
        functools.partial(setattr, node, "is_there", True),
    )


_FAULTS = (forget, restart, reject, silence)


@given(
    "{fronts:d} front ends and {keepers:d} storage instances that remember"
    " {changes:d} changes"
)
def step_fleet(context, fronts, keepers, changes):
    context.make = lambda: ReadingFleet(fronts, keepers, _DOMAINS)
    context.scenario_stack.enter_context(
        mock.patch.object(mirror, "_MAX_CHANGES", changes)
    )


async def play(make, seed, counts):
    """Returns what each front end knows wrongly in the end."""
    draw = random.Random(seed)
    async with make() as fleet:
        for _ in range(_ACTS):
            act = change if draw.random() < 0.6 else draw.choice(_FAULTS)
            counts[act] += 1
            await act(fleet, draw)
            await asyncio.sleep(draw.uniform(0.0, _MAX_PAUSE_SECONDS))
        await asyncio.sleep(_MAX_FAULT_SECONDS + _QUIET_SECONDS)
        expected = fleet.store.under(ENDPOINTS)
        return [
            dict(front.watches[1].values.items() ^ expected.items())
            for front in fleet.fronts
            if front.watches[1].values != expected
        ]


@when("in {count:d} seeded plays entries change while instances fail")
def step_play(context, count):
    context.counts = collections.Counter()
    context.wrong = {}
    for seed in range(count):
        # Decides the pauses of the product.
        random.seed(seed)
        if wrong := run_virtually(play(context.make, seed, context.counts)):
            context.wrong[seed] = wrong


@then(
    "all front ends know the entries as they are, {seconds:d} seconds after the"
    " last fault"
)
def step_right(context, seconds):
    assert seconds == _QUIET_SECONDS
    assert not context.wrong, context.wrong


@then("each way to fail came up in {count:d} places or more")
def step_all_faults(context, count):
    assert min(context.counts[act] for act in _FAULTS) >= count, context.counts
