"""Workspaces of callers and the keys that identify them."""

import hashlib
import os
from collections.abc import Iterable

import msgspec

_DIGEST_BYTES = 16


class Workspace(msgspec.Struct, frozen=True):
    """A group of callers that share keys and a rate limit.

    Attributes:
        name: Name.
        requests_per_second: Rate limit over all instances, or 0 if unlimited.
        burst: Requests that may exceed the rate limit at once.
    """

    name: str
    requests_per_second: float = 0.0
    burst: float = 0.0


class KeyRing:
    """The keys of all workspaces, held only as digests.

    The digests are keyed with a random salt, so the duration of a lookup tells
    nothing about a key.

    Attributes:
        by_digest: Workspaces by the digest of each of their keys.

    Args:
        keys: Pairs of a key and its workspace.
    """

    def __init__(self, keys: Iterable[tuple[str, Workspace]]) -> None:
        self._salt = os.urandom(_DIGEST_BYTES)
        self.by_digest = {
            self._digest(key): workspace for key, workspace in keys
        }

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace of a key, or None if the key is unknown."""
        return self.by_digest.get(self._digest(key)) if key else None

    def _digest(self, key: str) -> bytes:
        return hashlib.blake2b(
            key.encode("utf-8", "surrogatepass"),
            digest_size=_DIGEST_BYTES,
            key=self._salt,
        ).digest()
