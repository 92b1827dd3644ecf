"""Steps about the store as storage instances pass it on, in virtual time."""

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
# As fronts ask for signs of life.
_PING_SECONDS = 0.2
_PONG_SECONDS = 0.4
_LOOK_SECONDS = 0.01


class Passing:
    """A storage instance's link: tells of changes, unless it is stale.

    Attributes:
        is_frozen: Whether it answers nothing.
        asked: Number of waits that it was asked for.
        failures: As of ``RequestLink``.
    """

    def __init__(self, is_stale):
        self.is_stale = is_stale
        self.is_frozen = False
        self.asked = 0
        self.failures = 0
        self.revisions = dict.fromkeys(_PREFIXES, 1)

    async def ping_forever(self):
        """Asks for signs of life, as a front does."""
        pings = set()
        while True:
            pings.add(asyncio.create_task(self.ask(Ping(), _PONG_SECONDS)))
            await asyncio.sleep(_PING_SECONDS)

    async def ask(self, message, seconds):
        """Answers a front, or nothing while it is frozen."""
        said = await self.answer(message)
        if self.is_frozen:
            await asyncio.sleep(seconds)
            self.failures += 1
            return None
        return said

    async def answer(self, message):
        """Returns an answer, after a wait if one is asked for."""
        wait = getattr(message, "seconds", None)
        if wait is None:
            return StoreItems([], 1)
        self.asked += 1
        asked = {message.prefix: message.after, **message.others}
        if self.has_nothing(asked):
            await asyncio.sleep(wait)
        told = {prefix: self.tell(prefix, at) for prefix, at in asked.items()}
        first = told.pop(message.prefix)
        first.others = told
        return first

    def has_nothing(self, asked):
        """Whether it would say that nothing is new."""
        return self.is_stale or not any(
            after < self.revisions[prefix] for prefix, after in asked.items()
        )

    def tell(self, prefix, after):
        """Returns what it knows of a prefix."""
        revision = self.revisions[prefix]
        if self.is_stale or after >= revision:
            return StoreItems([], after)
        return StoreItems(
            [StoreItem(f"{prefix}one", b"new", revision)], revision
        )


class PassingMembers(Members):
    """Storage instances that pass the store on."""

    def __init__(self, domains, stale):
        super().__init__(MemoryKv())
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


@when(
    'a front of "{domain}" follows two prefixes for {seconds:d} seconds and'
    " none changes"
)
def step_calm(context, domain, seconds):
    async def follow():
        kv = RelayedKv(None, domain, _PREFIXES)
        kv.members = context.make()
        now = asyncio.get_running_loop().time
        async with (
            _watch(kv, _PREFIXES[0], {}, now),
            _watch(kv, _PREFIXES[1], {}, now),
        ):
            await asyncio.sleep(seconds)
        return sum(link.asked for link in kv.members.links.values())

    context.rate = run_virtually(follow()) / seconds


@then("it has asked at most {most:d} times a second")
def step_asked(context, most):
    assert context.rate <= most, context.rate


@when(
    'that of "{domain}" freezes and "{changed}" changes, {plays:d} times at'
    " moments of its own"
)
def step_freeze(context, domain, changed, plays):
    context.plays = [(seed, domain, changed) for seed in range(plays)]


async def _play_freeze(context, domain, seed, frozen, changed):
    """Returns how long it took until the change was heard of, seconds."""
    random.seed(seed)
    kv = RelayedKv(Outage(), domain, _PREFIXES)
    kv.direct.away = True
    kv.members = context.make()
    links = kv.members.links
    pings = [asyncio.create_task(li.ping_forever()) for li in links.values()]
    now = asyncio.get_running_loop().time
    heard = {}
    async with (
        _watch(kv, _PREFIXES[0], heard, now),
        _watch(kv, _PREFIXES[1], heard, now),
    ):
        await asyncio.sleep(1.0 + random.random())
        began = now()
        links[frozen].is_frozen = True
        for link in links.values():
            link.revisions[changed] = 2
        await asyncio.sleep(5.0)
    for ping in pings:
        ping.cancel()
    return heard[changed] - began


@then('a front of "{domain}" has heard of each change within {most:f} seconds')
def step_heard_each(context, domain, most):
    took = [
        run_virtually(_play_freeze(context, domain, *play))
        for play in context.plays
    ]
    print("heard after", sorted(round(each, 2) for each in took))
    assert max(took) <= most, sorted(took)


class WaitingKv(MemoryKv):
    """Its watches wait for changes."""

    async def watch(self, prefix, after, seconds):
        """Returns changes once there are any, or none when time is over."""
        for _ in range(round(seconds / _LOOK_SECONDS)):
            events = await super().watch(prefix, after, seconds)
            if events.changes:
                break
            await asyncio.sleep(_LOOK_SECONDS)
        return events


class MirrorOnly(Members):
    """The only storage instance that a front knows, and its link."""

    failures = 0

    def __init__(self, kv):
        super().__init__(kv)
        self.known = {"keeper": Member("keeper", "east", "keeper:1", "run")}
        self.mirrors = Mirrors(kv)

    def link(self, member):
        """Returns the link to it."""
        return self

    async def ask(self, message, seconds):
        """Answers a front."""
        return await self.mirrors.serve(message)


@contextlib.asynccontextmanager
async def _follow_at(mirrors):
    """Lets a storage instance follow both prefixes, as others have asked."""
    for _ in range(2):
        for prefix in _PREFIXES:
            await mirrors.serve(StoreList(prefix))
        await asyncio.sleep(1.0)
    yield


@given("a front that follows two prefixes at one storage instance")
def step_joint(context):
    context.store = WaitingKv()


@when('"{changed}" changes {times:d} times at moments of its own')
def step_change(context, changed, times):
    async def play():
        random.seed(times)
        kv = RelayedKv(context.store, "east", _PREFIXES)
        kv.members = MirrorOnly(context.store)
        now = asyncio.get_running_loop().time
        heard = {}
        took = []
        async with (
            kv.members.mirrors,
            _follow_at(kv.members.mirrors),
            _watch(kv, _PREFIXES[0], heard, now),
            _watch(kv, _PREFIXES[1], heard, now),
        ):
            await asyncio.sleep(3.0)
            assert kv.relayed
            for number in range(times):
                await asyncio.sleep(0.6 + random.random())
                heard.clear()
                began = now()
                await context.store.write(f"{changed}{number}", b"new", 0)
                await asyncio.sleep(2.0)
                took.append(heard[changed] - began)
        return took

    context.took = run_virtually(play())


@then("it hears of each change within {most:f} seconds")
def step_hears(context, most):
    assert max(context.took) <= most, context.took


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
