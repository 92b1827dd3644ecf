"""Steps about entries that are missing after an outage, in virtual time."""

import asyncio
import contextlib

import msgspec
from behave import given, then, when

from rattanmill_keeper import Member, Members, RelayedKv
from rattanmill_keeper.members import MEMBERS_PREFIX
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
# A prefix is read again within a pause after the store's return.
_SLACK_SECONDS = 0.3


class FlakyStore:
    """A store with one entry, which can be unavailable.

    Attributes:
        key: Key of the entry.
        is_unavailable: Whether all calls fail.
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
        self.is_unavailable = False
        self.changed = asyncio.Event()
        self.was_read = asyncio.Event()

    def now(self):
        """Returns the loop's time."""
        return asyncio.get_running_loop().time()

    async def list(self, prefix):
        """Reads all entries."""
        if self.is_unavailable:
            return Unavailable("unreachable")
        self.was_read.set()
        return Range(list(self.entries.values()), self.revision)

    async def watch(self, prefix, after, seconds):
        """Waits for a change, or fails while the store is unavailable."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not self.is_unavailable and self.revision <= after:
                    self.changed.clear()
                    await self.changed.wait()
        if self.is_unavailable:
            return Unavailable("unreachable")
        changes = [(k, v) for at, k, v in self.history if at > after]
        return WatchEvents(changes, self.revision)

    def write(self):
        """Writes the entry."""
        self._add(_VALUE)
        self.entries[self.key] = Entry(self.key, _VALUE, self.revision)

    def remove(self):
        """Reports the removal of the entry, which may be missing already."""
        self._add(None)
        self.entries.pop(self.key, None)

    def touch(self):
        """Changes another key, so that pending watches complete."""
        self.revision += 1
        self.changed.set()

    def _add(self, value):
        self.revision += 1
        self.history.append((self.revision, self.key, value))
        self.changed.set()

    def begin_outage(self):
        """Starts an outage."""
        self.is_unavailable = True
        self.changed.set()

    def end_outage(self):
        """Ends the outage; the entry has expired in the meantime."""
        self.remove()
        self.is_unavailable = False

    async def wait_for_read(self):
        """Waits until the prefix is read; returns the loop time then."""
        self.was_read.clear()
        await self.was_read.wait()
        return self.now()


class RejectingStore:
    """A store that rejects all calls."""

    async def list(self, prefix):
        """Fails."""
        return Unavailable("rejected")

    async def watch(self, prefix, after, seconds):
        """Fails."""
        return Unavailable("rejected")


class RelayingMember(Members):
    """The only storage instance that a front end knows, and its link."""

    failures = 0

    def __init__(self, store):
        super().__init__(store)
        self.known = {"keeper": Member("keeper", "east", "keeper:1", "run")}
        self.mirrors = Mirrors(store)

    def link(self, member):
        """Returns the link to it."""
        return self

    async def ask(self, message, seconds):
        """Replies to a front end."""
        return await self.mirrors.serve(message)


class Watcher:
    """A process that watches the store, and the removals reported to it.

    Attributes:
        store: The store.
        kv: The store as this process reads it.
        watch: Its watch.
        mirrors: Context manager that has to be open during the watch.
        removals: Loop times at which the entry was reported as removed.
    """

    def __init__(self, store):
        self.store = store
        self.kv = store
        self.watch = None
        self.mirrors = contextlib.nullcontext()
        self.removals = []

    def read_through_instance(self, mirrored):
        """Reads through a storage instance; the store rejects this process."""
        self.kv = RelayedKv(RejectingStore(), "east", mirrored)
        self.kv.members = RelayingMember(self.store)
        self.mirrors = self.kv.members.mirrors

    def on_removed(self, key):
        """Records a removal."""
        assert key == self.store.key, key
        self.removals.append(self.store.now())

    def start_watch(self, grace):
        """Creates the watch."""
        self.watch = PrefixWatch(
            self.kv,
            self.store.prefix,
            2.5,
            lambda key, value: None,
            self.on_removed,
            grace,
        )

    @property
    def is_listed(self):
        """Whether the store lists the entry, as known here."""
        return self.store.key in self.watch.values

    async def is_listed_anew(self):
        """Whether a watch that starts now finds the entry."""
        another = Watcher(self.store)
        another.kv = self.kv
        another.start_watch(0.0)
        async with another.watch:
            await asyncio.sleep(1.0)
            assert another.watch.synced
            return another.is_listed


def _watch_directly(grace):
    def make():
        watcher = Watcher(FlakyStore(_ENDPOINTS))
        watcher.start_watch(grace)
        return watcher

    return make


def _watch_through_instance():
    watcher = Watcher(FlakyStore(_ENDPOINTS))
    watcher.read_through_instance((_ENDPOINTS,))
    watcher.start_watch(2.0)
    return watcher


def _watch_members(through_instance):
    watcher = Watcher(FlakyStore(MEMBERS_PREFIX))
    if through_instance:
        watcher.read_through_instance(())
    members = Members(watcher.kv)

    def note():
        if _NAME not in members.known:
            watcher.on_removed(watcher.store.key)

    members.on_change = note
    watcher.watch = members.watch
    return watcher


@given("a watch with a grace period of {seconds:d} seconds and an entry")
def step_watch(context, seconds):
    context.make, context.plan = _watch_directly(seconds), []


@given("a front end that reads an entry through a storage instance")
def step_front(context):
    context.make, context.plan = _watch_through_instance, []


@given("a process that knows a storage instance")
def step_member(context):
    context.make, context.plan = lambda: _watch_members(False), []


@given("a front end that the store rejects and that knows storage instances")
def step_rejected(context):
    context.make, context.plan = lambda: _watch_members(True), []


@when(
    "the store was unreachable for {seconds:f} seconds and the entry was"
    " missing after it"
)
def step_outage(context, seconds):
    context.away_seconds = seconds


@when("it is written {seconds:f} seconds later")
def step_written(context, seconds):
    context.plan.append((seconds, lambda store, watch: store.write()))


@when("its removal is reported {seconds:f} seconds later")
def step_reported(context, seconds):
    context.plan.append((seconds, lambda store, watch: store.remove()))


@when("the store is unreachable again from {begin:f} to {end:f} seconds later")
def step_second_outage(context, begin, end):
    context.plan.append((begin, lambda store, watch: store.begin_outage()))
    context.plan.append((end, lambda store, watch: store.end_outage()))


@when("the watch ends {seconds:f} seconds later")
def step_ends(context, seconds):
    context.plan.append((seconds, lambda store, watch: watch.__aexit__()))


async def _run(context, seconds):
    """Runs the outage, the planned steps after it, and some seconds more.

    Returns:
        The seconds from when the prefix was read again to each reported
        removal, and whether the entry is listed in the end: by this watch and
        by one that starts then.
    """
    watcher = context.make()
    store = watcher.store
    async with watcher.mirrors, watcher.watch:
        await asyncio.sleep(1.0)
        assert watcher.is_listed
        store.touch()
        await asyncio.sleep(0.1)
        store.begin_outage()
        await asyncio.sleep(context.away_seconds)
        store.end_outage()
        began = await store.wait_for_read()
        for at, act in context.plan:
            await asyncio.sleep(began + at - store.now())
            pending = act(store, watcher.watch)
            if pending:
                await pending
        await asyncio.sleep(began + seconds - store.now())
        removals = [at - began for at in watcher.removals]
        listed = watcher.is_listed
        return removals, (listed, await watcher.is_listed_anew())


@then("the store does not list it {seconds:f} seconds later")
def step_not_listed(context, seconds):
    removals, listed = run_virtually(_run(context, seconds))
    assert not any(listed) and not removals, (removals, listed)


@then("no removal is reported within {seconds:f} seconds")
def step_none(context, seconds):
    removals, context.listed = run_virtually(_run(context, seconds))
    assert not removals, removals


@then(
    "one removal is reported within {seconds:f} seconds, {after:f} seconds"
    " later"
)
def step_one(context, seconds, after):
    removals, context.listed = run_virtually(_run(context, seconds))
    assert len(removals) == 1, removals
    assert after - 0.001 <= removals[0] <= after + _SLACK_SECONDS, removals


@then("it is listed, also for a watch that starts then")
def step_lists(context):
    assert all(context.listed), context.listed
