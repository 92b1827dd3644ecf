"""Listening sockets with bounds on what they take at once.

Connections that were accepted and what has arrived on them without being read
count as descriptors and memory of the machine, before any other bound applies.
"""

import socket

from rattanmill_core.events import RepeatedEvent
from rattanmill_core.metrics import Metrics

# Connections that are accepted in one turn of the event loop. asyncio takes the
# same number for the queue of those that are not accepted yet.
ACCEPTED_AT_ONCE = 16
_BACKLOG = 1024
# Of one connection, for what arrives before it is read; the kernel doubles it.
# Enough for a few megabytes a second.
RECEIVE_BUFFER_BYTES = 32 * 1024


class ClosedConnections:
    """Counts connections that were closed or refused as there are too many.

    Logs the first of many.

    Args:
        max_open: Maximum number of open connections.
        metrics: Counters.
    """

    def __init__(self, max_open: int, metrics: Metrics) -> None:
        self.max_open = max_open
        self.metrics = metrics
        self.event = RepeatedEvent("connections_full")

    def record(self, why: str) -> None:
        """Records one of them."""
        self.metrics.count("rattanmill_connections_closed", why=why)
        self.event.record(max=self.max_open, why=why)


def open_listening(host: str, port: int) -> socket.socket:
    """Returns a socket that listens at an address.

    Connections inherit its bound on what arrives without being read.

    Raises:
        OSError: The address cannot be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.create_server((host, port), family=family)
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return listening


def lengthen_queue(listening: socket.socket) -> None:
    """Lets more connections wait than are accepted at once.

    Called once a server has begun to accept them.
    """
    listening.listen(_BACKLOG)
