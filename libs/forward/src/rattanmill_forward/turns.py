"""Reserves budget and reads the history for a turn, and stores its result."""

import asyncio

import msgspec

from rattanmill_core import (
    HeldMemory,
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
    NoMemory,
    NoSuchTurn,
    Reserve,
    Reserved,
    Spent,
    TurnUse,
    Unsure,
)

# An unavailable storage instance is back, or the partition of its domain over,
# within seconds. A caller that retries sooner only uses up its attempts.
_UNAVAILABLE_RETRY_SECONDS = 0.8


class Turn(msgspec.Struct):
    """A turn that may run.

    Attributes:
        body: Body for the endpoint: the text of its chain and its new input.
        reserved_tokens: Tokens that it may use, or 0 if it has no budget.
        chain_key: Key shared by the turns of its chain, or empty.
        has_begun: Whether its program has had a turn before, or None if that
            is unknown.
        event_data: Data of its events so far.
        events_sent: Number of events sent to the caller.
    """

    body: bytes
    reserved_tokens: int = 0
    chain_key: str = ""
    has_begun: bool | None = None
    event_data: list[bytes] = msgspec.field(default_factory=list)
    events_sent: int = 0


class History(msgspec.Struct, frozen=True):
    """The chain that a turn continues.

    Attributes:
        body: The text of the chain and the new input.
        chain_key: Key shared by the turns of the chain, or empty.
    """

    body: bytes
    chain_key: str


class Reservation(msgspec.Struct, frozen=True):
    """Tokens reserved for a turn.

    Attributes:
        tokens: Tokens that the turn may use, or 0 if it has no budget.
        taken: Tokens reserved or used by its program, this turn included, or
            None if not all holders' reservations are known.
    """

    tokens: int = 0
    taken: int | None = None


def has_begun(
    call: Call, route: Route, reservation: Reservation
) -> bool | None:
    """Returns whether a turn's program has had a turn before, None if unknown.

    The holders of its budget know it for all front ends.
    """
    if call.previous_turn_id:
        return True
    if reservation.taken is not None:
        return reservation.taken > reservation.tokens
    return False if route.stores_turns else None


class TurnManager:
    """Token budgets and histories of turns.

    Args:
        keepers: Client of the storage instances.
        metrics: Counters.
    """

    def __init__(self, keepers: KeeperClient, metrics: Metrics) -> None:
        self.keepers = keepers
        self.metrics = metrics

    async def begin(
        self, call: Call, route: Route, held: HeldMemory | None = None
    ) -> Turn | Refusal:
        """Reads a turn's chain and reserves its budget.

        Args:
            call: The turn's request.
            route: The route that it matched.
            held: Gets the memory that the chain takes, or None if it is not
                counted.
        """
        if route.stores_turns and call.last_event_id:
            return refuse(
                Reason.TURN_UNSURE,
                "the events that the caller has are not known here, so the turn"
                " could not be stored as a whole",
            )
        if self._would_be_unreachable(call, route):
            return refuse(
                Reason.TURN_UNSURE,
                "failure domain is partitioned: later turns could not be read"
                " elsewhere",
                retry_after=self.keepers.reach.failover_seconds(),
            )
        if route.stores_turns and not self.keepers.turns.can_keep():
            return refuse(
                Reason.TURN_UNKEPT,
                "too few storage instances respond to keep the turn",
                retry_after=self._unavailable_seconds(),
            )
        try:
            history, reservation = await asyncio.gather(
                self._history(call, route, held), self._reserve(call)
            )
        except asyncio.CancelledError:
            # The caller disconnected. The budget may have been reserved
            # already.
            if call.program and call.token_budget is not None:
                self.keepers.budgets.release(
                    call.scoped(call.program), call.request_id
                )
            raise
        refusal = next(
            (x for x in (reservation, history) if isinstance(x, Refusal)), None
        )
        if refusal is None:
            return Turn(
                history.body,
                reservation.tokens,
                history.chain_key,
                has_begun(call, route, reservation),
            )
        if isinstance(reservation, Reservation) and reservation.tokens:
            self.keepers.budgets.release(
                call.scoped(call.program), call.request_id
            )
        return refusal

    def _would_be_unreachable(self, call: Call, route: Route) -> bool:
        """Whether later turns of a conversation could not be read elsewhere.

        The turns would be stored in a domain that is partitioned. Callers are
        soon moved to another domain, where nobody has them: of fifteen
        conversations that began so, eleven waited for the end of the partition.
        """
        return (
            route.stores_turns
            and not call.previous_turn_id
            and self.keepers.reach.is_cut_off()
        )

    async def _history(
        self, call: Call, route: Route, held: HeldMemory | None
    ) -> History | Refusal:
        if not (route.stores_turns and call.previous_turn_id):
            return History(call.body, call.scoped(call.program))
        found = await self.keepers.turns.find(
            call.scoped(call.previous_turn_id), call.scoped(call.program), held
        )
        match found:
            case NoSuchTurn():
                return refuse(Reason.UNKNOWN_TURN, "no such turn")
            case Unsure(why=why):
                return refuse(Reason.TURN_UNSURE, why)
            case NoMemory():
                return refuse(
                    Reason.MEMORY_EXHAUSTED,
                    "the memory for requests does not suffice for the chain",
                )
        texts = [kept.text for kept in reversed(found)]
        return History(b"".join([*texts, call.body]), found[0].key)

    async def _reserve(self, call: Call) -> Reservation | Refusal:
        if not call.program or call.token_budget is None:
            return Reservation()
        tokens = call.max_output_tokens
        program = call.scoped(call.program)
        reply = await self.keepers.budgets.reserve(
            Reserve(program, call.request_id, tokens, call.token_budget)
        )
        outcome = type(reply).__name__.lower()
        is_alone = call.request_id in self.keepers.budgets.granted_alone_by
        log_event(
            "budget",
            request=call.request_id,
            program=call.program,
            tokens=tokens,
            budget=call.token_budget,
            outcome=outcome,
            holders=self.keepers.budgets.holders_of(program),
            alone=is_alone,
            taken=getattr(reply, "taken", None),
            settled=getattr(reply, "settled", None),
            running=getattr(reply, "running", None),
            why=getattr(reply, "why", None),
        )
        match reply:
            case Reserved(taken=taken):
                return Reservation(tokens, None if is_alone else taken)
            case Spent():
                return refuse(
                    Reason.BUDGET_EXHAUSTED,
                    f"{reply.settled} of {reply.budget} tokens are used and up"
                    f" to {reply.running} more are reserved by running turns",
                )
            case Unsure(why=why):
                return refuse(
                    Reason.BUDGET_UNRESERVED,
                    why,
                    retry_after=self._unavailable_seconds(),
                )

    def _unavailable_seconds(self) -> float:
        """Returns when to come back after storage instances did not respond."""
        reach = self.keepers.reach
        if reach.is_cut_off():
            return reach.failover_seconds()
        return _UNAVAILABLE_RETRY_SECONDS

    def release(self, call: Call, turn: Turn) -> None:
        """Returns the reservation of a turn that has not run.

        Its caller may return sooner than a settlement reaches the holders, and
        would then be taken for a program that has begun.
        """
        if turn.reserved_tokens:
            self.keepers.budgets.release(
                call.scoped(call.program), call.request_id
            )

    def settle(self, call: Call, turn: Turn, service: Service) -> None:
        """Settles a turn's reservation once the turn has ended in any way."""
        if not turn.reserved_tokens:
            return
        self.keepers.budgets.settle_later(
            call.scoped(call.program),
            call.request_id,
            _used_tokens(turn, service),
        )

    def _use(self, call: Call, turn: Turn, service: Service) -> TurnUse | None:
        if not turn.reserved_tokens:
            return None
        return self.keepers.budgets.use_of(
            call.scoped(call.program),
            call.request_id,
            _used_tokens(turn, service),
        )

    async def store(
        self,
        call: Call,
        route: Route,
        service: Service,
        turn: Turn,
        deadline: float,
    ) -> KeepResult:
        """Stores a finished turn for the turns that continue it.

        Args:
            call: The turn's request.
            route: The route that it matched.
            service: The service of the route.
            turn: The turn.
            deadline: Loop time until which it may take.
        """
        text = b"".join(
            [call.body, *(data + b"\n" for data in turn.event_data)]
        )
        kept = KeptTurn(
            call.scoped(call.request_id),
            call.scoped(call.previous_turn_id),
            text,
            wall_seconds() + route.retention_seconds,
            turn.chain_key,
            self._use(call, turn, service),
        )
        kept_by = await self.keepers.turns.keep(kept, deadline)
        log_event(
            "turn_kept",
            request=call.request_id,
            program=call.program,
            previous=call.previous_turn_id,
            bytes=len(text),
            domains=kept_by.domains,
            keepers=kept_by.keepers,
            enough=kept_by.is_replicated,
        )
        return kept_by


def _used_tokens(turn: Turn, service: Service) -> int:
    """Returns what a turn with a budget has used so far."""
    if not service.engine:
        return turn.reserved_tokens
    return turn.events_sent * service.engine.tokens_per_event
