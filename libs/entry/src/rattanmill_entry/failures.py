"""Handles unexpected errors.

A request that fails with one is refused as ``internal``, and the log has the
traceback with the ids of program and request. A broken invariant stops the
whole process: continuing from an impossible state could write wrong turns or
spent budget to the log, which no restart would repair.
"""

import asyncio

from aiohttp import web

from rattanmill_core import InvariantError, Reason, part_logger, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_log = part_logger("failure")


def handle_request_error(
    node: Node, request: web.Request, error: Exception
) -> web.StreamResponse:
    """Records an unexpected error of a request and returns the response."""
    record_failure(node, error)
    if request.writer.output_size and request.transport:
        # Part of a response was sent. A second response would be read as its
        # continuation; an aborted connection shows that it is incomplete.
        request.transport.abort()
    detail = "The instance had an internal error; see its log."
    return problem_response(refuse(Reason.INTERNAL, detail), node.metrics)


def watch_tasks(node: Node) -> None:
    """Records errors of the daemon's tasks, which nothing awaits."""

    def handle_exception(
        loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        error = context.get("exception")
        if isinstance(error, Exception):
            record_failure(node, error)
        else:
            _log.error("{}", context["message"])

    asyncio.get_running_loop().set_exception_handler(handle_exception)


def record_failure(node: Node, error: Exception) -> None:
    """Logs and counts an error; a broken invariant stops the process."""
    node.metrics.count("rattanmill_failures", error=type(error).__name__)
    _log.opt(exception=error).error("Unexpected {}.", type(error).__name__)
    if isinstance(error, InvariantError) and node.invariant_error is None:
        node.invariant_error = error
        node.stop.set()
