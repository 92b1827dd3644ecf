"""Many callers at once that don't behave, on one thread and bare sockets."""

import contextlib
import selectors
import socket
import time
from collections.abc import Iterator
from typing import Self

# A crowd that is not read any further stops trying after this time.
_SEND_SECONDS = 20.0
_PIECE_BYTES = 256 * 1024
_RECEIVE_BYTES = 64 * 1024
# What the kernel takes for a member that does not read.
_UNREAD_BYTES = 4 * 1024


def framed(size: int, chunk_bytes: int, is_whole: bool) -> tuple[bytes, bytes]:
    """Returns the framing header and the body of a request, as sent.

    Args:
        size: Size of the body in bytes.
        chunk_bytes: Size of its chunks in bytes, or 0 for one with a length.
        is_whole: Whether its end is sent: its last byte or its last chunk.
    """
    if not chunk_bytes:
        data = b"x" * (size if is_whole else size - 1)
        return b"Content-Length: %d" % size, data
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    data = chunk * (size // chunk_bytes)
    return b"Transfer-Encoding: chunked", data + (
        b"0\r\n\r\n" if is_whole else b""
    )


class _Member:
    """One connection of a crowd.

    Attributes:
        sock: Its socket.
        unsent: What it has yet to send.
        received: The beginning of what it was sent.
        is_closed: Whether the other side has closed the connection.
    """

    def __init__(self, sock: socket.socket, pieces: list[bytes]) -> None:
        self.sock = sock
        self.unsent = [memoryview(piece) for piece in pieces if piece]
        self.received = b""
        self.is_closed = False

    def send(self) -> None:
        """Sends as much as fits into its socket."""
        while self.unsent:
            sent = self.sock.send(self.unsent[0][:_PIECE_BYTES])
            self.unsent[0] = self.unsent[0][sent:]
            if not self.unsent[0]:
                del self.unsent[0]

    def receive(self) -> None:
        """Receives what has come, of which only the beginning is held."""
        while data := self.sock.recv(_RECEIVE_BYTES):
            self.received = (self.received + data)[:_RECEIVE_BYTES]
        self.is_closed = True

    @property
    def status(self) -> int:
        """Status of its response, or 0 if it has none."""
        is_answered = self.received.startswith(b"HTTP/1.1 ")
        return int(self.received[9:12]) if is_answered else 0


class Crowd:
    """Connections to one address that stay open until the end of a test.

    Args:
        address: ``IP:PORT``.
        is_reading: Whether its members read what they are sent.
    """

    def __init__(self, address: str, is_reading: bool = True) -> None:
        self.is_reading = is_reading
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.members: list[_Member] = []
        self.stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stack.close()

    def connect(self, messages: Iterator[list[bytes]]) -> None:
        """Opens a connection for each message, which is sent in its pieces.

        A connection that is refused stays out of the crowd.
        """
        for pieces in messages:
            sock = self.stack.enter_context(socket.socket())
            sock.settimeout(1.0)
            if not self.is_reading:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, _UNREAD_BYTES
                )
            with contextlib.suppress(OSError):
                sock.connect(self.address)
                sock.setblocking(False)
                self.members.append(_Member(sock, pieces))

    def receive(self, size: int) -> None:
        """Waits until each member has received so many bytes."""
        for member in self.members:
            member.sock.settimeout(_SEND_SECONDS)
            while len(member.received) < size:
                data = member.sock.recv(size - len(member.received))
                assert data, "closed while something was due"
                member.received += data
            member.sock.setblocking(False)

    def append(self, pieces: list[bytes]) -> None:
        """Has each member send more."""
        for member in self.members:
            member.unsent += map(memoryview, pieces)

    def send(self, is_end_awaited: bool) -> None:
        """Sends what the other side reads; returns once it reads no more.

        Args:
            is_end_awaited: Whether to go on until all members have a response
                or are closed.
        """
        end = time.monotonic() + _SEND_SECONDS
        with selectors.DefaultSelector() as selector:
            for member in self.members:
                selector.register(
                    member.sock,
                    selectors.EVENT_READ | selectors.EVENT_WRITE,
                    member,
                )
            while selector.get_map() and time.monotonic() < end:
                for key, _ in selector.select(0.5):
                    self._step(selector, key.data, is_end_awaited)

    def _step(
        self,
        selector: selectors.BaseSelector,
        member: _Member,
        is_end_awaited: bool,
    ) -> None:
        try:
            if self.is_reading:
                member.receive()
        except BlockingIOError:
            pass
        except OSError:
            member.is_closed = True
        try:
            member.send()
        except BlockingIOError:
            pass
        except OSError:
            member.is_closed = True
        is_sent = not member.unsent
        is_awaited = is_end_awaited and not member.status
        if member.is_closed or (is_sent and not is_awaited):
            selector.unregister(member.sock)
        elif is_sent:
            selector.modify(member.sock, selectors.EVENT_READ, member)


def requests(
    heads: Iterator[bytes], framing: tuple[bytes, bytes]
) -> Iterator[list[bytes]]:
    """Yields the pieces of a request for each head.

    Args:
        heads: Request lines and headers without the framing, each line with
            its end.
        framing: The framing header and the body.
    """
    header, body = framing
    return ([head + header + b"\r\n\r\n", body] for head in heads)


def zmtp_greeting(mechanism: bytes) -> bytes:
    """Returns what a ZeroMQ socket sends first.

    Args:
        mechanism: How it will show who it is: ``NULL`` or ``CURVE``.
    """
    start = b"\xff" + bytes(8) + b"\x7f\x03\x00"
    return (start + mechanism.ljust(20, b"\0")).ljust(64, b"\0")


def zmtp_handshake() -> bytes:
    """Returns what a ZeroMQ DEALER sends first, without encryption."""
    properties = b"\x0bSocket-Type" + (6).to_bytes(4, "big") + b"DEALER"
    ready = b"\x05READY" + properties
    return zmtp_greeting(b"NULL") + b"\x04" + bytes([len(ready)]) + ready


def zmtp_frame(data: bytes, is_last: bool = True, size: int = 0) -> bytes:
    """Returns a frame of a ZeroMQ message.

    Args:
        data: What it holds.
        is_last: Whether no further frame of the message follows.
        size: Its announced size in bytes, if it isn't that of the data.
    """
    kind = 2 if is_last else 3
    return bytes([kind]) + (size or len(data)).to_bytes(8, "big") + data


def zmtp_message(size: int) -> list[bytes]:
    """Returns a ZeroMQ request that stops just short of its end.

    It is a number and the head of a long frame, of which the last byte is never
    sent.

    Args:
        size: Announced size of the frame in bytes.
    """
    number = b"\x01\x08" + bytes(8)
    return [number + zmtp_frame(b"x" * (size - 1), size=size)]


def zmtp_frames(size: int, frame_bytes: int) -> list[bytes]:
    """Returns a ZeroMQ message of many frames, without its last one."""
    frame = zmtp_frame(b"x" * frame_bytes, is_last=False)
    return [frame * (size // frame_bytes)]
