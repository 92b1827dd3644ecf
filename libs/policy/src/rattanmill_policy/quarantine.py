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
_CONDEMNED_MS = 3_600_000
_SUSPECTED_MS = 24 * 3_600_000
_MOST_SUSPECTS = 10_000
_LEAST_CRASHES = 2
# So many crashes condemn a request, whatever was in flight beside it.
_MOST_CRASHES = 4


class Suspicion(msgspec.Struct):
    """What is held against one request.

    Attributes:
        crashes: In order of time.
        cleared_at: Time of a finished run, in milliseconds, or 0.
        condemned: Whether these crashes were found to condemn it.
    """

    crashes: list[CrashNote] = msgspec.field(default_factory=list)
    cleared_at: int = 0
    condemned: bool = False

    @property
    def last(self) -> int:
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
        least_crashes: int = _LEAST_CRASHES,
        condemned_ms: int = _CONDEMNED_MS,
    ) -> None:
        self.least_crashes = least_crashes
        self.condemned_ms = condemned_ms
        self.suspicions: dict[bytes, Suspicion] = {}

    def take(self, note: CrashNote) -> bool:
        """Takes a crash or a finished run; True if it was news."""
        known = self.suspicions.get(note.fingerprint)
        if known is None:
            self._make_room()
            known = Suspicion()
            self.suspicions[note.fingerprint] = known
        if not note.endpoint:
            return _clear(known, note.at)
        if note.at <= known.cleared_at:
            return False
        if any(is_same_crash(note, crash) for crash in known.crashes):
            return False
        known.crashes.append(note)
        known.crashes.sort(key=lambda crash: crash.at)
        return True

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Whether an endpoint crashed with this request in flight."""
        known = self._fresh(fingerprint)
        return known is not None and bool(known.crashes)

    def is_condemned(self, fingerprint: bytes) -> bool:
        """Whether the request must not run.

        That ends some time after the last crash. The request is still
        suspected for a day, so that its next crash condemns it at once.
        """
        known = self._fresh(fingerprint)
        if known is None or len(known.crashes) < self.least_crashes:
            return False
        if _now_ms() - known.crashes[-1].at > self.condemned_ms:
            return False
        # Kept, since a storm of repeats must not search all suspects each.
        known.condemned = (
            known.condemned
            or len(known.crashes) >= _MOST_CRASHES
            or any(self._suspects_at(c) == 1 for c in known.crashes[1:])
        )
        return known.condemned

    def place_of(self, fingerprint: bytes) -> int:
        """Returns how many suspects of the same crash run again before it.

        All instances come to the same order without asking each other.
        """
        known = self._fresh(fingerprint)
        if known is None or not known.crashes:
            return 0
        last = known.crashes[-1]
        requests = {
            crash.request
            for other in self.suspicions.values()
            for crash in other.crashes
            if is_same_crash(last, crash)
        }
        return sorted(requests).index(last.request)

    def notes(self, most: int) -> list[CrashNote]:
        """Returns what is held, the newest ``most`` events."""
        events = [
            event
            for fingerprint, known in self.suspicions.items()
            for event in _events(fingerprint, known)
        ]
        return sorted(events, key=lambda event: event.at)[-most:]

    def _suspects_at(self, crash: CrashNote) -> int:
        """How many requests suspected before were in flight at a crash."""
        return len(
            {
                other.request
                for known in self.suspicions.values()
                for other in known.crashes[1:]
                if is_same_crash(crash, other)
            }
        )

    def _fresh(self, fingerprint: bytes) -> Suspicion | None:
        known = self.suspicions.get(fingerprint)
        if known and _now_ms() - known.last > _SUSPECTED_MS:
            del self.suspicions[fingerprint]
            return None
        return known

    def _make_room(self) -> None:
        if len(self.suspicions) >= _MOST_SUSPECTS:
            # Many at a time: to search for the oldest takes long.
            by_age = sorted(
                self.suspicions, key=lambda key: self.suspicions[key].last
            )
            for fingerprint in by_age[: _MOST_SUSPECTS // 10]:
                del self.suspicions[fingerprint]


def is_same_crash(one: CrashNote, other: CrashNote) -> bool:
    """Whether two notes tell of the same crash of an endpoint."""
    near = abs(one.at - other.at) < _SAME_CRASH_MS
    return near and one.endpoint == other.endpoint


def _clear(known: Suspicion, at: int) -> bool:
    if at <= known.cleared_at:
        return False
    known.cleared_at = at
    known.crashes = [crash for crash in known.crashes if crash.at > at]
    known.condemned = False
    return True


def _events(fingerprint: bytes, known: Suspicion) -> list[CrashNote]:
    if known.cleared_at:
        return [CrashNote(fingerprint, "", known.cleared_at), *known.crashes]
    return known.crashes


def _now_ms() -> int:
    return int(time.time() * 1000)
