"""Client of the platform store; for the protocol see docs/PLATFORM.md.

Every call returns a value: the result, or ``Unavailable`` if the store did not
answer. After ``Unavailable`` a write may or may not have taken effect;
``KvClient.create_unique`` finds out by reading the key.
"""

import base64
from typing import Protocol, TypeVar

import aiohttp
import msgspec

from rattanmill_core import Metrics
from rattanmill_platform.calls import CALL_SECONDS, StoreCalls, Unavailable

_T = TypeVar("_T")
_LIST_TIMEOUT_SECONDS = 10.0


class Entry(msgspec.Struct, frozen=True):
    """A key, its value and the revision that wrote it.

    Attributes:
        lease: Lease whose expiry deletes the key, if the store reports it.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ""


class Found(msgspec.Struct, frozen=True):
    """The key exists."""

    entry: Entry


class Missing(msgspec.Struct, frozen=True):
    """The key does not exist."""


class Written(msgspec.Struct, frozen=True):
    """A write took effect at ``revision``."""

    revision: int


class Conflict(msgspec.Struct, frozen=True):
    """A compare-and-swap found another revision (0: no such key)."""

    revision: int


class Range(msgspec.Struct, frozen=True):
    """All entries under a prefix as of ``revision``.

    Attributes:
        proved_at: Loop time before which no change is missing, or None if that
            is the time of the call.
    """

    entries: list[Entry]
    revision: int
    proved_at: float | None = None


class WatchEvents(msgspec.Struct, frozen=True):
    """Changes under a prefix up to ``revision``; a value of None means deleted.

    Attributes:
        newest: Revision of the newest change, or 0 if not reported.
        proved_at: As in ``Range``.
    """

    changes: list[tuple[str, bytes | None]]
    revision: int
    newest: int = 0
    proved_at: float | None = None


class HistoryLost(msgspec.Struct, frozen=True):
    """The changes after a revision are gone; read the prefix again."""


class _WireEntry(msgspec.Struct):
    key: str
    value: str | None
    revision: int


class _WireRange(msgspec.Struct):
    entries: list[_WireEntry]
    revision: int


class _WireRevision(msgspec.Struct):
    revision: int


class _WireLease(msgspec.Struct):
    lease: str


class KeyValue(Protocol):
    """Operations that are needed of a key-value store.

    ``KvClient`` and the adapter of the users' platform implement it.
    """

    async def read(self, key: str) -> Found | Missing | Unavailable:
        """Reads one key."""

    async def list(self, prefix: str) -> Range | Unavailable:
        """Reads all keys under a prefix."""

    async def write(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Written | Conflict | Unavailable:
        """Writes if the key's revision is ``expect`` (0: no such key)."""

    async def grant(self, seconds: float) -> str | Unavailable:
        """Creates a lease and returns its id."""

    async def renew(self, lease: str) -> bool | Unavailable:
        """Renews a lease; False if it has expired."""

    async def revoke(self, lease: str) -> None:
        """Revokes a lease and deletes its keys, if the store answers."""

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Waits up to ``seconds`` for changes after a revision."""


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
        self.calls = StoreCalls(base, session, metrics)
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
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def _unavailable(status: int, body: bytes) -> Unavailable:
    return Unavailable(f"{status} {body[:200].decode(errors='replace')}")
