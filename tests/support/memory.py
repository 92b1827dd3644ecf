"""In-memory fake of the platform store's client, for tests."""

from collections.abc import Callable

from rattanmill_platform import (
    Breaker,
    Conflict,
    Entry,
    Found,
    HistoryLost,
    Missing,
    Range,
    Unavailable,
    WatchEvents,
    Written,
)


class Crash(Exception):
    """Simulates a crash of the process that uses the client."""


class MemoryKv:
    """Stores keys in memory; each call can be made to fail.

    Attributes:
        items: Value and revision by key.
        changes: Revision, key and value of each change; None means deleted.
        oldest: Revision after which changes are kept.
        calls: Calls so far.
        fault: Called with the number of the call and ``False`` before it takes
            effect; writes and deletes call it again with ``True`` after it.
            May raise.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, bytes | None]] = []
        self.revision = 0
        self.oldest = 0
        self.calls = 0
        self.fault: Callable[[int, bool], None] = lambda number, after: None
        self.breaker = Breaker()
        self.largest_range = 0

    def _begin(self) -> int:
        self.calls += 1
        self.fault(self.calls, False)
        return self.calls

    async def read(self, key: str) -> Found | Missing | Unavailable:
        """Reads one key."""
        self._begin()
        if key not in self.items:
            return Missing()
        return Found(Entry(key, *self.items[key]))

    async def list(self, prefix: str) -> Range | Unavailable:
        """Reads all keys under a prefix."""
        self._begin()
        entries = [
            Entry(key, *self.items[key])
            for key in sorted(self.items)
            if key.startswith(prefix)
        ]
        self.largest_range = max(self.largest_range, len(entries))
        return Range(entries, self.revision)

    async def write(
        self, key: str, value: bytes, expect: int, lease: str = ""
    ) -> Written | Conflict | Unavailable:
        """Writes if the key's revision is ``expect`` (compare-and-swap)."""
        number = self._begin()
        found = self.items.get(key, (b"", 0))[1]
        if found != expect:
            return Conflict(found)
        self.put(key, value)
        self.fault(number, True)
        return Written(self.revision)

    def put(self, key: str, value: bytes | None) -> None:
        """Changes a key unconditionally; None deletes it."""
        if value is None and key not in self.items:
            return
        self.revision += 1
        self.changes.append((self.revision, key, value))
        if value is None:
            del self.items[key]
        else:
            self.items[key] = (value, self.revision)

    def forget_changes(self) -> None:
        """Drops the history, so that watches must read everything again."""
        self.changes.clear()
        self.oldest = self.revision

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> WatchEvents | HistoryLost | Unavailable:
        """Returns the changes after a revision without waiting for any."""
        self._begin()
        if after < self.oldest:
            return HistoryLost()
        newer = [
            change
            for change in self.changes
            if change[0] > after and change[1].startswith(prefix)
        ]
        changes = [(key, value) for _, key, value in newer]
        newest = newer[-1][0] if newer else 0
        return WatchEvents(changes, self.revision, newest)

    async def create_unique(
        self, key: str, value: bytes
    ) -> Written | Conflict | Unavailable:
        """Creates a key."""
        return await self.write(key, value, 0)

    async def delete(self, key: str) -> Written | Unavailable:
        """Deletes a key."""
        number = self._begin()
        self.put(key, None)
        self.fault(number, True)
        return Written(self.revision)
