"""Reads the platform store through storage instances where that suffices.

The store counts each call; with a watch or two per process, a few dozen
processes would cause some hundred calls a second. The store may also reject
some instances and serve the others; without another way to read it, such an
instance would go on with an old configuration and send work to endpoints that
have left.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_keeper.direct import DirectReads
from rattanmill_keeper.joint import WATCH_SECONDS, JointWatch
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import (
    StoreItems,
    StoreList,
    StoreWatch,
    Unsure,
)
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
_LIST_TIMEOUT_SECONDS = 1.0
# Timeout of the one member that is asked first. If all processes have just
# started, it may not be there yet, while the store is.
_FIRST_LIST_TIMEOUT_SECONDS = 0.2
# One of the own domain and one of another.
_MAX_UNSURE_MEMBERS = 2
_MAX_ASKED_PER_DOMAIN = 2
_REPLY_TIMEOUT_SECONDS = 0.4
# Bound of a direct watch if no member relays; one may do so again soon.
_DIRECT_WATCH_SECONDS = 1.0


class RelayedKv:
    """A key-value service, read through members or directly.

    Attributes:
        members: The storage instances, once they are known.
        relayed: Whether the last reply came through a member.
        turn: Counter that selects the member to use next.
        direct_reads: When to read mirrored prefixes from the service.
        prefixes_with_missing: Prefixes whose last list contains missing keys
            that may be gone.
        joint: The watch that all mirrored prefixes share.

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
        self.direct_reads = DirectReads()
        self.prefixes_with_missing: set[str] = set()
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
        asked_at = loop_seconds()
        first = await self._list_first(message)
        reply = first or await self._ask_others(
            message, _LIST_TIMEOUT_SECONDS, lambda: self.direct.list(prefix)
        )
        self.prefixes_with_missing.discard(prefix)
        if not isinstance(reply, StoreItems):
            return reply
        if reply.waits:
            self.prefixes_with_missing.add(prefix)
        entries = [
            Entry(item.key, item.value or b"", item.revision)
            for item in reply.items
        ]
        return Range(entries, reply.revision, _proved_at(reply, asked_at))

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Waits for changes after a revision.

        A prefix that was listed with missing keys is read again once the grace
        period of all of them is over: their removal has a revision that was
        reported before, so no watch reports it.
        """

        def watch_directly() -> Awaitable:
            # Shorter if a member can take over again.
            is_short = self.relayed or prefix in self.mirrored
            watch_seconds = (
                min(seconds, _DIRECT_WATCH_SECONDS) if is_short else seconds
            )
            return self.direct.watch(prefix, after, watch_seconds)

        message = StoreWatch(prefix, after, WATCH_SECONDS)
        asked_at = loop_seconds()
        first = None
        if prefix in self.mirrored:
            first = await self._wait_relayed(message)
        if first is not None:
            self._set_relayed(True, message)
        reply = first or await self._ask_others(
            message, WATCH_SECONDS + _REPLY_TIMEOUT_SECONDS, watch_directly
        )
        if not isinstance(reply, StoreItems):
            return reply
        if reply.waits > after:
            self.prefixes_with_missing.add(prefix)
        elif not reply.waits and prefix in self.prefixes_with_missing:
            return HistoryLost()
        changes = [(item.key, item.value) for item in reply.items]
        return WatchEvents(
            changes, reply.revision, proved_at=_proved_at(reply, asked_at)
        )

    async def _wait_relayed(self, message: StoreWatch) -> StoreItems | None:
        """Waits for changes at one member, or at the next if it is unsure.

        A member that has just begun to read the prefix does not know earlier
        changes, which the readers of other domains do.
        """
        for _ in range(_MAX_UNSURE_MEMBERS):
            reply = await self.joint.wait(message.prefix, message.after)
            if reply is None:
                self.direct_reads.record_silent()
            if not isinstance(reply, Unsure):
                return reply
        return None

    async def _ask_others(
        self,
        message: StoreList | StoreWatch,
        seconds: float,
        ask_directly: Callable[[], Awaitable[_Direct]],
    ) -> StoreItems | _Direct:
        """Sends a request to the service itself, and then to some members.

        Args:
            message: The request to members.
            seconds: The timeout of a member.
            ask_directly: Sends the same request to the service.
        """
        direct_reply: _Direct | Unavailable = Unavailable("asked just before")
        is_mirrored = message.prefix in self.mirrored
        if not is_mirrored or self.direct_reads.may_read(loop_seconds()):
            direct_reply = await ask_directly()
            if isinstance(direct_reply, Unavailable):
                self.direct_reads.record_failure(loop_seconds())
        if not isinstance(direct_reply, Unavailable):
            self.direct_reads.record_reply()
            self._set_relayed(False, message)
            return direct_reply
        reply = await self._ask_readers(message, seconds)
        return direct_reply if reply is None else reply

    def _set_relayed(self, relayed: bool, message: msgspec.Struct) -> None:
        if relayed and not self.relayed:
            log_event("store_relayed", kind=type(message).__name__)
        if self.relayed and not relayed:
            log_event("store_direct", kind=type(message).__name__)
        self.relayed = relayed

    async def _list_first(self, message: StoreList) -> StoreItems | None:
        """Sends a list request to a member if the prefix is mirrored."""
        if message.prefix not in self.mirrored:
            return None
        await self._wait_for_members(message.prefix)
        for _ in range(_MAX_UNSURE_MEMBERS):
            member = self._choose()
            if member is None:
                return None
            reply = await self.members.link(member).ask(
                message, _FIRST_LIST_TIMEOUT_SECONDS
            )
            if isinstance(reply, StoreItems):
                self._set_relayed(True, message)
                return reply
            if reply is None:
                self.direct_reads.record_silent()
                return None
        return None

    async def _wait_for_members(self, prefix: str) -> None:
        """Waits until the members are known, unless they are to be listed.

        A process that has just started lists all prefixes at once.
        """
        if self.members is None or prefix == self.members.watch.prefix:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_FIRST_LIST_TIMEOUT_SECONDS):
                await self.members.watch.first_answer.wait()

    def _choose(self) -> Member | None:
        """Alternates between a member of this domain and one of the others.

        A member that has lost the store and has not noticed yet reports no
        changes. The next member, one wait later, does. All processes use the
        same member of a domain, so that few members read the store.
        """
        if self.members is None:
            return None
        self.turn += 1
        domains = dict(self.members.readers())
        near = [self._first(domains.pop(self.domain, []))]
        far = [self._first(domains[name]) for name in sorted(domains)]
        turns = (near, far) if self.turn % 2 else (far, near)
        chosen = [list(filter(None, firsts)) for firsts in turns]
        usable = chosen[0] or chosen[1]
        return usable[self.turn // 2 % len(usable)] if usable else None

    def _first(self, members: Iterable[Member]) -> Member | None:
        """Returns the first member that replied to its last request."""
        responsive = (m for m in members if not self.members.link(m).failures)
        return next(responsive, None)

    async def _ask_readers(
        self, message: msgspec.Struct, seconds: float
    ) -> StoreItems | None:
        """Sends a request to some members and returns the first reply.

        Not to all of a large system: each would begin to read the store.
        """
        if self.members is None or not self.members.known:
            return None
        asked = [
            member
            for members in self.members.readers().values()
            for member in members[:_MAX_ASKED_PER_DOMAIN]
        ]
        requests = [
            asyncio.ensure_future(self.members.link(m).ask(message, seconds))
            for m in asked
        ]
        has_replied = False
        try:
            for next_one in asyncio.as_completed(requests):
                reply = await next_one
                if isinstance(reply, StoreItems):
                    self._set_relayed(True, message)
                    return reply
                has_replied = has_replied or reply is not None
        finally:
            for request in requests:
                request.cancel()
        self.direct_reads.record_members(has_replied, loop_seconds())
        return None


def _proved_at(reply: StoreItems, asked_at: float) -> float:
    """Returns the loop time before which a reply lacks no change.

    The request arrived later than it was sent, so this is never too late.
    """
    return float("-inf") if reply.lead is None else asked_at + reply.lead
