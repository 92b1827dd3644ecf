"""When a front end reads the platform store itself while that is away.

Load: all front ends and their watches retry at once. Storage instances read the
store as well and tell front ends of its return, so these need not ask it often;
but a store that rejects all storage instances may still serve a front end.
"""

import random

from rattanmill_core import log_event

# Also within this time once no storage instance replies: a configuration must
# be in force two seconds after the store is reachable.
_RETRY_SECONDS = 1.0
# While storage instances reply that they don't reach the store either.
_RELAYED_RETRY_SECONDS = 4.0


class DirectReads:
    """Pauses reads of the store itself after one that had no reply.

    Attributes:
        resume_at: Time of the next read, in seconds; None if the last one had a
            reply.
        read_at: Time at which the last read began while reads are paused.
        is_relay_unknown: Whether no storage instance was asked since the last
            read failed.
    """

    def __init__(self) -> None:
        self.resume_at: float | None = None
        self.read_at = float("-inf")
        self.is_relay_unknown = False

    def may_read(self, now: float) -> bool:
        """Returns whether to read now; one caller at a time after a failure."""
        if self.resume_at is None:
            return True
        if now < self.resume_at:
            return False
        self.read_at = now
        self._pause(now, _RETRY_SECONDS)
        return True

    def record_reply(self) -> None:
        """Records that the store replied."""
        self.resume_at = None

    def record_failure(self, now: float) -> None:
        """Records that the store did not reply."""
        self.is_relay_unknown = True
        if self.resume_at is None:
            self.read_at = now
            self._pause(now, _RETRY_SECONDS)

    def record_members(self, replied: bool, now: float) -> None:
        """Records whether storage instances reply, though not with changes."""
        if not replied:
            self.record_silent()
        elif self.resume_at is not None and self.is_relay_unknown:
            self.is_relay_unknown = False
            self._pause(now, _RELAYED_RETRY_SECONDS)
            log_event(
                "store_left_to_keepers", seconds=round(self.resume_at - now, 3)
            )

    def record_silent(self) -> None:
        """Records that a storage instance did not reply in time.

        It may be gone, and nothing else tells that the store is back. The
        others are not asked first, which would take another timeout.
        """
        if self.resume_at is not None:
            self.resume_at = min(self.resume_at, self.read_at + _RETRY_SECONDS)

    def _pause(self, now: float, max_seconds: float) -> None:
        self.resume_at = now + random.uniform(0.5, 1.0) * max_seconds
