"""Shard ownership of this instance: claims, takeovers and handovers."""

import asyncio
import random
import time
from typing import Self

from rattanmill_core import InvariantError, part_logger
from rattanmill_entry.handover import Handover
from rattanmill_entry.members import living_instances, share
from rattanmill_entry.node import Node
from rattanmill_entry.owners import (
    NO_OWNER,
    read_owners,
    write_owners,
)
from rattanmill_platform import (
    Conflict,
    DomainShards,
    InstanceRecord,
    ShardOwner,
    Unavailable,
)
from rattanmill_programs import (
    Broken,
    Fenced,
    Recovered,
    Shard,
    ShardLog,
    compact,
    drop_ended,
    is_due,
    recover,
)

_log = part_logger("owner")
_RECONCILE_INTERVAL_SECONDS = 0.25
_BROKEN_LOG_RETRY_SECONDS = 30.0
_MAINTENANCE_INTERVAL_SECONDS = 5.0


class Ownership:
    """Reconciles this instance's shards with the owners of its domain.

    Attributes:
        node: The daemon's context.
        domain: Failure domain of this instance.
        wake: Set to reconcile at once.
        tasks: Background tasks.
        handover: Moves shards to other instances.
        retry_at: Monotonic time at which a shard whose log is broken is
            loaded again, by failure domain and number.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.domain = node.settings.domain
        self.wake = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.handover = Handover(node, self.record_owners)
        self.retry_at: dict[tuple[str, int], float] = {}

    async def __aenter__(self) -> Self:
        self.tasks = [
            self.node.run_beside(self._run()),
            self.node.run_beside(self._run_maintenance()),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await asyncio.wait_for(
                    self.wake.wait(), _RECONCILE_INTERVAL_SECONDS
                )
            except TimeoutError:
                pass
            self.wake.clear()
            try:
                await self.reconcile()
            except Exception as error:
                raise InvariantError(
                    f"Shards cannot be reconciled: {error!r}"
                ) from error

    async def reconcile(self) -> None:
        """Drops lost shards, loads owned ones and claims free ones."""
        node = self.node
        self._drop_lost()
        if not node.live.synced or not node.config.domains:
            return
        if node.lease.interrupted or self.handover.write_uncertain:
            await self._confirm_ownership()
        if (
            not node.lease.holds()
            or node.lease.outage()
            or self.handover.write_uncertain
        ):
            return
        owners = node.live.shards.get(self.domain)
        if node.draining:
            await self.handover.forward_received(owners)
            return
        self._learn_addresses(owners)
        await self._load_owned(owners)
        self._update_suspects(owners)
        await self._claim_free_shards(owners)
        self.handover.rebalance(owners)

    def _is_own(self, owner: ShardOwner) -> bool:
        return owner.incarnation == self.node.incarnation

    def _own_record(self) -> ShardOwner:
        settings = self.node.settings
        return ShardOwner(
            settings.name, self.node.incarnation, 0, settings.peer
        )

    def _is_lost(self, shard: Shard, owners: DomainShards) -> bool:
        owner = owners.shards[shard.number]
        return not self._is_own(owner) or owner.epoch != shard.epoch

    def _drop_lost(self) -> None:
        owners = self.node.live.shards.get(self.domain)
        for shard in list(self.node.shards.values()):
            # A view older than this instance's claim proves no loss.
            view_is_newer = owners is not None and owners.epoch >= shard.epoch
            lost = view_is_newer and self._is_lost(shard, owners)
            if lost or shard.log.fenced:
                self._drop(shard)

    def _drop(self, shard: Shard) -> None:
        self.node.shards.pop(shard.log.name, None)
        shard.log.stop()
        _log.warning("Shard {}.{} lost.", *shard.log.name)

    async def _confirm_ownership(self) -> None:
        """Confirms ownership after others may have taken the shards.

        An instance that was paused gets a new lease before it learns that it
        was replaced. If the key-value service failed in between, it would
        serve its shards for the whole outage, beside the new owner. So it
        reads the owners and writes them back: the compare-and-swap of an
        instance that considered this one dead before then fails.
        """
        node = self.node
        if not node.lease.valid():
            return
        interruption = node.lease.interruptions
        stored = await read_owners(
            node.kv, self.domain, self._shard_count(None)
        )
        if isinstance(stored, Unavailable):
            return
        moving_shards = [each.shard for each in node.parting.values()]
        held = [*node.shards.values(), *moving_shards]
        for shard in held:
            if self._is_lost(shard, stored.owners):
                self._drop(shard)
        if (
            any(not shard.log.fenced for shard in held)
            or self.handover.write_uncertain
        ):
            changed = await write_owners(node.kv, self.domain, stored, {})
            if not isinstance(changed, DomainShards):
                return
            self.record_owners(changed)
        self.handover.write_uncertain = False
        if node.lease.confirm(interruption):
            _log.info("Ownership confirmed.")

    def record_owners(self, changed: DomainShards) -> None:
        """Updates the live view with stored owners before the watch does."""
        known = self.node.live.shards.get(self.domain)
        if known is None or changed.epoch > known.epoch:
            self.node.live.shards[self.domain] = changed
        self.wake.set()

    def _learn_addresses(self, owners: DomainShards | None) -> None:
        """Learns the addresses of owners that have no instance record.

        An owner that is cut off from the key-value service continues to serve
        as long as its peers receive its heartbeats. An instance that has just
        started never read its record, and must send it heartbeats before it
        may consider it dead.
        """
        for owner in owners.shards if owners else ():
            if owner.owner and owner.owner not in self.node.addresses:
                self.node.addresses[owner.owner] = InstanceRecord(
                    owner.owner,
                    self.domain,
                    owner.peer,
                    owner.peer,
                    "",
                    owner.incarnation,
                )

    async def _load_owned(self, owners: DomainShards | None) -> None:
        for number, owner in enumerate(owners.shards if owners else []):
            key = (self.domain, number)
            is_local = key in self.node.shards or key in self.node.parting
            retry_pending = time.monotonic() < self.retry_at.get(key, 0.0)
            if self._is_own(owner) and not is_local and not retry_pending:
                await self._load(number, owner.epoch)

    async def _load(self, number: int, epoch: int) -> None:
        node = self.node
        started_at = time.monotonic()
        interruptions = node.lease.interruptions
        recovered = await recover(
            node.kv, self.domain, number, epoch, node.settings.name
        )
        if not isinstance(recovered, Recovered):
            self._report_unloaded(number, recovered)
            return
        if interruptions != node.lease.interruptions or not node.lease.holds():
            # A shard read before a pause may have another owner by now.
            return
        log = ShardLog(
            node.kv,
            self.domain,
            number,
            epoch,
            recovered,
            self.wake.set,
            node.lease.uninterrupted,
        )
        node.shards[self.domain, number] = Shard(
            self.domain, number, epoch, recovered.programs, log
        )
        seconds = time.monotonic() - started_at
        node.metrics.observe("rattanmill_shard_load_seconds", seconds)
        _log.info(
            "Shard {}.{} loaded at epoch {}, {} programs.",
            self.domain,
            number,
            epoch,
            len(recovered.programs),
        )

    def _report_unloaded(
        self, number: int, failure: Unavailable | Fenced | Broken
    ) -> None:
        if not isinstance(failure, Broken):
            _log.warning("Shard {}.{} not loaded.", self.domain, number)
            return
        # One broken log must not affect the other shards.
        _log.error(
            "Shard {}.{} is broken: {}", self.domain, number, failure.why
        )
        self.node.metrics.count("rattanmill_shards_broken")
        retry_at = time.monotonic() + _BROKEN_LOG_RETRY_SECONDS
        self.retry_at[self.domain, number] = retry_at

    def _shard_count(self, owners: DomainShards | None) -> int:
        """Number of shards; fixed when the owners are first written.

        Programs' ids and the shards of acts without a program depend on it.
        """
        if owners:
            return len(owners.shards)
        plan = self.node.config.domains.get(self.domain)
        return plan.shards if plan else 0

    def _is_free(self, owner: ShardOwner, living: dict[str, str]) -> bool:
        """Whether a shard has no owner, or its owner is certainly gone.

        The owner's lease must have expired, and it must have been silent on
        the peer link as well: an owner that is cut off from the key-value
        service continues to serve as long as its peers receive its heartbeats.

        Args:
            owner: Stored owner of the shard.
            living: Incarnations of the instances with a lease, by name.
        """
        if not owner.owner:
            return True
        if living.get(owner.owner) == owner.incarnation:
            return False
        if owner.owner in living:
            return True
        return (
            self._unanswered_seconds(owner.owner)
            > self.node.lease.silence_seconds
        )

    def _unanswered_seconds(self, name: str) -> float:
        """Seconds for which an owner has not answered heartbeats.

        Counted from the first heartbeat that this instance sent: an owner
        that is cut off from the key-value service does not know a new
        instance and sends it nothing, but answers its heartbeats.
        """
        now = time.monotonic()
        peer = self.node.hub.peers.get(name)
        last_heard_at = peer.heard if peer else 0.0
        suspected_at = self.node.suspects.get(name, now)
        return now - max(
            last_heard_at, suspected_at, self.node.lease.resumed_at
        )

    def _update_suspects(self, owners: DomainShards | None) -> None:
        living = living_instances(self.node)
        expired = {
            owner.owner
            for owner in (owners.shards if owners else [])
            if owner.owner and owner.owner not in living
        }
        now = time.monotonic()
        self.node.suspects = {
            name: self.node.suspects.get(name, now) for name in expired
        }

    async def _claim_free_shards(self, owners: DomainShards | None) -> None:
        count = self._shard_count(owners)
        known = owners.shards if owners else [NO_OWNER] * count
        living = living_instances(self.node)
        free = [n for n, o in enumerate(known) if self._is_free(o, living)]
        held = sum(1 for owner in known if self._is_own(owner))
        to_claim = free[: max(0, share(self.node, count) - held)]
        if not to_claim:
            return
        node = self.node
        stored = await read_owners(node.kv, self.domain, count)
        if isinstance(stored, Unavailable):
            return
        if stored.owners.epoch != (owners.epoch if owners else 0):
            return
        targets = dict.fromkeys(to_claim, self._own_record())
        changed = await write_owners(node.kv, self.domain, stored, targets)
        if isinstance(changed, DomainShards):
            self.record_owners(changed)
            node.metrics.count("rattanmill_owner_changes", len(targets))
        elif isinstance(changed, Conflict):
            await asyncio.sleep(random.uniform(0, _RECONCILE_INTERVAL_SECONDS))

    async def _run_maintenance(self) -> None:
        """Drops programs that ended long ago and compacts the logs."""
        while True:
            await asyncio.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            for shard in list(self.node.shards.values()):
                drop_ended(shard)
                if is_due(shard) and self.node.lease.valid():
                    await self._compact(shard)

    async def _compact(self, shard: Shard) -> None:
        slots = shard.log.next_slot - shard.log.start.floor
        done = await compact(shard)
        result = "done" if done else "given_up"
        self.node.metrics.count("rattanmill_compactions", result=result)
        if done:
            _log.info(
                "Log of {}.{} compacted; it had {} slots.",
                *shard.log.name,
                slots,
            )
