"""Rebuilds a shard's programs from its log, and opens an epoch in it.

Slots of a log follow each other without a gap, from the slot that the log's
start names. They are read in pages of ten, by the digits their keys share, so
that no answer carries more than ten values however long the log is.
"""

import msgspec

from rattanmill_core import InvariantError, new_id
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
    """Another instance owns the shard; the records are not kept."""


class Broken(msgspec.Struct, frozen=True):
    """The log holds what no owner can have written."""

    why: str


class LogStart(msgspec.Struct, frozen=True):
    """Where the replay of a log begins.

    Attributes:
        first: First slot to be read.
        last: Slot in which the snapshot ends that begins at ``first``; up to
            it, records of programs not restored yet are passed over.
        size: Bytes of the snapshot.
        floor: Lowest slot that may not be deleted yet.
        id: Unique, so that a write whose answer was lost is recognised.
    """

    first: int = 0
    last: int = -1
    size: int = 0
    floor: int = 0
    id: str = ""


class Recovered(msgspec.Struct, frozen=True):
    """A shard's programs and where its log stands.

    Attributes:
        programs: Programs by id.
        next_slot: The slot after the last segment.
        size: Bytes of the segments that were read.
        start: Where the log begins.
        start_revision: Revision of ``start`` in the key-value service.
    """

    programs: dict[str, Program]
    next_slot: int
    size: int
    start: LogStart
    start_revision: int


def log_prefix(domain: str, shard: int) -> str:
    """Prefix of the keys of a shard's segments."""
    return f"rm/log/{domain}/{shard}/"


def slot_key(domain: str, shard: int, slot: int) -> str:
    """Key of one segment; sorts by slot."""
    return f"{log_prefix(domain, shard)}{slot:0{_SLOT_DIGITS}d}"


def start_key(domain: str, shard: int) -> str:
    """Key of a log's start."""
    return f"rm/start/{domain}/{shard}"


class Replay:
    """Applies the values of a log in the order of their slots.

    A segment whose epoch is lower than one before it was written by an owner
    that had been replaced already; nobody was told that it was kept.

    Args:
        epoch: Epoch of the reader.
        start: Where the log begins.
    """

    def __init__(self, epoch: int, start: LogStart) -> None:
        self.epoch = epoch
        self.start = start
        self.slot = start.first
        self.programs: dict[str, Program] = {}
        self.highest = 0
        self.size = 0
        self.pieces: list[Piece] = []

    def take(self, value: bytes) -> Fenced | None:
        """Applies the value of the next slot.

        Raises:
            msgspec.DecodeError: The value is no segment.
            InvariantError: Its records do not follow from those before.
        """
        slot = self.slot
        self.slot += 1
        self.size += len(value)
        found = decode_value(value)
        if found.epoch > self.epoch:
            return Fenced()
        if found.epoch < self.highest:
            return None
        self.highest = found.epoch
        segment = self._join(found) if isinstance(found, Piece) else found
        if isinstance(found, Segment):
            self.pieces.clear()
        for record in segment.records if segment else ():
            if not self._is_passed_over(record, slot):
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

    def _is_passed_over(self, record: Record, slot: int) -> bool:
        """Whether a record's program is restored further on."""
        if isinstance(record, EpochOpened | ProgramCreated | ProgramRestored):
            return False
        known = record.program in self.programs
        return not known and slot <= self.start.last


async def recover(
    kv: KvClient, domain: str, shard: int, epoch: int, owner: str
) -> Recovered | Unavailable | Fenced | Broken:
    """Opens an epoch and rebuilds the shard's programs from its log.

    Nothing is written if the log already has a higher epoch.
    """
    try:
        return await _recover(kv, domain, shard, epoch, owner)
    except (msgspec.DecodeError, InvariantError) as error:
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
    stopped = stopped or await _open(kv, domain, shard, replay, owner)
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
            if fenced := replay.take(values[key]):
                return fenced
            if replay.slot % _PAGE_SLOTS == 0:
                break
        else:
            return None


async def _open(
    kv: KvClient, domain: str, shard: int, replay: Replay, owner: str
) -> Unavailable | Fenced | None:
    """Writes our epoch into the first free slot, reading what is before it."""
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
            return replay.take(value)
        assert isinstance(outcome, Conflict)
        found = await kv.read(key)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            # Compacted away by a newer owner since.
            return Fenced()
        if fenced := replay.take(found.entry.value):
            return fenced
