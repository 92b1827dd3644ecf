"""Steps about reading the store through storage instances, in virtual time."""

import asyncio
import contextlib
import random

from behave import given, then, when

from rattanmill_keeper import Member, Members, RelayedKv
from rattanmill_keeper.messages import (
    Ping,
    StoreItem,
    StoreItems,
    StoreList,
    Unsure,
)
from rattanmill_keeper.mirror import Mirror, Mirrors
from rattanmill_platform import (
    Entry,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
)
from support.memory import MemoryKv
from support.virtual import run_virtually

_PREFIXES = ("config/", "servers/")
# As front ends ping.
_PING_SECONDS = 0.2
_PONG_SECONDS = 0.4
_LOOK_SECONDS = 0.01


class RelayingLink:
    """The link to a storage instance that reports changes unless it is stale.

    Attributes:
        is_frozen: Whether it does not reply.
        watch_requests: Number of watch requests received.
        failures: As of ``RequestLink``.
    """

    def __init__(self, is_stale):
        self.is_stale = is_stale
        self.is_frozen = False
        self.watch_requests = 0
        self.failures = 0
        self.revisions = dict.fromkeys(_PREFIXES, 1)

    async def ping_forever(self):
        """Sends pings, as a front end does."""
        pings = set()
        while True:
            pings.add(asyncio.create_task(self.ask(Ping(), _PONG_SECONDS)))
            await asyncio.sleep(_PING_SECONDS)

    async def ask(self, message, seconds):
        """Replies to a front end; None after the timeout while it is frozen."""
        reply = await self.answer(message)
        if self.is_frozen:
            await asyncio.sleep(seconds)
            self.failures += 1
            return None
        return reply

    async def answer(self, message):
        """Returns the reply, for a watch request after the wait."""
        wait = getattr(message, "seconds", None)
        if wait is None:
            return StoreItems([], 1)
        self.watch_requests += 1
        asked = {message.prefix: message.after, **message.others}
        if self.has_no_changes(asked):
            await asyncio.sleep(wait)
        replies = {
            prefix: self.changes_after(prefix, at)
            for prefix, at in asked.items()
        }
        first = replies.pop(message.prefix)
        first.others = replies
        return first

    def has_no_changes(self, asked):
        """Whether it has no changes to report."""
        return self.is_stale or not any(
            after < self.revisions[prefix] for prefix, after in asked.items()
        )

    def changes_after(self, prefix, after):
        """Returns the changes of a prefix that it knows."""
        revision = self.revisions[prefix]
        if self.is_stale or after >= revision:
            return StoreItems([], after)
        return StoreItems(
            [StoreItem(f"{prefix}one", b"new", revision)], revision
        )


class RelayingMembers(Members):
    """Storage instances that relay the store."""

    def __init__(self, domains, stale):
        super().__init__(MemoryKv())
        self.known = {d: Member(d, d, f"{d}:1", "run") for d in domains}
        self.links = {d: RelayingLink(d == stale) for d in domains}

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


@given('storage instances of "{domains}" of which that of "{stale}" is stale')
def step_members(context, domains, stale):
    context.make = lambda: RelayingMembers(domains.split(", "), stale)


@when(
    'a front end of "{domain}" watches two prefixes in step and only'
    ' "{changed}" changes'
)
def step_watch_in_step(context, domain, changed):
    async def watch():
        kv = RelayedKv(None, domain, _PREFIXES)
        kv.members = context.make()
        now = asyncio.get_running_loop().time
        received_at = {}
        began = now()
        async with (
            _watch(kv, _PREFIXES[0], received_at, now),
            _watch(kv, _PREFIXES[1], received_at, now),
        ):
            await asyncio.sleep(1.0)
            began = now()
            for link in kv.members.links.values():
                link.revisions[changed] = 2
            await asyncio.sleep(5.0)
        return {prefix: at - began for prefix, at in received_at.items()}

    context.received_at = run_virtually(watch())


def _watch(kv, prefix, received_at, now):
    return PrefixWatch(
        kv,
        prefix,
        2.5,
        lambda key, value: received_at.setdefault(prefix, now()),
        lambda key: None,
    )


@then('it has received the change of "{prefix}" within {limit:f} seconds')
def step_received(context, prefix, limit):
    assert prefix in context.received_at, context.received_at
    assert context.received_at[prefix] <= limit, context.received_at


@when(
    'a front end of "{domain}" watches two prefixes for {seconds:d} seconds'
    " and none changes"
)
def step_unchanged(context, domain, seconds):
    async def watch():
        kv = RelayedKv(None, domain, _PREFIXES)
        kv.members = context.make()
        now = asyncio.get_running_loop().time
        async with (
            _watch(kv, _PREFIXES[0], {}, now),
            _watch(kv, _PREFIXES[1], {}, now),
        ):
            await asyncio.sleep(seconds)
        return sum(link.watch_requests for link in kv.members.links.values())

    context.rate = run_virtually(watch()) / seconds


@then("it has sent at most {limit:d} watch requests a second")
def step_rate(context, limit):
    assert context.rate <= limit, context.rate


@when(
    'that of "{domain}" freezes and "{changed}" changes, {runs:d} times at'
    " random moments"
)
def step_freeze(context, domain, changed, runs):
    context.runs = [(seed, domain, changed) for seed in range(runs)]


async def _run_freeze(context, domain, seed, frozen, changed):
    """Returns the seconds until the change was received."""
    random.seed(seed)
    kv = RelayedKv(Outage(), domain, _PREFIXES)
    kv.direct.is_unavailable = True
    kv.members = context.make()
    links = kv.members.links
    pings = [asyncio.create_task(li.ping_forever()) for li in links.values()]
    now = asyncio.get_running_loop().time
    received_at = {}
    async with (
        _watch(kv, _PREFIXES[0], received_at, now),
        _watch(kv, _PREFIXES[1], received_at, now),
    ):
        await asyncio.sleep(1.0 + random.random())
        began = now()
        links[frozen].is_frozen = True
        for link in links.values():
            link.revisions[changed] = 2
        await asyncio.sleep(5.0)
    for ping in pings:
        ping.cancel()
    return received_at[changed] - began


@then(
    'a front end of "{domain}" has received each change within {limit:f}'
    " seconds"
)
def step_received_each(context, domain, limit):
    took = [
        run_virtually(_run_freeze(context, domain, *run))
        for run in context.runs
    ]
    print("received after", sorted(round(each, 2) for each in took))
    assert max(took) <= limit, sorted(took)


class WaitingKv(MemoryKv):
    """A store whose watches wait for changes."""

    async def watch(self, prefix, after, seconds):
        """Returns changes once there are any, or none after the timeout."""
        for _ in range(round(seconds / _LOOK_SECONDS)):
            events = await super().watch(prefix, after, seconds)
            if events.changes:
                break
            await asyncio.sleep(_LOOK_SECONDS)
        return events


class MirrorOnly(Members):
    """The only storage instance that a front end knows, and its link."""

    failures = 0

    def __init__(self, kv):
        super().__init__(kv)
        self.known = {"keeper": Member("keeper", "east", "keeper:1", "run")}
        self.mirrors = Mirrors(kv)

    def link(self, member):
        """Returns the link to it."""
        return self

    async def ask(self, message, seconds):
        """Replies to a front end."""
        return await self.mirrors.serve(message)


@contextlib.asynccontextmanager
async def _watch_prefixes_at(mirrors):
    """Makes a storage instance watch both prefixes, as for other front ends."""
    for _ in range(2):
        for prefix in _PREFIXES:
            await mirrors.serve(StoreList(prefix))
        await asyncio.sleep(1.0)
    yield


@given("a front end that watches two prefixes through one storage instance")
def step_shared_watch(context):
    context.store = WaitingKv()


@when('"{changed}" changes {times:d} times at random moments')
def step_change(context, changed, times):
    async def run():
        random.seed(times)
        kv = RelayedKv(context.store, "east", _PREFIXES)
        kv.members = MirrorOnly(context.store)
        now = asyncio.get_running_loop().time
        received_at = {}
        took = []
        async with (
            kv.members.mirrors,
            _watch_prefixes_at(kv.members.mirrors),
            _watch(kv, _PREFIXES[0], received_at, now),
            _watch(kv, _PREFIXES[1], received_at, now),
        ):
            await asyncio.sleep(3.0)
            assert kv.relayed
            for number in range(times):
                await asyncio.sleep(0.6 + random.random())
                received_at.clear()
                began = now()
                await context.store.write(f"{changed}{number}", b"new", 0)
                await asyncio.sleep(2.0)
                took.append(received_at[changed] - began)
        return took

    context.took = run_virtually(run())


@then("it receives each change within {limit:f} seconds")
def step_receives(context, limit):
    assert max(context.took) <= limit, context.took


class Outage:
    """A store that has an entry before an outage and none after it."""

    def __init__(self):
        self.entries = [Entry("servers/one", b"there", 1)]
        self.revision = 1
        self.is_unavailable = False

    async def list(self, prefix):
        """Reads all entries."""
        if self.is_unavailable:
            return Unavailable("unreachable")
        return Range(list(self.entries), self.revision)

    async def watch(self, prefix, after, seconds):
        """Waits until the timeout, or fails during the outage."""
        for _ in range(10):
            if self.is_unavailable:
                return Unavailable("unreachable")
            await asyncio.sleep(seconds / 10)
        return WatchEvents([], self.revision)


@given('a storage instance that watches "servers/" with an entry')
def step_mirror(context):
    context.store = Outage()


@when(
    "the store was unreachable for {seconds:d} seconds and the entry is"
    " missing after it"
)
def step_outage(context, seconds):
    async def run():
        store = context.store
        mirror = Mirror(store, "servers/")
        now = asyncio.get_running_loop().time
        async with mirror.watch:
            await asyncio.sleep(1.0)
            store.is_unavailable = True
            await asyncio.sleep(seconds)
            store.entries.clear()
            store.revision = 5
            store.is_unavailable = False
            for _ in range(1000):
                if not isinstance(await mirror.wait(1, 0.01), Unsure):
                    break
                await asyncio.sleep(0.01)
            began = now()
            while True:
                reply = await mirror.wait(1, 10.0)
                if reply.items:
                    return now() - began, reply.items[0].value

    context.removed = run_virtually(run())


@then(
    "a front end that watches receives nothing for {minimum:f} seconds, and"
    " then its removal"
)
def step_removed(context, minimum):
    after, value = context.removed
    assert value is None
    assert minimum <= after <= minimum + 0.5, after
