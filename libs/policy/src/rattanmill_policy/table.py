"""Endpoints known to this instance, and what it has in flight at each."""

import asyncio

from rattanmill_platform import Endpoint

_REFUSED_SECONDS = 1.0


class EndpointState:
    """One endpoint as this instance sees it.

    Attributes:
        endpoint: As the instance list shows it.
        in_flight: Calls this instance has there now.
        avoid_until: Loop time until which it gets no new work.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.in_flight = 0
        self.avoid_until = 0.0

    def takes_work(self, now: float) -> bool:
        """Whether it may get new work."""
        return self.endpoint.state == "live" and now >= self.avoid_until


class EndpointTable:
    """All endpoints by name."""

    def __init__(self) -> None:
        self.states: dict[str, EndpointState] = {}
        self.drained: frozenset[str] = frozenset()

    def refresh(self, endpoints: list[Endpoint]) -> None:
        """Takes a newly read instance list."""
        for endpoint in endpoints:
            state = self.states.get(endpoint.name)
            if state is None:
                self.states[endpoint.name] = EndpointState(endpoint)
            else:
                state.endpoint = endpoint
        names = {endpoint.name for endpoint in endpoints}
        for name in [n for n in self.states if n not in names]:
            del self.states[name]

    def engines(self, model: str) -> list[EndpointState]:
        """Engines that serve a model and take work."""
        return [
            state
            for state in self._open()
            if state.endpoint.kind == "engine"
            and model in state.endpoint.models
        ]

    def services(self, service: str) -> list[EndpointState]:
        """Plain services of a name that take work."""
        return [
            state
            for state in self._open()
            if state.endpoint.kind == "service"
            and state.endpoint.service == service
        ]

    def knows_model(self, model: str) -> bool:
        """Whether any endpoint, open or not, serves the model."""
        return any(model in s.endpoint.models for s in self.states.values())

    def knows_service(self, service: str) -> bool:
        """Whether any plain service, open or not, has the name."""
        return any(
            s.endpoint.kind == "service" and s.endpoint.service == service
            for s in self.states.values()
        )

    def avoid(self, name: str, seconds: float = _REFUSED_SECONDS) -> None:
        """Gives an endpoint no new work for a while."""
        if state := self.states.get(name):
            until = asyncio.get_running_loop().time() + seconds
            state.avoid_until = max(state.avoid_until, until)

    def _open(self) -> list[EndpointState]:
        now = asyncio.get_running_loop().time()
        return [
            state
            for name, state in self.states.items()
            if name not in self.drained and state.takes_work(now)
        ]
