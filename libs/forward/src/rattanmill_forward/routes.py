"""Routes, services and limits as configured by the operators."""

import enum
import random

import msgspec

from rattanmill_forward.workspaces import KeyRing


class RouteKind(enum.StrEnum):
    """Which requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that a route may use, and its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """A class of requests and how they are served.

    Attributes:
        name: Name.
        host: Value of the request's ``Host``.
        prefix: Prefix of the path; begins and ends with a slash.
        kind: Which requests may be repeated.
        timeout_seconds: Maximum time that a caller is kept waiting.
        target_latency_seconds: Time within which a response is on time; for a
            stream, its first event.
        priority: Rank; 0 is the most urgent.
        backends: Services that may run it.
        max_attempts: Maximum number of endpoints on which one request may run.
        stores_turns: Whether requests carry only their new input and name the
            turn that they continue.
        retention_seconds: How long a turn is stored.
        resumable: Whether a broken stream may resume on another endpoint.
        target_gap_seconds: Maximum interval between events that is still on
            time.
        is_public: Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_seconds: float
    target_latency_seconds: float
    priority: int
    backends: tuple[Backend, ...]
    max_attempts: int
    stores_turns: bool = False
    retention_seconds: float = 0.0
    resumable: bool = False
    target_gap_seconds: float = 0.0
    is_public: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def pick_service(self, draw: float) -> str:
        """Returns the service for a random number between 0 and 1."""
        total = sum(backend.weight for backend in self.backends)
        left = draw * total
        for backend in self.backends:
            left -= backend.weight
            if left < 0:
                return backend.service
        return self.backends[-1].service


class EngineConfig(msgspec.Struct, frozen=True):
    """Properties of the engines of a service.

    Attributes:
        slots: Maximum number of concurrent requests.
        tokens_per_event: Tokens that one event of a stream holds.
        cache_tokens: Size of the cache, in tokens.
    """

    slots: int
    tokens_per_event: int
    cache_tokens: int


class Service(msgspec.Struct, frozen=True):
    """A group of endpoints that do the same work.

    Attributes:
        name: Name.
        engine: Properties of its engines, or None if it has none.
        route_priorities: Distinct priorities of the routes that use it, most
            urgent first.
    """

    name: str
    engine: EngineConfig | None = None
    route_priorities: tuple[int, ...] = ()

    @property
    def has_priorities(self) -> bool:
        """Whether its engines get a priority with each call."""
        return self.engine is not None and len(self.route_priorities) > 1


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and on waiting for them."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """A configuration.

    Attributes:
        version: Version number set by the operators; increases.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        limits: Limits for callers.
        keys: Keys of the workspaces, or None if callers need none.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits
    keys: KeyRing | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        return next(
            (
                route
                for route in self.routes.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def draw_service(self, route: Route) -> Service:
        """Draws a random service for one request of a route, by weight."""
        name = route.pick_service(random.random())
        return self.services.get(name) or Service(name)


def build_route_table(
    version: int,
    routes: list[Route],
    services: list[Service],
    limits: Limits,
    keys: KeyRing | None = None,
) -> RouteTable:
    """Returns a configuration with its routes indexed for matching."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
            for host, found in by_host.items()
        },
        {
            service.name: msgspec.structs.replace(
                service, route_priorities=_route_priorities(service, routes)
            )
            for service in services
        },
        limits,
        keys,
    )


def _route_priorities(service: Service, routes: list[Route]) -> tuple[int, ...]:
    priorities = {
        route.priority
        for route in routes
        if any(backend.service == service.name for backend in route.backends)
    }
    return tuple(sorted(priorities))
