"""What the measured slopes mean at the target size.

Each row names a quantity of one role at the target, the slope it comes from,
the limit, and at which size the limit is met.
"""

import msgspec

from bench.capacity.fit import Slope

NODES = 340
DOMAINS = 10
REQUESTS = 17_000
TOKENS = 4_900_000
PROGRAMS = 370_000
HISTORY_TOKENS = 170_000
BYTES_PER_TOKEN = 4
ENDPOINTS = 6300
CONFIG_CHANGES_A_DAY = 12_000
CONFIG_SECONDS = 14.0
CONTROL_CORES = 0.014
CONTROL_BYTES = 256 * 1024 * 1024
CONTROL_TRAFFIC = 3 * 1024
STORE_WRITES = 400
STORE_READS = 2000
DAY_SECONDS = 86_400
FAILURES_A_DAY = 73
REPLACED_A_DAY = 1500
# The store is also there for others: we take half of what it gives.
_HALF = 2


class Row(msgspec.Struct):
    """One number at the target.

    Attributes:
        role: What has the cost.
        quantity: What is counted, with its unit.
        value: The number at the target.
        limit: What it may be; 0 if there is none.
        slope: Name of the slope it comes from.
        size: What the limit is reached at, in words; empty if it holds.
    """

    role: str
    quantity: str
    value: float
    limit: float
    slope: str
    size: str = ""

    @property
    def verdict(self) -> str:
        """Whether the number stays within its limit."""
        if not self.limit:
            return "no limit stated"
        if self.value <= self.limit:
            return "holds"
        return f"breaks at {self.size}"


def rows(slopes: dict[str, Slope]) -> list[Row]:
    """Returns all rows for which the slopes have been measured."""
    found: list[Row] = []
    for make in (_data_path, _memory, _control, _store, _failures):
        try:
            found += make(slopes)
        except KeyError:
            continue
    return found


def _breaking(limit: float, per_unit: float, offset: float = 0.0) -> float:
    """Returns the size at which a line reaches a limit."""
    return max(0.0, (limit - offset) / per_unit) if per_unit > 0 else 0.0


def _data_path(slopes: dict[str, Slope]) -> list[Row]:
    requests = slopes["request"].slope * REQUESTS / NODES
    tokens = slopes["token, forwarded"].slope * TOKENS / NODES
    turns = slopes["turn"].slope * REQUESTS / NODES
    most = _breaking(1.0, slopes["token, forwarded"].slope)
    return [
        Row(
            "entry instance, calls",
            "cores for requests without a program",
            requests,
            1.0,
            "request",
            f"{_breaking(1.0, slopes['request'].slope):.0f} requests/s a node",
        ),
        Row(
            "entry instance, turns",
            "cores for turns of programs",
            turns,
            1.0,
            "turn",
            f"{_breaking(1.0, slopes['turn'].slope):.0f} turns/s a node",
        ),
        Row(
            "entry instance, streams",
            "cores for tokens passed on one by one over a peer link",
            tokens,
            1.0,
            "token, forwarded",
            f"{most:.0f} tokens/s a process",
        ),
    ]


def _memory(slopes: dict[str, Slope]) -> list[Row]:
    held = PROGRAMS / NODES
    idle = slopes["idle program"].slope * held
    history = slopes["history"].slope * held * HISTORY_TOKENS * BYTES_PER_TOKEN
    per_program = CONTROL_BYTES / held / BYTES_PER_TOKEN
    known = slopes["endpoint, memory"].slope * ENDPOINTS
    base = slopes["idle instance, memory"].offset
    return [
        Row(
            "owner, idle programs",
            "bytes a node, without history",
            idle,
            CONTROL_BYTES,
            "idle program",
            "more programs a node",
        ),
        Row(
            "owner, history",
            "bytes a node, if every program had the longest history",
            history,
            CONTROL_BYTES,
            "history",
            f"a mean of {per_program / slopes['history'].slope:.0f} tokens",
        ),
        Row(
            "endpoint table",
            "bytes a node for all endpoints",
            known,
            CONTROL_BYTES,
            "endpoint, memory",
            "more endpoints",
        ),
        Row(
            "daemon, empty",
            "bytes a node",
            base,
            CONTROL_BYTES,
            "idle instance, memory",
            "one instance",
        ),
    ]


def _control(slopes: dict[str, Slope]) -> list[Row]:
    idle = slopes["idle instance"]
    traffic = slopes["control traffic"]
    endpoint = slopes["endpoint"]
    config = slopes["configuration"]
    known = ENDPOINTS / DOMAINS
    return [
        Row(
            "idle instance",
            "cores for lease, watch and heartbeats",
            idle.at(NODES),
            CONTROL_CORES,
            "idle instance",
            f"{_breaking(CONTROL_CORES, idle.slope, idle.offset):.0f} nodes",
        ),
        Row(
            "endpoint table",
            "cores for the endpoints of the own domain",
            endpoint.slope * known,
            CONTROL_CORES,
            "endpoint",
            f"{_breaking(CONTROL_CORES, endpoint.slope):.0f} endpoints",
        ),
        Row(
            "endpoint table",
            "cores for all endpoints",
            endpoint.slope * ENDPOINTS,
            CONTROL_CORES,
            "endpoint",
            f"{_breaking(CONTROL_CORES, endpoint.slope):.0f} endpoints",
        ),
        Row(
            "peer links",
            "bytes/s of control traffic sent by a node",
            traffic.at(NODES),
            CONTROL_TRAFFIC,
            "control traffic",
            f"{_breaking(CONTROL_TRAFFIC, traffic.slope, traffic.offset):.0f}"
            " nodes",
        ),
        Row(
            "configuration",
            "s until a change is in force everywhere",
            config.at(NODES),
            CONFIG_SECONDS,
            "configuration",
            f"{_breaking(CONFIG_SECONDS, config.slope, config.offset):.0f}"
            " nodes",
        ),
    ]


def _store(slopes: dict[str, Slope]) -> list[Row]:
    reads, writes = slopes["store reads"], slopes["store writes"]
    most_reads = _breaking(STORE_READS / _HALF, reads.slope, reads.offset)
    most_writes = _breaking(STORE_WRITES / _HALF, writes.slope, writes.offset)
    turn_writes = slopes["turn, store writes"]
    turn_bytes = slopes["turn, bytes to the store"]
    per_node = turn_writes.at(REQUESTS / NODES)
    return [
        Row(
            "key-value service, idle fleet",
            "reads/s",
            reads.at(NODES),
            STORE_READS / _HALF,
            "store reads",
            f"{most_reads:.0f} nodes",
        ),
        Row(
            "key-value service, idle fleet",
            "writes/s",
            writes.at(NODES),
            STORE_WRITES / _HALF,
            "store writes",
            f"{most_writes:.0f} nodes",
        ),
        Row(
            "key-value service, turns",
            "writes/s for group commits",
            per_node * NODES,
            STORE_WRITES / _HALF,
            "turn, store writes",
            f"{_breaking(STORE_WRITES / _HALF, per_node):.1f} busy nodes",
        ),
        Row(
            "key-value service, turns",
            "bytes/s for group commits of the shortest turns",
            turn_bytes.slope * REQUESTS,
            0.0,
            "turn, bytes to the store",
        ),
        Row(
            "key-value service, history",
            "values of 1 MB to hold every program's longest history",
            PROGRAMS * HISTORY_TOKENS * BYTES_PER_TOKEN / 2**20,
            1000.0,
            "history",
            f"{1000 * 2**20 / BYTES_PER_TOKEN / HISTORY_TOKENS:.0f} programs",
        ),
    ]


def _failures(slopes: dict[str, Slope]) -> list[Row]:
    takeover = slopes["takeover"]
    moved = FAILURES_A_DAY + REPLACED_A_DAY
    # A lease, a record, a claim of shards, an opening of each of two shards.
    writes = 5
    programs = PROGRAMS / NODES
    return [
        Row(
            "a day's failures and replacements",
            "writes/s, mean over the day",
            moved * writes / DAY_SECONDS,
            STORE_WRITES / _HALF,
            "count of calls in docs/design/state.md",
            "more failures",
        ),
        Row(
            "a domain lost and back",
            "writes, if its instances start at once",
            NODES / DOMAINS * writes,
            STORE_WRITES / _HALF,
            "count of calls in docs/design/state.md",
            "a larger domain, spread over more seconds by back-off",
        ),
        Row(
            "takeover of one owner",
            "s until its programs are answered",
            takeover.at(programs),
            0.0,
            "takeover",
        ),
        Row(
            "configuration",
            "writes/s, mean over the day",
            CONFIG_CHANGES_A_DAY / DAY_SECONDS,
            STORE_WRITES / _HALF,
            "one write a change",
            "more changes",
        ),
    ]
