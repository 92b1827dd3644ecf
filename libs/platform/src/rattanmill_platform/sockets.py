"""TCP sockets that report an unreachable peer as an error.

Without these options a call to a partitioned peer waits for its own timeout,
and after the partition for the next retransmission, which is seconds away by
then.
"""

import socket
from typing import Any

# Data unacknowledged for this long means that the peer is unreachable:
# somewhat more than twice TCP's minimum retransmission timeout.
_UNACKNOWLEDGED_MS = 700
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2


def set_tcp_timeouts(sock: socket.socket) -> None:
    """Sets the timeout and keepalive options on a TCP socket."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        sock.setsockopt(socket.IPPROTO_TCP, option, _KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def create_tcp_socket(address: tuple[Any, ...]) -> socket.socket:
    """Creates a socket for an address as ``getaddrinfo`` returns it."""
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    set_tcp_timeouts(sock)
    return sock
