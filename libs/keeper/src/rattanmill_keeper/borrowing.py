"""Tokens of workspaces' rate limits that a front end borrows."""

import asyncio
import collections
import math

import msgspec

from rattanmill_core import loop_seconds
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import RateGranted, TakeRate, Unsure
from rattanmill_keeper.reach import Reachability

_TAKE_TIMEOUT_SECONDS = 0.15
_UNRESPONSIVE_TIMEOUT_SECONDS = 0.05
_MAX_LENDERS = 3
# A request waits once for a token that is expected within this time.
_MAX_PATIENCE_SECONDS = 0.25
_MAX_SPARE = 20
# Period over which demand is counted.
_DEMAND_SECONDS = 1.0
_MAX_PROGRAMS = 20_000


class RateLimit(msgspec.Struct, frozen=True):
    """The rate limit of a workspace.

    Attributes:
        workspace: Name of the workspace.
        per_second: Requests per second over all instances.
        burst: Requests that may exceed that at once.
        version: Version of the configuration that sets it.
    """

    workspace: str
    per_second: float
    burst: float
    version: int


class Token(msgspec.Struct, frozen=True):
    """Permission to run one request before a loop time."""

    expires_at: float


class RateExceeded(msgspec.Struct, frozen=True):
    """The workspace is at its limit; a token may be free after a while."""

    wait_seconds: float


class Waiter(msgspec.Struct):
    """A request that waits for a token.

    Attributes:
        is_begun: Whether its program has begun, or it belongs to none.
        outcome: Gets the result.
    """

    is_begun: bool
    outcome: asyncio.Future[Token | RateExceeded | Unsure]


class Demand:
    """Counts the requests of about the last second."""

    def __init__(self) -> None:
        self.since = loop_seconds()
        self.current = 0
        self.previous = 0

    def count(self) -> None:
        """Counts one request."""
        self._advance()
        self.current += 1

    def per_second(self) -> float:
        """Returns the recent requests per second."""
        self._advance()
        return max(self.current, self.previous) / _DEMAND_SECONDS

    def _advance(self) -> None:
        elapsed = loop_seconds() - self.since
        if elapsed < _DEMAND_SECONDS:
            return
        self.previous = self.current if elapsed < 2 * _DEMAND_SECONDS else 0
        self.current = 0
        self.since = loop_seconds()


class Allowance:
    """What a front end has borrowed of one workspace's rate.

    Attributes:
        limit: The newest limit known.
        tokens: Tokens that are left, those that expire first in front.
        waiters: Requests that wait for tokens.
        demand: Recent requests.
        loan_seconds: How long the last tokens could be used.
        borrowing: Task that asks for tokens, or None.
    """

    def __init__(self, limit: RateLimit) -> None:
        self.limit = limit
        self.tokens: collections.deque[Token] = collections.deque()
        self.waiters: list[Waiter] = []
        self.demand = Demand()
        self.loan_seconds = 0.0
        self.borrowing: asyncio.Task | None = None

    def pop(self) -> Token | None:
        """Returns a token that may still be used, or None."""
        now = loop_seconds()
        while self.tokens:
            token = self.tokens.popleft()
            if token.expires_at > now:
                return token
        return None

    def spare_wanted(self) -> int:
        """Returns how many tokens are likely to be used while they last."""
        expected = self.demand.per_second() * self.loan_seconds / 2
        return min(math.floor(expected), _MAX_SPARE)

    def is_low(self) -> bool:
        """Whether the rest will not last for the requests that are expected."""
        return len(self.tokens) < self.spare_wanted() / 2

    def settle(
        self, waiters: list[Waiter], granted: RateGranted, asked_at: float
    ) -> None:
        """Passes granted tokens on to waiters, and keeps the others.

        Tokens expire from when they were asked for, so never after the lender
        expects it.
        """
        self.loan_seconds = granted.seconds
        token = Token(asked_at + granted.seconds)
        left = {True: granted.begun, False: granted.new}
        waits = {
            True: granted.begun_wait_seconds,
            False: granted.new_wait_seconds,
        }
        for waiter in waiters:
            if waiter.outcome.done():
                continue
            if left[waiter.is_begun]:
                left[waiter.is_begun] -= 1
                waiter.outcome.set_result(token)
                continue
            # Each refused request has its own time to come back.
            wait_seconds = waits[waiter.is_begun]
            waits[waiter.is_begun] += 1 / self.limit.per_second
            waiter.outcome.set_result(RateExceeded(wait_seconds))
        kept = sum(left.values()) + granted.spare
        self.tokens.extend([token] * kept)


class RateClient:
    """Borrows tokens of workspaces' rates from the storage instances.

    Attributes:
        allowances: What was borrowed, by workspace.
        begun: Programs that have begun here, least recently used first.

    Args:
        reach: Links to the storage instances.
    """

    def __init__(self, reach: Reachability) -> None:
        self.reach = reach
        self.allowances: dict[str, Allowance] = {}
        self.begun: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    async def take(
        self, limit: RateLimit, program: str, is_continued: bool
    ) -> Token | RateExceeded | Unsure:
        """Takes a token for a request.

        Args:
            limit: The limit of the caller's workspace.
            program: Id of the request's program, or empty.
            is_continued: Whether the request shows that the program has begun.
        """
        allowance = self.allowances.get(limit.workspace)
        if allowance is None:
            allowance = Allowance(limit)
            self.allowances[limit.workspace] = allowance
        if limit.version > allowance.limit.version:
            allowance.limit = limit
        allowance.demand.count()
        token = allowance.pop()
        if token is None:
            is_begun = is_continued or not program or program in self.begun
            found = await self._wait_patiently(allowance, is_begun)
        else:
            found = token
            if allowance.is_low():
                self._borrow_soon(allowance)
        if program and isinstance(found, Token):
            self._remember(program)
        return found

    async def _wait_patiently(
        self, allowance: Allowance, is_begun: bool
    ) -> Token | RateExceeded | Unsure:
        """Waits for a token, also for one that is free soon.

        A caller that is told to come back so soon comes back to another front
        end, and gives up after a few tries.
        """
        found = await self._wait(allowance, is_begun)
        if (
            not isinstance(found, RateExceeded)
            or found.wait_seconds > _MAX_PATIENCE_SECONDS
        ):
            return found
        await asyncio.sleep(found.wait_seconds)
        return allowance.pop() or await self._wait(allowance, is_begun)

    def give_back(self, limit: RateLimit, token: Token) -> None:
        """Returns the token of a request that did not run."""
        allowance = self.allowances.get(limit.workspace)
        if allowance:
            allowance.tokens.appendleft(token)

    async def _wait(
        self, allowance: Allowance, is_begun: bool
    ) -> Token | RateExceeded | Unsure:
        outcome = asyncio.get_running_loop().create_future()
        allowance.waiters.append(Waiter(is_begun, outcome))
        self._borrow_soon(allowance)
        try:
            return await outcome
        except asyncio.CancelledError:
            if outcome.done() and not outcome.cancelled():
                found = outcome.result()
                if isinstance(found, Token):
                    self.give_back(allowance.limit, found)
            raise

    def _borrow_soon(self, allowance: Allowance) -> None:
        if allowance.borrowing is None or allowance.borrowing.done():
            allowance.borrowing = self.reach.spawn(self._borrow(allowance))

    async def _borrow(self, allowance: Allowance) -> None:
        while True:
            waiters, allowance.waiters = allowance.waiters, []
            asked_at = loop_seconds()
            granted = await self._ask(allowance, waiters)
            if isinstance(granted, RateGranted):
                allowance.settle(waiters, granted, asked_at)
            else:
                for waiter in waiters:
                    if not waiter.outcome.done():
                        waiter.outcome.set_result(granted)
            if not allowance.waiters:
                return

    async def _ask(
        self, allowance: Allowance, waiters: list[Waiter]
    ) -> RateGranted | Unsure:
        limit = allowance.limit
        begun = sum(waiter.is_begun for waiter in waiters)
        request = TakeRate(
            limit.workspace,
            limit.per_second,
            limit.burst,
            limit.version,
            begun,
            len(waiters) - begun,
            allowance.spare_wanted(),
        )
        for member in self._lenders(limit.workspace):
            reply = await self.reach.ask(
                member,
                request,
                _TAKE_TIMEOUT_SECONDS,
                _UNRESPONSIVE_TIMEOUT_SECONDS,
            )
            if isinstance(reply, RateGranted):
                return reply
        return Unsure("no storage instance lends tokens of the rate limit")

    def _lenders(self, workspace: str) -> list[Member]:
        """Returns the members to ask, unresponsive ones last."""
        members = self.reach.members.lenders(workspace)
        members.sort(key=self.reach.is_unresponsive)
        return members[:_MAX_LENDERS]

    def _remember(self, program: str) -> None:
        self.begun[program] = None
        self.begun.move_to_end(program)
        if len(self.begun) > _MAX_PROGRAMS:
            self.begun.popitem(last=False)
