"""Which endpoint has which prompt prefix in its cache, as far as we know.

What an answer's ``cached_tokens`` says is the truth; all else is a guess.
"""

import collections
import itertools

import msgspec

from rattanmill_policy.work import Work

_MOST_PREFIXES = 50_000
_FIRST = 4
_LAST = 4
_ENOUGH_HOLDERS = 4
_STEP = 0.1
_LEAST_GUESS = 0.1


class Holding(msgspec.Struct):
    """A prefix held by an endpoint.

    Attributes:
        tokens: Length of the prefix.
        since: Loop time of its last use there; 0 for a guess.
    """

    tokens: int
    since: float


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
        self.dropped: dict[str, float] = {}
        self.guess = 1.0

    def find(self, work: Work) -> dict[str, Holding]:
        """Returns the longest prefix known at each of a few endpoints."""
        found: dict[str, Holding] = {}
        tokens = sum(tokens for _, tokens in work.prefixes)
        for digest, own in reversed(work.prefixes):
            for name, used in self.holders.get(digest, {}).items():
                if name in found or used <= self.dropped.get(name, 0.0):
                    continue
                found[name] = Holding(tokens, used)
            if len(found) >= _ENOUGH_HOLDERS:
                break
            tokens -= own
        return found

    def sent(self, work: Work, name: str, now: float) -> None:
        """Notes that an endpoint gets a prompt and so has its prefixes."""
        kept = itertools.chain(
            work.prefixes[:_FIRST],
            work.prefixes[max(_FIRST, len(work.prefixes) - _LAST) :],
        )
        for digest, _ in kept:
            names = self.holders.setdefault(digest, {})
            # The latest user goes last: the oldest is forgotten first.
            names.pop(name, None)
            names[name] = now
            if len(names) > _ENOUGH_HOLDERS:
                del names[next(iter(names))]
            self.holders.move_to_end(digest)
        while len(self.holders) > _MOST_PREFIXES:
            self.holders.popitem(last=False)

    def answered(
        self, name: str, expected: int, since: float, cached: int
    ) -> None:
        """Corrects the map by what an answer says was cached."""
        if not expected:
            return
        hit = cached >= expected / 2
        if not since:
            self.guess += _STEP * (hit - self.guess)
            self.guess = max(self.guess, _LEAST_GUESS)
        elif not hit:
            self.dropped[name] = max(self.dropped.get(name, 0.0), since)
        elif since <= self.dropped.get(name, 0.0):
            del self.dropped[name]

    def forget(self, name: str, now: float) -> None:
        """An endpoint lost all its cache, as one that crashed does."""
        self.dropped[name] = now


def home_prefix(work: Work) -> tuple[bytes, int] | None:
    """Returns digest and tokens of the prefix others are likely to share.

    That is all but the last message, which holds the question.
    """
    if len(work.prefixes) < 2:
        return None
    shared = work.prefixes[:-1]
    return shared[-1][0], sum(tokens for _, tokens in shared)
