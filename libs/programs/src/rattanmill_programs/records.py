"""Records of a shard's log, and the segments in which they are committed.

Replaying a shard's segments in order rebuilds its programs. Segments are
encoded as msgpack. A record is applied the same way live and at replay (see
``program.apply``).
"""

import msgspec

from rattanmill_core import Ran


class EpochOpened(msgspec.Struct, tag=1, frozen=True):
    """Start of an owner's epoch; later writes of older epochs are rejected."""

    epoch: int
    owner: str


class ProgramCreated(msgspec.Struct, tag=2, frozen=True):
    """A program was created.

    Attributes:
        program: Program id.
        klass: Work class.
        workspace: Workspace it belongs to.
        tokens: Budget in tokens.
        turns: Budget in turns.
        seconds: Budget in seconds of wall-clock time.
        created: Unix time in seconds.
        parent: Program whose budget this program's budget is part of, or empty.
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
    """The epoch that wrote this may spend up to ``tokens`` in total."""

    program: str
    tokens: int


class TurnKept(msgspec.Struct, tag=4, frozen=True):
    """A finished turn.

    Attributes:
        program: Program id.
        turn: Number, from 1.
        digest: Digest of the request, to distinguish a repeat from a different
            request.
        base: Number of messages of the previous conversation that remain.
        messages: JSON of each message that the turn added, except the answer.
        answer: JSON of the answer message.
        finish: Finish reason of the answer.
        model: Model that produced the answer.
        prompt_tokens: Tokens of the whole prompt.
        completion_tokens: Tokens of the answer.
        spent: Tokens that the program had spent after this turn.
        chain: Digest over this turn and all earlier turns.
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
    """Intent to send a non-idempotent call; committed before it is sent."""

    program: str
    key: str
    digest: bytes
    epoch: int


class ActSettled(msgspec.Struct, tag=6, frozen=True):
    """The outcome of a non-idempotent call.

    ``ran`` is ``yes`` with the service's response, or ``unknown`` without one.
    """

    program: str
    key: str
    ran: Ran
    status: int = 0
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    body: bytes = b""


class ActWithdrawn(msgspec.Struct, tag=7, frozen=True):
    """An intended non-idempotent call provably was not sent."""

    program: str
    key: str


class ProgramEnded(msgspec.Struct, tag=8, frozen=True):
    """The program takes no more calls; its parent gets the unspent tokens."""

    program: str
    ended: float


class BudgetSpent(msgspec.Struct, tag=9, frozen=True):
    """Tokens that an attempt without an answer may have used."""

    program: str
    tokens: int


class ProgramRestored(msgspec.Struct, tag=10, frozen=True):
    """State of a program when the log was compacted.

    Its acts follow as separate records. This record includes the effect of all
    earlier records of the program.

    Attributes:
        made: Record that created the program.
        spent: Tokens spent.
        reserved: Tokens that are reserved, or may be if a reservation whose
            outcome is unknown was committed.
        ended: Unix time in seconds at which the program ended, or None.
        turns: All kept turns. ``TurnKept.spent`` may exceed ``spent``, since a
            sub-agent that ended returned its unspent tokens.
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
        id: Unique id, to recognise a write whose response was lost.
        epoch: Epoch of the owner that wrote it.
        records: Records in the order in which they apply.
    """

    id: str
    epoch: int
    records: list[Record]


class Piece(msgspec.Struct, tag="piece", frozen=True):
    """Part of a segment that is too large for one value.

    A segment is valid only if all its pieces are in consecutive slots. If the
    writer died between them, the segment was never reported as committed.

    Attributes:
        id: Id of the whole segment, the same in each piece.
        epoch: Epoch of the owner that wrote it.
        index: Index of the piece, from 0.
        count: Number of pieces.
        data: This piece's part of the encoded segment.
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
    """Encodes a segment as msgpack."""
    return _ENCODER.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Decodes a segment.

    Raises:
        msgspec.DecodeError: The data is not a segment.
    """
    return _DECODER.decode(data)


def decode_value(data: bytes) -> Segment | Piece:
    """Decodes the value of one log slot.

    Raises:
        msgspec.DecodeError: The data is neither a segment nor a piece.
    """
    return _VALUE_DECODER.decode(data)


def encode_values(segment: Segment, max_bytes: int) -> list[bytes]:
    """Encodes a segment as values for consecutive log slots.

    Args:
        segment: Segment to encode.
        max_bytes: Maximum length of a value in bytes, without the framing of
            a piece.
    """
    data = encode_segment(segment)
    if len(data) <= max_bytes:
        return [data]
    parts = [data[at : at + max_bytes] for at in range(0, len(data), max_bytes)]
    return [
        _ENCODER.encode(
            Piece(segment.id, segment.epoch, index, len(parts), part)
        )
        for index, part in enumerate(parts)
    ]
