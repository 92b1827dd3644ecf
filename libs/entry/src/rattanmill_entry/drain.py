"""Graceful shutdown: hand over, finish, and only then stop listening."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from rattanmill_core import part_logger
from rattanmill_entry.node import Node
from rattanmill_entry.ownership import Ownership

_log = part_logger("drain")
_POLL_SECONDS = 0.02
_LAST_SECONDS = 0.1


async def drain(
    node: Node, ownership: Ownership, sites: list[web.BaseSite]
) -> None:
    """Finishes all that is under way, for at most ``drain_seconds``.

    Requests go on being taken until nothing is under way and the platform's
    balancer has had time to see that the instance is not ready: they are sent
    on to the new owners, or refused with a time to come back.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + node.settings.drain_seconds
    notice = loop.time() + node.settings.notice_seconds
    _log.info("Draining.")
    node.draining = True
    await ownership.handover.transfer_all(until)
    await asyncio.sleep(max(0.0, min(notice, until) - loop.time()))
    quiet = await _wait_for(lambda: _is_quiet(node), until)
    for site in sites:
        await site.stop()
    # A request that was accepted just before is let through.
    await asyncio.sleep(_LAST_SECONDS)
    quiet = await _wait_for(lambda: _is_quiet(node), until) and quiet
    if quiet:
        _log.info("Drained.")
        return
    node.metrics.count("rattanmill_drain_cut", node.in_flight)
    _log.error(
        "Cut off: {} requests, {} calls of other instances, {} tasks.",
        node.in_flight,
        len(node.hub.served),
        len(node.tasks),
    )


def _is_quiet(node: Node) -> bool:
    """Whether nobody waits for this instance, and it finishes nothing alone.

    Turns and acts go on when their caller has left, and other instances'
    calls are no requests of our own; both would be cut off unseen.
    """
    return not (node.in_flight or node.hub.served or node.tasks)


async def _wait_for(condition: Callable[[], bool], until: float) -> bool:
    loop = asyncio.get_running_loop()
    while not condition():
        if loop.time() > until:
            return False
        await asyncio.sleep(_POLL_SECONDS)
    return True
