"""Moves shards to other instances: to even them out, or when we leave."""

import asyncio
import time
from collections.abc import Callable

from rattanmill_core import loop_seconds
from rattanmill_entry.members import share, staying
from rattanmill_entry.node import Node, Parting
from rattanmill_entry.owners import NO_OWNER, transfer_shard
from rattanmill_platform import (
    Conflict,
    DomainShards,
    ShardOwner,
    Unavailable,
)
from rattanmill_programs import Shard

_FLUSH_TIMEOUT_SECONDS = 5.0
_MOVE_DRAIN_SECONDS = 1.0
_MOVE_RETRY_SECONDS = 10.0


class Handover:
    """Shards on their way from this instance to others.

    Attributes:
        unsure: Whether a change of owners may or may not have been stored.
        next_move: When a move is tried again after one that failed.

    Args:
        node: The daemon's context.
        note: Takes the owners after a change that was stored.
    """

    def __init__(
        self, node: Node, record_owners: Callable[[DomainShards], None]
    ) -> None:
        self.node = node
        self.domain = node.settings.domain
        self.record_owners = record_owners
        self.write_uncertain = False
        self.moving: asyncio.Task | None = None
        self.next_move_at = 0.0

    def rebalance(self, owners: DomainShards | None) -> None:
        """Begins to give a shard to an instance with less than its share."""
        moving = self.moving and not self.moving.done()
        if owners is None or moving or time.monotonic() < self.next_move_at:
            return
        living = staying(self.node)
        held = {
            name: sum(1 for o in owners.shards if o.incarnation == incarnation)
            for name, incarnation in living.items()
        }
        mine = held.get(self.node.settings.name, 0)
        least_loaded = min(held, key=lambda other: held[other], default="")
        if (
            mine <= share(self.node, len(owners.shards))
            or held[least_loaded] + 1 >= mine
        ):
            return
        shards = self.node.shards.values()
        shard = min(shards, key=lambda s: s.active, default=None)
        if shard:
            self.moving = self.node.spawn(self._move(shard, least_loaded))

    async def _move(self, shard: Shard, target: str) -> None:
        """Moves a shard while the instance goes on; gives up if it is busy."""
        if not await self._transfer(shard, target, _MOVE_DRAIN_SECONDS):
            self.next_move_at = time.monotonic() + _MOVE_RETRY_SECONDS

    async def _transfer(
        self,
        shard: Shard,
        target: str,
        drain_seconds: float,
        flush_seconds: float = _FLUSH_TIMEOUT_SECONDS,
    ) -> bool:
        """Hands one shard over after its running turns are finished.

        Returns:
            Whether another instance has it now. If not, we serve it again.
        """
        key = shard.log.name
        if self.node.shards.pop(key, None) is not shard:
            return False
        self.node.parting[key] = Parting(shard, loop_seconds())
        try:
            ready = await shard.drain(drain_seconds)
            ready = ready and await shard.log.flush(flush_seconds)
            changed = (
                await self._write_transfer(shard, target) if ready else None
            )
        finally:
            del self.node.parting[key]
        if isinstance(changed, Unavailable):
            # It may be another's already: load it anew if it is not.
            self.write_uncertain = True
            shard.log.stop()
            return False
        if isinstance(changed, DomainShards):
            shard.log.stop()
            self.record_owners(changed)
            self.node.metrics.count("rattanmill_owner_changes")
            return True
        if not shard.log.fenced:
            self.node.shards[key] = shard
        return False

    def _owner_record(self, name: str) -> ShardOwner:
        """Returns an instance as an owner; nobody if it is not known."""
        record = self.node.live.instances.get(name)
        if record is None:
            return NO_OWNER
        return ShardOwner(name, record.incarnation, 0, record.peer)

    async def _write_transfer(
        self, shard: Shard, target: str
    ) -> DomainShards | Conflict | Unavailable | None:
        owners = self.node.live.shards.get(self.domain)
        new = self._owner_record(target)
        if owners is None or (target and new is NO_OWNER):
            return None
        old = owners.shards[shard.number]
        return await transfer_shard(
            self.node.kv, self.domain, shard.number, old, new
        )

    async def transfer_all(self, until: float) -> None:
        """Hands each shard on as soon as it is quiet, until that loop time.

        One shard with a long stream must not keep all others from their next
        owners, and what is not quiet in time must not keep the process.
        """
        if self.moving:
            await asyncio.wait([self.moving])
        shards = list(self.node.shards.values())
        left = max(0.0, until - time.monotonic())
        successors = self._successors()
        transfers = [
            self._transfer(
                shard, successors[index % len(successors)], left, left
            )
            for index, shard in enumerate(shards)
        ]
        await asyncio.gather(*transfers)

    def _successors(self) -> list[str]:
        """Who may get our shards when we leave; nobody if we are the last."""
        name = self.node.settings.name
        return [other for other in staying(self.node) if other != name] or [""]

    async def forward_received(self, owners: DomainShards | None) -> None:
        """Passes on shards that were given to us while we shut down.

        Whoever gave them had not heard of the shutdown. Left alone, their
        programs would have no owner until this process has ended.
        """
        successors = self._successors()
        for number, owner in enumerate(owners.shards if owners else ()):
            key = (self.domain, number)
            here = key in self.node.shards or key in self.node.parting
            mine = owner.incarnation == self.node.incarnation
            if not mine or here:
                continue
            new = self._owner_record(successors[number % len(successors)])
            changed = await transfer_shard(
                self.node.kv, self.domain, number, owner, new
            )
            if isinstance(changed, DomainShards):
                self.record_owners(changed)
