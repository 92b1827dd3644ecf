"""Which endpoint has which prompt prefix in its cache, as far as we know.

What an answer's ``cached_tokens`` says is the truth; all else is a guess.
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
    """A prefix held by an endpoint.

    Attributes:
        tokens: Length of the prefix.
        since: Loop time of its last use there; 0 for a guess.
    """

    tokens: int
    last_used: float


class PrefixMap:
    """Prefixes sent to endpoints by this instance.

    Engines drop the least recently used prefix first. So when an endpoint
    turns out to have dropped a prefix last used at time T, it has dropped
    all that were not used since T, and one number per endpoint corrects
    everything we believe of it.

    Attributes:
        dropped: For an endpoint, the last use up to which all is dropped.
        guess: Share of prefixes that were found cached at their home
            endpoint though this instance had not sent them there.
    """

    def __init__(self) -> None:
        self.holders: collections.OrderedDict[bytes, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.evicted_until: dict[str, float] = {}
        self.home_hit_rate = 1.0

    def find(self, work: Work) -> dict[str, CachedPrefix]:
        """Returns the longest prefix known at each of a few endpoints."""
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
        """Notes that an endpoint gets a prompt and so has its prefixes."""
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
            # The latest user goes last: the oldest is forgotten first.
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
        """Corrects the map by what an answer says was cached."""
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
        """An endpoint lost all its cache, as one that crashed does."""
        self.evicted_until[name] = now


def home_prefix(work: Work) -> tuple[bytes, int] | None:
    """Returns digest and tokens of the prefix others are likely to share.

    That is all but the last message, which holds the question.
    """
    if len(work.prefixes) < 2:
        return None
    shared = work.prefixes[:-1]
    return shared[-1][0], sum(tokens for _, tokens in shared)
