"""A storage instance: accounts of budgets and kept turns."""

import asyncio
import os
import pathlib
import uuid
from typing import Self

import msgspec

from rattanmill_core import (
    Metrics,
    log_event,
    start_loop,
    wall_seconds,
    warn_event,
)
from rattanmill_keeper.crashes import CrashBoard
from rattanmill_keeper.homes import Consent, may_open
from rattanmill_keeper.journal import Journal
from rattanmill_keeper.ledger import (
    AccountChange,
    HomeChange,
    Ledger,
    Opening,
    RosterChange,
)
from rattanmill_keeper.members import Members
from rattanmill_keeper.messages import (
    Adopt,
    Agree,
    Agreed,
    Crashed,
    Done,
    Elsewhere,
    Fetch,
    FetchTurns,
    Follow,
    Home,
    Keep,
    KeptTurn,
    Lacking,
    News,
    Outdated,
    Ping,
    Refused,
    Reserve,
    Reserved,
    Settle,
    Spent,
    StoreItem,
    StoreItems,
    StoreList,
    StoreWatch,
    Turns,
    Unsure,
)
from rattanmill_keeper.turns import Intake, TurnTable
from rattanmill_platform import KeyValue, Range, WatchEvents

_PAGE = 500
_SWEEP_SECONDS = 1.0
_FOLDER = "journal"
# Written once the instance has all that it should; a disk without it is new
# or was lost.
_MARK = "whole"

Record = AccountChange | HomeChange | RosterChange | KeptTurn


class Keeper:
    """Holds accounts and turns, and answers for them.

    Attributes:
        ledger: Accounts and homes.
        table: Turns.
        whole: Whether it has all that its disk should hold. Until then it
            opens no account, agrees to none and denies no turn.
        leaving: Whether it is being emptied.
        run: Id of this run of the process.
        crashes: What fronts told of crashes.
        may_open: Finds out whether an account may be opened here.

    Args:
        name: Name of this instance.
        folder: Its data folder.
        first_start: Whether the whole system starts for the first time.
        members: The storage instances.
        kv: The platform's store.
        metrics: Counters.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        first_start: bool,
        members: Members,
        kv: KeyValue,
        metrics: Metrics,
    ) -> None:
        self.name = name
        self.folder = folder
        self.members = members
        self.kv = kv
        self.metrics = metrics
        self.ledger = Ledger(name)
        self.table = TurnTable()
        self.intake = Intake()
        self.journal = Journal(folder / _FOLDER, self._snapshot)
        self.run = uuid.uuid4().hex[:12]
        self.crashes = CrashBoard(self.run)
        self.whole = first_start
        self.leaving = False
        self.may_open = may_open
        self.noted: set[str] = set()
        self.sweeper: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self._restore()
        await self.journal.__aenter__()
        if self.whole:
            self.mark_whole()
        self.sweeper = start_loop("sweep of turns", self._sweep_for_ever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.sweeper:
            self.sweeper.cancel()
        await self.journal.__aexit__(*exc_info)

    def mark_whole(self) -> None:
        """Says, also on disk, that nothing is missing here."""
        mark = self.folder / _MARK
        if not mark.exists():
            # Synced, or a power loss takes it, and the instance that comes
            # back with all its data takes itself for one that lost its disk.
            with mark.open("w") as file:
                file.write(self.run)
                file.flush()
                os.fsync(file.fileno())
        if not self.whole:
            log_event("keeper_whole", turns=len(self.table.held))
        self.whole = True
        self.ledger.is_whole = True

    async def serve(self, message: msgspec.Struct) -> msgspec.Struct:
        """Answers one request."""
        match message:
            case Reserve():
                return await self.reserve(message)
            case Settle():
                return self.settle(message)
            case Agree():
                return await self._agree(message)
            case Keep(kept=kept):
                await self.keep(kept)
                return Done()
            case Fetch(turn=turn):
                return self.table.chain(turn, self.whole)
            case FetchTurns(turns=turns):
                return Turns(self.table.pick(turns))
            case Lacking(turns=turns):
                return Lacking(self.table.lacking(turns))
            case Follow():
                return self._news(message)
            case Adopt():
                return await self._adopt(message)
            case Ping():
                return self.crashes.answer(message)
            case Crashed(notes=notes):
                self.crashes.add(notes)
                return Done()
            case StoreList() | StoreWatch():
                return await self._ask_store(message)
        return Unsure("not understood")

    async def reserve(
        self, ask: Reserve
    ) -> Reserved | Spent | Elsewhere | Unsure:
        """Gives a permission once it is on disk."""
        if self.leaving and ask.program not in self.ledger.homes:
            return Unsure("being emptied")
        if self.ledger.is_lost(ask.program):
            return Unsure("the account was lost with this instance's disk")
        decision = self.ledger.reserve(ask)
        if isinstance(decision, Opening):
            opened = await self._open(ask.program, ask.budget)
            if opened is not None:
                return opened
            decision = self.ledger.reserve(ask)
        if isinstance(decision, AccountChange):
            taken = decision.account.taken
            await self.journal.append(_encode(decision))
            return Reserved(taken)
        if isinstance(decision, Opening):
            return Unsure("the account is being opened")
        return decision

    def settle(self, said: Settle) -> Done | Elsewhere:
        """Books what a turn has used."""
        known = self.ledger.homes.get(said.program)
        if known and known.home.keeper != self.name:
            return Elsewhere(known.home.keeper)
        change = self.ledger.settle(said)
        if change:
            self.journal.note(_encode(change))
        return Done()

    async def _open(
        self, program: str, budget: int
    ) -> Elsewhere | Unsure | None:
        if not self.whole:
            return Unsure("not whole yet")
        if program in self.ledger.opening:
            return Unsure("the account is being opened")
        self.ledger.opening.add(program)
        try:
            found = await self.may_open(
                program, self.ledger, self.members, self.kv
            )
            if not isinstance(found, Consent):
                return found
            change = self.ledger.open(program, budget)
        finally:
            self.ledger.opening.discard(program)
        if change is None:
            return Elsewhere(self.ledger.homes[program].home.keeper)
        self.intake.add(program)
        self.journal.note(_encode(change))
        return None

    async def _agree(self, ask: Agree) -> Agreed | Refused | Unsure:
        if not self.whole:
            return Unsure("not whole yet")
        roster = self.members.roster()
        if not roster <= set(ask.roster):
            return Outdated(sorted(roster))
        unknown = set(ask.roster) - roster
        if unknown:
            self.members.seen.update(dict.fromkeys(unknown, wall_seconds()))
        decision = self.ledger.may_open(ask.program, ask.keeper)
        if isinstance(decision, Refused):
            return decision
        if decision is not None:
            await self.write_home(decision)
        return Agreed()

    async def write_home(self, change: HomeChange) -> None:
        """Writes down where an account is, for the journal and followers."""
        self.intake.add(change.home.program)
        await self.journal.append(_encode(change))

    async def keep(self, kept: KeptTurn) -> None:
        """Takes a turn in and returns when it is on disk."""
        segment = await self.journal.append(_encode(kept))
        if self.table.add(kept, segment):
            self.intake.add(kept.turn)

    def _news(self, ask: Follow) -> News:
        self.members.seen[ask.asker] = wall_seconds()
        after = ask.after if ask.run == self.run else 0
        entries = self.intake.since(after, _PAGE)
        homes = [
            change.home
            for _, entry in entries
            if (change := self.ledger.homes.get(entry))
        ]
        homes += [
            Home(entry, self.name, account.version)
            for _, entry in entries
            if (account := self.ledger.accounts.get(entry))
        ]
        turns = [entry for _, entry in entries if entry in self.table.held]
        position = entries[-1][0] if entries else self.intake.position
        return News(
            self.run,
            position,
            turns,
            homes,
            self.whole,
            position < self.intake.position,
        )

    async def _adopt(self, ask: Adopt) -> Done | Unsure:
        if self.leaving or not self.whole:
            return Unsure("takes nothing new")
        changes = [self.ledger.adopt(account) for account in ask.accounts]
        for change in changes:
            self.intake.add(change.account.program)
        await asyncio.gather(
            *(self.journal.append(_encode(change)) for change in changes)
        )
        log_event("accounts_adopted", count=len(changes))
        return Done()

    async def _ask_store(
        self, ask: StoreList | StoreWatch
    ) -> StoreItems | Unsure:
        """Asks the store for an instance that it turns away."""
        if isinstance(ask, StoreList):
            said = await self.kv.list(ask.prefix)
        else:
            said = await self.kv.watch(ask.prefix, ask.after, ask.seconds)
        match said:
            case Range(entries=entries, revision=revision):
                items = [StoreItem(e.key, e.value, e.revision) for e in entries]
            case WatchEvents(changes=changes, revision=revision):
                items = [StoreItem(key, value, 0) for key, value in changes]
            case _:
                return Unsure("the store does not answer here either")
        return StoreItems(items, revision)

    def _restore(self) -> None:
        self.whole = self.whole or (self.folder / _MARK).exists()
        records = 0
        for stored in self.journal.read():
            record = _decode(stored.data)
            if isinstance(record, KeptTurn):
                self.table.add(record, stored.segment)
            elif isinstance(record, RosterChange):
                self.members.seen.update(record.seen)
            elif record is not None:
                self.ledger.restore(record)
            records += 1
        for entry in [*self.table.held, *self.ledger.homes]:
            self.intake.add(entry)
        for program in self.ledger.accounts:
            self.intake.add(program)
        log_event(
            "journal_read",
            records=records,
            turns=len(self.table.held),
            accounts=len(self.ledger.accounts),
            homes=len(self.ledger.homes),
            whole=self.whole,
        )

    def _snapshot(self) -> list[bytes]:
        changes = [RosterChange(self.members.seen), *self.ledger.snapshot()]
        return [_encode(change) for change in changes]

    def _note_roster(self) -> None:
        """Writes down who there is, for the time after a restart."""
        names = self.members.roster()
        if names != self.noted:
            self.noted = names
            self.journal.note(_encode(RosterChange(self.members.seen)))
            self.journal.wake.set()

    async def _sweep_for_ever(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Drops what is over, in memory and on disk."""
        for turn in self.table.expire():
            self.intake.remove(turn)
        for program in self.ledger.forget_old():
            self.intake.remove(program)
        self._drop_segments()
        self._note_roster()

    def _drop_segments(self) -> None:
        """Removes segments whose turns are over.

        Accounts and homes of a segment stand again at the start of the next.
        """
        numbers = self.journal.segments()
        needed = self.table.segments()
        # The newest two stay: the snapshot of the newest may not be synced.
        for number in numbers[:-2]:
            if number not in needed:
                self.journal.drop(number)


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def _encode(record: Record) -> bytes:
    return _ENCODER.encode(record)


def _decode(data: bytes) -> Record | None:
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        # Written by a newer version, or damaged where the checksum fits.
        warn_event("record_undecodable", why=str(error), bytes=len(data))
        return None
