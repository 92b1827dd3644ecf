"""A front process."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

from rattanmill_core import (
    InstanceSettings,
    Metrics,
    Signals,
    log_event,
    serve_metrics,
    start_loop,
    warn_event,
)
from rattanmill_forward.callers import Bounds, listen
from rattanmill_forward.calls import Dialect
from rattanmill_forward.crashes import CrashGuard
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import Domains
from rattanmill_forward.endpoints import Endpoint, EndpointBook
from rattanmill_forward.exchange import Pool
from rattanmill_forward.front import Front
from rattanmill_forward.routes import RouteTable
from rattanmill_forward.stats import Knowledge
from rattanmill_forward.turns import Turns
from rattanmill_keeper import KeeperClient, Members
from rattanmill_platform import (
    BACK_SECONDS,
    WATCH_SECONDS,
    KeyValue,
    PrefixWatch,
)

# The balancer asks once a second and passes over an instance after two
# misses; until then it goes on sending new connections.
_NOTICE_SECONDS = 2.6
# Left between the last request's end and SIGKILL.
_EXIT_SECONDS = 0.8
_SWEEP_SECONDS = 0.5


class Sources(msgspec.Struct, frozen=True):
    """Where the store holds what a front follows, and how it reads it.

    Attributes:
        config_prefix: Prefix of the operators' configuration.
        read_config: Decodes it; None if the key holds something else, a
            string names what is wrong with it.
        endpoint_prefix: Prefix of the endpoints' entries.
        read_endpoint: Decodes one; a string names what is wrong with it.
    """

    config_prefix: str
    read_config: Callable[[str, bytes], RouteTable | str | None]
    endpoint_prefix: str
    read_endpoint: Callable[[str, bytes], Endpoint | str]


class View:
    """Keeps a front's beliefs current from the store.

    Args:
        kv: The store.
        sources: What to follow.
        front: Gets the configuration.
        book: Gets the endpoints.
    """

    def __init__(
        self, kv: KeyValue, sources: Sources, front: Front, book: EndpointBook
    ) -> None:
        self.sources = sources
        self.front = front
        self.book = book
        self.watches = (
            PrefixWatch(
                kv,
                sources.config_prefix,
                WATCH_SECONDS,
                self._config,
                lambda key: None,
            ),
            PrefixWatch(
                kv,
                sources.endpoint_prefix,
                WATCH_SECONDS,
                self._endpoint,
                self._endpoint_gone,
                BACK_SECONDS,
            ),
        )

    @property
    def synced(self) -> bool:
        """Whether configuration and endpoints are known."""
        return self.front.table is not None and self.watches[1].synced

    def _config(self, key: str, value: bytes) -> None:
        table = self.sources.read_config(key, value)
        if table is None:
            return
        if isinstance(table, str):
            warn_event("config_unreadable", key=key, why=table)
            return
        known = self.front.table.version if self.front.table else 0
        if table.version < known:
            log_event("config_old", version=table.version, known=known)
            return
        self.front.table = table
        log_event("config_in_force", version=table.version, before=known)

    def _endpoint(self, key: str, value: bytes) -> None:
        endpoint = self.sources.read_endpoint(key, value)
        if isinstance(endpoint, str):
            log_event("endpoint_unreadable", key=key, why=endpoint)
            self._endpoint_gone(key)
            return
        self.book.take(endpoint)

    def _endpoint_gone(self, key: str) -> None:
        self.book.remove(key.removeprefix(self.sources.endpoint_prefix))


async def run_front(
    settings: InstanceSettings,
    kv: KeyValue,
    members: Members,
    dialect: Dialect,
    sources: Sources,
    metrics: Metrics,
    on_reload: Callable[[], None],
) -> None:
    """Runs until SIGTERM, then finishes what is under way.

    Raises:
        SettingsError: An address cannot be used.
        InvariantError: The state was found to be impossible.
    """
    signals = Signals()
    signals.install(on_reload)
    book = EndpointBook()
    known = Knowledge(settings.domain)
    book.on_gone = known.forget
    pool = Pool(settings.ip, dialect, metrics)
    keepers = KeeperClient(
        settings.domain, settings.lost_disks + 1, members, metrics
    )
    guard = CrashGuard(book, pool, keepers, metrics)
    domains = Domains(
        settings.domain,
        keepers.reach.domain_silence_seconds,
        lambda domain: _reaches(domain, book, pool),
    )
    domains.on_cut = pool.cut
    front = Front(
        dialect,
        Dispatcher(book, known, pool, guard, domains, dialect, metrics),
        Turns(keepers, metrics),
        metrics,
    )
    view = View(kv, sources, front, book)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(members)
        for watch in view.watches:
            await stack.enter_async_context(watch)
        stack.callback(pool.close)
        sweeper = start_loop("sweep of connections", _sweep(pool))
        stack.callback(sweeper.cancel)
        pings = start_loop("pings", keepers.reach.ping_forever())
        stack.callback(pings.cancel)
        cuts = start_loop("failure domains", domains.watch_for_ever())
        stack.callback(cuts.cancel)
        callers = await listen(
            settings.callers,
            front.serve,
            Bounds(front.limits, True, metrics),
            settings.grace_seconds - _NOTICE_SECONDS - _EXIT_SECONDS,
        )
        stack.push_async_callback(callers.cleanup)
        ready = await listen(
            settings.readiness,
            _readiness(lambda: _is_ready(view, front, keepers)),
            Bounds(front.limits, False, metrics),
            _EXIT_SECONDS / 2,
        )
        stack.push_async_callback(ready.cleanup)
        shown = await serve_metrics(settings.ip, metrics)
        stack.push_async_callback(shown.cleanup)
        log_event("started", role="front", domain=settings.domain)
        await signals.stop.wait()
        if not signals.broken:
            await _drain(front, callers)
    if signals.broken:
        raise signals.broken
    log_event("stopped")


def _is_ready(view: View, front: Front, keepers: KeeperClient) -> bool:
    return view.synced and not front.ending and not keepers.reach.is_cut_off()


def _readiness(is_ready: Callable[[], bool]) -> Callable:
    said: list[bool] = [False]

    async def answer(request: web.BaseRequest) -> web.Response:
        ready = is_ready()
        if ready != said[0]:
            log_event("readiness", ready=ready)
        said[0] = ready
        return web.Response(status=200 if ready else 503)

    return answer


async def _reaches(domain: str, book: EndpointBook, pool: Pool) -> bool:
    """Whether an endpoint of a domain can be reached; two are tried."""
    there = [e for e in book.endpoints.values() if e.domain == domain]
    tried = random.sample(there, min(len(there), 2))
    return any(await asyncio.gather(*map(pool.reaches, tried)))


async def _sweep(pool: Pool) -> None:
    while True:
        await asyncio.sleep(_SWEEP_SECONDS)
        pool.sweep()


async def _drain(front: Front, callers: web.ServerRunner) -> None:
    """Finishes what is under way, and what the balancer still sends.

    Idle connections are closed at once, busy ones when their request is done:
    one that were closed between its request and its answer would leave a
    caller not knowing whether it ran.
    """
    front.ending = True
    await asyncio.sleep(_NOTICE_SECONDS)
    await callers.cleanup()
    log_event("drained", cut=front.active)
