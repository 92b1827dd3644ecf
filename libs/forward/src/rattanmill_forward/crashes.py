"""Quarantines requests that crash endpoints.

Guards against a caller that sends such a request again and again, through any
front end. Each run costs an endpoint for seconds and breaks off the other calls
there. Three crashes are needed, since an endpoint that fails for its own
reasons takes innocent requests along; one complete response clears a request.
"""

import asyncio
import hashlib

from rattanmill_core import (
    CrashNote,
    Metrics,
    Ran,
    Reason,
    Refusal,
    log_event,
    refuse,
    wall_seconds,
)
from rattanmill_forward.calls import Call
from rattanmill_forward.endpoints import Endpoint, EndpointRegistry
from rattanmill_forward.exchange import ConnectionPool
from rattanmill_keeper import KeeperClient
from rattanmill_policy import Quarantine

_FINGERPRINT_BYTES = 16
_MIN_CRASHES = 3
# A process that terminates may close its open connections before its listening
# socket.
_SOCKET_CLOSE_SECONDS = 0.1
# After this time, the request may run once more. Long compared to the seconds
# that an endpoint needs to come back; short, since an outage of several
# endpoints at a time may quarantine a look-up that is the same for all callers.
_QUARANTINE_SECONDS = 30.0


class CrashGuard:
    """Counts crashes per request and refuses requests in quarantine.

    Args:
        registry: The registered endpoints.
        pool: Shows which endpoints still hold connections.
        keepers: Forward crash notes to other front ends.
        metrics: Counters.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        pool: ConnectionPool,
        keepers: KeeperClient,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.pool = pool
        self.keepers = keepers
        self.metrics = metrics
        self.quarantine = Quarantine(
            _MIN_CRASHES, round(_QUARANTINE_SECONDS * 1000)
        )
        self.tasks: set[asyncio.Task] = set()
        keepers.reach.crashes.on_notes = self.record_notes

    def refusal(self, fingerprint: bytes, ran: Ran) -> Refusal | None:
        """Returns the refusal for a request in quarantine, or None."""
        if not self.quarantine.is_quarantined(fingerprint):
            return None
        return refuse(
            Reason.QUARANTINED,
            "endpoints crashed whenever they ran this request",
            ran=ran,
            retry_after=_QUARANTINE_SECONDS,
        )

    def report_broken(
        self, call: Call, fingerprint: bytes, endpoint: Endpoint
    ) -> None:
        """Checks whether an endpoint that broke off a request has terminated.

        Runs in the background, so the request is not delayed: most are broken
        off for other reasons and continue on another endpoint.
        """
        task = asyncio.create_task(
            self._check_endpoint(call, fingerprint, endpoint)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def clear(self, fingerprint: bytes) -> None:
        """Clears a request that got a complete response."""
        if self.quarantine.is_suspected(fingerprint):
            self._publish(CrashNote(fingerprint, "", _now_ms(), fingerprint))

    def record_notes(self, notes: list[CrashNote]) -> None:
        """Records crash notes from other front ends."""
        new_count = sum(map(self.quarantine.record, notes))
        if new_count:
            log_event("crashes_heard", count=new_count)
            self.metrics.count(
                "rattanmill_quarantine", new_count, event="heard"
            )

    async def _check_endpoint(
        self, call: Call, fingerprint: bytes, endpoint: Endpoint
    ) -> None:
        crashed_at_ms = _now_ms()
        await asyncio.sleep(_SOCKET_CLOSE_SECONDS)
        if not await self._has_terminated(endpoint):
            return
        # Each start counts as a separate endpoint: one name may crash three
        # times.
        name = f"{endpoint.name}/{endpoint.started_ms}"
        log_event(
            "crash_suspected",
            request=call.request_id,
            program=call.program,
            endpoint=endpoint.name,
        )
        self._publish(CrashNote(fingerprint, name, crashed_at_ms, fingerprint))

    async def _has_terminated(self, endpoint: Endpoint) -> bool:
        current = self.registry.endpoints.get(endpoint.name)
        if current is None or current.started_ms != endpoint.started_ms:
            return True
        if self.pool.has_open_idle(endpoint):
            return False
        return await self.pool.refuses_connections(endpoint)

    def _publish(self, note: CrashNote) -> None:
        if self.quarantine.record(note):
            event = "suspected" if note.endpoint else "cleared"
            self.metrics.count("rattanmill_quarantine", event=event)
            self.keepers.reach.publish_crashes([note])


def fingerprint_of(call: Call, body: bytes) -> bytes:
    """Returns a hash of what stays the same when a request is sent again.

    Ids and times are left out because they are new each time.
    """
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    identity = [call.scope, call.method, call.host, call.target]
    identity.append(call.affinity_key)
    identity += [part.digest for part in call.prompt_parts]
    for text in identity:
        digest.update(text.encode() + b"\0")
    digest.update(body)
    return digest.digest()


def _now_ms() -> int:
    return int(wall_seconds() * 1000)
