"""Moves shards to other instances, for balance or at shutdown."""

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
    """Transfers shards from this instance to others.

    Attributes:
        write_uncertain: Whether it is unknown if a change of owners was
            stored.
        move_task: The move that is running or ran last.
        next_move_at: Monotonic time of the next move after one that failed.

    Args:
        node: The daemon's context.
        record_owners: Receives the owners after each stored change.
    """

    def __init__(
        self, node: Node, record_owners: Callable[[DomainShards], None]
    ) -> None:
        self.node = node
        self.domain = node.settings.domain
        self.record_owners = record_owners
        self.write_uncertain = False
        self.move_task: asyncio.Task | None = None
        self.next_move_at = 0.0

    def rebalance(self, owners: DomainShards | None) -> None:
        """Starts to move a shard to an instance that owns too few."""
        is_moving = self.move_task and not self.move_task.done()
        if owners is None or is_moving or time.monotonic() < self.next_move_at:
            return
        staying_instances = staying(self.node)
        held = {
            name: sum(1 for o in owners.shards if o.incarnation == incarnation)
            for name, incarnation in staying_instances.items()
        }
        own_count = held.get(self.node.settings.name, 0)
        least_loaded = min(held, key=lambda other: held[other], default="")
        if (
            own_count <= share(self.node, len(owners.shards))
            or held[least_loaded] + 1 >= own_count
        ):
            return
        shards = self.node.shards.values()
        shard = min(shards, key=lambda s: s.active, default=None)
        if shard:
            self.move_task = self.node.spawn(self._move(shard, least_loaded))

    async def _move(self, shard: Shard, target: str) -> None:
        """Moves a shard while the instance serves; gives up if it is busy."""
        if not await self._transfer(shard, target, _MOVE_DRAIN_SECONDS):
            self.next_move_at = time.monotonic() + _MOVE_RETRY_SECONDS

    async def _transfer(
        self,
        shard: Shard,
        target: str,
        drain_seconds: float,
        flush_seconds: float = _FLUSH_TIMEOUT_SECONDS,
    ) -> bool:
        """Transfers one shard after its running calls have finished.

        Args:
            shard: The shard.
            target: Name of the next owner, or empty for none.
            drain_seconds: Longest wait for running calls.
            flush_seconds: Longest wait for the log to be committed.

        Returns:
            Whether another instance owns it now. If not, it is served here
            again.
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
            # Another instance may own it already; if not, it is loaded again.
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
        """Returns the owner record of an instance, NO_OWNER if unknown."""
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

    async def transfer_all(self, deadline: float) -> None:
        """Transfers each shard as soon as it has no running call.

        A shard with a long stream must not delay the transfer of the others,
        and a shard that stays busy must not keep the process running.

        Args:
            deadline: Monotonic time at which to give up.
        """
        if self.move_task:
            await asyncio.wait([self.move_task])
        shards = list(self.node.shards.values())
        remaining_seconds = max(0.0, deadline - time.monotonic())
        successors = self._successors()
        transfers = [
            self._transfer(
                shard,
                successors[index % len(successors)],
                remaining_seconds,
                remaining_seconds,
            )
            for index, shard in enumerate(shards)
        ]
        await asyncio.gather(*transfers)

    def _successors(self) -> list[str]:
        """Names of possible next owners; one empty name if there are none."""
        name = self.node.settings.name
        return [other for other in staying(self.node) if other != name] or [""]

    async def forward_received(self, owners: DomainShards | None) -> None:
        """Transfers shards that were assigned here during the shutdown.

        The previous owner did not know of the shutdown yet. Without this, the
        programs would have no owner until this process has ended.
        """
        successors = self._successors()
        for number, owner in enumerate(owners.shards if owners else ()):
            key = (self.domain, number)
            is_local = key in self.node.shards or key in self.node.parting
            is_own = owner.incarnation == self.node.incarnation
            if not is_own or is_local:
                continue
            new = self._owner_record(successors[number % len(successors)])
            changed = await transfer_shard(
                self.node.kv, self.domain, number, owner, new
            )
            if isinstance(changed, DomainShards):
                self.record_owners(changed)
