"""Steps about the age of the configuration, in virtual time."""

import asyncio
import random

import msgspec
from behave import given, then, when

from rattanmill_keeper import Member, Members, RelayedKv
from rattanmill_keeper.mirror import Mirrors
from rattanmill_platform import (
    Entry,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
)
from support.virtual import advance_clock, run_virtually

_PREFIX = "config"
_BOUND_SECONDS = 5.0
_HISTORY_SECONDS = 60.0
_STEP_SECONDS = 0.05
_MAX_MIRROR_AGE_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 1.7
_LINK_TIMEOUT_SECONDS = 0.9
_DOMAINS = ("east", "west", "north")


def _now():
    return asyncio.get_running_loop().time()


class Network:
    """Delays and losses of messages, drawn from a seed.

    Attributes:
        is_bad: Whether messages are late or lost at present.
    """

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.is_bad = False

    async def pass_on(self):
        """Delays a message; returns whether it arrives."""
        slowest = 1.2 if self.is_bad else 0.01
        await asyncio.sleep(self.draw.uniform(0.0, slowest))
        return not self.is_bad or self.draw.random() > 0.3

    async def exchange(self, call, seconds):
        """Sends a request and its reply; None if either is lost or late."""
        try:
            async with asyncio.timeout(seconds):
                if not await self.pass_on():
                    await asyncio.sleep(seconds)
                reply = await call()
                if not await self.pass_on():
                    await asyncio.sleep(seconds)
                return reply
        except TimeoutError:
            return None


class ConfigStore:
    """The store, with the only valid key as its configuration.

    Attributes:
        history: Time from which on each key is valid, oldest first.
    """

    def __init__(self):
        self.history = [(_now(), b"0")]
        self.changed = asyncio.Event()

    def revoke(self):
        """Replaces the valid key."""
        self.history.append((_now(), b"%d" % len(self.history)))
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def revision(self):
        """Number of changes."""
        return len(self.history)

    async def list(self):
        """Reads the configuration."""
        entry = Entry(_PREFIX, self.history[-1][1], self.revision)
        return Range([entry], self.revision)

    async def watch(self, after, seconds):
        """Waits for the next configuration."""
        if after >= self.revision:
            try:
                async with asyncio.timeout(seconds):
                    await self.changed.wait()
            except TimeoutError:
                return WatchEvents([], self.revision)
        changes = [(_PREFIX, self.history[-1][1])]
        return WatchEvents(changes, self.revision)

    def revoked_seconds(self, key):
        """Returns for how long a key has been revoked."""
        later = self.history[int(key) + 1 :]
        return _now() - later[0][0] if later else 0.0


class StoreClient:
    """The store as one process reaches it."""

    def __init__(self, store, network):
        self.store = store
        self.network = network

    async def list(self, prefix):
        """Reads the configuration."""
        reply = await self.network.exchange(
            self.store.list, _CALL_TIMEOUT_SECONDS
        )
        return reply or Unavailable("no reply")

    async def watch(self, prefix, after, seconds):
        """Waits for the next configuration."""
        reply = await self.network.exchange(
            lambda: self.store.watch(after, seconds), seconds + 0.7
        )
        return reply or Unavailable("no reply")


class StorageLink:
    """A front end's link to a storage instance that mirrors the store."""

    def __init__(self, mirrors, network):
        self.mirrors = mirrors
        self.network = network
        self.failures = 0

    async def ask(self, message, seconds):
        """Returns the reply as decoded from its own copy."""
        reply = await self.network.exchange(
            lambda: self.mirrors.serve(message),
            min(seconds, _LINK_TIMEOUT_SECONDS),
        )
        self.failures = 0 if reply else self.failures + 1
        return msgspec.structs.replace(reply) if reply else None


class StorageInstances(Members):
    """Storage instances, each with its own way to the store."""

    def __init__(self, kv, links):
        super().__init__(kv)
        self.known = {n: Member(n, n, f"{n}:1", "run") for n in links}
        self.links = links

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


class FrontEndView:
    """A front end's view of the configuration.

    Attributes:
        key: The key that is valid as far as it knows.
        worst_seconds: Longest time for which an accepted key was revoked.
        accepted: Number of looks at which it accepted a key.
        looks: Number of looks.
    """

    def __init__(self, seed, make_watch, make_relay):
        self.draw = random.Random(seed)
        self.seed = seed
        self.make_watch = make_watch
        self.make_relay = make_relay
        self.key = b""
        self.worst_seconds = 0.0
        self.accepted = 0
        self.looks = 0

    async def run(self):
        """Plays one history."""
        store = ConfigStore()
        networks = [Network(f"{self.seed}/{i}") for i in range(7)]
        links = {}
        for at, domain in enumerate(_DOMAINS):
            mirrors = Mirrors(
                StoreClient(store, networks[at]),
                {_PREFIX: _MAX_MIRROR_AGE_SECONDS},
            )
            links[domain] = StorageLink(mirrors, networks[3 + at])
        direct = StoreClient(store, networks[6])
        kv = self.make_relay(direct, "east", (_PREFIX,))
        kv.members = StorageInstances(kv, links)
        watch = self.make_watch(
            kv, _PREFIX, 2.5, self._on_config, lambda key: None
        )
        async with watch:
            for _ in range(round(_HISTORY_SECONDS / _STEP_SECONDS)):
                self._disturb(store, networks)
                await asyncio.sleep(_STEP_SECONDS)
                self._look(store, watch)

    def _on_config(self, key, value):
        self.key = value

    def _disturb(self, store, networks):
        if self.draw.random() < 0.02:
            store.revoke()
        for network in networks:
            if self.draw.random() < 0.02:
                network.is_bad = not network.is_bad
        if self.draw.random() < 0.003:
            advance_clock(self.draw.uniform(0.5, 4.0))

    def _look(self, store, watch):
        self.looks += 1
        if _now() - watch.proved_at <= _BOUND_SECONDS:
            self.accepted += 1
            revoked = store.revoked_seconds(self.key)
            self.worst_seconds = max(self.worst_seconds, revoked)


class WatchFromArrival(PrefixWatch):
    """Counts the age from the arrival of the answer, which is wrong."""

    def _record_proof(self, proved_at, called_at):
        super()._record_proof(_now(), called_at)


class RelayFromArrival(RelayedKv):
    """Counts a storage instance's age from the arrival here: wrong."""

    async def watch(self, prefix, after, seconds):
        """Returns the changes, as if they were as new as their arrival."""
        found = await super().watch(prefix, after, seconds)
        if isinstance(found, WatchEvents) and found.proved_at is not None:
            return msgspec.structs.replace(found, proved_at=_now())
        return found


_WRONG = {
    "the arrival of the answer": (WatchFromArrival, RelayedKv),
    "the arrival of the relayed answer": (PrefixWatch, RelayFromArrival),
}


def _play(context, make_watch, make_relay):
    context.views = [
        FrontEndView(seed, make_watch, make_relay)
        for seed in range(context.count)
    ]
    for view in context.views:
        run_virtually(view.run())


@given("{count:d} random histories of revocations, delays, outages and stops")
def step_histories(context, count):
    context.count = count


@when("a front end reads the configuration through storage instances")
def step_read(context):
    _play(context, PrefixWatch, RelayedKv)


@when("a front end reads the configuration and counts its age from {start}")
def step_read_wrong(context, start):
    _play(context, *_WRONG[start])


def _worst_seconds(context):
    return max(view.worst_seconds for view in context.views)


@then(
    "it never accepts a key that was revoked more than {seconds:d} seconds ago"
)
def step_never(context, seconds):
    assert _worst_seconds(context) <= seconds, _worst_seconds(context)


@then("it accepts a key that was revoked more than {seconds:d} seconds ago")
def step_accepts(context, seconds):
    assert _worst_seconds(context) > seconds, _worst_seconds(context)


@then("it accepts the valid key most of the time")
def step_most(context):
    accepted = sum(view.accepted for view in context.views)
    looks = sum(view.looks for view in context.views)
    assert accepted > looks / 2, (accepted, looks)
