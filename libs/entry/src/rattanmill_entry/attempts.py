"""Runs a chat call on endpoints, with another attempt where that is safe.

A model call is idempotent: it changes nothing but a cache. It may run again
as long as nothing that contradicts the new run has gone to the caller.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from rattanmill_core import Ran, Reason, Refusal, new_id, refuse
from rattanmill_entry.chatbody import ChatBody, upstream_body
from rattanmill_entry.engines import until_closed
from rattanmill_entry.node import Node
from rattanmill_entry.quarantine import chat_prints
from rattanmill_entry.upstream import (
    Delta,
    Failed,
    Finished,
    cancel_chat,
    stream_chat,
)
from rattanmill_policy import Outcome, Placement, Work


class ChatRun(msgspec.Struct):
    """A chat call to be run.

    Attributes:
        chat: The caller's request.
        messages: The whole conversation for the engine.
        max_tokens: Most tokens of the answer.
        work: For the scheduler.
        fence: Scope and fencing number, or empty.
    """

    chat: ChatBody
    messages: list[bytes]
    max_tokens: int
    work: Work
    fence: str = ""


async def run_chat(
    node: Node, run: ChatRun
) -> AsyncIterator[Delta | Finished | Refusal]:
    """Yields the parts of the answer; ends with Finished or a refusal."""
    body = upstream_body(run.chat, run.messages, run.max_tokens)
    prints = chat_prints(run.chat, run.messages)
    node.memory.turn_began(run.work.program)
    delivered = False
    while True:
        ran = Ran.UNKNOWN if run.work.tried else Ran.NO
        quarantined = node.guard.refusal(prints, ran)
        if quarantined:
            yield quarantined
            return
        placed = await node.scheduler.place(run.work)
        if isinstance(placed, Refusal):
            yield placed
            return
        failed = None
        async with (
            node.guard.alone(prints, placed.state),
            contextlib.aclosing(_attempt(node, run, placed, body)) as parts,
        ):
            async for part in parts:
                if isinstance(part, Failed):
                    failed = part
                    continue
                if isinstance(part, Finished):
                    # Before the last part: who has it may ask for no more.
                    node.guard.finished(prints)
                    node.memory.turn_ended(run, placed.state)
                delivered = delivered or isinstance(part, Delta)
                yield part
        if failed is None:
            return
        if failed.outcome is Outcome.BROKEN:
            quarantined = await node.guard.after_broken(prints, placed.state)
            if quarantined:
                yield quarantined
                return
        run.work.tried.append(placed.state.endpoint.name)
        refusal = _after_failure(node, run, failed, delivered)
        if refusal:
            yield refusal
            return
        node.metrics.retried(failed.outcome)


async def _attempt(
    node: Node, run: ChatRun, placement: Placement, body: bytes
) -> AsyncIterator[Delta | Finished | Failed]:
    loop = asyncio.get_running_loop()
    request_id = new_id()
    headers = {
        "Rattanmill-Request": request_id,
        "Rattanmill-Priority": str(placement.priority),
    }
    if run.fence:
        headers["Rattanmill-Fence"] = run.fence
    began = loop.time()
    ended = False
    parts = until_closed(
        stream_chat(
            node.session,
            placement.url,
            body,
            headers,
            placement.timeout_seconds,
        ),
        placement.state,
    )
    try:
        with placement:
            async with contextlib.aclosing(parts):
                async for part in parts:
                    placement.seconds = loop.time() - began
                    ended = _note(placement, part)
                    yield part
    finally:
        if not ended:
            # The consumer has gone: an engine that goes on would hold a slot
            # and cache for an answer nobody reads.
            node.spawn(cancel_chat(node.session, placement.url, request_id))


def _note(placement: Placement, part: Delta | Finished | Failed) -> bool:
    """Records what a part tells; True if it is the last."""
    match part:
        case Delta():
            if not placement.first_token_seconds:
                placement.first_token_seconds = placement.seconds
            return False
        case Finished():
            placement.outcome = Outcome.ANSWERED
            placement.prompt_tokens = part.usage.prompt_tokens
            placement.cached_tokens = part.usage.cached_tokens
            placement.output_tokens = part.usage.completion_tokens
        case Failed():
            placement.outcome = part.outcome
    return True


def _after_failure(
    node: Node, run: ChatRun, failed: Failed, delivered: bool
) -> Refusal | None:
    """Returns the refusal to give up with, or None to try again."""
    if failed.outcome is Outcome.REJECTED:
        detail = f"The engine refused the call ({failed.status}):"
        detail = f"{detail} {failed.detail[:500]}"
        return refuse(Reason.BAD_REQUEST, detail, ran=Ran.NO)
    if delivered:
        return refuse(Reason.ANSWER_CUT, "The engine's answer was cut off.")
    if node.scheduler.may_retry(run.work, failed.outcome):
        return None
    not_run = (Outcome.NOT_CONNECTED, Outcome.DRAINING)
    ran = Ran.NO if failed.outcome in not_run else Ran.UNKNOWN
    detail = f"Endpoints failed, the last with: {failed.detail}."
    return refuse(Reason.ENDPOINT_FAILED, detail, ran=ran)
