"""Consistent hashing of prefixes to home endpoints, equal on all instances.

Each endpoint has several virtual nodes on a hash ring; a prefix belongs to the
endpoints that follow its own hash. Instances that know the same endpoints
compute the same homes without exchanging messages, and a change of one endpoint
moves few prefixes. A lookup takes logarithmic time, while rendezvous hashing
examines all endpoints.
"""

import bisect
import hashlib
import itertools
from collections.abc import Iterable

_VIRTUAL_NODES = 16
_HASH_BYTES = 8


def _hash(data: bytes) -> int:
    digest = hashlib.blake2b(data, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def _virtual_nodes(name: str) -> list[tuple[int, str]]:
    return [
        (_hash(f"{name}/{number}".encode()), name)
        for number in range(_VIRTUAL_NODES)
    ]


class Ring:
    """Hash ring of the endpoints' virtual nodes.

    Attributes:
        points: Hash and endpoint name of each virtual node, sorted.
        members: Names of the endpoints on the ring.
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self.points: list[tuple[int, str]] = []
        self.members: set[str] = set()
        self.update(set(names))

    def update(self, names: set[str]) -> None:
        """Makes ``names`` the endpoints of the ring.

        Changes only the virtual nodes of added and removed endpoints. Hashing
        all endpoints of a large fleet again would block all calls for a tenth
        of a second whenever one endpoint changes.
        """
        removed, added = self.members - names, names - self.members
        if len(removed) + len(added) > len(names) // 2:
            self.points = sorted(
                point for name in names for point in _virtual_nodes(name)
            )
        else:
            for point in itertools.chain.from_iterable(
                map(_virtual_nodes, removed)
            ):
                del self.points[bisect.bisect_left(self.points, point)]
            for point in itertools.chain.from_iterable(
                map(_virtual_nodes, added)
            ):
                bisect.insort(self.points, point)
        self.members = set(names)

    def homes(self, digest: bytes, count: int) -> list[str]:
        """Returns up to ``count`` distinct endpoints, in ring order."""
        if not self.points:
            return []
        at = bisect.bisect(self.points, (_hash(digest), ""))
        found: list[str] = []
        for step in range(min(len(self.points), count * _VIRTUAL_NODES)):
            _, name = self.points[(at + step) % len(self.points)]
            if name not in found:
                found.append(name)
            if len(found) == count:
                break
        return found
