"""Detects failure domains that are unreachable from this front end.

Guards against a domain that is partitioned while calls run there and more are
placed there every few milliseconds. Nothing comes back, not even an error:
callers wait for their timeout on streams that have stopped, and payments are
sent to endpoints where nobody can tell whether they ran. Storage instances are
pinged anyway. When those of a domain are silent and no endpoint there has sent
a byte either, a connection attempt decides.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from rattanmill_core import log_event, loop_seconds

# Two heartbeats in a row are missing.
_STORAGE_SILENCE_SECONDS = 0.4
# Active streams send an event every 20 to 100 ms, the first one within 0.3 s.
_ENDPOINT_SILENCE_SECONDS = 0.3
_CHECK_INTERVAL_SECONDS = 0.1
# An unreachable domain is probed at this interval, since only its storage
# instance may have been killed.
_PROBE_INTERVAL_SECONDS = 0.5


class Silence(msgspec.Struct, frozen=True):
    """Time since the last sign of activity of a domain, in seconds.

    Attributes:
        storage: Since the last heartbeat of its storage instances.
        endpoints: Since the last byte from its endpoints.
    """

    storage: float
    endpoints: float


def is_suspect(silence: Silence) -> bool:
    """Whether a domain may be unreachable and should be probed."""
    return (
        silence.storage > _STORAGE_SILENCE_SECONDS
        and silence.endpoints > _ENDPOINT_SILENCE_SECONDS
    )


class DomainMonitor:
    """Tracks which failure domains a front end can reach.

    Attributes:
        unreachable: Domains that are unreachable.
        last_byte_at: Loop time of the last byte from an endpoint, by domain.
        on_unreachable: Called with a domain that became unreachable.

    Args:
        own_domain: Failure domain of this front end; never considered
            unreachable.
        storage_silence: Returns the time since the last heartbeat of each other
            domain's storage instances, in seconds.
        probe: Tries to connect to an endpoint of a domain.
    """

    def __init__(
        self,
        own_domain: str,
        storage_silence: Callable[[], dict[str, float]],
        probe: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.own_domain = own_domain
        self.storage_silence = storage_silence
        self.probe = probe
        self.unreachable: set[str] = set()
        self.last_byte_at: dict[str, float] = {}
        self.last_probe_at: dict[str, float] = {}
        self.on_unreachable: Callable[[str], None] = lambda domain: None

    def record_activity(self, domain: str) -> None:
        """Records a sign of activity from a domain."""
        self.last_byte_at[domain] = loop_seconds()
        if domain in self.unreachable:
            self.unreachable.discard(domain)
            log_event("domain_back", domain=domain)

    async def run(self) -> None:
        """Checks all domains periodically."""
        while True:
            await self.check()
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)

    async def check(self) -> None:
        """Probes suspect domains and marks those that fail as unreachable."""
        now = loop_seconds()
        never = float("-inf")
        silences = {
            domain: Silence(seconds, now - self.last_byte_at.get(domain, never))
            for domain, seconds in self.storage_silence().items()
            if domain != self.own_domain
        }
        # Its storage instances are no longer listed, as after a long partition.
        for domain in self.unreachable - set(silences):
            last_byte_at = self.last_byte_at.get(domain, never)
            silences[domain] = Silence(float("inf"), now - last_byte_at)
        suspects = {}
        for domain, silence in silences.items():
            if is_suspect(silence):
                suspects[domain] = silence
            elif domain in self.unreachable:
                self.record_activity(domain)
        # Suspects are rare, so no tasks are created without one.
        if suspects:
            await asyncio.gather(
                *(
                    self._probe(domain, each)
                    for domain, each in suspects.items()
                )
            )

    async def _probe(self, domain: str, silence: Silence) -> None:
        if (
            loop_seconds() - self.last_probe_at.get(domain, 0.0)
            < _PROBE_INTERVAL_SECONDS
        ):
            return
        self.last_probe_at[domain] = loop_seconds()
        if await self.probe(domain):
            self.record_activity(domain)
        elif domain not in self.unreachable:
            self.unreachable.add(domain)
            log_event(
                "domain_cut",
                domain=domain,
                storage_s=round(silence.storage, 3),
                endpoints_s=round(min(silence.endpoints, 9999.0), 3),
            )
            self.on_unreachable(domain)
