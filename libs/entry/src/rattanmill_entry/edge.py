"""Limits callers' connections and turns errors into problem details."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

from aiohttp import web

from rattanmill_core import Ran, Reason, refuse, start_loop
from rattanmill_entry.bodies import hold_memory
from rattanmill_entry.failures import handle_request_error
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_SWEEP_INTERVAL_SECONDS = 0.5
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def edge_middleware(node: Node) -> _Handler:
    """Returns the outermost middleware, which counts and reports errors."""

    @web.middleware
    async def edge(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        node.in_flight += 1
        node.busy_connections.add(request.protocol)
        try:
            if len(node.busy_connections) > node.settings.connections:
                return _too_many_calls(node)
            with node.bodies.hold() as held:
                hold_memory(request, held)
                return await handler(request)
        except web.HTTPException as error:
            if error.status not in (404, 405):
                raise
            detail = f"There is no {request.method} for this path."
            return problem_response(
                refuse(Reason.NO_SUCH_CALL, detail), node.metrics
            )
        except ConnectionError:
            # The caller disconnected.
            raise
        except Exception as error:
            # One request must not affect the others, and its caller must not
            # conclude that it never ran.
            return handle_request_error(node, request, error)
        finally:
            node.in_flight -= 1
            node.busy_connections.discard(request.protocol)

    return edge


def _too_many_calls(node: Node) -> web.Response:
    detail = "This instance has too many calls in flight."
    response = problem_response(
        refuse(Reason.OVERLOADED, detail, ran=Ran.NO), node.metrics
    )
    response.force_close()
    return response


class ConnectionLimit:
    """Closes connections that are idle or exceed the limit.

    A connection that never sends a complete request occupies memory and a file
    descriptor until its caller closes it. Enough of them would block all other
    callers.

    Args:
        node: The daemon's context.
        server: The HTTP server whose connections are limited.
    """

    def __init__(self, node: Node, server: web.Server) -> None:
        self.node = node
        self.server = server
        self.idle_since: dict[web.RequestHandler, float] = {}
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("connection limit", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Closes the oldest connections above the limit, and idle ones."""
        now = asyncio.get_running_loop().time()
        busy = self.node.busy_connections
        connections = self.server.connections
        self.idle_since = {
            connection: self.idle_since.get(connection, now)
            for connection in connections
            if connection not in busy
        }
        limits = self.node.settings
        excess = len(connections) - limits.connections
        oldest = sorted(self.idle_since.items(), key=lambda pair: pair[1])
        for index, (connection, since) in enumerate(oldest):
            if index < excess:
                self._close(connection, "too_many")
            elif now - since > limits.receive_seconds:
                self._close(connection, "idle")

    def _close(self, connection: web.RequestHandler, why: str) -> None:
        self.idle_since.pop(connection, None)
        if connection.transport:
            connection.transport.abort()
        self.node.metrics.count("rattanmill_connections_closed", why=why)
