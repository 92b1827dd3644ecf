"""State of a program, and how log records change it."""

import asyncio
import hashlib

import msgspec

from rattanmill_core import InvariantError, Ran
from rattanmill_programs.records import (
    ActIntended,
    ActSettled,
    ActWithdrawn,
    BudgetReserved,
    BudgetSpent,
    EpochOpened,
    ProgramCreated,
    ProgramEnded,
    ProgramRestored,
    Record,
    TurnKept,
)


class Turn(msgspec.Struct):
    """A kept turn in memory."""

    record: TurnKept

    @property
    def number(self) -> int:
        """Turn number, from 1."""
        return self.record.turn


class Act(msgspec.Struct):
    """A non-idempotent call.

    Attributes:
        key: Idempotency key.
        digest: Digest of the request.
        settled: Outcome; None while the call is in progress or if the outcome
            was lost.
        running: Done when the attempt of this process has ended.
    """

    key: str
    digest: bytes
    settled: ActSettled | None = None
    running: asyncio.Future | None = None


class Program:
    """A program owned by this instance.

    Attributes:
        creation: Record that created the program.
        turns: Kept turns in order.
        transcript: JSON of each message of the conversation so far.
        spent: Tokens spent, including the budgets of sub-agents.
        reserved: Total tokens that may be spent without a further commit.
        turn_max_tokens: Maximum tokens that the turn in progress can use.
        pending_reserved: Total tokens of reservations that may still be
            committed; they must not be given to another program.
        acts: Non-idempotent calls by key.
        ended: Unix time in seconds at which the program ended, or None.
        lock: Held while a turn runs, so that turns run in order.
        waiting: Number of turns that run or wait for the lock.
    """

    __slots__ = (
        "acts",
        "creation",
        "ended",
        "lock",
        "pending_reserved",
        "reserved",
        "spent",
        "transcript",
        "turn_max_tokens",
        "turns",
        "waiting",
    )

    def __init__(self, creation: ProgramCreated) -> None:
        self.creation = creation
        self.turns: list[Turn] = []
        self.transcript: list[bytes] = []
        self.spent = 0
        self.reserved = 0
        self.turn_max_tokens = 0
        self.pending_reserved = 0
        self.acts: dict[str, Act] = {}
        self.ended: float | None = None
        self.lock = asyncio.Lock()
        self.waiting = 0

    @property
    def chain(self) -> bytes:
        """Digest over all kept turns."""
        if not self.turns:
            return hashlib.sha256(self.creation.program.encode()).digest()
        return self.turns[-1].record.chain

    @property
    def tokens_left(self) -> int:
        """Tokens that may still be spent."""
        return self.creation.tokens - self.spent

    @property
    def tokens_unreserved(self) -> int:
        """Tokens that are neither spent, reserved nor needed by a turn."""
        used = max(
            self.spent + self.turn_max_tokens,
            self.reserved,
            self.pending_reserved,
        )
        return self.creation.tokens - used

    @property
    def idle(self) -> bool:
        """Whether no turn or act of the program is in progress."""
        running = any(act.running is not None for act in self.acts.values())
        return not self.waiting and not running


# Last part of the id of the pseudo-program for acts that have no program.
STANDALONE_TOKEN = "any"


def standalone_program(program: str) -> Program:
    """Returns the pseudo-program for acts that belong to no program."""
    return Program(ProgramCreated(program, "", "", 0, 0, 0.0, 0.0))


def next_chain(chain: bytes, turn: TurnKept) -> bytes:
    """Returns the digest over a turn and, by ``chain``, all earlier turns."""
    blank = msgspec.structs.replace(turn, chain=b"")
    return hashlib.sha256(chain + msgspec.msgpack.encode(blank)).digest()


def apply(programs: dict[str, Program], record: Record) -> None:
    """Applies a record to ``programs``.

    Raises:
        InvariantError: The record is inconsistent with the state, due to a
            damaged log or a fault in the code that wrote it.
    """
    if isinstance(record, EpochOpened):
        _open_epoch(programs)
    elif isinstance(record, ProgramCreated):
        _create(programs, record)
    elif isinstance(record, ProgramRestored):
        programs[record.program] = _restore(record)
    else:
        program = programs.get(record.program)
        if program is None and record.program.endswith(f".{STANDALONE_TOKEN}"):
            program = standalone_program(record.program)
            programs[record.program] = program
        if program is None:
            raise InvariantError(
                f"Program {record.program} does not exist in this shard."
            )
        _change(programs, program, record)


def _open_epoch(programs: dict[str, Program]) -> None:
    """Counts all reserved tokens as spent.

    The previous owner may have sent calls whose usage was never committed. It
    can have spent at most what it had reserved.
    """
    for program in programs.values():
        program.spent = max(program.spent, program.reserved)


def _create(programs: dict[str, Program], record: ProgramCreated) -> None:
    programs[record.program] = Program(record)
    if parent := programs.get(record.parent):
        # Both increase, so that a turn of the parent that is in progress
        # keeps the tokens that were reserved for it.
        parent.spent += record.tokens
        parent.reserved += record.tokens
        if parent.pending_reserved:
            parent.pending_reserved += record.tokens


def _restore(record: ProgramRestored) -> Program:
    program = Program(record.made)
    for turn in record.turns:
        _keep_turn(program, turn)
    program.spent = record.spent
    program.reserved = record.reserved
    program.ended = record.ended
    return program


def snapshot(program: Program, epoch: int) -> list[Record]:
    """Returns records that rebuild the current state of a program."""
    restored = ProgramRestored(
        program.creation,
        program.spent,
        max(program.reserved, program.pending_reserved),
        program.ended,
        [turn.record for turn in program.turns],
    )
    name = program.creation.program
    acts: list[Record] = []
    for act in program.acts.values():
        acts.append(ActIntended(name, act.key, act.digest, epoch))
        if act.settled:
            acts.append(act.settled)
    return [restored, *acts]


def _change(
    programs: dict[str, Program], program: Program, record: Record
) -> None:
    match record:
        case BudgetReserved():
            program.reserved = max(
                program.reserved, record.tokens, program.pending_reserved
            )
        case BudgetSpent():
            program.spent += record.tokens
        case TurnKept():
            _keep_turn(program, record)
        case ActIntended():
            program.acts[record.key] = Act(record.key, record.digest)
        case ActSettled():
            program.acts[record.key].settled = record
        case ActWithdrawn():
            act = program.acts.get(record.key)
            if act and act.settled is None:
                del program.acts[record.key]
        case ProgramEnded():
            _end(programs, program, record)


def _keep_turn(program: Program, record: TurnKept) -> None:
    if record.turn != len(program.turns) + 1:
        raise InvariantError(
            f"Turn {record.turn} of {record.program} follows turn"
            f" {len(program.turns)}."
        )
    program.turns.append(Turn(record))
    del program.transcript[record.base :]
    program.transcript += [*record.messages, record.answer]
    program.spent = max(program.spent, record.spent)


def _end(
    programs: dict[str, Program], program: Program, record: ProgramEnded
) -> None:
    if program.ended is not None:
        return
    program.ended = record.ended
    parent = programs.get(program.creation.parent)
    if parent and parent.ended is None:
        left = max(0, program.tokens_left)
        parent.spent -= left
        parent.reserved -= left
        parent.pending_reserved = max(0, parent.pending_reserved - left)


def is_unknown(act: Act) -> bool:
    """Whether an act was settled with an unknown outcome."""
    return act.settled is not None and act.settled.ran is Ran.UNKNOWN
