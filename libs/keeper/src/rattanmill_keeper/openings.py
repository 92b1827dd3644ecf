"""Accounts that this instance opened with the platform store.

Such an account needs the consent of a few instances only. If one of these was
left out of the roster and another one is unreachable, all but one of the rest
know nothing of the account, and would open it a second time. So the instances
that know of such accounts are listed in the opener's registration before it
opens one, and the others leave none of them out. The list is withdrawn once
all others have fetched the accounts.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

from rattanmill_core import log_event

# The caller is waiting; a slow store replies in 0.2 s.
_PUBLISH_TIMEOUT_SECONDS = 0.3


async def _list_nowhere(informed: tuple[str, ...]) -> bool:
    return True


class StoreOpenings:
    """Keeps the list of instances that know what was opened with the store.

    Attributes:
        informed: Names that the registration has to list.
        is_listed: Whether the store certainly holds just these.
        running: Number of accounts that are being opened with the store.
        position: Position in the change log up to which the others must have
            followed before the list may be withdrawn.
        publish: Writes names to the registration and returns whether the store
            holds them.
        lock: Held while the registration changes.
    """

    def __init__(self) -> None:
        self.informed: frozenset[str] = frozenset()
        self.is_listed = True
        self.running = 0
        self.position = 0
        self.publish: Callable[[tuple[str, ...]], Awaitable[bool]] = (
            _list_nowhere
        )
        self.lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def announce(
        self, names: Iterable[str], current_position: Callable[[], int]
    ) -> AsyncIterator[bool]:
        """Lists instances while an account is opened with the store.

        Args:
            names: Instances that consent to the account.
            current_position: Returns the position of the change log.

        Yields:
            Whether the store lists them. If not, the account must not be
            opened.
        """
        self.running += 1
        try:
            yield await self._list(frozenset(names))
        finally:
            self.running -= 1
            self.position = current_position()

    async def _list(self, names: frozenset[str]) -> bool:
        async with self.lock:
            if self.is_listed and names <= self.informed:
                return True
            self.informed |= names
            await self._publish()
            return self.is_listed

    async def withdraw(self, followed: Iterable[int]) -> None:
        """Empties the list once all others have fetched the accounts.

        Args:
            followed: Position up to which each other instance has followed.
        """
        is_empty = self.is_listed and not self.informed
        if is_empty or self.running or self.lock.locked():
            return
        if min(followed, default=-1) < self.position:
            return
        async with self.lock:
            self.informed = frozenset()
            await self._publish()

    async def _publish(self) -> None:
        informed = tuple(sorted(self.informed))
        # Without a reply in time the store may hold these names or others.
        self.is_listed = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PUBLISH_TIMEOUT_SECONDS):
                self.is_listed = await self.publish(informed)
        log_event(
            "openings_listed", informed=informed, is_listed=self.is_listed
        )
