"""Client of the platform store; for the protocol see docs/PLATFORM.md.

``KvClient.create_unique`` finds out by reading the key whether a write without
an answer took effect.
"""

import base64
from typing import TypeVar

import aiohttp
import msgspec

from rattanmill_core import DECODE_ERRORS, Metrics
from rattanmill_platform.calls import CALL_SECONDS, StoreCalls, Unavailable
from rattanmill_platform.kv import (
    Conflict,
    Entry,
    Found,
    Missing,
    Range,
    WatchEvents,
    Written,
)
from rattanmill_platform.sessions import session_sender

_T = TypeVar("_T")
_LIST_TIMEOUT_SECONDS = 10.0


class _WireEntry(msgspec.Struct):
    key: str
    value: str | None
    revision: int


class _WireRange(msgspec.Struct):
    entries: list[_WireEntry]
    revision: int


class _WireLease(msgspec.Struct):
    lease: str


class KvClient:
    """Calls the platform store and counts each call by kind.

    Args:
        base: Base URL.
        session: HTTP session of the process.
        metrics: Metrics that count the calls.
    """

    def __init__(
        self, base: str, session: aiohttp.ClientSession, metrics: Metrics
    ) -> None:
        self.calls = StoreCalls(base, session_sender(session), metrics)
        self.breaker = self.calls.breaker

    async def read(self, key: str) -> Found | Missing | Unavailable:
        """Reads one key."""
        status, body, revision = await self._call("GET", f"/kv/{key}")
        if status == 200:
            return Found(Entry(key, body, revision))
        return Missing() if status == 404 else _unavailable(status, body)

    async def list(self, prefix: str) -> Range | Unavailable:
        """Reads all keys under a prefix."""
        path = f"/range?prefix={prefix}"
        status, body, _ = await self._call(
            "GET", path, timeout=_LIST_TIMEOUT_SECONDS
        )
        wire = _decode(body, _WireRange) if status == 200 else None
        if wire is None:
            return _unavailable(status, body)
        entries = [
            Entry(e.key, base64.b64decode(e.value or ""), e.revision)
            for e in wire.entries
        ]
        return Range(entries, wire.revision)

    async def write(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Written | Conflict | Unavailable:
        """Compare-and-swap: writes if the key's revision is ``expect``.

        Args:
            key: Key to write.
            value: New value, at most 1 MB.
            expect: Revision the key must have; 0 if it must not exist.
            lease: Lease whose expiry deletes the key, or empty.
        """
        path = f"/kv/{key}?expect={expect}"
        if lease:
            path += f"&lease={lease}"
        status, body, revision = await self._call("PUT", path, value)
        if status == 200:
            return Written(revision)
        return (
            Conflict(revision) if status == 409 else _unavailable(status, body)
        )

    async def create_unique(
        self, key: str, value: bytes
    ) -> Written | Conflict | Unavailable:
        """Creates a key whose value is unique to this write.

        A write whose answer was lost took effect if the key has this value: a
        retry would otherwise report a conflict with itself.
        """
        outcome = await self.write(key, value, 0)
        if not isinstance(outcome, Conflict):
            return outcome
        found = await self.read(key)
        match found:
            case Found(entry=entry) if entry.value == value:
                return Written(entry.revision)
            case Unavailable():
                return found
        return outcome

    async def delete(self, key: str) -> Written | Unavailable:
        """Deletes a key; deleting a missing key succeeds."""
        status, body, revision = await self._call("DELETE", f"/kv/{key}")
        return (
            Written(revision) if status == 200 else _unavailable(status, body)
        )

    async def grant(self, seconds: float) -> str | Unavailable:
        """Creates a lease and returns its id."""
        path = f"/leases?ttl={seconds}"
        status, body, _ = await self._call("POST", path, try_always=True)
        wire = _decode(body, _WireLease) if status == 200 else None
        return wire.lease if wire else _unavailable(status, body)

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renews a lease; False if it has expired."""
        path = f"/leases/{lease}/renew"
        status, body, _ = await self._call("POST", path, try_always=True)
        if status in (200, 404):
            return status == 200
        return _unavailable(status, body)

    async def revoke(self, lease: str) -> None:
        """Revokes a lease and deletes its keys, if the store answers."""
        await self._call("DELETE", f"/leases/{lease}")

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | Unavailable:
        """Waits up to ``seconds`` for changes after a revision."""
        path = f"/watch?prefix={prefix}&after={after}&wait={seconds}"
        status, body, _ = await self._call(
            "GET", path, timeout=seconds + CALL_SECONDS
        )
        wire = _decode(body, _WireRange) if status == 200 else None
        if wire is None:
            return _unavailable(status, body)
        changes = [
            (e.key, None if e.value is None else base64.b64decode(e.value))
            for e in wire.entries
        ]
        newest = max((e.revision for e in wire.entries), default=0)
        return WatchEvents(changes, wire.revision, newest)

    async def _call(
        self,
        method: str,
        path: str,
        data: bytes | None = None,
        timeout: float = CALL_SECONDS,
        try_always: bool = False,
    ) -> tuple[int, bytes, int]:
        """Returns the status (0: no answer), body or reason, and revision."""
        kind = f"{method} {path.split('?')[0].split('/')[1]}"
        reply = await self.calls.call(
            kind, method, path, data, timeout=timeout, try_always=try_always
        )
        if isinstance(reply, Unavailable):
            return 0, reply.why.encode(), 0
        return reply.status, reply.body, reply.revision


def _decode(body: bytes, kind: type[_T]) -> _T | None:
    """Decodes a response body; None if it is malformed.

    A malformed response counts as no answer. If the error were raised, it
    would end the task that follows the store, and the instance would run on
    without receiving changes.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS:
        return None


def _unavailable(status: int, body: bytes) -> Unavailable:
    return Unavailable(f"{status} {body[:200].decode(errors='replace')}")
