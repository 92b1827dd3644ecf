"""Members of the failure domain, and removal of those that are gone.

Instances are replaced all day under new names. If none were removed, each one
ever seen would be sent heartbeats forever, and each change of the
configuration would end with a list of dead instances that it did not reach.
"""

import math

from rattanmill_entry.node import Node

_REMOVAL_LEASE_PERIODS = 40


def remove_gone_instances(node: Node, now: float) -> None:
    """Removes instances without lease, shards or recent heartbeats.

    An instance that is partitioned from the platform store has no lease
    either, but it owns shards or its peers receive its heartbeats. While the
    store is unavailable, leases give no information about any instance.

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
    if last := node.last_heartbeats.get(name):
        since = max(since, last.at)
    return now - since > _REMOVAL_LEASE_PERIODS * node.settings.lease_seconds


def _forget(node: Node, name: str) -> None:
    del node.addresses[name]
    del node.gone_since[name]
    node.last_heartbeats.pop(name, None)
    node.hub.forget(name)


def live_instances(node: Node) -> dict[str, str]:
    """Returns the incarnations of the domain's leased instances, by name."""
    return {
        record.name: record.incarnation
        for record in node.live.instances.values()
        if record.domain == node.settings.domain
    }


def remaining_instances(node: Node) -> dict[str, str]:
    """Returns live instances that have not announced their shutdown."""
    return {
        name: incarnation
        for name, incarnation in live_instances(node).items()
        if incarnation not in node.leaving
    }


def fair_shard_count(node: Node, count: int) -> int:
    """Returns how many of ``count`` shards one instance should own."""
    return math.ceil(count / max(1, len(remaining_instances(node))))
