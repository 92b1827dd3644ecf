"""Graceful shutdown: transfer shards, finish work, then stop listening."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from rattanmill_core import part_logger
from rattanmill_entry.node import Node
from rattanmill_entry.ownership import Ownership

_log = part_logger("drain")
_POLL_SECONDS = 0.02
_ACCEPTED_REQUEST_SECONDS = 0.1


async def drain(
    node: Node, ownership: Ownership, sites: list[web.BaseSite]
) -> None:
    """Finishes all work in flight, for at most ``drain_seconds``.

    New requests are accepted until no work is in flight and the platform's
    load balancer has had time to see that the instance is not ready. They are
    forwarded to the new owners, or refused with a ``Retry-After``.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + node.settings.drain_seconds
    notice_end = loop.time() + node.settings.notice_seconds
    _log.info("Draining.")
    node.draining = True
    await ownership.handover.transfer_all(deadline)
    await asyncio.sleep(max(0.0, min(notice_end, deadline) - loop.time()))
    idle = await _wait_for(lambda: _is_idle(node), deadline)
    for site in sites:
        await site.stop()
    # Lets a request start that was accepted just before.
    await asyncio.sleep(_ACCEPTED_REQUEST_SECONDS)
    idle = await _wait_for(lambda: _is_idle(node), deadline) and idle
    if idle:
        _log.info("Drained.")
        return
    node.metrics.count("rattanmill_drain_cut", node.in_flight)
    _log.error(
        "Cut off: {} requests, {} calls of other instances, {} tasks.",
        node.in_flight,
        len(node.hub.served),
        len(node.tasks),
    )


def _is_idle(node: Node) -> bool:
    """Whether no request, peer call or background task is in flight.

    Turns and acts continue after their caller disconnects, and calls of other
    instances are not requests of this one. Shutdown would otherwise cut both
    off unnoticed.
    """
    return not (node.in_flight or node.hub.served or node.tasks)


async def _wait_for(condition: Callable[[], bool], deadline: float) -> bool:
    loop = asyncio.get_running_loop()
    while not condition():
        if loop.time() > deadline:
            return False
        await asyncio.sleep(_POLL_SECONDS)
    return True
