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
    Missing,
    Unavailable,
)
from rattanmill_programs.records import (
    Record,
    Segment,
    decode_value,
    encode_values,
)
from rattanmill_programs.recovery import Fenced, Recovered, slot_key

_log = part_logger("log")
_SEGMENT_BYTES = 900_000
# What waits for a service that is away is held in memory.
_MOST_PENDING_BYTES = 32_000_000
_COMMIT_SECONDS = 1.0
_RETRY_SECONDS = 0.1
_DOUBT_SECONDS = 0.05


class Committed(msgspec.Struct, frozen=True):
    """The records are in the key-value service."""


class Deferred(msgspec.Struct, frozen=True):
    """The service does not answer; the log goes on trying."""


Appended = Committed | Deferred | Fenced


class _Batch(msgspec.Struct):
    records: list[Record]
    size: int
    done: asyncio.Future


class ShardLog:
    """Appends records to a shard's log, many appends to one write.

    Attributes:
        fenced: Whether another owner was found, or the log was stopped.
        size: Bytes in the log from its start on.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain of the shard.
        shard: Shard number.
        epoch: Epoch of this owner.
        recovered: Where the log stands.
        on_fenced: Called once when another owner is found.
        is_sure: Whether this instance has owned the shard without a break.
    """

    def __init__(
        self,
        kv: KvClient,
        domain: str,
        shard: int,
        epoch: int,
        recovered: Recovered,
        on_fenced: Callable[[], None],
        is_sure: Callable[[], bool] = lambda: True,
    ) -> None:
        self.kv = kv
        self.domain = domain
        self.shard = shard
        self.epoch = epoch
        self.start = recovered.start
        self.start_revision = recovered.start_revision
        self.next_slot = recovered.next_slot
        self.size = recovered.size
        self.on_fenced = on_fenced
        self.is_sure = is_sure
        self.pending: list[_Batch] = []
        self.pending_bytes = 0
        self.writing: list[_Batch] = []
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
        self.pending_bytes += size
        self.idle.clear()
        self.wake.set()
        return done

    @property
    def is_full(self) -> bool:
        """Whether too much waits already; callers must not add to it."""
        return self.pending_bytes > _MOST_PENDING_BYTES

    async def append(self, *records: Record) -> Appended:
        """Queues records and waits for their commit for a short while."""
        done = self.enqueue(*records)
        # While the service is known to be away, waiting helps nobody.
        wait = 0.0 if self.kv.breaker.is_open() else _COMMIT_SECONDS
        finished, _ = await asyncio.wait([done], timeout=wait)
        return done.result() if finished else Deferred()

    async def flush(self, seconds: float) -> bool:
        """Waits until all is written; False if it is not by then."""
        try:
            await asyncio.wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            return False
        return not self.fenced

    def stop(self) -> None:
        """Ends the log; whoever still appends finds it fenced.

        Without that, a turn that ends after its shard was lost would wait
        for a commit that never comes, be told that it is merely late, and
        its caller would get a receipt from an instance that owns nothing.
        """
        self.task.cancel()
        self._end()

    async def _write_for_ever(self) -> None:
        while not self.fenced:
            await self.wake.wait()
            self.wake.clear()
            while self.pending and not self.fenced:
                self.writing = self._take_batches()
                await self._write(self.writing)
                self.writing = []
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
        segment = Segment(new_id(), self.epoch, records)
        for value in encode_values(segment, _SEGMENT_BYTES):
            if not await self._fill_slot(value, batches):
                return
        await self._until_sure()
        for batch in batches:
            self.pending_bytes -= batch.size
            if not batch.done.done():
                batch.done.set_result(Committed())

    async def _fill_slot(self, value: bytes, batches: list[_Batch]) -> bool:
        """Writes the next slot; False if somebody else's value is there."""
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
            return False
        self.size += len(value)
        return True

    async def _until_sure(self) -> None:
        """Waits until it is certain that the slot was ours to fill.

        After a pause the shard may have had another owner, who compacted the
        log: the slot that we were about to write was deleted, and our write
        succeeds although nobody will ever read it.
        """
        while not self.is_sure() and not self.fenced:  # noqa: ASYNC110
            await asyncio.sleep(_DOUBT_SECONDS)

    async def _meet_conflict(self, key: str, batches: list[_Batch]) -> None:
        """Stops for a newer owner, and passes over an older one's segment.

        An instance that was paused while it took the shard over may write its
        opening after ours. Taking that for a newer owner would leave the
        shard with none.
        """
        while True:
            found = await self.kv.read(key)
            if not isinstance(found, Unavailable):
                break
            await asyncio.sleep(_RETRY_SECONDS)
        if isinstance(found, Missing) or _epoch(found) > self.epoch:
            self._end()
            _log.warning("Shard {}.{} has another owner.", *self.name)
            self.on_fenced()
        else:
            self.pending[:0] = batches

    @property
    def name(self) -> tuple[str, int]:
        """Failure domain and number of the shard."""
        return self.domain, self.shard

    def _end(self) -> None:
        self.fenced = True
        for batch in [*self.writing, *self.pending]:
            if not batch.done.done():
                batch.done.set_result(Fenced())
        self.pending.clear()
        self.pending_bytes = 0
        self.idle.set()


def _epoch(found: Found) -> int:
    return decode_value(found.entry.value).epoch
