"""Reads the platform's store through storage instances where that is enough.

The store counts each call, and with a watch or two for each process it would
count some hundred a second for a few dozen processes. It may also turn some
instances away and serve the others; without another way, such an instance goes
on with an old configuration and sends work to endpoints that have left.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import msgspec

from rattanmill_core import log_event
from rattanmill_keeper.joint import WATCH_SECONDS, JointWatch
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import StoreItems, StoreList, StoreWatch
from rattanmill_platform import (
    Conflict,
    Entry,
    Found,
    HistoryLost,
    KeyValue,
    Missing,
    Range,
    Unavailable,
    WatchEvents,
    Written,
)

_Direct = TypeVar("_Direct")
_LIST_SECONDS = 1.0
_ANSWER_SECONDS = 0.7
# Directly, for want of a member; one may be there again soon.
_DIRECT_SECONDS = 1.0


class RelayedKv:
    """A key-value service, asked through members or directly.

    Attributes:
        members: The storage instances, once they are known.
        relayed: Whether the last answer came through one.
        waiting: Prefixes of which one has listed keys that may be gone.

    Args:
        direct: The service.
        domain: Failure domain of this instance.
        mirrored: Prefixes that are read through members first.
    """

    def __init__(
        self, direct: KeyValue, domain: str, mirrored: tuple[str, ...]
    ) -> None:
        self.direct = direct
        self.domain = domain
        self.mirrored = mirrored
        self.members: Members | None = None
        self.relayed = False
        self.turn = 0
        self.waiting: set[str] = set()
        self.joint = JointWatch(
            self._choose, lambda member: self.members.link(member)
        )

    async def read(self, key: str) -> Found | Missing | Unavailable:
        """Reads one key."""
        return await self.direct.read(key)

    async def write(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Written | Conflict | Unavailable:
        """Writes if the key's revision is ``expect``."""
        return await self.direct.write(key, value, expect, lease)

    async def grant(self, seconds: float) -> str | Unavailable:
        """Creates a lease."""
        return await self.direct.grant(seconds)

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renews a lease."""
        return await self.direct.renew(lease)

    async def revoke(self, lease: str) -> None:
        """Ends a lease."""
        await self.direct.revoke(lease)

    async def list(self, prefix: str) -> Range | Unavailable:
        """Reads all keys under a prefix."""
        message = StoreList(prefix)
        first = await self._list_first(message)
        said = first or await self._ask_others(
            message, _LIST_SECONDS, lambda: self.direct.list(prefix)
        )
        self.waiting.discard(prefix)
        if not isinstance(said, StoreItems):
            return said
        if said.waits:
            self.waiting.add(prefix)
        entries = [
            Entry(item.key, item.value or b"", item.revision)
            for item in said.items
        ]
        return Range(entries, said.revision)

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Waits for changes after a revision.

        Keys that were listed though they may be gone are read again when a
        member waits for none any more: the revision of their removal was told
        before, so no watch reports it.
        """

        def watch_directly() -> Awaitable:
            # Shorter where a member can take over again.
            is_short = self.relayed or prefix in self.mirrored
            most = min(seconds, _DIRECT_SECONDS) if is_short else seconds
            return self.direct.watch(prefix, after, most)

        message = StoreWatch(prefix, after, WATCH_SECONDS)
        first = None
        if prefix in self.mirrored:
            first = await self.joint.wait(prefix, after)
        if first is not None:
            self._came(True, message)
        said = first or await self._ask_others(
            message, WATCH_SECONDS + _ANSWER_SECONDS, watch_directly
        )
        if not isinstance(said, StoreItems):
            return said
        if said.waits > after:
            self.waiting.add(prefix)
        elif not said.waits and prefix in self.waiting:
            return HistoryLost()
        changes = [(item.key, item.value) for item in said.items]
        return WatchEvents(changes, said.revision)

    async def _ask_others(
        self,
        message: StoreList | StoreWatch,
        seconds: float,
        ask_directly: Callable[[], Awaitable[_Direct]],
    ) -> StoreItems | _Direct:
        """Asks the service itself, and then all members.

        Args:
            message: What members are asked.
            seconds: How long a member may take.
            ask_directly: Asks the service the same.
        """
        said = await ask_directly()
        if not isinstance(said, Unavailable):
            self._came(False, message)
            return said
        reply = await self._ask_all(message, seconds)
        return said if reply is None else reply

    def _came(self, relayed: bool, message: msgspec.Struct) -> None:
        if relayed and not self.relayed:
            log_event("store_relayed", kind=type(message).__name__)
        if self.relayed and not relayed:
            log_event("store_direct", kind=type(message).__name__)
        self.relayed = relayed

    async def _list_first(self, message: StoreList) -> StoreItems | None:
        """Asks one member, if the prefix is read so."""
        member = self._choose() if message.prefix in self.mirrored else None
        if member is None:
            return None
        reply = await self.members.link(member).ask(message, _LIST_SECONDS)
        if not isinstance(reply, StoreItems):
            return None
        self._came(True, message)
        return reply

    def _choose(self) -> Member | None:
        """Chooses a member of this domain and others by turns.

        One that is cut off from the store, and does not know yet, has nothing
        new to tell. The next one, a wait later, has. The first of each domain
        is asked for signs of life most often.
        """
        if self.members is None:
            return None
        self.turn += 1
        domains = self.members.writable_domains()
        near = [self._first(domains.pop(self.domain, []))]
        far = [self._first(domains[name]) for name in sorted(domains)]
        turns = (near, far) if self.turn % 2 else (far, near)
        chosen = [list(filter(None, firsts)) for firsts in turns]
        there = chosen[0] or chosen[1]
        return there[self.turn // 2 % len(there)] if there else None

    def _first(self, members: Iterable[Member]) -> Member | None:
        """Returns the first member that answered when it was last asked."""
        answering = (m for m in members if not self.members.link(m).failures)
        return next(answering, None)

    async def _ask_all(
        self, message: msgspec.Struct, seconds: float
    ) -> StoreItems | None:
        """Asks all members at once and takes the first answer."""
        if self.members is None or not self.members.known:
            return None
        asks = [
            asyncio.ensure_future(self.members.link(m).ask(message, seconds))
            for m in self.members.known.values()
        ]
        try:
            for next_one in asyncio.as_completed(asks):
                reply = await next_one
                if isinstance(reply, StoreItems):
                    self._came(True, message)
                    return reply
        finally:
            for ask in asks:
                ask.cancel()
        return None
