"""Copies of turns in the platform store, while too few disks can have them.

With one storage instance in each failure domain, a domain that is cut off may
leave the others a single disk. The store loses nothing that it acknowledged, so
a turn that one disk and the store have is not lost with the disk. Storage
instances fetch these turns from the store, and their entries expire.
"""

import asyncio
import hashlib

import msgspec

from rattanmill_core import loop_seconds, wall_seconds
from rattanmill_keeper.messages import KeptTurn
from rattanmill_platform import Conflict, KeyValue, Unavailable, Written

TURNS_PREFIX = "rattanmill/turns/"
# A turn is found for a while beyond its expiry, as clocks differ.
_LEASE_MARGIN_SECONDS = 30.0
# The store grants no longer lease.
_MAX_LEASE_SECONDS = 600.0
# A slow store replies in 0.2 s, and a caller is waiting.
_TIMEOUT_SECONDS = 0.3
# Other writes to the store must not wait behind those of turns.
_MAX_WRITES_AT_ONCE = 4


class StoreCopies:
    """Writes a front end's turns to the store.

    Attributes:
        lease: Lease under which turns are written, or empty.
        lease_ends_at: Loop time at which it ends at the earliest.

    Args:
        kv: The platform store.
    """

    def __init__(self, kv: KeyValue) -> None:
        self.kv = kv
        self.lease = ""
        self.lease_ends_at = float("-inf")
        self.writes = asyncio.Semaphore(_MAX_WRITES_AT_ONCE)

    async def add(self, kept: KeptTurn) -> bool:
        """Returns whether the store has a turn, after writing it."""
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS), self.writes:
                return await self._write(kept)
        except TimeoutError:
            return False

    async def _write(self, kept: KeptTurn) -> bool:
        if not await self._has_lease(kept.expires - wall_seconds()):
            return False
        outcome = await self.kv.write(
            store_key(kept.turn), msgspec.msgpack.encode(kept), 0, self.lease
        )
        if isinstance(outcome, Unavailable):
            # The store may have ended the lease.
            self.lease = ""
        # A write without a reply may have taken effect before.
        return isinstance(outcome, Written | Conflict)

    async def _has_lease(self, seconds: float) -> bool:
        """Whether there is a lease that outlasts a turn of so many seconds."""
        needed = seconds + _LEASE_MARGIN_SECONDS
        if self.lease and self.lease_ends_at > loop_seconds() + needed:
            return True
        # Twice as long, so that later turns need no lease of their own.
        lease_seconds = min(2 * needed, _MAX_LEASE_SECONDS)
        granted_at = loop_seconds()
        granted = await self.kv.grant(lease_seconds)
        if isinstance(granted, Unavailable) or lease_seconds < needed:
            return False
        self.lease = granted
        self.lease_ends_at = granted_at + lease_seconds
        return True


def store_key(turn: str) -> str:
    """Returns the store's key of a turn, whose id may be of any length."""
    digest = hashlib.blake2b(turn.encode(), digest_size=16).hexdigest()
    return TURNS_PREFIX + digest
