"""Finds the owner of a call and brings the call there, over at most one hop.

The caller's request may reach any instance. A call that meets a shard without
an owner waits for the takeover for a bounded time; it is repeated only where
the owner recognises a repeat (a turn, an act, a question) or it has not run.
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
    """Serves a call here or at its owner."""
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
    """Makes one try at the owner that is known now."""
    owned = parse_program_id(start.program)
    owner = owner_of(node, owned.domain, owned.shard) if owned else None
    if owned and owned.domain not in node.config.domains:
        detail = "The program's id names no failure domain of ours."
        yield refused(start, refuse(Reason.UNKNOWN_PROGRAM, detail))
    elif owned and (owned.domain, owned.shard) in node.shards:
        async for reply in serve(node, start):
            yield reply
    elif owner is None or owner.name == node.settings.name:
        detail = "The program has no owner at the moment."
        yield refused(start, not_served(node, start, detail))
    else:
        peer = node.hub.peer(owner.name, peer_address(node, owner))

        def has_moved() -> bool:
            return owner_of(node, owned.domain, owned.shard) != owner

        async for reply in peer.call(start, has_moved):
            yield reply


def owner_of(node: Node, domain: str, shard: int) -> InstanceRecord | None:
    """Returns the last known record of a shard's owner."""
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
    """Returns a shard for a new program, best one owned by this instance.

    Else one whose owner lives and stays: a shard that is handed over may have
    no owner until its last call has ended.
    """
    domain = node.settings.domain
    own = [shard for name, shard in node.shards if name == domain]
    chosen = random.choice(
        own or _stable_shards(node) or range(shard_count(node, domain))
    )
    return f"{domain}.{chosen}.{LOOSE_TOKEN}"


def _stable_shards(node: Node) -> list[int]:
    """Shards of our domain whose owners are others that stay."""
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

    It is fixed once the domain has owners; a configuration that names another
    number later changes nothing.
    """
    owners = node.live.shards.get(domain)
    if owners and owners.shards:
        return len(owners.shards)
    plan = node.config.domains.get(domain)
    return plan.shards if plan else 1


def act_shard(node: Node, workspace: str, key: str) -> str:
    """Returns the shard of an act that belongs to no program.

    Every instance finds the same one, so that a repeat through another
    instance meets the first try.
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
