"""The registration of a storage instance in the platform store."""

import asyncio
import random
from collections.abc import Callable
from typing import Self

import msgspec

from rattanmill_core import boot_seconds, log_event, start_loop
from rattanmill_keeper.members import (
    LEASE_SECONDS,
    LEASE_VALID_SECONDS,
    MEMBERS_PREFIX,
    Member,
)
from rattanmill_platform import (
    Found,
    KeyValue,
    Missing,
    Unavailable,
    Written,
)

_RENEW_SECONDS = 2.5


class Registration:
    """Keeps this storage instance registered under a lease.

    Attributes:
        lease: The lease, or empty.
        written_lease: The lease under which the entry was last seen in the
            store.
        confirmed: This instance as the store was last known to hold it.
        first_confirmed_at: When the store was first known to hold this
            instance, by the boot clock.
        confirmation: Set when ``confirmed`` changes.
        is_listed: Whether a watch currently reports a key with a value; saves
            a call to the store with each renewal.
        renewed_at: When the newest renewal that succeeded was requested, by
            the boot clock.
        on_lapse: Called when the store has ended the registration, before it
            is renewed.

    Args:
        kv: The platform store.
        member: This instance.
    """

    def __init__(self, kv: KeyValue, member: Member) -> None:
        self.kv = kv
        self.member = member
        self.lease = ""
        self.written_lease = ""
        self.confirmed: Member | None = None
        self.first_confirmed_at = float("inf")
        self.confirmation = asyncio.Event()
        self.is_listed: Callable[[str, bytes], bool] = lambda key, value: False
        self.renewed_at = float("-inf")
        self.on_lapse: Callable[[], None] = lambda: None
        self.task: asyncio.Task | None = None
        self.wake = asyncio.Event()

    async def __aenter__(self) -> Self:
        self.task = start_loop("registration", self._renew_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    @property
    def is_lease_valid(self) -> bool:
        """Whether the last renewal is so recent that the lease can't be over.

        Uses a clock that goes on while the machine is suspended.
        """
        return boot_seconds() - self.renewed_at < LEASE_VALID_SECONDS

    @property
    def is_settled(self) -> bool:
        """Whether all members that started along with this one are listed."""
        return boot_seconds() - self.first_confirmed_at > LEASE_SECONDS

    async def end(self) -> None:
        """Ends the registration at once."""
        if self.task:
            self.task.cancel()
        if self.lease:
            await self.kv.revoke(self.lease)

    def update(self, member: Member) -> None:
        """Registers this instance with a new state."""
        self.member = member
        self.wake.set()

    async def publish_informed(self, informed: tuple[str, ...]) -> bool:
        """Registers which instances know accounts opened with the store.

        Returns:
            True, once the store holds the entry.
        """
        self.update(msgspec.structs.replace(self.member, informed=informed))
        while self.confirmed is None or self.confirmed.informed != informed:
            self.confirmation.clear()
            await self.confirmation.wait()
        return True

    async def publish_succeeded(self, succeeded: tuple[str, ...]) -> bool:
        """Registers whose accounts this instance holds for them.

        Returns:
            True, once the store holds the entry.
        """
        self.update(msgspec.structs.replace(self.member, succeeded=succeeded))
        while self.confirmed is None or self.confirmed.succeeded != succeeded:
            self.confirmation.clear()
            await self.confirmation.wait()
        return True

    def _confirm(self, member: Member) -> None:
        self.confirmed = member
        self.first_confirmed_at = min(self.first_confirmed_at, boot_seconds())
        self.confirmation.set()

    async def _renew_forever(self) -> None:
        while True:
            if self.lease:
                requested_at = boot_seconds()
                renewed = await self.kv.renew(self.lease)
                if renewed is True:
                    self.renewed_at = requested_at
                if renewed is False:
                    log_event("registration_lapsed", lease=self.lease)
                    self.lease = ""
                    self.on_lapse()
            await self._register()
            self.wake.clear()
            pause = random.uniform(0.8, 1.0) * _RENEW_SECONDS
            if not self.lease:
                pause = random.uniform(0.1, 0.4)
            try:
                async with asyncio.timeout(pause):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def _register(self) -> None:
        """Writes the entry unless the store already holds it.

        The store may remove a key although its lease is still valid.
        """
        if not self.lease:
            requested_at = boot_seconds()
            granted = await self.kv.grant(LEASE_SECONDS)
            if isinstance(granted, Unavailable):
                return
            self.lease = granted
            self.renewed_at = requested_at
        member = self.member
        key = MEMBERS_PREFIX + member.name
        value = msgspec.json.encode(member)
        if self.lease == self.written_lease and self.is_listed(key, value):
            self._confirm(member)
            return
        revision = 0
        match await self.kv.read(key):
            case Unavailable():
                return
            case Missing() if self.written_lease == self.lease:
                self.on_lapse()
            case Found(entry=entry):
                if entry.value == value and entry.lease == self.lease:
                    self.written_lease = self.lease
                    self._confirm(member)
                    return
                revision = entry.revision
        outcome = await self.kv.write(key, value, revision, self.lease)
        if isinstance(outcome, Written):
            self._confirm(member)
        log_event(
            "registered",
            lease=self.lease,
            leaving=member.leaving,
            informed=len(member.informed),
            outcome=type(outcome).__name__,
        )
