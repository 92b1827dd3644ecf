"""Bounds the connections that a listening ZeroMQ socket accepts.

ZeroMQ accepts all that connect, in a thread of its own, and reports each one
with its descriptor. Those that are too many are shut down as they are reported.
"""

import asyncio
import contextlib
import os
import socket
from typing import Self

import zmq
from zmq.utils.monitor import parse_monitor_message

from rattanmill_core import (
    RECEIVE_BUFFER_BYTES,
    ClosedConnections,
    Metrics,
)

# Connections that have not said by then that they speak ZeroMQ are closed.
_HANDSHAKE_MS = 5000
# Several times the instances of the largest system.
MAX_CONNECTIONS = 1024
_EVENTS = zmq.EVENT_ACCEPTED | zmq.EVENT_DISCONNECTED


def bound_accepted(listening: zmq.Socket) -> None:
    """Sets what a socket takes from those that connect.

    By default the kernel takes megabytes from one that sends faster than it is
    read. Called before the socket is bound.
    """
    listening.handshake_ivl = _HANDSHAKE_MS
    listening.rcvbuf = RECEIVE_BUFFER_BYTES


class AcceptedConnections:
    """Connections of a listening socket, up to a maximum.

    Attributes:
        open: Descriptors of the open connections.
        closed: Connections that were shut down.

    Args:
        listening: The socket.
        port: Port that it is bound to.
        max_open: Maximum number of connections.
        metrics: Counters.
    """

    def __init__(
        self, listening: zmq.Socket, port: int, max_open: int, metrics: Metrics
    ) -> None:
        self.listening = listening
        self.port = port
        self.max_open = max_open
        self.open: set[int] = set()
        self.closed = ClosedConnections(max_open, metrics)
        self.loop = asyncio.get_running_loop()

    def __enter__(self) -> Self:
        address = f"inproc://accepted-{id(self)}"
        self.listening.monitor(address, _EVENTS)
        # Not one of the event loop's, whichever kind the listening one is.
        context = zmq.Context.shadow(self.listening.context.underlying)
        self.monitor = context.socket(zmq.PAIR)
        self.monitor.linger = 0
        self.monitor.connect(address)
        self.loop.add_reader(self.monitor.fd, self._read_events)
        # Its descriptor reports only what comes after it was last checked.
        self._read_events()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.loop.remove_reader(self.monitor.fd)
        self.listening.disable_monitor()
        self.monitor.close()

    def _read_events(self) -> None:
        while self.monitor.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            event = parse_monitor_message(self.monitor.recv_multipart())
            self._record(event["event"], event["value"])

    def _record(self, event: int, descriptor: int) -> None:
        if event == zmq.EVENT_DISCONNECTED:
            self.open.discard(descriptor)
            return
        is_full = len(self.open) >= self.max_open
        self.open.add(descriptor)
        if is_full and shut_down(descriptor, self.port):
            self.closed.record("refused")


def shut_down(descriptor: int, port: int) -> bool:
    """Shuts a connection down that another owner will close.

    Args:
        descriptor: Its descriptor, which may have been closed and given to
            another file since.
        port: Its local port.

    Returns:
        Whether the descriptor was that of a connection of the port.
    """
    with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
        # The duplicate refers to the same connection until it is closed.
        duplicate = os.dup(descriptor)
        stack.callback(os.close, duplicate)
        connection = socket.socket(fileno=duplicate)
        stack.callback(connection.detach)
        if connection.getsockname()[1] == port:
            connection.shutdown(socket.SHUT_RDWR)
            return True
    return False
