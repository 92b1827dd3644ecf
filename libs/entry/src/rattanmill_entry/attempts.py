"""Runs a chat call on endpoints and retries it where that is safe.

A model call is idempotent: it changes nothing but a cache. It may run again
as long as the caller has received nothing that contradicts the new run. A
stream that breaks is first resumed at its engine, which costs no tokens; it is
read again from its start, and must repeat all that had arrived.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec

from rattanmill_core import Ran, Reason, Refusal, new_id, refuse
from rattanmill_entry.chatbody import ChatBody, upstream_body
from rattanmill_entry.engines import stop_when_closed
from rattanmill_entry.node import Node
from rattanmill_entry.overlap import Mismatch, Overlap
from rattanmill_entry.quarantine import chat_fingerprints
from rattanmill_entry.upstream import (
    Delta,
    Failed,
    Finished,
    cancel_chat,
    resume_chat,
    stream_chat,
)
from rattanmill_policy import Outcome, Placement, Work

_NOT_RUN_OUTCOMES = (Outcome.NOT_CONNECTED, Outcome.DRAINING, Outcome.REJECTED)
_MAX_RESUMES = 2
_NOT_CONTINUED = Failed(
    Outcome.ABANDONED, 0, "the resumed stream is not the one that broke"
)


class Restarted(msgspec.Struct, frozen=True):
    """Another engine begins the answer anew; all earlier parts are invalid.

    Only sent for calls that are not streamed.
    """


Part = Delta | Restarted | Finished | Refusal


class ChatRun(msgspec.Struct):
    """A chat call to be run.

    Attributes:
        chat: The caller's request.
        messages: JSON of each message of the whole conversation.
        max_tokens: Maximum tokens of the answer.
        work: Describes the call to the scheduler.
        fence: Scope and fencing token, or empty.
        stream: Whether each part is sent to the caller as it arrives.
        charge_lost: Called when an attempt may have spent tokens without an
            answer; returns a refusal if the budget allows no other attempt.
    """

    chat: ChatBody
    messages: list[bytes]
    max_tokens: int
    work: Work
    fence: str = ""
    stream: bool = False
    charge_lost: Callable[[], Awaitable[Refusal | None]] | None = None


async def run_chat(node: Node, run: ChatRun) -> AsyncIterator[Part]:
    """Runs a chat call, with retries on other endpoints.

    Args:
        node: The daemon's context.
        run: The call.

    Yields:
        The parts of the answer; the last one is Finished or a refusal.
    """
    body = upstream_body(run.chat, run.messages, run.max_tokens)
    fingerprints = chat_fingerprints(run.chat, run.messages)
    node.memory.turn_started(run.work.program)
    overlap = Overlap()
    ran = Ran.NO
    while True:
        quarantined = node.guard.refusal(fingerprints, ran)
        if quarantined:
            yield quarantined.after(ran)
            return
        placed = await node.scheduler.place(run.work)
        if isinstance(placed, Refusal):
            yield placed.after(ran)
            return
        failed = None
        async with (
            node.guard.isolate(fingerprints, placed.state),
            contextlib.aclosing(
                _attempt(node, run, placed, body, overlap)
            ) as parts,
        ):
            async for part in parts:
                if isinstance(part, Failed):
                    failed = part
                    continue
                if isinstance(part, Finished):
                    # Before the last part: its receiver may not resume this
                    # generator.
                    node.guard.record_completed(fingerprints)
                    node.memory.turn_finished(run, placed.state)
                if isinstance(part, Refusal) and run.charge_lost:
                    await run.charge_lost()
                yield part
                if isinstance(part, Refusal):
                    return
        if failed is None:
            return
        run.work.tried.append(placed.state.endpoint.name)
        refusal = None
        if failed.outcome not in _NOT_RUN_OUTCOMES:
            ran = Ran.UNKNOWN
            refusal = await run.charge_lost() if run.charge_lost else None
        if failed.outcome is Outcome.BROKEN:
            refusal = (
                await node.guard.handle_broken_attempt(
                    fingerprints, placed.state
                )
                or refusal
            )
        refusal = refusal or _final_refusal(node, run, failed, overlap)
        if refusal:
            yield refusal.after(ran)
            return
        node.metrics.retried(failed.outcome)
        if not run.stream:
            yield Restarted()
            overlap = Overlap()
        await node.guard.delay_retry(fingerprints)


async def _attempt(
    node: Node,
    run: ChatRun,
    placement: Placement,
    body: bytes,
    overlap: Overlap,
) -> AsyncIterator[Part | Failed]:
    """Runs the call on one engine and resumes its stream if it breaks."""
    request_id = new_id()
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    finished = False
    headers = _headers(run, placement, request_id)
    parts = _first_parts(node, placement, body, headers)
    first_failure = None
    try:
        with placement:
            for resumes in range(_MAX_RESUMES + 1):
                overlap.start_run()
                failed = None
                async with contextlib.aclosing(parts):
                    async for part in parts:
                        placement.seconds = loop.time() - started_at
                        if isinstance(part, Delta):
                            _record_first_token(placement)
                        checked = _check_overlap(overlap, part)
                        if isinstance(checked, Refusal) and first_failure:
                            checked = _NOT_CONTINUED
                        if isinstance(checked, Failed):
                            failed = checked
                            break
                        if checked is None:
                            continue
                        finished = _record_part(placement, checked)
                        yield checked
                        if isinstance(checked, Refusal):
                            return
                if failed is None:
                    return
                # A failed resumption does not show how the call itself ended.
                first_failure = first_failure or failed
                if (
                    failed.outcome is not Outcome.BROKEN
                    or resumes == _MAX_RESUMES
                ):
                    break
                node.metrics.count("rattanmill_resumes")
                parts = _resumed_parts(node, placement, request_id)
            _record_part(placement, first_failure)
        yield first_failure
    finally:
        if not finished and placement.outcome not in _NOT_RUN_OUTCOMES:
            # Nobody reads the rest. If the engine continued, it would hold a
            # slot and cache for this answer.
            node.spawn(cancel_chat(node.session, placement.url, request_id))


def _first_parts(
    node: Node, placement: Placement, body: bytes, headers: dict[str, str]
) -> AsyncIterator[Delta | Finished | Failed]:
    parts = stream_chat(
        node.session, placement.url, body, headers, placement.timeout_seconds
    )
    return stop_when_closed(parts, placement.state)


def _resumed_parts(
    node: Node, placement: Placement, request_id: str
) -> AsyncIterator[Delta | Finished | Failed]:
    parts = resume_chat(
        node.session, placement.url, request_id, placement.timeout_seconds
    )
    return stop_when_closed(parts, placement.state)


def _headers(
    run: ChatRun, placement: Placement, request_id: str
) -> dict[str, str]:
    headers = {
        "Rattanmill-Request": request_id,
        "Rattanmill-Priority": str(placement.priority),
        "Rattanmill-Resumable": "true",
    }
    if run.fence:
        headers["Rattanmill-Fence"] = run.fence
    return headers


def _check_overlap(
    overlap: Overlap, part: Delta | Finished | Failed
) -> Delta | Finished | Failed | Refusal | None:
    """Compares a part of an answer with what has been delivered of it.

    Returns:
        The part to deliver; None if all of it has been delivered already.
    """
    if isinstance(part, Failed):
        return part
    if isinstance(part, Finished):
        return part if overlap.is_complete else _answer_cut_refusal()
    fields = overlap.take_undelivered(part.fields)
    if isinstance(fields, Mismatch):
        return _answer_cut_refusal()
    return Delta(fields, part.event) if fields else None


def _answer_cut_refusal() -> Refusal:
    detail = "The engine's answer was cut off, and a second run differed."
    return refuse(Reason.ANSWER_CUT, detail)


def _record_first_token(placement: Placement) -> None:
    """Records the time of the first part, whether or not it is delivered."""
    if not placement.first_token_seconds:
        placement.first_token_seconds = placement.seconds


def _record_part(
    placement: Placement, part: Delta | Finished | Failed | Refusal
) -> bool:
    """Records a part's result in the placement; True if it is the last."""
    match part:
        case Finished():
            placement.outcome = Outcome.ANSWERED
            placement.prompt_tokens = part.usage.prompt_tokens
            placement.cached_tokens = part.usage.cached_tokens
            placement.output_tokens = part.usage.completion_tokens
            return True
        case Failed():
            placement.outcome = part.outcome
    return False


def _final_refusal(
    node: Node, run: ChatRun, failed: Failed, overlap: Overlap
) -> Refusal | None:
    """Returns the refusal that ends the call, or None to retry it."""
    if failed.outcome is Outcome.REJECTED:
        detail = f"The engine rejected the call ({failed.status}):"
        detail = f"{detail} {failed.detail[:500]}"
        return refuse(Reason.BAD_REQUEST, detail, ran=Ran.NO)
    if node.scheduler.may_retry(run.work, failed.outcome):
        return None
    if run.stream and overlap.delivered:
        return refuse(Reason.ANSWER_CUT, "The engine's answer was cut off.")
    detail = f"All attempts failed, the last one with: {failed.detail}."
    return refuse(Reason.ENDPOINT_FAILED, detail, ran=Ran.NO)
