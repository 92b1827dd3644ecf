"""Empties this storage instance when operators ask for it.

It takes nothing new, sees to it that every turn of its own lies in the other
failure domains, hands its accounts over, and only then says that it is done:
from that moment its disk may be gone.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

import msgspec

from rattanmill_core import log_event, start_loop
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.members import Member, Members, Registration
from rattanmill_keeper.messages import (
    Account,
    Done,
    Keep,
    Lacking,
    Merge,
)
from rattanmill_platform import Found, KeyValue, PrefixWatch, Unavailable

_WAIT_SECONDS = 20.0
_ASK_SECONDS = 2.0
_PAUSE_SECONDS = 0.25
# Fronts learn within a watch's answer that nothing new goes here; what was on
# its way by then has come in.
_SETTLE_SECONDS = 0.6
_ACCOUNTS = 200


class DecommissionKeys(msgspec.Struct, frozen=True):
    """Where operators ask for it and how they are answered.

    Attributes:
        prefix: Prefix of the orders; the name of an instance follows.
        status_prefix: Prefix of the answers.
        running: What is written while it is under way.
        completed: What is written when it is over.
    """

    prefix: str
    status_prefix: str
    running: bytes
    completed: bytes


class Decommission:
    """Waits for the order and carries it out.

    Args:
        keeper: This instance.
        members: The storage instances.
        registration: This instance's registration.
        kv: The platform's store.
        orders: Where the order stands.
    """

    def __init__(
        self,
        keeper: Keeper,
        members: Members,
        registration: Registration,
        kv: KeyValue,
        orders: DecommissionKeys,
    ) -> None:
        self.keeper = keeper
        self.members = members
        self.registration = registration
        self.kv = kv
        self.orders = orders
        self.requested = asyncio.Event()
        self.watch = PrefixWatch(
            kv,
            orders.prefix + keeper.name,
            _WAIT_SECONDS,
            self.notice,
            lambda key: None,
        )
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        await self.watch.__aenter__()
        self.task = start_loop("emptying", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.watch.__aexit__()
        if self.task:
            self.task.cancel()

    def notice(self, key: str, value: bytes) -> None:
        """Takes an order; one for another may begin with this one's name."""
        if key == self.orders.prefix + self.keeper.name:
            self.requested.set()

    async def _run(self) -> None:
        await self.requested.wait()
        log_event("emptying_begun", turns=len(self.keeper.table.held))
        await self._say(self.orders.running)
        self.keeper.is_decommissioning = True
        await self._register(leaving=True)
        await asyncio.sleep(_SETTLE_SECONDS)
        await self._until(self._are_enough)
        await self.transfer_all()
        await self._until(self._is_followed)
        await self._register(emptied=True)
        await self._say(self.orders.completed)
        # Counted until its lease ends, it would keep others from being whole.
        await self.registration.end()
        log_event("emptying_done")
        await asyncio.Event().wait()

    async def _register(self, **state: bool) -> None:
        """Returns when the store lists this instance in a new state."""
        member = msgspec.structs.replace(self.registration.member, **state)
        self.registration.update(member)
        await self._until(self._is_listed)

    async def _is_listed(self) -> bool:
        mine = self.members.known.get(self.keeper.name)
        return mine == self.registration.member

    async def _are_enough(self) -> bool:
        """Whether the others can hold all that they should without this one.

        One that is out of reach may be the only other one with something, and
        one disk more may be lost as soon as this one is gone.
        """
        if not self.members.unlisted():
            return True
        domains = self.members.writable_domains()
        return len(domains) > self.members.tolerated_disk_losses

    async def _is_followed(self) -> bool:
        """Whether the others have all that was agreed to here.

        They do not count this instance any more once it is gone.
        """
        position = self.keeper.intake.position
        return all(
            self.keeper.follower_positions.get(name, -1) >= position
            for name, member in self.members.known.items()
            if not member.leaving and not self.members.link(member).failures
        )

    async def _until(self, step: Callable[[], Awaitable[bool]]) -> None:
        while True:
            if await step():
                return
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _say(self, value: bytes) -> None:
        """Writes the state; whoever empties a machine waits for it."""
        key = self.orders.status_prefix + self.keeper.name
        while True:
            found = await self.kv.read(key)
            if not isinstance(found, Unavailable):
                entry = found.entry if isinstance(found, Found) else None
                if entry and entry.value == value:
                    return
                await self.kv.write(key, value, entry.revision if entry else 0)
            await asyncio.sleep(_PAUSE_SECONDS)

    async def transfer_all(self) -> None:
        """Returns when the others have all, and nothing more is taken here.

        Fronts whose list lags go on sending turns and reservations. Taken,
        they would be gone with this disk.
        """
        await self._until(self.transfer_accounts)
        await self._until(self.replicate_turns)
        self.keeper.is_closed = True
        await self._until(self.transfer_accounts)
        await self._until(self.replicate_turns)

    async def transfer_accounts(self) -> bool:
        """Tells the other holders of accounts all; whether they know it."""
        by_holder: dict[str, list[Account]] = {}
        await self.keeper.close_shares()
        for account in self.keeper.ledger.accounts.values():
            for holder in account.place.holders:
                if holder in self.members.known and holder != self.keeper.name:
                    by_holder.setdefault(holder, []).append(account)
        for holder, accounts in by_holder.items():
            for start in range(0, len(accounts), _ACCOUNTS):
                page = accounts[start : start + _ACCOUNTS]
                if not await self._tell(self.members.known[holder], page):
                    return False
        return True

    async def _tell(self, holder: Member, accounts: list[Account]) -> bool:
        link = self.members.link(holder)
        reply = await link.ask(Merge(accounts), _ASK_SECONDS)
        log_event(
            "accounts_told",
            keeper=holder.name,
            count=len(accounts),
            outcome=type(reply).__name__,
        )
        return isinstance(reply, Done)

    async def replicate_turns(self) -> bool:
        """Sees to it that the others hold all turns; whether they do."""
        turns = self.keeper.table.held
        wanted: dict[str, list[str]] = {}
        for turn, held in turns.items():
            for replica in self.members.replicas(held.kept.key):
                wanted.setdefault(replica.name, []).append(turn)
        if turns and not wanted:
            return False
        for name, theirs in wanted.items():
            if not await self._push(self.members.known[name], theirs):
                return False
        return True

    async def _push(self, member: Member, turns: list[str]) -> bool:
        link = self.members.link(member)
        reply = await link.ask(Lacking(turns), _ASK_SECONDS)
        if not isinstance(reply, Lacking):
            return False
        for turn in self.keeper.table.get_many(reply.turns):
            if not isinstance(await link.ask(Keep(turn), _ASK_SECONDS), Done):
                return False
        return True
