"""Prompt prefixes that front ends have sent to endpoints."""

import collections

import msgspec

from rattanmill_keeper.messages import CachedPrefix

# Share of the limit that is reserved for prefixes that only one front end has
# reported. Without it, once the limit is reached, they would be dropped before
# a second front end reports them.
_SINGLE_SHARE = 0.25


class PrefixLog:
    """Pairs of endpoint and prefix in order of their positions.

    Attributes:
        entries: Newest pairs, each with the id of the front end that reported
            it, oldest first.
        dropped: Number of pairs that were dropped, which is also the position
            before the oldest entry.
        known: The pairs in ``entries``.
    """

    def __init__(self) -> None:
        self.entries: list[tuple[CachedPrefix, str]] = []
        self.dropped = 0
        self.known: set[CachedPrefix] = set()

    def add(self, pair: CachedPrefix, front_end: str = "") -> bool:
        """Appends a pair; returns False if it is known already."""
        if pair in self.known:
            return False
        self.known.add(pair)
        self.entries.append((pair, front_end))
        return True

    def drop_oldest(self) -> CachedPrefix:
        """Removes and returns the oldest pair."""
        pair, _ = self.entries.pop(0)
        self.known.discard(pair)
        self.dropped += 1
        return pair

    def read(
        self,
        after: int,
        limit: int,
        front_end: str | None = None,
        excluded: frozenset[CachedPrefix] = frozenset(),
    ) -> tuple[list[CachedPrefix], int]:
        """Returns pairs after a position, and the position of the last one.

        Args:
            after: The position.
            limit: Maximum number of pairs.
            front_end: Front end whose own pairs are passed over, or None.
            excluded: Further pairs that are passed over.
        """
        found: list[CachedPrefix] = []
        at = max(0, after - self.dropped)
        while at < len(self.entries) and len(found) < limit:
            pair, reporter = self.entries[at]
            at += 1
            if reporter != front_end and pair not in excluded:
                found.append(pair)
        return found, self.dropped + at


class SingleReport(msgspec.Struct):
    """A prefix that only one front end has reported.

    Attributes:
        front_end: Id of the front end.
        endpoints: Endpoints to which it has sent the prefix.
    """

    front_end: str
    endpoints: list[str]


class SharedPrefixes:
    """Prefixes that front ends have reported to a storage instance.

    Attributes:
        log: Pairs of prefixes that two front ends have reported.
        shared: Number of pairs in ``log`` by prefix.
        single: Prefixes that one front end has reported, oldest first.
        single_count: Number of pairs in ``single``.
        max_single: Number of these that are kept if the limit is reached.

    Args:
        max_pairs: Maximum number of pairs.
    """

    def __init__(self, max_pairs: int) -> None:
        self.max_pairs = max_pairs
        self.max_single = int(max_pairs * _SINGLE_SHARE)
        self.log = PrefixLog()
        self.shared: collections.Counter[str] = collections.Counter()
        self.single: dict[str, SingleReport] = {}
        self.single_count = 0

    def add(self, pair: CachedPrefix, front_end: str) -> None:
        """Records a pair that a front end reported."""
        if pair.prefix in self.shared:
            self._share(pair, front_end)
        else:
            self._add_single(pair, front_end)
        while len(self.log.entries) + self.single_count > self.max_pairs:
            self._drop_oldest()

    def _add_single(self, pair: CachedPrefix, front_end: str) -> None:
        single = self.single.get(pair.prefix)
        if single is None:
            self.single[pair.prefix] = SingleReport(front_end, [pair.endpoint])
            self.single_count += 1
        elif single.front_end != front_end:
            self._forget_single(pair.prefix)
            for endpoint in single.endpoints:
                self._share(
                    CachedPrefix(endpoint, pair.prefix), single.front_end
                )
            self._share(pair, front_end)
        elif pair.endpoint not in single.endpoints:
            single.endpoints.append(pair.endpoint)
            self.single_count += 1

    def _share(self, pair: CachedPrefix, front_end: str) -> None:
        if self.log.add(pair, front_end):
            self.shared[pair.prefix] += 1

    def _forget_single(self, prefix: str) -> None:
        self.single_count -= len(self.single.pop(prefix).endpoints)

    def _drop_oldest(self) -> None:
        """Drops prefixes of one front end first, as others do not need them."""
        if self.single_count > self.max_single:
            self._forget_single(next(iter(self.single)))
            return
        prefix = self.log.drop_oldest().prefix
        self.shared[prefix] -= 1
        if not self.shared[prefix]:
            del self.shared[prefix]
