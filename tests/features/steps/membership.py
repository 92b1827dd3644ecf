"""Steps about the list of storage instances, in virtual time."""

import asyncio

import msgspec
from behave import given, then, when

from rattanmill_keeper import Member, Members
from rattanmill_keeper.members import PREFIX
from rattanmill_platform import Unavailable, WatchEvents
from support.keepers import run_in as network
from support.memory import MemoryKv
from support.virtual import run_virtually

_PAUSE_SECONDS = 0.01


class WatchedKv(MemoryKv):
    """A store whose watches may be silent.

    Attributes:
        tells: Whether watches hear of changes.
        is_away: Whether calls are answered at all.
        asked: Lists read.
    """

    def __init__(self, tells: bool) -> None:
        super().__init__()
        self.tells = tells
        self.is_away = False
        self.asked = 0

    async def list(self, prefix: str):
        """Reads all keys under a prefix."""
        self.asked += 1
        if self.is_away:
            return Unavailable("away")
        return await super().list(prefix)

    async def watch(self, prefix: str, after: int, seconds: float):
        """Waits for changes, or for nothing at all."""
        waited = 0.0
        while waited < seconds:
            await asyncio.sleep(_PAUSE_SECONDS)
            waited += _PAUSE_SECONDS
            events = await super().watch(prefix, after, seconds)
            if self.tells and events.changes:
                return events
        return WatchEvents([], after) if self.tells else Unavailable("silent")


@given("the list of storage instances is followed by a watch")
def step_follow(context):
    context.tells = True
    context.told = 0.0
    context.is_away = False


@given("the list of storage instances is followed by a watch that goes silent")
def step_follow_silent(context):
    step_follow(context)
    context.tells = False


@when('"{name}" registers')
def step_register(context, name):
    context.name = name


@when("the store does not answer this instance any more")
def step_away(context):
    context.is_away = True


@when(
    "a storage instance that has heard of it answers every {seconds:g} seconds"
)
def step_told(context, seconds):
    context.told = seconds


def play(context, seconds):
    """Returns who is known some time after the registration."""

    async def follow():
        kv = context.kv = WatchedKv(context.tells)
        async with Members(kv) as members:
            await asyncio.sleep(1.0)
            member = Member(context.name, "east", "east:1", "run")
            kv.put(PREFIX + context.name, msgspec.json.encode(member))
            kv.is_away = context.is_away
            kv.asked = 0
            left = seconds
            while left > 0:
                if context.told:
                    members.expect_revision(kv.revision)
                pause = min(left, context.told or left)
                await asyncio.sleep(pause)
                left -= pause
            return set(members.known)

    return run_virtually(follow())


@then('"{name}" is known after {seconds:g} seconds')
def step_known(context, name, seconds):
    assert name in play(context, seconds)


@then('"{name}" is not known after {seconds:g} seconds')
def step_unknown(context, name, seconds):
    assert name not in play(context, seconds)


@then("the store was asked once for it")
def step_asked_once(context):
    assert context.kv.asked == 1, context.kv.asked


@then("the store was not asked for it")
def step_not_asked(context):
    assert context.kv.asked == 0, context.kv.asked


@then("the store was asked at most {count:d} times for it")
def step_asked_at_most(context, count):
    assert 2 <= context.kv.asked <= count, context.kv.asked


@when('"{name}" registers and only "{other}" hears of it')
def step_register_at_one(context, name, other):
    n = context.network
    n.register(name)
    members = n.members[other]
    members.watch.revision = members.watch.changed = n.kv.revision
    members._on_written(PREFIX + name, n.kv.items[PREFIX + name][0])


@then(
    'a front beside "{name}" that asks "{other}" for a sign of life knows'
    ' "{new}"'
)
def step_front_knows(context, name, other, new):
    async def ask(n):
        front = n.front(name)
        assert new not in front.reach.members.known
        await front.reach._ping(front.reach.members.known[other])
        await n.pass_time(0.3)
        return front.reach.members.known

    assert new in network(context, ask)


@then('"{name}", which follows the others, knows "{new}"')
def step_keeper_knows(context, name, new):
    async def follow(n):
        assert new not in n.members[name].known
        await n.follow(name)
        await n.pass_time(0.3)
        return n.members[name].known

    assert new in network(context, follow)
