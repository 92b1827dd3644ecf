"""A front end with one endpoint, without storage instances or a store.

Usage: python -m support.slow_front ENDPOINT_ADDRESS MEMORY_BYTES

Prints its address. Each line on standard input is answered with its figures as
a line of JSON.
"""

import asyncio
import contextlib
import json
import pathlib
import sys
import types
from collections.abc import AsyncIterator, Iterator
from typing import Any, Self
from unittest import mock

from rattanmill_site.headers import HTTP_CODEC

from rattanmill_core import Metrics
from rattanmill_forward import (
    Backend,
    Call,
    Endpoint,
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    build_route_table,
)
from rattanmill_forward.callers import ConnectionPolicy, listen
from rattanmill_forward.delivery import max_held_bytes
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.exchange import ConnectionPool
from rattanmill_forward.front import FrontEnd
from rattanmill_forward.stats import PerformanceModel
from rattanmill_forward.turns import Turn
from support.slow_callers import HOST

_SAMPLE_SECONDS = 0.01
_LOGGING_MODULES = ("callers", "delivery", "dispatch", "forwarding", "front")


class SlowFront:
    """A front end whose calls all go to one endpoint.

    Attributes:
        address: Host and port for callers.
        metrics: Counters of the front end.
        lines: Log events so far, with their fields.
        peak_bytes: Most bytes that were held for callers, as sampled.

    Args:
        endpoint_address: ``IP:PORT`` of the endpoint.
        memory_bytes: Memory limit, or None for the default.
        limits: Limits for callers.
    """

    def __init__(
        self,
        endpoint_address: str,
        memory_bytes: int | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.metrics = Metrics()
        self.lines: list[dict[str, Any]] = []
        self.peak_bytes = 0
        self.pool = ConnectionPool("127.0.0.1", HTTP_CODEC, self.metrics)
        self.performance = PerformanceModel("east")
        registry = EndpointRegistry()
        registry.update(
            Endpoint("e", "s", "east", endpoint_address, 10_000, False)
        )
        guard = types.SimpleNamespace(
            refusal=lambda fingerprint, ran: None,
            clear=lambda fingerprint: None,
            report_broken=lambda *arguments: None,
        )
        dispatcher = Dispatcher(
            registry,
            self.performance,
            self.pool,
            guard,
            DomainMonitor("east", dict, None),
            HTTP_CODEC,
            self.metrics,
        )
        self.front_end = FrontEnd(
            HTTP_CODEC,
            dispatcher,
            _Turns(),
            self.metrics,
            max_held_bytes(memory_bytes),
        )
        self.front_end.route_table = _route_table(limits or Limits())

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[Self]:
        """Serves callers until the block ends."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self._record_lines())
            stack.callback(self.pool.close)
            self.runner = await listen(
                "127.0.0.1:0",
                self.front_end.serve,
                ConnectionPolicy(self.front_end.limits, True, self.metrics),
                0.1,
            )
            stack.push_async_callback(self.runner.cleanup)
            self.address = tuple(self.runner.addresses[0])
            sampling = asyncio.create_task(self._sample())
            stack.callback(sampling.cancel)
            yield self

    @contextlib.contextmanager
    def _record_lines(self) -> Iterator[None]:
        """Records log events instead of writing them."""

        def record(event: str, **fields: object) -> None:
            self.lines.append({"event": event, **fields})

        with contextlib.ExitStack() as stack:
            for name in _LOGGING_MODULES:
                target = f"rattanmill_forward.{name}.log_event"
                stack.enter_context(mock.patch(target, record))
            yield

    async def _sample(self) -> None:
        while True:
            self.held_bytes()
            await asyncio.sleep(_SAMPLE_SECONDS)

    def held_bytes(self) -> int:
        """Returns the bytes held for callers now, and updates the peak.

        Counted where they are held, other than the product counts them.
        """
        received = sum(
            len(connection.protocol.received)
            + len(connection.http._receive_buffer)
            for connection in self.pool.active
        )
        unsent = sum(
            connection.transport.get_write_buffer_size()
            for connection in self.runner.server.connections
            if connection.transport
        )
        buffered = sum(
            delivery.buffered_bytes for delivery in self.front_end.held.stalled
        )
        held = received + unsent + buffered
        self.peak_bytes = max(self.peak_bytes, held)
        return held

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the log events of a name."""
        return [line for line in self.lines if line["event"] == name]

    def slots_in_use(self) -> int:
        """Returns the calls that the front end counts at the endpoint."""
        return sum(stats.own_calls for stats in self.performance.stats.values())

    def figures(self) -> dict[str, Any]:
        """Returns figures of the process."""
        return {
            "held_bytes": self.held_bytes(),
            "peak_bytes": self.peak_bytes,
            "counted_bytes": self.front_end.held.total,
            "max_held_bytes": self.front_end.held.max_bytes,
            "peak_memory_bytes": _peak_memory_bytes(),
            "stalled": len(self.front_end.held.stalled),
            "requests": self.front_end.active_requests,
            "cut_off": [line["why"] for line in self.events("caller_stalled")],
        }


def _peak_memory_bytes() -> int:
    """Returns the most memory this process has had resident.

    The figure of getrusage includes the process that started this one.
    """
    status = pathlib.Path("/proc/self/status").read_text(encoding="utf-8")
    (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class _Turns:
    """Turns without budget or history."""

    def __init__(self) -> None:
        reach = types.SimpleNamespace(is_cut_off=lambda: False)
        self.keepers = types.SimpleNamespace(rates=None, reach=reach)

    async def begin(self, call: Call, route: Route) -> Turn:
        return Turn(call.body)

    def settle(self, call: Call, turn: Turn, service: Service) -> None:
        """Does nothing, as no budget is reserved."""


def _route_table(limits: Limits) -> RouteTable:
    kinds = {
        "stream": RouteKind.STREAM,
        "plain": RouteKind.IDEMPOTENT,
        "part": RouteKind.IDEMPOTENT,
    }
    routes = [
        Route(
            *(name, HOST, f"/{name}/", kind, 60.0, 1.0, 0),
            backends=(Backend("s", 1.0),),
            max_attempts=1,
        )
        for name, kind in kinds.items()
    ]
    return build_route_table(1, routes, [Service("s")], limits)


async def _main(endpoint_address: str, memory_bytes: int) -> None:
    async with SlowFront(endpoint_address, memory_bytes).run() as front:
        print(json.dumps(front.address), flush=True)
        while await asyncio.to_thread(sys.stdin.readline):
            print(json.dumps(front.figures()), flush=True)


if __name__ == "__main__":
    asyncio.run(_main(sys.argv[1], int(sys.argv[2])))
