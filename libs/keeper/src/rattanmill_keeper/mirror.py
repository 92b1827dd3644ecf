"""Mirrors of prefixes of the platform store that front ends read.

The store counts each call, also a pending watch, and each change completes all
watches. Front ends therefore read through a storage instance, which has one
watch for all of them; a front end that gets no reply there reads the store
itself.
"""

import asyncio
import collections
import contextlib
import itertools
from typing import Self

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_keeper.members import (
    MEMBERS_PREFIX,
    MEMBERS_WATCH_SECONDS,
    REGISTRATION_GRACE_SECONDS,
)
from rattanmill_keeper.messages import (
    StoreItem,
    StoreItems,
    StoreList,
    StoreWatch,
    Unsure,
)
from rattanmill_platform import (
    MISSING_KEY_GRACE_SECONDS,
    WATCH_SECONDS,
    KeyValue,
    PrefixWatch,
)

# A watch completes when its timeout is over. If it is overdue by this much, the
# mirror may be stale.
_MAX_DELAY_SECONDS = 0.9
# Some minutes of changes; a front end sends a request each second.
_MAX_CHANGES = 2_000
# A list takes the store a few milliseconds, or 0.2 s if it is slow.
_FIRST_ANSWER_TIMEOUT_SECONDS = 0.15
# Requests for a prefix come each half second. They stop when another instance
# takes over, which reads the store from then on.
_IDLE_SECONDS = 10.0


class Change(msgspec.Struct, frozen=True):
    """A change under a prefix.

    Attributes:
        revision: The store's revision when the change was received.
        key: Key.
        value: New value, or None if the key was removed.
    """

    revision: int
    key: str
    value: bytes | None


class Mirror:
    """The last known state of one prefix, and its recent changes.

    Attributes:
        watch: Watches the prefix.
        changes: Newest changes, oldest first.
        history_start: Revision from which on all changes are available.
        change_event: Set at each change.
        used_at: Loop time of the last request.

    Args:
        kv: The platform store.
        prefix: The prefix to watch.
        grace_seconds: How long a missing key may take to come back.
        wait_seconds: How long a watch waits for changes.
        change_event: Event to set at each change; several mirrors may share
            it.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        grace_seconds: float = MISSING_KEY_GRACE_SECONDS,
        wait_seconds: float = WATCH_SECONDS,
        change_event: asyncio.Event | None = None,
    ) -> None:
        # A missing entry is reported only after its grace period: otherwise a
        # live endpoint would be considered removed.
        self.watch = PrefixWatch(
            kv,
            prefix,
            wait_seconds,
            self._add,
            lambda key: self._add(key, None),
            grace_seconds,
        )
        self.changes: collections.deque[Change] = collections.deque()
        self.history_start: int | None = None
        self.change_event = change_event or asyncio.Event()
        self.used_at = loop_seconds()

    @property
    def is_fresh(self) -> bool:
        """Whether the mirror is at most moments behind the store."""
        age = loop_seconds() - self.watch.answered_at
        return (
            self.watch.synced
            and self.watch.unavailable_since is None
            and age < self.watch.wait_seconds + _MAX_DELAY_SECONDS
        )

    @property
    def missing_revision(self) -> int:
        """Revision at which keys were missing that may come back, or 0."""
        return self.watch.missing_revision if self.watch.missing else 0

    def list_all(self) -> StoreItems | Unsure:
        """Returns all keys, including missing ones that may come back."""
        if not self.is_fresh:
            return Unsure("the store is unreachable from here, too")
        if self.history_start is None:
            self.history_start = self.watch.revision
        entries = self.watch.values | self.watch.missing
        items = [StoreItem(key, value, 0) for key, value in entries.items()]
        return StoreItems(items, self.watch.revision, self.missing_revision)

    async def wait(self, after: int, seconds: float) -> StoreItems | Unsure:
        """Returns changes after a revision, once there are any.

        Also returns once the grace period of a missing key is over: its
        removal has a revision that was reported before.
        """
        await wait_for_change(self.change_event, {self: after}, seconds)
        return self.changes_after(after)

    def changes_after(self, after: int) -> StoreItems | Unsure:
        """Returns the changes after a revision, if any."""
        if not self.is_fresh:
            return Unsure("the store is unreachable from here, too")
        if self.history_start is None or after < self.history_start:
            return Unsure("changes since that revision are not available")
        items = [StoreItem(c.key, c.value, 0) for c in self._since(after)]
        revision = max(after, self.watch.revision)
        return StoreItems(items, revision, self.missing_revision)

    def with_lead(
        self, reply: StoreItems | Unsure, arrived_at: float
    ) -> StoreItems | Unsure:
        """Sets how old a reply is, relative to the arrival of its request."""
        if isinstance(reply, StoreItems):
            reply.lead = self.watch.proved_at - arrived_at
        return reply

    def must_reply(self, after: int, missing_revision: int) -> bool:
        """Whether a pending watch request has to be answered.

        Args:
            after: Revision up to which the client knows the changes.
            missing_revision: ``missing_revision`` when the request began.
        """
        return (
            not self.is_fresh
            or bool(self._since(after))
            or self.missing_revision < missing_revision
        )

    def _since(self, after: int) -> list[Change]:
        newer = list(
            itertools.takewhile(
                lambda change: change.revision > after, reversed(self.changes)
            )
        )
        newer.reverse()
        return newer

    def _add(self, key: str, value: bytes | None) -> None:
        revision = self.watch.revision
        if self.history_start is None:
            self.history_start = revision
        self.changes.append(Change(revision, key, value))
        while len(self.changes) > _MAX_CHANGES:
            self.history_start = self.changes.popleft().revision
        self.change_event.set()


async def wait_for_change(
    change_event: asyncio.Event, revisions: dict[Mirror, int], seconds: float
) -> None:
    """Returns once one of several mirrors must reply, or after a timeout.

    Args:
        change_event: Event that all of the mirrors set.
        revisions: Revision up to which the changes are known, by mirror.
        seconds: The timeout.
    """
    missing = {mirror: mirror.missing_revision for mirror in revisions}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not any(
                mirror.must_reply(after, missing[mirror])
                for mirror, after in revisions.items()
            ):
                change_event.clear()
                await change_event.wait()


class Mirrors:
    """Mirrors of the prefixes that front ends request.

    Attributes:
        mirrors: Mirrors by prefix.
        change_event: Set at each change of any of them.

    Args:
        kv: The platform store.
        max_ages: Age in seconds that a mirror of a prefix may reach while the
            store answers, by prefix, where that is shorter than usual.
    """

    def __init__(
        self, kv: KeyValue, max_ages: dict[str, float] | None = None
    ) -> None:
        self.kv = kv
        self.max_ages = max_ages or {}
        self.mirrors: dict[str, Mirror] = {}
        self.change_event = asyncio.Event()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for prefix in list(self.mirrors):
            await self._close(prefix)

    async def close_unused(self) -> None:
        """Stops reading the prefixes that are not requested any more."""
        oldest = loop_seconds() - _IDLE_SECONDS
        for prefix, mirror in list(self.mirrors.items()):
            if mirror.used_at < oldest:
                await self._close(prefix)

    async def _close(self, prefix: str) -> None:
        mirror = self.mirrors.pop(prefix)
        await mirror.watch.__aexit__()
        log_event("store_read_ended", prefix=prefix)

    async def serve(
        self, request: StoreList | StoreWatch
    ) -> StoreItems | Unsure:
        """Returns the reply to a front end's request."""
        arrived_at = loop_seconds()
        mirror = await self._mirror(request.prefix)
        if isinstance(request, StoreList):
            return mirror.with_lead(mirror.list_all(), arrived_at)
        others = {
            await self._mirror(prefix): after
            for prefix, after in request.others.items()
        }
        revisions = {mirror: request.after, **others}
        await wait_for_change(self.change_event, revisions, request.seconds)
        reply = mirror.with_lead(
            mirror.changes_after(request.after), arrived_at
        )
        if isinstance(reply, StoreItems):
            reply.others = _changes_by_prefix(others, arrived_at)
        return reply

    def _new_mirror(self, prefix: str) -> Mirror:
        event = self.change_event
        if prefix != MEMBERS_PREFIX:
            # A watch proves something only when it ends.
            wait_seconds = min(
                WATCH_SECONDS, self.max_ages.get(prefix, WATCH_SECONDS)
            )
            return Mirror(
                self.kv,
                prefix,
                wait_seconds=wait_seconds,
                change_event=event,
            )
        # A front end learns by other ways, too, that the list has changed.
        return Mirror(
            self.kv,
            prefix,
            REGISTRATION_GRACE_SECONDS,
            MEMBERS_WATCH_SECONDS,
            event,
        )

    async def _mirror(self, prefix: str) -> Mirror:
        mirror = self.mirrors.get(prefix)
        if mirror is None:
            mirror = self._new_mirror(prefix)
            self.mirrors[prefix] = mirror
            await mirror.watch.__aenter__()
            log_event("store_read_begun", prefix=prefix)
        mirror.used_at = loop_seconds()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_FIRST_ANSWER_TIMEOUT_SECONDS):
                await mirror.watch.first_answer.wait()
        return mirror


def _changes_by_prefix(
    revisions: dict[Mirror, int], arrived_at: float
) -> dict[str, StoreItems]:
    """Returns the changes under each prefix whose mirror is up to date."""
    replies = {
        mirror.watch.prefix: mirror.with_lead(
            mirror.changes_after(after), arrived_at
        )
        for mirror, after in revisions.items()
    }
    return {
        prefix: reply
        for prefix, reply in replies.items()
        if isinstance(reply, StoreItems)
    }
