"""Keeps requests that crash endpoints from being sent to the next ones.

The load it answers: a caller that sends such a request again and again,
through any front. Each run costs an endpoint for seconds and breaks off what
the others had there. Three crashes are needed, since a runner that fails by
itself takes innocent requests along; one whole answer clears a request.
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
from rattanmill_forward.endpoints import Endpoint, EndpointBook
from rattanmill_forward.exchange import Pool
from rattanmill_keeper import KeeperClient
from rattanmill_policy import Quarantine

_PRINT_BYTES = 16
_LEAST_CRASHES = 3
# A process that ends may close our connection before its listening socket.
_CLOSING_SECONDS = 0.1
# Then it may run once more. Long against the seconds that an endpoint needs to
# come back; short, since an outage of several endpoints at a time may condemn
# a look-up that is the same for all callers.
_CONDEMNED_SECONDS = 30.0


class CrashGuard:
    """Counts crashes against requests and refuses those that are condemned.

    Args:
        book: The endpoints.
        pool: Tells which of them still hold connections.
        keepers: Pass notes on to other fronts.
        metrics: Counters.
    """

    def __init__(
        self,
        book: EndpointBook,
        pool: Pool,
        keepers: KeeperClient,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.pool = pool
        self.keepers = keepers
        self.metrics = metrics
        self.quarantine = Quarantine(
            _LEAST_CRASHES, round(_CONDEMNED_SECONDS * 1000)
        )
        self.tasks: set[asyncio.Task] = set()
        keepers.reach.crashes.on_notes = self.hear

    def refusal(self, fingerprint: bytes, ran: Ran) -> Refusal | None:
        """Returns the refusal for a request that must not run."""
        if not self.quarantine.is_condemned(fingerprint):
            return None
        return refuse(
            Reason.QUARANTINED,
            "endpoints crashed whenever they ran this request",
            ran=ran,
            retry_after=_CONDEMNED_SECONDS,
        )

    def broken(self, call: Call, fingerprint: bytes, there: Endpoint) -> None:
        """Finds out whether an endpoint that broke off a request is gone.

        The request does not wait for it: most are broken off for other
        reasons, and go on elsewhere.
        """
        task = asyncio.create_task(self._judge(call, fingerprint, there))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def finished(self, fingerprint: bytes) -> None:
        """Clears a request that was answered whole."""
        if self.quarantine.is_suspected(fingerprint):
            self._tell(CrashNote(fingerprint, "", _now_ms(), fingerprint))

    def hear(self, notes: list[CrashNote]) -> None:
        """Takes what other fronts have seen."""
        news = sum(map(self.quarantine.take, notes))
        if news:
            log_event("crashes_heard", count=news)
            self.metrics.count("rattanmill_quarantine", news, event="heard")

    async def _judge(
        self, call: Call, fingerprint: bytes, there: Endpoint
    ) -> None:
        at = _now_ms()
        await asyncio.sleep(_CLOSING_SECONDS)
        if not await self._is_gone(there):
            return
        # Each start is an endpoint of its own: one name may crash thrice.
        name = f"{there.name}/{there.born}"
        log_event(
            "crash_suspected",
            request=call.request,
            program=call.program,
            endpoint=there.name,
        )
        self._tell(CrashNote(fingerprint, name, at, fingerprint))

    async def _is_gone(self, there: Endpoint) -> bool:
        now = self.book.endpoints.get(there.name)
        if now is None or now.born != there.born:
            return True
        if self.pool.has_open(there):
            return False
        return await self.pool.is_refused(there)

    def _tell(self, note: CrashNote) -> None:
        if self.quarantine.take(note):
            event = "suspected" if note.endpoint else "cleared"
            self.metrics.count("rattanmill_quarantine", event=event)
            self.keepers.reach.publish_crashes([note])


def fingerprint_of(call: Call, body: bytes) -> bytes:
    """Returns what stays the same when a caller sends a request again.

    Ids and times are new each time.
    """
    digest = hashlib.blake2b(digest_size=_PRINT_BYTES)
    said = [call.method, call.host, call.target, call.affinity]
    said += [part.digest for part in call.parts]
    for text in said:
        digest.update(text.encode() + b"\0")
    digest.update(body)
    return digest.digest()


def _now_ms() -> int:
    return int(wall_seconds() * 1000)
