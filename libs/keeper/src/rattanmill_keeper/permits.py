"""Budget reservations by front ends, and their settlement."""

import asyncio
import collections
from collections.abc import Iterable

import msgspec

from rattanmill_core import loop_seconds, warn_event
from rattanmill_keeper.accounts import is_granted, majority, merge_accounts
from rattanmill_keeper.members import Member
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
    TurnUse,
    Unsure,
)
from rattanmill_keeper.reach import Reachability
from rattanmill_keeper.replicas import rank

# An instance that opens an account asks the others (up to 0.15 s) and possibly
# the platform store (0.3 s).
_OPEN_TIMEOUT_SECONDS = 0.55
# Delay before a hedged request to the next instance. Opening takes two round
# trips and a sync, at most 20 ms, so an instance that has not replied by then
# usually never does.
_OPEN_HEDGE_SECONDS = 0.1
_MAX_OPENERS = 4
# Timeout once an instance has reported that it is cut off, as this front end
# then usually is, too. Any instance that is reachable opens an account within
# 20 ms.
_CUT_OFF_TIMEOUT_SECONDS = 0.08
# A holder replies after a round trip and a sync, 10 ms. Under load some take
# five times as long.
_RECORD_TIMEOUT_SECONDS = 0.25
_UNRESPONSIVE_TIMEOUT_SECONDS = 0.05
_RECONCILE_TIMEOUT_SECONDS = 0.15
_ALONE_TIMEOUT_SECONDS = 0.1
_SETTLE_TIMEOUT_SECONDS = 0.5
# The next turn of a program usually comes within this time and reports the end
# of the last one along with its own reservation.
_SETTLE_DELAY_SECONDS = 0.4
# An unresponsive holder returns within seconds, in the worst case after all
# machines have lost power. A reservation whose settlement does not reach a
# majority counts as used in full, and the program would be told too early that
# its budget is spent.
_MAX_SETTLE_TRIES = 40
_SETTLE_RETRY_SECONDS = 0.75
_MAX_PROGRAMS = 20_000


class Ended(msgspec.Struct, frozen=True):
    """An attempt that has ended, and the holders that must learn of it."""

    settlement: Settle
    holders: frozenset[str]


class BudgetClient:
    """Reserves tokens of programs' budgets and settles their use.

    Attributes:
        opened: Placements of accounts, by program; least recently used first.
        granted_alone_by: Name of the storage instance that granted a
            reservation out of its share, by attempt.
        asked: Names of the holders that were sent a reservation, by attempt.
        ended: Attempts that are still to be settled, by program and attempt.

    Args:
        reach: Links to the storage instances.
    """

    def __init__(self, reach: Reachability) -> None:
        self.reach = reach
        self.opened: collections.OrderedDict[str, Opened] = (
            collections.OrderedDict()
        )
        self.granted_alone_by: dict[str, str] = {}
        self.asked: dict[str, set[str]] = {}
        self.ended: dict[str, dict[str, Ended]] = {}

    async def reserve(self, request: Reserve) -> Reserved | Spent | Unsure:
        """Reserves tokens for a turn.

        If the program has no account yet, one is opened in this failure domain
        or, if no instance responds here, in another.
        """
        began = loop_seconds()
        reply: Reserved | Spent | Unsure = Unsure("the caller disconnected")
        try:
            opened = await self._locate_account(request)
            if isinstance(opened, Opened):
                reply = await self._reserve_at_holders(request, opened.place)
            else:
                reply = await self._reserve_alone(request, opened)
        finally:
            if not isinstance(reply, Reserved):
                # It may have been recorded, and would never be settled.
                self.release(request.program, request.attempt)
        self.reach.metrics.observe(
            "rattanmill_reserve_seconds", loop_seconds() - began
        )
        return reply

    def release(self, program: str, attempt: str) -> None:
        """Returns a reservation that was not used, in the background."""
        self._settle_at(*self._end(program, attempt, 0))

    def settle_later(self, program: str, attempt: str, tokens: int) -> None:
        """Reports an attempt's use to the holders in the background."""
        settlement, holders = self._end(program, attempt, tokens)
        if settlement.alone or not holders:
            self._settle_at(settlement, holders)
            return
        ended = self.ended.setdefault(program, {})
        ended[attempt] = Ended(settlement, holders)
        asyncio.get_running_loop().call_later(
            _SETTLE_DELAY_SECONDS, self._flush, program, attempt
        )

    def use_of(self, program: str, attempt: str, tokens: int) -> TurnUse:
        """Returns what an attempt has used, to be kept with its turn.

        The holders are told as well. If this front end is killed before, they
        learn it from the kept turn.
        """
        is_alone = attempt in self.granted_alone_by
        return TurnUse(program, attempt, tokens, is_alone)

    def _end(
        self, program: str, attempt: str, tokens: int
    ) -> tuple[Settle, frozenset[str]]:
        """Returns an attempt's settlement, and who must learn of it."""
        granted_by = self.granted_alone_by.pop(attempt, "")
        asked = self.asked.pop(attempt, set()) | {granted_by}
        settlement = Settle(program, attempt, tokens, bool(granted_by))
        return settlement, frozenset(asked - {""})

    def _flush(self, program: str, attempt: str) -> None:
        """Settles an attempt, unless a reservation has taken it along."""
        by_attempt = self.ended.get(program, {})
        ended = by_attempt.pop(attempt, None)
        if not by_attempt:
            self.ended.pop(program, None)
        if ended is not None:
            self._settle_at(ended.settlement, ended.holders)

    async def flush(self) -> None:
        """Settles all attempts that have ended; waits for the replies."""
        for program, by_attempt in list(self.ended.items()):
            for attempt in list(by_attempt):
                self._flush(program, attempt)
        if self.reach.tasks:
            await asyncio.wait(
                set(self.reach.tasks), timeout=_SETTLE_TIMEOUT_SECONDS
            )

    def _settle_at(self, settlement: Settle, names: Iterable[str]) -> None:
        for name in names:
            self.reach.spawn(self._settle(settlement, name))

    def holders_of(self, program: str) -> tuple[str, ...]:
        """Returns the holders of a program's account; empty if unknown."""
        opened = self.opened.get(program)
        return opened.place.holders if opened else ()

    async def _settle(self, settlement: Settle, name: str) -> None:
        members = self.reach.members
        for _ in range(_MAX_SETTLE_TRIES):
            member = members.known.get(members.owner(name))
            if member and not self.reach.is_unresponsive(member):
                reply = await self.reach.ask(
                    member, settlement, _SETTLE_TIMEOUT_SECONDS
                )
                if reply is not None:
                    return
            await asyncio.sleep(_SETTLE_RETRY_SECONDS)
        # The reservation remains at this holder: the program appears to have
        # used more than it did, but never less.
        warn_event(
            "settle_lost",
            program=settlement.program,
            attempt=settlement.attempt,
            keeper=name,
        )

    async def _locate_account(self, request: Reserve) -> Opened | Unsure:
        """Returns the placement of an account, having it opened if needed.

        Instances are asked one after the other, with a hedged request to the
        next one if a reply takes long: the instance may just have been killed.
        """
        known = self.opened.get(request.program)
        if known:
            self.opened.move_to_end(request.program)
            return known
        message = Open(request.program, request.budget, request.tokens)
        queue = self._opener_queue(request.program)
        asked: set[str] = set()
        pending: set[asyncio.Task] = set()
        reply = Unsure("no storage instance is known")
        timeout_seconds = _OPEN_TIMEOUT_SECONDS
        while True:
            opener = self._next_opener(queue, asked)
            if opener is None and not pending:
                return reply
            if opener is not None:
                asked.add(opener.name)
                work = self.reach.ask(opener, message, timeout_seconds)
                pending.add(self.reach.spawn(work))
            done, pending = await asyncio.wait(
                pending,
                timeout=_OPEN_HEDGE_SECONDS if queue else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for found in (task.result() for task in done):
                match found:
                    case Opened():
                        self._remember(request.program, found)
                        return found
                    case Elsewhere(holders=holders):
                        reply = Unsure(
                            "the holders of the account do not respond"
                        )
                        queue = self._by_preference(request.program, holders)
                    case CutOff():
                        reply = Unsure("the storage instance reaches no others")
                        timeout_seconds = _CUT_OFF_TIMEOUT_SECONDS
                    case Unsure():
                        reply = found
                    case None:
                        reply = Unsure("no storage instance responds")

    def _opener_queue(self, program: str) -> list[Member]:
        there = self.reach.members.known.values()
        names = [member.name for member in there if not member.leaving]
        return self._by_preference(program, names)

    def _by_preference(
        self, program: str, names: Iterable[str]
    ) -> list[Member]:
        """Orders members by preference, with unresponsive ones last."""
        order = rank(program, self.reach.members.known)
        return sorted(
            self._owners(names),
            key=lambda member: (
                self.reach.is_unresponsive(member),
                member.domain != self.reach.domain,
                order.index(member.name),
            ),
        )

    def _next_opener(
        self, queue: list[Member], asked: set[str]
    ) -> Member | None:
        """Removes the next member to ask from the queue and returns it."""
        while queue and len(asked) < _MAX_OPENERS:
            member = queue.pop(0)
            # Once another member was asked, unresponsive ones are skipped.
            # Waiting for them would only delay the reply, by a second during
            # a partition.
            is_late = bool(asked) and self.reach.is_unresponsive(member)
            if member.name not in asked and not is_late:
                return member
        queue.clear()
        return None

    def _remember(self, program: str, opened: Opened) -> None:
        self.opened[program] = opened
        if len(self.opened) > _MAX_PROGRAMS:
            self.opened.popitem(last=False)

    async def _reserve_at_holders(
        self, request: Reserve, place: Place
    ) -> Reserved | Spent | Unsure:
        """Reserves at all holders, a majority of which grants it."""
        ended = list(self.ended.pop(request.program, {}).values())
        request = msgspec.structs.replace(
            request,
            place=place,
            ended={e.settlement.attempt: e.settlement.tokens for e in ended},
        )
        count = len(place.holders)
        for _ in range(2):
            replies = await self._record_at_holders(request, place, ended)
            # Sent along with the first reservation.
            ended = []
            if is_granted(replies, count, request.tokens):
                return Reserved(max(reply.taken for reply in replies))
            if len(replies) < majority(count):
                refusal = Unsure("too few holders of the account respond")
                return await self._reserve_alone(request, refusal)
            settled = await self._reconcile(request, place)
            if settled is not None:
                return settled
        return Unsure("the holders differ on what was used")

    async def _record_at_holders(
        self, request: Reserve, place: Place, ended: list[Ended]
    ) -> list[Recorded | Full]:
        """Returns the replies of holders, once they decide or all are in."""
        members = self._owners(place.holders)
        names = {member.name for member in members}
        self.asked.setdefault(request.attempt, set()).update(names)
        for item in ended:
            self._settle_at(item.settlement, item.holders - names)
        pending = {
            self.reach.spawn(self._record_at(member, request, ended))
            for member in members
        }
        replies: list[Recorded | Full] = []
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            batch = [task.result() for task in done]
            replies += [r for r in batch if isinstance(r, Recorded | Full)]
            if _is_decided(replies, len(place.holders), request.tokens):
                break
        return replies

    async def _record_at(
        self, member: Member, request: Reserve, ended: list[Ended]
    ) -> msgspec.Struct | None:
        """Sends a reservation; settles separately what it did not settle."""
        reply = await self.reach.ask(
            member,
            request,
            _RECORD_TIMEOUT_SECONDS,
            _UNRESPONSIVE_TIMEOUT_SECONDS,
        )
        is_reply = isinstance(reply, Recorded | Full)
        if not is_reply or reply.settled < len(ended):
            for item in ended:
                if member.name in item.holders:
                    self._settle_at(item.settlement, [member.name])
        return reply

    def _members(self, names: Iterable[str]) -> list[Member]:
        known = self.reach.members.known
        return [known[name] for name in names if name in known]

    def _owners(self, holders: Iterable[str]) -> list[Member]:
        """Returns the members that hold an account, each once.

        One in place of two holders must not count twice towards a majority.
        """
        return self._members(self.reach.members.owners(holders))

    async def _reserve_alone(
        self, request: Reserve, refusal: Unsure
    ) -> Reserved | Unsure:
        """Reserves tokens out of the share of one instance.

        This lets a failure domain that is cut off continue, with programs that
        began there as well as with new ones.

        Args:
            request: The reservation.
            refusal: Why the holders did not grant it.
        """
        alone = msgspec.structs.replace(request, alone=True)
        for member in self._responsive_sharers(
            request.place.sharers if request.place else ()
        ):
            reply = await self.reach.ask(member, alone, _ALONE_TIMEOUT_SECONDS)
            if isinstance(reply, Reserved):
                self.granted_alone_by[request.attempt] = member.name
                return reply
            if isinstance(reply, Full):
                refusal = Unsure(
                    "the share that may be granted alone is used up"
                )
        return refusal

    def _responsive_sharers(self, sharers: tuple[str, ...]) -> list[Member]:
        """Returns the responsive members that may grant alone.

        For a program without an account these are the instances of this
        failure domain.
        """
        members = self._members(sharers) or [
            member
            for member in self.reach.members.known.values()
            if member.domain == self.reach.domain
        ]
        return [m for m in members if not self.reach.is_unresponsive(m)]

    async def _reconcile(
        self, request: Reserve, place: Place
    ) -> Spent | Unsure | None:
        """Merges the holders' replicas after one lacked budget.

        Returns:
            None if the merged account leaves room, which was sent to the
            holders; otherwise the refusal.
        """
        members = self._owners(place.holders)
        sharers = self._owners(place.sharers if place.reserved else ())
        replies = await asyncio.gather(
            *(
                self.reach.ask(
                    member, Show(request.program), _RECONCILE_TIMEOUT_SECONDS
                )
                for member in members
            ),
            *(
                self.reach.ask(
                    member,
                    GiveBack(request.program),
                    _RECONCILE_TIMEOUT_SECONDS,
                )
                for member in sharers
            ),
        )
        shown = [reply for reply in replies if isinstance(reply, Shown)]
        returned = [reply for reply in replies if isinstance(reply, GivenBack)]
        if len(shown) < majority(len(place.holders)):
            return Unsure("too few holders of the account respond")
        merged = merge_accounts([reply.account for reply in shown])
        owners = self.reach.members.owners
        returned_by = {
            member.name
            for member, reply in zip(
                sharers, replies[len(members) :], strict=True
            )
            if isinstance(reply, GivenBack)
        }
        owner = self.reach.members.owner
        is_returned = not place.reserved or place.may_be_given_back(
            [name for name in place.sharers if owner(name) in returned_by]
        )
        if place.reserved and is_returned:
            used = sum(reply.used for reply in returned)
            spare = merged.place.reserved - used
            merged.given = max(merged.given, spare)
        merged.uses.pop(request.attempt, None)
        if merged.taken + request.tokens <= merged.limit:
            return await self._send_merged(members, merged)
        if not is_returned and merged.limit < merged.budget:
            return Unsure(
                "part of the budget is set aside at unreachable instances"
            )
        running = merged.taken - merged.settled
        # The final use of a turn may be known only to an unreachable holder.
        is_sure = len(shown) == len(owners(place.holders))
        if not is_sure and merged.settled + request.tokens <= merged.limit:
            return Unsure("ended turns may still count in full")
        return Spent(merged.budget, merged.settled, running)

    async def _send_merged(
        self, members: list[Member], account: Account
    ) -> Unsure | None:
        message = Merge([account])
        replies = await asyncio.gather(
            *(
                self.reach.ask(m, message, _RECORD_TIMEOUT_SECONDS)
                for m in members
            )
        )
        if sum(isinstance(reply, Done) for reply in replies) < majority(
            len(account.place.holders)
        ):
            return Unsure("too few holders of the account respond")
        return None


def _is_decided(
    replies: list[Recorded | Full], holders: int, tokens: int
) -> bool:
    """Whether further replies can't change the outcome."""
    if is_granted(replies, holders, tokens):
        return True
    is_full = any(isinstance(reply, Full) for reply in replies)
    return is_full and len(replies) >= majority(holders)
