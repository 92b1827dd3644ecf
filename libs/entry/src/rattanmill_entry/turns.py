"""Runs the turns of programs at their owner, in order, within budget."""

import contextlib
import time

import msgspec

from rattanmill_core import Ran, Reason, Refusal, refuse
from rattanmill_entry.answers import (
    AnswerBuilder,
    chunk_event,
    completion_body,
    end_events,
)
from rattanmill_entry.attempts import ChatRun, Restarted, run_chat
from rattanmill_entry.budget import (
    charge_lost_attempt,
    check_limits,
    reserve_tokens,
)
from rattanmill_entry.chatbody import (
    ChatBody,
    common_messages,
    parse_chat,
    prefix_digests,
)
from rattanmill_entry.node import Node
from rattanmill_entry.outbox import Outbox
from rattanmill_entry.plan import Plan
from rattanmill_entry.replies import (
    JSON_HEADERS,
    STREAM_HEADERS,
    Replies,
    Reply,
    ownership_lost,
    refused,
    whole_reply,
)
from rattanmill_entry.upstream import Delta, Finished, Usage
from rattanmill_policy import Work
from rattanmill_programs import (
    Deferred,
    Fenced,
    Program,
    Shard,
    TurnKept,
    open_receipt,
    seal_receipt,
)
from rattanmill_programs.program import next_chain
from rattanmill_wire import CallStart, ReplyHead

_MAX_QUEUED_TURNS = 16
_TURN_HEADER = "Rattanmill-Turn"


async def run_turn(
    node: Node, shard: Shard, program: Program, start: CallStart
) -> Replies:
    """Runs one turn of a program, or returns its stored answer.

    The turn continues after its caller disconnects, so that the caller gets
    the answer when it requests the same turn again.

    Args:
        node: The daemon's context.
        shard: Shard of the program.
        program: The program.
        start: The caller's request.

    Yields:
        The replies to the caller.
    """
    outbox = Outbox(start)
    node.spawn(_run_to_completion(node, shard, program, start, outbox))
    try:
        async with contextlib.aclosing(outbox.replies()) as replies:
            async for reply in replies:
                yield reply
    finally:
        outbox.abandon()


async def _run_to_completion(
    node: Node,
    shard: Shard,
    program: Program,
    start: CallStart,
    outbox: Outbox,
) -> None:
    program.waiting += 1
    try:
        with shard.busy():
            await _run_in_order(node, shard, program, start, outbox)
    finally:
        program.waiting -= 1
        outbox.close()


async def _run_in_order(
    node: Node,
    shard: Shard,
    program: Program,
    start: CallStart,
    outbox: Outbox,
) -> None:
    chat = parse_chat(start.body)
    if isinstance(chat, str):
        outbox.put(refused(start, refuse(Reason.BAD_REQUEST, chat)))
        return
    if program.waiting > _MAX_QUEUED_TURNS:
        detail = "Too many calls of this program are waiting."
        outbox.put(refused(start, refuse(Reason.OVERLOADED, detail)))
        return
    async with program.lock:
        await _run_locked(node, shard, program, start, chat, outbox)


async def _run_locked(
    node: Node,
    shard: Shard,
    program: Program,
    start: CallStart,
    chat: ChatBody,
    outbox: Outbox,
) -> None:
    if not node.lease.holds() or shard.log.fenced:
        outbox.put(ownership_lost(start, Ran.NO))
        return
    if shard.log.is_full:
        detail = "Too many turns wait for the store, which is unavailable."
        outbox.put(refused(start, refuse(Reason.STORE_UNAVAILABLE, detail)))
        return
    refusal = await _apply_receipts(node, shard, program, chat)
    if refusal:
        outbox.put(refused(start, refusal))
        return
    plan = _plan_turn(program, start, chat)
    if isinstance(plan, Refusal):
        outbox.put(refused(start, plan))
        return
    if plan.number <= len(program.turns):
        outbox.put(*_stored_replies(program, start, plan.number))
        return
    try:
        refusal = check_limits(node, program, plan)
        refusal = refusal or await reserve_tokens(shard, program, plan)
        if refusal:
            outbox.put(refused(start, refusal))
            return
        await _run_plan(node, shard, program, start, plan, outbox)
    finally:
        program.held = 0


async def _apply_receipts(
    node: Node, shard: Shard, program: Program, chat: ChatBody
) -> Refusal | None:
    """Stores the turns of the caller's receipts that are not stored here.

    Returns:
        The refusal if a receipt cannot be applied, else None.
    """
    for text in chat.receipts:
        turn = open_receipt(node.secret.secret, text)
        if turn is None or turn.program != program.made.program:
            detail = "A receipt does not belong to this program."
            return refuse(Reason.RECEIPT_INVALID, detail)
        turn_count = len(program.turns)
        if turn.turn <= turn_count:
            if program.turns[turn.turn - 1].record.chain != turn.chain:
                detail = f"Turn {turn.turn} is stored with another answer."
                return refuse(Reason.TURN_CONFLICT, detail)
            continue
        if turn.turn > turn_count + 1 or next_chain(program.chain, turn) != (
            turn.chain
        ):
            detail = "The receipts do not continue the program's history."
            return refuse(Reason.RECEIPT_INVALID, detail)
        if isinstance(await shard.keep(turn), Fenced):
            detail = "Another instance owns the program now."
            return refuse(Reason.OWNERSHIP_LOST, detail, ran=Ran.NO)
    return None


def _plan_turn(
    program: Program, start: CallStart, chat: ChatBody
) -> Plan | Refusal:
    """Returns the turn to run, or the number of the stored turn to repeat."""
    if program.ended is not None:
        return refuse(Reason.PROGRAM_ENDED, "The program has ended.")
    turn_count = len(program.turns)
    number = start.turn or turn_count + 1
    if number > turn_count + 1:
        detail = f"Turn {turn_count + 1} comes next, not {number}."
        return refuse(Reason.TURN_GAP, detail, expected_turn=turn_count + 1)
    if number <= turn_count:
        if program.turns[number - 1].record.digest != chat.digest:
            detail = f"Turn {number} is stored with another request."
            return refuse(
                Reason.TURN_CONFLICT, detail, expected_turn=turn_count + 1
            )
        return Plan(number, chat, [], 0, 0)
    if start.append:
        base = len(program.transcript)
        messages = program.transcript + chat.messages
    else:
        base = common_messages(program.transcript, chat.messages)
        messages = chat.messages
    return Plan(number, chat, messages, base, chat.max_tokens)


async def _run_plan(
    node: Node,
    shard: Shard,
    program: Program,
    start: CallStart,
    plan: Plan,
    outbox: Outbox,
) -> None:
    answer = AnswerBuilder()
    run = _chat_run(shard, program, start, plan)
    async for part in run_chat(node, run):
        match part:
            case Delta():
                answer.add(part)
                if start.stream:
                    outbox.begin(_stream_head(start, plan.number))
                    outbox.part(plan.chat.model, part.fields)
            case Restarted():
                answer = AnswerBuilder()
            case Refusal():
                outbox.put(refused(start, part))
                return
            case Finished():
                await _commit_turn(
                    node, shard, program, start, plan, outbox, answer, part
                )


def _chat_run(
    shard: Shard, program: Program, start: CallStart, plan: Plan
) -> ChatRun:
    made = program.made
    work = Work(
        program=made.program,
        parent=made.parent,
        turn=plan.number,
        klass=made.klass,
        workspace=made.workspace,
        model=plan.chat.model,
        prefixes=prefix_digests(plan.chat.model, plan.messages),
        prompt_tokens=sum(len(m) // 4 + 1 for m in plan.messages),
        max_output_tokens=plan.max_tokens,
        seconds_left=start.seconds_left,
        age_seconds=max(0.0, time.time() - made.created),
        body_digest=plan.chat.digest,
    )
    fence = f"{shard.domain}.{shard.number}:{shard.epoch}"
    return ChatRun(
        plan.chat,
        plan.messages,
        plan.max_tokens,
        work,
        fence,
        start.stream,
        lambda: charge_lost_attempt(shard, program, plan),
    )


async def _commit_turn(
    node: Node,
    shard: Shard,
    program: Program,
    start: CallStart,
    plan: Plan,
    outbox: Outbox,
    answer: AnswerBuilder,
    end: Finished,
) -> None:
    """Stores the turn, and only then sends the end of the answer."""
    if not node.lease.holds():
        outbox.put(ownership_lost(start, Ran.UNKNOWN))
        return
    if end.usage.prompt_tokens + end.usage.completion_tokens > program.held:
        node.metrics.count("rattanmill_engine_faults", kind="over_report")
    turn = _turn_record(program, plan, answer.message(), end)
    appended = await shard.keep(turn)
    if isinstance(appended, Fenced) or not node.lease.holds():
        outbox.put(ownership_lost(start, Ran.UNKNOWN))
        return
    extra: dict = {"program": program.made.program, "turn": plan.number}
    if isinstance(appended, Deferred):
        extra["receipt"] = seal_receipt(node.secret.secret, turn)
        node.metrics.count("rattanmill_receipts")
    if not start.stream:
        body = completion_body(start.call, turn.model, turn.answer, end, extra)
        headers = [*JSON_HEADERS, (_TURN_HEADER, str(plan.number))]
        outbox.put(*whole_reply(start, 200, headers, body))
        return
    outbox.begin(_stream_head(start, plan.number))
    outbox.end(end_events(start.call, turn.model, end, extra))


def _turn_record(
    program: Program, plan: Plan, message: bytes, end: Finished
) -> TurnKept:
    usage = end.usage
    spent = program.spent + usage.prompt_tokens + usage.completion_tokens
    turn = TurnKept(
        program=program.made.program,
        turn=plan.number,
        digest=plan.chat.digest,
        base=plan.base,
        messages=plan.messages[plan.base :],
        answer=message,
        finish=end.finish_reason,
        model=plan.chat.model,
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        # An engine that reports more tokens than it was allowed is faulty;
        # the budget limits what this instance lets it spend.
        spent=min(spent, program.reserved),
        chain=b"",
    )
    chain = next_chain(program.chain, turn)
    return msgspec.structs.replace(turn, chain=chain)


def _stream_head(start: CallStart, number: int) -> ReplyHead:
    headers = [*STREAM_HEADERS, (_TURN_HEADER, str(number))]
    return ReplyHead(start.call, 200, headers)


def _stored_replies(
    program: Program, start: CallStart, number: int
) -> list[Reply]:
    """Returns the replies that repeat the answer of a stored turn."""
    turn = program.turns[number - 1].record
    end = Finished(
        turn.finish, Usage(turn.prompt_tokens, turn.completion_tokens)
    )
    extra = {"program": turn.program, "turn": number, "repeated": True}
    headers = [(_TURN_HEADER, str(number)), ("Rattanmill-Repeated", "true")]
    if not start.stream:
        body = completion_body(start.call, turn.model, turn.answer, end, extra)
        return whole_reply(start, 200, [*JSON_HEADERS, *headers], body)
    message = msgspec.Raw(turn.answer)
    body = chunk_event(start.call, turn.model, message, None)
    body += end_events(start.call, turn.model, end, extra)
    return whole_reply(start, 200, [*STREAM_HEADERS, *headers], body)
