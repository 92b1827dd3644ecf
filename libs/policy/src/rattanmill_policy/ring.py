"""The home endpoints of a prefix, the same on every instance.

Each endpoint has points on a ring of hashes; a prefix belongs to the points
that follow its own hash. All instances that know the same endpoints find the
same homes without a message, a change of one endpoint moves few prefixes, and
a look-up takes logarithmic time where rendezvous hashing looks at all.
"""

import bisect
import hashlib
from collections.abc import Iterable

_POINTS = 16
_HASH_BYTES = 8


def _hash(data: bytes) -> int:
    digest = hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


class Ring:
    """Endpoints' points, in order."""

    def __init__(self, names: Iterable[str]) -> None:
        points = sorted(
            (_hash(f"{name}/{number}".encode()), name)
            for name in names
            for number in range(_POINTS)
        )
        self.hashes = [point for point, _ in points]
        self.names = [name for _, name in points]

    def homes(self, digest: bytes, count: int) -> list[str]:
        """Returns up to ``count`` different endpoints, the first one first."""
        if not self.names:
            return []
        at = bisect.bisect(self.hashes, _hash(digest))
        found: list[str] = []
        for step in range(min(len(self.names), count * _POINTS)):
            name = self.names[(at + step) % len(self.names)]
            if name not in found:
                found.append(name)
            if len(found) == count:
                break
        return found
