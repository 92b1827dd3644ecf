"""HTTP calls to the key-value service: time-outs, breaker, counts.

Every client of such a service builds on this, whatever its protocol.
"""

import asyncio
import random

import aiohttp
import msgspec

from rattanmill_core import Metrics, log_event, warn_event

CALL_SECONDS = 2.0
_BREAKER_FAILURES = 3
_BREAKER_LEAST_SECONDS = 0.2
_BREAKER_MOST_SECONDS = 2.0
# A connection attempt whose first packet is lost is made anew instead of
# waiting for the next packet, a second later: after a cut that would cost
# most of the time in which a configuration must be in force.
_CONNECT_SECONDS = 0.4


class Unavailable(msgspec.Struct, frozen=True):
    """No answer; a write may have taken effect all the same."""

    why: str


class Reply(msgspec.Struct, frozen=True):
    """An answer of the service.

    Attributes:
        revision: What its header ``KV-Revision`` says, or 0.
    """

    status: int
    body: bytes
    revision: int


class Breaker:
    """Stops calls for a while after several failures in a row.

    Without it each request of an outage would wait for its own time-out, and
    the returning service would meet all of them at once.
    """

    def __init__(self, most_seconds: float = _BREAKER_MOST_SECONDS) -> None:
        self.most_seconds = most_seconds
        self.failures = 0
        self.open_until = 0.0

    def is_open(self) -> bool:
        """Whether calls should fail at once."""
        return asyncio.get_running_loop().time() < self.open_until

    def succeeded(self) -> None:
        """Records an answer."""
        if self.failures >= _BREAKER_FAILURES:
            log_event("store_up", failures=self.failures)
        self.failures = 0
        self.open_until = 0.0

    def failed(self, why: str = "") -> None:
        """Records a missing answer; opens with jittered back-off."""
        self.failures += 1
        if self.failures < _BREAKER_FAILURES:
            return
        if self.failures == _BREAKER_FAILURES:
            warn_event("store_away", why=why, failures=self.failures)
        steps = min(self.failures - _BREAKER_FAILURES, 8)
        most = min(_BREAKER_LEAST_SECONDS * 2**steps, self.most_seconds)
        pause = random.uniform(most / 2, most)
        self.open_until = asyncio.get_running_loop().time() + pause


class StoreCalls:
    """Calls the service, counting each call by kind.

    Args:
        base: Base URL.
        session: HTTP session of the process.
        metrics: Where calls are counted.
        pause_seconds: Longest pause after failures in a row.
    """

    def __init__(
        self,
        base: str,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        pause_seconds: float = _BREAKER_MOST_SECONDS,
    ) -> None:
        self.base = base.rstrip("/")
        self.session = session
        self.metrics = metrics
        self.breaker = Breaker(pause_seconds)

    async def call(
        self,
        kind: str,
        method: str,
        path: str,
        data: bytes | None = None,
        *,
        timeout: float = CALL_SECONDS,
        try_always: bool = False,
        headers: dict[str, str] | None = None,
    ) -> Reply | Unavailable:
        """Makes one call; 429 and 5xx count as no answer.

        Args:
            kind: Names the call in the counters.
            method: HTTP method.
            path: Path and query.
            data: Body.
            timeout: Seconds until it counts as unanswered.
            try_always: Whether it is made even while the breaker is open.
                Renewals are: a few refused writes would otherwise cost the
                instance its lease, and the first one answered closes the
                breaker.
            headers: Headers of the request.
        """
        if self.breaker.is_open() and not try_always:
            return Unavailable("circuit open")
        self.metrics.count("rattanmill_kv_calls", kind=kind)
        try:
            async with self.session.request(
                method,
                self.base + path,
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout, sock_connect=_CONNECT_SECONDS
                ),
            ) as answer:
                body = await answer.read()
                if answer.status >= 500 or answer.status == 429:
                    raise aiohttp.ClientError(f"status {answer.status}")
                self.breaker.succeeded()
                revision = int(answer.headers.get("KV-Revision", 0))
                return Reply(answer.status, body, revision)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            why = str(error or "time-out")
            self.breaker.failed(why)
            self.metrics.count("rattanmill_kv_failures", kind=kind)
            return Unavailable(why)
