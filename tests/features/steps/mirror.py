"""Steps about the store as storage instances pass it on, in virtual time."""

import asyncio

from behave import given, then, when

from rattanmill_keeper import Member, RelayedKv
from rattanmill_keeper.messages import StoreItem, StoreItems, Unsure
from rattanmill_keeper.mirror import Mirror
from rattanmill_platform import (
    Entry,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
)
from support.virtual import run_virtually

_PREFIXES = ("config/", "servers/")


class Passing:
    """A storage instance's link: tells of changes, unless it is stale."""

    failures = 0

    def __init__(self, is_stale):
        self.is_stale = is_stale
        self.revisions = dict.fromkeys(_PREFIXES, 1)

    async def ask(self, message, seconds):
        """Answers a front."""
        wait = getattr(message, "seconds", None)
        if wait is None:
            return StoreItems([], 1)
        if self.has_nothing(message):
            await asyncio.sleep(wait)
        if self.has_nothing(message):
            return StoreItems([], message.after)
        revision = self.revisions[message.prefix]
        item = StoreItem(f"{message.prefix}one", b"new", revision)
        return StoreItems([item], revision)

    def has_nothing(self, message):
        """Whether it would say that nothing is new."""
        known = self.revisions[message.prefix]
        return self.is_stale or message.after >= known


class PassingMembers:
    """Storage instances that pass the store on."""

    def __init__(self, domains, stale):
        self.known = {d: Member(d, d, f"{d}:1", "run") for d in domains}
        self.links = {d: Passing(d == stale) for d in domains}

    def link(self, member):
        """Returns the link to one."""
        return self.links[member.name]


@given('storage instances of "{domains}" of which that of "{stale}" is stale')
def step_members(context, domains, stale):
    context.make = lambda: PassingMembers(domains.split(", "), stale)


@when(
    'a front of "{domain}" follows two prefixes in step and only "{changed}"'
    " changes"
)
def step_follow(context, domain, changed):
    async def follow():
        kv = RelayedKv(None, domain, _PREFIXES)
        kv.members = context.make()
        now = asyncio.get_running_loop().time
        heard = {}
        began = now()
        async with (
            _watch(kv, _PREFIXES[0], heard, now),
            _watch(kv, _PREFIXES[1], heard, now),
        ):
            await asyncio.sleep(1.0)
            began = now()
            for link in kv.members.links.values():
                link.revisions[changed] = 2
            await asyncio.sleep(5.0)
        return {prefix: at - began for prefix, at in heard.items()}

    context.heard = run_virtually(follow())


def _watch(kv, prefix, heard, now):
    return PrefixWatch(
        kv,
        prefix,
        2.5,
        lambda key, value: heard.setdefault(prefix, now()),
        lambda key: None,
    )


@then('it has heard of the change of "{prefix}" within {most:f} seconds')
def step_heard(context, prefix, most):
    assert prefix in context.heard, context.heard
    assert context.heard[prefix] <= most, context.heard


class Outage:
    """A store with one entry, which is away and comes back without it."""

    def __init__(self):
        self.entries = [Entry("servers/one", b"there", 1)]
        self.revision = 1
        self.away = False

    async def list(self, prefix):
        """Reads all."""
        if self.away:
            return Unavailable("away")
        return Range(list(self.entries), self.revision)

    async def watch(self, prefix, after, seconds):
        """Waits, or fails while it is away."""
        for _ in range(10):
            if self.away:
                return Unavailable("away")
            await asyncio.sleep(seconds / 10)
        return WatchEvents([], self.revision)


@given('a storage instance that follows "servers/" with an entry')
def step_mirror(context):
    context.store = Outage()


@when(
    "the store was away for {seconds:d} seconds and the entry is missing after"
    " it"
)
def step_away(context, seconds):
    async def play():
        store = context.store
        mirror = Mirror(store, "servers/")
        now = asyncio.get_running_loop().time
        async with mirror.watch:
            await asyncio.sleep(1.0)
            store.away = True
            await asyncio.sleep(seconds)
            store.entries.clear()
            store.revision = 5
            store.away = False
            for _ in range(1000):
                if not isinstance(await mirror.wait(1, 0.01), Unsure):
                    break
                await asyncio.sleep(0.01)
            began = now()
            while True:
                said = await mirror.wait(1, 10.0)
                if said.items:
                    return now() - began, said.items[0].value

    context.removed = run_virtually(play())


@then(
    "a front that asks hears nothing for {least:f} seconds, and then of its"
    " removal"
)
def step_removed(context, least):
    after, value = context.removed
    assert value is None
    assert least <= after <= least + 0.5, after
