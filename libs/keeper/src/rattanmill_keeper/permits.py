"""A front's permissions to spend a program's budget."""

import asyncio
import collections
from collections.abc import Iterable

import msgspec

from rattanmill_core import loop_seconds, warn_event
from rattanmill_keeper.accounts import is_permitted, join, majority
from rattanmill_keeper.members import Member, rank
from rattanmill_keeper.messages import (
    Account,
    CutOff,
    Done,
    Elsewhere,
    Full,
    GiveBack,
    GivenBack,
    Merge,
    Open,
    Opened,
    Place,
    Recorded,
    Reserve,
    Reserved,
    Settle,
    Show,
    Shown,
    Spent,
    Unsure,
)
from rattanmill_keeper.reach import Reachability

# An instance that opens an account asks the others (0.15 s at most) and
# perhaps the store (0.3 s).
_OPEN_SECONDS = 0.55
# One that has not opened it by then mostly never answers, and another is
# asked besides: opening takes two trips and a sync, 20 ms at most.
_OPEN_DOUBT_SECONDS = 0.1
_MOST_OPENERS = 4
# Where one says that it is cut off, this front mostly is as well. Another one
# that can be reached opens an account in 20 ms.
_CUT_SECONDS = 0.08
# A holder answers after a trip and a sync, 10 ms. Under load some take five
# times as long.
_RECORD_SECONDS = 0.25
_AWAY_SECONDS = 0.05
_COMPARE_SECONDS = 0.15
_ALONE_SECONDS = 0.1
_SETTLE_SECONDS = 0.5
# A holder that is away is back within seconds, in the worst case after all
# machines have lost power. What a majority does not hear counts as used in
# full, and the program would be told too early that its budget is spent.
_SETTLE_TRIES = 40
_SETTLE_PAUSE_SECONDS = 0.75
_MOST_PROGRAMS = 20_000


class BudgetClient:
    """Reserves budgets and books what was used.

    Attributes:
        opened: Where accounts are, by program.
        alone: Who has granted an attempt out of its own share, by attempt.

    Args:
        reach: The storage instances.
    """

    def __init__(self, reach: Reachability) -> None:
        self.reach = reach
        self.opened: collections.OrderedDict[str, Opened] = (
            collections.OrderedDict()
        )
        self.granted_alone_by: dict[str, str] = {}

    async def reserve(self, ask: Reserve) -> Reserved | Spent | Unsure:
        """Asks for the permission to run a turn.

        A program that has no account yet gets one in this failure domain, or
        elsewhere if nobody answers here.
        """
        began = loop_seconds()
        reply: Reserved | Spent | Unsure = Unsure("the caller left")
        try:
            opened = await self._find(ask)
            if isinstance(opened, Opened):
                reply = await self._reserve(ask, opened.place)
            else:
                reply = await self._reserve_alone(ask, opened)
        finally:
            if not isinstance(reply, Reserved):
                # It may have been recorded, and would count for ever.
                self.settle_later(ask.program, ask.attempt, 0)
        self.reach.metrics.observe(
            "rattanmill_reserve_seconds", loop_seconds() - began
        )
        return reply

    def settle_later(self, program: str, attempt: str, tokens: int) -> None:
        """Tells the holders what an attempt has used, until they know."""
        granted_by = self.granted_alone_by.pop(attempt, "")
        said = Settle(program, attempt, tokens, bool(granted_by))
        for name in {*self.holders_of(program), granted_by} - {""}:
            self.reach.spawn(self._settle(said, name))

    def holders_of(self, program: str) -> tuple[str, ...]:
        """Returns the holders of a program's account, if they are known."""
        opened = self.opened.get(program)
        return opened.place.holders if opened else ()

    async def _settle(self, said: Settle, name: str) -> None:
        for _ in range(_SETTLE_TRIES):
            member = self.reach.members.known.get(name)
            if member and not self.reach.is_unresponsive(member):
                reply = await self.reach.ask(member, said, _SETTLE_SECONDS)
                if reply is not None:
                    return
            await asyncio.sleep(_SETTLE_PAUSE_SECONDS)
        # The reservation stays there: the program seems to have used more
        # than it did, never less.
        warn_event(
            "settle_lost",
            program=said.program,
            attempt=said.attempt,
            keeper=name,
        )

    async def _find(self, ask: Reserve) -> Opened | Unsure:
        """Returns where a program's account is; has it opened if needed.

        One after the other is asked, the next one also when the one before
        takes long: it may have been killed just then.
        """
        known = self.opened.get(ask.program)
        if known:
            self.opened.move_to_end(ask.program)
            return known
        message = Open(ask.program, ask.budget, ask.tokens)
        queue = self._openers(ask.program)
        asked: set[str] = set()
        asks: set[asyncio.Task] = set()
        reply = Unsure("no storage instance")
        patience = _OPEN_SECONDS
        while True:
            opener = self._next_opener(queue, asked)
            if opener is None and not asks:
                return reply
            if opener is not None:
                asked.add(opener.name)
                work = self.reach.ask(opener, message, patience)
                asks.add(self.reach.spawn(work))
            done, asks = await asyncio.wait(
                asks,
                timeout=_OPEN_DOUBT_SECONDS if queue else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for said in (task.result() for task in done):
                match said:
                    case Opened():
                        self._remember(ask.program, said)
                        return said
                    case Elsewhere(holders=holders):
                        reply = Unsure("its holders do not answer")
                        queue = self._by_distance(ask.program, holders)
                    case CutOff():
                        reply = Unsure("cut off from other storage instances")
                        patience = _CUT_SECONDS
                    case Unsure():
                        reply = said
                    case None:
                        reply = Unsure("silent")

    def _openers(self, program: str) -> list[Member]:
        there = self.reach.members.known.values()
        names = [member.name for member in there if not member.leaving]
        return self._by_distance(program, names)

    def _by_distance(self, program: str, names: Iterable[str]) -> list[Member]:
        """Orders members whom to ask, last those that did not answer."""
        members = self.reach.members.known
        order = rank(program, members)
        return sorted(
            (members[name] for name in names if name in members),
            key=lambda member: (
                self.reach.is_unresponsive(member),
                member.domain != self.reach.domain,
                order.index(member.name),
            ),
        )

    def _next_opener(
        self, queue: list[Member], asked: set[str]
    ) -> Member | None:
        """Takes the next one that is worth asking off the queue."""
        while queue and len(asked) < _MOST_OPENERS:
            member = queue.pop(0)
            # Whoever has asked one has an answer: waiting for those that are
            # out of reach would only hold it back, by a second in a cut.
            is_late = bool(asked) and self.reach.is_unresponsive(member)
            if member.name not in asked and not is_late:
                return member
        queue.clear()
        return None

    def _remember(self, program: str, opened: Opened) -> None:
        self.opened[program] = opened
        if len(self.opened) > _MOST_PROGRAMS:
            self.opened.popitem(last=False)

    async def _reserve(
        self, ask: Reserve, place: Place
    ) -> Reserved | Spent | Unsure:
        """Asks all holders; a majority of them gives the permission."""
        ask = msgspec.structs.replace(ask, place=place)
        count = len(place.holders)
        for _ in range(2):
            replies = await self._record(ask, place)
            if is_permitted(replies, count, ask.tokens):
                return Reserved(max(reply.taken for reply in replies))
            if len(replies) < majority(count):
                refusal = Unsure("too few holders of the account answer")
                return await self._reserve_alone(ask, refusal)
            settled = await self._compare(ask, place)
            if settled is not None:
                return settled
        return Unsure("the holders do not agree on what was used")

    async def _record(
        self, ask: Reserve, place: Place
    ) -> list[Recorded | Full]:
        """Returns what holders say, once that is enough or all was said."""
        asks = {
            self.reach.spawn(
                self.reach.ask(member, ask, _RECORD_SECONDS, _AWAY_SECONDS)
            )
            for member in self._members(place.holders)
        }
        replies: list[Recorded | Full] = []
        while asks:
            done, asks = await asyncio.wait(
                asks, return_when=asyncio.FIRST_COMPLETED
            )
            said = [task.result() for task in done]
            replies += [r for r in said if isinstance(r, Recorded | Full)]
            if _is_enough(replies, len(place.holders), ask.tokens):
                break
        return replies

    def _members(self, names: Iterable[str]) -> list[Member]:
        known = self.reach.members.known
        return [known[name] for name in names if name in known]

    async def _reserve_alone(
        self, ask: Reserve, refusal: Unsure
    ) -> Reserved | Unsure:
        """Asks for tokens that one instance may grant alone.

        A failure domain that is cut off goes on so, with programs that began
        there and with new ones.

        Args:
            ask: What is asked for.
            refusal: Why the permission could not be had otherwise.
        """
        alone = msgspec.structs.replace(ask, alone=True)
        for member in self._near(ask.place.sharers if ask.place else ()):
            reply = await self.reach.ask(member, alone, _ALONE_SECONDS)
            if isinstance(reply, Reserved):
                self.granted_alone_by[ask.attempt] = member.name
                return reply
            if isinstance(reply, Full):
                refusal = Unsure("what may be granted alone is used up")
        return refusal

    def _near(self, sharers: tuple[str, ...]) -> list[Member]:
        """Returns who may grant alone and does answer.

        For a program without an account that is an instance of this domain.
        """
        members = self._members(sharers) or [
            member
            for member in self.reach.members.known.values()
            if member.domain == self.reach.domain
        ]
        return [m for m in members if not self.reach.is_unresponsive(m)]

    async def _compare(
        self, ask: Reserve, place: Place
    ) -> Spent | Unsure | None:
        """Puts together what holders know, where one has no room.

        None if there is room after all, and the holders know it now.
        """
        members = self._members(place.holders)
        sharers = self._members(place.sharers)
        said = await asyncio.gather(
            *(
                self.reach.ask(member, Show(ask.program), _COMPARE_SECONDS)
                for member in members
            ),
            *(
                self.reach.ask(member, GiveBack(ask.program), _COMPARE_SECONDS)
                for member in sharers
            ),
        )
        shown = [reply for reply in said if isinstance(reply, Shown)]
        given = [reply for reply in said if isinstance(reply, GivenBack)]
        if len(shown) < majority(len(place.holders)):
            return Unsure("too few holders of the account answer")
        joined = join([reply.account for reply in shown])
        is_given = len(given) == len(place.sharers)
        if is_given:
            used = sum(reply.used for reply in given)
            spare = joined.place.reserved - used
            joined.given = max(joined.given, spare)
        joined.uses.pop(ask.attempt, None)
        if joined.taken + ask.tokens <= joined.limit:
            return await self._tell(members, joined)
        if not is_given and joined.limit < joined.budget:
            return Unsure("part of the budget is set aside out of reach")
        running = joined.taken - joined.settled
        # What a turn used may be known only to one that is out of reach.
        is_sure = len(shown) == len(place.holders)
        if not is_sure and joined.settled + ask.tokens <= joined.limit:
            return Unsure("turns may have ended that count in full here")
        return Spent(joined.budget, joined.settled, running)

    async def _tell(
        self, members: list[Member], account: Account
    ) -> Unsure | None:
        message = Merge([account])
        told = await asyncio.gather(
            *(self.reach.ask(m, message, _RECORD_SECONDS) for m in members)
        )
        if sum(isinstance(reply, Done) for reply in told) < majority(
            len(account.place.holders)
        ):
            return Unsure("too few holders of the account answer")
        return None


def _is_enough(
    replies: list[Recorded | Full], holders: int, tokens: int
) -> bool:
    """Whether the rest of the replies would change nothing."""
    if is_permitted(replies, holders, tokens):
        return True
    is_full = any(isinstance(reply, Full) for reply in replies)
    return is_full and len(replies) >= majority(holders)
