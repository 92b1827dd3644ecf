"""Which connections of callers are open, and how much is read from each.

Idle connections cost descriptors, and what has arrived on them costs memory.
What is read in one turn of the event loop delays all other calls.
"""

from typing import Protocol

from rattanmill_core import ClosedConnections, MemoryBudget, Metrics

# Of the descriptors, for callers and as many for endpoints.
_DESCRIPTORS_SHARE = 0.35
# Of a machine's memory, and what a connection takes of it: what has arrived on
# it and was not read, or what its caller does not read, here and of the
# endpoint's connection.
_MEMORY_SHARE = 0.2
_CONNECTION_BYTES = 64 * 1024
# What one connection may have read in one turn of the event loop, and all that
# bring bodies together.
_MAX_READ_BYTES = 32 * 1024
_MIN_READ_BYTES = 2 * 1024
_BODIES_TURN_BYTES = 1024 * 1024
# A body in small chunks takes up to a hundred times as long to parse.
_MIN_SMALL_READ_BYTES = 256
_SMALL_TURN_BYTES = 16 * 1024


def max_callers(memory_bytes: int, max_descriptors: int) -> int:
    """Returns how many connections of callers a machine bears."""
    by_memory = int(memory_bytes * _MEMORY_SHARE / _CONNECTION_BYTES)
    return max(1, min(by_memory, max_endpoint_connections(max_descriptors)))


def max_endpoint_connections(max_descriptors: int) -> int:
    """Returns how many connections to endpoints may be open."""
    return max(1, int(max_descriptors * _DESCRIPTORS_SHARE))


class Closable(Protocol):
    """A connection that can be closed for another one.

    Attributes:
        is_closable: Whether its last response, if any, was written as a whole.
    """

    is_closable: bool

    def give_way(self) -> None:
        """Closes the connection, on which no request is in progress."""


class ConnectionTable:
    """Open connections of a listener, up to a maximum.

    Attributes:
        open: All of them.
        idle: Those without a request in progress; the one that has been so for
            longest comes first.

    Args:
        max_open: Maximum number of open connections.
        memory: Ends requests that have stalled.
        metrics: Counts connections that were closed for others, or refused.
    """

    def __init__(
        self, max_open: int, memory: MemoryBudget, metrics: Metrics
    ) -> None:
        self.max_open = max_open
        self.memory = memory
        self.closed = ClosedConnections(max_open, metrics)
        self.open: set[Closable] = set()
        self.idle: dict[Closable, None] = {}

    def add(self, connection: Closable) -> bool:
        """Adds a new connection; returns False if there is no room for it.

        Idle connections make room, or requests that have stalled.
        """
        is_full = len(self.open) >= self.max_open
        if is_full and not self._make_room():
            self.closed.record("refused")
            return False
        self.open.add(connection)
        self.idle[connection] = None
        return True

    def remove(self, connection: Closable) -> None:
        """Removes a connection that was closed."""
        self.open.discard(connection)
        self.idle.pop(connection, None)

    def begin(self, connection: Closable) -> None:
        """Notes that a connection has a request in progress."""
        self.idle.pop(connection, None)

    def end(self, connection: Closable) -> None:
        """Notes that a connection has none any more."""
        if connection in self.open:
            self.idle[connection] = None

    def _make_room(self) -> bool:
        closable = (each for each in self.idle if each.is_closable)
        victim = next(closable, None)
        if victim is not None:
            self.closed.record("too_many")
            self.remove(victim)
            victim.give_way()
            return True
        if self.memory.revoke_stalled():
            self.closed.record("stalled")
        return False


class ReadShares:
    """Divides what is read in one turn of the event loop among connections.

    Attributes:
        bodies: Connections that bring a body.
        small: Those of them whose body comes in small chunks.
    """

    def __init__(self) -> None:
        self.bodies: set[object] = set()
        self.small: set[object] = set()

    def record(self, connection: object, is_small: bool) -> int:
        """Records a piece of a body; returns how much is to be read next."""
        self.bodies.add(connection)
        if not is_small:
            self.small.discard(connection)
            return _share(_BODIES_TURN_BYTES, len(self.bodies), _MIN_READ_BYTES)
        self.small.add(connection)
        return _share(_SMALL_TURN_BYTES, len(self.small), _MIN_SMALL_READ_BYTES)

    def remove(self, connection: object) -> int:
        """Records the end of a body; returns how much is to be read next."""
        self.bodies.discard(connection)
        self.small.discard(connection)
        return _MAX_READ_BYTES


def _share(turn_bytes: int, count: int, least: int) -> int:
    return max(least, min(_MAX_READ_BYTES, turn_bytes // count))
