"""The log of one shard in the key-value service, with group commit.

Segment ``n`` is one key, created but never replaced. A new owner first writes
a segment of its own, ``EpochOpened``, into the next free slot. If the owner
before it is still alive and tries to write that slot later, it finds it taken
and knows that it was fenced off; if its write came first, the new owner finds
that and reads it. So no turn is committed that the new owner does not see.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from rattanmill_core import new_id, part_logger
from rattanmill_platform import (
    Conflict,
    Found,
    KvClient,
    Range,
    Unavailable,
    Written,
)
from rattanmill_programs.program import Program, apply
from rattanmill_programs.records import (
    EpochOpened,
    Record,
    Segment,
    decode_segment,
    encode_segment,
)

_log = part_logger("log")
_SEGMENT_BYTES = 900_000
_COMMIT_SECONDS = 1.0
_RETRY_SECONDS = 0.1


class Committed(msgspec.Struct, frozen=True):
    """The records are in the key-value service."""


class Deferred(msgspec.Struct, frozen=True):
    """The service does not answer; the log goes on trying."""


class Fenced(msgspec.Struct, frozen=True):
    """Another instance owns the shard; the records are not kept."""


Appended = Committed | Deferred | Fenced


class _Batch(msgspec.Struct):
    records: list[Record]
    size: int
    done: asyncio.Future


class Recovered(msgspec.Struct, frozen=True):
    """A shard's programs and the slot after its last segment."""

    programs: dict[str, Program]
    next_slot: int


def log_prefix(domain: str, shard: int) -> str:
    """Prefix of the keys of a shard's segments."""
    return f"rm/log/{domain}/{shard}/"


def slot_key(domain: str, shard: int, slot: int) -> str:
    """Key of one segment; sorts by slot."""
    return f"{log_prefix(domain, shard)}{slot:010d}"


async def recover(
    kv: KvClient, domain: str, shard: int, epoch: int, owner: str
) -> Recovered | Unavailable | Fenced:
    """Opens an epoch and rebuilds the shard's programs from its log.

    Returns:
        The programs; ``Fenced`` if a higher epoch was opened meanwhile.
    """
    listed = await kv.list(log_prefix(domain, shard))
    if isinstance(listed, Unavailable):
        return listed
    next_slot = _after(listed)
    opening = Segment(new_id(), epoch, [EpochOpened(epoch, owner)])
    value = encode_segment(opening)
    while True:
        key = slot_key(domain, shard, next_slot)
        outcome = await kv.create_unique(key, value)
        if isinstance(outcome, Written):
            break
        if isinstance(outcome, Unavailable):
            return outcome
        next_slot += 1
    listed = await kv.list(log_prefix(domain, shard))
    if isinstance(listed, Unavailable):
        return listed
    programs = replay(listed, epoch)
    if isinstance(programs, Fenced):
        return programs
    return Recovered(programs, next_slot + 1)


def _after(listed: Range) -> int:
    if not listed.entries:
        return 0
    return int(listed.entries[-1].key.rsplit("/", 1)[-1]) + 1


def replay(listed: Range, epoch: int) -> dict[str, Program] | Fenced:
    """Rebuilds programs from a shard's segments.

    A segment whose epoch is lower than one before it was written by an owner
    that had been replaced already; nobody was told that it was kept.
    """
    programs: dict[str, Program] = {}
    highest = 0
    for entry in listed.entries:
        segment = decode_segment(entry.value)
        if segment.epoch > epoch:
            return Fenced()
        if segment.epoch < highest:
            continue
        highest = segment.epoch
        for record in segment.records:
            apply(programs, record)
    return programs


class ShardLog:
    """Appends records to a shard's log, many appends to one write.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain of the shard.
        shard: Shard number.
        epoch: Epoch of this owner.
        next_slot: First free slot.
        on_fenced: Called once when another owner is found.
    """

    def __init__(
        self,
        kv: KvClient,
        domain: str,
        shard: int,
        epoch: int,
        next_slot: int,
        on_fenced: Callable[[], None],
    ) -> None:
        self.kv = kv
        self.domain = domain
        self.shard = shard
        self.epoch = epoch
        self.next_slot = next_slot
        self.on_fenced = on_fenced
        self.pending: list[_Batch] = []
        self.wake = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self.fenced = False
        self.task = asyncio.create_task(self._write_for_ever())

    def enqueue(self, *records: Record) -> asyncio.Future:
        """Queues records; the future is done when their fate is known."""
        done = asyncio.get_running_loop().create_future()
        if self.fenced:
            done.set_result(Fenced())
            return done
        size = len(msgspec.msgpack.encode(records))
        self.pending.append(_Batch(list(records), size, done))
        self.idle.clear()
        self.wake.set()
        return done

    async def append(self, *records: Record) -> Appended:
        """Queues records and waits for their commit for a short while."""
        done = self.enqueue(*records)
        # While the service is known to be away, waiting helps nobody.
        wait = 0.0 if self.kv.breaker.is_open() else _COMMIT_SECONDS
        finished, _ = await asyncio.wait([done], timeout=wait)
        return done.result() if finished else Deferred()

    async def close(self, seconds: float) -> bool:
        """Stops the log; False if records were still waiting by then."""
        try:
            await asyncio.wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            pass
        self.task.cancel()
        return self.idle.is_set()

    async def _write_for_ever(self) -> None:
        while not self.fenced:
            await self.wake.wait()
            self.wake.clear()
            while self.pending and not self.fenced:
                batches = self._take_batches()
                await self._write(batches)
            if not self.pending:
                self.idle.set()

    def _take_batches(self) -> list[_Batch]:
        size = 0
        taken = []
        for batch in self.pending:
            size += batch.size
            if taken and size > _SEGMENT_BYTES:
                break
            taken.append(batch)
        del self.pending[: len(taken)]
        return taken

    async def _write(self, batches: list[_Batch]) -> None:
        records = [record for batch in batches for record in batch.records]
        value = encode_segment(Segment(new_id(), self.epoch, records))
        key = slot_key(self.domain, self.shard, self.next_slot)
        while True:
            outcome = await self.kv.create_unique(key, value)
            if not isinstance(outcome, Unavailable):
                break
            pause = random.uniform(_RETRY_SECONDS / 2, _RETRY_SECONDS)
            await asyncio.sleep(pause)
        self.next_slot += 1
        if isinstance(outcome, Conflict):
            await self._meet_conflict(key, batches)
            return
        for batch in batches:
            if not batch.done.done():
                batch.done.set_result(Committed())

    async def _meet_conflict(self, key: str, batches: list[_Batch]) -> None:
        """Stops for a newer owner, and passes over an older one's segment.

        An instance that was paused while it took the shard over may write its
        opening after ours. Taking that for a newer owner would leave the
        shard with none.
        """
        while True:
            found = await self.kv.read(key)
            if isinstance(found, Found):
                break
            await asyncio.sleep(_RETRY_SECONDS)
        if decode_segment(found.entry.value).epoch > self.epoch:
            self._stop_fenced(batches)
        else:
            self.pending[:0] = batches

    def _stop_fenced(self, batches: list[_Batch]) -> None:
        self.fenced = True
        for batch in [*batches, *self.pending]:
            if not batch.done.done():
                batch.done.set_result(Fenced())
        self.pending.clear()
        self.idle.set()
        _log.warning("Shard {}.{} has another owner.", self.domain, self.shard)
        self.on_fenced()
