"""Keeps requests that crash endpoints from being sent to the next ones."""

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
from rattanmill_entry.signs import Signs
from rattanmill_entry.upstream import Failed
from rattanmill_policy import EndpointState, Outcome
from rattanmill_wire import CallStart

_log = part_logger("quarantine")
_PRINT_BYTES = 16
# Time for the other instances to report what they had in flight.
_REPORT_SECONDS = 0.2
# Time in which an outage of a failure domain shows at several endpoints.
_OTHERS_SECONDS = 0.3
_GONE_PAUSES_SECONDS = (0.0, 0.1, 0.3)
_MANY = 3
_LOOKED_AT = 4
_MOST_EXCUSED = 10_000
# Time that a suspect has for itself before the next one runs: a request that
# crashes its endpoint mostly does so within it.
_APART_SECONDS = 0.4
# Longest time that a suspect waits for another to leave an endpoint.
_ALONE_SECONDS = 2.0
# Shorter ones, such as "go on", are said in many programs: what one program's
# history makes of them is no reason to refuse them in another.
_LEAST_TELLING_BYTES = 256


class CrashGuard:
    """Counts crashes against requests and refuses those that are condemned.

    Args:
        node: The daemon's context.
        signs: Holds and tells suspicions.
        watch: Confirms crashes.
    """

    def __init__(
        self, node: Node, signs: Signs, watch: EndpointMonitor
    ) -> None:
        self.node = node
        self.signs = signs
        self.watch = watch
        self.locks: dict[str, asyncio.Lock] = {}
        self.excused: set[bytes] = set()

    def refusal(self, prints: list[bytes], ran: Ran) -> Refusal | None:
        """Returns the refusal for a request that must not run."""
        quarantine = self.signs.quarantine
        if not any(quarantine.is_quarantined(each) for each in prints):
            return None
        detail = "Endpoints crashed whenever they ran this request."
        return refuse(Reason.QUARANTINED, detail, ran=ran)

    @contextlib.asynccontextmanager
    async def alone(
        self, prints: list[bytes], state: EndpointState
    ) -> AsyncIterator[None]:
        """Keeps suspects apart, so that a crash shows which is to blame."""
        quarantine = self.signs.quarantine
        if not any(quarantine.is_suspected(each) for each in prints):
            yield
            return
        name = state.endpoint.name
        lock = self.locks.setdefault(name, asyncio.Lock())
        # Bounded: many innocents of a large batch would else run one by one.
        locked = await _acquire(lock, _ALONE_SECONDS)
        try:
            yield
        finally:
            if locked:
                lock.release()

    async def after_broken(
        self, prints: list[bytes], state: EndpointState
    ) -> Refusal | None:
        """Counts a crash if the endpoint is gone; refuses if it was enough.

        A stream that breaks at an endpoint which still answers is no crash,
        and when several endpoints of a failure domain go at the same time it
        was not a request.
        Counting goes on when the caller has gone meanwhile.
        """
        task = self.node.spawn(self._count_crash(prints, state))
        return await asyncio.shield(task)

    async def before_retry(self, prints: list[bytes]) -> None:
        """Lets suspects of a crash run again one after the other.

        Instances that moved them on at the same moment would put two on the
        same endpoint again. Its crash would tell nothing of either, and the
        one to blame would cost a third endpoint.
        """
        places = map(self.signs.quarantine.retry_position, prints)
        pause = max(places, default=0) * _APART_SECONDS
        await asyncio.sleep(min(pause, _ALONE_SECONDS))

    async def _count_crash(
        self, prints: list[bytes], state: EndpointState
    ) -> Refusal | None:
        if not await self._is_gone(state):
            return None
        name = state.endpoint.name
        at = int(time.time() * 1000)
        await self.watch.probe_siblings(state, _LOOKED_AT)
        await asyncio.sleep(_OTHERS_SECONDS)
        if self._is_outage(state) and self._excuse(prints[0]):
            self.node.metrics.count("rattanmill_quarantine", event="outage")
            return None
        self.signs.crashed(
            [CrashNote(each, name, at, prints[0]) for each in prints]
        )
        _log.warning("Endpoint {} crashed with a request in flight.", name)
        await asyncio.sleep(_REPORT_SECONDS)
        refusal = self.refusal(prints, Ran.UNKNOWN)
        if refusal:
            self.node.metrics.count("rattanmill_quarantine", event="condemned")
        return refusal

    async def _is_gone(self, state: EndpointState) -> bool:
        """Whether an endpoint that broke a connection is not there any more.

        Asked again: a process that ends may close our connection before its
        listening socket, where the first probe is still let in.
        """
        for pause in _GONE_PAUSES_SECONDS:
            await asyncio.sleep(pause)
            if await self.watch.probe(state) is ProbeResult.REFUSED:
                return True
        return False

    async def after_attempt(
        self, prints: list[bytes], result: object, endpoint: str
    ) -> Refusal | None:
        """Learns from an attempt at a plain service."""
        state = self.node.table.states.get(endpoint)
        if not isinstance(result, Failed):
            self.finished(prints)
        elif result.outcome is Outcome.BROKEN and state:
            return await self.after_broken(prints, state)
        return None

    def _is_outage(self, state: EndpointState) -> bool:
        """Whether half of a domain was lost at the same time, at least three.

        All that was in flight there would be suspected, told to everybody,
        and run one by one, just when the other domains have least room.
        """
        since = asyncio.get_running_loop().time() - 2 * _OTHERS_SECONDS
        beside = [
            other
            for other in self.node.table.states.values()
            if other.endpoint.domain == state.endpoint.domain
            and other.endpoint.kind == state.endpoint.kind
        ]
        lost = sum(
            s.reach.closed and s.reach.changed_at > since for s in beside
        )
        return lost >= _MANY and lost * 2 >= len(beside)

    def _excuse(self, fingerprint: bytes) -> bool:
        """Whether an outage explains this loss; a second one is counted.

        Copies of one request that crash several endpoints at the same moment
        look like an outage, too.
        """
        if fingerprint in self.excused:
            return False
        if len(self.excused) >= _MOST_EXCUSED:
            self.excused.clear()
        self.excused.add(fingerprint)
        return True

    def finished(self, prints: list[bytes]) -> None:
        """Clears a request that ran to its end."""
        at = int(time.time() * 1000)
        self.signs.crashed(
            [
                CrashNote(each, "", at)
                for each in prints
                if self.signs.quarantine.is_suspected(each)
            ]
        )


async def _acquire(lock: asyncio.Lock, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            return await lock.acquire()
    except TimeoutError:
        return False


def chat_prints(chat: ChatBody, messages: list[bytes]) -> list[bytes]:
    """Returns the fingerprints of a chat call with its whole conversation.

    One covers the whole conversation: it is the same when the caller sends it
    again as another program. The other covers the messages since the last
    answer, for a caller that starts anew and gets other answers on the way.
    """
    new = messages[_after_answer(messages) :]
    prints = [_print(chat, messages)]
    if new != messages and sum(map(len, new)) >= _LEAST_TELLING_BYTES:
        prints.append(_print(chat, new))
    return prints


def service_prints(start: CallStart) -> list[bytes]:
    """Returns the fingerprint of a call to a plain service.

    The idempotency key is no part of it: a caller that is told that the
    outcome is unknown may ask for the same thing under another key.
    """
    head = msgspec.msgpack.encode([start.method, start.service, start.path])
    digest = hashlib.blake2b(head, digest_size=_PRINT_BYTES)
    digest.update(start.body)
    return [digest.digest()]


def _after_answer(messages: list[bytes]) -> int:
    for index in range(len(messages), 0, -1):
        if b'"role":"assistant"' in messages[index - 1]:
            return index
    return 0


def _print(chat: ChatBody, messages: list[bytes]) -> bytes:
    asked = msgspec.structs.replace(chat, messages=messages)
    return asked.digest[:_PRINT_BYTES]
