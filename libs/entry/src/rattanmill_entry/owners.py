"""The owners of a failure domain's shards, as one value of the service.

Each change is a compare-and-swap that raises the value's epoch; a shard's
epoch is that of the change that gave it to its owner.
"""

import asyncio
import random

import msgspec

from rattanmill_core import new_id, part_logger
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
    """The owners as stored, and the revision that wrote them (0: none)."""

    owners: DomainShards
    revision: int


async def read_owners(
    kv: KvClient, domain: str, count: int
) -> StoredOwners | Unavailable:
    """Reads the owners; nobody owns any of ``count`` shards at first."""
    found = await kv.read(shards_key(domain))
    if isinstance(found, Unavailable):
        return found
    if isinstance(found, Found):
        try:
            owners = msgspec.json.decode(found.entry.value, type=DomainShards)
        except msgspec.DecodeError as error:
            return Unavailable(f"owners of {domain} do not decode: {error}")
        return StoredOwners(owners, found.entry.revision)
    return StoredOwners(DomainShards(0, [NO_OWNER] * count), 0)


async def write_owners(
    kv: KvClient,
    domain: str,
    stored: StoredOwners,
    targets: dict[int, ShardOwner],
) -> DomainShards | Conflict | Unavailable:
    """Writes new owners of some shards over what was read.

    The epochs of ``targets`` are set here. With no targets the write only
    makes every other change fail that was prepared before it. A write whose
    answer was lost is settled by reading: the change id tells whose it was.
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
            "Shard {}.{} given to {} at epoch {}.", domain, number, name, epoch
        )
    return changed


async def transfer_shard(
    kv: KvClient, domain: str, number: int, old: ShardOwner, new: ShardOwner
) -> DomainShards | Conflict | Unavailable:
    """Gives one shard from ``old`` to ``new`` if it still is its owner's.

    Other instances may change the owners of other shards at the same time;
    a conflict with those is tried again.
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
