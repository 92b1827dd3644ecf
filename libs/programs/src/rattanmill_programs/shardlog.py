"""The log of one shard in the key-value service, with group commit.

Each slot of the log is one key, created once and never overwritten. A new owner
first writes a segment with ``EpochOpened`` into the next free slot. If the
previous owner is still alive and tries to write that slot later, the write
conflicts and it learns that it is fenced. If its write came first, the new
owner gets the conflict and reads that segment. So the new owner sees every
committed turn.
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
_MAX_SEGMENT_BYTES = 900_000
# Pending records are held in memory while the key-value service is unavailable.
_MAX_PENDING_BYTES = 32_000_000
_COMMIT_TIMEOUT_SECONDS = 1.0
_RETRY_DELAY_SECONDS = 0.1
_OWNERSHIP_POLL_SECONDS = 0.05


class Committed(msgspec.Struct, frozen=True):
    """The records are stored in the key-value service."""


class Deferred(msgspec.Struct, frozen=True):
    """The key-value service does not respond; the log keeps retrying."""


Appended = Committed | Deferred | Fenced


class _Batch(msgspec.Struct):
    records: list[Record]
    size: int
    done: asyncio.Future


class ShardLog:
    """Appends records to a shard's log; batches appends into one write.

    Attributes:
        fenced: Whether a newer owner was found, or the log was stopped.
        size: Bytes of the log from its start on.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain of the shard.
        shard: Shard number.
        epoch: Epoch of this owner.
        recovered: Result of the recovery; gives the position in the log.
        on_fenced: Called once when a newer owner is found.
        is_ownership_certain: Returns whether this instance has owned the shard
            without interruption.
    """

    def __init__(
        self,
        kv: KvClient,
        domain: str,
        shard: int,
        epoch: int,
        recovered: Recovered,
        on_fenced: Callable[[], None],
        is_ownership_certain: Callable[[], bool] = lambda: True,
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
        self.is_ownership_certain = is_ownership_certain
        self.pending: list[_Batch] = []
        self.pending_bytes = 0
        self.writing: list[_Batch] = []
        self.wake = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self.fenced = False
        self.task = asyncio.create_task(self._write_forever())

    def enqueue(self, *records: Record) -> asyncio.Future:
        """Queues records.

        Returns:
            Future of the outcome, ``Committed`` or ``Fenced``.
        """
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
        """Whether the queue is over its limit; callers must not add to it."""
        return self.pending_bytes > _MAX_PENDING_BYTES

    async def append(self, *records: Record) -> Appended:
        """Queues records and waits for their commit up to a timeout.

        Returns:
            ``Deferred`` if the outcome is still unknown at the timeout.
        """
        done = self.enqueue(*records)
        # Do not wait while the service is known to be unavailable.
        wait = 0.0 if self.kv.breaker.is_open() else _COMMIT_TIMEOUT_SECONDS
        finished, _ = await asyncio.wait([done], timeout=wait)
        return done.result() if finished else Deferred()

    async def flush(self, seconds: float) -> bool:
        """Waits until all queued records are written.

        Args:
            seconds: Timeout.

        Returns:
            False if the timeout passed first or the log is fenced.
        """
        try:
            await asyncio.wait_for(self.idle.wait(), seconds)
        except TimeoutError:
            return False
        return not self.fenced

    def stop(self) -> None:
        """Stops the log; pending and later appends return ``Fenced``.

        Otherwise a turn that ends after its shard was lost would wait for a
        commit that never happens and get ``Deferred``, and its caller would
        get a receipt from an instance that no longer owns the shard.
        """
        self.task.cancel()
        self._end()

    async def _write_forever(self) -> None:
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
            if taken and size > _MAX_SEGMENT_BYTES:
                break
            taken.append(batch)
        del self.pending[: len(taken)]
        return taken

    async def _write(self, batches: list[_Batch]) -> None:
        records = [record for batch in batches for record in batch.records]
        segment = Segment(new_id(), self.epoch, records)
        for value in encode_values(segment, _MAX_SEGMENT_BYTES):
            if not await self._fill_slot(value, batches):
                return
        await self._wait_until_ownership_certain()
        for batch in batches:
            self.pending_bytes -= batch.size
            if not batch.done.done():
                batch.done.set_result(Committed())

    async def _fill_slot(self, value: bytes, batches: list[_Batch]) -> bool:
        """Writes the next slot; returns False on a conflict."""
        key = slot_key(self.domain, self.shard, self.next_slot)
        while True:
            outcome = await self.kv.create_unique(key, value)
            if not isinstance(outcome, Unavailable):
                break
            pause = random.uniform(
                _RETRY_DELAY_SECONDS / 2, _RETRY_DELAY_SECONDS
            )
            await asyncio.sleep(pause)
        self.next_slot += 1
        if isinstance(outcome, Conflict):
            await self._resolve_conflict(key, batches)
            return False
        self.size += len(value)
        return True

    async def _wait_until_ownership_certain(self) -> None:
        """Waits until it is certain that this instance owned the slot it wrote.

        After a pause of this process, another owner may have compacted the log
        and deleted the slot that was to be written next. The write then
        succeeds, although the slot is never read.
        """
        while not self.is_ownership_certain() and not self.fenced:  # noqa: ASYNC110
            await asyncio.sleep(_OWNERSHIP_POLL_SECONDS)

    async def _resolve_conflict(self, key: str, batches: list[_Batch]) -> None:
        """Fences the log for a newer owner; else queues the batches again.

        A segment of an older owner is skipped.
        An instance that was paused while it took over the shard may write its
        ``EpochOpened`` after that of this owner. Treating it as a newer owner
        would leave the shard without an owner.
        """
        while True:
            found = await self.kv.read(key)
            if not isinstance(found, Unavailable):
                break
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
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
