"""Tells which failure domains are out of reach of this front.

The load it answers: a domain is cut off while calls run there and more are
placed there every few milliseconds. Nothing comes back, not even an error:
callers wait out their time on streams that have stopped, and payments go where
nobody can say whether they ran. Storage instances are asked for signs of life
anyway; when those of a domain are silent and no endpoint there has sent a byte
either, a connection attempt decides.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from rattanmill_core import log_event, loop_seconds

# Two signs of life that were due have not come.
_STORAGE_SECONDS = 0.4
# Streams in use bring an event each 20 to 100 ms, first ones within 0.3 s.
_ENDPOINT_SECONDS = 0.3
_TICK_SECONDS = 0.1
# A domain that is taken for cut off is tried again so often; its storage
# instance may only have been killed.
_AGAIN_SECONDS = 0.5


class Silence(msgspec.Struct, frozen=True):
    """For how long nothing has come from a domain, in seconds.

    Attributes:
        storage: From its storage instances.
        endpoints: From its endpoints.
    """

    storage: float
    endpoints: float


def is_suspect(silence: Silence) -> bool:
    """Whether a domain should be tried, since it may be out of reach."""
    return (
        silence.storage > _STORAGE_SECONDS
        and silence.endpoints > _ENDPOINT_SECONDS
    )


class Domains:
    """Failure domains as a front reaches them.

    Attributes:
        cut: Those that are out of reach.
        heard: Loop time of the last byte of an endpoint, by domain.
        on_cut: Called with a domain that has got out of reach.

    Args:
        own: Failure domain of this front; never taken for cut off.
        storage_silence: Returns for how long each other domain's storage
            instances have been silent, in seconds.
        try_domain: Tries to reach an endpoint of a domain.
    """

    def __init__(
        self,
        own: str,
        storage_silence: Callable[[], dict[str, float]],
        try_domain: Callable[[str], Awaitable[bool]],
    ) -> None:
        self.own = own
        self.storage_silence = storage_silence
        self.try_domain = try_domain
        self.cut: set[str] = set()
        self.heard: dict[str, float] = {}
        self.tried: dict[str, float] = {}
        self.on_cut: Callable[[str], None] = lambda domain: None

    def hear(self, domain: str) -> None:
        """Takes a sign of life of one of its endpoints."""
        self.heard[domain] = loop_seconds()
        if domain in self.cut:
            self.cut.discard(domain)
            log_event("domain_back", domain=domain)

    async def watch_for_ever(self) -> None:
        """Looks at all domains again and again."""
        while True:
            await self.review()
            await asyncio.sleep(_TICK_SECONDS)

    async def review(self) -> None:
        """Tries the domains that are suspect, and takes them for cut off."""
        now = loop_seconds()
        never = float("-inf")
        silences = {
            domain: Silence(seconds, now - self.heard.get(domain, never))
            for domain, seconds in self.storage_silence().items()
            if domain != self.own
        }
        # Its storage instances are not listed any more, as after a long cut.
        for domain in self.cut - set(silences):
            heard = self.heard.get(domain, never)
            silences[domain] = Silence(float("inf"), now - heard)
        suspects = {}
        for domain, silence in silences.items():
            if is_suspect(silence):
                suspects[domain] = silence
            elif domain in self.cut:
                self.hear(domain)
        # Hardly ever any: no tasks are made for those that are there.
        if suspects:
            await asyncio.gather(
                *(self._try(domain, each) for domain, each in suspects.items())
            )

    async def _try(self, domain: str, silence: Silence) -> None:
        if loop_seconds() - self.tried.get(domain, 0.0) < _AGAIN_SECONDS:
            return
        self.tried[domain] = loop_seconds()
        if await self.try_domain(domain):
            self.hear(domain)
        elif domain not in self.cut:
            self.cut.add(domain)
            log_event(
                "domain_cut",
                domain=domain,
                storage_s=round(silence.storage, 3),
                endpoints_s=round(min(silence.endpoints, 9999.0), 3),
            )
            self.on_cut(domain)
