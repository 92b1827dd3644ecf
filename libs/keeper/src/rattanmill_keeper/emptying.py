"""Decommissions this storage instance when operators request it.

The instance rejects new data, makes sure that the other failure domains hold
every turn that it holds, transfers its accounts, and only then reports that it
is done: from that moment on its disk may be gone.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Self

import msgspec

from rattanmill_core import log_event, start_loop, warn_event
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import (
    Account,
    Done,
    Keep,
    Lacking,
    Merge,
    Succeed,
    Succeeded,
    Unsure,
)
from rattanmill_keeper.registration import Registration
from rattanmill_keeper.replicas import rank
from rattanmill_platform import Found, KeyValue, PrefixWatch, Unavailable

_WATCH_SECONDS = 20.0
_REQUEST_TIMEOUT_SECONDS = 2.0
_PAUSE_SECONDS = 0.25
# Front ends learn within the time of one watch that this instance accepts no
# new data; requests that were in flight by then have arrived.
_SETTLE_SECONDS = 0.6
_ACCOUNTS_PER_PAGE = 200


class DecommissionKeys(msgspec.Struct, frozen=True):
    """The store's keys and values for requests of operators and replies.

    Attributes:
        prefix: Prefix of the requests; the name of an instance follows.
        status_prefix: Prefix of the states; the name of an instance follows.
        running: State while the decommissioning is in progress.
        completed: State when it is done.
    """

    prefix: str
    status_prefix: str
    running: bytes
    completed: bytes


class Decommission:
    """Waits for a request to decommission this instance and carries it out.

    Attributes:
        declined: Instances that can't hold the accounts in its place now.

    Args:
        keeper: This instance.
        members: The storage instances.
        registration: This instance's registration.
        kv: The platform store.
        keys: The keys of requests and states.
    """

    def __init__(
        self,
        keeper: Keeper,
        members: Members,
        registration: Registration,
        kv: KeyValue,
        keys: DecommissionKeys,
    ) -> None:
        self.keeper = keeper
        self.members = members
        self.registration = registration
        self.kv = kv
        self.keys = keys
        self.requested = asyncio.Event()
        self.watch = PrefixWatch(
            kv,
            keys.prefix + keeper.name,
            _WATCH_SECONDS,
            self.on_request,
            lambda key: None,
        )
        self.declined: set[str] = set()
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        await self.watch.__aenter__()
        self.task = start_loop("emptying", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.watch.__aexit__()
        if self.task:
            self.task.cancel()

    def on_request(self, key: str, value: bytes) -> None:
        """Accepts a request, unless it is for a name that begins with ours."""
        if key == self.keys.prefix + self.keeper.name:
            self.requested.set()

    async def _run(self) -> None:
        await self.requested.wait()
        log_event("emptying_begun", turns=len(self.keeper.table.held))
        await self._write_state(self.keys.running)
        if not self._can_be_spared():
            self._log_waiting()
        await self._until(self._begin_leaving)
        await self.transfer_all()
        await self._until(self._have_others_followed)
        await self._register(emptied=True)
        await self._write_state(self.keys.completed)
        # If it still counted until its lease ends, others could not recover.
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

    async def _begin_leaving(self) -> bool:
        """Announces that this instance leaves, if it can be spared.

        Of several that are ordered to leave at once, the others may be too few
        without them. Then all but the first one by name stay for now.
        """
        if not self._can_be_spared():
            return False
        self.keeper.is_decommissioning = True
        await self._register(leaving=True)
        await asyncio.sleep(_SETTLE_SECONDS)
        if not self._can_be_spared():
            self._log_waiting()
        while not self._can_be_spared():
            if self._is_another_first():
                await self._register(leaving=False)
                self.keeper.is_decommissioning = False
                return False
            await asyncio.sleep(_PAUSE_SECONDS)
        return True

    def _log_waiting(self) -> None:
        log_event(
            "emptying_waits",
            staying=[member.name for member in self._staying()],
            needed=self.members.copies,
        )

    def _can_be_spared(self) -> bool:
        """Whether the others can hold all required copies without this one.

        One more disk may be lost as soon as this instance is gone.
        """
        return len(self._staying()) >= self.members.copies

    def _staying(self) -> list[Member]:
        """Returns the other members that accept new data."""
        return [
            member
            for name, member in self.members.known.items()
            if name != self.keeper.name and not member.leaving
        ]

    def _is_another_first(self) -> bool:
        leaving = [
            name
            for name, member in self.members.known.items()
            if member.leaving and not member.emptied
        ]
        return min(leaving) != self.keeper.name

    async def _have_others_followed(self) -> bool:
        """Whether the others have fetched everything that was agreed to here.

        They don't count this instance any more once it is gone.
        """
        position = self.keeper.intake.position
        reached = [
            member
            for member in self._staying()
            if not self.members.link(member).failures
        ]
        return len(reached) >= self.members.copies and all(
            self.keeper.follower_positions.get(member.name, -1) >= position
            for member in reached
        )

    async def _until(self, step: Callable[[], Awaitable[bool]]) -> None:
        """Repeats a step until it returns True."""
        while True:
            if await step():
                return
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _write_state(self, value: bytes) -> None:
        """Writes the state, for which the operator's tool waits."""
        key = self.keys.status_prefix + self.keeper.name
        while True:
            found = await self.kv.read(key)
            if not isinstance(found, Unavailable):
                entry = found.entry if isinstance(found, Found) else None
                if entry and entry.value == value:
                    return
                await self.kv.write(key, value, entry.revision if entry else 0)
            await asyncio.sleep(_PAUSE_SECONDS)

    async def transfer_all(self) -> None:
        """Returns when the others hold all data and writes are rejected here.

        Front ends with a stale list of members go on sending turns and
        reservations. If accepted, these would be lost with this disk.
        """
        await self._until(self._has_recovered)
        await self._until(self.transfer_accounts)
        await self._until(self.replicate_turns)
        self.keeper.is_closed = True
        await self._until(self.transfer_accounts)
        await self._until(self.replicate_turns)
        await self._until(self.appoint_successor)

    async def _has_recovered(self) -> bool:
        """Whether a successor would get all that was recorded here."""
        return self.keeper.is_recovered or bool(
            self.keeper.succession.appointed
        )

    async def appoint_successor(self) -> bool:
        """Has another instance hold all accounts in place of this one.

        Once one was asked to, no other one is: it may do so without a reply.

        Returns:
            Whether one does so, or none can.
        """
        keeper = self.keeper
        if keeper.succession.has_successor:
            return True
        was_appointed = bool(keeper.succession.appointed)
        name = keeper.succession.appointed or self._choose_successor()
        member = self.members.known.get(name)
        if member is None:
            return self._has_no_candidate(name)
        run = await self._send_all(member)
        if run is None:
            self.declined.add(name)
            return False
        if not was_appointed:
            await keeper.succession.appoint(name)
        reply = await self._ask_successor(member, run)
        if isinstance(reply, Unsure) and not was_appointed:
            # This one request was sent, and it was refused.
            self.declined.add(name)
            await keeper.succession.appoint("")
        if not isinstance(reply, Succeeded) or not reply.is_listed:
            return False
        await keeper.succession.learn(dict.fromkeys(self._names(), name))
        return True

    def _has_no_candidate(self, name: str) -> bool:
        """Whether no instance is left that could hold the accounts."""
        if not name and self.declined:
            self.declined.clear()
            return False
        # If it was asked and is lost, so is what it held, as with any holder.
        warn_event("successor_missing", keeper=name)
        return True

    def _names(self) -> list[str]:
        """Returns the instances whose accounts this one holds."""
        name = self.keeper.name
        return [name, *self.members.predecessors(name)]

    async def _send_all(self, member: Member) -> str | None:
        """Sends all accounts; returns the receiver's run, or None if it fails.

        If its disk were lost in between, its run would be another one.
        """
        run = ""
        accounts = list(self.keeper.ledger.accounts.values())
        for start in range(0, len(accounts), _ACCOUNTS_PER_PAGE):
            page = accounts[start : start + _ACCOUNTS_PER_PAGE]
            reply = await self._ask_successor(member, run, page)
            if not isinstance(reply, Succeeded):
                return None
            run = reply.run
        for granted in self._granted_pages():
            reply = await self._ask_successor(member, run, [], granted)
            if not isinstance(reply, Succeeded):
                return None
            run = reply.run
        return run

    def _granted_pages(self) -> list[dict[str, dict[str, int]]]:
        """Returns what was granted alone, in pages, by instance and program."""
        pages = []
        for name, tokens in self.keeper.ledger.all_granted().items():
            items = list(tokens.items())
            pages += [
                {name: dict(items[start : start + _ACCOUNTS_PER_PAGE])}
                for start in range(0, len(items), _ACCOUNTS_PER_PAGE)
            ]
        return pages

    async def _ask_successor(
        self,
        member: Member,
        run: str,
        page: list[Account] | None = None,
        granted: dict[str, dict[str, int]] | None = None,
    ) -> msgspec.Struct | None:
        """Sends a page of accounts, or asks to hold all that were sent."""
        message = Succeed(
            self.keeper.name,
            run,
            self._names(),
            page or [],
            page is None,
            granted or {},
            self.keeper.granted_known_from(),
        )
        link = self.members.link(member)
        reply = await link.ask(message, _REQUEST_TIMEOUT_SECONDS)
        log_event(
            "successor_asked",
            keeper=member.name,
            count=len(message.accounts),
            is_last=message.is_last,
            outcome=type(reply).__name__,
        )
        return reply

    def _choose_successor(self) -> str:
        """Chooses an instance that holds few of the accounts itself.

        One that takes a second place counts once, and two in one failure
        domain may be unreachable at once. All accounts get the same successor.

        Returns:
            Its name, or an empty string if there is none.
        """
        mine = self.members.known.get(self.keeper.name)
        candidates = {
            member.name: member
            for member in self._staying()
            if member.name not in self.members.successors
            and member.name not in self.declined
        }
        order = rank(self.keeper.name, candidates)
        held, in_domain = self._count_other_holders()
        return min(
            order,
            key=lambda name: (
                bool(self.members.link(candidates[name]).failures),
                in_domain[candidates[name].domain],
                held[name],
                mine is None or candidates[name].domain != mine.domain,
                order.index(name),
            ),
            default="",
        )

    def _count_other_holders(
        self,
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        """Counts accounts by their other holders, and by domains of these."""
        held: collections.Counter[str] = collections.Counter()
        in_domain: collections.Counter[str] = collections.Counter()
        known = self.members.known
        for account in self.keeper.ledger.accounts.values():
            others = set(self.members.owners(account.place.holders))
            others.discard(self.keeper.name)
            held.update(others)
            in_domain.update(
                {known[name].domain for name in others if name in known}
            )
        return held, in_domain

    async def transfer_accounts(self) -> bool:
        """Sends each account to its other holders; False if one failed."""
        by_holder: dict[str, list[Account]] = {}
        await self.keeper.close_shares()
        for account in self.keeper.ledger.accounts.values():
            for holder in self.members.owners(account.place.holders):
                if holder in self.members.known and holder != self.keeper.name:
                    by_holder.setdefault(holder, []).append(account)
        for holder, accounts in by_holder.items():
            for start in range(0, len(accounts), _ACCOUNTS_PER_PAGE):
                page = accounts[start : start + _ACCOUNTS_PER_PAGE]
                if not await self._send(self.members.known[holder], page):
                    return False
        return True

    async def _send(self, holder: Member, accounts: list[Account]) -> bool:
        link = self.members.link(holder)
        reply = await link.ask(Merge(accounts), _REQUEST_TIMEOUT_SECONDS)
        log_event(
            "accounts_told",
            keeper=holder.name,
            count=len(accounts),
            outcome=type(reply).__name__,
        )
        return isinstance(reply, Done)

    async def replicate_turns(self) -> bool:
        """Sends turns to replicas that lack them; False if one failed."""
        turns = self.keeper.table.held
        wanted: dict[str, list[str]] = {}
        for turn, held in turns.items():
            replicas = self.members.replicas(held.kept.key)
            if len(replicas) < self.members.copies:
                return False
            for replica in replicas:
                wanted.setdefault(replica.name, []).append(turn)
        for name, theirs in wanted.items():
            if not await self._push(self.members.known[name], theirs):
                return False
        return True

    async def _push(self, member: Member, turns: list[str]) -> bool:
        link = self.members.link(member)
        reply = await link.ask(Lacking(turns), _REQUEST_TIMEOUT_SECONDS)
        if not isinstance(reply, Lacking):
            return False
        for turn in reply.turns:
            kept = self.keeper.table.get(turn)
            # It may have expired since.
            if kept and not isinstance(
                await link.ask(Keep(kept), _REQUEST_TIMEOUT_SECONDS), Done
            ):
                return False
        return True
