"""Operators' configuration as a front works by it."""

import enum
import random

import msgspec


class Kind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Backend(msgspec.Struct, frozen=True):
    """A service that a route may use, and its share."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one kind, and how they are served.

    Attributes:
        name: Name.
        host: Value of the request's ``Host``.
        prefix: Start of the path; begins and ends with a slash.
        kind: What may be repeated.
        timeout_seconds: Longest time a caller is kept waiting.
        target_seconds: Time in which an answer is on time; for a stream, its
            first event.
        priority: Rank; 0 is the most urgent.
        backends: Services that may run it.
        most_runs: Endpoints on which one request may run.
        keeps_turns: Whether requests carry only their new input and name the
            turn that they continue.
        retention_seconds: How long a turn is kept.
        resumable: Whether a broken stream may go on at another endpoint.
        gap_seconds: Longest pause between events that is still on time.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_seconds: float
    target_seconds: float
    priority: int
    backends: tuple[Backend, ...]
    most_runs: int
    keeps_turns: bool = False
    retention_seconds: float = 0.0
    resumable: bool = False
    gap_seconds: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after one that may have run."""
        return self.kind is Kind.IDEMPOTENT or self.resumable

    def pick_service(self, draw: float) -> str:
        """Returns the service for a draw between 0 and 1."""
        total = sum(backend.weight for backend in self.backends)
        left = draw * total
        for backend in self.backends:
            left -= backend.weight
            if left < 0:
                return backend.service
        return self.backends[-1].service


class EngineTraits(msgspec.Struct, frozen=True):
    """What is known of the engines of a service.

    Attributes:
        slots: Requests that run at once.
        tokens_per_event: Tokens that one event of a stream holds.
        cache_tokens: Size of its cache.
    """

    slots: int
    tokens_per_event: int
    cache_tokens: int


class Service(msgspec.Struct, frozen=True):
    """Endpoints that do the same work."""

    name: str
    engine: EngineTraits | None = None


class Limits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send and how long it may stay idle."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable(msgspec.Struct, frozen=True):
    """A configuration.

    Attributes:
        version: The operators' number; grows.
        routes: Routes by host, longest prefix first.
        services: Services by name.
        limits: Bounds on callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    limits: Limits

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        return next(
            (
                route
                for route in self.routes.get(host, ())
                if path.startswith(route.prefix)
            ),
            None,
        )

    def service_of(self, route: Route) -> Service:
        """Draws a service for one request of a route."""
        name = route.pick_service(random.random())
        return self.services.get(name) or Service(name)


def make_table(
    version: int,
    routes: list[Route],
    services: list[Service],
    limits: Limits,
) -> RouteTable:
    """Returns a configuration with its routes ready to be matched."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version,
        {
            host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
            for host, found in by_host.items()
        },
        {service.name: service for service in services},
        limits,
    )
