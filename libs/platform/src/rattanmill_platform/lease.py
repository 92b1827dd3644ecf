"""The lease of this instance and the question whether it may act alone.

An instance may do what needs exclusivity (run a turn, spend budget, do an
act) while it holds. It holds as long as nothing has interrupted it and either
its lease is valid by its own clock, or the key-value service is silent and a
peer of its failure domain (if it has any) was heard from.

Takeover needs the service's word that the lease has lapsed and, from the
taker, silence on the peer link for ``silence_seconds``. Inside a failure
domain the network is one; a running instance is heard there, so a taker can
only follow a dead or paused instance. See docs/design/state.md.

A pause, or a moment in which it did not hold, interrupts the instance: its
shards may have been taken meanwhile. A new lease alone says nothing about
them, so it holds again only after ``confirm``, when the owners were read and
written anew (see ``Ownership``).
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
from rattanmill_platform.kv import Conflict, KvClient, Unavailable, Written

_log = part_logger("lease")
_RENEWALS_PER_LEASE = 4
_RENEWALS_AT_ONCE = 8
# Clocks of instance and service may run at slightly different speeds.
_CLOCK_ERROR_SHARE = 0.1
# A renewal begins up to a quarter of the lease after the one before; asked
# and unanswered for so long, it is noticed before that one has run out.
_ANSWER_SHARE = 0.6


class InstanceLease:
    """Keeps the instance's lease and its record alive.

    Attributes:
        interrupted: Whether ownership must be confirmed before acting.
        interruptions: How often that came to be; names one interruption.
        resumed_at: Loop time at which the last pause was noticed. What a
            paused instance heard, or did not hear, means nothing: silence is
            counted from here at the earliest.
        peers_known: Other instances of the domain, by the service's last word.
        peer_heard: Loop time of the last sign of life of one of them.
        told_at: Loop time at which the service was last asked with success
            to keep the lease.

    Args:
        kv: Client of the key-value service.
        key: Key of the instance's record.
        record: Value of the instance's record.
        seconds: Time to live.
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
        self.service_silent = False
        self.peers_known = 0
        self.peer_heard = float("-inf")
        self.told_at = self.resumed_at
        self.acquiring = asyncio.Lock()
        self.renewals: set[asyncio.Task] = set()
        self.tasks: list[asyncio.Task] = []

    @property
    def pause_bound(self) -> float:
        """Longest gap between two ticks that does not count as a pause."""
        return self.seconds / 3

    @property
    def silence_seconds(self) -> float:
        """Silence on the peer link that a takeover needs."""
        return self.seconds * 2 / 3

    @property
    def answer_seconds(self) -> float:
        """Longest wait for a renewal that keeps the lease without a gap."""
        return self.seconds * _ANSWER_SHARE

    def holds(self) -> bool:
        """Whether this instance may do what needs exclusivity, right now."""
        return not self.interrupted and self._is_exclusive()

    def uninterrupted(self) -> bool:
        """Whether it has owned what it owns without a break until now."""
        return not self.interrupted and not self._was_paused()

    def valid(self) -> bool:
        """Whether the service's word is that the lease is alive."""
        return not self._was_paused() and loop_seconds() < self.valid_until

    def outage(self) -> bool:
        """Whether it holds without the service's word."""
        return self.holds() and loop_seconds() >= self.valid_until

    def confirm(self, interruption: int) -> bool:
        """Ends an interruption, unless another one began meanwhile."""
        if interruption == self.interruptions and self.valid():
            self.interrupted = False
        return not self.interrupted

    def _is_exclusive(self) -> bool:
        # A stopped process wakes up here before its tick task runs, and its
        # lease may have gone to another meanwhile: the gap betrays the pause.
        if self._was_paused():
            return False
        now = loop_seconds()
        if now < self.valid_until:
            return True
        if not self.service_silent:
            return False
        heard = now - self.peer_heard < self.silence_seconds
        return heard or self._had_no_peer()

    def _had_no_peer(self) -> bool:
        """Whether nobody could take over when the service was last heard.

        After an outage that outlasted the leases, an instance may be back
        before its peer has registered again. Going by records alone it would
        go on by itself in the next outage, beside the peer that takes over
        from it; callers would get answers to one turn from two owners.
        """
        was_silent = self.told_at - self.peer_heard >= self.silence_seconds
        return self.peers_known == 0 and was_silent

    def _was_paused(self) -> bool:
        return boot_seconds() - self.last_tick > self.pause_bound

    def _interrupt(self) -> None:
        self.interrupted = True
        self.interruptions += 1

    async def __aenter__(self) -> Self:
        self.last_tick = boot_seconds()
        await self._acquire(self.lease)
        self.tasks = [
            start_loop("clock", self._tick()),
            start_loop("lease", self._renew_for_ever()),
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
                    "Paused {:.2f} s.", boot_seconds() - self.last_tick
                )
                self.resumed_at = loop_seconds()
                self.valid_until = 0.0
                self._interrupt()
            elif not self.interrupted and not self._is_exclusive():
                _log.warning("Does not hold its shards any more.")
                self._interrupt()
            self.last_tick = boot_seconds()
            await asyncio.sleep(self.pause_bound / 4)

    async def _renew_for_ever(self) -> None:
        """Renews in time, whether or not the renewal before was answered.

        If each renewal waited for the one before, a service that takes a
        second for an answer would let a lease of three seconds lapse.
        """
        pause = self.seconds / _RENEWALS_PER_LEASE
        while True:
            await asyncio.sleep(random.uniform(pause * 0.8, pause))
            if len(self.renewals) < _RENEWALS_AT_ONCE:
                task = asyncio.create_task(self._renew())
                self.renewals.add(task)
                task.add_done_callback(self.renewals.discard)

    async def _renew(self) -> None:
        asked = loop_seconds()
        lease = self.lease
        renewed = await self._ask_renewal(lease) if lease else False
        if renewed is True:
            self._extend(asked)
        elif isinstance(renewed, Unavailable):
            self._note_silence(renewed.why)
        else:
            await self._acquire(lease)

    async def _ask_renewal(self, lease: str) -> bool | Unavailable:
        """Renews, and takes a service that is too slow for a silent one.

        The answer may come, but each after the lease it extends has nearly
        lapsed; between two of them the instance would stop.
        """
        renewal = asyncio.ensure_future(self.kv.renew(lease))
        done, _ = await asyncio.wait([renewal], timeout=self.answer_seconds)
        if not done:
            self._note_silence("renewals take too long")
        return await renewal

    async def _acquire(self, lapsed: str) -> None:
        """Gets a new lease in place of ``lapsed``, once."""
        async with self.acquiring:
            if self.lease != lapsed:
                return
            asked = loop_seconds()
            lease = await self.kv.grant(self.seconds)
            if isinstance(lease, Unavailable):
                self._note_silence(lease.why)
                return
            outcome = await self._write_record(lease)
            if isinstance(outcome, Written):
                self.lease = lease
                self._extend(asked)
                _log.info("Lease acquired.")
            else:
                self._note_silence(str(outcome))

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

    def _extend(self, asked: float) -> None:
        if not self.interrupted and not self._is_exclusive():
            self._interrupt()
        self.told_at = max(self.told_at, asked)
        until = asked + self.seconds * (1 - _CLOCK_ERROR_SHARE)
        self.valid_until = max(self.valid_until, until)
        if loop_seconds() - asked < self.answer_seconds:
            self.service_silent = False

    def _note_silence(self, why: str) -> None:
        if not self.service_silent:
            _log.warning("Key-value service silent: {}", why)
        self.service_silent = True


def new_incarnation() -> str:
    """Returns the id of this run of the process."""
    return new_id()
