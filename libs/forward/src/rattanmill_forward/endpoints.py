"""Endpoints as they register themselves, and which may get work."""

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
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        born: Start of its process; another one holds nothing of before.
        warm_in_seconds: How much longer it is slow after its start.
    """

    name: str
    service: str
    domain: str
    address: str
    slots: int
    is_leaving: bool
    born: int = 0
    warm_in_seconds: float = 0.0


class EndpointBook:
    """The endpoints that are registered.

    Attributes:
        endpoints: By name.
        by_service: Those that take work, by service.
        on_gone: Called with an endpoint that is leaving, gone or started
            anew: what was known of it no longer holds.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.by_service: dict[str, tuple[Endpoint, ...]] = {}
        self.on_gone: Callable[[Endpoint], None] = lambda endpoint: None

    def take(self, endpoint: Endpoint) -> None:
        """Takes what an endpoint says of itself."""
        before = self.endpoints.get(endpoint.name)
        self.endpoints[endpoint.name] = endpoint
        if before and _is_another(before, endpoint):
            self.on_gone(before)
        if before is None or _differs(before, endpoint):
            log_event(
                "endpoint_seen",
                endpoint=endpoint.name,
                service=endpoint.service,
                domain=endpoint.domain,
                address=endpoint.address,
                leaving=endpoint.is_leaving,
            )
        self._index()

    def remove(self, name: str) -> None:
        """Takes the removal of an entry."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        log_event("endpoint_gone", endpoint=name, service=endpoint.service)
        self._index()
        self.on_gone(endpoint)

    def _index(self) -> None:
        found: dict[str, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if not endpoint.is_leaving:
                found.setdefault(endpoint.service, []).append(endpoint)
        self.by_service = {name: tuple(each) for name, each in found.items()}


def _is_another(before: Endpoint, now: Endpoint) -> bool:
    return (before.born, before.address) != (now.born, now.address)


def _differs(before: Endpoint, now: Endpoint) -> bool:
    return _is_another(before, now) or before.is_leaving != now.is_leaving
