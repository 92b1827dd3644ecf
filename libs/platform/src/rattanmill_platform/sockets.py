"""Sockets on which a cut-off peer shows as an error.

Without these options a call to a peer behind a partition waits for its own
time-out, and after the partition for the next retransmission, which is
seconds away by then.
"""

import socket
from typing import Any

# Bytes that are not acknowledged for so long mean that the way is cut: twice
# the least retransmission time of TCP and some.
_UNACKNOWLEDGED_MS = 700
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 2


def bound_silence(sock: socket.socket) -> None:
    """Sets the options on a socket."""
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
        sock.setsockopt(socket.IPPROTO_TCP, option, _KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def watchful_socket(address: tuple[Any, ...]) -> socket.socket:
    """Makes a socket for an address, as ``getaddrinfo`` gives it."""
    family, kind, protocol = address[:3]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    bound_silence(sock)
    return sock
