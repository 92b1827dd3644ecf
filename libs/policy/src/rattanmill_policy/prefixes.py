"""Tracks which endpoint is believed to have which prompt prefix in its cache.

The ``cached_tokens`` of an answer is authoritative; everything else is an
estimate.
"""

import collections
import itertools

import msgspec

from rattanmill_policy.work import Work

_MAX_PREFIXES = 50_000
_LEADING_PREFIXES = 4
_TRAILING_PREFIXES = 4
_MAX_HOLDERS = 4
_EWMA_WEIGHT = 0.1
_MIN_HOME_HIT_RATE = 0.1


class CachedPrefix(msgspec.Struct):
    """A prompt prefix cached at an endpoint.

    Attributes:
        tokens: Length of the prefix.
        last_used: Loop time of its last use there; 0 for an estimate.
    """

    tokens: int
    last_used: float


class PrefixMap:
    """Prefixes that this instance sent to endpoints.

    Engines evict the least recently used prefix first. If an endpoint has
    evicted a prefix last used at time T, it has also evicted all prefixes not
    used since T. One timestamp per endpoint therefore corrects all entries of
    that endpoint.

    Attributes:
        holders: Loop time of the last use by endpoint name, for each prefix.
        evicted_until: Loop time by endpoint name; prefixes last used up to it
            are evicted.
        home_hit_rate: Fraction of prefixes that were cached at their home
            endpoint although this instance had not sent them there.
    """

    def __init__(self) -> None:
        self.holders: collections.OrderedDict[bytes, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.evicted_until: dict[str, float] = {}
        self.home_hit_rate = 1.0

    def find(self, work: Work) -> dict[str, CachedPrefix]:
        """Returns the longest known prefix at each of a few endpoints."""
        found: dict[str, CachedPrefix] = {}
        tokens = sum(tokens for _, tokens in work.prefixes)
        for digest, own in reversed(work.prefixes):
            for name, used in self.holders.get(digest, {}).items():
                if name in found or used <= self.evicted_until.get(name, 0.0):
                    continue
                found[name] = CachedPrefix(tokens, used)
            if len(found) >= _MAX_HOLDERS:
                break
            tokens -= own
        return found

    def record_prompt(self, work: Work, name: str, now: float) -> None:
        """Records that an endpoint receives a prompt and will cache it."""
        kept = itertools.chain(
            work.prefixes[:_LEADING_PREFIXES],
            work.prefixes[
                max(
                    _LEADING_PREFIXES, len(work.prefixes) - _TRAILING_PREFIXES
                ) :
            ],
        )
        for digest, _ in kept:
            names = self.holders.setdefault(digest, {})
            # Reinserts the name as the newest, so that the oldest is removed
            # first.
            names.pop(name, None)
            names[name] = now
            if len(names) > _MAX_HOLDERS:
                del names[next(iter(names))]
            self.holders.move_to_end(digest)
        while len(self.holders) > _MAX_PREFIXES:
            self.holders.popitem(last=False)

    def record_answer(
        self, name: str, expected: int, last_used: float, cached: int
    ) -> None:
        """Corrects the map with the number of cached tokens in an answer.

        Args:
            name: Name of the endpoint.
            expected: Tokens that were expected to be cached.
            last_used: Loop time of the prefix's last use there; 0 for an
                estimate.
            cached: Tokens that were cached.
        """
        if not expected:
            return
        hit = cached >= expected / 2
        if not last_used:
            self.home_hit_rate += _EWMA_WEIGHT * (hit - self.home_hit_rate)
            self.home_hit_rate = max(self.home_hit_rate, _MIN_HOME_HIT_RATE)
        elif not hit:
            self.evicted_until[name] = max(
                self.evicted_until.get(name, 0.0), last_used
            )
        elif last_used <= self.evicted_until.get(name, 0.0):
            del self.evicted_until[name]

    def forget_endpoint(self, name: str, now: float) -> None:
        """Discards the prefixes of an endpoint that lost its cache.

        This is the case after a crash.
        """
        self.evicted_until[name] = now


def home_prefix(work: Work) -> tuple[bytes, int] | None:
    """Returns digest and tokens of the prefix that other calls likely share.

    This is all but the last message, which contains the question. Returns None
    if the prompt has fewer than two messages.
    """
    if len(work.prefixes) < 2:
        return None
    shared = work.prefixes[:-1]
    return shared[-1][0], sum(tokens for _, tokens in shared)
