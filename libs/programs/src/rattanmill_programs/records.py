"""Records of a shard's log, and the segments in which they are committed.

Replaying a shard's segments in order rebuilds its programs. The form is
msgpack; a record is applied the same way live and at replay (see
``program.apply``).
"""

import msgspec

from rattanmill_core import Ran


class EpochOpened(msgspec.Struct, tag=1, frozen=True):
    """A new owner starts here; what an older epoch writes later is refused."""

    epoch: int
    owner: str


class ProgramCreated(msgspec.Struct, tag=2, frozen=True):
    """A program exists.

    Attributes:
        program: Program id.
        klass: Class of work.
        workspace: Workspace it belongs to.
        tokens: Budget in tokens.
        turns: Budget in turns.
        seconds: Budget in seconds of wall time.
        created: Seconds since the epoch.
        parent: Program from whose budget this one's is carved, or empty.
    """

    program: str
    klass: str
    workspace: str
    tokens: int
    turns: int
    seconds: float
    created: float
    parent: str = ""


class BudgetReserved(msgspec.Struct, tag=3, frozen=True):
    """Up to ``tokens`` in all may be spent by the epoch that wrote this."""

    program: str
    tokens: int


class TurnKept(msgspec.Struct, tag=4, frozen=True):
    """A finished turn.

    Attributes:
        program: Program id.
        turn: Number, from 1.
        digest: Digest of the request, to tell a repeat from another request.
        base: Number of messages kept of the conversation so far.
        messages: JSON of each message the turn added, without the answer.
        answer: JSON of the answer's message.
        finish: Why the answer ended.
        model: Model that answered.
        prompt_tokens: Tokens of the whole prompt.
        completion_tokens: Tokens of the answer.
        spent: Tokens the program had spent after this turn.
        chain: Digest over this turn and all before it.
    """

    program: str
    turn: int
    digest: bytes
    base: int
    messages: list[bytes]
    answer: bytes
    finish: str
    model: str
    prompt_tokens: int
    completion_tokens: int
    spent: int
    chain: bytes


class ActIntended(msgspec.Struct, tag=5, frozen=True):
    """A non-idempotent call may be sent from now on."""

    program: str
    key: str
    digest: bytes
    epoch: int


class ActSettled(msgspec.Struct, tag=6, frozen=True):
    """The outcome of a non-idempotent call.

    ``ran`` is ``yes`` with the service's answer, or ``unknown`` without one.
    """

    program: str
    key: str
    ran: Ran
    status: int = 0
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    body: bytes = b""


class ActWithdrawn(msgspec.Struct, tag=7, frozen=True):
    """A non-idempotent call that was intended was provably never sent."""

    program: str
    key: str


class ProgramEnded(msgspec.Struct, tag=8, frozen=True):
    """The program takes no more calls; its parent gets back what is left."""

    program: str
    ended: float


class BudgetSpent(msgspec.Struct, tag=9, frozen=True):
    """Tokens that an attempt without an answer may have cost."""

    program: str
    tokens: int


class ProgramRestored(msgspec.Struct, tag=10, frozen=True):
    """A program as it stood when the log was compacted.

    Its acts follow as records of their own. Whatever stood in the log about
    the program before this record is contained in it.

    Attributes:
        made: The record that made it.
        spent: Tokens spent.
        reserved: Tokens reserved, or that may have been.
        ended: Seconds since the epoch, or None.
        turns: All kept turns. What a turn says was spent may be more than is
            spent now, since a sub-agent that ended has given back.
    """

    made: ProgramCreated
    spent: int
    reserved: int
    ended: float | None
    turns: list[TurnKept]

    @property
    def program(self) -> str:
        """Program id."""
        return self.made.program


Record = (
    EpochOpened
    | ProgramCreated
    | BudgetReserved
    | TurnKept
    | ActIntended
    | ActSettled
    | ActWithdrawn
    | ProgramEnded
    | BudgetSpent
    | ProgramRestored
)


class Segment(msgspec.Struct, tag="segment", frozen=True):
    """Records committed together in one value of the key-value service.

    Attributes:
        id: Unique, so that a write whose answer was lost is recognised.
        epoch: Epoch of the owner that wrote it.
        records: In order.
    """

    id: str
    epoch: int
    records: list[Record]


class Piece(msgspec.Struct, tag="piece", frozen=True):
    """Part of a segment that is too large for one value.

    A segment counts only when all its pieces stand in slots that follow each
    other; one whose writer died between them was never told as kept.

    Attributes:
        id: Unique id of the whole segment, the same in each piece.
        epoch: Epoch of the owner that wrote it.
        index: Number of the piece, from 0.
        count: Number of pieces.
        data: Part of the segment's bytes.
    """

    id: str
    epoch: int
    index: int
    count: int
    data: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Segment)
_VALUE_DECODER = msgspec.msgpack.Decoder(Segment | Piece)


def encode_segment(segment: Segment) -> bytes:
    """Returns the bytes of a segment."""
    return _ENCODER.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Returns the segment.

    Raises:
        msgspec.DecodeError: The bytes are not a segment.
    """
    return _DECODER.decode(data)


def decode_value(data: bytes) -> Segment | Piece:
    """Returns what one slot of a log holds.

    Raises:
        msgspec.DecodeError: The bytes are neither.
    """
    return _VALUE_DECODER.decode(data)


def encode_values(segment: Segment, most_bytes: int) -> list[bytes]:
    """Returns a segment as values of the key-value service, one a slot.

    Args:
        segment: What to write.
        most_bytes: Longest value, apart from what frames a piece.
    """
    data = encode_segment(segment)
    if len(data) <= most_bytes:
        return [data]
    parts = [
        data[at : at + most_bytes] for at in range(0, len(data), most_bytes)
    ]
    return [
        _ENCODER.encode(
            Piece(segment.id, segment.epoch, index, len(parts), part)
        )
        for index, part in enumerate(parts)
    ]
