"""Which storage instances store a key, as all processes compute it."""

import hashlib
import itertools
from collections.abc import Iterable, Mapping


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by rendezvous hashing (highest random weight) for a key.

    All instances compute the same order without communicating, and adding or
    removing a name moves only its own share of the keys.
    """
    return sorted(
        names,
        key=lambda name: hashlib.blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
    )


def choose_replicas(
    key: str, domains: Mapping[str, Iterable[str]], copies: int
) -> list[str]:
    """Chooses the instances that store a key.

    One of each failure domain, and more of them if there are fewer domains than
    copies: two instances of one domain still lose their disks one at a time.

    Args:
        key: Key of the data.
        domains: Names of the instances that accept new data, by failure domain.
        copies: Number of disks on which the data must be.
    """
    chosen = [rank(key, names)[0] for names in domains.values()]
    others = set(itertools.chain(*domains.values())).difference(chosen)
    return chosen + rank(key, others)[: max(0, copies - len(chosen))]
