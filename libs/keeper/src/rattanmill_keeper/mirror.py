"""What a storage instance follows of the platform's store for fronts.

The store counts each call, a waiting watch as one, and each change answers
all watches. Fronts read through a storage instance, which has one watch for
all of them; a front that hears nothing there asks the store itself.
"""

import asyncio
import collections
import contextlib
import itertools
from typing import Self

import msgspec

from rattanmill_core import loop_seconds
from rattanmill_keeper.members import PREFIX, REGISTRATION_GRACE_SECONDS
from rattanmill_keeper.messages import (
    StoreItem,
    StoreItems,
    StoreList,
    StoreWatch,
    Unsure,
)
from rattanmill_platform import (
    BACK_SECONDS,
    WATCH_SECONDS,
    KeyValue,
    PrefixWatch,
)

# A watch answers when its time is over. One that is overdue may be behind.
_FRESH_SECONDS = 3.4
# Some minutes of changes; a front asks each second.
_MOST_CHANGES = 2_000


class Change(msgspec.Struct, frozen=True):
    """A change under a prefix.

    Attributes:
        revision: The store's revision when it was heard of.
        key: Key.
        value: New value, or None if the key was removed.
    """

    revision: int
    key: str
    value: bytes | None


class Mirror:
    """One prefix as it was last heard, and its changes for those who wait.

    Attributes:
        watch: Follows the prefix.
        changes: Newest changes, oldest first.
        floor: Revision from which on all changes are at hand.

    Args:
        kv: The platform's store.
        prefix: What to follow.
        grace_seconds: How long a missing key may take to come back.
        news: Set at each change; several mirrors may share it.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        grace_seconds: float = BACK_SECONDS,
        news: asyncio.Event | None = None,
    ) -> None:
        # A missing entry is not passed on before its grace is over: a live
        # endpoint would be taken for gone.
        self.watch = PrefixWatch(
            kv,
            prefix,
            WATCH_SECONDS,
            self._add,
            lambda key: self._add(key, None),
            grace_seconds,
        )
        self.changes: collections.deque[Change] = collections.deque()
        self.floor: int | None = None
        self.news = news or asyncio.Event()

    @property
    def is_fresh(self) -> bool:
        """Whether what stands here is what the store has, but for moments."""
        age = loop_seconds() - self.watch.heard_at
        return (
            self.watch.synced
            and self.watch.away_since is None
            and age < _FRESH_SECONDS
        )

    @property
    def waits(self) -> int:
        """Revision at which keys were missing that may be back soon, or 0."""
        return self.watch.missing_from if self.watch.missing else 0

    def list_all(self) -> StoreItems | Unsure:
        """Returns all keys, also those that may be back soon."""
        if not self.is_fresh:
            return Unsure("the store does not answer here either")
        if self.floor is None:
            self.floor = self.watch.revision
        there = self.watch.values | self.watch.missing
        items = [StoreItem(key, value, 0) for key, value in there.items()]
        return StoreItems(items, self.watch.revision, self.waits)

    async def wait(self, after: int, seconds: float) -> StoreItems | Unsure:
        """Returns changes after a revision, once there are any.

        Also once a missing key is waited for no more: its removal is of a
        revision that was told before.
        """
        await wait_for_news(self.news, {self: after}, seconds)
        return self.tell(after)

    def tell(self, after: int) -> StoreItems | Unsure:
        """Returns changes after a revision, as far as there are any."""
        if not self.is_fresh:
            return Unsure("the store does not answer here either")
        if self.floor is None or after < self.floor:
            return Unsure("what was changed since is not at hand")
        items = [StoreItem(c.key, c.value, 0) for c in self._since(after)]
        revision = max(after, self.watch.revision)
        return StoreItems(items, revision, self.waits)

    def has_news(self, after: int, waited: int) -> bool:
        """Whether one who waits has to be answered.

        Args:
            after: Revision up to which the changes are known.
            waited: ``waits`` when the wait began.
        """
        return (
            not self.is_fresh or bool(self._since(after)) or self.waits < waited
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
        if self.floor is None:
            self.floor = revision
        self.changes.append(Change(revision, key, value))
        while len(self.changes) > _MOST_CHANGES:
            self.floor = self.changes.popleft().revision
        self.news.set()


async def wait_for_news(
    news: asyncio.Event, asked: dict[Mirror, int], seconds: float
) -> None:
    """Returns once one of several mirrors has news, or the time is over.

    Args:
        news: What all of them set.
        asked: Revision up to which the changes are known, by mirror.
        seconds: How long to wait.
    """
    waited = {mirror: mirror.waits for mirror in asked}
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while not any(
                mirror.has_news(after, waited[mirror])
                for mirror, after in asked.items()
            ):
                news.clear()
                await news.wait()


class Mirrors:
    """Mirrors of the prefixes that fronts ask for.

    Args:
        kv: The platform's store.
    """

    def __init__(self, kv: KeyValue) -> None:
        self.kv = kv
        self.mirrors: dict[str, Mirror] = {}
        self.news = asyncio.Event()
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        await self.stack.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.stack.__aexit__(*exc_info)

    async def serve(self, ask: StoreList | StoreWatch) -> StoreItems | Unsure:
        """Answers a front."""
        mirror = await self._mirror(ask.prefix)
        if isinstance(ask, StoreList):
            return mirror.list_all()
        others = {
            await self._mirror(prefix): after
            for prefix, after in ask.others.items()
        }
        asked = {mirror: ask.after, **others}
        await wait_for_news(self.news, asked, ask.seconds)
        said = mirror.tell(ask.after)
        if isinstance(said, StoreItems):
            said.others = _tell_all(others)
        return said

    async def _mirror(self, prefix: str) -> Mirror:
        mirror = self.mirrors.get(prefix)
        if mirror is None:
            grace = (
                REGISTRATION_GRACE_SECONDS if prefix == PREFIX else BACK_SECONDS
            )
            mirror = Mirror(self.kv, prefix, grace, self.news)
            self.mirrors[prefix] = mirror
            await self.stack.enter_async_context(mirror.watch)
        return mirror


def _tell_all(asked: dict[Mirror, int]) -> dict[str, StoreItems]:
    """Returns the changes under each prefix of which something is known."""
    told = {
        mirror.watch.prefix: mirror.tell(after)
        for mirror, after in asked.items()
    }
    return {
        prefix: said
        for prefix, said in told.items()
        if isinstance(said, StoreItems)
    }
