"""A fleet of front ends and storage instances that follow one store.

All of them run in one process in virtual time, with the real clients of the
store. Only what concerns the store is built: no account and no turn.
"""

import asyncio
import collections
import contextlib
import itertools
from typing import Any

import msgspec

from rattanmill_keeper import MEMBERS_PREFIX, Member, Members, RelayedKv
from rattanmill_keeper.mirror import Mirrors
from rattanmill_keeper.registration import Registration
from rattanmill_platform import (
    MISSING_KEY_GRACE_SECONDS,
    WATCH_SECONDS,
    Breaker,
    Entry,
    Found,
    HistoryLost,
    Missing,
    PrefixWatch,
    Range,
    Unavailable,
    WatchEvents,
    Written,
)

ENDPOINTS = "servers/"
_CONFIG = "op/config"
_DELAY_SECONDS = 0.002
# As the users' platform sets it.
_MAX_BREAKER_OPEN_SECONDS = 0.5
_JOINED_SECONDS = 5.0


class CountingStore:
    """The store; counts calls, and may reject some processes.

    Attributes:
        values: Value and revision by key.
        calls: Number of calls by kind and prefix.
        rejected: Names of processes whose calls fail.
        oldest: Revision after which the changes are known.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.events: list[tuple[int, str, bytes | None]] = []
        self.revision = 1
        self.oldest = 0
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.rejected: set[str] = set()
        self.change = asyncio.Event()

    def put(self, key: str, value: bytes) -> None:
        """Writes a key, and wakes the watches."""
        self.revision += 1
        self.values[key] = (value, self.revision)
        self.events.append((self.revision, key, value))
        self.wake()

    def remove(self, key: str) -> None:
        """Removes a key, and wakes the watches."""
        self.revision += 1
        self.values.pop(key, None)
        self.events.append((self.revision, key, None))
        self.wake()

    def forget_changes(self) -> None:
        """Drops the history, and wakes the watches."""
        self.revision += 1
        self.oldest = self.revision
        self.wake()

    def wake(self) -> None:
        """Wakes the watches."""
        self.change.set()
        self.change = asyncio.Event()

    def under(self, prefix: str) -> dict[str, bytes]:
        """Returns the values of all keys under a prefix."""
        return {
            key: value
            for key, (value, _) in self.values.items()
            if key.startswith(prefix)
        }

    def changes(
        self, prefix: str, after: int
    ) -> list[tuple[str, bytes | None]]:
        """Returns the changes under a prefix after a revision."""
        newer = itertools.takewhile(
            lambda event: event[0] > after, reversed(self.events)
        )
        found = [(k, value) for _, k, value in newer if k.startswith(prefix)]
        return found[::-1]


class StoreClient:
    """A process's client of the store, as ``KeyValue``."""

    def __init__(self, store: CountingStore, name: str) -> None:
        self.store = store
        self.name = name
        self.breaker = Breaker(_MAX_BREAKER_OPEN_SECONDS)

    async def _call(self, kind: str, key: str) -> bool:
        if not self.breaker.admits():
            return False
        self.store.calls[kind, key[: key.rfind("/") + 1]] += 1
        await asyncio.sleep(_DELAY_SECONDS)
        if self.name in self.store.rejected:
            self.breaker.record_failure("rejected")
            return False
        self.breaker.record_success()
        return True

    async def read(self, key: str) -> Found | Missing | Unavailable:
        """Reads one key."""
        if not await self._call("read", key):
            return Unavailable("rejected")
        if key not in self.store.values:
            return Missing()
        return Found(Entry(key, *self.store.values[key], "1"))

    async def list(self, prefix: str) -> Range | Unavailable:
        """Reads all keys under a prefix."""
        if not await self._call("list", prefix):
            return Unavailable("rejected")
        entries = [
            Entry(key, *found)
            for key, found in self.store.values.items()
            if key.startswith(prefix)
        ]
        return Range(entries, self.store.revision)

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Waits for changes after a revision."""
        if not await self._call("watch", prefix):
            return Unavailable("rejected")
        store = self.store
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while after >= store.oldest and not store.changes(
                    prefix, after
                ):
                    await store.change.wait()
                    if self.name in store.rejected:
                        break
        if self.name in store.rejected:
            return Unavailable("rejected")
        if after < store.oldest:
            return HistoryLost()
        return WatchEvents(store.changes(prefix, after), store.revision)

    async def write(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Written | Unavailable:
        """Writes a key."""
        if not await self._call("write", key):
            return Unavailable("rejected")
        self.store.put(key, value)
        return Written(self.store.revision)

    async def grant(self, seconds: float) -> str | Unavailable:
        """Creates a lease."""
        return "1" if await self._call("grant", "") else Unavailable("rejected")

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renews a lease, which costs a tenth of another call."""
        return await self._call("renew", "") or Unavailable("rejected")


class KeeperNode:
    """A storage instance: its registration, its members and its mirrors."""

    def __init__(self, store: CountingStore, name: str, domain: str) -> None:
        self.kv = StoreClient(store, name)
        self.members = Members(self.kv)
        self.mirrors = Mirrors(self.kv)
        self.member = Member(name, domain, f"{name}:1", "run-1")
        self.registration = Registration(self.kv, self.member)
        self.registration.is_listed = self.members.is_listed
        self.is_there = True


class NodeLink:
    """A link to a storage instance of the fleet."""

    def __init__(self, node: KeeperNode) -> None:
        self.node = node
        self.failures = 0

    def is_heard(self, seconds: float) -> bool:
        """Whether the instance replies."""
        return self.node.is_there

    def close(self) -> None:
        """Does nothing."""

    async def ask(self, message: msgspec.Struct, seconds: float) -> Any:
        """Returns the reply, or None after the timeout."""
        if not self.node.is_there:
            await asyncio.sleep(seconds)
            self.failures += 1
            return None
        await asyncio.sleep(_DELAY_SECONDS)
        reply = await self.node.mirrors.serve(message)
        await asyncio.sleep(_DELAY_SECONDS)
        self.failures = 0
        return reply


class FrontMembers(Members):
    """The storage instances of the fleet, as one front end knows them."""

    def __init__(self, fleet: "ReadingFleet", *args: Any) -> None:
        super().__init__(*args)
        self.fleet = fleet

    def link(self, member: Member) -> NodeLink:
        """Returns the link to a member."""
        if member.name not in self.links:
            self.links[member.name] = NodeLink(self.fleet.keepers[member.name])
        return self.links[member.name]


class FrontNode:
    """A front end: what it follows of the store."""

    def __init__(self, fleet: "ReadingFleet", name: str, domain: str) -> None:
        direct = StoreClient(fleet.store, name)
        self.kv = RelayedKv(direct, domain, fleet.relayed)
        self.members = FrontMembers(fleet, self.kv, lambda: None, direct)
        self.kv.members = self.members
        self.watches = [
            PrefixWatch(
                self.kv,
                prefix,
                WATCH_SECONDS,
                lambda key, value: None,
                lambda key: None,
                MISSING_KEY_GRACE_SECONDS,
            )
            for prefix in (_CONFIG, ENDPOINTS)
        ]


class ReadingFleet:
    """Front ends and storage instances that follow one store.

    Args:
        fronts: Number of front ends.
        keepers: Number of storage instances.
        domains: Number of failure domains.
        relayed: Prefixes that front ends read through storage instances.
    """

    def __init__(
        self,
        fronts: int,
        keepers: int,
        domains: int,
        relayed: tuple[str, ...] = (_CONFIG, ENDPOINTS, MEMBERS_PREFIX),
    ) -> None:
        self.store = CountingStore()
        self.relayed = relayed
        names = [f"domain-{number}" for number in range(domains)]
        self.keepers = {
            f"keeper-{n}": KeeperNode(
                self.store, f"keeper-{n}", names[n % domains]
            )
            for n in range(keepers)
        }
        self.fronts = [
            FrontNode(self, f"front-{n}", names[n % domains])
            for n in range(fronts)
        ]
        self.stack = contextlib.AsyncExitStack()
        self.changes = 0

    @property
    def processes(self) -> int:
        """Number of processes."""
        return len(self.fronts) + len(self.keepers)

    async def __aenter__(self) -> "ReadingFleet":
        self.store.put(_CONFIG, b"1")
        for number in range(10):
            self.store.put(f"{ENDPOINTS}endpoint-{number}", b"0")
        for node in self.keepers.values():
            await self.stack.enter_async_context(node.members)
            await self.stack.enter_async_context(node.registration)
            await self.stack.enter_async_context(node.mirrors)
        for front in self.fronts:
            await self.stack.enter_async_context(front.members)
            for watch in front.watches:
                await self.stack.enter_async_context(watch)
        await asyncio.sleep(_JOINED_SECONDS)
        self.store.calls.clear()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stack.__aexit__(*exc_info)

    def change_endpoint(self) -> None:
        """Changes the entry of an endpoint."""
        self.changes += 1
        key = f"{ENDPOINTS}endpoint-{self.changes % 10}"
        self.store.put(key, str(self.changes).encode())

    def register_anew(self, number: int) -> None:
        """Lets a storage instance register as a new run."""
        node = self.keepers[f"keeper-{number % len(self.keepers)}"]
        node.member = msgspec.structs.replace(
            node.member, run=f"{node.member.run}+"
        )
        node.registration.update(node.member)

    def remove_readers(self, domains: int) -> None:
        """Ends the instances that read the store for some domains."""
        readers = self.fronts[0].members.readers()
        for name in sorted(readers)[:domains]:
            self.keepers[readers[name][0].name].is_there = False

    def weighted_calls(self) -> float:
        """Returns the calls so far; a renewal counts as a tenth."""
        calls = self.store.calls
        renewals = calls["renew", ""]
        return calls.total() - 0.9 * renewals

    def fronts_outdated(self) -> int:
        """Returns how many front ends do not know all endpoints."""
        endpoints = self.store.under(ENDPOINTS)
        return sum(f.watches[1].values != endpoints for f in self.fronts)

    def fronts_lacking(self) -> int:
        """Returns how many front ends do not know all entries."""
        endpoints = self.store.under(ENDPOINTS)
        members = self.store.under(MEMBERS_PREFIX)
        return sum(
            front.watches[1].values != endpoints
            or front.members.watch.values != members
            for front in self.fronts
        )
