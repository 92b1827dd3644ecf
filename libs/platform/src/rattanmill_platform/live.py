"""Live state in the platform store: instances, owners and configuration.

All of it is under one prefix, so one range read followed by one long-polling
watch covers it.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Self

import msgspec

from rattanmill_core import DECODE_ERRORS, part_logger, start_loop
from rattanmill_platform.calls import Unavailable
from rattanmill_platform.kvclient import KvClient

_log = part_logger("live")
LIVE_PREFIX = "rm/live/"
CONFIG_KEY = LIVE_PREFIX + "config"
_INSTANCES = LIVE_PREFIX + "instances/"
_SHARDS = LIVE_PREFIX + "shards/"
_WATCH_SECONDS = 10.0
_MAX_RETRY_SECONDS = 0.3


class InstanceRecord(msgspec.Struct, frozen=True):
    """Registration record of an instance, bound to its lease.

    Attributes:
        name: Name.
        domain: Failure domain.
        peer: Address for instances of the same domain.
        outside: Address for instances of other domains.
        http: Address for callers.
        incarnation: Random id of the process.
    """

    name: str
    domain: str
    peer: str
    outside: str
    http: str
    incarnation: str


class ShardOwner(msgspec.Struct, frozen=True):
    """Owner of a shard.

    Attributes:
        owner: Name of the instance, or empty.
        incarnation: Its random id.
        epoch: Grows with each change of owner.
        peer: Its address for instances of the same domain. When its own record
            is gone, others can still ask it whether it is alive.
    """

    owner: str
    incarnation: str
    epoch: int
    peer: str = ""


class DomainShards(msgspec.Struct, frozen=True):
    """Owners of all shards of one failure domain, kept in one value.

    ``change`` is unique to each write, to distinguish a write whose answer was
    lost from one of another instance.
    """

    epoch: int
    shards: list[ShardOwner]
    change: str = ""


def instance_key(domain: str, name: str) -> str:
    """Returns the key of an instance's record."""
    return f"{_INSTANCES}{domain}/{name}"


def shards_key(domain: str) -> str:
    """Returns the key of a failure domain's owners."""
    return _SHARDS + domain


class LiveView:
    """The latest known live state, kept current by a watch.

    Attributes:
        instances: Records by instance name.
        shards: Owners by failure domain.
        config: Configuration document as JSON, or empty.
        synced: Whether the state was read at least once.
        changed: Set at each change; waiters clear it.

    Args:
        kv: Client of the platform store.
        on_change: Called after each change.
    """

    def __init__(self, kv: KvClient, on_change: Callable[[], None]) -> None:
        self.kv = kv
        self.on_change = on_change
        self.instances: dict[str, InstanceRecord] = {}
        self.shards: dict[str, DomainShards] = {}
        self.config = b""
        self.synced = False
        self.revision = 0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        await self.refresh()
        self.task = start_loop("live view", self._follow())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def refresh(self) -> bool:
        """Reads everything again; False if the store is unavailable."""
        listed = await self.kv.list(LIVE_PREFIX)
        if isinstance(listed, Unavailable):
            return False
        self.instances = {}
        for entry in listed.entries:
            self._apply(entry.key, entry.value)
        self.revision = listed.revision
        self.synced = True
        self.on_change()
        return True

    async def _follow(self) -> None:
        while True:
            if not self.synced:
                await asyncio.sleep(random.uniform(0, _MAX_RETRY_SECONDS))
                await self.refresh()
                continue
            events = await self.kv.watch(
                LIVE_PREFIX, self.revision, _WATCH_SECONDS
            )
            if isinstance(events, Unavailable):
                self.synced = False
                continue
            for key, value in events.changes:
                self._apply(key, value)
            self.revision = events.revision
            if events.changes:
                self.on_change()

    def _apply(self, key: str, value: bytes | None) -> None:
        try:
            self._store(key, value)
        except DECODE_ERRORS as error:
            _log.error("Could not decode the value of {}: {}", key, error)

    def _store(self, key: str, value: bytes | None) -> None:
        name = key.rsplit("/", 1)[-1]
        if key == CONFIG_KEY:
            self.config = value or self.config
        elif key.startswith(_SHARDS) and value is not None:
            shards = msgspec.json.decode(value, type=DomainShards)
            known = self.shards.get(name)
            if known and len(shards.shards) < len(known.shards):
                # Written manually: no instance removes a shard.
                _log.error("Owners of {} lack shards; value ignored.", name)
            elif known is None or shards.epoch >= known.epoch:
                self.shards[name] = shards
        elif key.startswith(_INSTANCES):
            if value is None:
                self.instances.pop(name, None)
            else:
                record = msgspec.json.decode(value, type=InstanceRecord)
                self.instances[name] = record
