"""Follows a prefix of the key-value service by reading and watching it.

A process acts on what it last heard. So a watch that stays silent beyond its
time is given up, a lost history is closed by reading the prefix again, and
nothing older than what was heard before is ever taken.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Self

from rattanmill_core import log_event, start_loop
from rattanmill_platform.calls import Unavailable
from rattanmill_platform.kv import (
    HistoryLost,
    KeyValue,
    Range,
    WatchEvents,
)

_PAUSE_SECONDS = 0.25
# A watch that was cut is read again within this; a key that is missing then
# was removed. After a longer absence its holder may not have been able to
# renew its lease.
_AWAY_SECONDS = 1.0
# For what must be current: bounds how late a change is noticed after a
# connection has gone silent.
WATCH_SECONDS = 2.5
# Entries of endpoints that lapsed while the service was away are back within
# two seconds of its return; whoever is missing then is gone.
BACK_SECONDS = 2.0

OnWrite = Callable[[str, bytes], None]
OnRemove = Callable[[str], None]


class PrefixWatch:
    """Calls back for each change under a prefix.

    Attributes:
        values: Values by key, as last heard.
        missing: Last values of keys that were missing when the prefix was read
            again, after the service had been away. Whoever renews their lease
            may be back within the grace.
        missing_from: Revision at which one was last found missing.
        changed: Revision of the newest change that was heard of.
        synced: Whether the prefix was read at least once.
        heard_at: Loop time of the last answer.

    Args:
        kv: The service.
        prefix: What to follow.
        wait_seconds: How long a watch waits for changes.
        on_write: Called with a key and its new value.
        on_remove: Called with a key that was seen removed, or that is still
            missing after the grace.
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
        self.missing_from = 0
        self.revision = 0
        self.changed = 0
        self.synced = False
        self.heard_at = float("-inf")
        self.away_since: float | None = None
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
            heard = await self._read()
            while heard:
                heard = await self._watch()
            await asyncio.sleep(random.uniform(0.5, 1.0) * _PAUSE_SECONDS)

    async def _read(self) -> bool:
        """Reads the whole prefix; False if nobody answered."""
        listed = await self.kv.list(self.prefix)
        if isinstance(listed, Unavailable):
            self._silent(listed)
            return False
        if listed.revision < self.revision:
            # An answer that was long on its way. Taken, it would undo what
            # is in force by now.
            log_event(
                "store_answer_old",
                prefix=self.prefix,
                revision=listed.revision,
                known=self.revision,
            )
            return False
        self._take_all(listed)
        self._heard()
        return True

    async def catch_up(self, kv: KeyValue) -> bool:
        """Takes in what the service holds by now; False if it is silent.

        Afterwards nothing is older here than it was there when this was
        called. Read anew, as a watch may hear nothing while changes are made.

        Args:
            kv: The service itself. An answer of another instance may be as
                old as what is known here.
        """
        listed = await kv.list(self.prefix)
        if isinstance(listed, Unavailable):
            return False
        # An older one: the watch has heard of more meanwhile.
        if listed.revision >= self.revision:
            self._take_all(listed)
        self.synced = True
        return True

    def _take_all(self, listed: Range) -> None:
        now = {entry.key: entry.value for entry in listed.entries}
        was_away = self._was_away()
        gone = {
            key: value for key, value in self.values.items() if key not in now
        }
        changed = [
            (key, value)
            for key, value in now.items()
            if self.values.get(key) != value
        ]
        self.values = now
        self.revision = listed.revision
        newest = max((entry.revision for entry in listed.entries), default=0)
        self.changed = max(self.changed, newest)
        for key, value in gone.items():
            if was_away:
                self._miss(key, value)
            else:
                self._remove(key)
        for key, value in changed:
            self._write(key, value)

    def _was_away(self) -> bool:
        if self.away_since is None:
            return False
        # Since the last answer: that nothing comes any more shows only when a
        # watch's time is over, and the service may be back by then.
        now = asyncio.get_running_loop().time()
        return now - self.heard_at > _AWAY_SECONDS

    async def _watch(self) -> bool:
        events = await self.kv.watch(
            self.prefix, self.revision, self.wait_seconds
        )
        if isinstance(events, HistoryLost):
            log_event(
                "history_lost", prefix=self.prefix, revision=self.revision
            )
            return await self._read()
        if isinstance(events, Unavailable):
            self._silent(events)
            return False
        self._take(events)
        self._heard()
        return True

    def _take(self, events: WatchEvents) -> None:
        if events.revision < self.revision:
            return
        self.revision = events.revision
        self.changed = max(self.changed, events.newest)
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

    def _miss(self, key: str, value: bytes) -> None:
        self.missing[key] = value
        self.missing_from = self.revision
        self.timers[key] = asyncio.get_running_loop().call_later(
            self.grace_seconds, self._remove, key
        )

    def _end_grace(self, key: str) -> None:
        if key in self.missing:
            del self.missing[key]
            self.timers.pop(key).cancel()

    def _heard(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.away_since is not None:
            log_event(
                "watch_back",
                prefix=self.prefix,
                away_s=round(now - self.away_since, 3),
            )
        self.away_since = None
        self.synced = True
        self.heard_at = now

    def _silent(self, unavailable: Unavailable) -> None:
        if self.away_since is None:
            self.away_since = asyncio.get_running_loop().time()
            log_event(
                "watch_lost", prefix=self.prefix, why=unavailable.why[:200]
            )
