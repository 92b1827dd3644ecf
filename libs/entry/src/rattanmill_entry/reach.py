"""Reports which instances have a configuration in force.

An operator reaches one instance, and the others may only be reachable over the
links between instances, so the requested instance asks them. It does so with a
heartbeat, which also makes an instance that is behind fetch the document.
"""

import asyncio

from rattanmill_core import ConfigReach, PeerStatus
from rattanmill_entry.gossip import heartbeat
from rattanmill_entry.node import Node

_HEARTBEAT_INTERVAL_SECONDS = 0.5
_POLL_SECONDS = 0.02


def peer_statuses(node: Node) -> list[PeerStatus]:
    """Returns the status of all known instances, including this one."""
    now = asyncio.get_running_loop().time()
    statuses = []
    for name, record in sorted(node.addresses.items()):
        last = node.last_heartbeats.get(name)
        status = PeerStatus(
            name=name,
            domain=record.domain,
            http=record.http,
            registered=name in node.live.instances,
        )
        if name == node.settings.name:
            status.config_number = node.config.number
            status.heard_seconds = 0.0
        elif last:
            status.config_number = last.config_number
            status.heard_seconds = round(now - last.at, 3)
        statuses.append(status)
    return statuses


async def config_reach(node: Node, number: int, seconds: float) -> ConfigReach:
    """Waits up to ``seconds`` for all to have ``number`` or a later one."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    next_heartbeat = 0.0
    while True:
        behind = [s for s in peer_statuses(node) if _is_behind(s, number)]
        if not behind or loop.time() >= deadline:
            break
        if loop.time() >= next_heartbeat:
            next_heartbeat = loop.time() + _HEARTBEAT_INTERVAL_SECONDS
            await _send_heartbeats(node, behind)
        await asyncio.sleep(_POLL_SECONDS)
    late = {status.name for status in behind}
    names = [s.name for s in peer_statuses(node) if s.name not in late]
    return ConfigReach(number, names, behind)


def _is_behind(status: PeerStatus, number: int) -> bool:
    return status.config_number is None or status.config_number < number


async def _send_heartbeats(node: Node, behind: list[PeerStatus]) -> None:
    for status in behind:
        record = node.addresses[status.name]
        if status.name == node.settings.name:
            continue
        await node.link(record).send(heartbeat(node, reply=False))
