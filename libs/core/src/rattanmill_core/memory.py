"""Admission of what callers send by the memory that it takes.

Each message may be as large as the configuration allows, but many of them at
once exceed the memory of a machine. What is held for a request is therefore
reserved before it is read. If there is no room, messages that have stalled give
theirs back; otherwise the new one is refused.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Self

import msgspec

from rattanmill_core import heap
from rattanmill_core.events import RepeatedEvent, loop_seconds

_MB = 1024 * 1024
# Memory of a process that has served calls for a while, without what it holds
# for them.
_BASE_BYTES = 52 * _MB
# Of the rest, what bodies may take; connections, caches and the allocator's
# losses need the others.
_BODIES_SHARE = 0.4
_MIN_BODIES_BYTES = 4 * _MB
_DEFAULT_LIMIT_BYTES = 64 * _MB
# Larger reservations leave a share to smaller ones.
_LARGE_BYTES = 256 * 1024
_LARGE_SHARE = 0.75
# Up to this share, what can be done without is held, too.
_SPARE_SHARE = 0.5
# A message that arrives more slowly, on average since it began, has stalled.
_STALLED_SECONDS = 1.0
_LEAST_BYTES_PER_SECOND = 16 * 1024
# Bytes given back since the heap was last trimmed, which takes time, from which
# on it is trimmed again.
_TRIM_AFTER_BYTES = 4 * _MB
_ADAPT_INTERVAL_SECONDS = 0.5


def bodies_bytes(memory_bytes: int, overhead_bytes: int = _BASE_BYTES) -> int:
    """Returns how much of a machine's memory may be held for requests.

    Args:
        memory_bytes: Memory of the machine.
        overhead_bytes: What the process takes of it besides, if that is more
            than usual.
    """
    free_bytes = memory_bytes - max(overhead_bytes, _BASE_BYTES)
    return max(_MIN_BODIES_BYTES, int(free_bytes * _BODIES_SHARE))


class Progress(msgspec.Struct):
    """How far a message has arrived.

    Attributes:
        began_at: Time in seconds at which it began.
        received_bytes: What has arrived of it.
        received_at: Time in seconds at which something last arrived.
    """

    began_at: float
    received_bytes: int = 0
    received_at: float = 0.0

    def is_stalled(self, now: float) -> bool:
        """Whether it makes no progress, or next to none."""
        age = now - self.began_at
        if age <= _STALLED_SECONDS:
            return False
        silence = now - max(self.began_at, self.received_at)
        return (
            silence > _STALLED_SECONDS
            or self.received_bytes < age * _LEAST_BYTES_PER_SECOND
        )


class HeldMemory:
    """Memory reserved for one request; a context manager gives it back.

    Attributes:
        size: Reserved bytes.
        progress: How far the request has arrived; None if it is whole, or if
            nothing is known of it yet.
        revoke: Ends the request, which has stalled.

    Args:
        budget: Where the memory is reserved.
    """

    def __init__(self, budget: "MemoryBudget") -> None:
        self.budget = budget
        self.size = 0
        self.progress: Progress | None = None
        self.revoke: Callable[[], None] = _do_nothing

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.finish()
        self.release()

    def begin(self, revoke: Callable[[], None]) -> None:
        """Notes that the request arrives from now on.

        Args:
            revoke: Called if its memory is needed while it has stalled.
        """
        self.progress = Progress(loop_seconds())
        self.revoke = revoke
        self.budget.arriving[self] = self.progress

    def receive(self, size: int) -> None:
        """Notes that a piece of the request has arrived."""
        if self.progress is not None:
            self.progress.received_bytes += size
            self.progress.received_at = loop_seconds()

    def finish(self) -> None:
        """Notes that the request is whole; it can't be revoked any more."""
        self.progress = None
        self.revoke = _do_nothing
        self.budget.arriving.pop(self, None)

    def grow(self, size: int) -> bool:
        """Reserves more; returns False if there is no room."""
        if not self.budget.make_room(self, size):
            return False
        self.size += size
        self.budget.held_bytes += size
        if self.size > _LARGE_BYTES:
            self.budget.large.add(self)
        return True

    def grow_spare(self, size: int) -> bool:
        """Reserves more for what can be done without.

        Returns:
            False if others may soon need the memory.
        """
        budget = self.budget
        spare_bytes = budget.limit_bytes * _SPARE_SHARE - budget.held_bytes
        return size <= spare_bytes and self.grow(size)

    def cover(self, size: int) -> bool:
        """Reserves what is missing up to a size; False if there is no room."""
        return size <= self.size or self.grow(size - self.size)

    def shrink(self, size: int) -> None:
        """Gives a part back."""
        self.size -= size
        self.budget.held_bytes -= size
        self.budget.returned_bytes += size
        if self.size <= _LARGE_BYTES:
            self.budget.large.discard(self)

    def release(self) -> None:
        """Gives all of it back."""
        self.shrink(self.size)


class MemoryBudget:
    """Memory that may be held for requests.

    Attributes:
        limit_bytes: Maximum of ``held_bytes``. One large request at a time may
            exceed it, so that the largest that is allowed is served.
        held_bytes: Reserved bytes.
        returned_bytes: Bytes that were given back so far.
        large: Large reservations.
        arriving: Memory of requests that have not arrived as a whole.

    Args:
        limit_bytes: See above.
    """

    def __init__(self, limit_bytes: int = _DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.returned_bytes = 0
        self.large: set[HeldMemory] = set()
        self.arriving: dict[HeldMemory, Progress] = {}

    def hold(self) -> HeldMemory:
        """Returns memory for one request, nothing so far."""
        return HeldMemory(self)

    def make_room(self, asking: HeldMemory, size: int) -> bool:
        """Whether a reservation may grow, after stalled ones were revoked."""
        excess = self._excess_bytes(asking, size)
        if excess <= 0:
            return True
        others = (each for each in self.arriving.items() if each[0] != asking)
        for victim in choose_revoked(others, excess, loop_seconds()):
            self._revoke(victim)
        return self._excess_bytes(asking, size) <= 0

    def revoke_stalled(self) -> bool:
        """Ends the request that has stalled longest; False if none has."""
        victims = choose_revoked(self.arriving.items(), 1, loop_seconds())
        for victim in victims:
            self._revoke(victim)
        return bool(victims)

    def _excess_bytes(self, asking: HeldMemory, size: int) -> float:
        """Returns by how much the limit would be exceeded."""
        if not size:
            return 0.0
        others = self.large - {asking}
        if asking.size + size > _LARGE_BYTES:
            room = self.limit_bytes * _LARGE_SHARE - self.held_bytes
            return size - room if others else 0.0
        small_bytes = self.held_bytes - sum(other.size for other in others)
        small_room = self.limit_bytes * (1 - _LARGE_SHARE) - small_bytes
        return size - max(self.limit_bytes - self.held_bytes, small_room)

    def _revoke(self, victim: HeldMemory) -> None:
        revoke = victim.revoke
        victim.finish()
        victim.release()
        revoke()


class MemoryAdaptation:
    """Adapts a budget to what the process takes besides.

    That depends on the platform, and grows with the connections and calls that
    it has served: what was freed stays in its heap, in part.

    Attributes:
        trimmed_at_bytes: ``returned_bytes`` of the budget when the heap was
            last trimmed.
        is_short: Whether no more than the least is left for requests.

    Args:
        budget: The budget.
        memory_bytes: Memory of the machine.
    """

    def __init__(self, budget: MemoryBudget, memory_bytes: int) -> None:
        self.budget = budget
        self.memory_bytes = memory_bytes
        self.trimmed_at_bytes = 0
        self.is_short = False
        self.shortage = RepeatedEvent("memory_short")

    async def run(self) -> None:
        """Adapts the budget until it is cancelled."""
        while True:
            await asyncio.sleep(_ADAPT_INTERVAL_SECONDS)
            if self.is_trim_due():
                heap.trim()
                self.trimmed_at_bytes = self.budget.returned_bytes
            resident_bytes = heap.resident_bytes()
            if resident_bytes is not None:
                self.adapt(resident_bytes)

    def is_trim_due(self) -> bool:
        """Whether enough was given back for the heap to be trimmed."""
        returned_bytes = self.budget.returned_bytes - self.trimmed_at_bytes
        return returned_bytes >= _TRIM_AFTER_BYTES

    def adapt(self, resident_bytes: int) -> None:
        """Sets the limit by the memory that the process takes."""
        overhead_bytes = resident_bytes - self.budget.held_bytes
        limit_bytes = bodies_bytes(self.memory_bytes, overhead_bytes)
        self.budget.limit_bytes = limit_bytes
        was_short, self.is_short = (
            self.is_short,
            limit_bytes <= _MIN_BODIES_BYTES,
        )
        if self.is_short and not was_short:
            self.shortage.record(
                overhead_bytes=overhead_bytes, limit_bytes=limit_bytes
            )


def choose_revoked(
    arriving: Iterable[tuple[HeldMemory, Progress]],
    needed_bytes: float,
    now: float,
) -> list[HeldMemory]:
    """Returns the reservations that are given up for others.

    Those that have stalled longest go first, and only if together they give
    enough back.

    Args:
        arriving: Memory of requests that arrive, and their progress.
        needed_bytes: What has to be given back.
        now: Time in seconds.
    """
    stalled = sorted(
        (each for each in arriving if each[1].is_stalled(now)),
        key=lambda each: (each[1].received_at, each[1].began_at),
    )
    chosen = []
    for reservation, _ in stalled:
        if needed_bytes <= 0:
            break
        chosen.append(reservation)
        needed_bytes -= max(reservation.size, 1)
    return chosen if needed_bytes <= 0 else []


def _do_nothing() -> None:
    pass
