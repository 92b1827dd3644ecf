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
)


class Segment(msgspec.Struct, frozen=True):
    """Records committed together in one value of the key-value service.

    Attributes:
        id: Unique, so that a write whose answer was lost is recognised.
        epoch: Epoch of the owner that wrote it.
        records: In order.
    """

    id: str
    epoch: int
    records: list[Record]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Segment)


def encode_segment(segment: Segment) -> bytes:
    """Returns the bytes of a segment."""
    return _ENCODER.encode(segment)


def decode_segment(data: bytes) -> Segment:
    """Returns the segment.

    Raises:
        msgspec.DecodeError: The bytes are not a segment.
    """
    return _DECODER.decode(data)
