"""Which shards this instance owns: claims, takeovers and handovers.

All owners of a failure domain stand in one value of the key-value service.
Each change of it raises the domain's epoch; a shard's epoch is that of the
change that gave it to its owner.
"""

import asyncio
import math
import random
import time
from typing import Self

import msgspec

from rattanmill_core import new_id, part_logger
from rattanmill_entry.node import Node
from rattanmill_platform import (
    Conflict,
    DomainShards,
    Found,
    Missing,
    ShardOwner,
    Unavailable,
    Written,
)
from rattanmill_platform.live import shards_key
from rattanmill_programs import Fenced, Shard, ShardLog, recover

_log = part_logger("owner")
_ROUND_SECONDS = 0.25
_NOBODY = ShardOwner("", "", 0)
_FLUSH_SECONDS = 5.0
_GIVE_TRIES = 5


class Ownership:
    """Keeps this instance's shards in step with the domain's owners."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.domain = node.settings.domain
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None
        self.closing: set[int] = set()

    async def __aenter__(self) -> Self:
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

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
        if node.draining:
            await self._return_given()
            return
        if not node.lease.holds() or node.lease.outage():
            return
        if not node.live.synced or not node.config.domains:
            return
        owners = node.live.shards.get(self.domain)
        await self._load_owned(owners)
        self._note_suspects(owners)
        await self._claim(owners)
        await self._hand_over(owners)

    def _mine(self, owner: ShardOwner) -> bool:
        return owner.incarnation == self.node.incarnation

    def _drop_lost(self) -> None:
        owners = self.node.live.shards.get(self.domain)
        for key, shard in list(self.node.shards.items()):
            lost = owners and not self._mine(owners.shards[shard.number])
            lost = lost and owners.epoch >= shard.epoch
            if lost or shard.log.fenced:
                del self.node.shards[key]
                self.node.spawn(shard.log.close(_FLUSH_SECONDS))
                _log.warning("Shard {}.{} lost.", *key)

    async def _load_owned(self, owners: DomainShards | None) -> None:
        for number, owner in enumerate(owners.shards if owners else []):
            loaded = (self.domain, number) in self.node.shards
            if self._mine(owner) and not loaded:
                await self._load(number, owner.epoch)

    async def _load(self, number: int, epoch: int) -> None:
        node = self.node
        began = time.monotonic()
        recovered = await recover(
            node.kv, self.domain, number, epoch, node.settings.name
        )
        if isinstance(recovered, Unavailable | Fenced):
            _log.warning("Shard {}.{} not recovered.", self.domain, number)
            return
        log = ShardLog(
            node.kv,
            self.domain,
            number,
            epoch,
            recovered.next_slot,
            self.wake.set,
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

    def _count(self, owners: DomainShards | None) -> int:
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
        known = owners.shards if owners else [_NOBODY] * count
        living = self._living()
        free = [n for n, o in enumerate(known) if self._is_free(o, living)]
        held = sum(1 for owner in known if self._mine(owner))
        wanted = free[: max(0, self._share(count) - held)]
        if not wanted:
            return
        me = (self.node.settings.name, self.node.incarnation)
        await self._change_owners(owners, dict.fromkeys(wanted, me))

    async def _hand_over(self, owners: DomainShards | None) -> None:
        """Gives a shard to an instance that has fewer than its share."""
        if owners is None:
            return
        living = self._staying()
        held = {
            name: sum(1 for o in owners.shards if o.incarnation == incarnation)
            for name, incarnation in living.items()
        }
        name = self.node.settings.name
        if held.get(name, 0) <= self._share(len(owners.shards)):
            return
        poorest = min(held, key=lambda other: held[other])
        if held[poorest] + 1 >= held[name]:
            return
        number = next(n for n, o in enumerate(owners.shards) if self._mine(o))
        await self.give(number, poorest, living[poorest])

    async def give(self, number: int, name: str, incarnation: str) -> None:
        """Hands one shard over, after its running turns are finished."""
        shard = self.node.shards.pop((self.domain, number), None)
        if shard is None:
            return
        await shard.drain()
        await shard.log.close(_FLUSH_SECONDS)
        owners = self.node.live.shards.get(self.domain)
        await self._change_owners(owners, {number: (name, incarnation)})

    async def give_all(self, until: float) -> None:
        """Hands each shard on as soon as it is quiet, until that loop time.

        One shard with a long stream must not keep all others from their next
        owners, and what is not quiet in time must not keep the process.
        """
        shards = list(self.node.shards.values())
        self.closing = {shard.number for shard in shards}
        self.node.shards.clear()
        waiting = {
            asyncio.create_task(self._quiesce(shard, until)): shard
            for shard in shards
        }
        while waiting:
            done, _ = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            ended = {waiting.pop(task).number: task for task in done}
            quiet = [number for number in ended if ended[number].result()]
            if quiet:
                await self._give_away(quiet)
            self.closing.difference_update(quiet)

    async def _return_given(self) -> None:
        """Passes on shards that were given to us while we shut down.

        Whoever gave them had not heard of the shutdown. Left alone, their
        programs would have no owner until this process has ended.
        """
        owners = self.node.live.shards.get(self.domain)
        given = [
            number
            for number, owner in enumerate(owners.shards if owners else [])
            if self._mine(owner) and number not in self.closing
        ]
        if given:
            await self._give_away(given)

    async def _quiesce(self, shard: Shard, until: float) -> bool:
        """Waits for a shard's calls and its log; False if calls still run."""
        loop = asyncio.get_running_loop()
        left = max(0.0, until - loop.time())
        try:
            await asyncio.wait_for(shard.drain(), left)
        except TimeoutError:
            return False
        await shard.log.close(max(0.0, until - loop.time()))
        return True

    async def _give_away(self, numbers: list[int]) -> None:
        """Names new owners, or nobody; a lost race is run again."""
        for _ in range(_GIVE_TRIES):
            others = [
                (name, incarnation)
                for name, incarnation in self._staying().items()
                if name != self.node.settings.name
            ] or [("", "")]
            targets = {
                number: others[index % len(others)]
                for index, number in enumerate(numbers)
            }
            owners = self.node.live.shards.get(self.domain)
            if await self._change_owners(owners, targets):
                return
            await asyncio.sleep(_ROUND_SECONDS)

    async def _change_owners(
        self,
        owners: DomainShards | None,
        targets: dict[int, tuple[str, str]],
    ) -> bool:
        """Writes new owners if nobody changed them meanwhile."""
        node = self.node
        key = shards_key(self.domain)
        found = await node.kv.read(key)
        if isinstance(found, Unavailable):
            return False
        revision = found.entry.revision if isinstance(found, Found) else 0
        if isinstance(found, Found):
            current = msgspec.json.decode(found.entry.value, type=DomainShards)
            if owners is None or current.epoch != owners.epoch:
                return False
        elif owners is not None and isinstance(found, Missing):
            return False
        epoch = (owners.epoch if owners else 0) + 1
        count = self._count(owners)
        shards = list(owners.shards if owners else [_NOBODY] * count)
        for number, (name, incarnation) in targets.items():
            shards[number] = ShardOwner(name, incarnation, epoch)
        changed = DomainShards(epoch, shards, new_id())
        outcome = await node.kv.write(
            key, msgspec.json.encode(changed), revision
        )
        if isinstance(outcome, Written):
            node.live.shards[self.domain] = changed
            node.metrics.count("rattanmill_owner_changes", len(targets))
            for number, (name, _) in targets.items():
                _log.info(
                    "Shard {}.{} given to {} at epoch {}.",
                    self.domain,
                    number,
                    name or "nobody",
                    epoch,
                )
            self.wake.set()
            return True
        if isinstance(outcome, Conflict):
            await asyncio.sleep(random.uniform(0, _ROUND_SECONDS))
        return False
