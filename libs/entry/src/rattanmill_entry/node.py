"""The context of one daemon, passed to every part."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from aiohttp import web

from rattanmill_core import ConfigDocument, InvariantError, Metrics, Settings
from rattanmill_platform import (
    Directory,
    InstanceLease,
    InstanceRecord,
    KvClient,
    LiveView,
)
from rattanmill_policy import EndpointTable, Scheduler
from rattanmill_programs import Shard
from rattanmill_wire import PeerHub, PeerSecret
from rattanmill_wire.peers import Peer

if TYPE_CHECKING:
    from rattanmill_entry.memory import EngineMemory
    from rattanmill_entry.quarantine import CrashGuard


class Heard(msgspec.Struct, frozen=True):
    """What another instance last said.

    Attributes:
        config_number: Number of its configuration.
        at: Loop time.
    """

    config_number: int
    at: float


class Parting(msgspec.Struct, frozen=True):
    """A shard on its way from this instance to another.

    Attributes:
        shard: The shard, which takes no calls any more.
        since: Loop time at which it stopped to.
    """

    shard: Shard
    since: float


class Node:
    """What the parts of one daemon share.

    Attributes:
        settings: This daemon's settings.
        incarnation: Random id of this run.
        config: Operators' configuration in force here.
        shards: Shards owned, by failure domain and number.
        parting: Shards that are neither served here nor owned elsewhere yet.
        addresses: Last known record of each instance ever seen.
        suspects: Owners of our domain whose lease has lapsed, with the loop
            time since which they get heartbeats from here.
        gone_since: Loop time since which an instance seems gone, by name.
        heard: What each other instance last said, by name.
        draining: Whether the daemon is shutting down.
        leaving: Incarnations that have said they are shutting down.
        stop: Set when the daemon is to end.
        broken: The broken invariant that ends it, if one does.
    """

    settings: Settings
    incarnation: str
    secret: PeerSecret
    metrics: Metrics
    session: aiohttp.ClientSession
    act_session: aiohttp.ClientSession
    kv: KvClient
    lease: InstanceLease
    live: LiveView
    directory: Directory
    table: EndpointTable
    scheduler: Scheduler
    hub: PeerHub
    config: ConfigDocument
    guard: "CrashGuard"
    memory: "EngineMemory"

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.shards: dict[tuple[str, int], Shard] = {}
        self.parting: dict[tuple[str, int], Parting] = {}
        self.addresses: dict[str, InstanceRecord] = {}
        self.suspects: dict[str, float] = {}
        self.gone_since: dict[str, float] = {}
        self.heard: dict[str, Heard] = {}
        self.draining = False
        self.leaving: set[str] = set()
        self.stop = asyncio.Event()
        self.broken: InvariantError | None = None
        self.tasks: set[asyncio.Task] = set()
        self.beside: set[asyncio.Task] = set()
        self.in_flight = 0
        self.busy_connections: set[web.RequestHandler] = set()

    def link(self, record: InstanceRecord) -> Peer:
        """Returns the link to another instance."""
        inside = record.domain == self.settings.domain
        address = record.peer if inside else record.outside
        return self.hub.peer(record.name, address)

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that outlives the request that asked for it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def run_beside(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that a shutdown does not wait for."""
        task = asyncio.create_task(work)
        self.beside.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        self.beside.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # An error that waits to be collected as garbage is noticed late.
        task.get_loop().call_exception_handler(
            {"message": "A task failed.", "exception": task.exception()}
        )
