"""Quarantines requests that crash endpoints, so they crash no others."""

import asyncio
import contextlib
import hashlib
import time
from collections.abc import AsyncIterator

import msgspec

from rattanmill_core import CrashNote, Ran, Reason, Refusal, part_logger, refuse
from rattanmill_entry.chatbody import ChatBody
from rattanmill_entry.engines import EndpointMonitor, ProbeResult
from rattanmill_entry.node import Node
from rattanmill_entry.signs import NoteExchange
from rattanmill_entry.upstream import Failed
from rattanmill_policy import EndpointState, Outcome
from rattanmill_wire import CallStart

_log = part_logger("quarantine")
_FINGERPRINT_BYTES = 16
# Time for the other instances to report what they had in flight.
_REPORT_WAIT_SECONDS = 0.2
# An outage of a failure domain shows at several endpoints within this time.
_OUTAGE_WINDOW_SECONDS = 0.3
_PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.3)
_MIN_OUTAGE_ENDPOINTS = 3
_SIBLINGS_PROBED = 4
_MAX_EXCUSED = 10_000
# Delay between the retries of two suspects. A request that crashes its
# endpoint mostly does so within it.
_RETRY_SPACING_SECONDS = 0.4
# Maximum time that a suspect waits for another one at the same endpoint.
_MAX_ISOLATION_WAIT_SECONDS = 2.0
# Shorter messages, such as "go on", occur in many programs. A crash that they
# cause with one program's history is no reason to refuse them in another.
_MIN_DISTINCTIVE_BYTES = 256


class CrashGuard:
    """Counts crashes per request and refuses quarantined requests.

    Args:
        node: The daemon's context.
        note_exchange: Stores and publishes suspicions.
        watch: Probes endpoints to confirm crashes.
    """

    def __init__(
        self, node: Node, note_exchange: NoteExchange, watch: EndpointMonitor
    ) -> None:
        self.node = node
        self.note_exchange = note_exchange
        self.watch = watch
        self.locks: dict[str, asyncio.Lock] = {}
        self.excused: set[bytes] = set()

    def refusal(self, fingerprints: list[bytes], ran: Ran) -> Refusal | None:
        """Returns the refusal of a quarantined request, else None."""
        quarantine = self.note_exchange.quarantine
        if not any(quarantine.is_quarantined(each) for each in fingerprints):
            return None
        detail = "Endpoints crashed whenever they ran this request."
        return refuse(Reason.QUARANTINED, detail, ran=ran)

    @contextlib.asynccontextmanager
    async def isolate(
        self, fingerprints: list[bytes], state: EndpointState
    ) -> AsyncIterator[None]:
        """Runs suspects one at a time, so that a crash has a single cause."""
        quarantine = self.note_exchange.quarantine
        if not any(quarantine.is_suspected(each) for each in fingerprints):
            yield
            return
        name = state.endpoint.name
        lock = self.locks.setdefault(name, asyncio.Lock())
        # Bounded, since the innocent requests of a large batch would
        # otherwise run one by one.
        locked = await _acquire(lock, _MAX_ISOLATION_WAIT_SECONDS)
        try:
            yield
        finally:
            if locked:
                lock.release()

    async def handle_broken_attempt(
        self, fingerprints: list[bytes], state: EndpointState
    ) -> Refusal | None:
        """Counts a crash if the endpoint is down; refuses at the limit.

        A broken stream of an endpoint that still responds is no crash. When
        several endpoints of a failure domain fail at the same time, the cause
        is an outage, not a request. Counting continues if the caller
        disconnects meanwhile.
        """
        task = self.node.spawn(self._count_crash(fingerprints, state))
        return await asyncio.shield(task)

    async def delay_retry(self, fingerprints: list[bytes]) -> None:
        """Delays the retry of a suspect, so that suspects run one by one.

        Instances that retried them at the same moment could send two to the
        same endpoint again. Its crash would not show which one caused it, and
        the culprit would crash a third endpoint.
        """
        positions = map(
            self.note_exchange.quarantine.retry_position, fingerprints
        )
        delay = max(positions, default=0) * _RETRY_SPACING_SECONDS
        await asyncio.sleep(min(delay, _MAX_ISOLATION_WAIT_SECONDS))

    async def _count_crash(
        self, fingerprints: list[bytes], state: EndpointState
    ) -> Refusal | None:
        if not await self._is_down(state):
            return None
        name = state.endpoint.name
        at = int(time.time() * 1000)
        await self.watch.probe_siblings(state, _SIBLINGS_PROBED)
        await asyncio.sleep(_OUTAGE_WINDOW_SECONDS)
        if self._is_outage(state) and self._excuse(fingerprints[0]):
            self.node.metrics.count("rattanmill_quarantine", event="outage")
            return None
        self.note_exchange.record_crashes(
            [
                CrashNote(each, name, at, fingerprints[0])
                for each in fingerprints
            ]
        )
        _log.warning("Endpoint {} crashed with a request in flight.", name)
        await asyncio.sleep(_REPORT_WAIT_SECONDS)
        refusal = self.refusal(fingerprints, Ran.UNKNOWN)
        if refusal:
            self.node.metrics.count("rattanmill_quarantine", event="condemned")
        return refusal

    async def _is_down(self, state: EndpointState) -> bool:
        """Whether an endpoint that broke a connection refuses new ones.

        Probes more than once: a process that ends may close this connection
        before its listening socket, which still accepts the first probe.
        """
        for delay in _PROBE_DELAYS_SECONDS:
            await asyncio.sleep(delay)
            if await self.watch.probe(state) is ProbeResult.REFUSED:
                return True
        return False

    async def after_attempt(
        self, fingerprints: list[bytes], result: object, endpoint: str
    ) -> Refusal | None:
        """Records the result of an attempt at a plain service."""
        state = self.node.table.states.get(endpoint)
        if not isinstance(result, Failed):
            self.record_completed(fingerprints)
        elif result.outcome is Outcome.BROKEN and state:
            return await self.handle_broken_attempt(fingerprints, state)
        return None

    def _is_outage(self, state: EndpointState) -> bool:
        """Whether half of a domain, at least three endpoints, failed at once.

        Otherwise all requests in flight there would be suspected, published
        to all instances and run one by one, just when the other domains have
        the least capacity left.
        """
        since = asyncio.get_running_loop().time() - 2 * _OUTAGE_WINDOW_SECONDS
        siblings = [
            other
            for other in self.node.table.states.values()
            if other.endpoint.domain == state.endpoint.domain
            and other.endpoint.kind == state.endpoint.kind
        ]
        lost = sum(
            s.reach.closed and s.reach.changed_at > since for s in siblings
        )
        return lost >= _MIN_OUTAGE_ENDPOINTS and lost * 2 >= len(siblings)

    def _excuse(self, fingerprint: bytes) -> bool:
        """Whether an outage excuses this crash; a second one is counted.

        Copies of one request that crash several endpoints at the same moment
        look like an outage, too.
        """
        if fingerprint in self.excused:
            return False
        if len(self.excused) >= _MAX_EXCUSED:
            self.excused.clear()
        self.excused.add(fingerprint)
        return True

    def record_completed(self, fingerprints: list[bytes]) -> None:
        """Clears the suspicion of a request that completed."""
        at = int(time.time() * 1000)
        self.note_exchange.record_crashes(
            [
                CrashNote(each, "", at)
                for each in fingerprints
                if self.note_exchange.quarantine.is_suspected(each)
            ]
        )


async def _acquire(lock: asyncio.Lock, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            return await lock.acquire()
    except TimeoutError:
        return False


def chat_fingerprints(chat: ChatBody, messages: list[bytes]) -> list[bytes]:
    """Returns the fingerprints of a chat call with its whole conversation.

    One covers the whole conversation: it stays the same when the caller
    repeats the conversation as another program. The other covers the messages
    since the last answer, for a caller that starts over and gets different
    answers on the way.
    """
    new = messages[_after_answer(messages) :]
    fingerprints = [_fingerprint(chat, messages)]
    if new != messages and sum(map(len, new)) >= _MIN_DISTINCTIVE_BYTES:
        fingerprints.append(_fingerprint(chat, new))
    return fingerprints


def service_fingerprints(start: CallStart) -> list[bytes]:
    """Returns the fingerprint of a call to a plain service.

    The idempotency key is not included: a caller that learns that the outcome
    is unknown may repeat the request under another key.
    """
    head = msgspec.msgpack.encode([start.method, start.service, start.path])
    digest = hashlib.blake2b(head, digest_size=_FINGERPRINT_BYTES)
    digest.update(start.body)
    return [digest.digest()]


def _after_answer(messages: list[bytes]) -> int:
    for index in range(len(messages), 0, -1):
        if b'"role":"assistant"' in messages[index - 1]:
            return index
    return 0


def _fingerprint(chat: ChatBody, messages: list[bytes]) -> bytes:
    asked = msgspec.structs.replace(chat, messages=messages)
    return asked.digest[:_FINGERPRINT_BYTES]
