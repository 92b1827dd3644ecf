"""The shared context of one daemon, passed to every component."""

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from aiohttp import web

from rattanmill_core import (
    ConfigDocument,
    InvariantError,
    MemoryBudget,
    Metrics,
    Settings,
)
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


class LastHeartbeat(msgspec.Struct, frozen=True):
    """The last heartbeat of another instance.

    Attributes:
        config_number: Number of its configuration.
        at: Loop time at which it arrived.
    """

    config_number: int
    at: float


class ShardHandover(msgspec.Struct, frozen=True):
    """A shard that this instance is handing over to another.

    Attributes:
        shard: The shard, which accepts no more calls.
        since: Loop time at which it stopped accepting them.
    """

    shard: Shard
    since: float


class Node:
    """State shared by the components of one daemon.

    Attributes:
        settings: This daemon's settings.
        incarnation: Run id: random id of this run of the process.
        config: Operators' configuration in force here.
        shards: Shards owned, by failure domain and number.
        handovers: Shards that are no longer served here, but not yet owned
            by another instance.
        addresses: Last known record of each known instance.
        suspects: Owners of the own domain whose lease has expired, with the
            loop time since which this instance sends them heartbeats.
        gone_since: Loop time since which an instance appears gone, by name.
        last_heartbeats: Last heartbeat of each other instance, by name.
        bodies: Memory that may be held for the bodies of calls.
        draining: Whether the daemon is shutting down.
        leaving: Incarnations that have announced their shutdown.
        stop: Set when the daemon must stop.
        invariant_error: The broken invariant that stops the daemon, if any.
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
    bodies: MemoryBudget
    guard: "CrashGuard"
    memory: "EngineMemory"

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.shards: dict[tuple[str, int], Shard] = {}
        self.handovers: dict[tuple[str, int], ShardHandover] = {}
        self.addresses: dict[str, InstanceRecord] = {}
        self.suspects: dict[str, float] = {}
        self.gone_since: dict[str, float] = {}
        self.last_heartbeats: dict[str, LastHeartbeat] = {}
        self.draining = False
        self.leaving: set[str] = set()
        self.stop = asyncio.Event()
        self.invariant_error: InvariantError | None = None
        self.tasks: set[asyncio.Task] = set()
        self.detached_tasks: set[asyncio.Task] = set()
        self.in_flight = 0
        self.busy_connections: set[web.RequestHandler] = set()

    def link(self, record: InstanceRecord) -> Peer:
        """Returns the link to another instance."""
        same_domain = record.domain == self.settings.domain
        address = record.peer if same_domain else record.outside
        return self.hub.peer(record.name, address)

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that outlives the request that started it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_detached(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that shutdown does not wait for."""
        task = asyncio.create_task(work)
        self.detached_tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        self.detached_tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # asyncio would report the error only once the task is garbage
        # collected.
        task.get_loop().call_exception_handler(
            {"message": "A task failed.", "exception": task.exception()}
        )
