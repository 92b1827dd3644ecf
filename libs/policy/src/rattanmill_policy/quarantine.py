"""Quarantine of requests that crash the endpoints that run them.

A request becomes a suspect when an endpoint crashes while it is in flight, and
so do all requests in flight beside it. A suspect is quarantined when an
endpoint crashes a second time with it in flight and no other request that was
already suspected was in flight there: if there were several suspects, only one
of them may be the cause. A completed run clears a suspect. Every instance
replicates these records, so they survive the loss of any instance.
"""

import time

import msgspec

from rattanmill_core import CrashNote

# Maximum time between reports of the same crash by different instances.
_SAME_CRASH_MS = 2_000
_QUARANTINE_MS = 3_600_000
_SUSPECT_RETENTION_MS = 24 * 3_600_000
_MAX_SUSPECTS = 10_000
_MIN_CRASHES = 2
# This many crashes quarantine a request regardless of what else was in flight.
_CONCLUSIVE_CRASHES = 4


class Suspect(msgspec.Struct):
    """Crash history of one request.

    Attributes:
        crashes: Crashes, ordered by time.
        cleared_at: Time of a completed run, in milliseconds, or 0.
        quarantined: Whether these crashes were found sufficient to quarantine
            it.
    """

    crashes: list[CrashNote] = msgspec.field(default_factory=list)
    cleared_at: int = 0
    quarantined: bool = False

    @property
    def last_event_at(self) -> int:
        """Time of the last event, in milliseconds."""
        return max([self.cleared_at, *(c.at for c in self.crashes)])


class Quarantine:
    """Bounded set of suspected requests, by fingerprint.

    Args:
        min_crashes: Minimum number of crashes before a request is quarantined.
        quarantine_ms: Milliseconds after its last crash for which a request
            stays quarantined.
    """

    def __init__(
        self,
        min_crashes: int = _MIN_CRASHES,
        quarantine_ms: int = _QUARANTINE_MS,
    ) -> None:
        self.min_crashes = min_crashes
        self.quarantine_ms = quarantine_ms
        self.suspects: dict[bytes, Suspect] = {}

    def record(self, note: CrashNote) -> bool:
        """Records a crash or a completed run; returns whether it was new."""
        suspect = self.suspects.get(note.fingerprint)
        if suspect is None:
            self._evict_oldest()
            suspect = Suspect()
            self.suspects[note.fingerprint] = suspect
        if not note.endpoint:
            return _clear(suspect, note.at)
        if note.at <= suspect.cleared_at:
            return False
        if any(is_same_crash(note, crash) for crash in suspect.crashes):
            return False
        suspect.crashes.append(note)
        suspect.crashes.sort(key=lambda crash: crash.at)
        return True

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Returns whether an endpoint crashed with this request in flight."""
        suspect = self._unexpired(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Returns whether the request must not run.

        The quarantine ends some time after the last crash. The request stays a
        suspect for a day, so that its next crash quarantines it again at once.
        """
        suspect = self._unexpired(fingerprint)
        if suspect is None or len(suspect.crashes) < self.min_crashes:
            return False
        if _now_ms() - suspect.crashes[-1].at > self.quarantine_ms:
            return False
        # Cached, so that a burst of repeats does not search all suspects for
        # each request.
        suspect.quarantined = (
            suspect.quarantined
            or len(suspect.crashes) >= _CONCLUSIVE_CRASHES
            or any(self._suspects_at(c) == 1 for c in suspect.crashes[1:])
        )
        return suspect.quarantined

    def retry_position(self, fingerprint: bytes) -> int:
        """Returns how many suspects of the same crash are retried before it.

        All instances compute the same order without exchanging messages.
        """
        suspect = self._unexpired(fingerprint)
        if suspect is None or not suspect.crashes:
            return 0
        last = suspect.crashes[-1]
        requests = {
            crash.request
            for other in self.suspects.values()
            for crash in other.crashes
            if is_same_crash(last, crash)
        }
        return sorted(requests).index(last.request)

    def notes(self, limit: int) -> list[CrashNote]:
        """Returns the newest recorded events, at most ``limit``."""
        events = [
            event
            for fingerprint, suspect in self.suspects.items()
            for event in _events(fingerprint, suspect)
        ]
        return sorted(events, key=lambda event: event.at)[-limit:]

    def _suspects_at(self, crash: CrashNote) -> int:
        """Returns how many earlier suspects were in flight at a crash."""
        return len(
            {
                other.request
                for suspect in self.suspects.values()
                for other in suspect.crashes[1:]
                if is_same_crash(crash, other)
            }
        )

    def _unexpired(self, fingerprint: bytes) -> Suspect | None:
        suspect = self.suspects.get(fingerprint)
        if (
            suspect
            and _now_ms() - suspect.last_event_at > _SUSPECT_RETENTION_MS
        ):
            del self.suspects[fingerprint]
            return None
        return suspect

    def _evict_oldest(self) -> None:
        if len(self.suspects) >= _MAX_SUSPECTS:
            # Evicts many at once, since finding the oldest is slow.
            by_age = sorted(
                self.suspects, key=lambda key: self.suspects[key].last_event_at
            )
            for fingerprint in by_age[: _MAX_SUSPECTS // 10]:
                del self.suspects[fingerprint]


def is_same_crash(one: CrashNote, other: CrashNote) -> bool:
    """Returns whether two notes report the same crash of an endpoint."""
    near = abs(one.at - other.at) < _SAME_CRASH_MS
    return near and one.endpoint == other.endpoint


def _clear(suspect: Suspect, at: int) -> bool:
    if at <= suspect.cleared_at:
        return False
    suspect.cleared_at = at
    suspect.crashes = [crash for crash in suspect.crashes if crash.at > at]
    suspect.quarantined = False
    return True


def _events(fingerprint: bytes, suspect: Suspect) -> list[CrashNote]:
    if suspect.cleared_at:
        return [
            CrashNote(fingerprint, "", suspect.cleared_at),
            *suspect.crashes,
        ]
    return suspect.crashes


def _now_ms() -> int:
    return int(time.time() * 1000)
