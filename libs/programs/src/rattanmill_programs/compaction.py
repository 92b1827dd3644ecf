"""Limits the size of a shard's memory and log.

A compaction appends a snapshot of every program to the log, moves the log's
start to the snapshot, and deletes the slots before it, the oldest first. After
a crash at any point, all slots from the log's start on exist: the old ones
until the start moves, the new ones from then on.
"""

import asyncio
import time

import msgspec

from rattanmill_core import new_id
from rattanmill_platform import Conflict, Found, Unavailable, Written
from rattanmill_programs.program import STANDALONE_TOKEN, Program, snapshot
from rattanmill_programs.records import Record
from rattanmill_programs.recovery import LogStart, slot_key, start_key
from rattanmill_programs.shard import Shard
from rattanmill_programs.shardlog import Committed

_RETENTION_SECONDS = 3600.0
_MIN_GROWTH_BYTES = 8_000_000
_MAX_SLOTS_SINCE_SNAPSHOT = 2000
_GROWTH_FACTOR = 2
_SNAPSHOT_SEGMENT_BYTES = 500_000
# Deletes are spread out to leave the key-value service capacity for commits.
_DELETE_PAUSE_SECONDS = 0.02


def drop_ended(shard: Shard, retention: float = _RETENTION_SECONDS) -> int:
    """Drops ended programs from memory after their retention time.

    Args:
        shard: Shard whose programs to check.
        retention: Seconds for which an ended program is kept.

    Returns:
        Number of dropped programs.
    """
    before = time.time() - retention
    dropped = [
        name
        for name, program in shard.programs.items()
        if program.ended is not None
        and program.ended < before
        and program.idle
        and not _has_running_child(shard, name)
    ]
    for name in dropped:
        del shard.programs[name]
    return len(dropped)


def _has_running_child(shard: Shard, name: str) -> bool:
    return any(
        child.creation.parent == name and child.ended is None
        for child in shard.programs.values()
        if child.creation.parent
    )


def is_due(shard: Shard) -> bool:
    """Whether a shard's log has grown enough to be compacted."""
    log = shard.log
    max_growth_bytes = max(_MIN_GROWTH_BYTES, _GROWTH_FACTOR * log.start.size)
    return (
        log.size > max_growth_bytes + log.start.size
        or log.next_slot - log.start.last > _MAX_SLOTS_SINCE_SNAPSHOT
    )


async def compact(
    shard: Shard, delete_pause: float = _DELETE_PAUSE_SECONDS
) -> bool:
    """Compacts a shard's log into a snapshot and deletes older slots.

    Args:
        shard: Shard to compact.
        delete_pause: Seconds between deletes.

    Returns:
        Whether the compaction was completed; if not, the next one completes it.
    """
    floor = shard.log.start.floor
    start = await _write_snapshot(shard)
    if start is None or not await _move_start(shard, start):
        return False
    for slot in range(floor, start.first):
        # A paused owner must not continue to delete when it resumes.
        if shard.log.fenced or not shard.log.is_ownership_certain():
            return False
        key = slot_key(shard.domain, shard.number, slot)
        if isinstance(await shard.log.kv.delete(key), Unavailable):
            return False
        await asyncio.sleep(delete_pause)
    shard.log.start = msgspec.structs.replace(start, floor=start.first)
    return True


async def _write_snapshot(shard: Shard) -> LogStart | None:
    """Appends a snapshot of all programs, many programs per segment."""
    log = shard.log
    first = log.next_slot
    before = log.size
    remaining = [p for p in shard.programs.values() if _needs_snapshot(p)]
    while remaining:
        # Nothing may be queued between taking and queueing a snapshot (no
        # await), so that the snapshot matches the log before it.
        records: list[Record] = []
        size = 0
        while remaining and size < _SNAPSHOT_SEGMENT_BYTES:
            program_records = snapshot(remaining.pop(), shard.epoch)
            size += len(msgspec.msgpack.encode(program_records))
            records += program_records
        if not isinstance(await log.enqueue(*records), Committed):
            return None
    return LogStart(
        first=first,
        last=max(first, log.next_slot) - 1,
        size=log.size - before,
        floor=log.start.floor,
        id=new_id(),
    )


def _needs_snapshot(program: Program) -> bool:
    standalone = program.creation.program.endswith(f".{STANDALONE_TOKEN}")
    return not standalone or bool(program.acts)


async def _move_start(shard: Shard, start: LogStart) -> bool:
    """Writes the log's start; reads it back if the response was lost."""
    log = shard.log
    if log.fenced or not log.is_ownership_certain():
        return False
    key = start_key(shard.domain, shard.number)
    value = msgspec.json.encode(start)
    outcome = await log.kv.write(key, value, log.start_revision)
    if isinstance(outcome, Conflict | Unavailable):
        found = await log.kv.read(key)
        if not isinstance(found, Found):
            return False
        log.start_revision = found.entry.revision
        if found.entry.value != value:
            return False
        outcome = Written(found.entry.revision)
    log.start = start
    log.start_revision = outcome.revision
    log.size = start.size
    return True
