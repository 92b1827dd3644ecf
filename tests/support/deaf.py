"""An address that accepts no connections, like that of a host that hangs."""

import contextlib
import select
import socket
from collections.abc import Iterator

_FILL_TIMEOUT_SECONDS = 1.0


@contextlib.contextmanager
def unresponsive_listener(address: str) -> Iterator[None]:
    """Lets connection attempts to an address wait until they time out.

    Args:
        address: ``IP:PORT`` of a process that has ended.
    """
    host, port = address.rsplit(":", 1)
    socket_address = (host, int(port))
    with socket.socket() as listener, socket.socket() as first:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(socket_address)
        listener.listen(0)
        # One connection fills the backlog: this one, or an earlier one of a
        # probe. Later attempts get no response.
        first.setblocking(False)
        first.connect_ex(socket_address)
        select.select([], [first], [], _FILL_TIMEOUT_SECONDS)
        yield
