"""Main function of a front end process."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec

from rattanmill_core import (
    InstanceSettings,
    MemoryAdaptation,
    MemoryBudget,
    Metrics,
    MetricsServer,
    Signals,
    bodies_bytes,
    log_event,
    start_loop,
    warn_event,
    watch_turns,
)
from rattanmill_forward import web
from rattanmill_forward.callers import ConnectionPolicy, Listener, listen
from rattanmill_forward.calls import HttpCodec
from rattanmill_forward.connections import (
    max_callers,
    max_endpoint_connections,
)
from rattanmill_forward.crashes import CrashGuard
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import Endpoint, EndpointRegistry
from rattanmill_forward.exchange import ConnectionPool
from rattanmill_forward.front import FrontEnd
from rattanmill_forward.load_sharing import share_loads
from rattanmill_forward.routes import RouteTable
from rattanmill_forward.stats import PerformanceModel
from rattanmill_forward.turns import TurnManager
from rattanmill_keeper import KeeperClient, Members, cache_bytes
from rattanmill_platform import (
    MISSING_KEY_GRACE_SECONDS,
    WATCH_SECONDS,
    KeyValue,
    PrefixWatch,
)

# The load balancer probes once a second and skips an instance after two failed
# probes; until then it keeps sending new connections.
_DRAIN_NOTICE_SECONDS = 2.6
# Time between the end of the last request and SIGKILL.
_EXIT_MARGIN_SECONDS = 0.8
_SWEEP_INTERVAL_SECONDS = 0.5
# The store may end a wait a little early, and clocks drift.
_CONFIG_AGE_MARGIN_SECONDS = 0.25
# The load balancer needs one.
_MAX_READINESS_CONNECTIONS = 32


class StoreSchema(msgspec.Struct, frozen=True):
    """Keys in the store that a front end watches, and their decoders.

    Attributes:
        config_prefix: Key prefix of the operators' configuration.
        decode_config: Decodes a configuration; returns None if the key holds
            something else, or a string that describes the error.
        endpoint_prefix: Key prefix of the endpoints' entries.
        decode_endpoint: Decodes an entry, or returns a string that describes
            the error.
    """

    config_prefix: str
    decode_config: Callable[[str, bytes], RouteTable | str | None]
    endpoint_prefix: str
    decode_endpoint: Callable[[str, bytes], Endpoint | str]


class StoreSync:
    """Keeps a front end's configuration and endpoints in sync with the store.

    Attributes:
        is_config_readable: Whether the newest configuration could be decoded.
        watches: Watches of the configuration and of the endpoints.

    Args:
        kv: The store.
        schema: The keys to watch.
        front_end: Gets the configuration.
        registry: Gets the endpoints.
    """

    def __init__(
        self,
        kv: KeyValue,
        schema: StoreSchema,
        front_end: FrontEnd,
        registry: EndpointRegistry,
    ) -> None:
        self.schema = schema
        self.front_end = front_end
        self.registry = registry
        self.is_config_readable = True
        self.watches = (
            PrefixWatch(
                kv,
                schema.config_prefix,
                WATCH_SECONDS,
                self._on_config,
                lambda key: None,
            ),
            PrefixWatch(
                kv,
                schema.endpoint_prefix,
                WATCH_SECONDS,
                self._on_endpoint,
                self._on_endpoint_removed,
                MISSING_KEY_GRACE_SECONDS,
            ),
        )

    def config_proved_at(self) -> float:
        """Returns the loop time up to which the configuration is complete."""
        if not self.is_config_readable:
            return float("-inf")
        return self.watches[0].proved_at

    @property
    def is_synced(self) -> bool:
        """Whether configuration and endpoints are known."""
        return self.front_end.route_table is not None and self.watches[1].synced

    def _on_config(self, key: str, value: bytes) -> None:
        table = self.schema.decode_config(key, value)
        if table is None:
            return
        if isinstance(table, str):
            # It may revoke keys, so the one in force is not the newest any
            # more.
            self.is_config_readable = False
            warn_event("config_unreadable", key=key, why=table)
            return
        self.is_config_readable = True
        known = (
            self.front_end.route_table.version
            if self.front_end.route_table
            else 0
        )
        if table.version < known:
            log_event("config_old", version=table.version, known=known)
            return
        self.front_end.route_table = table
        log_event("config_in_force", version=table.version, before=known)

    def _on_endpoint(self, key: str, value: bytes) -> None:
        endpoint = self.schema.decode_endpoint(key, value)
        if isinstance(endpoint, str):
            log_event("endpoint_unreadable", key=key, why=endpoint)
            self._on_endpoint_removed(key)
            return
        self.registry.update(endpoint)

    def _on_endpoint_removed(self, key: str) -> None:
        self.registry.remove(key.removeprefix(self.schema.endpoint_prefix))


async def run_front(
    settings: InstanceSettings,
    kv: KeyValue,
    members: Members,
    codec: HttpCodec,
    schema: StoreSchema,
    metrics: Metrics,
    on_reload: Callable[[], None],
) -> None:
    """Runs until SIGTERM, then drains the requests in progress.

    Raises:
        SettingsError: An address cannot be used.
        InvariantError: An invariant of the state is violated.
    """
    signals = Signals()
    signals.install(on_reload)
    registry = EndpointRegistry()
    performance = PerformanceModel(settings.domain)
    registry.on_removed = performance.forget
    pool = ConnectionPool(settings.ip, codec, metrics)
    pool.max_open = max_endpoint_connections(settings.max_descriptors)
    members.tolerated_disk_losses = settings.lost_disks
    keepers = KeeperClient(settings.domain, members, metrics)
    keepers.turns.cache.max_bytes = cache_bytes(settings.memory_bytes)
    share_loads(performance, registry, keepers.loads)
    guard = CrashGuard(registry, pool, keepers, metrics)
    domains = DomainMonitor(
        settings.domain,
        keepers.reach.domain_silence_seconds,
        lambda domain: _can_reach(domain, registry, pool),
    )
    domains.on_unreachable = pool.abort_domain
    front_end = FrontEnd(
        codec,
        Dispatcher(registry, performance, pool, guard, domains, codec, metrics),
        TurnManager(keepers, metrics),
        metrics,
    )
    front_end.memory = MemoryBudget(bodies_bytes(settings.memory_bytes))
    store_sync = StoreSync(kv, schema, front_end, registry)
    front_end.config_proved_at = store_sync.config_proved_at
    if settings.revocation_seconds is not None:
        front_end.max_config_age = (
            settings.revocation_seconds - _CONFIG_AGE_MARGIN_SECONDS
        )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(members)
        for watch in store_sync.watches:
            await stack.enter_async_context(watch)
        stack.callback(pool.close)
        sweep = start_loop("sweep of connections", _close_expired(pool))
        stack.callback(sweep.cancel)
        pings = start_loop("pings", keepers.reach.ping_forever())
        stack.callback(pings.cancel)
        loads = start_loop("load exchange", keepers.loads.exchange_forever())
        stack.callback(loads.cancel)
        domain_checks = start_loop("failure domains", domains.run())
        stack.callback(domain_checks.cancel)
        memory = MemoryAdaptation(front_end.memory, settings.memory_bytes)
        adaptation = start_loop("adaptation to memory", memory.run())
        stack.callback(adaptation.cancel)
        turns = start_loop("turns of the event loop", watch_turns(metrics))
        stack.callback(turns.cancel)
        server = await listen(
            settings.callers,
            front_end.serve,
            ConnectionPolicy(
                front_end.limits,
                True,
                metrics,
                max_callers(settings.memory_bytes, settings.max_descriptors),
                front_end.memory,
            ),
            settings.grace_seconds
            - _DRAIN_NOTICE_SECONDS
            - _EXIT_MARGIN_SECONDS,
        )
        stack.push_async_callback(server.cleanup)
        ready = await listen(
            settings.readiness,
            _readiness(lambda: _is_ready(store_sync, front_end, keepers)),
            ConnectionPolicy(
                front_end.limits, False, metrics, _MAX_READINESS_CONNECTIONS
            ),
            _EXIT_MARGIN_SECONDS / 2,
        )
        stack.push_async_callback(ready.cleanup)
        await stack.enter_async_context(MetricsServer(settings.ip, metrics))
        log_event("started", role="front", domain=settings.domain)
        await signals.stop.wait()
        if not signals.invariant_error:
            await _drain(front_end, server)
            await keepers.budgets.flush()
    if signals.invariant_error:
        raise signals.invariant_error
    log_event("stopped")


def _is_ready(
    store_sync: StoreSync, front_end: FrontEnd, keepers: KeeperClient
) -> bool:
    return (
        store_sync.is_synced
        and not front_end.is_config_stale()
        and not front_end.is_draining
        and not keepers.reach.is_cut_off()
    )


def _readiness(is_ready: Callable[[], bool]) -> Callable:
    last_ready: list[bool] = [False]

    async def respond(request: web.BaseRequest) -> web.Response:
        ready = is_ready()
        if ready != last_ready[0]:
            log_event("readiness", ready=ready)
        last_ready[0] = ready
        return web.Response(status=200 if ready else 503)

    return respond


async def _can_reach(
    domain: str, registry: EndpointRegistry, pool: ConnectionPool
) -> bool:
    """Whether one of up to two random endpoints of a domain is reachable."""
    endpoints = [e for e in registry.endpoints.values() if e.domain == domain]
    sample = random.sample(endpoints, min(len(endpoints), 2))
    return any(await asyncio.gather(*map(pool.can_connect, sample)))


async def _close_expired(pool: ConnectionPool) -> None:
    while True:
        await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
        pool.close_expired()


async def _drain(front_end: FrontEnd, server: Listener) -> None:
    """Finishes requests in progress and those that the balancer still sends.

    Idle connections are closed at once, busy ones when their request is done:
    if one were closed between its request and the response, the caller would
    not know whether the request ran.
    """
    front_end.is_draining = True
    await asyncio.sleep(_DRAIN_NOTICE_SECONDS)
    await server.cleanup()
    log_event("drained", cut=front_end.active_requests)
