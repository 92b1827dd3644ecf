"""How much more than its share a workspace uses."""

import collections
import math

_DECAY_SECONDS = 20.0
_MOST_WORKSPACES = 2000
_COUNT_SECONDS = 0.5
_ACTIVE_SHARE = 0.02


class WorkspaceShares:
    """Service that workspaces have had lately, in decayed seconds.

    An even share is what each workspace that is active would have had. A
    workspace alone is never over its share.
    """

    def __init__(self) -> None:
        self.used: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )
        self.even = 0.0
        self.counted = -math.inf
        self.several = False

    def charge(self, workspace: str, seconds: float, now: float) -> None:
        """Notes service given to a workspace."""
        self.used[workspace] = (self._used(workspace, now) + seconds, now)
        self.used.move_to_end(workspace)
        while len(self.used) > _MOST_WORKSPACES:
            self.used.popitem(last=False)

    def excess(self, workspace: str, now: float) -> float:
        """Returns use beyond the even share, in even shares; 0 if within."""
        self._count(now)
        if not self.several or self.even <= 0:
            return 0.0
        return max(0.0, self._used(workspace, now) / self.even - 1)

    def _used(self, workspace: str, now: float) -> float:
        used, at = self.used.get(workspace, (0.0, now))
        return used * math.exp((at - now) / _DECAY_SECONDS)

    def _count(self, now: float) -> None:
        if now - self.counted < _COUNT_SECONDS:
            return
        self.counted = now
        uses = [self._used(name, now) for name in self.used]
        total = sum(uses)
        active = sum(use > _ACTIVE_SHARE * total for use in uses)
        self.several = active > 1
        self.even = total / active if active else 0.0
