"""Which instances hold the accounts of those that were decommissioned."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from rattanmill_keeper.members import Members
from rattanmill_keeper.turns import ChangeLog, SuccessorEntry

# A slow store replies in 0.2 s.
_PUBLISH_TIMEOUT_SECONDS = 1.0


async def _publish_nowhere(predecessors: tuple[str, ...]) -> bool:
    return True


class Succession:
    """Predecessors and the successor of this storage instance.

    Attributes:
        appointed: The instance that was asked to hold this one's accounts in
            its place, and may do so; empty if none was.
        saved: ``Members.successors`` as on disk.
        announced: Instances whose accounts this one holds for them, as the
            store lists them.
        publish: Writes these to the registration and returns whether the store
            holds them.

    Args:
        name: Name of this instance.
        members: The storage instances.
        intake: Changes for the instances that follow this one.
        save: Writes the roster, and returns once it is on disk.
    """

    def __init__(
        self,
        name: str,
        members: Members,
        intake: ChangeLog,
        save: Callable[[], Awaitable],
    ) -> None:
        self.name = name
        self.members = members
        self.intake = intake
        self.save = save
        self.appointed = ""
        self.saved: dict[str, str] = {}
        self.announced: tuple[str, ...] = ()
        self.publish: Callable[[tuple[str, ...]], Awaitable[bool]] = (
            _publish_nowhere
        )

    @property
    def has_successor(self) -> bool:
        """Whether another instance holds the accounts of this one.

        A new machine may have the name of one that was decommissioned.
        """
        return self.name in self.members.successors

    @property
    def is_complete(self) -> bool:
        """Whether this run has a successor, also after a restart."""
        return bool(self.appointed) and self.has_successor

    def includes(self, names: list[str]) -> bool:
        """Whether this instance holds the accounts of all of these."""
        return set(names).issubset(self.members.predecessors(self.name))

    async def learn(self, successors: dict[str, str]) -> None:
        """Records successors; returns once all that are known are on disk."""
        for name, successor in successors.items():
            self.members.learn_successor(name, successor)
        self.tell_followers()
        known = dict(self.members.successors)
        if known != self.saved:
            await self.save()
            self.saved = known

    def tell_followers(self) -> None:
        """Lets followers learn the successors that the store listed."""
        for name in self.members.successors:
            if SuccessorEntry(name) not in self.intake.positions:
                self.intake.add(SuccessorEntry(name))

    async def appoint(self, name: str) -> None:
        """Records, also on disk, who may hold this instance's accounts.

        After a restart it must not record anything in its place.
        """
        self.appointed = name
        await self.save()

    async def announce(self) -> bool:
        """Returns whether the store lists whose accounts are held here."""
        wanted = tuple(self.members.predecessors(self.name))
        if wanted == self.announced:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PUBLISH_TIMEOUT_SECONDS):
                if await self.publish(wanted):
                    self.announced = wanted
        return wanted == self.announced
