"""Which shards this instance owns: claims, takeovers and handovers."""

import asyncio
import math
import random
import time
from typing import Self

from rattanmill_core import part_logger
from rattanmill_entry.node import Node
from rattanmill_entry.owners import (
    NOBODY,
    give_shard,
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
_ROUND_SECONDS = 0.25
_FLUSH_SECONDS = 5.0
_MOVE_SECONDS = 1.0
_MOVE_PAUSE_SECONDS = 10.0
_BROKEN_PAUSE_SECONDS = 30.0
_TIDY_SECONDS = 5.0


class Ownership:
    """Keeps this instance's shards in step with the domain's owners.

    Attributes:
        leaving: Shards on their way to another owner, not served any more.
        unsure: Whether a change of owners may or may not have been stored.
        not_before: When a broken shard or a failed move is tried again.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.domain = node.settings.domain
        self.wake = asyncio.Event()
        self.tasks: list[asyncio.Task] = []
        self.moving: asyncio.Task | None = None
        self.leaving: dict[tuple[str, int], Shard] = {}
        self.unsure = False
        self.not_before: dict[tuple[str, int], float] = {}
        self.next_move = 0.0

    async def __aenter__(self) -> Self:
        self.tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._tidy_for_ever()),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), _ROUND_SECONDS)
            except TimeoutError:
                pass
            self.wake.clear()
            await self.step()

    async def step(self) -> None:
        """Drops what is lost, loads what is ours, claims what is free."""
        node = self.node
        self._drop_lost()
        if not node.live.synced or not node.config.domains:
            return
        if node.lease.interrupted or self.unsure:
            await self._confirm()
        if not node.lease.holds() or node.lease.outage() or self.unsure:
            return
        owners = node.live.shards.get(self.domain)
        if node.draining:
            await self._return_given(owners)
            return
        self._learn_addresses(owners)
        await self._load_owned(owners)
        self._note_suspects(owners)
        await self._claim(owners)
        self._hand_over(owners)

    def _mine(self, owner: ShardOwner) -> bool:
        return owner.incarnation == self.node.incarnation

    def _me(self) -> ShardOwner:
        settings = self.node.settings
        return ShardOwner(
            settings.name, self.node.incarnation, 0, settings.peer
        )

    def _is_lost(self, shard: Shard, owners: DomainShards) -> bool:
        owner = owners.shards[shard.number]
        return not self._mine(owner) or owner.epoch != shard.epoch

    def _drop_lost(self) -> None:
        owners = self.node.live.shards.get(self.domain)
        for shard in list(self.node.shards.values()):
            # A view older than our claim does not count.
            newer = owners is not None and owners.epoch >= shard.epoch
            lost = newer and self._is_lost(shard, owners)
            if lost or shard.log.fenced:
                self._drop(shard)

    def _drop(self, shard: Shard) -> None:
        self.node.shards.pop(shard.log.name, None)
        shard.log.stop()
        _log.warning("Shard {}.{} lost.", *shard.log.name)

    async def _confirm(self) -> None:
        """Makes sure of our shards after they could have been taken.

        An instance that was paused gets a new lease before it hears that it
        was replaced. If the service went silent in between, it would go on
        for the whole outage, beside the new owner. So it reads the owners,
        and writes them: a taker who judged us dead before finds its
        compare-and-swap refused.
        """
        node = self.node
        if not node.lease.valid():
            return
        interruption = node.lease.interruptions
        stored = await read_owners(node.kv, self.domain, self._count(None))
        if isinstance(stored, Unavailable):
            return
        held = [*node.shards.values(), *self.leaving.values()]
        for shard in held:
            if self._is_lost(shard, stored.owners):
                self._drop(shard)
        if any(not shard.log.fenced for shard in held) or self.unsure:
            changed = await write_owners(node.kv, self.domain, stored, {})
            if not isinstance(changed, DomainShards):
                return
            self._note(changed)
        self.unsure = False
        if node.lease.confirm(interruption):
            _log.info("Ownership confirmed.")

    def _note(self, changed: DomainShards) -> None:
        known = self.node.live.shards.get(self.domain)
        if known is None or changed.epoch > known.epoch:
            self.node.live.shards[self.domain] = changed
        self.wake.set()

    def _learn_addresses(self, owners: DomainShards | None) -> None:
        """Gets to know owners whose records are gone from the service.

        An owner that is cut off from the service goes on serving as long as
        its peers hear it. An instance that has just started never saw its
        record; it must ask at the address before it may judge it dead.
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
            here = key in self.node.shards or key in self.leaving
            paused = time.monotonic() < self.not_before.get(key, 0.0)
            if self._mine(owner) and not here and not paused:
                await self._load(number, owner.epoch)

    async def _load(self, number: int, epoch: int) -> None:
        node = self.node
        began = time.monotonic()
        interruptions = node.lease.interruptions
        recovered = await recover(
            node.kv, self.domain, number, epoch, node.settings.name
        )
        if not isinstance(recovered, Recovered):
            self._note_unloaded(number, recovered)
            return
        if interruptions != node.lease.interruptions or not node.lease.holds():
            # What was read before a pause may have another owner by now.
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
        seconds = time.monotonic() - began
        node.metrics.observe("rattanmill_shard_load_seconds", seconds)
        _log.info(
            "Shard {}.{} loaded at epoch {}, {} programs.",
            self.domain,
            number,
            epoch,
            len(recovered.programs),
        )

    def _note_unloaded(
        self, number: int, why: Unavailable | Fenced | Broken
    ) -> None:
        if not isinstance(why, Broken):
            _log.warning("Shard {}.{} not recovered.", self.domain, number)
            return
        # The other shards must not suffer from one log that is wrong.
        _log.error("Shard {}.{} is broken: {}", self.domain, number, why.why)
        self.node.metrics.count("rattanmill_shards_broken")
        again = time.monotonic() + _BROKEN_PAUSE_SECONDS
        self.not_before[self.domain, number] = again

    def _count(self, owners: DomainShards | None) -> int:
        """Number of shards; fixed when the owners are first written.

        Programs' ids and the place of acts without a program depend on it.
        """
        if owners:
            return len(owners.shards)
        plan = self.node.config.domains.get(self.domain)
        return plan.shards if plan else 0

    def _living(self) -> dict[str, str]:
        """Incarnations of the domain's live instances by name."""
        return {
            record.name: record.incarnation
            for record in self.node.live.instances.values()
            if record.domain == self.domain
        }

    def _is_free(self, owner: ShardOwner, living: dict[str, str]) -> bool:
        """Whether a shard's owner is gone for certain.

        The service must have seen its lease lapse, and it must have been
        silent on the peer link, too: an owner cut off from the service goes
        on serving as long as its peers hear it.
        """
        if not owner.owner:
            return True
        if living.get(owner.owner) == owner.incarnation:
            return False
        if owner.owner in living:
            return True
        return self._silent_for(owner.owner) > self.node.lease.silence_seconds

    def _silent_for(self, name: str) -> float:
        """Seconds for which an owner has left heartbeats unanswered.

        Counted from when we began to send it some: an owner that is cut off
        from the service does not know us if we are new, but it answers.
        """
        now = time.monotonic()
        peer = self.node.hub.peers.get(name)
        heard = peer.heard if peer else 0.0
        asked = self.node.suspects.get(name, now)
        return now - max(heard, asked, self.node.lease.resumed_at)

    def _note_suspects(self, owners: DomainShards | None) -> None:
        living = self._living()
        lapsed = {
            owner.owner
            for owner in (owners.shards if owners else [])
            if owner.owner and owner.owner not in living
        }
        now = time.monotonic()
        self.node.suspects = {
            name: self.node.suspects.get(name, now) for name in lapsed
        }

    def _staying(self) -> dict[str, str]:
        """Living instances that have not said that they are shutting down."""
        return {
            name: incarnation
            for name, incarnation in self._living().items()
            if incarnation not in self.node.leaving
        }

    def _share(self, count: int) -> int:
        return math.ceil(count / max(1, len(self._staying())))

    async def _claim(self, owners: DomainShards | None) -> None:
        count = self._count(owners)
        known = owners.shards if owners else [NOBODY] * count
        living = self._living()
        free = [n for n, o in enumerate(known) if self._is_free(o, living)]
        held = sum(1 for owner in known if self._mine(owner))
        wanted = free[: max(0, self._share(count) - held)]
        if not wanted:
            return
        node = self.node
        stored = await read_owners(node.kv, self.domain, count)
        if isinstance(stored, Unavailable):
            return
        if stored.owners.epoch != (owners.epoch if owners else 0):
            return
        targets = dict.fromkeys(wanted, self._me())
        changed = await write_owners(node.kv, self.domain, stored, targets)
        if isinstance(changed, DomainShards):
            self._note(changed)
            node.metrics.count("rattanmill_owner_changes", len(targets))
        elif isinstance(changed, Conflict):
            await asyncio.sleep(random.uniform(0, _ROUND_SECONDS))

    def _hand_over(self, owners: DomainShards | None) -> None:
        """Gives a shard to an instance that has fewer than its share."""
        moving = self.moving and not self.moving.done()
        if owners is None or moving or time.monotonic() < self.next_move:
            return
        living = self._staying()
        held = {
            name: sum(1 for o in owners.shards if o.incarnation == incarnation)
            for name, incarnation in living.items()
        }
        mine = held.get(self.node.settings.name, 0)
        poorest = min(held, key=lambda other: held[other], default="")
        if mine <= self._share(len(owners.shards)) or held[poorest] + 1 >= mine:
            return
        shards = self.node.shards.values()
        shard = min(shards, key=lambda s: s.active, default=None)
        if shard:
            self.moving = self.node.spawn(self._move(shard, poorest))

    async def _move(self, shard: Shard, target: str) -> None:
        """Moves a shard while the instance goes on; gives up if it is busy."""
        if not await self._give(shard, target, _MOVE_SECONDS):
            self.next_move = time.monotonic() + _MOVE_PAUSE_SECONDS

    async def _give(
        self,
        shard: Shard,
        target: str,
        patience: float,
        flush_seconds: float = _FLUSH_SECONDS,
    ) -> bool:
        """Hands one shard over after its running turns are finished.

        Returns:
            Whether another instance has it now. If not, we serve it again.
        """
        key = shard.log.name
        if self.node.shards.pop(key, None) is not shard:
            return False
        self.leaving[key] = shard
        try:
            ready = await shard.drain(patience)
            ready = ready and await shard.log.flush(flush_seconds)
            changed = await self._store_gift(shard, target) if ready else None
        finally:
            del self.leaving[key]
        if isinstance(changed, Unavailable):
            # It may be another's already: load it anew if it is not.
            self.unsure = True
            shard.log.stop()
            return False
        if isinstance(changed, DomainShards):
            shard.log.stop()
            self._note(changed)
            self.node.metrics.count("rattanmill_owner_changes")
            return True
        if not shard.log.fenced:
            self.node.shards[key] = shard
        return False

    def _owner(self, name: str) -> ShardOwner:
        """Returns an instance as an owner; nobody if it is not known."""
        record = self.node.live.instances.get(name)
        if record is None:
            return NOBODY
        return ShardOwner(name, record.incarnation, 0, record.peer)

    async def _store_gift(
        self, shard: Shard, target: str
    ) -> DomainShards | Conflict | Unavailable | None:
        owners = self.node.live.shards.get(self.domain)
        new = self._owner(target)
        if owners is None or (target and new is NOBODY):
            return None
        old = owners.shards[shard.number]
        return await give_shard(
            self.node.kv, self.domain, shard.number, old, new
        )

    async def give_all(self, until: float) -> None:
        """Hands each shard on as soon as it is quiet, until that loop time.

        One shard with a long stream must not keep all others from their next
        owners, and what is not quiet in time must not keep the process.
        """
        if self.moving:
            await asyncio.wait([self.moving])
        shards = list(self.node.shards.values())
        left = max(0.0, until - time.monotonic())
        others = self._successors()
        gifts = [
            self._give(shard, others[index % len(others)], left, left)
            for index, shard in enumerate(shards)
        ]
        await asyncio.gather(*gifts)

    def _successors(self) -> list[str]:
        """Who may get our shards when we leave; nobody if we are the last."""
        name = self.node.settings.name
        return [other for other in self._staying() if other != name] or [""]

    async def _return_given(self, owners: DomainShards | None) -> None:
        """Passes on shards that were given to us while we shut down.

        Whoever gave them had not heard of the shutdown. Left alone, their
        programs would have no owner until this process has ended.
        """
        others = self._successors()
        for number, owner in enumerate(owners.shards if owners else ()):
            key = (self.domain, number)
            here = key in self.node.shards or key in self.leaving
            if not self._mine(owner) or here:
                continue
            new = self._owner(others[number % len(others)])
            changed = await give_shard(
                self.node.kv, self.domain, number, owner, new
            )
            if isinstance(changed, DomainShards):
                self._note(changed)

    async def _tidy_for_ever(self) -> None:
        """Forgets what ended long ago and keeps the logs short."""
        while True:
            await asyncio.sleep(_TIDY_SECONDS)
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
            _log.info("Log of {}.{}: {} slots.", *shard.log.name, slots)
