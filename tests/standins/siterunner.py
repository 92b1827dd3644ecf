"""Stand-in for a runner of the users' platform, on bare sockets.

It speaks HTTP/1.1 by hand, so that it can break it: answers without a length
that are reset, a second answer after the first, an answer before the body.

Usage: python -m standins.siterunner ADDRESS ID [FILE]

What ran goes to FILE, a line of JSON each, before it is answered.
"""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import socket
import struct

from standins.common import argument

_EVENTS = 4
# Size of the answers whose path ends with "/large".
_LARGE_BYTES = 2_000_000
# Longer than the time-outs of all routes.
_STALL_SECONDS = 6.0
# Faults that end a stream before its third event.
_STREAM_ENDS = (
    "cut",
    "first_cut",
    "cut_between",
    "unnumbered",
    "unframed_cut",
    "first_unframed_cut",
    "untyped_unframed_cut",
    "ended_within",
)
# Faults of resumed streams that begin again. With another content type or
# without ids only that tells that they don't go on.
_RESTARTS = (
    "resumed_restart",
    "resumed_id_block",
    "resumed_unnumbered",
    "resumed_other",
)
# Faults that begin a resumed stream so many events too late or too early.
_RESUMED_STEPS = {"resumed_skip": 1, "resumed_repeat": -1}
# Faults whose streams end in an orderly way, but early: all that comes of them,
# with RUNNER for the runner's id.
_EARLY_ENDS = {
    "first_empty": b"",
    "first_unframed_empty": b"",
    "first_unframed_comment_cut": b"id: 1\ndata: word1 by RUNNER\n\n: wai",
    "first_unframed_crlf_cut": b"id: 1\r\ndata: word1 by RUNNER\r\n\r\n"
    b"id: 2\r\ndata: word2 by RUNNER\r\n\r",
    "first_untyped_unframed_empty": b"",
    "first_untyped_unframed_cut": b"id: 1\ndata: wor",
    "first_untyped_ended_within": b"id: 1\ndata: wor",
}
# Faults that never end: what comes first, and what comes again and again until
# the connection is closed, with REQUEST for the id of the request.
_SIGNED_200 = (
    b"HTTP/1.1 200 X\r\nX-Request-Id: REQUEST\r\n"
    b"X-Response-Signature: sealed\r\n"
)
_CHUNKED_EVENTS = (
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
_ENDLESS = {
    "endless_interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless_hints": (b"", b"HTTP/1.1 103 X\r\nLink: </a>; rel=x\r\n\r\n"),
    "endless_foreign": (
        b"",
        b"HTTP/1.1 200 X\r\nX-Request-Id: another\r\n"
        b"Content-Length: 2\r\n\r\nno",
    ),
    "endless_foreign_body": (
        b"HTTP/1.1 200 X\r\nX-Request-Id: another\r\n\r\n",
        b"no answer ",
    ),
    "endless_rejection": (
        b"HTTP/1.1 503 X\r\nX-Request-Id: REQUEST\r\nX-Not-Executed: 1\r\n\r\n",
        b"no answer ",
    ),
    "endless_body": (_SIGNED_200 + b"\r\n", b"no answer "),
    "endless_event": (
        _SIGNED_200 + _CHUNKED_EVENTS,
        b"a\r\ndata: more\r\n",
    ),
    "endless_events": (
        _SIGNED_200 + _CHUNKED_EVENTS,
        b"c\r\ndata: word\n\n\r\n",
    ),
    "endless_comments": (_SIGNED_200 + _CHUNKED_EVENTS, b"3\r\n:\n\n\r\n"),
}
_ENDLESS_PIECE_BYTES = 64 * 1024
# Leaves some of the machine to others: up to 32 MB/s a connection, and 8 MB/s
# of what goes on to callers.
_ENDLESS_PAUSE_SECONDS = 0.002
_ENDLESS_BODY_PAUSE_SECONDS = 0.008
# A body that holds this ends the process of each runner that runs it.
_POISON = b"poisoned"


class FaultShare:
    """Faults of a share of the requests, for some seconds.

    Attributes:
        faults: What may go wrong.
        share: Share of the requests of which one goes wrong.
        ends_at: Loop time at which it ends.
        rng: Decides which request has which fault.

    Args:
        asked: ``faults``, ``share``, ``seconds`` and ``seed``.
    """

    def __init__(self, asked: dict) -> None:
        self.faults: list[str] = asked["faults"]
        self.share: float = asked["share"]
        self.ends_at = asyncio.get_running_loop().time() + asked["seconds"]
        self.rng = random.Random(asked["seed"])

    def draw(self, is_resumed: bool) -> str:
        """Returns the fault of a request, or nothing."""
        if asyncio.get_running_loop().time() > self.ends_at:
            return ""
        fitting = [f for f in self.faults if _fits(f, is_resumed)]
        if is_resumed:
            # They are few, and what is wrong with them is what matters.
            fitting = [f for f in fitting if _is_of_resumed(f)] or fitting
        if not fitting or self.rng.random() >= self.share:
            return ""
        return self.rng.choice(fitting)


class Runner:
    """One runner.

    Attributes:
        faults: What goes wrong with the next request, oldest first: ``shed``,
            ``shed_stalled`` (its body never comes), ``mute`` (reset without an
            answer), ``cut`` (in the middle of the answer), ``unframed_reset``,
            ``extra`` (a second answer), ``unsigned``, ``encoded``, ``foreign``
            (an answer to another request goes first, ``foreign_apart``: in a
            packet of its own), ``slow`` (2 s), ``die`` (the process ends),
            ``early`` (a whole answer before the body is in), ``error`` (500).
            Of streams: ``cut_at_start`` (before any event),
            ``cut_between`` (between two events), ``unnumbered``
            (events without ids, cut as well), ``unframed`` (no length),
            ``unframed_cut`` (no length, closed in the middle of an event),
            ``ended_within`` (in chunks that end in the middle of an event).
            ``first_cut`` and ``first_unframed_cut`` are those of a stream that
            isn't resumed; others that begin with ``first_`` are in
            ``_EARLY_ENDS``.
            Those of resumed streams stay until one comes: ``resumed_error``
            (500), ``resumed_stranger`` (500 if it began at another runner),
            ``resumed_restart`` (from the first event), ``resumed_skip``
            (one event is left out), ``resumed_repeat`` (one comes again),
            ``resumed_unnumbered``, ``resumed_other`` (another content type),
            ``resumed_cut`` (before its first event), ``resumed_mute`` (reset
            without an answer), ``resumed_empty`` (complete, without an event),
            ``resumed_unframed_empty`` (no length, closed before its first
            event), ``resumed_id_block`` (a block with nothing but an id goes
            first, then all events). ``untyped_unframed_cut`` is
            ``unframed_cut`` without a content type. ``stepped_cut`` breaks off
            after the first event and ``resumed_stepped`` goes on after it, with
            the ids 10, 20, 30 and 40. A caller that resumes by
            itself names the event in ``X-Caller-Event-Id``, and gets none of
            those of resumed streams in answer to it.
            Those in ``_ENDLESS`` send without end.
        shares: Faults of a share of the requests that have no other.
        requests: Each request that ran or was refused.

    Args:
        name: Its id.
        file: Where requests are written to as well, if it is not empty.
    """

    def __init__(self, name: str, file: str = "") -> None:
        self.name = name
        self.file = file
        self.faults: collections.deque[str] = collections.deque()
        self.shares: list[FaultShare] = []
        self.requests: list[dict] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._request(reader, writer):
                pass
        writer.close()

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        next_fault = self.faults[0] if self.faults else ""
        early = target != "/control" and next_fault == "early"
        if early:
            head = _head(200, headers.get("x-request-id", ""), _SIGNED, 5)
            writer.write(head + b"early")
            await writer.drain()
        body = await _read_body(reader, headers)
        if target == "/control":
            return await self._control(writer, body)
        fault = self._take_fault(_is_resumed_by_system(headers))
        if fault == "resumed_stranger" and self._has_run(headers):
            fault = ""
        if fault in _EARLY_ENDS and headers.get("last-event-id"):
            # A caller that resumes by itself gets whatever event comes first.
            fault = ""
        seen = {
            "method": method,
            "target": target,
            "headers": headers,
            "body": body.decode("latin-1"),
            "fault": fault,
        }
        self._note(seen)
        if fault == "die" or _POISON in body:
            os._exit(1)
        if early:
            return True
        return await self._answer(writer, seen, fault)

    def _take_fault(self, is_resumed: bool) -> str:
        """Removes and returns the next fault that fits a request."""
        fitting = [f for f in self.faults if _fits(f, is_resumed)]
        # Those that wait for a resumed stream come before others.
        fitting.sort(key=lambda f: not f.startswith("resumed_"))
        fault = next(iter(fitting), "")
        if fault:
            self.faults.remove(fault)
            return fault
        drawn = (share.draw(is_resumed) for share in self.shares)
        return next(filter(None, drawn), "")

    def _has_run(self, headers: dict[str, str]) -> bool:
        request = headers.get("x-request-id")
        return any(
            seen["headers"].get("x-request-id") == request
            for seen in self.requests
        )

    def _note(self, seen: dict) -> None:
        self.requests.append(seen)
        if self.file:
            with pathlib.Path(self.file).open("a", encoding="utf-8") as file:
                file.write(json.dumps({**seen, "runner": self.name}) + "\n")

    async def _control(self, writer: asyncio.StreamWriter, body: bytes) -> bool:
        asked = json.loads(body or b"{}")
        if "clear" in asked.get("faults", []):
            self.faults.clear()
            self.shares.clear()
        elif "share" in asked:
            self.shares.append(FaultShare(asked))
        else:
            self.faults.extend(asked.get("faults", []))
        shown = json.dumps(self.requests).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(shown)
            + shown
        )
        await writer.drain()
        return True

    async def _answer(
        self, writer: asyncio.StreamWriter, seen: dict, fault: str
    ) -> bool:
        request = seen["headers"].get("x-request-id", "")
        if seen["headers"].get("x-target-instance") != self.name:
            writer.write(_head(421, request, {"X-Instance-Id": self.name}, 0))
            return True
        if fault == "shed_stalled":
            writer.write(_head(503, request, {"X-Not-Executed": "1"}, 5))
            await writer.drain()
            await asyncio.sleep(_STALL_SECONDS)
            return False
        if fault == "shed":
            writer.write(_head(503, request, {"X-Not-Executed": "1"}, 0))
            return True
        if fault in ("mute", "resumed_mute"):
            _reset(writer)
            return False
        if fault in ("error", "resumed_error", "resumed_stranger"):
            body = b"failed\n\n"
            fields = _SIGNED if fault == "error" else _STREAM
            writer.write(_head(500, request, fields, len(body)) + body)
            await writer.drain()
            return True
        if fault == "slow":
            await asyncio.sleep(2)
        if fault.startswith("foreign"):
            writer.write(_head(200, "another", _SIGNED, 5) + b"other")
        if fault == "foreign_apart":
            await writer.drain()
            await asyncio.sleep(0.1)
        if fault in _ENDLESS:
            return await _send_without_end(writer, request, fault)
        if fault in _EARLY_ENDS:
            return await self._end_early(writer, request, fault)
        if seen["target"].startswith("/stream/"):
            return await self._stream(writer, seen, fault)
        body = f"done by {self.name}".encode()
        if seen["target"].endswith("/large"):
            body = body.ljust(_LARGE_BYTES, b".")
        headers = dict(_SIGNED)
        if fault == "unsigned":
            headers = {}
        if fault == "encoded":
            headers["Content-Encoding"] = "gzip"
        if fault == "unframed_reset":
            writer.write(_head(200, request, headers, None) + body)
            await writer.drain()
            await asyncio.sleep(0.05)
            _reset(writer)
            return False
        if fault == "cut":
            writer.write(_head(200, request, headers, len(body) + 50) + body)
            await writer.drain()
            return False
        writer.write(_head(200, request, headers, len(body)) + body)
        if fault == "extra":
            writer.write(_head(200, request, headers, len(body)) + body)
        await writer.drain()
        return True

    async def _end_early(
        self, writer: asyncio.StreamWriter, request: str, fault: str
    ) -> bool:
        fields = _SIGNED if "untyped" in fault else _STREAM
        is_framed = "unframed" not in fault
        body = _EARLY_ENDS[fault].replace(b"RUNNER", self.name.encode())
        if is_framed:
            chunk = b"%x\r\n" % len(body) + body + b"\r\n" if body else b""
            body = chunk + b"0\r\n\r\n"
        writer.write(_head(200, request, fields, None, is_framed) + body)
        await writer.drain()
        return is_framed

    async def _stream(
        self, writer: asyncio.StreamWriter, seen: dict, fault: str
    ) -> bool:
        headers = seen["headers"]
        start = int(headers.get("last-event-id") or 0)
        id_step = 10 if "stepped" in fault else 1
        start //= id_step
        step = _RESUMED_STEPS.get(fault, 0)
        # Without an event after the one left out nobody could tell.
        if start + step < _EVENTS:
            start += step
        if fault in _RESTARTS:
            start = 0
        fields = dict(_STREAM)
        if fault.startswith("untyped"):
            del fields["Content-Type"]
        if fault == "resumed_other":
            fields["Content-Type"] = "application/json"
        is_framed = "unframed" not in fault
        writer.write(
            _head(200, headers["x-request-id"], fields, None, is_framed)
        )
        if fault == "resumed_id_block":
            writer.write(b"7\r\nid: 0\n\n\r\n")
        if fault.endswith("empty"):
            start = _EVENTS
        for number in range(start + 1, _EVENTS + 1):
            data = f"data: word{number} by {self.name}\n\n".encode()
            shown = number * id_step
            if fault == "resumed_other":
                # As if it went on.
                shown += int(headers["last-event-id"])
            if not fault.endswith("unnumbered"):
                data = b"id: %d\n" % shown + data
            if fault in ("resumed_cut", "cut_at_start"):
                return False
            if fault == "stepped_cut" and number == 2:
                return False
            if number == 3 and fault in _STREAM_ENDS:
                # All of them but one end in the middle of an event.
                rest = b"" if fault == "cut_between" else data[:8]
                whole_size = len(data)
                if fault == "ended_within":
                    writer.write(b"%x\r\n" % len(rest) + rest + b"\r\n")
                    break
                if is_framed:
                    rest = b"%x\r\n" % whole_size + rest
                writer.write(rest)
                await writer.drain()
                return False
            if is_framed:
                data = b"%x\r\n" % len(data) + data + b"\r\n"
            writer.write(data)
            await writer.drain()
            # A runner that is killed between two events of a body without a
            # length would end it in an orderly way.
            if is_framed:
                await asyncio.sleep(0.01)
        if is_framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return is_framed


_SIGNED = {"X-Response-Signature": "sealed", "X-Server-Load": "1,0,4"}
_STREAM = {**_SIGNED, "Content-Type": "text/event-stream"}


def _is_resumed_by_system(headers: dict[str, str]) -> bool:
    own = headers.get("x-caller-event-id")
    return headers.get("last-event-id") != own


def _is_of_resumed(fault: str) -> bool:
    return fault == "error" or fault.startswith("resumed_")


def _fits(fault: str, is_resumed: bool) -> bool:
    if is_resumed:
        return not fault.startswith("first_")
    return not fault.startswith("resumed_")


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


def _head(
    status: int,
    request: str,
    headers: dict[str, str],
    length: int | None,
    chunked: bool = False,
) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def _send_without_end(
    writer: asyncio.StreamWriter, request: str, fault: str
) -> bool:
    """Sends until the connection is closed."""
    start, again = _ENDLESS[fault]
    writer.write(start.replace(b"REQUEST", request.encode()))
    pause = _ENDLESS_PAUSE_SECONDS
    if fault == "endless_body":
        pause = _ENDLESS_BODY_PAUSE_SECONDS
    piece = again * (_ENDLESS_PIECE_BYTES // len(again))
    while not writer.is_closing():
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(pause)
    return False


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


async def main() -> None:
    """Serves until the process is told to stop."""
    host, _, port = argument(1).rpartition(":")
    runner = Runner(argument(2), argument(3))
    server = await asyncio.start_server(runner.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
