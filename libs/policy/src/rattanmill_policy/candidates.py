"""Selects the bounded set of endpoints that a placement decision compares."""

import asyncio
import random
from collections.abc import Iterable

from rattanmill_policy.admission import INITIAL_LIMIT
from rattanmill_policy.ring import Ring
from rattanmill_policy.speeds import EndpointStats, SpeedEstimate
from rattanmill_policy.table import EndpointState, EndpointTable
from rattanmill_policy.work import Work

_COMPARE_ALL_LIMIT = 16
_SAMPLE_SIZE = 8
_MIN_REFRESH_SECONDS = 0.2
_MAX_REFRESH_SECONDS = 5.0


class _Pool:
    """Endpoints of one model or service, cached from the endpoint table."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.refreshed_at = float("-inf")
        self.fleet = SpeedEstimate()
        self.ring = Ring()


class Candidates:
    """Selects which endpoints to compare.

    A small pool is compared as a whole. Of a large pool, the endpoints that
    hold a prefix of the prompt, its home endpoints and a few at random are
    compared. The best of eight random endpoints is nearly as good as the best
    of all (power of d choices), and instances do not all select the same one.
    The time of a decision therefore does not grow with the pool.

    Args:
        table: Known endpoints.
        rng: Draws the sample.
    """

    def __init__(self, table: EndpointTable, rng: random.Random) -> None:
        self.table = table
        self.rng = rng
        self.pools: dict[str, _Pool] = {}
        self.stats: dict[str, EndpointStats] = {}

    def names_for(self, work: Work) -> list[str]:
        """Returns all endpoint names for a call, from the cached pool."""
        now = asyncio.get_running_loop().time()
        if work.group not in self.pools and not self._is_served(work):
            return []
        pool = self._pool(work.group)
        size = len(pool.names)
        age = now - pool.refreshed_at
        wait = min(max(size / 1000, _MIN_REFRESH_SECONDS), _MAX_REFRESH_SECONDS)
        if age >= wait or not any(
            map(self._open_state, pool.names[:_COMPARE_ALL_LIMIT])
        ):
            self._refresh(pool, work, now)
        return pool.names

    def _is_served(self, work: Work) -> bool:
        """Returns whether any endpoint, open or not, serves such calls.

        Models and services are named by callers. Creating a pool for each name
        would use unbounded memory.
        """
        if work.model:
            return self.table.knows_model(work.model)
        return self.table.knows_service(work.service)

    def _pool(self, group: str) -> _Pool:
        pool = self.pools.get(group)
        if pool is None:
            pool = self.pools[group] = _Pool()
        return pool

    def _refresh(self, pool: _Pool, work: Work, now: float) -> None:
        found = (
            self.table.engines(work.model)
            if work.model
            else self.table.services(work.service)
        )
        names = [state.endpoint.name for state in found]
        pool.refreshed_at = now
        if len(self.stats) > 2 * len(self.table.states) + _COMPARE_ALL_LIMIT:
            # Endpoints are replaced regularly. Without this, the statistics of
            # removed endpoints would accumulate for the lifetime of the
            # process.
            self.stats = {
                name: stats
                for name, stats in self.stats.items()
                if name in self.table.states
            }
        if names != pool.names:
            pool.names = names
            pool.ring.update(set(names))

    def fleet(self, group: str) -> SpeedEstimate:
        """Returns the speed of all endpoints of a group combined."""
        return self._pool(group).fleet

    def stats_of(self, state: EndpointState) -> EndpointStats:
        """Returns the statistics of an endpoint."""
        name = state.endpoint.name
        stats = self.stats.get(name)
        if stats is None:
            stats = self.stats[name] = EndpointStats(INITIAL_LIMIT)
        return stats

    def homes(self, group: str, digest: bytes, count: int) -> list[str]:
        """Returns the home endpoints of a prefix."""
        return self._pool(group).ring.homes(digest, count)

    def select(self, work: Work, cached: Iterable[str]) -> list[EndpointState]:
        """Returns the endpoints to compare, preferring those not tried yet.

        Args:
            work: The call.
            cached: Names of endpoints that probably have a prefix of its
                prompt.
        """
        names = self.names_for(work)
        if len(names) > _COMPARE_ALL_LIMIT:
            sample = self.rng.sample(names, _SAMPLE_SIZE)
            names = list(dict.fromkeys([*cached, *sample]))
        found = [s for name in names if (s := self._open_state(name))]
        untried = [s for s in found if s.endpoint.name not in work.tried]
        return untried or found

    def _open_state(self, name: str) -> EndpointState | None:
        """Returns the state of an endpoint if it accepts work now."""
        state = self.table.states.get(name)
        if state is None or name in self.table.drained:
            return None
        now = asyncio.get_running_loop().time()
        return state if state.accepts_work(now) else None
