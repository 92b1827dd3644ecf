"""HTTP calls to the platform store: timeouts, circuit breaker, metrics.

Shared by all clients of a store, independent of its protocol.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable

import msgspec

from rattanmill_core import Metrics, log_event, warn_event

CALL_SECONDS = 2.0
REVISION_HEADER = "KV-Revision"
_BREAKER_FAILURES = 3
_BREAKER_MIN_SECONDS = 0.2
_BREAKER_MAX_SECONDS = 2.0
# A slow store replies in 0.2 s.
_TRIAL_SECONDS = 0.3
# Shorter than TCP's SYN retransmission after 1 s: a connection attempt whose
# first packet is lost is repeated at once. After a partition, waiting would
# use up most of the time in which a configuration must be in force.
CONNECT_TIMEOUT_SECONDS = 0.4


class Excess(enum.StrEnum):
    """Part of a response that exceeds its bound."""

    # Heads, chunk sizes and extensions, trailers.
    FRAMING = "framing"
    BODY = "body"


class Unavailable(msgspec.Struct, frozen=True):
    """The store did not answer; a write may still have taken effect.

    Attributes:
        why: The reason.
        excess: Part of its response that was too long, or None.
    """

    why: str
    excess: Excess | None = None


class Reply(msgspec.Struct, frozen=True):
    """A response of the store.

    Attributes:
        revision: Value of its ``KV-Revision`` header, or 0.
    """

    status: int
    body: bytes
    revision: int


class Request(msgspec.Struct, frozen=True):
    """A call of the store.

    Attributes:
        base: Base URL.
        path: Path and query.
        body: Body, or None.
        timeout: Seconds until the call counts as failed.
    """

    method: str
    base: str
    path: str
    body: bytes | None
    headers: dict[str, str]
    timeout: float


Send = Callable[[Request], Awaitable[Reply | Unavailable]]


class Breaker:
    """Circuit breaker: rejects calls after several consecutive failures.

    Without it, each request during an outage would wait for its own timeout,
    and a recovering store would receive all of them at once.

    Attributes:
        failures: Number of consecutive failures.
        open_until: Loop time until which calls are rejected.
        trial_until: Loop time until which others wait for a call that finds
            out whether the store is back.

    Args:
        max_seconds: Longest time for which the breaker stays open.
    """

    def __init__(self, max_seconds: float = _BREAKER_MAX_SECONDS) -> None:
        self.max_seconds = max_seconds
        self.failures = 0
        self.open_until = 0.0
        self.trial_until = 0.0

    def is_open(self) -> bool:
        """Returns whether calls should fail immediately."""
        return asyncio.get_running_loop().time() < self.open_until

    def admits(self) -> bool:
        """Returns whether a call may be made now.

        After a pause one call finds out whether the store is back. The others
        are rejected until it has been answered, or has taken too long.
        """
        now = asyncio.get_running_loop().time()
        if self.failures < _BREAKER_FAILURES:
            return True
        if now < max(self.open_until, self.trial_until):
            return False
        self.trial_until = now + _TRIAL_SECONDS
        return True

    def record_success(self) -> None:
        """Records an answered call and closes the breaker."""
        if self.failures >= _BREAKER_FAILURES:
            log_event("store_up", failures=self.failures)
        self.failures = 0
        self.open_until = 0.0
        self.trial_until = 0.0

    def record_failure(self, why: str = "") -> None:
        """Records a failed call; opens the breaker with jittered backoff."""
        self.failures += 1
        if self.failures < _BREAKER_FAILURES:
            return
        if self.failures == _BREAKER_FAILURES:
            warn_event("store_away", why=why, failures=self.failures)
        steps = min(self.failures - _BREAKER_FAILURES, 8)
        max_pause = min(_BREAKER_MIN_SECONDS * 2**steps, self.max_seconds)
        pause = random.uniform(max_pause / 2, max_pause)
        self.open_until = asyncio.get_running_loop().time() + pause
        self.trial_until = 0.0


class StoreCalls:
    """Calls the store and counts each call by kind.

    Args:
        base: Base URL.
        send: Sends one call by HTTP.
        metrics: Metrics that count the calls.
        pause_seconds: Longest pause after consecutive failures.
    """

    def __init__(
        self,
        base: str,
        send: Send,
        metrics: Metrics,
        pause_seconds: float = _BREAKER_MAX_SECONDS,
    ) -> None:
        self.base = base.rstrip("/")
        self.send = send
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
        prefix: str = "",
    ) -> Reply | Unavailable:
        """Makes one call; 429 and 5xx count as unavailable.

        Args:
            kind: Label of the call in the metrics.
            method: HTTP method.
            path: Path and query.
            data: Body.
            timeout: Seconds until the call counts as failed.
            try_always: Whether to call even while the breaker is open.
                Lease renewals do: otherwise a few failed writes could cost
                the instance its lease. The first answer closes the breaker.
            headers: Request headers.
            prefix: Prefix of the keys that the call is about; a label in the
                metrics.

        Returns:
            The response, or ``Unavailable``.
        """
        if not try_always and not self.breaker.admits():
            return Unavailable("circuit open")
        self.metrics.count("rattanmill_kv_calls", kind=kind, prefix=prefix)
        reply = await self.send(
            Request(method, self.base, path, data, headers or {}, timeout)
        )
        failure = _describe_failure(reply)
        if failure is None:
            self.breaker.record_success()
            return reply
        self.breaker.record_failure(failure)
        self.metrics.count("rattanmill_kv_failures", kind=kind, prefix=prefix)
        excess = reply.excess if isinstance(reply, Unavailable) else None
        if excess:
            self._record_excess(kind, prefix, failure, excess)
        return Unavailable(failure, excess)

    def _record_excess(
        self, kind: str, prefix: str, why: str, excess: Excess
    ) -> None:
        self.metrics.count("rattanmill_kv_oversized", kind=kind, part=excess)
        warn_event("store_reply_oversized", kind=kind, prefix=prefix, why=why)


def _describe_failure(reply: Reply | Unavailable) -> str | None:
    if isinstance(reply, Unavailable):
        return reply.why
    if reply.status >= 500 or reply.status == 429:
        return f"status {reply.status}"
    return None
