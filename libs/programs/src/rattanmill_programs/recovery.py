"""Rebuilds a shard's programs from its log, and opens an epoch in it.

The slots of a log are consecutive, from the first slot given by the log's start
(``LogStart``). They are read in pages of ten by their common key prefix, so
that no response has more than ten values, however long the log is.
"""

import msgspec

from rattanmill_core import DECODE_ERRORS, InvariantError, new_id
from rattanmill_platform import (
    Conflict,
    Found,
    KvClient,
    Missing,
    Unavailable,
    Written,
)
from rattanmill_programs.program import Program, apply
from rattanmill_programs.records import (
    EpochOpened,
    Piece,
    ProgramCreated,
    ProgramRestored,
    Record,
    Segment,
    decode_segment,
    decode_value,
    encode_segment,
)

_PAGE_SLOTS = 10
_SLOT_DIGITS = 10


class Fenced(msgspec.Struct, frozen=True):
    """Another instance owns the shard; the records are not committed."""


class Broken(msgspec.Struct, frozen=True):
    """The log has content that no owner can have written."""

    why: str


class LogStart(msgspec.Struct, frozen=True):
    """Position at which the replay of a log begins.

    Attributes:
        first: First slot to read.
        last: Last slot of the snapshot that begins at ``first``. Up to it,
            records of programs that are not restored yet are skipped.
        size: Size of the snapshot in bytes.
        floor: Lowest slot that may still exist, at which deletion begins.
        id: Unique id, to recognise a write whose response was lost.
    """

    first: int = 0
    last: int = -1
    size: int = 0
    floor: int = 0
    id: str = ""


class Recovered(msgspec.Struct, frozen=True):
    """Programs of a shard, and the position in its log.

    Attributes:
        programs: Programs by id.
        next_slot: Slot after the last segment.
        size: Bytes of the segments that were read.
        start: Start of the log.
        start_revision: Revision of ``start`` in the key-value service.
    """

    programs: dict[str, Program]
    next_slot: int
    size: int
    start: LogStart
    start_revision: int


def log_prefix(domain: str, shard: int) -> str:
    """Returns the key prefix of a shard's log slots."""
    return f"rm/log/{domain}/{shard}/"


def slot_key(domain: str, shard: int, slot: int) -> str:
    """Returns the key of a log slot; keys sort by slot number."""
    return f"{log_prefix(domain, shard)}{slot:0{_SLOT_DIGITS}d}"


def start_key(domain: str, shard: int) -> str:
    """Returns the key of a log's start."""
    return f"rm/start/{domain}/{shard}"


class Replay:
    """Applies the values of a log in the order of their slots.

    A segment whose epoch is lower than that of an earlier one was written by an
    owner that had already been replaced. It is skipped, as it was never
    reported as committed.

    Args:
        epoch: Epoch of the new owner.
        start: Start of the log.
    """

    def __init__(self, epoch: int, start: LogStart) -> None:
        self.epoch = epoch
        self.start = start
        self.slot = start.first
        self.programs: dict[str, Program] = {}
        self.highest_epoch = 0
        self.size = 0
        self.pieces: list[Piece] = []

    def apply_value(self, value: bytes) -> Fenced | None:
        """Applies the value of the next slot.

        Returns:
            ``Fenced`` if the value has a higher epoch than the new owner.

        Raises:
            msgspec.DecodeError: The value is neither a segment nor a piece.
            InvariantError: Its records are inconsistent with earlier ones.
        """
        slot = self.slot
        self.slot += 1
        self.size += len(value)
        found = decode_value(value)
        if found.epoch > self.epoch:
            return Fenced()
        if found.epoch < self.highest_epoch:
            return None
        self.highest_epoch = found.epoch
        segment = self._join(found) if isinstance(found, Piece) else found
        if isinstance(found, Segment):
            self.pieces.clear()
        for record in segment.records if segment else ():
            if not self._is_skipped(record, slot):
                apply(self.programs, record)
        return None

    def _join(self, piece: Piece) -> Segment | None:
        if piece.index == 0:
            self.pieces.clear()
        self.pieces.append(piece)
        numbers = [p.index for p in self.pieces]
        same = all(p.id == piece.id for p in self.pieces)
        if not same or numbers != list(range(len(numbers))):
            self.pieces.clear()
            return None
        if len(self.pieces) < piece.count:
            return None
        data = b"".join(p.data for p in self.pieces)
        self.pieces.clear()
        return decode_segment(data)

    def _is_skipped(self, record: Record, slot: int) -> bool:
        """Whether a record's program is only restored later in the snapshot."""
        if isinstance(record, EpochOpened | ProgramCreated | ProgramRestored):
            return False
        known = record.program in self.programs
        return not known and slot <= self.start.last


async def recover(
    kv: KvClient, domain: str, shard: int, epoch: int, owner: str
) -> Recovered | Unavailable | Fenced | Broken:
    """Opens an epoch and rebuilds the shard's programs from its log.

    Nothing is written if the log already has a higher epoch or is broken.
    """
    try:
        return await _recover(kv, domain, shard, epoch, owner)
    except (*DECODE_ERRORS, InvariantError) as error:
        return Broken(str(error))


async def _recover(
    kv: KvClient, domain: str, shard: int, epoch: int, owner: str
) -> Recovered | Unavailable | Fenced:
    found = await kv.read(start_key(domain, shard))
    start, revision = LogStart(), 0
    if isinstance(found, Unavailable):
        return found
    if isinstance(found, Found):
        start = msgspec.json.decode(found.entry.value, type=LogStart)
        revision = found.entry.revision
    replay = Replay(epoch, start)
    stopped = await _read_pages(kv, domain, shard, replay)
    stopped = stopped or await _open_epoch(kv, domain, shard, replay, owner)
    stopped = stopped or await _check_start(kv, domain, shard, revision)
    if stopped:
        return stopped
    return Recovered(replay.programs, replay.slot, replay.size, start, revision)


async def _read_pages(
    kv: KvClient, domain: str, shard: int, replay: Replay
) -> Unavailable | Fenced | None:
    while True:
        page = slot_key(domain, shard, replay.slot)[:-1]
        listed = await kv.list(page)
        if isinstance(listed, Unavailable):
            return listed
        values = {entry.key: entry.value for entry in listed.entries}
        while slot_key(domain, shard, replay.slot) in values:
            key = slot_key(domain, shard, replay.slot)
            if fenced := replay.apply_value(values[key]):
                return fenced
            if replay.slot % _PAGE_SLOTS == 0:
                break
        else:
            return None


async def _open_epoch(
    kv: KvClient, domain: str, shard: int, replay: Replay, owner: str
) -> Unavailable | Fenced | None:
    """Opens the epoch in the first free slot; applies slots before it."""
    opening = Segment(
        new_id(), replay.epoch, [EpochOpened(replay.epoch, owner)]
    )
    value = encode_segment(opening)
    while True:
        key = slot_key(domain, shard, replay.slot)
        outcome = await kv.create_unique(key, value)
        if isinstance(outcome, Unavailable):
            return outcome
        if isinstance(outcome, Written):
            return replay.apply_value(value)
        assert isinstance(outcome, Conflict)
        found = await kv.read(key)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            # A newer owner has compacted the log and deleted the slot.
            return Fenced()
        if fenced := replay.apply_value(found.entry.value):
            return fenced


async def _check_start(
    kv: KvClient, domain: str, shard: int, revision: int
) -> Unavailable | Fenced | None:
    """Checks that the log's start has not moved while the log was read.

    Slots before the new start may have been deleted unread; the first missing
    one is not the end of the log then.
    """
    found = await kv.read(start_key(domain, shard))
    if isinstance(found, Unavailable):
        return found
    now = found.entry.revision if isinstance(found, Found) else 0
    return None if now == revision else Fenced()
