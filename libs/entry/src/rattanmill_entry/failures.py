"""What happens to errors that nobody expected.

A request that meets one is refused as ``internal``, and the log has the
traceback with the ids of program and request. A broken invariant stops the
whole process: going on from a state that is impossible could put wrong turns
or spent budget into the log, which no restart would mend.
"""

import asyncio

from aiohttp import web

from rattanmill_core import InvariantError, Reason, part_logger, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_log = part_logger("failure")


def failed_request(
    node: Node, request: web.Request, error: Exception
) -> web.StreamResponse:
    """Notes an error that a request met, and returns its answer."""
    note_failure(node, error)
    if request.writer.output_size and request.transport:
        # Part of an answer has gone out. Another one behind it would be read
        # as its rest; a cut connection tells that it is not whole.
        request.transport.abort()
    detail = "The instance met an error of its own; its log has it."
    return problem_response(refuse(Reason.INTERNAL, detail), node.metrics)


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
