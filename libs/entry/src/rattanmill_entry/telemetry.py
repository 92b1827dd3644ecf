"""Gauges and totals that are read from the daemon's state on export."""

from rattanmill_entry.node import Node


def register_state_metrics(node: Node) -> None:
    """Registers the gauges and totals of docs/METRICS.md."""
    metrics = node.metrics
    metrics.gauge("rattanmill_in_flight", lambda: node.in_flight)
    metrics.gauge(
        "rattanmill_endpoint_in_flight", lambda: _endpoint_in_flight(node)
    )
    metrics.gauge("rattanmill_shards", lambda: len(node.shards))
    metrics.gauge("rattanmill_programs", lambda: _program_count(node))
    metrics.gauge("rattanmill_config_number", lambda: node.config.number)
    metrics.gauge("rattanmill_lease_held", lambda: int(node.lease.is_held()))
    metrics.total("rattanmill_peer_in_bytes", lambda: node.hub.bytes_in)
    metrics.total("rattanmill_peer_out_bytes", lambda: node.hub.bytes_out)


def _endpoint_in_flight(node: Node) -> int:
    return sum(state.in_flight for state in node.table.states.values())


def _program_count(node: Node) -> int:
    return sum(len(shard.programs) for shard in node.shards.values())
