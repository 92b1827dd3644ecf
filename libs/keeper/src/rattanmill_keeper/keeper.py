"""A storage instance: budget accounts and kept turns on its disk."""

import asyncio
import errno
import pathlib
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Self

import msgspec

from rattanmill_core import (
    Metrics,
    log_event,
    loop_seconds,
    start_loop,
    wall_seconds,
)
from rattanmill_keeper.capacity import Capacity
from rattanmill_keeper.crashes import CrashLog
from rattanmill_keeper.holdoff import HoldOff
from rattanmill_keeper.homes import (
    Consent,
    NeedsArbitration,
    arbitrate,
    request_consent,
)
from rattanmill_keeper.isolation import count_beginners, may_begin
from rattanmill_keeper.journal import Journal, Location
from rattanmill_keeper.ledger import (
    ACCOUNT_TTL_SECONDS,
    AccountChange,
    GrantedChange,
    HomeChange,
    Ledger,
    OpenRequired,
    PendingRecord,
    RosterChange,
    ShareChange,
    UseChange,
)
from rattanmill_keeper.loads import LoadCollector
from rattanmill_keeper.members import (
    MAX_SUCCESSORS,
    SHARES_SECONDS,
    TURN_HOLDER_SECONDS,
    Members,
    may_grant_alone,
)
from rattanmill_keeper.messages import (
    Account,
    AccountRef,
    Accounts,
    Agree,
    Agreed,
    Chain,
    Crashed,
    CutOff,
    Done,
    Elsewhere,
    Fetch,
    FetchAccounts,
    FetchTurns,
    Follow,
    Full,
    GiveBack,
    GivenBack,
    Grant,
    Home,
    Keep,
    KeptTurn,
    Lacking,
    Merge,
    News,
    Open,
    Opened,
    Outdated,
    Ping,
    Place,
    Recorded,
    Refused,
    ReportLoads,
    Reserve,
    Reserved,
    Settle,
    Show,
    Shown,
    StoreList,
    StoreWatch,
    Succeed,
    Succeeded,
    TakeRate,
    TurnRef,
    Turns,
    TurnUse,
    Unsure,
    reserve_for,
)
from rattanmill_keeper.mirror import Mirrors
from rattanmill_keeper.openings import StoreOpenings
from rattanmill_keeper.records import (
    CompletionMarker,
    Record,
    decode,
    encode,
    read_marker,
    remove_marker,
    replace_marker,
    write_marker,
)
from rattanmill_keeper.succession import Succession
from rattanmill_keeper.turns import (
    ChangeLog,
    HomeEntry,
    SuccessorEntry,
    TurnTable,
)
from rattanmill_platform import KeyValue

_PAGE_ENTRIES = 500
_SWEEP_SECONDS = 1.0
_FOLDER = "journal"
_DEFAULT_SHARE_BYTES = 64 * 1024 * 1024


class Keeper:
    """Stores accounts and turns, and serves requests for them.

    Attributes:
        ledger: Accounts and homes.
        table: Turns.
        is_recovered: Whether it holds all data that its disk should hold.
            Until then it opens no account, agrees to none and does not report
            any turn as nonexistent.
        is_decommissioning: Whether it is being decommissioned.
        is_closed: Whether it confirms no writes any more because the other
            instances already hold all of its data.
        run: ID of this run of the process.
        is_lease_valid: Returns whether the registration lease can't have
            expired, so that the others still count this instance, and it counts
            all others.
        unsynced_peers: Instances that may have agreed to accounts without this
            one and have not reported these accounts yet.
        follower_positions: Position up to which each other instance has
            followed this run, by name.
        caught_up_at: Loop time at which this instance last held everything
            that another instance had stored, by name; only of instances that
            had recovered or were new.
        alone_from: Unix time in seconds from which it may grant alone to
            programs that it does not know.
        is_new: Whether it never ran on another disk, with which grants could
            have been lost.
        hold_off: Keeps it from beginning programs alone after another instance
            may have done so.
        has_lost_nothing: Whether another instance knows that nothing was
            granted alone on the disk that was lost.
        crashes: Crashes reported by front ends.
        loads: Loads of endpoints reported by front ends.
        may_open: Checks whether an account may be opened here.
        take_rate: Lends tokens of workspaces' rate limits.
        openings: Accounts opened with the store.
        succession: Predecessors and the successor of this instance.
        capacity: What the machine bears.
        written_bytes: Size of the texts that are being written.
        was_full: Whether it kept no further turns when this was last checked.

    Args:
        name: Name of this instance.
        folder: Its data folder.
        first_start: Whether the whole system starts for the first time.
        members: The storage instances.
        kv: The platform store.
        metrics: Counters.
        max_ages: As in ``Mirrors``.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        first_start: bool,
        members: Members,
        kv: KeyValue,
        metrics: Metrics,
        max_ages: dict[str, float] | None = None,
    ) -> None:
        self.name = name
        self.folder = folder
        self.members = members
        self.kv = kv
        self.metrics = metrics
        self.ledger = Ledger(name)
        self.ledger.owner = members.owner
        self.table = TurnTable(self.read_turn)
        self.intake = ChangeLog()
        self.mirrors = Mirrors(kv, max_ages)
        self.journal = Journal(folder / _FOLDER, self._snapshot)
        self.run = uuid.uuid4().hex[:12]
        self.crashes = CrashLog(self.run)
        self.loads = LoadCollector(self.run)
        self.first_start = first_start
        self.is_recovered = first_start
        # Grants made alone may have been lost with the previous disk.
        self.alone_from = 0.0 if first_start else float("inf")
        self.is_new = first_start
        self.hold_off = HoldOff()
        self.has_lost_nothing = False
        self.is_lease_valid: Callable[[], bool] = lambda: True
        self.unsynced_peers: set[str] = set()
        self.follower_positions: dict[str, int] = {}
        self.caught_up_at: dict[str, float] = {}
        self.is_decommissioning = False
        self.is_closed = False
        self.succession = Succession(
            name, members, self.intake, self._write_roster
        )
        self.may_open = request_consent
        self.take_rate: Callable[[TakeRate], msgspec.Struct | Awaitable] = (
            lambda request: Unsure("rates are not limited here")
        )
        self.openings = StoreOpenings()
        self.capacity = Capacity(_DEFAULT_SHARE_BYTES)
        self.written_bytes = 0
        self.was_full = False
        self.recorded_roster: tuple = ()
        self.sweep_task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.table.cache_bytes = self.capacity.share_bytes
        self._restore()
        if not self.first_start:
            # Its registration may have expired while it was down.
            self.mark_possibly_excluded()
        await self.journal.__aenter__()
        await self.mirrors.__aenter__()
        if self.is_recovered:
            self.mark_recovered()
        self.sweep_task = start_loop("expiry sweep", self._sweep_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.sweep_task:
            self.sweep_task.cancel()
        await self.mirrors.__aexit__(*exc_info)
        await self.journal.__aexit__(*exc_info)

    def mark_recovered(self, is_new: bool = False) -> None:
        """Records, also on disk, that no data is missing here.

        Args:
            is_new: Whether this instance never ran before, so that it has
                granted nothing on a disk that was lost.
        """
        if not self.is_recovered:
            log_event("keeper_whole", turns=len(self.table.held), is_new=is_new)
            now = wall_seconds()
            self.alone_from = now + ACCOUNT_TTL_SECONDS
            self.is_new = is_new
            may_have_lost = not is_new and not self.has_lost_nothing
            if may_have_lost and self._is_small_system():
                self.ledger.shares_lost_until = now + TURN_HOLDER_SECONDS
        self.is_recovered = True
        write_marker(self.folder, self._marker())

    def _marker(self) -> CompletionMarker:
        return CompletionMarker(
            self.alone_from, self.ledger.shares_lost_until, self.is_new
        )

    async def restore_grants(self, grants: list[Grant]) -> None:
        """Records all that was granted alone on the disk that was lost.

        What was granted to programs whose accounts were open by then may still
        be lost, so nothing else of their budgets is given back.
        """
        changes = self.ledger.restore_shares(grants)
        for change in changes:
            self.intake.add(change.program)
        await self._append_all(changes)
        if self.has_lost_nothing:
            return
        self.has_lost_nothing = True
        log_event(
            "nothing_lost", whole=self.is_recovered, restored=len(changes)
        )
        if self.ledger.may_have_lost_share():
            self.ledger.shares_lost_until = 0.0
            replace_marker(self.folder, self._marker())

    def _is_small_system(self) -> bool:
        """Whether an instance of this system may have granted alone before."""
        count = len(self.members.roster() | {self.name})
        return may_grant_alone(count - MAX_SUCCESSORS)

    async def serve(self, message: msgspec.Struct) -> msgspec.Struct:
        """Returns the reply to one request."""
        reply = self.answer(message)
        return reply if isinstance(reply, msgspec.Struct) else await reply

    def answer(
        self, message: msgspec.Struct
    ) -> msgspec.Struct | Awaitable[msgspec.Struct]:
        """Handles one request.

        Returns:
            The reply, or an awaitable of it if the request needs the disk or
            other instances.
        """
        match message:
            case Reserve():
                return self.reserve(message)
            case Open():
                return self.open(message)
            case Show(program=program):
                return self.show(program)
            case GiveBack(program=program):
                return self.give_back(program)
            case Settle():
                return self._settle(message)
            case Agree():
                return self._agree(message)
            case Keep(kept=kept):
                return self._keep(kept)
            case Fetch(turn=turn, max_bytes=max_bytes):
                return self.fetch(turn, max_bytes)
            case FetchAccounts(programs=programs):
                return Accounts(self.ledger.get_many(programs))
            case FetchTurns(turns=turns):
                found = self.table.get_many(turns)
                held = set(turns) & self.table.held.keys()
                return Turns(found, len(found) < len(held))
            case Lacking(turns=turns):
                return Lacking(self.table.missing(turns))
            case Follow():
                return self._follow(message)
            case Merge(accounts=accounts):
                return self._merge(accounts)
            case Succeed():
                return self._succeed(message)
            case Ping():
                pong = self.crashes.answer(message)
                pong.revision = self.members.changed_revision
                pong.is_full = self.is_full
                return pong
            case Crashed(notes=notes):
                self.crashes.add(notes)
                return Done()
            case ReportLoads():
                return self.loads.answer(message)
            case StoreList() | StoreWatch():
                return self.mirrors.serve(message)
            case TakeRate():
                return self.take_rate(message)
        return Unsure("unknown request type")

    async def reserve(
        self, request: Reserve
    ) -> Recorded | Full | Reserved | Unsure:
        """Records a reservation and replies once it is on disk."""
        if self.is_closed:
            return Unsure("already decommissioned")
        if request.alone:
            return await self._reserve_alone(request)
        if not self.is_recovered:
            return Unsure("the instance has not recovered yet")
        is_known = request.program in self.ledger.accounts
        settled = len(request.ended) if is_known else 0
        changes = self._settle_ended(request) if is_known else []
        decision = self.ledger.reserve(request)
        if isinstance(decision, Full):
            # No record of a reservation takes them to disk.
            await self._append_all(changes)
            return Full(settled)
        for change in changes:
            self.journal.append_nowait(encode(change))
        if not isinstance(decision, PendingRecord):
            return decision
        decision.reply.settled = settled
        self.intake.add(request.program)
        if decision.account is not None:
            self.intake.add(HomeEntry(request.program))
            self.journal.append_nowait(encode(decision.account))
        await self._append(decision.change)
        return decision.reply

    def _settle_ended(self, request: Reserve) -> list[UseChange | ShareChange]:
        """Settles the attempts that a request reports as ended."""
        return [
            change
            for attempt, tokens in request.ended.items()
            for change in self.ledger.settle(
                Settle(request.program, attempt, tokens)
            )
        ]

    async def _reserve_alone(
        self, request: Reserve
    ) -> Reserved | Full | Unsure:
        decision = self.ledger.reserve_alone(request, self._may_begin_alone())
        if not isinstance(decision, ShareChange):
            return decision
        self.intake.add(request.program)
        await self._append(decision)
        return Reserved(decision.share.taken)

    def _may_begin_alone(self) -> bool:
        """Whether it may grant alone to programs that it does not know now."""
        others = self.members.others(self.name)
        return (
            self.may_create_share()
            and self.members.are_others_unresponsive(self.name)
            and not self.hold_off.is_on
            and may_begin(
                [self.members.contacts.get(name) for name in others],
                loop_seconds() + self.alone_from - wall_seconds(),
                loop_seconds(),
            )
        )

    def _alone_after_seconds(self) -> float:
        """Returns for how long it begins no programs, and none of it goes on.

        What it has begun before may go on. An instance of an earlier version
        is not told what that is.
        """
        held_off = 0.0 if self._has_begun() else self.hold_off.told_seconds()
        return max(0.0, self.alone_from - wall_seconds(), held_off)

    def _has_begun(self) -> bool:
        """Whether it has begun programs alone that may still go on."""
        return wall_seconds() < self.ledger.begun_used_at + SHARES_SECONDS

    async def _update_hold_off(self) -> None:
        """Holds off, on disk first, while others may have granted alone."""
        names = self.members.beginners(self.name)
        if names and self._is_small_system():
            self.hold_off.renew(names)
        else:
            others = self.members.others(self.name)
            self.hold_off.end(
                self.caught_up_at.get(name, float("-inf")) for name in others
            )
        if self.hold_off.is_on and not self.hold_off.is_saved:
            await self._write_roster()
            self.hold_off.is_saved = True

    def may_create_share(self) -> bool:
        """Whether it may grant alone to programs that it does not know.

        Not if it may have done so on a disk that was lost since.
        """
        roster = self.members.roster()
        return (
            self.is_recovered
            and not self.is_decommissioning
            and not self.succession.has_successor
            and wall_seconds() > self.alone_from
            and self.is_lease_valid()
            and not self.unsynced_peers & roster
            and may_grant_alone(len(roster | {self.name}))
        )

    def mark_possibly_excluded(self) -> None:
        """Notes that the others may have stopped counting this instance.

        Until each of them has reported what it agreed to, this instance does
        not grant alone to programs that it does not know.
        """
        self.unsynced_peers = self.members.roster() - {self.name}

    async def give_back(self, program: str) -> GivenBack | Unsure:
        """Stops granting alone to a program; replies once that is on disk."""
        is_restored = self.ledger.is_share_restored(program)
        if self._may_have_lost_grants() and not is_restored:
            return Unsure("grants made alone were lost with the disk")
        if wall_seconds() < self.ledger.granted_known_from:
            return Unsure("grants made alone were lost with another disk")
        change = self.ledger.close_share(program)
        await self._append(change)
        before = self.ledger.granted_before(program)
        return GivenBack(change.share.taken + before)

    def granted_known_from(self) -> float:
        """Returns from when on it can tell all that it has granted alone."""
        mine = 0.0 if self.is_new else self.alone_from
        return max(mine, self.ledger.granted_known_from)

    def _may_have_lost_grants(self) -> bool:
        """Whether it may have granted alone on a disk that was lost since."""
        return wall_seconds() < self.alone_from and not self.is_new

    async def close_shares(self) -> None:
        """Gives back all that this instance may still grant alone."""
        if self._may_have_lost_grants():
            return
        changes = [
            change
            for program in self.ledger.accounts
            for change in self.ledger.release_share(program)
        ]
        await self._append_all(changes)

    def show(self, program: str) -> Shown | Unsure:
        """Returns an account as it is known here."""
        account = self.ledger.accounts.get(program)
        return Shown(account) if account else Unsure("not held here")

    def merge(
        self, accounts: list[Account], is_successor: bool = False
    ) -> list[AccountChange]:
        """Merges accounts from other holders.

        Args:
            accounts: The accounts.
            is_successor: As in ``Ledger.merge``.

        Returns:
            The changes that have to be written to disk.
        """
        changes = [
            change
            for account in accounts
            if (change := self.ledger.merge(account, is_successor)) is not None
        ]
        for change in changes:
            self.intake.add(change.account.program)
            # Its holders may differ from those known here so far.
            self.intake.add(HomeEntry(change.account.program))
        return changes

    def fetch(self, turn: str, max_bytes: int = 0) -> Chain:
        """Returns a turn and all that it continues, as far as held here.

        Args:
            turn: Id of the turn.
            max_bytes: Maximum size of their texts, or 0 for any size.
        """
        chain = self.table.chain(turn, max_bytes)
        chain.whole = self.is_recovered
        if chain.missing and not chain.next_bytes:
            chain.unlisted = self.members.unlisted()
        return chain

    async def open(self, request: Open) -> Opened | Elsewhere | Unsure | CutOff:
        """Returns where an account is, and opens it if it has none."""
        found = self.ledger.find(request.program)
        if not isinstance(found, OpenRequired):
            return found
        if not self.is_recovered:
            return Unsure("the instance has not recovered yet")
        if self.is_decommissioning or self.succession.has_successor:
            return Unsure("the instance is being decommissioned")
        if request.program in self.ledger.opening:
            return Unsure("the account is being opened")
        self.ledger.opening.add(request.program)
        try:
            return await self._open(request, found.holders)
        finally:
            self.ledger.opening.discard(request.program)

    async def _open(
        self, request: Open, agreed_before: tuple[str, ...]
    ) -> Opened | Elsewhere | Unsure | CutOff:
        """Opens an account at new holders, or at those agreed to before."""
        program = request.program
        holders = agreed_before or self.members.choose_holders(
            self.name, program
        )
        # Its own consent must be on disk, too, before the account counts as
        # open. It is not in memory yet: with it this instance would refuse
        # another one that opens the account concurrently, and both would fail.
        home = HomeChange(Home(program, holders), wall_seconds())
        found, _ = await asyncio.gather(
            self.may_open(program, holders, self.ledger, self.members),
            self._append(home),
        )
        if isinstance(found, NeedsArbitration):
            found = await self._decide(home.home, found)
        if not isinstance(found, Consent):
            return found
        # Any instance that asked in the meantime got the reply that nothing
        # is granted alone here.
        is_old = bool(agreed_before) or program in self.ledger.homes
        place = self._place(request, holders, found, is_old)
        change = self.ledger.open(Account(program, request.budget, place))
        if change is None:
            return self.ledger.find(program)
        self.ledger.homes[program] = home
        self.journal.append_nowait(encode(change))
        # What it granted on a disk that was lost since counts already.
        if place.sharers == (self.name,) and self.name not in found.unseen:
            change = self.ledger.open_share(program, request.tokens)
            self.journal.append_nowait(encode(change))
        self.intake.add(program)
        self.intake.add(HomeEntry(program))
        log_event(
            "account_opened",
            program=program,
            holders=place.holders,
            sharers=place.sharers,
            reserved=place.reserved,
            unseen=sorted(found.unseen),
            missing=sorted(found.missing),
            earlier=sorted(set(place.sharers) - found.one_turn - {self.name}),
            lost_seconds={
                name: round(loss.heard, 1)
                for name, loss in found.losses.items()
                if name in place.sharers
            },
        )
        return Opened(place)

    async def _decide(
        self, home: Home, contested: NeedsArbitration
    ) -> Consent | Elsewhere | Unsure:
        """Lets the store decide; this instance's consent is on disk."""
        consenting = self.members.roster() - contested.consent.missing
        async with self.openings.announce(
            consenting | {self.name}, lambda: self.intake.position
        ) as is_listed:
            if not is_listed:
                return Unsure("the store does not list who knows the account")
            return await self._arbitrate(home, contested)

    async def _arbitrate(
        self, home: Home, contested: NeedsArbitration
    ) -> Consent | Elsewhere | Unsure:
        if self.ledger.add_home(home):
            self.intake.add(HomeEntry(home.program))
        known = self.ledger.holders_of(home.program)
        if known != home.holders:
            return Elsewhere(known)
        found = await arbitrate(
            home, contested, self.ledger, self.members, self.kv
        )
        if isinstance(found, Elsewhere):
            adopted = self.ledger.override_home(
                Home(home.program, found.holders)
            )
            if adopted:
                await self.write_home(adopted)
        return found

    def _place(
        self,
        request: Open,
        holders: tuple[str, ...],
        consent: Consent,
        is_old: bool,
    ) -> Place:
        """Returns the place of an account, with the reserve for its sharers."""
        missing = consent.missing if consent.max_beginners else frozenset()
        unseen = (missing | consent.unseen) - consent.unable
        sharers = consent.with_share | unseen
        if not sharers and not is_old and self.may_create_share():
            return Place(holders, (self.name,))
        one_turn = sharers <= consent.one_turn
        reserved = reserve_for(
            self._count_sharers(consent, unseen),
            request.budget,
            request.tokens,
            one_turn,
        )
        return Place(
            holders,
            tuple(sorted(sharers)),
            reserved,
            one_turn,
            tuple(sorted(sharers & consent.one_turn)),
        )

    def _count_sharers(self, consent: Consent, unseen: frozenset[str]) -> int:
        """Returns how many instances may have granted alone to a program."""
        missing = sorted(unseen & consent.missing)
        counted = [*missing[: consent.max_beginners], *unseen - consent.missing]
        had_two_domains = self.members.had_two_domains()
        losses = {} if had_two_domains else consent.losses
        return len(consent.with_share) + count_beginners(
            map(losses.get, counted)
        )

    async def _agree(self, request: Agree) -> Agreed | Refused | Unsure:
        if not self.is_recovered:
            return Unsure("the instance has not recovered yet")
        if self.is_decommissioning:
            return Unsure("the instance is being decommissioned")
        roster = self.members.roster()
        if not roster <= set(request.roster):
            return Outdated(sorted(roster))
        unknown = set(request.roster) - roster
        if unknown:
            self.members.last_seen.update(
                dict.fromkeys(unknown, wall_seconds())
            )
        decision = self.ledger.agree(request)
        if isinstance(decision, Refused):
            return decision
        if decision is not None:
            await self.write_home(decision)
        return Agreed(
            request.program in self.ledger.shares,
            self.ledger.may_have_lost_share(),
            self.members.max_beginners(),
            self.members.losses(),
            self.members.unable(),
            predecessors_with_share=self.ledger.predecessors_with_share(
                request.program
            ),
            has_one_turn=self.ledger.has_one_turn(request.program),
            one_turn=self.members.one_turn(),
            grantors=self.ledger.told.grantors(request.program),
        )

    async def write_home(self, change: HomeChange) -> None:
        """Writes an account's home to the journal and for followers."""
        self.intake.add(HomeEntry(change.home.program))
        await self._append(change)

    def read_turn(self, location: Location) -> KeptTurn:
        """Reads a turn from disk.

        Raises:
            OSError: The disk does not have it.
        """
        record = decode(self.journal.read_at(location))
        if not isinstance(record, KeptTurn):
            raise OSError(errno.EIO, f"no turn at {location}")
        return record

    @property
    def is_full(self) -> bool:
        """Whether no further turns should begin, as they may not be kept."""
        return self.capacity.is_full(
            len(self.table.held), self.journal.disk_bytes
        )

    async def _append(self, record: Record) -> Location:
        return await self.journal.append(encode(record))

    async def _append_all(self, records: Sequence[Record]) -> None:
        """Writes records in order; returns when all of them are on disk."""
        for record in records[:-1]:
            self.journal.append_nowait(encode(record))
        if records:
            await self._append(records[-1])

    async def _settle(self, request: Settle) -> Done:
        """Books in order: the reservation may have been sent just before.

        Replies once it is on disk: no further record may follow that would
        take it there, and the front end does not repeat it.
        """
        changes = self.ledger.settle(request)
        if self.ledger.begun_grant(request.program):
            self.intake.add(request.program)
        await self._append_all(changes)
        return Done()

    def _book(self, uses: list[TurnUse]) -> list[UseChange | ShareChange]:
        """Settles what kept turns have used, if it counts here."""
        return [
            change
            for use in uses
            for change in self.ledger.settle(
                Settle(use.program, use.attempt, use.tokens, use.alone)
            )
        ]

    async def persist_uses(self, uses: list[TurnUse]) -> None:
        """Settles what turns kept elsewhere have used, and writes it to disk.

        The other holders may learn of it only from here.
        """
        changes = self._book(uses)
        for change in changes:
            self.intake.add(change.program)
        await self._append_all(changes)

    async def _keep(self, kept: KeptTurn) -> Done | Unsure:
        refusal = self._refuse_turn(kept)
        if refusal:
            self.metrics.count("rattanmill_turns_refused", why=refusal)
            log_event(
                "turn_refused",
                turn=kept.turn,
                why=refusal,
                bytes=len(kept.text),
                turns=len(self.table.held),
                disk_bytes=self.journal.disk_bytes,
                written_bytes=self.written_bytes,
            )
            return Unsure(f"no room for the turn: {refusal}")
        await self.keep(kept)
        return Unsure("already decommissioned") if self.is_closed else Done()

    async def keep(self, kept: KeptTurn) -> None:
        """Stores a turn and returns when it is on disk, its use included."""
        if kept.turn in self.table.held:
            return
        for change in self._book([kept.use] if kept.use else []):
            self.journal.append_nowait(encode(change))
        self.written_bytes += len(kept.text)
        try:
            location = await self._append(kept)
        finally:
            self.written_bytes -= len(kept.text)
        if self.table.add(kept, location):
            self.intake.add(kept.turn)

    def _refuse_turn(self, kept: KeptTurn) -> str:
        """Returns what a turn lacks room in; empty if it can be kept."""
        if kept.turn in self.table.held:
            return ""
        size = len(kept.text)
        if not self.capacity.has_disk_for(size, self.journal.disk_bytes):
            return "disk"
        if not self.capacity.has_memory_for(size, self.written_bytes):
            return "memory"
        return ""

    def _follow(self, request: Follow) -> News | Awaitable[News]:
        self.members.record_asked(request.asker, request.asker_run)
        if request.asker in self.members.saved_silent:
            return self._note_return(request)
        return self._changes_for(request)

    async def _note_return(self, request: Follow) -> News:
        """Replies to one that was silent once the disk no longer says so.

        Otherwise, after a crash, it would seem to be lost since then.
        """
        await self._append(self._roster())
        self.members.saved_silent.discard(request.asker)
        return self._changes_for(request)

    def _changes_for(self, request: Follow) -> News:
        self.members.record_seen(request.asker, request.asker_run)
        self.succession.tell_followers()
        after = request.after if request.run == self.run else 0
        self.follower_positions[request.asker] = after
        entries = self.intake.since(after, _PAGE_ENTRIES)
        accounts: list[AccountRef] = []
        homes: list[Home] = []
        turns: list[TurnRef] = []
        uses: list[TurnUse] = []
        grants: list[Grant] = []
        has_begun = self._has_begun()
        successors: dict[str, str] = {}
        names = {
            request.asker,
            *request.predecessors,
            *self.members.predecessors(request.asker),
        }
        # A single pass, since every other instance requests all entries.
        for _, entry in entries:
            if isinstance(entry, HomeEntry):
                if holders := self.ledger.holders_of(entry.program):
                    homes.append(Home(entry.program, holders))
                continue
            if isinstance(entry, SuccessorEntry):
                successors[entry.name] = self.members.successors[entry.name]
                continue
            if held := self.table.held.get(entry):
                turns.append(TurnRef(entry, held.kept.key))
                if self._must_tell(held.kept.use, names):
                    uses.append(held.kept.use)
            if has_begun and (grant := self.ledger.begun_grant(entry)):
                grants.append(grant)
            account = self.ledger.accounts.get(entry)
            if account and not names.isdisjoint(account.place.holders):
                accounts.append(self.ledger.ref(account))
        position = entries[-1][0] if entries else self.intake.position
        has_lost_nothing = self.members.has_lost_nothing(request.asker)
        return News(
            self.run,
            position,
            turns,
            homes,
            accounts,
            self.is_recovered,
            position < self.intake.position,
            self.members.changed_revision,
            request.asker in self.members.known,
            self._absent_for(request),
            self.members.is_first_run(request.asker, request.asker_run),
            not self.is_recovered or self.ledger.may_have_lost_share(),
            self._alone_after_seconds(),
            has_begun,
            uses,
            successors,
            self._granting_one_turn(),
            has_lost_nothing,
            self.ledger.told.by(request.asker) if has_lost_nothing else [],
            grants,
            self.hold_off.told_seconds(),
            self.succession.is_complete,
        )

    def _granting_one_turn(self) -> list[str]:
        """Returns instances that grant one turn alone, if any grants so."""
        if not self._is_small_system():
            return []
        return [n for n, is_one in self.members.one_turn().items() if is_one]

    def _must_tell(self, use: TurnUse | None, asker: set[str]) -> bool:
        """Whether a holder may learn only from here what a turn has used.

        An instance that holds the account has it booked there.

        Args:
            use: What a turn has used, if its program has a budget.
            asker: Names of the holder, with those that it succeeded.
        """
        if use is None or use.program in self.ledger.accounts:
            return False
        holders = self.ledger.holders_of(use.program)
        return not holders or not asker.isdisjoint(holders)

    def _absent_for(self, request: Follow) -> list[str]:
        """Returns absent members that may hold what an asker's disk has lost.

        Members that left before this instance held everything that the asker
        held are not among them.
        """
        if self.members.is_first_run(request.asker, request.asker_run):
            return []
        caught_up_at = self.caught_up_at.get(request.asker, float("-inf"))
        return [
            name
            for name in self.members.unlisted()
            if name != request.asker
            and self.members.registered_at(name) >= caught_up_at
        ]

    async def _merge(self, accounts: list[Account]) -> Done | Unsure:
        if not self.is_recovered or self.is_closed:
            return Unsure("not recovered yet, or already decommissioned")
        await self.persist_accounts(accounts)
        return Done()

    async def persist_grants(self, name: str, grants: list[Grant]) -> None:
        """Records what an instance has granted alone, and writes it to disk."""
        change = self.ledger.told.learn(name, grants)
        if change is not None:
            await self._append(change)

    async def persist_accounts(self, accounts: list[Account]) -> None:
        """Merges accounts from other holders and writes them to disk."""
        await self._append_all(self.merge(accounts))

    async def _succeed(self, request: Succeed) -> Succeeded | Unsure:
        """Takes the place of a holder that is being decommissioned."""
        if not self.succession.includes(request.names):
            if not self._may_succeed(request):
                return Unsure("unable to hold further accounts now")
            granted = GrantedChange(request.granted, request.granted_known_from)
            self.ledger.add_granted(granted)
            changes = self.merge(request.accounts, is_successor=True)
            await asyncio.gather(*map(self._append, [granted, *changes]))
            # Nothing may come between this and the entry in memory.
            if request.is_last and not self._may_succeed(request):
                return Unsure("unable to hold further accounts now")
        if not request.is_last:
            return Succeeded(self.run)
        await self.succession.learn(dict.fromkeys(request.names, self.name))
        return Succeeded(self.run, await self.succession.announce())

    def _may_succeed(self, request: Succeed) -> bool:
        """Whether it has, and keeps, all that it was sent before."""
        return (
            self.is_recovered
            and not self.is_decommissioning
            and not self.succession.has_successor
            and request.run in ("", self.run)
        )

    def _restore(self) -> None:
        mark = read_marker(self.folder)
        if mark is not None:
            self.is_recovered = True
            self.alone_from = mark.alone_from
            self.is_new = mark.is_new
            self.ledger.shares_lost_until = mark.shares_lost_until
        records = 0
        undecodable = 0
        roster = RosterChange({})
        if self.first_start:
            # No earlier run, so none of an earlier version.
            self.members.share_sizes_from = 0.0
        for stored in self.journal.read():
            record = decode(stored.data)
            if isinstance(record, KeptTurn):
                self.table.add(record, stored.location)
            elif isinstance(record, RosterChange):
                # Replaces earlier ones: an instance may have left since.
                roster = record
            elif record is not None:
                self.ledger.restore(record)
            else:
                undecodable += 1
            records += 1
        if undecodable:
            # What is missing here may be held by the others.
            self.is_recovered = False
            remove_marker(self.folder)
        self.members.restore_seen(roster.seen, roster.informed_by)
        self.members.restore_contacts(roster.contacts)
        self.members.successors.update(roster.successors)
        self.succession.appointed = roster.appointed
        self.is_closed = bool(roster.appointed)
        if roster.is_held_off:
            self.hold_off.restore()
        self.members.restore_share_sizes(
            roster.one_turn_from, roster.share_sizes_from
        )
        programs = {**self.ledger.shares, **self.ledger.accounts}
        for entry in [*self.table.held, *programs]:
            self.intake.add(entry)
        for program in {**self.ledger.homes, **self.ledger.accounts}:
            self.intake.add(HomeEntry(program))
        log_event(
            "journal_read",
            records=records,
            turns=len(self.table.held),
            accounts=len(self.ledger.accounts),
            homes=len(self.ledger.homes),
            whole=self.is_recovered,
        )

    def _snapshot(self) -> list[bytes]:
        changes = [self._roster(), *self.ledger.snapshot()]
        return [encode(change) for change in changes]

    def _roster(self) -> RosterChange:
        members = self.members
        gone = members.decommissioned - members.known.keys()
        return RosterChange(
            {
                name: at
                for name, at in members.last_seen.items()
                if name not in gone
            },
            dict(members.informed_by),
            members.saved_contacts(),
            successors=dict(members.successors),
            appointed=self.succession.appointed,
            one_turn_from=dict(members.one_turn_from),
            share_sizes_from=members.share_sizes_from,
            is_held_off=self.hold_off.is_on,
        )

    async def _write_roster(self) -> None:
        await self._append(self._roster())

    def _record_roster(self) -> None:
        """Writes the roster to the journal, to be read after a restart."""
        roster = (
            self.members.roster(),
            dict(self.members.informed_by),
            self.members.contact_states(),
            dict(self.members.successors),
            dict(self.members.one_turn_from),
            self.hold_off.is_on,
        )
        if roster != self.recorded_roster:
            self.recorded_roster = roster
            self.journal.append_nowait(encode(self._roster()))
            self.journal.wake.set()

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self.sweep()
            await self._update_hold_off()
            await self.succession.announce()
            await self.mirrors.close_unused()
            await self.openings.withdraw(self._positions_followed())

    def _positions_followed(self) -> list[int]:
        """Returns how far each other instance has followed this one."""
        others = self.members.roster() - {self.name}
        return [self.follower_positions.get(name, -1) for name in others]

    def sweep(self) -> None:
        """Removes expired data from memory and disk."""
        for turn in self.table.expire():
            self.intake.remove(turn)
        for program in self.ledger.expire():
            self.intake.remove(program)
            self.intake.remove(HomeEntry(program))
        self._drop_segments()
        self._record_roster()
        self._log_full()

    def _log_full(self) -> None:
        """Logs when it becomes full, or has room again."""
        if self.is_full == self.was_full:
            return
        self.was_full = self.is_full
        log_event(
            "storage_full",
            full=self.was_full,
            turns=len(self.table.held),
            disk_bytes=self.journal.disk_bytes,
        )

    def _drop_segments(self) -> None:
        """Removes journal segments whose turns have all expired.

        Accounts and homes of a segment are repeated at the start of the next,
        but only once that snapshot is on disk.
        """
        numbers = self.journal.segments()
        needed = self.table.segments()
        # Keeps the newest two: a home that the others are asked about is in no
        # snapshot yet.
        for number in numbers[:-2]:
            is_repeated = number < self.journal.snapshot_segment
            if is_repeated and number not in needed:
                self.journal.drop_segment(number)
