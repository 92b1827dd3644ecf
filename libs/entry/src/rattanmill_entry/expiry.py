"""Ends programs that have exceeded their time limit."""

import asyncio
import time

from rattanmill_core import part_logger
from rattanmill_entry.node import Node
from rattanmill_programs import Program, ProgramEnded, Shard

_log = part_logger("expiry")


async def end_expired(node: Node) -> None:
    """Ends the expired programs in the shards of this instance.

    A program whose caller has crashed gets no more calls. Without this, it
    would hold engine memory, and its parent's tokens, forever.
    """
    if not node.lease.holds():
        return
    now = time.time()
    expired = [
        _end(node, shard, program)
        for shard in node.shards.values()
        for program in shard.programs.values()
        if _is_expired(program, now)
    ]
    await asyncio.gather(*expired)


def _is_expired(program: Program, now: float) -> bool:
    made = program.made
    if program.ended is not None or not made.seconds or program.waiting:
        return False
    return now > made.created + made.seconds


async def _end(node: Node, shard: Shard, program: Program) -> None:
    with shard.busy():
        async with program.lock:
            if program.ended is None and node.lease.holds():
                record = ProgramEnded(program.made.program, time.time())
                await shard.keep(record)
                node.metrics.count("rattanmill_programs_expired")
                _log.info("Program {} expired.", program.made.program)
