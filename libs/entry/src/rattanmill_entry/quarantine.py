"""Keeps requests that crash endpoints from being sent to the next ones."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator

import msgspec

from rattanmill_core import CrashNote, Ran, Reason, Refusal, part_logger, refuse
from rattanmill_entry.chatbody import ChatBody
from rattanmill_entry.engines import EndpointWatch, Probe
from rattanmill_entry.node import Node
from rattanmill_entry.signs import Signs
from rattanmill_policy import EndpointState

_log = part_logger("quarantine")
_PRINT_BYTES = 16
# Time for the other instances to report what they had in flight.
_REPORT_SECONDS = 0.3
_RETRY_SPREAD_SECONDS = 0.5
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

    def __init__(self, node: Node, signs: Signs, watch: EndpointWatch) -> None:
        self.node = node
        self.signs = signs
        self.watch = watch
        self.locks: dict[str, asyncio.Lock] = {}

    def refusal(self, prints: list[bytes], ran: Ran) -> Refusal | None:
        """Returns the refusal for a request that must not run."""
        quarantine = self.signs.quarantine
        if not any(quarantine.is_condemned(each) for each in prints):
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

        A stream that breaks at an endpoint which still answers is no crash.
        Suspects wait a little before they run again, each for another time:
        instances that moved them on at the same moment would put them on the
        same endpoint again.
        """
        if await self.watch.confirm(state) is not Probe.REFUSED:
            return None
        name = state.endpoint.name
        at = int(time.time() * 1000)
        self.signs.crashed(
            [CrashNote(each, name, at, prints[0]) for each in prints]
        )
        _log.warning("Endpoint {} crashed with a request in flight.", name)
        await asyncio.sleep(_REPORT_SECONDS)
        refusal = self.refusal(prints, Ran.UNKNOWN)
        if refusal:
            self.node.metrics.count("rattanmill_quarantine", event="condemned")
            return refusal
        await asyncio.sleep(random.uniform(0, _RETRY_SPREAD_SECONDS))
        return None

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


def _after_answer(messages: list[bytes]) -> int:
    for index in range(len(messages), 0, -1):
        if b'"role":"assistant"' in messages[index - 1]:
            return index
    return 0


def _print(chat: ChatBody, messages: list[bytes]) -> bytes:
    asked = msgspec.structs.replace(chat, messages=messages)
    return asked.digest[:_PRINT_BYTES]
