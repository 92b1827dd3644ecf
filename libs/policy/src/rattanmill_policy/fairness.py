"""Fair shares of workspaces, and by how much a workspace exceeds its share."""

import collections
import math

_DECAY_SECONDS = 20.0
_MAX_WORKSPACES = 2000
_RECOUNT_SECONDS = 0.5
# Relative to the busiest workspace. Relative to the total, none of many
# workspaces would be active.
_MIN_ACTIVE_SHARE = 0.02


class WorkspaceShares:
    """Recent service per workspace, in exponentially decayed seconds.

    The fair share is the total service divided by the number of active
    workspaces. A workspace that is active alone never exceeds its share.

    Attributes:
        usage: Decayed seconds of service and loop time of the update, by
            workspace.
        fair_share: Fair share, in decayed seconds.
        counted_at: Loop time at which ``fair_share`` was last computed.
        has_several_active: Whether more than one workspace is active.
    """

    def __init__(self) -> None:
        self.usage: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self.fair_share = 0.0
        self.counted_at = -math.inf
        self.has_several_active = False

    def charge(self, workspace: str, seconds: float, now: float) -> None:
        """Adds seconds of service to a workspace."""
        self.usage[workspace] = (
            self.usage_of(workspace, now) + seconds,
            now,
        )
        self.usage.move_to_end(workspace)
        while len(self.usage) > _MAX_WORKSPACES:
            self.usage.popitem(last=False)

    def excess(self, workspace: str, now: float) -> float:
        """Returns the usage above the fair share, in fair shares, or 0."""
        self._recount(now)
        if not self.has_several_active or self.fair_share <= 0:
            return 0.0
        return max(0.0, self.usage_of(workspace, now) / self.fair_share - 1)

    def usage_of(self, workspace: str, now: float) -> float:
        """Returns the recent service of a workspace, in decayed seconds."""
        used, at = self.usage.get(workspace, (0.0, now))
        return used * math.exp((at - now) / _DECAY_SECONDS)

    def _recount(self, now: float) -> None:
        if now - self.counted_at < _RECOUNT_SECONDS:
            return
        self.counted_at = now
        uses = [self.usage_of(name, now) for name in self.usage]
        total = sum(uses)
        least = _MIN_ACTIVE_SHARE * max(uses, default=0.0)
        active = sum(use > least for use in uses)
        self.has_several_active = active > 1
        self.fair_share = total / active if active else 0.0
