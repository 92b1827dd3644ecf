"""Messages between instances: tagged msgpack after a version byte.

A message of another version, or one that cannot be decoded, yields None; the
receiver counts and drops it.
"""

import enum

import msgspec

from rattanmill_core import DECODE_ERRORS, CrashNote, EndpointNote, Refusal

_VERSION = b"\x01"


class CallKind(enum.StrEnum):
    """Operation that a forwarded call requests from the program's owner."""

    CHAT = "chat"
    SERVICE = "service"
    CREATE = "create"
    SHOW = "show"
    HISTORY = "history"
    END = "end"


class Heartbeat(msgspec.Struct, tag=1):
    """Reports that the sender is alive and which configuration it uses.

    Attributes:
        sender: Name of the instance.
        domain: Its failure domain.
        incarnation: Random id of the process, new after each restart.
        config_number: Number of the configuration document in force.
        leaving: Whether it is shutting down.
        reply: Whether this is the reply to a heartbeat.
    """

    sender: str
    domain: str
    incarnation: str
    config_number: int
    leaving: bool
    reply: bool


class ConfigAsk(msgspec.Struct, tag=2):
    """Requests the configuration document that the receiver has in force."""


class ConfigTell(msgspec.Struct, tag=3):
    """Carries a configuration document as JSON."""

    document: bytes


class CallStart(msgspec.Struct, tag=4):
    """Forwards a call to the owner of its program.

    Attributes:
        call: Id of the call; between instances that of one attempt to forward
            it, unique per connection.
        kind: Requested operation.
        program: Program id, or empty for a call without a program.
        turn: Turn number, or 0 if the caller gave none.
        method: HTTP method for services.
        path: Path after the service's name, including the query.
        service: Name of the service, or empty.
        headers: Headers to forward to the endpoint.
        body: Body of the request.
        stream: Whether the caller wants server-sent events.
        append: Whether ``body`` holds only the turn's new messages.
        workspace: Workspace of the caller.
        key: Idempotency key, or empty.
        act: Whether the call is non-idempotent.
        seconds_left: Seconds until the caller's deadline.
    """

    call: str
    kind: CallKind
    program: str = ""
    turn: int = 0
    method: str = "POST"
    path: str = ""
    service: str = ""
    headers: list[tuple[str, str]] = msgspec.field(default_factory=list)
    body: bytes = b""
    stream: bool = False
    append: bool = False
    workspace: str = ""
    key: str = ""
    act: bool = False
    seconds_left: float = 600.0


class CallCancel(msgspec.Struct, tag=5):
    """Reports that the caller has disconnected; the owner may stop the call."""

    call: str


class CallCredit(msgspec.Struct, tag=6):
    """Allows the owner to send ``count`` more chunks of a reply."""

    call: str
    count: int


class ReplyHead(msgspec.Struct, tag=7):
    """Status and headers of a reply."""

    call: str
    status: int
    headers: list[tuple[str, str]]


class ReplyChunk(msgspec.Struct, tag=8):
    """Chunk ``seq`` (counted from 0) of a reply's body."""

    call: str
    seq: int
    data: bytes


class ReplyEnd(msgspec.Struct, tag=9):
    """End of a reply of ``count`` chunks."""

    call: str
    count: int


class ReplyRefused(msgspec.Struct, tag=10):
    """End of a call that was refused, before or after its head."""

    call: str
    refusal: Refusal


class EndpointNotes(msgspec.Struct, tag=40):
    """Reports observations of endpoints and of requests that crash them.

    Attributes:
        domain: Failure domain of the sender.
        endpoints: Changes of endpoints.
        crashes: Crashes and finished runs of suspected requests.
    """

    domain: str
    endpoints: list[EndpointNote]
    crashes: list[CrashNote]


class PinsHeld(msgspec.Struct, tag=41):
    """Reports to an owner which pins an engine holds for its shard.

    Attributes:
        endpoint: Name of the engine.
        shard: ``DOMAIN.NUMBER``.
        pins: Program id and epoch of each pin.
    """

    endpoint: str
    shard: str
    pins: list[tuple[str, int]]


Message = (
    Heartbeat
    | ConfigAsk
    | ConfigTell
    | CallStart
    | CallCancel
    | CallCredit
    | ReplyHead
    | ReplyChunk
    | ReplyEnd
    | ReplyRefused
    | EndpointNotes
    | PinsHeld
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Returns a message as bytes, with the version byte in front."""
    return _VERSION + _ENCODER.encode(message)


def decode_message(data: bytes | bytearray) -> Message | None:
    """Returns the message, or None if its version or type is unknown."""
    if data[:1] != _VERSION:
        return None
    try:
        return _DECODER.decode(memoryview(data)[1:])
    except DECODE_ERRORS:
        return None
