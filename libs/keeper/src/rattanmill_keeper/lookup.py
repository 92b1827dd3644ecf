"""Storing and finding of kept turns by front ends."""

import asyncio
import collections
from collections.abc import Iterator

import msgspec

from rattanmill_core import HeldMemory, log_event, loop_seconds
from rattanmill_keeper.members import TURN_HOLDER_SECONDS, Member
from rattanmill_keeper.messages import (
    Chain,
    Done,
    Fetch,
    Keep,
    KeptTurn,
    Unsure,
    codec,
)
from rattanmill_keeper.reach import Reachability
from rattanmill_wire import Encoded

_KEEP_TIMEOUT_SECONDS = 0.4
_FETCH_TIMEOUT_SECONDS = 0.3
_UNRESPONSIVE_TIMEOUT_SECONDS = 0.06
# Pause before it is checked whether more instances can store a turn. One that
# was killed or that restarts is back within a second or two.
_KEEP_RETRY_SECONDS = 0.1
# Size of the cache of turns. The next turn of a conversation mostly comes to
# the same front end, and then needs no round trip.
_MAX_CACHE_BYTES = 24 * 1024 * 1024
# Of a machine's memory.
_CACHE_SHARE = 1 / 16
# Texts that are fetched in one reply, unless one alone is longer, and how much
# is reserved before it is known what comes.
_PAGE_BYTES = 128 * 1024
_EXPECTED_BYTES = 64 * 1024
# A text that was fetched, and its copy in the body for the endpoint.
_FETCH_COPIES = 2
_CODEC = codec()


def cache_bytes(memory_bytes: int) -> int:
    """Returns how much of a machine's memory the cache of turns may take."""
    return min(_MAX_CACHE_BYTES, int(memory_bytes * _CACHE_SHARE))


class NoSuchTurn(msgspec.Struct, frozen=True):
    """All instances that could hold the turn have replied that they do not."""


class NoMemory(msgspec.Struct, frozen=True):
    """The memory for requests does not suffice for the chain."""


class KeepResult(msgspec.Struct, frozen=True):
    """Replicas of a turn that are on disk.

    Attributes:
        domains: Failure domain of each storage instance in ``keepers``.
        keepers: Names of the storage instances.
        is_replicated: Whether there are as many replicas as required. If not,
            the next lost disk may be the only one with the turn.
    """

    domains: list[str]
    keepers: list[str]
    is_replicated: bool


class Gap(msgspec.Struct):
    """The part of a chain that is still missing.

    Attributes:
        turn: Id of the newest turn that was not found, or empty.
        uncertainty: Why the turn may exist nevertheless, or empty.
        unlisted: Storage instances that others knew recently but no longer
            list, or have not yet seen registered.
        memory: Memory that the chain takes.
    """

    turn: str
    memory: "ChainMemory"
    uncertainty: str = ""
    unlisted: set[str] = msgspec.field(default_factory=set)


class ChainMemory:
    """Memory that is reserved for the texts of a chain.

    Attributes:
        reserved_bytes: Size of the texts for which it is reserved.
        is_exhausted: Whether there was not enough.

    Args:
        held: Where it is reserved, or None if it is not counted.
    """

    def __init__(self, held: HeldMemory | None) -> None:
        self.held = held
        self.reserved_bytes = 0
        self.is_exhausted = False

    def reserve(self, found: list[KeptTurn], more_bytes: int = 0) -> bool:
        """Reserves for the turns found and for more; False if there is no room.

        What was reserved beyond that is given back.
        """
        size = sum(len(kept.text) for kept in found) + more_bytes
        difference = (size - self.reserved_bytes) * _FETCH_COPIES
        if self.held is not None and difference < 0:
            self.held.shrink(-difference)
        elif self.held is not None and not self.held.grow(difference):
            self.is_exhausted = True
            return False
        self.reserved_bytes = size
        return True


class TurnCache:
    """Least recently used cache of turns.

    Attributes:
        turns: Turns by id.
        bytes: Total size of their texts.
        max_bytes: Maximum of that.
    """

    def __init__(self) -> None:
        self.max_bytes = _MAX_CACHE_BYTES
        self.turns: collections.OrderedDict[str, KeptTurn] = (
            collections.OrderedDict()
        )
        self.bytes = 0

    def add(self, kept: KeptTurn) -> None:
        """Adds a turn, evicting the least recently used ones if needed."""
        if kept.turn not in self.turns:
            self.bytes += len(kept.text)
        self.turns[kept.turn] = kept
        self.turns.move_to_end(kept.turn)
        while self.bytes > self.max_bytes:
            _, evicted = self.turns.popitem(last=False)
            self.bytes -= len(evicted.text)

    def chain(self, turn: str) -> Iterator[KeptTurn]:
        """Yields a turn and those that it continues, as far as cached."""
        while kept := self.turns.get(turn):
            self.turns.move_to_end(turn)
            yield kept
            turn = kept.previous


class TurnClient:
    """Keeps turns and finds chains of turns.

    Args:
        reach: Links to the storage instances.
    """

    def __init__(self, reach: Reachability) -> None:
        self.reach = reach
        self.cache = TurnCache()

    def can_keep(self) -> bool:
        """Whether as many instances respond as have to store a turn."""
        members = self.reach.members
        able = [
            member
            for member in members.known.values()
            if not member.emptied
            and member.name not in self.reach.full
            and not self.reach.is_unresponsive(member)
        ]
        return len(able) >= members.copies

    async def keep(
        self, kept: KeptTurn, deadline: float | None = None
    ) -> KeepResult:
        """Keeps a turn, and returns once it is on enough disks.

        Args:
            kept: The turn.
            deadline: Loop time until which instances are asked again if too
                few have stored it; None to ask each of them once. They are not
                asked again if this failure domain is cut off: the caller is
                served sooner in another one.
        """
        began = loop_seconds()
        copies = self.reach.members.copies
        kept_at: dict[str, Member] = {}
        while True:
            await self._keep_at_all(kept, kept_at)
            if len(kept_at) >= copies:
                self.cache.add(kept)
                break
            if not await self._wait_for_more(deadline):
                break
        self.reach.metrics.observe(
            "rattanmill_keep_seconds", loop_seconds() - began
        )
        return KeepResult(
            [member.domain for member in kept_at.values()],
            list(kept_at),
            len(kept_at) >= copies,
        )

    async def _wait_for_more(self, deadline: float | None) -> bool:
        """Waits until enough instances respond again; False if they don't.

        A turn is large, so instances that don't respond are not sent it until
        they reply to a ping.
        """
        if deadline is None:
            return False
        while loop_seconds() + _KEEP_RETRY_SECONDS < deadline:
            if self.reach.is_cut_off():
                return False
            await asyncio.sleep(_KEEP_RETRY_SECONDS)
            if self.can_keep():
                return True
        return False

    async def _keep_at_all(
        self, kept: KeptTurn, kept_at: dict[str, Member]
    ) -> None:
        """Asks instances to store a turn until enough of them have done so.

        Its replicas are asked first. Each one that does not respond has a
        substitute, until no instance is left to be asked.

        Args:
            kept: The turn.
            kept_at: Instances that have stored it, by name; new ones are added.
        """
        members = self.reach.members
        request = _encode_once(kept)
        substitutes = [
            member
            for member in members.substitutes(kept.key)
            if member.name not in kept_at
        ]
        substitutes.sort(key=self.reach.is_unresponsive)
        pending = {
            self.reach.spawn(self._keep_at(member, request)): member
            for member in members.replicas(kept.key)
            if member.name not in kept_at
        }
        while len(kept_at) < members.copies:
            expected = [
                member
                for member in pending.values()
                if not self.reach.is_unresponsive(member)
            ]
            missing = members.copies - len(kept_at) - len(expected)
            for _ in range(min(missing, len(substitutes))):
                member = substitutes.pop(0)
                pending[self.reach.spawn(self._keep_at(member, request))] = (
                    member
                )
            if not pending:
                return
            done, _ = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                member = pending.pop(task)
                if task.result():
                    kept_at[member.name] = member

    async def _keep_at(self, member: Member, request: Encoded) -> bool:
        reply = await self.reach.ask(
            member, request, _KEEP_TIMEOUT_SECONDS, _KEEP_TIMEOUT_SECONDS / 4
        )
        return isinstance(reply, Done)

    async def find(
        self, turn: str, chain: str, held: HeldMemory | None = None
    ) -> list[KeptTurn] | NoSuchTurn | Unsure | NoMemory:
        """Returns a turn and all turns that it continues, newest first.

        Args:
            turn: Id of the turn.
            chain: Likely key of its chain. If it is wrong, all storage
                instances are asked.
            held: Gets the memory that the chain takes, or None if it is not
                reserved.
        """
        began = loop_seconds()
        found = list(self.cache.chain(turn))
        key = found[0].key if found else chain or turn
        memory = ChainMemory(held)
        gap = Gap(found[-1].previous if found else turn, memory)
        asked = dict(self.reach.members.known)
        await self._search(found, gap, key)
        if (
            gap.turn
            and not memory.is_exhausted
            and not gap.uncertainty
            and await self._has_other_members(asked, gap)
        ):
            await self._search(found, gap, key)
        self.reach.metrics.observe(
            "rattanmill_find_seconds", loop_seconds() - began
        )
        if memory.is_exhausted or not memory.reserve(found):
            return NoMemory()
        if not gap.turn:
            return found
        gap.uncertainty = gap.uncertainty or self._lost_instances_reason(gap)
        self._log_missing(turn, gap)
        if gap.uncertainty or found:
            return Unsure(f"turn {gap.turn} was not found")
        return NoSuchTurn()

    def _log_missing(self, turn: str, gap: Gap) -> None:
        members = self.reach.members
        log_event(
            "turn_missing",
            turn=gap.turn,
            asked_for=turn,
            sure=not gap.uncertainty,
            why=gap.uncertainty,
            keepers=sorted(members.known),
            revision=members.watch.revision,
            heard_s=round(members.store_silence_seconds(), 3),
        )

    async def _has_other_members(
        self, asked: dict[str, Member], gap: Gap
    ) -> bool:
        """Whether the platform store lists other instances than were asked.

        The list of this front end may lag behind that of the front end that
        kept the turn, so only the store's own list is reliable.
        """
        members = self.reach.members
        if not await members.catch_up():
            gap.uncertainty = "the store does not list the storage instances"
            return False
        return members.known != asked

    async def _search(self, found: list[KeptTurn], gap: Gap, key: str) -> None:
        """Searches for the rest of a chain until it stops growing.

        After instances were added or removed, the turns of a chain may be on
        different ones. A turn found at one instance may be continued at one
        that was asked before, so all are asked again while turns are found.
        """
        while gap.turn:
            before = gap.turn
            await self._search_once(found, gap, key)
            if gap.turn == before:
                return

    async def _search_once(
        self, found: list[KeptTurn], gap: Gap, key: str
    ) -> None:
        """Asks each instance once for the rest of a chain, near ones first."""
        gap.uncertainty = ""
        gap.unlisted.clear()
        for group in self._query_groups(key):
            if not gap.memory.reserve(found, min(_PAGE_BYTES, _EXPECTED_BYTES)):
                return
            chains = await asyncio.gather(
                *(self._fetch(member, gap, _PAGE_BYTES) for member in group)
            )
            for member, reply in zip(group, chains, strict=True):
                chain = await self._fetch_rest(found, gap, member, reply)
                if gap.memory.is_exhausted:
                    return
                if isinstance(chain, Chain):
                    gap.unlisted.update(chain.unlisted)
                gap.uncertainty = gap.uncertainty or _uncertainty(
                    member, chain, gap.turn
                )
            if not gap.turn:
                return

    async def _fetch(
        self, member: Member, gap: Gap, max_bytes: int
    ) -> msgspec.Struct | None:
        """Asks an instance for the next turns of a chain."""
        return await self.reach.ask(
            member,
            Fetch(gap.turn, max_bytes),
            _FETCH_TIMEOUT_SECONDS,
            _UNRESPONSIVE_TIMEOUT_SECONDS,
        )

    async def _fetch_rest(
        self,
        found: list[KeptTurn],
        gap: Gap,
        member: Member,
        reply: msgspec.Struct | None,
    ) -> msgspec.Struct | None:
        """Appends a reply and what else its sender holds of the chain.

        Returns:
            The sender's last reply.
        """
        while isinstance(reply, Chain):
            before = gap.turn
            gap.turn = self._append_turns(found, gap.turn, reply)
            is_next_held = reply.next_bytes and gap.turn == reply.missing
            if not is_next_held or (reply.turns and gap.turn == before):
                break
            max_bytes = max(_PAGE_BYTES, reply.next_bytes)
            if not gap.memory.reserve(found, max_bytes):
                break
            reply = await self._fetch(member, gap, max_bytes)
        return reply

    def _append_turns(
        self, found: list[KeptTurn], missing: str, chain: Chain
    ) -> str:
        """Appends the missing turns of a reply; returns the next one."""
        for kept in chain.turns:
            if kept.turn != missing:
                continue
            found.append(kept)
            self.cache.add(kept)
            missing = kept.previous
        return missing

    def _query_groups(self, key: str) -> list[list[Member]]:
        """Groups instances in the order in which they are asked.

        Near instances that should have the turn come first, then all others.
        Unresponsive ones come last, as waiting for them would delay a turn
        that another instance has.
        """
        replicas = {m.name for m in self.reach.members.replicas(key)}
        members = sorted(
            self.reach.members.known.values(),
            key=lambda m: (
                m.name not in replicas,
                m.domain != self.reach.domain,
            ),
        )
        responsive = [m for m in members if not self.reach.is_unresponsive(m)]
        unresponsive = [m for m in members if self.reach.is_unresponsive(m)]
        return [
            group
            for group in (responsive[:1], responsive[1:], unresponsive)
            if group
        ]

    def _lost_instances_reason(self, gap: Gap) -> str:
        """Names the unlisted instances that may have a turn."""
        members = self.reach.members
        oldest = loop_seconds() - TURN_HOLDER_SECONDS
        lost = {name for name, at in members.lost_at.items() if at > oldest}
        lost |= gap.unlisted - members.known.keys() - members.decommissioned
        return f"{', '.join(sorted(lost))} may have the turn" if lost else ""


def _encode_once(kept: KeptTurn) -> Encoded:
    """Returns the request to keep a turn, encoded once for all instances."""
    return Encoded(Keep.__name__, _CODEC.encode(Keep(kept)))


def _uncertainty(
    member: Member, reply: msgspec.Struct | None, turn: str
) -> str:
    """Returns why a reply does not tell that a turn is not held; or empty."""
    if not isinstance(reply, Chain):
        return f"{member.name} does not respond"
    if reply.missing != turn or reply.next_bytes:
        return f"{member.name} does not tell that it lacks the turn"
    return "" if reply.whole else f"{member.name} has not recovered"
