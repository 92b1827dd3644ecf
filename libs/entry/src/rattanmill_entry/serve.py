"""Serves a call at the owner of its program."""

from rattanmill_core import (
    Ran,
    Reason,
    Refusal,
    loop_seconds,
    new_id,
    parse_program_id,
    refuse,
)
from rattanmill_entry import lifecycle
from rattanmill_entry.acts import run_act
from rattanmill_entry.answers import (
    AnswerBuilder,
    chunk_event,
    completion_body,
    end_events,
)
from rattanmill_entry.attempts import ChatRun, Restarted, run_chat
from rattanmill_entry.chatbody import parse_chat, prefix_digests
from rattanmill_entry.node import Node
from rattanmill_entry.replies import (
    JSON_HEADERS,
    STREAM_HEADERS,
    Replies,
    ownership_lost,
    refused,
    whole_reply,
)
from rattanmill_entry.services import run_service
from rattanmill_entry.turns import run_turn
from rattanmill_entry.upstream import Delta, Finished
from rattanmill_policy import Work
from rattanmill_programs import LOOSE_TOKEN, Program, Shard
from rattanmill_wire import CallKind, CallStart, ReplyChunk, ReplyEnd, ReplyHead

# Shards without a long call have their next owner long before.
_PARTING_SECONDS = 1.0


async def serve(node: Node, start: CallStart) -> Replies:
    """Serves a call of a program (or shard) that this instance owns."""
    owned = parse_program_id(start.program)
    shard = node.shards.get((owned.domain, owned.shard)) if owned else None
    if shard is None or shard.log.fenced:
        detail = "This instance does not own the program."
        yield refused(start, not_served(node, start, detail))
        return
    if not node.lease.holds():
        yield ownership_lost(start, Ran.NO)
        return
    with shard.busy():
        async for reply in _serve_owned(node, shard, start):
            yield reply


def not_served(node: Node, start: CallStart, detail: str) -> Refusal:
    """Returns the refusal of a call whose shard is not served here.

    A caller waits for a takeover; not for a shutdown that waits in turn for
    a call of the shard to end, which may take as long as a shutdown does.

    Args:
        node: The daemon's context.
        start: The call.
        detail: What to say if the next owner is due at any moment.
    """
    owned = parse_program_id(start.program)
    parting = node.parting.get((owned.domain, owned.shard)) if owned else None
    if parting is None or not node.draining:
        return refuse(Reason.NOT_OWNER, detail)
    if loop_seconds() - parting.since < _PARTING_SECONDS:
        return refuse(Reason.NOT_OWNER, detail)
    detail = "The owner shuts down and is not yet done with the shard."
    return refuse(Reason.SHUTTING_DOWN, detail)


async def _serve_owned(node: Node, shard: Shard, start: CallStart) -> Replies:
    if start.kind is CallKind.CREATE:
        for reply in await lifecycle.create(node, shard, start):
            yield reply
        return
    async for reply in _serve_program(node, shard, start):
        yield reply


async def _serve_program(node: Node, shard: Shard, start: CallStart) -> Replies:
    program = shard.programs.get(start.program)
    if program is None and start.program.endswith(f".{LOOSE_TOKEN}"):
        program = shard.loose_acts
    if program is None:
        detail = "There is no such program, or it ended long ago."
        yield refused(start, refuse(Reason.UNKNOWN_PROGRAM, detail))
        return
    if _is_foreign(start, program):
        detail = "The program belongs to another workspace."
        yield refused(start, refuse(Reason.FOREIGN_PROGRAM, detail))
        return
    match start.kind:
        case CallKind.CHAT:
            replies = run_turn(node, shard, program, start)
        case CallKind.SERVICE:
            replies = run_act(node, shard, program, start)
        case CallKind.SHOW:
            replies = _each(lifecycle.show(node, program, start))
        case CallKind.HISTORY:
            replies = _each(lifecycle.history(program, start))
        case CallKind.END | _:
            replies = _each(await lifecycle.end(node, shard, program, start))
    async for reply in replies:
        yield reply


def _is_foreign(start: CallStart, program: Program) -> bool:
    if start.program.endswith(f".{LOOSE_TOKEN}") or not start.workspace:
        return False
    return start.workspace != program.made.workspace


async def _each(replies: list) -> Replies:
    for reply in replies:
        yield reply


async def serve_loose(node: Node, start: CallStart) -> Replies:
    """Serves a call that needs no owner, on any instance."""
    if start.kind is CallKind.SERVICE:
        async for reply in run_service(node, start):
            yield reply
        return
    chat = parse_chat(start.body)
    if isinstance(chat, str):
        yield refused(start, refuse(Reason.BAD_REQUEST, chat))
        return
    work = Work(
        program=new_id(),
        klass=node.config.default_class,
        workspace=start.workspace,
        model=chat.model,
        prefixes=prefix_digests(chat.model, chat.messages),
        prompt_tokens=sum(len(m) // 4 + 1 for m in chat.messages),
        max_output_tokens=chat.max_tokens,
        seconds_left=start.seconds_left,
        body_digest=chat.digest,
    )
    run = ChatRun(
        chat, chat.messages, chat.max_tokens, work, stream=start.stream
    )
    answer = AnswerBuilder()
    sent = 0
    async for part in run_chat(node, run):
        match part:
            case Delta():
                answer.add(part)
                if not start.stream:
                    continue
                if not sent:
                    yield ReplyHead(start.call, 200, STREAM_HEADERS)
                event = chunk_event(start.call, chat.model, part.fields, None)
                yield ReplyChunk(start.call, sent, event)
                sent += 1
            case Restarted():
                answer = AnswerBuilder()
            case Finished() if start.stream:
                if not sent:
                    yield ReplyHead(start.call, 200, STREAM_HEADERS)
                last = end_events(start.call, chat.model, part, {})
                yield ReplyChunk(start.call, sent, last)
                yield ReplyEnd(start.call, sent + 1)
            case Finished():
                body = completion_body(
                    start.call, chat.model, answer.message(), part, {}
                )
                for reply in whole_reply(start, 200, JSON_HEADERS, body):
                    yield reply
            case refusal:
                yield refused(start, refusal)
