"""What a turn needs before it runs and leaves behind when it ends."""

import asyncio

import msgspec

from rattanmill_core import (
    Metrics,
    Reason,
    Refusal,
    log_event,
    refuse,
    wall_seconds,
)
from rattanmill_forward.calls import Call
from rattanmill_forward.routes import Route, Service
from rattanmill_keeper import (
    KeeperClient,
    KeepResult,
    KeptTurn,
    NoSuchTurn,
    Reserve,
    Reserved,
    Spent,
    Unsure,
)

# A home that is away is back within seconds, or its domain's cut is over. A
# caller that comes back sooner only uses up its tries.
_AWAY_RETRY_SECONDS = 0.8


class Turn(msgspec.Struct):
    """A turn that may run.

    Attributes:
        body: Its chain's text and its new input: what the endpoint gets.
        reserved: Tokens that it may use, or 0 if it has no budget.
        chain: What the turns of its chain have in common, or empty.
        events: Data of its events so far.
        passed: Events passed on to the caller.
    """

    body: bytes
    reserved: int = 0
    chain: str = ""
    events: list[bytes] = msgspec.field(default_factory=list)
    passed: int = 0


class History(msgspec.Struct, frozen=True):
    """What a turn continues.

    Attributes:
        body: Its chain's text and its new input.
        chain: What the turns of its chain have in common, or empty.
    """

    body: bytes
    chain: str


class Turns:
    """Budgets and histories of turns.

    Args:
        keepers: The storage instances.
        metrics: Counters.
    """

    def __init__(self, keepers: KeeperClient, metrics: Metrics) -> None:
        self.keepers = keepers
        self.metrics = metrics

    async def begin(self, call: Call, route: Route) -> Turn | Refusal:
        """Finds a turn's chain and gets the permission to run it."""
        if self._would_strand(call, route):
            return refuse(
                Reason.TURN_UNSURE,
                "cut off: its next turns would not be found elsewhere",
                retry_after=self.keepers.reach.failover_seconds(),
            )
        try:
            history, permission = await asyncio.gather(
                self._history(call, route), self._reserve(call)
            )
        except asyncio.CancelledError:
            # The caller left. The permission may have been given already.
            if call.program and call.budget is not None:
                self.keepers.budgets.settle_later(call.program, call.request, 0)
            raise
        refusal = next(
            (x for x in (permission, history) if isinstance(x, Refusal)), None
        )
        if refusal is None:
            return Turn(history.body, permission, history.chain)
        if isinstance(permission, int) and permission:
            self.keepers.budgets.settle_later(call.program, call.request, 0)
        return refusal

    def _would_strand(self, call: Call, route: Route) -> bool:
        """Whether a conversation would begin where it can't go on.

        Its turns would be kept in a domain that is cut off. Callers are taken
        elsewhere soon, where nobody has them: of fifteen conversations that
        began so, eleven waited for the end of the cut.
        """
        return (
            route.keeps_turns
            and not call.previous
            and self.keepers.reach.is_cut_off()
        )

    async def _history(self, call: Call, route: Route) -> History | Refusal:
        if not (route.keeps_turns and call.previous):
            return History(call.body, call.program)
        found = await self.keepers.turns.find(call.previous, call.program)
        match found:
            case NoSuchTurn():
                return refuse(Reason.UNKNOWN_TURN, "no such turn")
            case Unsure(why=why):
                return refuse(Reason.TURN_UNSURE, why)
        texts = [kept.text for kept in reversed(found)]
        return History(b"".join([*texts, call.body]), found[0].key)

    async def _reserve(self, call: Call) -> int | Refusal:
        if not call.program or call.budget is None:
            return 0
        tokens = call.output_tokens
        reply = await self.keepers.budgets.reserve(
            Reserve(call.program, call.request, tokens, call.budget)
        )
        outcome = type(reply).__name__.lower()
        log_event(
            "budget",
            request=call.request,
            program=call.program,
            tokens=tokens,
            budget=call.budget,
            outcome=outcome,
            holders=self.keepers.budgets.holders_of(call.program),
            alone=call.request in self.keepers.budgets.granted_alone_by,
            taken=getattr(reply, "taken", None),
            settled=getattr(reply, "settled", None),
            why=getattr(reply, "why", None),
        )
        match reply:
            case Reserved():
                return tokens
            case Spent():
                return refuse(
                    Reason.BUDGET_EXHAUSTED,
                    f"{reply.settled} of {reply.budget} tokens are used and"
                    f" {reply.running} may be by turns that run",
                )
            case Unsure(why=why):
                reach = self.keepers.reach
                seconds = _AWAY_RETRY_SECONDS
                if reach.is_cut_off():
                    seconds = reach.failover_seconds()
                return refuse(
                    Reason.BUDGET_UNRESERVED, why, retry_after=seconds
                )

    def settle(self, call: Call, turn: Turn, service: Service) -> None:
        """Books what a turn has used, once it has ended in any way."""
        if not turn.reserved:
            return
        used = turn.reserved
        if service.engine:
            used = turn.passed * service.engine.tokens_per_event
        self.keepers.budgets.settle_later(call.program, call.request, used)

    async def keep(self, call: Call, route: Route, turn: Turn) -> KeepResult:
        """Keeps a finished turn for those that continue it."""
        text = b"".join([call.body, *(data + b"\n" for data in turn.events)])
        kept = KeptTurn(
            call.request,
            call.previous,
            text,
            wall_seconds() + route.retention_seconds,
            turn.chain,
        )
        kept_by = await self.keepers.turns.keep(kept)
        log_event(
            "turn_kept",
            request=call.request,
            program=call.program,
            previous=call.previous,
            bytes=len(text),
            domains=kept_by.domains,
            keepers=kept_by.keepers,
            enough=kept_by.is_replicated,
        )
        return kept_by
