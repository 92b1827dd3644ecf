"""An address that takes no connections, as of a host that has stalled."""

import contextlib
import select
import socket
from collections.abc import Iterator

_FILL_SECONDS = 1.0


@contextlib.contextmanager
def unresponsive_listener(address: str) -> Iterator[None]:
    """Lets whoever connects to an address wait.

    Args:
        address: ``IP:PORT`` of a process that has ended.
    """
    host, port = address.rsplit(":", 1)
    place = (host, int(port))
    with socket.socket() as listener, socket.socket() as first:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(place)
        listener.listen(0)
        # One connection fills the queue, ours or that of a probe which came
        # before; later ones get no answer.
        first.setblocking(False)
        first.connect_ex(place)
        select.select([], [first], [], _FILL_SECONDS)
        yield
