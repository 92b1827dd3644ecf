"""A shard this instance owns: its programs and its log."""

import asyncio
import contextlib
from collections.abc import Iterator

from rattanmill_programs.program import (
    LOOSE_TOKEN,
    Program,
    apply,
    loose_program,
)
from rattanmill_programs.records import BudgetReserved, Record
from rattanmill_programs.recovery import Fenced
from rattanmill_programs.shardlog import Appended, Committed, ShardLog


class Shard:
    """Programs of one shard, changed only through the log.

    Attributes:
        domain: Failure domain.
        number: Shard number.
        epoch: Fencing number of this ownership.
        programs: Programs by id.
        log: The shard's log.
        active: Calls under way.
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
        self.quiet = asyncio.Event()
        self.quiet.set()

    @property
    def loose_acts(self) -> Program:
        """Holder of the acts that belong to no program."""
        name = f"{self.domain}.{self.number}.{LOOSE_TOKEN}"
        if name not in self.programs:
            self.programs[name] = loose_program(name)
        return self.programs[name]

    @contextlib.contextmanager
    def busy(self) -> Iterator[None]:
        """Marks that a call of this shard is under way."""
        self.active += 1
        self.quiet.clear()
        try:
            yield
        finally:
            self.active -= 1
            if not self.active:
                self.quiet.set()

    async def drain(self, seconds: float) -> bool:
        """Waits until no call of this shard is under way; False if too long."""
        try:
            await asyncio.wait_for(self.quiet.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def keep(self, *records: Record) -> Appended:
        """Applies records to memory and commits them.

        They are applied first, so that the next turn builds on them while the
        service is away; if the shard turns out to be fenced, its memory is
        dropped as a whole.
        """
        if self.log.fenced:
            return Fenced()
        for record in records:
            apply(self.programs, record)
        return await self.log.append(*records)

    async def commit(self, *records: Record) -> Appended:
        """Commits records and applies them only once they are committed.

        For what must not be acted on while it may still be lost, such as a
        reservation. The log goes on trying after ``Deferred``; its taking
        effect later only makes the next owner more careful. Until it is
        known, what was to be reserved counts as promised.
        """
        for record in records:
            if isinstance(record, BudgetReserved):
                program = self.programs[record.program]
                program.promised = max(program.promised, record.tokens)
        appended = await self.log.append(*records)
        if isinstance(appended, Committed):
            for record in records:
                apply(self.programs, record)
        return appended
