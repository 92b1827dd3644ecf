"""Routes a call to the owner of its program, over at most one hop.

A caller may send its request to any instance. A call to a shard without an
owner waits for the takeover, for a bounded time. It is retried only if the
owner recognizes a repeat (a turn, an act, a read) or if it has not run.
"""

import asyncio
import hashlib
import random

from rattanmill_core import Ran, Reason, Refusal, parse_program_id, refuse
from rattanmill_entry.members import staying
from rattanmill_entry.node import Node
from rattanmill_entry.replies import Replies, refused
from rattanmill_entry.serve import not_served, serve, serve_loose
from rattanmill_platform import InstanceRecord, ShardOwner
from rattanmill_programs import LOOSE_TOKEN
from rattanmill_wire import CallKind, CallStart, ReplyHead, ReplyRefused

_MAX_OWNER_WAIT_LEASES = 3
_RETRY_PAUSE_SECONDS = 0.1
RETRYABLE_REASONS = (
    Reason.NOT_OWNER,
    Reason.OWNER_UNREACHABLE,
    Reason.OWNERSHIP_LOST,
)


async def dispatch(node: Node, start: CallStart) -> Replies:
    """Serves a call here or at its owner.

    Args:
        node: The daemon's context.
        start: The call.

    Yields:
        The replies to the caller.
    """
    if not start.program:
        async for reply in serve_loose(node, start):
            yield reply
        return
    loop = asyncio.get_running_loop()
    call_deadline = loop.time() + start.seconds_left
    max_wait = _MAX_OWNER_WAIT_LEASES * node.settings.lease_seconds
    retry_deadline = loop.time() + min(max_wait, start.seconds_left)
    ran = Ran.NO
    while True:
        refusal = None
        async for reply in _try_once(node, start):
            if isinstance(reply, ReplyRefused) and _is_retryable(
                start, reply.refusal
            ):
                refusal = reply.refusal
                break
            if isinstance(reply, ReplyRefused):
                reply = refused(start, reply.refusal.after(ran))
            yield reply
            if isinstance(reply, ReplyHead):
                retry_deadline = 0.0
        if refusal is None:
            return
        if refusal.ran is not Ran.NO:
            ran = refusal.ran
        if loop.time() >= retry_deadline:
            yield refused(start, refusal.after(ran))
            return
        start.seconds_left = max(0.0, call_deadline - loop.time())
        node.metrics.retried(refusal.reason)
        await asyncio.sleep(random.uniform(0.5, 1) * _RETRY_PAUSE_SECONDS)


def _is_retryable(start: CallStart, refusal: Refusal) -> bool:
    if refusal.reason not in RETRYABLE_REASONS:
        return False
    return start.kind is not CallKind.CREATE or refusal.ran is Ran.NO


async def _try_once(node: Node, start: CallStart) -> Replies:
    """Sends the call once to the currently known owner."""
    parsed = parse_program_id(start.program)
    owner = owner_of(node, parsed.domain, parsed.shard) if parsed else None
    if parsed and parsed.domain not in node.config.domains:
        detail = "The program's id names an unknown failure domain."
        yield refused(start, refuse(Reason.UNKNOWN_PROGRAM, detail))
    elif parsed and (parsed.domain, parsed.shard) in node.shards:
        async for reply in serve(node, start):
            yield reply
    elif owner is None or owner.name == node.settings.name:
        detail = "The program has no owner at the moment."
        yield refused(start, not_served(node, start, detail))
    else:
        peer = node.hub.peer(owner.name, peer_address(node, owner))

        def has_moved() -> bool:
            return owner_of(node, parsed.domain, parsed.shard) != owner

        async for reply in peer.call(start, has_moved):
            yield reply


def owner_of(node: Node, domain: str, shard: int) -> InstanceRecord | None:
    """Returns the last known record of a shard's owner, or None."""
    owners = node.live.shards.get(domain)
    if owners is None or shard >= len(owners.shards):
        return None
    owner: ShardOwner = owners.shards[shard]
    return node.addresses.get(owner.owner)


def peer_address(node: Node, record: InstanceRecord) -> str:
    """Returns the address at which this instance reaches another."""
    same_domain = record.domain == node.settings.domain
    return record.peer if same_domain else record.outside


def new_program_shard(node: Node) -> str:
    """Returns a shard for a new program, preferably an own one.

    Otherwise it is a shard whose owner is live and not shutting down: a shard
    in handover may have no owner until its last call has ended.

    Returns:
        Failure domain, shard number and LOOSE_TOKEN, joined by dots.
    """
    domain = node.settings.domain
    own_shards = [shard for name, shard in node.shards if name == domain]
    chosen = random.choice(
        own_shards or _stable_shards(node) or range(shard_count(node, domain))
    )
    return f"{domain}.{chosen}.{LOOSE_TOKEN}"


def _stable_shards(node: Node) -> list[int]:
    """Shards of this domain whose owners are others and not shutting down."""
    owners = node.live.shards.get(node.settings.domain)
    others = staying(node)
    others.pop(node.settings.name, None)
    return [
        number
        for number, owner in enumerate(owners.shards if owners else ())
        if owner.owner and others.get(owner.owner) == owner.incarnation
    ]


def shard_count(node: Node, domain: str) -> int:
    """Returns the number of a failure domain's shards.

    It is fixed once the domain has owners; a later change of the
    configuration has no effect.
    """
    owners = node.live.shards.get(domain)
    if owners and owners.shards:
        return len(owners.shards)
    plan = node.config.domains.get(domain)
    return plan.shards if plan else 1


def act_shard(node: Node, workspace: str, key: str) -> str:
    """Returns the shard of an act without a program.

    Every instance computes the same shard, so that a repeat through another
    instance finds the first request.
    """
    digest = hashlib.sha256(f"{workspace}\n{key}".encode()).digest()
    number = int.from_bytes(digest[:8], "big")
    shards = [
        (domain, shard)
        for domain in sorted(node.config.domains)
        for shard in range(shard_count(node, domain))
    ]
    domain, shard = shards[number % len(shards)]
    return f"{domain}.{shard}.{LOOSE_TOKEN}"
