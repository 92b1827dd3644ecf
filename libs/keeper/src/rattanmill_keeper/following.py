"""Follows the other storage instances, and fetches what is missing here.

One mechanism fills an empty or replaced disk, heals a cut, and spreads turns
that only one failure domain could take.
"""

import asyncio
import functools
from typing import Self

import msgspec

from rattanmill_core import log_event, loop_seconds, start_loop
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.members import Member, Members, rank
from rattanmill_keeper.messages import (
    AccountRef,
    Accounts,
    FetchAccounts,
    FetchTurns,
    Follow,
    News,
    TurnRef,
    Turns,
)

_POLL_SECONDS = 0.5
_ASK_SECONDS = 1.0
_FETCH_TURNS = 40
# Chains of some minutes, 0.2 KB each.
_MOST_KEYS = 5_000
# With an empty disk and nobody to follow, others may only be slow to start;
# after this the only storage instance has to go on with what it has.
_ALONE_SECONDS = 60.0


class Progress(msgspec.Struct):
    """How far one member was followed.

    Attributes:
        run: Its run.
        position: Position up to which everything was taken.
        ended: Whether its end was reached once in that run.
        absent: Who it says may have something that was lost here.
    """

    run: str = ""
    position: int = 0
    has_caught_up: bool = False
    absent: frozenset[str] = frozenset()


class Follower:
    """Keeps one task for each other storage instance.

    Args:
        keeper: This instance.
        members: The storage instances.
    """

    def __init__(self, keeper: Keeper, members: Members) -> None:
        self.keeper = keeper
        self.members = members
        self.progress: dict[str, Progress] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.domain_peers: frozenset[str] = frozenset()
        self.started = asyncio.get_running_loop().time()
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("following", self._tend())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in [self.task, *self.tasks.values()]:
            if task:
                task.cancel()

    async def _tend(self) -> None:
        while True:
            for name in list(self.members.known):
                if name != self.keeper.name and name not in self.tasks:
                    self.tasks[name] = start_loop(
                        f"following of {name}", self._follow(name)
                    )
            self.update_domain_peers()
            if not self.keeper.is_recovered and self.is_complete():
                self.keeper.mark_recovered()
            await asyncio.sleep(_POLL_SECONDS / 2)

    def update_domain_peers(self) -> None:
        """Follows all anew when this instance has to hold other turns.

        Members of its domain share the turns. When one comes, goes or falls
        silent, turns that were passed over before may have to be here now.
        """
        sharing = self._sharing()
        if sharing == self.domain_peers:
            return
        self.domain_peers = sharing
        for progress in self.progress.values():
            progress.run = ""
            progress.has_caught_up = False
        log_event("share_reviewed", keepers=sorted(sharing))

    def _sharing(self) -> frozenset[str]:
        """Returns the members of this domain that can hold turns now.

        One that was replaced stays listed for some seconds. If it counted,
        its successor would pass over the turns that it had held, and with the
        next lost disk they would be gone.
        """
        mine = self.members.known.get(self.keeper.name)
        found = {self.keeper.name}
        for member in self.members.known.values():
            same = mine is not None and member.domain == mine.domain
            there = not self.members.link(member).failures
            if same and there and not member.leaving:
                found.add(member.name)
        return frozenset(found)

    def is_complete(self) -> bool:
        """Whether all that others know has come in."""
        if not self.members.synced or self.members.watch.away_since:
            return False
        others = [n for n in self.members.known if n != self.keeper.name]
        age = asyncio.get_running_loop().time() - self.started
        if not others:
            return age > _ALONE_SECONDS
        told = [self.progress.get(name, Progress()) for name in others]
        # One that is out of reach may be the only one with what was lost here.
        absent = set().union(*(each.absent for each in told)) - set(others)
        return all(each.has_caught_up for each in told) and not absent

    async def _follow(self, name: str) -> None:
        while True:
            member = self.members.known.get(name)
            more = False
            if member and not self.keeper.is_closed:
                more = await self.fetch_page(member)
            if not more:
                await asyncio.sleep(_POLL_SECONDS)

    async def fetch_page(self, member: Member) -> bool:
        """Takes the next page; whether there is more at once."""
        progress = self.progress.setdefault(member.name, Progress())
        link = self.members.link(member)
        began = loop_seconds()
        news = await link.ask(
            Follow(
                self.keeper.name,
                progress.run,
                progress.position,
                self.keeper.run,
            ),
            _ASK_SECONDS,
        )
        if not isinstance(news, News):
            return False
        if news.run != progress.run:
            log_event("following_anew", keeper=member.name, run=news.run)
            progress.has_caught_up = False
        self.members.expect_revision(news.revision)
        changes = [
            change
            for home in news.homes
            if (change := self.keeper.ledger.add_home(home))
        ]
        # At once, so that they share the journal's writes.
        await asyncio.gather(*map(self.keeper.write_home, changes))
        if not await self._fetch_accounts(member, news.accounts):
            return False
        if not await self._fetch(member, news.turns):
            return False
        progress.run = news.run
        progress.position = news.position
        progress.absent = frozenset(news.absent)
        if news.is_counted and not news.more:
            self.keeper.unsynced_peers.discard(member.name)
        if news.whole and not news.more:
            self.keeper.caught_up_at[member.name] = began
        if not news.more and not progress.has_caught_up:
            progress.has_caught_up = True
            log_event(
                "following_level", keeper=member.name, position=news.position
            )
        return news.more

    async def _fetch_accounts(
        self, member: Member, refs: list[AccountRef]
    ) -> bool:
        """Fetches the accounts that differ here; False if that failed."""
        ledger = self.keeper.ledger
        programs = [ref.program for ref in refs if not ledger.is_current(ref)]
        if not programs:
            return True
        link = self.members.link(member)
        reply = await link.ask(FetchAccounts(programs), 2 * _ASK_SECONDS)
        if not isinstance(reply, Accounts):
            return False
        await self.keeper.persist_accounts(reply.accounts)
        return True

    async def _fetch(self, member: Member, turns: list[TurnRef]) -> bool:
        """Fetches the turns that are missing here; False if that failed."""
        mine = [
            ref.turn
            for ref in turns
            if _keeper_of(ref.key, self.domain_peers) == self.keeper.name
        ]
        lacking = self.keeper.table.missing(mine)
        link = self.members.link(member)
        for start in range(0, len(lacking), _FETCH_TURNS):
            page = lacking[start : start + _FETCH_TURNS]
            reply = await link.ask(FetchTurns(page), 2 * _ASK_SECONDS)
            if not isinstance(reply, Turns):
                return False
            await asyncio.gather(*map(self.keeper.keep, reply.turns))
        if lacking:
            log_event("turns_fetched", keeper=member.name, count=len(lacking))
        return True


# Each turn is told by all that hold it, and the turns of a chain share a key.
@functools.lru_cache(_MOST_KEYS)
def _keeper_of(key: str, sharing: frozenset[str]) -> str:
    """Returns which of the members that share a domain's turns keeps a key."""
    return rank(key, sharing)[0]
