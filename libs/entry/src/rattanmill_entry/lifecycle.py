"""Creates, shows and ends programs at their owner."""

import time

import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    ProgramId,
    Reason,
    Refusal,
    new_id,
    refuse,
)
from rattanmill_entry.node import Node
from rattanmill_entry.replies import JSON_HEADERS, Reply, refused, whole_reply
from rattanmill_programs import (
    Committed,
    Fenced,
    Program,
    ProgramCreated,
    ProgramEnded,
    Shard,
)
from rattanmill_wire import CallStart


class BudgetBody(msgspec.Struct, forbid_unknown_fields=True):
    """Budget in a caller's body; missing fields default to the class."""

    tokens: int | None = None
    turns: int | None = None
    seconds: float | None = None


class CreateBody(
    msgspec.Struct, forbid_unknown_fields=True, rename={"klass": "class"}
):
    """Body of ``POST /v1/programs``."""

    klass: str = ""
    workspace: str = ""
    budget: BudgetBody = msgspec.field(default_factory=BudgetBody)
    parent: str = ""


class _Created(msgspec.Struct):
    program: str


class _BudgetLeft(msgspec.Struct):
    tokens: int
    turns: int
    seconds: float


class _Shown(msgspec.Struct, rename={"klass": "class"}):
    program: str
    state: str
    klass: str
    workspace: str
    turns: int
    spent_tokens: int
    budget_left: _BudgetLeft
    owner: str
    parent: str


class _HistoryTurn(msgspec.Struct):
    turn: int
    base: int
    messages: list[msgspec.Raw]
    answer: msgspec.Raw


class _History(msgspec.Struct):
    program: str
    turns: list[_HistoryTurn]
    messages: list[msgspec.Raw]


async def create(node: Node, shard: Shard, start: CallStart) -> list[Reply]:
    """Creates a program in this shard."""
    created = _new_program(node, shard, start)
    if isinstance(created, Refusal):
        return [refused(start, created)]
    appended = await shard.keep(created)
    if not isinstance(appended, Committed):
        # The caller never learned its id. Ends it, so that a sub-agent's
        # budget returns to its parent.
        await shard.keep(ProgramEnded(created.program, time.time()))
        if isinstance(appended, Fenced):
            detail = "Another instance owns the shard now."
            return [refused(start, refuse(Reason.NOT_OWNER, detail))]
        detail = "The program cannot be kept while the store is away."
        return [refused(start, refuse(Reason.STORE_UNAVAILABLE, detail))]
    body = msgspec.json.encode(_Created(created.program))
    return whole_reply(start, 201, JSON_HEADERS, body)


class _Parent(msgspec.Struct):
    parent: str = ""


def parse_parent(body: bytes) -> str:
    """Returns the parent in a body; empty if none is set or it is invalid."""
    try:
        return msgspec.json.decode(body, type=_Parent).parent
    except DECODE_ERRORS:
        return ""


def _new_program(
    node: Node, shard: Shard, start: CallStart
) -> ProgramCreated | Refusal:
    try:
        body = msgspec.json.decode(start.body, type=CreateBody)
    except DECODE_ERRORS as error:
        return refuse(Reason.BAD_REQUEST, str(error))
    name = body.klass or node.config.default_class
    klass = node.config.classes.get(name)
    if klass is None:
        return refuse(Reason.UNKNOWN_CLASS, f"There is no class '{name}'.")
    workspace = body.workspace or start.workspace
    if start.workspace and workspace != start.workspace:
        detail = "The body and the caller name different workspaces."
        return refuse(Reason.FOREIGN_PROGRAM, detail)
    budget = body.budget
    tokens = _capped(budget.tokens, klass.max_tokens)
    turns = _capped(budget.turns, klass.max_turns)
    seconds = _capped(budget.seconds, klass.max_seconds)
    if min(tokens, turns, seconds) <= 0:
        return refuse(Reason.BAD_REQUEST, "budget: must be above 0")
    if body.parent:
        parent = shard.programs.get(body.parent)
        if parent is None:
            return refuse(Reason.UNKNOWN_PROGRAM, "There is no such parent.")
        if parent.ended is not None:
            return refuse(Reason.PROGRAM_ENDED, "The parent has ended.")
        if start.workspace not in ("", parent.creation.workspace):
            detail = "The parent belongs to another workspace."
            return refuse(Reason.FOREIGN_PROGRAM, detail)
        if start.workspace and parent.creation.workspace != start.workspace:
            detail = "The parent belongs to another workspace."
            return refuse(Reason.FOREIGN_PROGRAM, detail)
        if tokens > parent.tokens_unreserved:
            detail = f"The parent has {parent.tokens_unreserved} tokens left."
            return refuse(Reason.BUDGET_EXHAUSTED, detail)
    program = ProgramId(shard.domain, shard.number, new_id())
    return ProgramCreated(
        program=str(program),
        klass=name,
        workspace=workspace,
        tokens=int(tokens),
        turns=int(turns),
        seconds=seconds,
        created=time.time(),
        parent=body.parent,
    )


def _capped(requested: float | None, maximum: float) -> float:
    return maximum if requested is None else min(requested, maximum)


def show(node: Node, program: Program, start: CallStart) -> list[Reply]:
    """Returns the replies with a program's state."""
    made = program.creation
    age = time.time() - made.created
    shown = _Shown(
        program=made.program,
        state="running" if program.ended is None else "ended",
        klass=made.klass,
        workspace=made.workspace,
        turns=len(program.turns),
        spent_tokens=program.spent,
        budget_left=_BudgetLeft(
            program.tokens_left,
            made.turns - len(program.turns),
            max(0.0, made.seconds - age),
        ),
        owner=node.settings.name,
        parent=made.parent,
    )
    return whole_reply(start, 200, JSON_HEADERS, msgspec.json.encode(shown))


def history(program: Program, start: CallStart) -> list[Reply]:
    """Returns the replies with all kept turns and the whole conversation."""
    turns = [
        _HistoryTurn(
            turn.number,
            turn.record.base,
            [msgspec.Raw(message) for message in turn.record.messages],
            msgspec.Raw(turn.record.answer),
        )
        for turn in program.turns
    ]
    messages = [msgspec.Raw(message) for message in program.transcript]
    body = msgspec.json.encode(
        _History(program.creation.program, turns, messages)
    )
    return whole_reply(start, 200, JSON_HEADERS, body)


async def end(
    node: Node, shard: Shard, program: Program, start: CallStart
) -> list[Reply]:
    """Ends a program after the turn in progress."""
    async with program.lock:
        if program.ended is None:
            record = ProgramEnded(program.creation.program, time.time())
            if isinstance(await shard.keep(record), Fenced):
                detail = "Another instance owns the program now."
                return [refused(start, refuse(Reason.NOT_OWNER, detail))]
    return show(node, program, start)
