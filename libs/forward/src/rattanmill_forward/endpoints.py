"""Registered endpoints and those that accept new work."""

from collections.abc import Callable

import msgspec

from rattanmill_core import log_event


class Endpoint(msgspec.Struct, frozen=True):
    """A model engine or plain service.

    Attributes:
        name: Its id.
        service: Service that it belongs to.
        domain: Failure domain.
        address: ``IP:PORT``.
        slots: Maximum number of concurrent requests.
        is_draining: Whether it accepts no new work.
        started_ms: Unix time of the start of its process, in milliseconds; a
            restarted process holds no earlier state.
        warmup_seconds: How much longer it is slow after its start.
    """

    name: str
    service: str
    domain: str
    address: str
    slots: int
    is_draining: bool
    started_ms: int = 0
    warmup_seconds: float = 0.0


class EndpointRegistry:
    """The endpoints that are registered.

    Attributes:
        endpoints: By name.
        by_service: Those that accept work, by service.
        on_removed: Called with the previous entry of an endpoint that was
            removed or restarted: what was known of it no longer holds.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, tuple[Endpoint, ...]] = {}
        self.on_removed: Callable[[Endpoint], None] = lambda endpoint: None

    def update(self, endpoint: Endpoint) -> None:
        """Adds or replaces the entry of an endpoint."""
        previous = self.endpoints.get(endpoint.name)
        self.endpoints[endpoint.name] = endpoint
        if previous and _is_restarted(previous, endpoint):
            self.on_removed(previous)
        if previous is None or _has_changed(previous, endpoint):
            log_event(
                "endpoint_seen",
                endpoint=endpoint.name,
                service=endpoint.service,
                domain=endpoint.domain,
                address=endpoint.address,
                leaving=endpoint.is_draining,
            )
        self._index()

    def remove(self, name: str) -> None:
        """Removes the entry of an endpoint."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        log_event("endpoint_gone", endpoint=name, service=endpoint.service)
        self._index()
        self.on_removed(endpoint)

    def _index(self) -> None:
        found: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if not endpoint.is_draining:
                found.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = {name: tuple(each) for name, each in found.items()}


def _is_restarted(previous: Endpoint, now: Endpoint) -> bool:
    return (previous.started_ms, previous.address) != (
        now.started_ms,
        now.address,
    )


def _has_changed(previous: Endpoint, now: Endpoint) -> bool:
    return (
        _is_restarted(previous, now) or previous.is_draining != now.is_draining
    )
