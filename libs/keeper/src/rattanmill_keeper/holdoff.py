"""A hold-off after another instance may have granted tokens alone.

What an instance has granted alone is lost with its disk. If two of them lose
their disks one after the other, no instance can tell which of them has granted
to a program, and a part of its budget would stay set aside. So an instance that
knows of another one that may have granted alone begins no programs alone for a
while, and tells the others: if it is lost then, nothing is set aside for it.
"""

from collections.abc import Iterable

import msgspec

from rattanmill_core import log_event, loop_seconds
from rattanmill_keeper.members import SHARES_SECONDS

# The steady clock of a machine that is suspended stands still, so others that
# were suspended would rely on a hold-off for too long.
_SUSPEND_MARGIN_SECONDS = 10.0


class HoldOff(msgspec.Struct):
    """Whether an instance begins no programs alone, and for how long.

    Attributes:
        is_on: Whether it begins none.
        until: Loop time from which it may end.
        is_saved: Whether it is on disk, so that a restart does not end it.
    """

    is_on: bool = False
    until: float = float("-inf")
    is_saved: bool = False

    def renew(self, names: list[str]) -> None:
        """Starts it, or lets it last for longer.

        Args:
            names: Instances that may have granted alone.
        """
        if not self.is_on:
            log_event("hold_off", keepers=names, seconds=SHARES_SECONDS)
        self.is_on = True
        self.until = loop_seconds() + SHARES_SECONDS

    def restore(self) -> None:
        """Starts it anew after a restart, as it may have lasted until then."""
        self.is_on = self.is_saved = True
        self.until = loop_seconds() + SHARES_SECONDS

    def told_seconds(self) -> float:
        """Returns for how long others may rely on it, less than it lasts."""
        if not self.is_saved:
            return 0.0
        left = self.until - loop_seconds()
        return max(0.0, left - _SUSPEND_MARGIN_SECONDS)

    def end(self, caught_up_at: Iterable[float]) -> None:
        """Ends it if it is over.

        Others may have opened accounts without this instance as long as they
        relied on it. It has to know of these before it begins programs.

        Args:
            caught_up_at: When this instance last knew all that each other one
                knows, in loop time.
        """
        if self.is_on and all(at > self.until for at in caught_up_at):
            self.is_on = self.is_saved = False
            log_event("hold_off_ended")
