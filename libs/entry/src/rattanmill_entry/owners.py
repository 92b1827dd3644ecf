"""Owners of a failure domain's shards, one value in the key-value service.

Each change is a compare-and-swap that increments the value's epoch. A shard's
epoch is that of the change that assigned it to its owner.
"""

import asyncio
import random

import msgspec

from rattanmill_core import DECODE_ERRORS, new_id, part_logger
from rattanmill_platform import (
    Conflict,
    DomainShards,
    Found,
    KvClient,
    ShardOwner,
    Unavailable,
    Written,
)
from rattanmill_platform.live import shards_key

_log = part_logger("owner")
NO_OWNER = ShardOwner("", "", 0)
_MAX_TRIES = 5
_MAX_RETRY_PAUSE_SECONDS = 0.1


class StoredOwners(msgspec.Struct, frozen=True):
    """The stored owners, and the revision that wrote them (0: none)."""

    owners: DomainShards
    revision: int


async def read_owners(
    kv: KvClient, domain: str, count: int
) -> StoredOwners | Unavailable:
    """Reads the owners.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain.
        count: Number of shards, used while no owners are stored.
    """
    found = await kv.read(shards_key(domain))
    if isinstance(found, Unavailable):
        return found
    if isinstance(found, Found):
        try:
            owners = msgspec.json.decode(found.entry.value, type=DomainShards)
        except DECODE_ERRORS as error:
            return Unavailable(f"owners of {domain} are undecodable: {error}")
        return StoredOwners(owners, found.entry.revision)
    return StoredOwners(DomainShards(0, [NO_OWNER] * count), 0)


async def write_owners(
    kv: KvClient,
    domain: str,
    stored: StoredOwners,
    targets: dict[int, ShardOwner],
) -> DomainShards | Conflict | Unavailable:
    """Assigns some shards to new owners.

    With no targets, the write only makes all changes fail that are based on
    an earlier read. If the response to the write is lost, the owners are read
    again: the change id shows whether the write took effect.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain.
        stored: The owners as read before.
        targets: New owners by shard number; their epochs are set here.

    Returns:
        The stored owners, or why they were not stored.
    """
    epoch = stored.owners.epoch + 1
    shards = list(stored.owners.shards)
    for number, owner in targets.items():
        shards[number] = msgspec.structs.replace(owner, epoch=epoch)
    changed = DomainShards(epoch, shards, new_id())
    value = msgspec.json.encode(changed)
    outcome = await kv.write(shards_key(domain), value, stored.revision)
    if not isinstance(outcome, Written):
        found = await kv.read(shards_key(domain))
        if not isinstance(found, Found) or found.entry.value != value:
            return outcome
    for number, owner in targets.items():
        name = owner.owner or "nobody"
        _log.info(
            "Shard {}.{} given to {} at epoch {}.",
            domain,
            number,
            name,
            epoch,
        )
    return changed


async def transfer_shard(
    kv: KvClient, domain: str, number: int, old: ShardOwner, new: ShardOwner
) -> DomainShards | Conflict | Unavailable:
    """Assigns a shard to ``new`` if ``old`` still owns it.

    Other instances may change the owners of other shards at the same time.
    A conflict with such a change is retried.

    Args:
        kv: Client of the key-value service.
        domain: Failure domain.
        number: Shard number.
        old: Expected owner, with its epoch.
        new: Next owner.

    Returns:
        The stored owners, or why they were not stored.
    """
    outcome: DomainShards | Conflict | Unavailable = Conflict(0)
    for _ in range(_MAX_TRIES):
        stored = await read_owners(kv, domain, 0)
        if isinstance(stored, Unavailable):
            return stored
        if stored.owners.shards[number : number + 1] != [old]:
            return Conflict(stored.revision)
        outcome = await write_owners(kv, domain, stored, {number: new})
        if not isinstance(outcome, Conflict):
            return outcome
        await asyncio.sleep(random.uniform(0, _MAX_RETRY_PAUSE_SECONDS))
    return outcome
