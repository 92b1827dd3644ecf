"""Reads the platform's store through a storage instance, when it must.

The store may turn some instances away and serve the others. Without another
way, such an instance goes on with an old configuration and sends work to
endpoints that have left.
"""

import asyncio

import msgspec

from rattanmill_core import log_event
from rattanmill_keeper.members import Members
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

_LIST_SECONDS = 1.0
# A watch through another instance is short: that one may be cut off as well.
_WATCH_SECONDS = 1.0
_ANSWER_SECONDS = 0.7


class RelayedKv:
    """A key-value service asked directly, and else through a member.

    Args:
        direct: The service.
    """

    def __init__(self, direct: KeyValue) -> None:
        self.direct = direct
        self.members: Members | None = None
        self.relayed = False

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
        listed = await self.direct.list(prefix)
        if not isinstance(listed, Unavailable):
            self._direct_again()
            return listed
        reply = await self._ask_members(StoreList(prefix), _LIST_SECONDS)
        if reply is None:
            return listed
        entries = [
            Entry(item.key, item.value or b"", item.revision)
            for item in reply.items
        ]
        return Range(entries, reply.revision)

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Waits for changes after a revision."""
        seen = await self.direct.watch(
            prefix,
            after,
            min(seconds, _WATCH_SECONDS) if self.relayed else seconds,
        )
        if not isinstance(seen, Unavailable):
            self._direct_again()
            return seen
        reply = await self._ask_members(
            StoreWatch(prefix, after, _WATCH_SECONDS),
            _WATCH_SECONDS + _ANSWER_SECONDS,
        )
        if reply is None:
            return seen
        return WatchEvents(
            [(item.key, item.value) for item in reply.items], reply.revision
        )

    def _direct_again(self) -> None:
        if self.relayed:
            log_event("store_direct")
        self.relayed = False

    async def _ask_members(
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
                    if not self.relayed:
                        log_event("store_relayed", kind=type(message).__name__)
                    self.relayed = True
                    return reply
        finally:
            for ask in asks:
                ask.cancel()
        return None
