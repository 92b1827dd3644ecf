"""A program's state and how records change it."""

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
    """A turn as it is held in memory."""

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
        settled: Outcome; None while it is under way or was lost.
        running: Done when the try that this process made has ended.
    """

    key: str
    digest: bytes
    settled: ActSettled | None = None
    running: asyncio.Future | None = None


class Program:
    """A program owned by this instance.

    Attributes:
        made: The record that made it.
        turns: Kept turns, in order.
        transcript: JSON of each message of the conversation so far.
        spent: Tokens spent, including those given to sub-agents.
        reserved: Tokens that may be spent without a further commit.
        held: Most tokens that the turn under way can cost.
        promised: Tokens of reservations that may yet be committed; another
            program must not be given them.
        acts: Non-idempotent calls by key.
        ended: Seconds since the epoch, or None.
        lock: Held while a turn runs, so that turns run in order.
        waiting: Turns that run or wait for the lock.
    """

    __slots__ = (
        "acts",
        "ended",
        "held",
        "lock",
        "made",
        "promised",
        "reserved",
        "spent",
        "transcript",
        "turns",
        "waiting",
    )

    def __init__(self, made: ProgramCreated) -> None:
        self.made = made
        self.turns: list[Turn] = []
        self.transcript: list[bytes] = []
        self.spent = 0
        self.reserved = 0
        self.held = 0
        self.promised = 0
        self.acts: dict[str, Act] = {}
        self.ended: float | None = None
        self.lock = asyncio.Lock()
        self.waiting = 0

    @property
    def chain(self) -> bytes:
        """Digest over all kept turns."""
        if not self.turns:
            return hashlib.sha256(self.made.program.encode()).digest()
        return self.turns[-1].record.chain

    @property
    def tokens_left(self) -> int:
        """Tokens that may still be spent."""
        return self.made.tokens - self.spent

    @property
    def tokens_unreserved(self) -> int:
        """Tokens that nothing has been promised."""
        used = max(self.spent + self.held, self.reserved, self.promised)
        return self.made.tokens - used

    @property
    def idle(self) -> bool:
        """Whether nothing of it is under way."""
        running = any(act.running is not None for act in self.acts.values())
        return not self.waiting and not running


# Last part of the id under which a shard keeps acts that have no program.
LOOSE_TOKEN = "any"


def loose_program(program: str) -> Program:
    """Returns the holder of a shard's acts that belong to no program."""
    return Program(ProgramCreated(program, "", "", 0, 0, 0.0, 0.0))


def next_chain(chain: bytes, turn: TurnKept) -> bytes:
    """Returns the digest over a turn and, by ``chain``, all before it."""
    blank = msgspec.structs.replace(turn, chain=b"")
    return hashlib.sha256(chain + msgspec.msgpack.encode(blank)).digest()


def apply(programs: dict[str, Program], record: Record) -> None:
    """Changes ``programs`` as the record says.

    Raises:
        InvariantError: The record does not follow from the state; the log or
            the code that wrote it is wrong.
    """
    if isinstance(record, EpochOpened):
        _open_epoch(programs)
    elif isinstance(record, ProgramCreated):
        _create(programs, record)
    elif isinstance(record, ProgramRestored):
        programs[record.program] = _restore(record)
    else:
        program = programs.get(record.program)
        if program is None and record.program.endswith(f".{LOOSE_TOKEN}"):
            program = loose_program(record.program)
            programs[record.program] = program
        if program is None:
            raise InvariantError(f"No program {record.program} in this shard.")
        _change(programs, program, record)


def _open_epoch(programs: dict[str, Program]) -> None:
    """Counts all that was reserved as spent.

    The owner before may have sent calls whose usage was never committed. What
    it could have spent at most is what it had reserved.
    """
    for program in programs.values():
        program.spent = max(program.spent, program.reserved)


def _create(programs: dict[str, Program], record: ProgramCreated) -> None:
    programs[record.program] = Program(record)
    if parent := programs.get(record.parent):
        # Both move: a turn of the parent that is under way keeps the room
        # that was reserved for it.
        parent.spent += record.tokens
        parent.reserved += record.tokens
        if parent.promised:
            parent.promised += record.tokens


def _restore(record: ProgramRestored) -> Program:
    program = Program(record.made)
    for turn in record.turns:
        _keep_turn(program, turn)
    program.spent = record.spent
    program.reserved = record.reserved
    program.ended = record.ended
    return program


def snapshot(program: Program, epoch: int) -> list[Record]:
    """Returns records that rebuild a program as it is now."""
    restored = ProgramRestored(
        program.made,
        program.spent,
        max(program.reserved, program.promised),
        program.ended,
        [turn.record for turn in program.turns],
    )
    name = program.made.program
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
                program.reserved, record.tokens, program.promised
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
    parent = programs.get(program.made.parent)
    if parent and parent.ended is None:
        left = max(0, program.tokens_left)
        parent.spent -= left
        parent.reserved -= left
        parent.promised = max(0, parent.promised - left)


def is_unknown(act: Act) -> bool:
    """Whether the outcome of an act will never be known."""
    return act.settled is not None and act.settled.ran is Ran.UNKNOWN
