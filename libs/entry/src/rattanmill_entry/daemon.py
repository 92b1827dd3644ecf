"""Builds the components of the daemon and stops them in order."""

import asyncio
import contextlib
import signal

import aiohttp
import msgspec
from aiohttp import web

from rattanmill_core import (
    ACCEPTED_AT_ONCE,
    ConfigDocument,
    MemoryAdaptation,
    MemoryBudget,
    Metrics,
    Settings,
    SettingsError,
    bodies_bytes,
    decode_config,
    default_config,
    lengthen_queue,
    open_listening,
    part_logger,
    start_loop,
)
from rattanmill_entry.access import (
    AccessFiles,
    access_middleware,
)
from rattanmill_entry.admin import admin_routes
from rattanmill_entry.bodies import (
    BUFFER_BYTES,
    LINGERING_SECONDS,
    BoundedRunner,
)
from rattanmill_entry.connections import bounded_connector
from rattanmill_entry.drain import drain
from rattanmill_entry.edge import ConnectionLimit, edge_middleware
from rattanmill_entry.engines import EndpointMonitor
from rattanmill_entry.failures import watch_tasks
from rattanmill_entry.gossip import Gossip, adopt_config
from rattanmill_entry.http import caller_routes
from rattanmill_entry.memory import EngineMemory
from rattanmill_entry.node import Node
from rattanmill_entry.ownership import Ownership
from rattanmill_entry.quarantine import CrashGuard
from rattanmill_entry.serve import serve
from rattanmill_entry.signs import NoteExchange
from rattanmill_entry.telemetry import register_state_metrics
from rattanmill_entry.upstream import send_guard_trace
from rattanmill_platform import (
    Directory,
    InstanceLease,
    InstanceRecord,
    KvClient,
    LiveView,
)
from rattanmill_platform.lease import new_incarnation
from rattanmill_platform.live import instance_key
from rattanmill_policy import EndpointTable, LoadPoller, Scheduler
from rattanmill_wire import PeerHub, load_secret

_log = part_logger("daemon")
_MAX_CONNECTIONS = 4096
_MB = 1024 * 1024


async def run_daemon(settings: Settings) -> None:
    """Runs until SIGTERM or SIGINT, then drains.

    Raises:
        SettingsError: A file with secrets is missing or invalid.
        InvariantError: An invariant of the state was broken.
    """
    files = AccessFiles(settings)
    node = _make_node(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop.set)
    loop.add_signal_handler(signal.SIGHUP, _ignore_hangup)
    watch_tasks(node)
    async with contextlib.AsyncExitStack() as stack:
        node.session = await stack.enter_async_context(
            _session(settings, node.metrics)
        )
        node.act_session = await stack.enter_async_context(
            _session(settings, node.metrics, fresh=True)
        )
        note_exchange = NoteExchange(node)
        watch = EndpointMonitor(node)
        node.guard = CrashGuard(node, note_exchange, watch)
        node.memory = EngineMemory(node, watch)
        gossip = Gossip(node, note_exchange)
        _make_components(node, gossip)
        register_state_metrics(node)
        ownership = Ownership(node)
        node.live = LiveView(node.kv, lambda: _on_live(node, ownership))
        await stack.enter_async_context(files)
        await stack.enter_async_context(node.hub)
        await stack.enter_async_context(node.lease)
        await stack.enter_async_context(node.live)
        await stack.enter_async_context(node.directory)
        await stack.enter_async_context(
            LoadPoller(node.scheduler, node.session)
        )
        await stack.enter_async_context(gossip)
        await stack.enter_async_context(note_exchange)
        await stack.enter_async_context(watch)
        await stack.enter_async_context(node.memory)
        await stack.enter_async_context(ownership)
        memory = MemoryAdaptation(node.bodies, settings.memory_mb * _MB)
        adaptation = start_loop("adaptation to memory", memory.run())
        stack.callback(adaptation.cancel)
        runner = await _listen(node, files)
        stack.push_async_callback(runner.cleanup)
        limit = ConnectionLimit(node, runner.server)
        await stack.enter_async_context(limit)
        _log.info("Instance {} serves on {}.", settings.name, settings.http)
        await node.stop.wait()
        if node.invariant_error:
            raise node.invariant_error
        await drain(node, ownership, list(runner.sites))


def _ignore_hangup() -> None:
    _log.info("SIGHUP ignored; settings are read at start only.")


def _make_node(settings: Settings) -> Node:
    node = Node(settings, new_incarnation())
    node.secret = load_secret(settings.secret_file)
    node.metrics = Metrics()
    node.config = default_config(settings.domains)
    node.bodies = MemoryBudget(bodies_bytes(settings.memory_mb * _MB))
    node.table = EndpointTable()
    node.scheduler = Scheduler(node.table, lambda: node.config, node.metrics)
    return node


def _session(
    settings: Settings, metrics: Metrics, fresh: bool = False
) -> aiohttp.ClientSession:
    """Returns a session that connects from this instance's address.

    Args:
        settings: Contains the address.
        metrics: Counts responses that were given up.
        fresh: Whether each call opens a new connection. On a reused one that
            the endpoint has just closed, a request fails that never ran,
            and the caller is told that its outcome is unknown.
    """
    host = settings.http.rsplit(":", 1)[0]
    return aiohttp.ClientSession(
        connector=bounded_connector(
            metrics,
            limit=_MAX_CONNECTIONS,
            local_addr=(host, 0),
            force_close=fresh,
        ),
        auto_decompress=False,
        trace_configs=[send_guard_trace()] if fresh else [],
        # One caller's cookies must not be sent with another's call.
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _make_components(node: Node, gossip: Gossip) -> None:
    settings = node.settings
    node.kv = KvClient(settings.kv, node.session, node.metrics)
    record = InstanceRecord(
        settings.name,
        settings.domain,
        settings.peer,
        settings.outside or settings.peer,
        settings.http,
        node.incarnation,
    )
    node.lease = InstanceLease(
        node.kv,
        instance_key(settings.domain, settings.name),
        msgspec.json.encode(record),
        settings.lease_seconds,
    )
    node.directory = Directory(
        settings.directory, node.session, node.table.refresh
    )
    node.hub = PeerHub(
        settings.name,
        settings.peer,
        node.secret,
        node.metrics,
        lambda start: serve(node, start),
        gossip.handle_message,
        node.lease.silence_seconds,
        node.bodies,
    )


def _on_live(node: Node, ownership: Ownership) -> None:
    """Applies changes of the live view to the node."""
    node.addresses.update(node.live.instances)
    node.lease.known_peers = sum(
        1
        for record in node.live.instances.values()
        if record.domain == node.settings.domain
        and record.name != node.settings.name
    )
    if node.live.config:
        document = decode_config(node.live.config)
        if isinstance(document, ConfigDocument):
            adopt_config(node, document)
        else:
            _log.error("Stored configuration is invalid: {}", document)
    ownership.wake.set()


async def _listen(node: Node, files: AccessFiles) -> web.AppRunner:
    app = web.Application(
        client_max_size=node.settings.body_bytes,
        middlewares=[edge_middleware(node), access_middleware(node, files)],
    )
    app.add_routes(admin_routes(node) + caller_routes(node))
    runner = BoundedRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=1.0,
        read_bufsize=BUFFER_BYTES,
        lingering_time=LINGERING_SECONDS,
    )
    await runner.setup()
    host, port = node.settings.http.rsplit(":", 1)
    try:
        listening = open_listening(host.strip("[]"), int(port))
        site = web.SockSite(runner, listening, backlog=ACCEPTED_AT_ONCE)
        await site.start()
        lengthen_queue(listening)
    except OSError as error:
        await runner.cleanup()
        raise SettingsError(
            f"instance.http: {node.settings.http} cannot be used:"
            f" {error.strerror}"
        ) from error
    return runner
