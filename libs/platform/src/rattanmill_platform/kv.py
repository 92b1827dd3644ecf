"""Interface of a key-value store, and the values that its calls return.

Every call returns a value: the result, or ``Unavailable`` if the store did not
answer. After ``Unavailable`` a write may or may not have taken effect.
"""

from typing import Protocol

import msgspec

from rattanmill_platform.calls import Unavailable


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
