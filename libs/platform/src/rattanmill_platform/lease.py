"""The lease of this instance and the question whether it may act alone.

An instance may do what needs exclusivity (run a turn, spend budget, do an
act) while it holds. It holds as long as it has not been paused and either its
lease is valid by its own monotonic clock, or the key-value service is silent
and a peer of its failure domain (if it has any) was heard from.

Takeover needs the service's word that the lease has lapsed and, from the
taker, silence on the peer link for ``silence_seconds``. Inside a failure
domain the network is one; a running instance is heard there, so a taker can
only follow a dead or paused instance. See docs/design/state.md.
"""

import asyncio
import contextlib
import random
from typing import Self

from rattanmill_core import new_id, part_logger
from rattanmill_platform.kv import Conflict, KvClient, Unavailable, Written

_log = part_logger("lease")
_RENEWALS_PER_LEASE = 4
# Clocks of instance and service may run at slightly different speeds.
_CLOCK_ERROR_SHARE = 0.1


class InstanceLease:
    """Keeps the instance's lease and its record alive.

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
        self.paused = True
        self.resumed_at = _now()
        self.service_silent = False
        self.peers_known = 0
        self.peer_heard = 0.0
        self.tasks: list[asyncio.Task] = []

    @property
    def pause_bound(self) -> float:
        """Longest gap between two ticks that does not count as a pause."""
        return self.seconds / 3

    @property
    def silence_seconds(self) -> float:
        """Silence on the peer link that a takeover needs."""
        return self.seconds * 2 / 3

    # What a paused instance heard, or did not hear, meanwhile means nothing:
    # silence is counted from ``resumed_at`` at the earliest.

    def holds(self) -> bool:
        """Whether this instance may do what needs exclusivity, right now."""
        now = _now()
        # A stopped process wakes up here before its tick task runs, and its
        # lease may have gone to another meanwhile: the gap betrays the pause.
        if self.paused or now - self.last_tick > self.pause_bound:
            return False
        if now < self.valid_until:
            return True
        if not self.service_silent:
            return False
        heard = now - self.peer_heard < self.silence_seconds
        return self.peers_known == 0 or heard

    def outage(self) -> bool:
        """Whether it holds without the service's word."""
        return self.holds() and _now() >= self.valid_until

    async def __aenter__(self) -> Self:
        await self._acquire()
        self.tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._renew_for_ever()),
        ]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self.tasks:
            task.cancel()
        if self.lease:
            with contextlib.suppress(asyncio.CancelledError):
                await self.kv.revoke(self.lease)

    async def _tick(self) -> None:
        while True:
            now = _now()
            if self.last_tick and now - self.last_tick > self.pause_bound:
                self.paused = True
                self.resumed_at = now
                self.valid_until = 0.0
                _log.warning("Paused {:.2f} s.", now - self.last_tick)
            self.last_tick = now
            await asyncio.sleep(self.pause_bound / 4)

    async def _renew_for_ever(self) -> None:
        pause = self.seconds / _RENEWALS_PER_LEASE
        while True:
            await asyncio.sleep(random.uniform(pause * 0.8, pause))
            await self._renew()

    async def _renew(self) -> None:
        asked = _now()
        renewed = await self.kv.renew(self.lease) if self.lease else False
        if renewed is True:
            self._extend(asked)
        elif isinstance(renewed, Unavailable):
            self._note_silence(renewed.why)
        else:
            await self._acquire()

    async def _acquire(self) -> None:
        asked = _now()
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
        self.valid_until = asked + self.seconds * (1 - _CLOCK_ERROR_SHARE)
        self.paused = False
        self.service_silent = False

    def _note_silence(self, why: str) -> None:
        if not self.service_silent:
            _log.warning("Key-value service silent: {}", why)
        self.service_silent = True


def new_incarnation() -> str:
    """Returns the id of this run of the process."""
    return new_id()


def _now() -> float:
    return asyncio.get_running_loop().time()
