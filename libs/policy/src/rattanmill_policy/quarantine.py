"""Requests that crash the endpoints which run them.

A request is suspected when an endpoint crashed with it in flight, and so are
all that were in flight beside it. It is condemned when an endpoint crashed a
second time with it in flight and no other request that was suspected already
was there: of several suspects only one may be to blame. A finished run clears
a suspect. Each instance holds all of this, so it outlives any of them.
"""

import time

import msgspec

from rattanmill_core import CrashNote

# Reports of one crash by several instances are that close together.
_SAME_CRASH_MS = 2_000
_QUARANTINE_MS = 3_600_000
_SUSPECT_RETENTION_MS = 24 * 3_600_000
_MAX_SUSPECTS = 10_000
_MIN_CRASHES = 2
# So many crashes condemn a request, whatever was in flight beside it.
_CONCLUSIVE_CRASHES = 4


class Suspect(msgspec.Struct):
    """What is held against one request.

    Attributes:
        crashes: In order of time.
        cleared_at: Time of a finished run, in milliseconds, or 0.
        condemned: Whether these crashes were found to condemn it.
    """

    crashes: list[CrashNote] = msgspec.field(default_factory=list)
    cleared_at: int = 0
    quarantined: bool = False

    @property
    def last_event_at(self) -> int:
        """Time of the last event."""
        return max([self.cleared_at, *(c.at for c in self.crashes)])


class Quarantine:
    """Suspected requests by fingerprint, as many as are kept.

    Args:
        least_crashes: Crashes without which no request is condemned.
        condemned_ms: How long after its last crash it stays condemned.
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
        """Takes a crash or a finished run; True if it was news."""
        suspect = self.suspects.get(note.fingerprint)
        if suspect is None:
            self._make_room()
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
        """Whether an endpoint crashed with this request in flight."""
        suspect = self._fresh(fingerprint)
        return suspect is not None and bool(suspect.crashes)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Whether the request must not run.

        That ends some time after the last crash. The request is still
        suspected for a day, so that its next crash condemns it at once.
        """
        suspect = self._fresh(fingerprint)
        if suspect is None or len(suspect.crashes) < self.min_crashes:
            return False
        if _now_ms() - suspect.crashes[-1].at > self.quarantine_ms:
            return False
        # Kept, since a storm of repeats must not search all suspects each.
        suspect.quarantined = (
            suspect.quarantined
            or len(suspect.crashes) >= _CONCLUSIVE_CRASHES
            or any(self._suspects_at(c) == 1 for c in suspect.crashes[1:])
        )
        return suspect.quarantined

    def retry_position(self, fingerprint: bytes) -> int:
        """Returns how many suspects of the same crash run again before it.

        All instances come to the same order without asking each other.
        """
        suspect = self._fresh(fingerprint)
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

    def notes(self, most: int) -> list[CrashNote]:
        """Returns what is held, the newest ``most`` events."""
        events = [
            event
            for fingerprint, suspect in self.suspects.items()
            for event in _events(fingerprint, suspect)
        ]
        return sorted(events, key=lambda event: event.at)[-most:]

    def _suspects_at(self, crash: CrashNote) -> int:
        """How many requests suspected before were in flight at a crash."""
        return len(
            {
                other.request
                for suspect in self.suspects.values()
                for other in suspect.crashes[1:]
                if is_same_crash(crash, other)
            }
        )

    def _fresh(self, fingerprint: bytes) -> Suspect | None:
        suspect = self.suspects.get(fingerprint)
        if (
            suspect
            and _now_ms() - suspect.last_event_at > _SUSPECT_RETENTION_MS
        ):
            del self.suspects[fingerprint]
            return None
        return suspect

    def _make_room(self) -> None:
        if len(self.suspects) >= _MAX_SUSPECTS:
            # Many at a time: to search for the oldest takes long.
            by_age = sorted(
                self.suspects, key=lambda key: self.suspects[key].last_event_at
            )
            for fingerprint in by_age[: _MAX_SUSPECTS // 10]:
                del self.suspects[fingerprint]


def is_same_crash(one: CrashNote, other: CrashNote) -> bool:
    """Whether two notes tell of the same crash of an endpoint."""
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
