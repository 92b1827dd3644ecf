"""Keeps a shard's memory and log short.

A log is compacted in four steps: every program is written anew at its end,
then the log's start is moved there, then the slots before it are deleted, the
oldest first. After a crash at any point the log's start names slots that are
all there: until it moves, the old ones; from then on, the new ones.
"""

import asyncio
import time

import msgspec

from rattanmill_core import new_id
from rattanmill_platform import Conflict, Found, Unavailable, Written
from rattanmill_programs.program import LOOSE_TOKEN, Program, snapshot
from rattanmill_programs.records import Record
from rattanmill_programs.recovery import LogStart, slot_key, start_key
from rattanmill_programs.shard import Shard
from rattanmill_programs.shardlog import Committed

_RETENTION_SECONDS = 3600.0
_LEAST_BYTES = 8_000_000
_LEAST_SLOTS = 2000
_GROWTH = 2
_BATCH_BYTES = 500_000
# Deletes are calls too; spread out, they leave the service room for commits.
_DELETE_PAUSE_SECONDS = 0.02


def drop_ended(shard: Shard, retention: float = _RETENTION_SECONDS) -> int:
    """Forgets programs that ended long ago; returns how many."""
    before = time.time() - retention
    dropped = [
        name
        for name, program in shard.programs.items()
        if program.ended is not None
        and program.ended < before
        and program.idle
        and not _has_living_child(shard, name)
    ]
    for name in dropped:
        del shard.programs[name]
    return len(dropped)


def _has_living_child(shard: Shard, name: str) -> bool:
    return any(
        child.made.parent == name and child.ended is None
        for child in shard.programs.values()
        if child.made.parent
    )


def is_due(shard: Shard) -> bool:
    """Whether a shard's log has outgrown what lives in it."""
    log = shard.log
    bound = max(_LEAST_BYTES, _GROWTH * log.start.size)
    return (
        log.size > bound + log.start.size
        or log.next_slot - log.start.last > _LEAST_SLOTS
    )


async def compact(
    shard: Shard, delete_pause: float = _DELETE_PAUSE_SECONDS
) -> bool:
    """Rewrites what lives in a shard's log and deletes the rest.

    Returns:
        Whether all that went well; if not, the next try makes up for it.
    """
    floor = shard.log.start.floor
    start = await _write_snapshot(shard)
    if start is None or not await _move_start(shard, start):
        return False
    for slot in range(floor, start.first):
        # A paused owner must not go on deleting when it wakes up.
        if shard.log.fenced or not shard.log.is_sure():
            return False
        key = slot_key(shard.domain, shard.number, slot)
        if isinstance(await shard.log.kv.delete(key), Unavailable):
            return False
        await asyncio.sleep(delete_pause)
    shard.log.start = msgspec.structs.replace(start, floor=start.first)
    return True


async def _write_snapshot(shard: Shard) -> LogStart | None:
    """Writes all programs anew, many to a segment."""
    log = shard.log
    first = log.next_slot
    before = log.size
    left = [p for p in shard.programs.values() if _is_worth_keeping(p)]
    while left:
        # Nothing may be queued between a program's snapshot and its own
        # queueing, so that what it is now and the log before it agree.
        records: list[Record] = []
        size = 0
        while left and size < _BATCH_BYTES:
            taken = snapshot(left.pop(), shard.epoch)
            size += len(msgspec.msgpack.encode(taken))
            records += taken
        if not isinstance(await log.enqueue(*records), Committed):
            return None
    return LogStart(
        first=first,
        last=max(first, log.next_slot) - 1,
        size=log.size - before,
        floor=log.start.floor,
        id=new_id(),
    )


def _is_worth_keeping(program: Program) -> bool:
    loose = program.made.program.endswith(f".{LOOSE_TOKEN}")
    return not loose or bool(program.acts)


async def _move_start(shard: Shard, start: LogStart) -> bool:
    """Writes the log's start; a lost answer is settled by reading."""
    log = shard.log
    if log.fenced or not log.is_sure():
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
