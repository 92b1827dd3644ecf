"""Who is in the failure domain, and who is gone for good.

Instances are replaced all day under new names. If none were forgotten, each
one ever seen would be sent heartbeats for ever, and each change of the
configuration would end with a list of dead instances that it did not reach.
"""

import math

from rattanmill_entry.node import Node

_GONE_LEASES = 40


def forget_gone(node: Node, now: float) -> None:
    """Drops who has no lease, owns nothing and was silent for long.

    An instance that is cut off from the service has no lease either, but it
    owns shards or its peers hear it; and while the service is silent nobody's
    lease says anything.

    Args:
        node: The daemon's context.
        now: Loop time.
    """
    if not node.live.synced:
        return
    owners = {
        shard.owner
        for domain in node.live.shards.values()
        for shard in domain.shards
    }
    present = owners | node.live.instances.keys()
    for name in list(node.addresses):
        if name in present:
            node.gone_since.pop(name, None)
        elif _is_gone(node, name, now):
            _forget(node, name)


def _is_gone(node: Node, name: str, now: float) -> bool:
    since = node.gone_since.setdefault(name, now)
    if heard := node.heard.get(name):
        since = max(since, heard.at)
    return now - since > _GONE_LEASES * node.settings.lease_seconds


def _forget(node: Node, name: str) -> None:
    del node.addresses[name]
    del node.gone_since[name]
    node.heard.pop(name, None)
    node.hub.forget(name)


def living_instances(node: Node) -> dict[str, str]:
    """Incarnations of the domain's instances with a lease, by name."""
    return {
        record.name: record.incarnation
        for record in node.live.instances.values()
        if record.domain == node.settings.domain
    }


def staying(node: Node) -> dict[str, str]:
    """Living instances that have not said that they are shutting down."""
    return {
        name: incarnation
        for name, incarnation in living_instances(node).items()
        if incarnation not in node.leaving
    }


def share(node: Node, count: int) -> int:
    """Returns how many of ``count`` shards an instance should own."""
    return math.ceil(count / max(1, len(staying(node))))
