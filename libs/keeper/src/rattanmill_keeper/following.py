"""Replicates data from the other storage instances to this one.

One mechanism fills an empty or replaced disk, catches up after a partition, and
replicates turns that could be stored in one failure domain only.
"""

import asyncio
import functools
import itertools
from typing import Self

import msgspec

from rattanmill_core import log_event, loop_seconds, start_loop
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.members import Member, Members
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
from rattanmill_keeper.replicas import choose_replicas

_POLL_SECONDS = 0.5
_REQUEST_TIMEOUT_SECONDS = 1.0
_MAX_FETCHED_TURNS = 40
# Chains of some minutes, 0.2 KB each.
_MAX_CACHED_KEYS = 5_000
# With an empty disk and no other instance to follow, the others may only be
# slow to start; after this time the only storage instance has to go on with
# the data that it has.
_LONE_INSTANCE_SECONDS = 60.0


class Layout(msgspec.Struct, frozen=True):
    """Which members share the turns.

    Attributes:
        domains: Names of the members, by failure domain. If there are enough
            domains, only that of this instance.
        copies: Number of these members that store each turn.
        predecessors: Instances whose accounts this one holds for them.
    """

    domains: frozenset[tuple[str, frozenset[str]]] = frozenset()
    copies: int = 1
    predecessors: tuple[str, ...] = ()


class Progress(msgspec.Struct):
    """How far one member was followed.

    Attributes:
        run: Its run.
        position: Position up to which everything was fetched.
        has_caught_up: Whether the end was reached at least once in that run.
        absent: Absent members that, as it reports, may hold data that was lost
            here.
        is_first_run: Whether it had never seen this instance before its
            current run.
    """

    run: str = ""
    position: int = 0
    has_caught_up: bool = False
    absent: frozenset[str] = frozenset()
    is_first_run: bool = False


class Follower:
    """Follows each other storage instance in a task of its own.

    Attributes:
        progress: How far each member was followed, by name.
        tasks: The tasks, by name of the member.
        layout: The members that share the turns, including this instance.

    Args:
        keeper: This instance.
        members: The storage instances.
    """

    def __init__(self, keeper: Keeper, members: Members) -> None:
        self.keeper = keeper
        self.members = members
        self.progress: dict[str, Progress] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.layout = Layout()
        self.started_at = asyncio.get_running_loop().time()
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("following", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in [self.task, *self.tasks.values()]:
            if task:
                task.cancel()

    async def _run(self) -> None:
        while True:
            for name in list(self.members.known):
                if name != self.keeper.name and name not in self.tasks:
                    self.tasks[name] = start_loop(
                        f"following of {name}", self._follow(name)
                    )
            self.update_layout()
            if not self.keeper.is_recovered and self.is_complete():
                self.keeper.mark_recovered(self.is_first_run())
            await asyncio.sleep(_POLL_SECONDS / 2)

    def update_layout(self) -> None:
        """Follows all members anew if this instance has to hold other turns.

        When a member joins, leaves or becomes unresponsive, turns that were
        skipped before may have to be stored here now. So may accounts, once
        this instance learns that it holds those of another one.
        """
        layout = self._current_layout()
        if layout == self.layout:
            return
        self.layout = layout
        # New objects, so that a page that is being fetched for the earlier
        # layout does not count.
        self.progress = {name: Progress() for name in self.progress}
        names = sorted(itertools.chain(*(names for _, names in layout.domains)))
        log_event("share_reviewed", keepers=names, copies=layout.copies)

    def _current_layout(self) -> Layout:
        mine = self.members.known.get(self.keeper.name)
        domain = mine.domain if mine else ""
        domains = {
            name: frozenset(member.name for member in members)
            for name, members in self.members.writable_domains().items()
        }
        domains[domain] = self._domain_peers(domain)
        if len(domains) >= self.members.copies:
            # Each domain stores one copy, whatever there is in the others.
            shared = {domain: domains[domain]}
            copies = 1
        else:
            shared = domains
            copies = self.members.copies
        return Layout(
            frozenset(shared.items()),
            copies,
            tuple(self.members.predecessors(self.keeper.name)),
        )

    def _domain_peers(self, domain: str) -> frozenset[str]:
        """Returns the members of this domain that can hold turns now.

        A member that was replaced stays registered for some seconds. If it
        counted, its successor would skip the turns that it had held, and these
        would be gone with the next lost disk.
        """
        found = {self.keeper.name}
        for member in self.members.known.values():
            is_peer = domain and member.domain == domain
            is_responsive = not self.members.link(member).failures
            if is_peer and is_responsive and not member.leaving:
                found.add(member.name)
        return frozenset(found)

    def is_complete(self) -> bool:
        """Whether all data that the other members know of was fetched."""
        if not self.members.synced or self.members.watch.unavailable_since:
            return False
        others = [n for n in self.members.known if n != self.keeper.name]
        age = asyncio.get_running_loop().time() - self.started_at
        if not others:
            return age > _LONE_INSTANCE_SECONDS
        if self.is_first_run():
            return True
        reported = [self.progress.get(name, Progress()) for name in others]
        if self.layout.predecessors != self._current_layout().predecessors:
            return False
        # Data lost here may be held by an unreachable member only.
        absent = set().union(*(each.absent for each in reported)) - set(others)
        return all(each.has_caught_up for each in reported) and not absent

    def is_first_run(self) -> bool:
        """Whether no responsive member had seen this instance before.

        Its disk held nothing then that an unresponsive one could know of, such
        as the machine that it replaces.
        """
        # Its own registration may be missing while the store is away.
        name, run = self.keeper.name, self.keeper.run
        if self.members.first_runs.get(name, run) != run:
            return False
        others = [
            self.progress.get(member.name, Progress())
            for member in self.members.known.values()
            if member.name != self.keeper.name
            and not self.members.link(member).failures
        ]
        return bool(others) and all(
            each.is_first_run and each.has_caught_up for each in others
        )

    async def _follow(self, name: str) -> None:
        while True:
            member = self.members.known.get(name)
            more = False
            if member and not self.keeper.is_closed:
                more = await self.fetch_page(member)
            if not more:
                await asyncio.sleep(_POLL_SECONDS)

    async def fetch_page(self, member: Member) -> bool:
        """Fetches the next page of changes from a member.

        Returns:
            Whether there are more changes to fetch right now.
        """
        progress = self.progress.setdefault(member.name, Progress())
        link = self.members.link(member)
        began = loop_seconds()
        news = await link.ask(
            Follow(
                self.keeper.name,
                progress.run,
                progress.position,
                self.keeper.run,
                list(self.layout.predecessors),
            ),
            _REQUEST_TIMEOUT_SECONDS,
        )
        if not isinstance(news, News):
            self.members.record_missed(member.name)
            return False
        await self.keeper.persist_grants(member.name, news.grants)
        self.members.record_contact(member, began, news)
        self.members.learn_one_turn(news.one_turn)
        if news.has_lost_nothing:
            await self.keeper.restore_grants(news.lost_grants)
        if news.run != progress.run:
            log_event("following_anew", keeper=member.name, run=news.run)
            progress.has_caught_up = False
        self.members.expect_revision(news.revision)
        await self.keeper.succession.learn(news.successors)
        changes = [
            change
            for home in news.homes
            if (change := self.keeper.ledger.add_home(home))
        ]
        # Concurrently, so that they share the journal's writes.
        await asyncio.gather(*map(self.keeper.write_home, changes))
        if not await self._fetch_accounts(member, news.accounts):
            return False
        await self.keeper.persist_uses(news.uses)
        if not await self._fetch_turns(member, news.turns):
            return False
        if self.progress[member.name] is not progress:
            return True
        progress.run = news.run
        progress.position = news.position
        progress.absent = frozenset(news.absent)
        progress.is_first_run = news.is_first_run
        if news.is_counted and not news.more:
            self.keeper.unsynced_peers.discard(member.name)
        has_all = news.whole or self.members.is_first_run(member.name, news.run)
        if has_all and not news.more:
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
        """Fetches the accounts that differ here; False if one did not come."""
        ledger = self.keeper.ledger
        programs = [ref.program for ref in refs if not ledger.is_current(ref)]
        if not programs:
            return True
        link = self.members.link(member)
        reply = await link.ask(
            FetchAccounts(programs), 2 * _REQUEST_TIMEOUT_SECONDS
        )
        if not isinstance(reply, Accounts):
            return False
        await self.keeper.persist_accounts(reply.accounts)
        came = {each.program for each in reply.accounts}
        return self._has_come(member, "accounts", programs, came)

    def _has_come(
        self, member: Member, kind: str, asked: list[str], came: set[str]
    ) -> bool:
        """Whether all that was asked for has come; logs if not."""
        lacking = len(set(asked) - came)
        if lacking:
            log_event(
                "page_incomplete",
                keeper=member.name,
                kind=kind,
                asked=len(asked),
                lacking=lacking,
            )
        return not lacking

    async def _fetch_turns(self, member: Member, turns: list[TurnRef]) -> bool:
        """Fetches the turns that are missing here; False if one did not come.

        One that has expired since is not in the next list.
        """
        mine = [
            ref.turn
            for ref in turns
            if self.keeper.name in _holders_of(ref.key, self.layout)
        ]
        lacking = self.keeper.table.missing(mine)
        link = self.members.link(member)
        unfetched = lacking
        while unfetched:
            page = unfetched[:_MAX_FETCHED_TURNS]
            reply = await link.ask(
                FetchTurns(page), 2 * _REQUEST_TIMEOUT_SECONDS
            )
            if not isinstance(reply, Turns):
                return False
            await asyncio.gather(*map(self.keeper.keep, reply.turns))
            came = {kept.turn for kept in reply.turns}
            is_cut = reply.has_more and came
            if not is_cut and not self._has_come(member, "turns", page, came):
                return False
            unfetched = [turn for turn in unfetched if turn not in came]
        if lacking:
            log_event("turns_fetched", keeper=member.name, count=len(lacking))
        return True


# Cached since every holder of a turn reports it, and the turns of a chain share
# a key.
@functools.lru_cache(_MAX_CACHED_KEYS)
def _holders_of(key: str, layout: Layout) -> frozenset[str]:
    """Returns which of the members that share the turns hold a key."""
    return frozenset(choose_replicas(key, dict(layout.domains), layout.copies))
