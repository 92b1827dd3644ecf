"""A front's way to kept turns: keeps them, and finds them again."""

import asyncio
import collections
from collections.abc import Iterator

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_keeper.members import TURN_HOLDER_SECONDS, Member
from rattanmill_keeper.messages import (
    Chain,
    Done,
    Fetch,
    Keep,
    KeptTurn,
    Unsure,
)
from rattanmill_keeper.reach import Reachability

_KEEP_SECONDS = 0.4
_FETCH_SECONDS = 0.3
_AWAY_SECONDS = 0.06
# Texts of turns kept at hand; the next turn of a line mostly comes to the
# same front and then needs no trip.
_CACHE_BYTES = 24 * 1024 * 1024


class NoSuchTurn(msgspec.Struct, frozen=True):
    """All that could hold the turn have said that they don't."""


class KeepResult(msgspec.Struct, frozen=True):
    """Where a turn is on disk.

    Attributes:
        domains: Failure domains, one for each storage instance.
        keepers: The storage instances.
        enough: Whether these are as many as were asked for.
    """

    domains: list[str]
    keepers: list[str]
    is_replicated: bool


class Gap(msgspec.Struct):
    """What is still missing of a chain.

    Attributes:
        turn: The newest turn that was not found, or empty.
        doubt: Why it may exist all the same, or empty.
        unlisted: Storage instances that others have known lately and do not
            know any more, or have not heard register yet.
    """

    turn: str
    doubt: str = ""
    unlisted: set[str] = msgspec.field(default_factory=set)


class TurnCache:
    """Recently used turns, by id."""

    def __init__(self) -> None:
        self.turns: collections.OrderedDict[str, KeptTurn] = (
            collections.OrderedDict()
        )
        self.bytes = 0

    def add(self, kept: KeptTurn) -> None:
        """Takes a turn in and drops the least recently used ones."""
        if kept.turn not in self.turns:
            self.bytes += len(kept.text)
        self.turns[kept.turn] = kept
        self.turns.move_to_end(kept.turn)
        while self.bytes > _CACHE_BYTES:
            _, old = self.turns.popitem(last=False)
            self.bytes -= len(old.text)

    def chain(self, turn: str) -> Iterator[KeptTurn]:
        """Yields a turn and those that it continues, as far as they go."""
        while kept := self.turns.get(turn):
            self.turns.move_to_end(turn)
            yield kept
            turn = kept.previous


class TurnClient:
    """Keeps turns and finds chains of them.

    Args:
        reach: The storage instances.
        copies: Failure domains in which a turn must be on disk.
    """

    def __init__(self, reach: Reachability, copies: int) -> None:
        self.reach = reach
        self.copies = copies
        self.cache = TurnCache()

    async def keep(self, kept: KeptTurn) -> KeepResult:
        """Returns when a turn is on disk in enough failure domains.

        If fewer can be reached, as in a domain that is cut off, those that
        have it spread it once they reach another.
        """
        self.cache.add(kept)
        began = loop_seconds()
        replicas = self.reach.members.replicas(kept.key)
        pending = {
            self.reach.spawn(self._keep_at(member, kept)): member
            for member in replicas
        }
        kept_at: list[Member] = []
        while pending and len(kept_at) < self.copies:
            done, _ = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                member = pending.pop(task)
                if task.result():
                    kept_at.append(member)
        self.reach.metrics.observe(
            "rattanmill_keep_seconds", loop_seconds() - began
        )
        return KeepResult(
            [member.domain for member in kept_at],
            [member.name for member in kept_at],
            len(kept_at) >= self.copies,
        )

    async def _keep_at(self, member: Member, kept: KeptTurn) -> bool:
        reply = await self.reach.ask(
            member, Keep(kept), _KEEP_SECONDS, _KEEP_SECONDS / 4
        )
        return isinstance(reply, Done)

    async def find(
        self, turn: str, chain: str
    ) -> list[KeptTurn] | NoSuchTurn | Unsure:
        """Returns a turn and all that it continues, newest first.

        Args:
            turn: Its id.
            chain: What its chain most likely has in common; where that is
                wrong, all storage instances are asked.
        """
        began = loop_seconds()
        found = list(self.cache.chain(turn))
        key = found[0].key if found else chain or turn
        gap = Gap(found[-1].previous if found else turn)
        asked = dict(self.reach.members.known)
        await self._search(found, gap, key)
        if gap.turn and not gap.doubt and await self._has_news(asked, gap):
            await self._search(found, gap, key)
        self.reach.metrics.observe(
            "rattanmill_find_seconds", loop_seconds() - began
        )
        if not gap.turn:
            return found
        gap.doubt = gap.doubt or self._doubt_lost(gap)
        self._log_missing(turn, gap)
        if gap.doubt or found:
            return Unsure(f"turn {gap.turn} was not found")
        return NoSuchTurn()

    def _log_missing(self, turn: str, gap: Gap) -> None:
        members = self.reach.members
        log_event(
            "turn_missing",
            turn=gap.turn,
            asked_for=turn,
            sure=not gap.doubt,
            why=gap.doubt,
            keepers=sorted(members.known),
            revision=members.watch.revision,
            heard_s=round(members.store_silence_seconds(), 3),
        )

    async def _has_news(self, asked: dict[str, Member], gap: Gap) -> bool:
        """Whether there are others to ask than those that were.

        This front's list may lag behind that of the one that kept the turn,
        so only the store's own tells who there is.
        """
        members = self.reach.members
        if not await members.catch_up():
            gap.doubt = "the store does not tell who there is"
            return False
        return members.known != asked

    async def _search(self, found: list[KeptTurn], gap: Gap, key: str) -> None:
        """Asks all for the rest of a chain for as long as it grows.

        The turns of a chain may lie on different instances after some came or
        went. What one adds may be all that another needs to go on from, so
        whoever has answered is asked again while anything is gained.
        """
        while gap.turn:
            before = gap.turn
            await self._look(found, gap, key)
            if gap.turn == before:
                return

    async def _look(self, found: list[KeptTurn], gap: Gap, key: str) -> None:
        """Asks all once for the rest of a chain, near ones first."""
        gap.doubt = ""
        gap.unlisted.clear()
        for group in self._groups(key):
            chains = await asyncio.gather(
                *(
                    self.reach.ask(
                        member, Fetch(gap.turn), _FETCH_SECONDS, _AWAY_SECONDS
                    )
                    for member in group
                )
            )
            for member, chain in zip(group, chains, strict=True):
                gap.doubt = gap.doubt or _doubt(member, chain)
                if isinstance(chain, Chain):
                    gap.turn = self._join(found, gap.turn, chain)
                    gap.unlisted.update(chain.unlisted)
            if not gap.turn:
                return

    def _join(self, found: list[KeptTurn], missing: str, chain: Chain) -> str:
        """Adds what a chain brings of the missing part; returns what lacks."""
        for kept in chain.turns:
            if kept.turn != missing:
                continue
            found.append(kept)
            self.cache.add(kept)
            missing = kept.previous
        return missing

    def _groups(self, key: str) -> list[list[Member]]:
        """Orders whom to ask: near ones that should have it, then all.

        Those that are away come last: waiting for them would hold up a turn
        that another one has.
        """
        replicas = {m.name for m in self.reach.members.replicas(key)}
        members = sorted(
            self.reach.members.known.values(),
            key=lambda m: (
                m.name not in replicas,
                m.domain != self.reach.domain,
            ),
        )
        there = [m for m in members if not self.reach.is_unresponsive(m)]
        away = [m for m in members if self.reach.is_unresponsive(m)]
        return [group for group in (there[:1], there[1:], away) if group]

    def _doubt_lost(self, gap: Gap) -> str:
        """Names instances that may have a turn and are not listed any more."""
        members = self.reach.members
        oldest = loop_seconds() - TURN_HOLDER_SECONDS
        lost = {name for name, at in members.lost_at.items() if at > oldest}
        lost |= gap.unlisted - members.known.keys() - members.decommissioned
        return f"{', '.join(sorted(lost))} may have it" if lost else ""


def _doubt(member: Member, reply: msgspec.Struct | None) -> str:
    """Says why an answer leaves open whether a turn exists, or nothing."""
    if not isinstance(reply, Chain):
        return f"{member.name} is silent"
    return "" if reply.whole else f"{member.name} is not whole"
