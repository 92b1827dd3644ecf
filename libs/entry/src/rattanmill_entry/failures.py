"""What happens to errors that nobody expected.

A request that meets one is refused as ``internal``, and the log has the
traceback with the ids of program and request. A broken invariant stops the
whole process: going on from a state that is impossible could put wrong turns
or spent budget into the log, which no restart would mend.
"""

import asyncio

from aiohttp import web

from rattanmill_core import InvariantError, Ran, Reason, part_logger, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_log = part_logger("failure")


def failure_middleware(node: Node):  # noqa: ANN201 - aiohttp's middleware type
    """Returns the middleware that turns an error into a refusal."""

    @web.middleware
    async def guard(request: web.Request, handler) -> web.StreamResponse:  # noqa: ANN001
        try:
            return await handler(request)
        except web.HTTPException:
            raise
        except Exception as error:
            note_failure(node, error)
            transport = request.transport
            if transport is None or transport.is_closing():
                raise
            if request.writer is not None and request.writer.output_size:
                # Part of the answer has gone out; cutting the connection is
                # what tells the caller that it is not whole.
                transport.abort()
                raise
            detail = "The instance met an error of its own; its log has it."
            refusal = refuse(Reason.INTERNAL, detail, ran=Ran.UNKNOWN)
            return problem_response(refusal, node.metrics)

    return guard


def watch_tasks(node: Node) -> None:
    """Notes errors of the daemon's tasks, which nobody waits for."""

    def notice(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get("exception")
        if isinstance(error, Exception):
            note_failure(node, error)
        else:
            _log.error("{}", context["message"])

    asyncio.get_running_loop().set_exception_handler(notice)


def note_failure(node: Node, error: Exception) -> None:
    """Logs an error; a broken invariant ends the process."""
    node.metrics.count("rattanmill_failures", error=type(error).__name__)
    _log.opt(exception=error).error("Unexpected {}.", type(error).__name__)
    if isinstance(error, InvariantError) and node.broken is None:
        node.broken = error
        node.stop.set()
