"""Follows a prefix of the platform store with snapshots and watches.

A process acts on the last state that it received. So a watch without an
answer times out, a lost history is replaced by reading the prefix again, and
a state older than the last one received is never applied.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Self

from rattanmill_core import log_event, loop_seconds, start_loop
from rattanmill_platform.calls import Unavailable
from rattanmill_platform.kv import (
    HistoryLost,
    KeyValue,
    Range,
    WatchEvents,
)

_RETRY_SECONDS = 0.25
# Pause after changes. When many processes register at once, a watch that is
# repeated immediately costs a call for each of them.
_GATHER_SECONDS = 0.05
# After a broken watch the prefix is read again within this time; a key that is
# missing then was removed. After a longer outage, its holder may have been
# unable to renew its lease.
_MAX_WATCH_GAP_SECONDS = 1.0
# Watch time for state that must be current: bounds how late a change is
# noticed after a connection stops responding.
WATCH_SECONDS = 2.5
# Entries of endpoints that expired while the store was unavailable are back
# within 2 s of its recovery; an entry still missing then is removed.
MISSING_KEY_GRACE_SECONDS = 2.0

OnWrite = Callable[[str, bytes], None]
OnRemove = Callable[[str], None]


class PrefixWatch:
    """Calls back for each change under a prefix.

    Attributes:
        values: Last received values by key.
        missing: Last values of keys that were missing when the prefix was read
            again after the store had been unavailable. They may come back
            within the grace period, when their leases are renewed.
        missing_revision: Revision at which a key was last found missing.
        changed_revision: Revision of the newest change received.
        synced: Whether the prefix was read at least once.
        answered_at: Loop time of the last answer.
        proved_at: Loop time before which no change is missing. An answer
            proves nothing later than the start of its call, and a watch
            nothing later than the end of its wait, since the answer may have
            been on its way for long.
        first_answer: Set once the prefix was read.

    Args:
        kv: Client of the platform store.
        prefix: Prefix to follow.
        wait_seconds: How long a watch waits for changes.
        on_write: Called with a key and its new value.
        on_remove: Called with a key that was removed, or that is still missing
            after the grace period.
        grace_seconds: How long a missing key may take to come back.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        wait_seconds: float,
        on_write: OnWrite,
        on_remove: OnRemove,
        grace_seconds: float = 0.0,
    ) -> None:
        self.kv = kv
        self.prefix = prefix
        self.wait_seconds = wait_seconds
        self.on_write = on_write
        self.on_remove = on_remove
        self.grace_seconds = grace_seconds
        self.values: dict[str, bytes] = {}
        self.missing: dict[str, bytes] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.missing_revision = 0
        self.revision = 0
        self.changed_revision = 0
        self.synced = False
        self.answered_at = float("-inf")
        self.proved_at = float("-inf")
        self.first_answer = asyncio.Event()
        self.unavailable_since: float | None = None
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop(f"watch of {self.prefix}", self._follow())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()
        for key in list(self.missing):
            self._end_grace(key)

    async def _follow(self) -> None:
        while True:
            is_available = await self._read()
            while is_available:
                is_available = await self._watch()
            await asyncio.sleep(random.uniform(0.5, 1.0) * _RETRY_SECONDS)

    async def _read(self) -> bool:
        """Reads the whole prefix; False if there was no usable answer."""
        called_at = loop_seconds()
        listed = await self.kv.list(self.prefix)
        if isinstance(listed, Unavailable):
            self._mark_unavailable(listed)
            return False
        if listed.revision < self.revision:
            # A delayed answer: applying it would undo newer changes that are
            # already in force.
            log_event(
                "store_answer_old",
                prefix=self.prefix,
                revision=listed.revision,
                known=self.revision,
            )
            return False
        self._apply_snapshot(listed)
        self._record_proof(listed.proved_at, called_at)
        self._mark_available()
        return True

    async def catch_up(self, kv: KeyValue) -> bool:
        """Reads the current state; False if the store is unavailable.

        Afterwards the local state is at least as new as the store's was at the
        time of the call. It reads the prefix again, since a watch may receive
        nothing while changes are made.

        Args:
            kv: Client of the store itself. The answer of another instance may
                be as old as the local state.
        """
        listed = await kv.list(self.prefix)
        if isinstance(listed, Unavailable):
            return False
        # An older snapshot is ignored: the watch has received more meanwhile.
        if listed.revision >= self.revision:
            self._apply_snapshot(listed)
        self.synced = True
        return True

    def _apply_snapshot(self, listed: Range) -> None:
        current = {entry.key: entry.value for entry in listed.entries}
        was_unavailable = self._was_unavailable()
        gone = {
            key: value
            for key, value in self.values.items()
            if key not in current
        }
        changed = [
            (key, value)
            for key, value in current.items()
            if self.values.get(key) != value
        ]
        self.values = current
        self.revision = listed.revision
        newest = max((entry.revision for entry in listed.entries), default=0)
        self.changed_revision = max(self.changed_revision, newest)
        for key, value in gone.items():
            if was_unavailable:
                self._start_grace(key, value)
            else:
                self._remove(key)
        for key, value in changed:
            self._write(key, value)

    def _was_unavailable(self) -> bool:
        if self.unavailable_since is None:
            return False
        # Counts from the last answer: an outage is noticed only when a watch
        # times out, and the store may have recovered by then.
        now = asyncio.get_running_loop().time()
        return now - self.answered_at > _MAX_WATCH_GAP_SECONDS

    async def _watch(self) -> bool:
        called_at = loop_seconds()
        events = await self.kv.watch(
            self.prefix, self.revision, self.wait_seconds
        )
        if isinstance(events, HistoryLost):
            log_event(
                "history_lost", prefix=self.prefix, revision=self.revision
            )
            return await self._read()
        if isinstance(events, Unavailable):
            self._mark_unavailable(events)
            return False
        self._apply_events(events)
        self._record_proof(
            events.proved_at, self._watched_until(events, called_at)
        )
        self._mark_available()
        if events.changes:
            await asyncio.sleep(_GATHER_SECONDS)
        return True

    def _apply_events(self, events: WatchEvents) -> None:
        if events.revision < self.revision:
            return
        self.revision = events.revision
        self.changed_revision = max(self.changed_revision, events.newest)
        for key, value in events.changes:
            if value is None:
                self._remove(key)
            else:
                self._write(key, value)

    def _write(self, key: str, value: bytes) -> None:
        self._end_grace(key)
        self.values[key] = value
        self.on_write(key, value)

    def _remove(self, key: str) -> None:
        self._end_grace(key)
        self.values.pop(key, None)
        self.on_remove(key)

    def _start_grace(self, key: str, value: bytes) -> None:
        self.missing[key] = value
        self.missing_revision = self.revision
        self.timers[key] = asyncio.get_running_loop().call_later(
            self.grace_seconds, self._remove, key
        )

    def _end_grace(self, key: str) -> None:
        if key in self.missing:
            del self.missing[key]
            self.timers.pop(key).cancel()

    def _watched_until(self, events: WatchEvents, called_at: float) -> float:
        """Returns the time up to which the store itself has waited at least.

        It answers a watch without changes only once the wait is over.
        """
        waited_until = called_at + self.wait_seconds
        if events.changes or loop_seconds() < waited_until:
            return called_at
        return waited_until

    def _record_proof(self, proved_at: float | None, called_at: float) -> None:
        newest = called_at if proved_at is None else proved_at
        self.proved_at = max(self.proved_at, newest)

    def _mark_available(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.unavailable_since is not None:
            log_event(
                "watch_back",
                prefix=self.prefix,
                away_s=round(now - self.unavailable_since, 3),
            )
        self.unavailable_since = None
        self.synced = True
        self.answered_at = now
        self.first_answer.set()

    def _mark_unavailable(self, unavailable: Unavailable) -> None:
        if self.unavailable_since is None:
            self.unavailable_since = asyncio.get_running_loop().time()
            log_event(
                "watch_lost", prefix=self.prefix, why=unavailable.why[:200]
            )
