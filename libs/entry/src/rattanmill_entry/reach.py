"""Which instances have a configuration in force, found out from here.

Only the asked instance can tell: an operator reaches one instance, and the
others may be behind links that only instances use. Asking is a heartbeat,
which also makes whoever is behind fetch the document.
"""

import asyncio

from rattanmill_core import ConfigReach, PeerStatus
from rattanmill_entry.gossip import heartbeat
from rattanmill_entry.node import Node

_ROUND_SECONDS = 0.5
_LOOK_SECONDS = 0.02


def peer_statuses(node: Node) -> list[PeerStatus]:
    """Returns all instances this one knows, itself among them."""
    now = asyncio.get_running_loop().time()
    statuses = []
    for name, record in sorted(node.addresses.items()):
        heard = node.heard.get(name)
        status = PeerStatus(
            name=name,
            domain=record.domain,
            http=record.http,
            registered=name in node.live.instances,
        )
        if name == node.settings.name:
            status.config_number = node.config.number
            status.heard_seconds = 0.0
        elif heard:
            status.config_number = heard.config_number
            status.heard_seconds = round(now - heard.at, 3)
        statuses.append(status)
    return statuses


async def config_reach(node: Node, number: int, seconds: float) -> ConfigReach:
    """Waits up to ``seconds`` until all have ``number`` or a later one."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    next_round = 0.0
    while True:
        behind = [s for s in peer_statuses(node) if _is_behind(s, number)]
        if not behind or loop.time() >= end:
            break
        if loop.time() >= next_round:
            next_round = loop.time() + _ROUND_SECONDS
            await _ask(node, behind)
        await asyncio.sleep(_LOOK_SECONDS)
    late = {status.name for status in behind}
    names = [s.name for s in peer_statuses(node) if s.name not in late]
    return ConfigReach(number, names, behind)


def _is_behind(status: PeerStatus, number: int) -> bool:
    return status.config_number is None or status.config_number < number


async def _ask(node: Node, behind: list[PeerStatus]) -> None:
    for status in behind:
        record = node.addresses[status.name]
        if status.name == node.settings.name:
            continue
        await node.link(record).send(heartbeat(node, reply=False))
