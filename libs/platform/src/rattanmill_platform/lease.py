"""Lease of this instance, which decides whether it may act exclusively.

An instance may do what needs exclusivity (run a turn, spend budget, do an
act) while its lease is held. The lease is held as long as it was not
interrupted and either it is valid by the local clock, or the platform store is
unavailable and a peer of the failure domain (if there is any) responded.

A takeover requires that the store reports the lease as expired and that the
new owner has received nothing on the peer link for ``silence_seconds``. A
failure domain's network does not partition internally, so a running instance
is reachable there and only a dead or paused one can be taken over. See
docs/design/state.md.

A pause, or a moment in which the lease was not held, interrupts it: the
instance's shards may have been taken over meanwhile. A new lease does not
prove ownership of them, so it counts as held only after ``confirm``, once the
owners were read and written again (see ``Ownership``).
"""

import asyncio
import contextlib
import random
from typing import Self

from rattanmill_core import (
    boot_seconds,
    loop_seconds,
    new_id,
    part_logger,
    start_loop,
)
from rattanmill_platform.calls import Unavailable
from rattanmill_platform.kv import Conflict, Written
from rattanmill_platform.kvclient import KvClient

_log = part_logger("lease")
_RENEWALS_PER_LEASE = 4
_MAX_CONCURRENT_RENEWALS = 8
# The clocks of instance and store may run at slightly different speeds.
_CLOCK_ERROR_FRACTION = 0.1
# A renewal starts up to a quarter of the lease time after the previous one. A
# renewal without an answer for this fraction of the lease time is noticed
# before the previous one has expired.
_MAX_ANSWER_FRACTION = 0.6


class InstanceLease:
    """Keeps the instance's lease and its registration record alive.

    Attributes:
        interrupted: Whether ownership must be confirmed before acting.
        interruptions: Number of interruptions so far; identifies one of them.
        resumed_at: Loop time at which the last pause was noticed. Messages
            received or missed during a pause prove nothing, so silence is
            counted from here at the earliest.
        known_peers: Number of other instances of the domain, as last
            reported by the store.
        peer_last_heard_at: Loop time of the last message from one of them.
        renewed_at: Loop time at which the last successful grant or renewal of
            the lease was requested.

    Args:
        kv: Client of the platform store.
        key: Key of the instance's record.
        record: Value of the instance's record.
        seconds: Time to live of the lease.
    """

    def __init__(
        self, kv: KvClient, key: str, record: bytes, seconds: float
    ) -> None:
        self.kv = kv
        self.key = key
        self.record = record
        self.seconds = seconds
        self.lease = ""
        self.valid_until = 0.0
        self.last_tick = 0.0
        self.interrupted = True
        self.interruptions = 0
        self.resumed_at = loop_seconds()
        self.store_unavailable = False
        self.known_peers = 0
        self.peer_last_heard_at = float("-inf")
        self.renewed_at = self.resumed_at
        self.acquiring = asyncio.Lock()
        self.renewals: set[asyncio.Task] = set()
        self.tasks: list[asyncio.Task] = []

    @property
    def max_tick_gap_seconds(self) -> float:
        """Longest gap between two ticks that does not count as a pause."""
        return self.seconds / 3

    @property
    def silence_seconds(self) -> float:
        """Seconds without a message on the peer link before a takeover."""
        return self.seconds * 2 / 3

    @property
    def max_answer_seconds(self) -> float:
        """Longest wait for a renewal that keeps the lease without gaps."""
        return self.seconds * _MAX_ANSWER_FRACTION

    def is_held(self) -> bool:
        """Returns whether this instance may act exclusively now."""
        return not self.interrupted and self._is_exclusive()

    def is_uninterrupted(self) -> bool:
        """Returns whether ownership has been continuous until now."""
        return not self.interrupted and not self._was_paused()

    def is_valid(self) -> bool:
        """Returns whether the lease is valid as confirmed by the store."""
        return not self._was_paused() and loop_seconds() < self.valid_until

    def is_held_in_outage(self) -> bool:
        """Returns whether it is held without confirmation by the store."""
        return self.is_held() and loop_seconds() >= self.valid_until

    def confirm(self, interruption: int) -> bool:
        """Ends an interruption, unless another one started meanwhile."""
        if interruption == self.interruptions and self.is_valid():
            self.interrupted = False
        return not self.interrupted

    def _is_exclusive(self) -> bool:
        # A paused process may resume here before its tick task runs. Another
        # instance may have taken over meanwhile; the tick gap reveals the
        # pause.
        if self._was_paused():
            return False
        now = loop_seconds()
        if now < self.valid_until:
            return True
        if not self.store_unavailable:
            return False
        peer_is_live = now - self.peer_last_heard_at < self.silence_seconds
        return peer_is_live or self._had_no_live_peer()

    def _had_no_live_peer(self) -> bool:
        """Returns whether there was no peer to take over at the last renewal.

        After an outage longer than the leases, an instance may register
        before its peer does. Judging by records alone, it would continue
        alone in the next outage while the peer takes over from it, and
        callers would get answers to one turn from two owners.
        """
        was_silent = (
            self.renewed_at - self.peer_last_heard_at >= self.silence_seconds
        )
        return self.known_peers == 0 and was_silent

    def _was_paused(self) -> bool:
        return boot_seconds() - self.last_tick > self.max_tick_gap_seconds

    def _interrupt(self) -> None:
        self.interrupted = True
        self.interruptions += 1

    async def __aenter__(self) -> Self:
        self.last_tick = boot_seconds()
        await self._acquire(self.lease)
        self.tasks = [
            start_loop("clock", self._tick()),
            start_loop("lease", self._renew_periodically()),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in (*self.tasks, *self.renewals):
            task.cancel()
        if self.lease:
            with contextlib.suppress(asyncio.CancelledError):
                await self.kv.revoke(self.lease)

    async def _tick(self) -> None:
        while True:
            if self._was_paused():
                _log.warning(
                    "Process was paused for {:.2f} s.",
                    boot_seconds() - self.last_tick,
                )
                self.resumed_at = loop_seconds()
                self.valid_until = 0.0
                self._interrupt()
            elif not self.interrupted and not self._is_exclusive():
                _log.warning(
                    "Lease is no longer held; ownership must be confirmed."
                )
                self._interrupt()
            self.last_tick = boot_seconds()
            await asyncio.sleep(self.max_tick_gap_seconds / 4)

    async def _renew_periodically(self) -> None:
        """Renews periodically without waiting for the previous renewal.

        If each renewal waited for the previous one, a store that takes 1 s
        to answer would let a lease of 3 s expire.
        """
        pause = self.seconds / _RENEWALS_PER_LEASE
        while True:
            await asyncio.sleep(random.uniform(pause * 0.8, pause))
            if len(self.renewals) < _MAX_CONCURRENT_RENEWALS:
                task = asyncio.create_task(self._renew())
                self.renewals.add(task)
                task.add_done_callback(self.renewals.discard)

    async def _renew(self) -> None:
        asked_at = loop_seconds()
        lease = self.lease
        renewed = await self._request_renewal(lease) if lease else False
        if renewed is True:
            self._extend(asked_at)
        elif isinstance(renewed, Unavailable):
            self._mark_store_unavailable(renewed.why)
        else:
            await self._acquire(lease)

    async def _request_renewal(self, lease: str) -> bool | Unavailable:
        """Renews, and treats a store that is too slow as unavailable.

        Answers may still arrive, but each when the lease it extends has nearly
        expired; the instance would stop between two of them.
        """
        renewal = asyncio.ensure_future(self.kv.renew(lease))
        done, _ = await asyncio.wait([renewal], timeout=self.max_answer_seconds)
        if not done:
            self._mark_store_unavailable("renewals take too long")
        return await renewal

    async def _acquire(self, expired_lease: str) -> None:
        """Replaces the expired lease ``expired_lease`` by a new one, once."""
        async with self.acquiring:
            if self.lease != expired_lease:
                return
            asked_at = loop_seconds()
            lease = await self.kv.grant(self.seconds)
            if isinstance(lease, Unavailable):
                self._mark_store_unavailable(lease.why)
                return
            outcome = await self._write_record(lease)
            if isinstance(outcome, Written):
                self.lease = lease
                self._extend(asked_at)
                _log.info("Lease acquired.")
            else:
                self._mark_store_unavailable(str(outcome))

    async def _write_record(
        self, lease: str
    ) -> Written | Conflict | Unavailable:
        outcome = await self.kv.write(self.key, self.record, 0, lease)
        if isinstance(outcome, Conflict):
            revision = outcome.revision
            outcome = await self.kv.write(
                self.key, self.record, revision, lease
            )
        return outcome

    def _extend(self, asked_at: float) -> None:
        if not self.interrupted and not self._is_exclusive():
            self._interrupt()
        self.renewed_at = max(self.renewed_at, asked_at)
        until = asked_at + self.seconds * (1 - _CLOCK_ERROR_FRACTION)
        self.valid_until = max(self.valid_until, until)
        if loop_seconds() - asked_at < self.max_answer_seconds:
            self.store_unavailable = False

    def _mark_store_unavailable(self, why: str) -> None:
        if not self.store_unavailable:
            _log.warning("Platform store is unavailable: {}", why)
        self.store_unavailable = True


def new_incarnation() -> str:
    """Returns the id of this run of the process."""
    return new_id()
