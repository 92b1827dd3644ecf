"""A front's way to the storage instances."""

import asyncio
import collections
from collections.abc import Iterable, Iterator

import msgspec

from rattanmill_core import (
    CrashNote,
    Metrics,
    log_event,
    loop_seconds,
    warn_event,
)
from rattanmill_keeper.crashes import CrashNews, whom_to_tell
from rattanmill_keeper.members import PREFIX, Member, Members, rank
from rattanmill_keeper.messages import (
    Chain,
    Crashed,
    Done,
    Elsewhere,
    Fetch,
    Keep,
    KeptTurn,
    Pong,
    Reserve,
    Reserved,
    Settle,
    Spent,
    Unsure,
)
from rattanmill_platform import Unavailable

# A reservation takes a trip and a sync, up to 5 ms. The first one of a program
# asks the others besides (0.15 s at most) and perhaps the store (0.3 s).
_RESERVE_SECONDS = 0.55
_SETTLE_SECONDS = 0.5
# A home that is away is back within seconds, in the worst case after all
# machines have lost power. What it does not hear counts as used in full, and
# the program would be told too early that its budget is spent.
_SETTLE_TRIES = 40
_SETTLE_PAUSE_SECONDS = 0.75
_KEEP_SECONDS = 0.4
_FETCH_SECONDS = 0.3
# A member that did not answer is asked last for so long, unless it answers a
# ping before.
_AVOID_SECONDS = 1.5
# Each member is asked for a sign of life so often. A front that hears none
# from another domain, nor the store, for the bound is cut off: its callers
# are better served elsewhere, and the balancer needs two more seconds.
_PING_SECONDS = 0.4
_CUT_SECONDS = 1.0
# Once other domains have missed a sign of life, the store is asked whether it
# is there. A watch that waits for changes would tell seconds later.
_DOUBT_SECONDS = 0.7
_PROBE_SECONDS = 0.4
# A storage instance that was lost longer ago held no turn that is still kept;
# twice the retention in use.
_LOSS_SECONDS = 120.0
_MOST_HOMES = 20_000
_MOST_REDIRECTS = 3
# Texts of turns kept at hand; the next turn of a line mostly comes to the
# same front and then needs no trip.
_CACHE_BYTES = 24 * 1024 * 1024


class NoSuchTurn(msgspec.Struct, frozen=True):
    """All that could hold the turn have said that they don't."""


class KeptBy(msgspec.Struct, frozen=True):
    """Failure domains in which a turn is on disk.

    Attributes:
        domains: Their names.
        enough: Whether these are as many as were asked for.
    """

    domains: list[str]
    enough: bool


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


class KeeperClient:
    """Reserves budgets, keeps turns and finds them again.

    Attributes:
        homes: Where accounts were found.
        unheard: Loop time until which a member is asked last, by name.
        heard: Loop time of each member's last answer.
        store_answers: Whether the store answered when it was last asked.
        crashes: What other fronts have told of crashes.

    Args:
        domain: Failure domain of this front.
        copies: Failure domains in which a turn must be on disk.
        members: The storage instances.
        metrics: Counters and times.
    """

    def __init__(
        self, domain: str, copies: int, members: Members, metrics: Metrics
    ) -> None:
        self.domain = domain
        self.copies = copies
        self.members = members
        self.metrics = metrics
        self.cache = TurnCache()
        self.homes: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.unheard: dict[str, float] = {}
        self.heard: dict[str, float] = {}
        self.store_answers = True
        self.crashes = CrashNews()
        self.tasks: set[asyncio.Task] = set()

    async def reserve(self, ask: Reserve) -> Reserved | Spent | Unsure:
        """Asks for the permission to run a turn.

        The program's home answers. A program that has none yet gets one in
        this failure domain, or elsewhere if nobody answers here.
        """
        began = loop_seconds()
        asked: list[str] = []
        reply: Reserved | Spent | Unsure = Unsure("the caller left")
        try:
            reply = await self._find_home(ask, asked)
        finally:
            if isinstance(reply, Unsure):
                self._release(ask, asked)
        self.metrics.observe(
            "rattanmill_reserve_seconds", loop_seconds() - began
        )
        return reply

    async def _find_home(
        self, ask: Reserve, asked: list[str]
    ) -> Reserved | Spent | Unsure:
        """Asks a program's home, or who may become it.

        Args:
            ask: What is asked for.
            asked: Gets the names of those that were asked.
        """
        home = self.homes.get(ask.program)
        reply = Unsure(
            f"home {home} is away" if home else "no storage instance"
        )
        for _ in range(_MOST_REDIRECTS):
            member = self._whom_to_ask(ask.program, home, asked)
            if member is None:
                break
            asked.append(member.name)
            said = await self._ask(member, ask, _RESERVE_SECONDS)
            if isinstance(said, Elsewhere):
                home = said.keeper
                self._remember(ask.program, home)
                continue
            if isinstance(said, Reserved | Spent):
                self._remember(ask.program, member.name)
                return said
            reply = said if isinstance(said, Unsure) else Unsure("silent")
            if home:
                # Nobody else can give the permission.
                break
        return reply

    def _release(self, ask: Reserve, asked: list[str]) -> None:
        """Takes a permission back that may have been given.

        Its answer was lost, or the caller left meanwhile. Kept, it would
        count against the program for ever.
        """
        for name in asked:
            said = Settle(ask.program, ask.attempt, 0)
            self._spawn(self._settle(said, name, _RESERVE_SECONDS))

    def _whom_to_ask(
        self, program: str, home: str | None, asked: list[str]
    ) -> Member | None:
        if home:
            member = self.members.known.get(home)
            if member is None or home in asked or self._is_away(member):
                return None
            return member
        open_to_all = [
            member
            for member in self.members.known.values()
            if member.name not in asked
            and not member.leaving
            # Whoever has asked one has an answer: waiting for those that are
            # out of reach would only hold it back, by a second in a cut.
            and not (asked and self._is_away(member))
        ]
        return min(
            open_to_all,
            key=lambda member: self._distance(program, member),
            default=None,
        )

    def _distance(self, program: str, member: Member) -> tuple:
        away = self._is_away(member)
        order = rank(program, self.members.known)
        return (
            away,
            member.domain != self.domain,
            order.index(member.name),
        )

    def _remember(self, program: str, home: str) -> None:
        self.homes[program] = home
        self.homes.move_to_end(program)
        if len(self.homes) > _MOST_HOMES:
            self.homes.popitem(last=False)

    def settle_later(self, program: str, attempt: str, tokens: int) -> None:
        """Tells the home what an attempt has used, until it has heard it."""
        home = self.homes.get(program, "")
        self._spawn(self._settle(Settle(program, attempt, tokens), home))

    async def _settle(
        self, said: Settle, home: str, after_seconds: float = 0.0
    ) -> None:
        # Behind a reservation that may still be under way there.
        await asyncio.sleep(after_seconds)
        for _ in range(_SETTLE_TRIES):
            member = self.members.known.get(home)
            if member and not self._is_away(member):
                reply = await self._ask(member, said, _SETTLE_SECONDS)
                if isinstance(reply, Elsewhere):
                    home = reply.keeper
                    continue
                if reply is not None:
                    return
            await asyncio.sleep(_SETTLE_PAUSE_SECONDS)
        # The reservation stays: the program seems to have used more than it
        # did, never less.
        warn_event("settle_lost", program=said.program, attempt=said.attempt)

    async def keep(self, kept: KeptTurn) -> KeptBy:
        """Returns when a turn is on disk in enough failure domains.

        If fewer can be reached, as in a domain that is cut off, those that
        have it spread it once they reach another.
        """
        self.cache.add(kept)
        began = loop_seconds()
        replicas = self.members.replicas(kept.turn)
        pending = {
            asyncio.create_task(self._keep_at(member, kept)): member
            for member in replicas
        }
        for task in pending:
            self._hold(task)
        domains: list[str] = []
        while pending and len(domains) < self.copies:
            done, _ = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                member = pending.pop(task)
                if task.result():
                    domains.append(member.domain)
        self.metrics.observe("rattanmill_keep_seconds", loop_seconds() - began)
        return KeptBy(domains, len(domains) >= self.copies)

    async def _keep_at(self, member: Member, kept: KeptTurn) -> bool:
        away = self._is_away(member)
        seconds = _KEEP_SECONDS / 4 if away else _KEEP_SECONDS
        return isinstance(await self._ask(member, Keep(kept), seconds), Done)

    async def find(self, turn: str) -> list[KeptTurn] | NoSuchTurn | Unsure:
        """Returns a turn and all that it continues, newest first."""
        found = list(self.cache.chain(turn))
        missing = found[-1].previous if found else turn
        if not missing:
            return found
        sure = self._could_know_all()
        began = loop_seconds()
        for group in self._groups(missing):
            chains = await asyncio.gather(
                *(
                    self._ask(member, Fetch(missing), _FETCH_SECONDS)
                    for member in group
                )
            )
            for chain in chains:
                if not isinstance(chain, Chain):
                    sure = False
                    continue
                sure = sure and chain.whole
                missing = self._join(found, missing, chain)
            if not missing:
                break
        self.metrics.observe("rattanmill_find_seconds", loop_seconds() - began)
        if not missing:
            return found
        log_event("turn_missing", turn=missing, asked_for=turn, sure=sure)
        if sure and not found:
            return NoSuchTurn()
        return Unsure(f"turn {missing} was not found")

    def _join(self, found: list[KeptTurn], missing: str, chain: Chain) -> str:
        """Adds what a chain brings of the missing part; returns what lacks."""
        for kept in chain.turns:
            if kept.turn != missing:
                continue
            found.append(kept)
            self.cache.add(kept)
            missing = kept.previous
        return missing

    def _groups(self, turn: str) -> list[list[Member]]:
        """Orders whom to ask: near ones that should have it, then all.

        Those that are away come last: waiting for them would hold up a turn
        that another one has.
        """
        replicas = {m.name for m in self.members.replicas(turn)}
        members = sorted(
            self.members.known.values(),
            key=lambda m: (m.name not in replicas, m.domain != self.domain),
        )
        there = [m for m in members if not self._is_away(m)]
        away = [m for m in members if self._is_away(m)]
        return [group for group in (there[:1], there[1:], away) if group]

    def _is_away(self, member: Member) -> bool:
        return self.unheard.get(member.name, 0.0) > loop_seconds()

    def is_cut_off(self) -> bool:
        """Whether hardly any program can be served from here.

        Budgets need a storage instance, and new programs one of another
        domain or the store.
        """
        if not self.members.known:
            return True
        if self._silence(self.members.known.values()) > _CUT_SECONDS:
            return True
        return (
            self._silence(self._far()) > _CUT_SECONDS
            and not self.store_answers
            and len(self.members.domains()) > 1
        )

    def _far(self) -> list[Member]:
        return [
            member
            for member in self.members.known.values()
            if member.domain != self.domain
        ]

    def _silence(self, members: Iterable[Member]) -> float:
        """Returns for how long none of them has answered, in seconds."""
        never = float("-inf")
        heard = [self.heard.get(member.name, never) for member in members]
        return loop_seconds() - max(heard, default=never)

    async def look_at_store(self) -> None:
        """Asks the store for a sign of life if other domains are silent."""
        answers = True
        if self._silence(self._far()) > _DOUBT_SECONDS:
            answers = await self._store_answers()
        if answers != self.store_answers:
            log_event("store_probed", answers=answers)
        self.store_answers = answers

    async def _store_answers(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                said = await self.members.kv.read(PREFIX)
        except TimeoutError:
            return False
        return not isinstance(said, Unavailable)

    async def ping_for_ever(self) -> None:
        """Asks all members for signs of life."""
        while True:
            for member in list(self.members.known.values()):
                self._spawn(self._ping(member))
            self._spawn(self.look_at_store())
            await asyncio.sleep(_PING_SECONDS)

    async def _ping(self, member: Member) -> None:
        ping = self.crashes.ping(member)
        pong = await self._ask(member, ping, _PING_SECONDS)
        if isinstance(pong, Pong):
            self.crashes.take(member, pong)

    def tell_crashes(self, notes: list[CrashNote]) -> None:
        """Tells other fronts what this one has seen."""
        for member in whom_to_tell(self.members):
            self._spawn(self._ask(member, Crashed(notes), _SETTLE_SECONDS))

    def _could_know_all(self) -> bool:
        """Whether every instance that may hold a turn is still listed."""
        oldest = loop_seconds() - _LOSS_SECONDS
        lost = [at for at in self.members.lost_at.values() if at > oldest]
        return self.members.synced and not lost

    async def _ask(
        self, member: Member, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        reply = await self.members.link(member).ask(message, seconds)
        kind = type(message).__name__
        if reply is None:
            self.unheard[member.name] = loop_seconds() + _AVOID_SECONDS
            self.metrics.count("rattanmill_keeper_silent", kind=kind)
        else:
            self.unheard.pop(member.name, None)
            self.heard[member.name] = loop_seconds()
        return reply

    def _spawn(self, work: collections.abc.Coroutine) -> None:
        self._hold(asyncio.create_task(work))

    def _hold(self, task: asyncio.Task) -> None:
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
