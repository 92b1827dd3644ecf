"""Chat-completion bodies: of the caller and for the engine."""

import hashlib

import msgspec

from rattanmill_core import DECODE_ERRORS

_DEFAULT_OUTPUT_TOKENS = 1024
_TEMPLATE_TOKENS_PER_MESSAGE = 16
_ONE_ANSWER = (b"1", b"null")


class ChatBody(msgspec.Struct):
    """A caller's chat-completion request.

    Attributes:
        model: Requested model.
        messages: Canonical JSON of each message.
        fields: All other fields, forwarded unchanged.
        receipts: Receipts that the caller returns.
        max_tokens: Maximum tokens of the answer.
    """

    model: str
    messages: list[bytes]
    fields: dict[str, msgspec.Raw]
    receipts: list[str]
    max_tokens: int

    @property
    def digest(self) -> bytes:
        """Digest that identifies the content of the request."""
        digest = hashlib.sha256(self.model.encode())
        for message in self.messages:
            digest.update(message + b"\n")
        for name in sorted(self.fields):
            digest.update(name.encode() + b"=" + bytes(self.fields[name]))
        return digest.digest()


class _RequestBody(msgspec.Struct):
    model: str
    messages: list[dict]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    rattanmill_receipts: list[str] = msgspec.field(default_factory=list)


_CONSUMED_FIELDS = frozenset(
    (*_RequestBody.__struct_fields__, "stream_options", "rattanmill")
)
_FIELDS_DECODER = msgspec.json.Decoder(dict[str, msgspec.Raw])
_BODY_DECODER = msgspec.json.Decoder(_RequestBody)


def parse_chat(body: bytes) -> ChatBody | str:
    """Returns the request, or a text with the error in the body."""
    try:
        wire = _BODY_DECODER.decode(body)
        fields = _FIELDS_DECODER.decode(body)
    except DECODE_ERRORS as error:
        return str(error)
    if not wire.messages:
        return "messages: must not be empty"
    requested = wire.max_completion_tokens or wire.max_tokens
    if requested is not None and requested < 1:
        return "max_tokens: must be at least 1"
    if bytes(fields.get("n", b"1")) not in _ONE_ANSWER:
        # The parts of several answers would be joined to one.
        return "n: must be 1"
    return ChatBody(
        wire.model,
        [canonical_json(message) for message in wire.messages],
        {k: v for k, v in fields.items() if k not in _CONSUMED_FIELDS},
        wire.rattanmill_receipts,
        requested or _DEFAULT_OUTPUT_TOKENS,
    )


class _Stream(msgspec.Struct):
    stream: bool = False


def requests_stream(body: bytes) -> bool:
    """Whether a body requests a streamed answer; False if it is invalid."""
    try:
        return msgspec.json.decode(body, type=_Stream).stream
    except DECODE_ERRORS:
        return False


def canonical_json(message: dict) -> bytes:
    """Returns the JSON of a message with sorted keys."""
    return msgspec.json.encode(message, order="sorted")


def common_prefix_length(first: list[bytes], second: list[bytes]) -> int:
    """Returns the number of leading messages that two lists share."""
    count = 0
    for mine, theirs in zip(first, second, strict=False):
        if mine != theirs:
            break
        count += 1
    return count


def upstream_body(
    chat: ChatBody, messages: list[bytes], max_tokens: int
) -> bytes:
    """Returns the body for an engine, always with streaming and usage."""
    fields = dict(chat.fields)
    fields["model"] = msgspec.Raw(msgspec.json.encode(chat.model))
    fields["messages"] = msgspec.Raw(b"[" + b",".join(messages) + b"]")
    fields["max_tokens"] = msgspec.Raw(str(max_tokens).encode())
    fields["stream"] = msgspec.Raw(b"true")
    fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(fields)


def max_prompt_tokens(messages: list[bytes]) -> int:
    """Returns an upper bound for the tokens of a prompt.

    A token has at least one byte, and templates add a few per message.
    """
    return sum(
        len(message) + _TEMPLATE_TOKENS_PER_MESSAGE for message in messages
    )


def prefix_digests(
    model: str, messages: list[bytes]
) -> list[tuple[bytes, int]]:
    """Returns the digest of the prefix up to each message.

    Each comes with the estimated tokens of its last message.
    """
    digest = hashlib.sha256(model.encode()).digest()
    prefixes = []
    for message in messages:
        digest = hashlib.sha256(digest + message).digest()
        prefixes.append((digest, 1 + len(message) // 4))
    return prefixes
