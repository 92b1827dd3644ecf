"""A shard owned by this instance: its programs and its log."""

import asyncio
import contextlib
from collections.abc import Iterator

from rattanmill_programs.program import (
    STANDALONE_TOKEN,
    Program,
    apply,
    standalone_program,
)
from rattanmill_programs.records import BudgetReserved, Record
from rattanmill_programs.recovery import Fenced
from rattanmill_programs.shardlog import Appended, Committed, ShardLog


class Shard:
    """Programs of one shard, modified only by records of its log.

    Attributes:
        domain: Failure domain.
        number: Shard number.
        epoch: Fencing token of this ownership.
        programs: Programs by id.
        log: The shard's log.
        active: Number of calls in progress.
        no_active_calls: Set while no call is in progress.
    """

    def __init__(
        self,
        domain: str,
        number: int,
        epoch: int,
        programs: dict[str, Program],
        log: ShardLog,
    ) -> None:
        self.domain = domain
        self.number = number
        self.epoch = epoch
        self.programs = programs
        self.log = log
        self.active = 0
        self.no_active_calls = asyncio.Event()
        self.no_active_calls.set()

    @property
    def standalone_acts(self) -> Program:
        """Pseudo-program that holds the acts that belong to no program."""
        name = f"{self.domain}.{self.number}.{STANDALONE_TOKEN}"
        if name not in self.programs:
            self.programs[name] = standalone_program(name)
        return self.programs[name]

    @contextlib.contextmanager
    def track_call(self) -> Iterator[None]:
        """Counts a call of this shard as in progress within the context."""
        self.active += 1
        self.no_active_calls.clear()
        try:
            yield
        finally:
            self.active -= 1
            if not self.active:
                self.no_active_calls.set()

    async def drain(self, seconds: float) -> bool:
        """Waits until no call is in progress.

        Args:
            seconds: Timeout.

        Returns:
            False if calls were still in progress at the timeout.
        """
        try:
            await asyncio.wait_for(self.no_active_calls.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def keep(self, *records: Record) -> Appended:
        """Applies records in memory, then appends them to the log.

        They are applied first, so that the next turn can build on them while
        the key-value service is unavailable. If the shard turns out to be
        fenced, all its in-memory state is dropped.
        """
        if self.log.fenced:
            return Fenced()
        for record in records:
            apply(self.programs, record)
        return await self.log.append(*records)

    async def commit(self, *records: Record) -> Appended:
        """Appends records to the log and applies them only once committed.

        For records that must not take effect while they may still be lost,
        such as a reservation. The log keeps retrying after ``Deferred``; a
        late commit only makes the next owner count more tokens as spent. Until
        the outcome is known, the tokens count as ``pending_reserved``.
        """
        for record in records:
            if isinstance(record, BudgetReserved):
                program = self.programs[record.program]
                program.pending_reserved = max(
                    program.pending_reserved, record.tokens
                )
        appended = await self.log.append(*records)
        if isinstance(appended, Committed):
            for record in records:
                apply(self.programs, record)
        return appended
