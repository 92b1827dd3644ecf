"""The edge towards callers: bounds on connections, errors as problems."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

from aiohttp import web

from rattanmill_core import Ran, Reason, refuse, start_loop
from rattanmill_entry.failures import failed_request
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_ROUND_SECONDS = 0.5
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def edge_middleware(node: Node) -> _Handler:
    """Returns the outermost middleware: it counts and tells every error."""

    @web.middleware
    async def edge(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        node.in_flight += 1
        node.busy_connections.add(request.protocol)
        try:
            if len(node.busy_connections) > node.settings.connections:
                return _full(node)
            return await handler(request)
        except web.HTTPException as error:
            if error.status not in (404, 405):
                raise
            detail = f"There is no {request.method} for this path."
            return problem_response(
                refuse(Reason.NO_SUCH_CALL, detail), node.metrics
            )
        except ConnectionError:
            # The caller has gone.
            raise
        except Exception as error:
            # One request must not take the others down, and its caller must
            # not take it for one that never ran.
            return failed_request(node, request, error)
        finally:
            node.in_flight -= 1
            node.busy_connections.discard(request.protocol)

    return edge


def _full(node: Node) -> web.Response:
    detail = "Too many calls are under way here."
    answer = problem_response(
        refuse(Reason.OVERLOADED, detail, ran=Ran.NO), node.metrics
    )
    answer.force_close()
    return answer


class ConnectionLimit:
    """Closes connections that send nothing, or are too many.

    A connection that never sends a whole request costs memory and a file
    descriptor for as long as its caller likes. Enough of them, and nobody
    else gets in.

    Args:
        node: The daemon's context.
        server: The HTTP server whose connections are looked after.
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
            await asyncio.sleep(_ROUND_SECONDS)
            self.sweep()

    def sweep(self) -> None:
        """Closes what is idle for too long, oldest first beyond the limit."""
        now = asyncio.get_running_loop().time()
        busy = self.node.busy_connections
        connections = self.server.connections
        self.idle_since = {
            each: self.idle_since.get(each, now)
            for each in connections
            if each not in busy
        }
        limits = self.node.settings
        most = len(connections) - limits.connections
        oldest = sorted(self.idle_since.items(), key=lambda pair: pair[1])
        for place, (connection, since) in enumerate(oldest):
            if place < most:
                self._close(connection, "too_many")
            elif now - since > limits.receive_seconds:
                self._close(connection, "idle")

    def _close(self, connection: web.RequestHandler, why: str) -> None:
        self.idle_since.pop(connection, None)
        if connection.transport:
            connection.transport.abort()
        self.node.metrics.count("rattanmill_connections_closed", why=why)
