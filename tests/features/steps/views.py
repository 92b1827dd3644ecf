"""Steps about decisions based on a stale or partial view."""

import asyncio
import random

from behave import given, then, when

from rattanmill_forward import Endpoint
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_keeper import Member, Members, RelayedKv
from rattanmill_keeper.mirror import Mirrors
from rattanmill_platform import (
    BACK_SECONDS,
    Entry,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
)
from support.virtual import run_virtually

_LOOK_SECONDS = 0.05
_LATE_SECONDS = 0.9
# Pauses are random; which process reads the store first after an outage depends
# on them.
_SEEDS = 30


class WatchedStore:
    """The platform store with its history; can be unavailable.

    Attributes:
        values: Values by key.
        events: All changes, as revision, key and value.
        is_unavailable: Whether all calls fail.
    """

    def __init__(self):
        self.values = {}
        self.events = []
        self.revision = 1
        self.is_unavailable = False
        self.change_event = asyncio.Event()

    def put(self, key, value):
        """Writes or, with None, removes a key."""
        self.revision += 1
        self.events.append((self.revision, key, value))
        self.values[key] = value
        if value is None:
            del self.values[key]
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def list(self, prefix):
        """Reads all keys."""
        if self.is_unavailable:
            return Unavailable("unreachable")
        found = [Entry(key, v, 0) for key, v in self.values.items()]
        return Range(found, self.revision)

    async def watch(self, prefix, after, seconds):
        """Waits for changes after a revision."""
        for _ in range(round(seconds / _LOOK_SECONDS)):
            if self.is_unavailable:
                return Unavailable("unreachable")
            found = [(k, v) for at, k, v in self.events if at > after]
            if found:
                return WatchEvents(found, self.revision)
            await asyncio.sleep(_LOOK_SECONDS)
        return WatchEvents([], self.revision)


class LateStore:
    """The store for a process that receives changes later than others."""

    def __init__(self, store):
        self.list = store.list
        self.store = store

    async def watch(self, prefix, after, seconds):
        """Returns changes with a delay."""
        events = await self.store.watch(prefix, after, seconds)
        await asyncio.sleep(_LATE_SECONDS)
        return events


class MirrorLink:
    """A link to a storage instance that mirrors the store."""

    failures = 0

    def __init__(self, kv):
        self.mirrors = Mirrors(kv)

    async def ask(self, message, seconds):
        """Returns the reply."""
        return await self.mirrors.serve(message)


class MirrorMembers(Members):
    """Storage instances that relay the store; the last one is late."""

    def __init__(self, kv, names):
        super().__init__(kv)
        self.known = {n: Member(n, n, f"{n}:1", "run") for n in names}
        self.links = {n: MirrorLink(kv) for n in names}
        self.links[names[-1]] = MirrorLink(LateStore(kv))

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


@given(
    'a front end that watches "{prefix}" through storage instances "{names}"'
)
def step_front(context, prefix, names):
    context.prefix = prefix
    context.names = names.split(", ")
    context.register_again = None


@when(
    "the store was unreachable for {seconds:d} seconds and the entry of"
    ' "{name}" is missing after it'
)
def step_outage(context, seconds, name):
    context.away_seconds = seconds
    context.missing = context.prefix + name


@when('"{name}" registers again {seconds:f} seconds after its return')
def step_register_again(context, name, seconds):
    context.register_again = (context.prefix + name, seconds)


def _endpoint(key, prefix):
    return Endpoint(
        key.removeprefix(prefix), "s", "east", "1.2.3.4:5", 1, False
    )


async def _run(context, seconds):
    """Returns what the front end knows at times after the store's return."""
    store = WatchedStore()
    store.put(context.prefix + "one", b"one")
    store.put(context.prefix + "two", b"two")
    kv = RelayedKv(store, "east", (context.prefix,))
    kv.members = MirrorMembers(store, context.names)
    registry = EndpointRegistry()
    watch = PrefixWatch(
        kv,
        context.prefix,
        2.5,
        lambda key, value: registry.update(_endpoint(key, context.prefix)),
        lambda key: registry.remove(key.removeprefix(context.prefix)),
        BACK_SECONDS,
    )
    again = context.register_again
    now = asyncio.get_running_loop().time
    found = []
    async with watch:
        await asyncio.sleep(2.0)
        store.is_unavailable = True
        await asyncio.sleep(context.away_seconds)
        store.put(context.missing, None)
        # Without its history, this removal looks like an entry that expired
        # during the outage.
        store.events.clear()
        store.is_unavailable = False
        back = now()
        tick = 0
        while now() - back < seconds:
            await asyncio.sleep(_LOOK_SECONDS)
            tick += 1
            if tick % 8 == 0:
                store.put(context.prefix + "two", b"two")
            if again and now() - back >= again[1]:
                store.put(again[0], b"again")
                again = None
            found.append((now() - back, set(registry.endpoints)))
        for link in kv.members.links.values():
            await link.mirrors.__aexit__(None, None, None)
    return found


def runs(context, seconds):
    """Yields what front ends know in several runs, by time since the return."""
    for seed in range(_SEEDS):
        random.seed(seed)
        yield seed, run_virtually(_run(context, seconds))


@then('{seconds:f} seconds after its return the front end still knows "{name}"')
def step_still(context, seconds, name):
    for seed, found in runs(context, seconds):
        assert name in found[-1][1], (seed, found[-1])


@then('{seconds:f} seconds after its return the front end knows only "{name}"')
def step_only(context, seconds, name):
    for seed, found in runs(context, seconds):
        assert found[-1][1] == {name}, (seed, found[-1])


@then(
    "from {first:f} to {last:f} seconds after its return the front end knows"
    ' "{names}"'
)
def step_from_to(context, first, last, names):
    for seed, found in runs(context, last):
        wrong = [
            (at, known)
            for at, known in found
            if at >= first and known != set(names.split(", "))
        ]
        assert not wrong, (seed, wrong[:5])


class CutDomain:
    """A front end's view of a domain that is cut off.

    Attributes:
        silences: Seconds without a reply of the listed storage instances, by
            domain.
        is_reachable: Whether a connection attempt succeeds.
    """

    def __init__(self, name):
        self.name = name
        self.silences = {name: 10.0}
        self.is_reachable = False

    async def run(self, phases):
        """Runs phases of changes and seconds; returns the domains cut off."""

        async def try_domain(domain):
            return self.is_reachable

        domains = DomainMonitor("east", lambda: self.silences, try_domain)
        watch = asyncio.create_task(domains.run())
        await asyncio.sleep(1.0)
        assert self.name in domains.unreachable
        for change, seconds in phases:
            change()
            await asyncio.sleep(seconds)
        watch.cancel()
        return domains.unreachable


@given('a front end that considers "{name}" cut off')
def step_has_cut(context, name):
    context.domain = CutDomain(name)
    context.phases = []


@when(
    'the storage instances of "{name}" are not listed any more for'
    " {seconds:d} seconds"
)
def step_not_listed(context, name, seconds):
    def unlist():
        context.domain.silences.clear()

    context.phases.append((unlist, seconds))


@when('endpoints of "{name}" can be reached again for {seconds:d} second')
def step_reached(context, name, seconds):
    def reach():
        context.domain.is_reachable = True

    context.phases.append((reach, seconds))


@then('"{name}" is still considered cut off')
def step_still_cut(context, name):
    assert name in run_virtually(context.domain.run(context.phases))
    context.domain = CutDomain(name)


@then('"{name}" is not considered cut off')
def step_not_cut(context, name):
    assert name not in run_virtually(context.domain.run(context.phases))
