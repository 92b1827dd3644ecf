"""Steps about entries that are missing after an outage, in virtual time."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when

from rattanmill_keeper import Member, Members, RelayedKv
from rattanmill_keeper.members import PREFIX
from rattanmill_keeper.mirror import Mirrors
from rattanmill_platform import (
    Entry,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
)
from support.virtual import run_virtually

_NAME = "one"
_ENDPOINTS = "servers/"
_VALUE = msgspec.json.encode(Member(_NAME, "east", "127.0.0.1:9", "run"))
# A prefix is read again within a pause of the store's return.
_SLACK_SECONDS = 0.3


class FlakyStore:
    """A store with one entry, which can be away.

    Attributes:
        key: The entry's.
        away: Whether it is.
        was_read: Set when the prefix is read.

    Args:
        prefix: Prefix of the entry.
    """

    def __init__(self, prefix):
        self.prefix = prefix
        self.key = prefix + _NAME
        self.entries = {self.key: Entry(self.key, _VALUE, 1)}
        self.revision = 1
        self.history = []
        self.away = False
        self.changed = asyncio.Event()
        self.was_read = asyncio.Event()

    def now(self):
        """Returns the loop's time."""
        return asyncio.get_running_loop().time()

    async def list(self, prefix):
        """Reads all."""
        if self.away:
            return Unavailable("away")
        self.was_read.set()
        return Range(list(self.entries.values()), self.revision)

    async def watch(self, prefix, after, seconds):
        """Waits for a change, or fails while the store is away."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self.away and self.revision <= after:
                    self.changed.clear()
                    await self.changed.wait()
        if self.away:
            return Unavailable("away")
        news = [(k, v) for at, k, v in self.history if at > after]
        return WatchEvents(news, self.revision)

    def write(self):
        """Writes the entry."""
        self._add(_VALUE)
        self.entries[self.key] = Entry(self.key, _VALUE, self.revision)

    def remove(self):
        """Reports the removal of the entry, which may be gone already."""
        self._add(None)
        self.entries.pop(self.key, None)

    def touch(self):
        """Changes something else, so that the watch is answered."""
        self.revision += 1
        self.changed.set()

    def _add(self, value):
        self.revision += 1
        self.history.append((self.revision, self.key, value))
        self.changed.set()

    def go(self):
        """Goes away."""
        self.away = True
        self.changed.set()

    def come_back_without(self):
        """Comes back; the entry has lapsed."""
        self.remove()
        self.away = False

    async def read(self):
        """Waits until the prefix is read; returns the time of it."""
        self.was_read.clear()
        await self.was_read.wait()
        return self.now()


class Refusing:
    """A store that turns everybody away."""

    async def list(self, prefix):
        """Reads nothing."""
        return Unavailable("refused")

    async def watch(self, prefix, after, seconds):
        """Waits for nothing."""
        return Unavailable("refused")


class PassingMember(Members):
    """The only storage instance that a front knows, and its link."""

    failures = 0

    def __init__(self, store):
        super().__init__(store)
        self.known = {"keeper": Member("keeper", "east", "keeper:1", "run")}
        self.mirrors = Mirrors(store)

    def link(self, member):
        """Returns the link to it."""
        return self

    async def ask(self, message, seconds):
        """Answers a front."""
        return await self.mirrors.serve(message)


class Follower:
    """Who follows the store, and when it took the entry for gone.

    Attributes:
        store: The store.
        kv: The same, as this one reads it.
        watch: Its watch.
        opened: What it needs besides.
        removals: Loop times.
    """

    def __init__(self, store):
        self.store = store
        self.kv = store
        self.watch = None
        self.opened = contextlib.nullcontext()
        self.removals = []

    def read_through_instance(self, mirrored):
        """Reads through a storage instance; the store turns this one away."""
        self.kv = RelayedKv(Refusing(), "east", mirrored)
        self.kv.members = PassingMember(self.store)
        self.opened = self.kv.members.mirrors

    def removed(self, key):
        """Takes a removal."""
        assert key == self.store.key, key
        self.removals.append(self.store.now())

    def follow(self, grace):
        """Follows the store."""
        self.watch = PrefixWatch(
            self.kv,
            self.store.prefix,
            2.5,
            lambda key, value: None,
            self.removed,
            grace,
        )

    @property
    def is_listed(self):
        """Whether the store lists the entry, as heard here."""
        return self.store.key in self.watch.values

    async def is_listed_anew(self):
        """Whether one who starts to follow the store now finds the entry."""
        another = Follower(self.store)
        another.kv = self.kv
        another.follow(0.0)
        async with another.watch:
            await asyncio.sleep(1.0)
            assert another.watch.synced
            return another.is_listed


def _follow_directly(grace):
    def make():
        follower = Follower(FlakyStore(_ENDPOINTS))
        follower.follow(grace)
        return follower

    return make


def _follow_through_instance():
    follower = Follower(FlakyStore(_ENDPOINTS))
    follower.read_through_instance((_ENDPOINTS,))
    follower.follow(2.0)
    return follower


def _follow_members(through_instance):
    follower = Follower(FlakyStore(PREFIX))
    if through_instance:
        follower.read_through_instance(())
    members = Members(follower.kv)

    def note():
        if _NAME not in members.known:
            follower.removed(follower.store.key)

    members.on_change = note
    follower.watch = members.watch
    return follower


@given("a watch with a grace of {seconds:d} seconds and an entry")
def step_watch(context, seconds):
    context.make, context.plan = _follow_directly(seconds), []


@given("a front that reads an entry through a storage instance")
def step_front(context):
    context.make, context.plan = _follow_through_instance, []


@given("a process that knows a storage instance")
def step_member(context):
    context.make, context.plan = lambda: _follow_members(False), []


@given("a front that the store turns away and that knows storage instances")
def step_turned_away(context):
    context.make, context.plan = lambda: _follow_members(True), []


@when(
    "the store was away for {seconds:f} seconds and the entry was missing"
    " after it"
)
def step_outage(context, seconds):
    context.away_seconds = seconds


@when("it is written {seconds:f} seconds later")
def step_written(context, seconds):
    context.plan.append((seconds, lambda store, watch: store.write()))


@when("its removal is reported {seconds:f} seconds later")
def step_reported(context, seconds):
    context.plan.append((seconds, lambda store, watch: store.remove()))


@when("the store is away again from {begin:f} to {end:f} seconds later")
def step_again(context, begin, end):
    context.plan.append((begin, lambda store, watch: store.go()))
    context.plan.append((end, lambda store, watch: store.come_back_without()))


@when("the watch ends {seconds:f} seconds later")
def step_ends(context, seconds):
    context.plan.append((seconds, lambda store, watch: watch.__aexit__()))


async def _play(context, seconds):
    """Plays the outage, what is planned after it, and some seconds more.

    Returns:
        When removals were heard after the prefix was read again, and whether
        the entry is listed in the end, as heard so far and as read anew.
    """
    follower = context.make()
    store = follower.store
    async with follower.opened, follower.watch:
        await asyncio.sleep(1.0)
        assert follower.is_listed
        store.touch()
        await asyncio.sleep(0.1)
        store.go()
        await asyncio.sleep(context.away_seconds)
        store.come_back_without()
        began = await store.read()
        for at, act in context.plan:
            await asyncio.sleep(began + at - store.now())
            done = act(store, follower.watch)
            if done:
                await done
        await asyncio.sleep(began + seconds - store.now())
        removals = [at - began for at in follower.removals]
        listed = follower.is_listed
        return removals, (listed, await follower.is_listed_anew())


@then("the store does not list it {seconds:f} seconds later")
def step_not_listed(context, seconds):
    removals, listed = run_virtually(_play(context, seconds))
    assert not any(listed) and not removals, (removals, listed)


@then("no removal is heard within {seconds:f} seconds")
def step_none(context, seconds):
    removals, context.listed = run_virtually(_play(context, seconds))
    assert not removals, removals


@then(
    "one removal is heard within {seconds:f} seconds, {after:f} seconds later"
)
def step_one(context, seconds, after):
    removals, context.listed = run_virtually(_play(context, seconds))
    assert len(removals) == 1, removals
    assert after - 0.001 <= removals[0] <= after + _SLACK_SECONDS, removals


@then("it is listed, also for one who starts to follow the store then")
def step_lists(context):
    assert all(context.listed), context.listed
