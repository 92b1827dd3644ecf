"""The chat-completion body: what the caller sent and what goes upstream."""

import hashlib

import msgspec

_DEFAULT_OUTPUT_TOKENS = 1024
_TOKENS_PER_MESSAGE = 16


class ChatBody(msgspec.Struct):
    """A caller's chat-completion request.

    Attributes:
        model: Model asked for.
        messages: Canonical JSON of each message.
        fields: All other fields, passed on as they are.
        receipts: Receipts the caller brings back.
        max_tokens: Most tokens of the answer that the caller allows.
    """

    model: str
    messages: list[bytes]
    fields: dict[str, msgspec.Raw]
    receipts: list[str]
    max_tokens: int

    @property
    def digest(self) -> bytes:
        """Digest of what makes this request differ from another."""
        digest = hashlib.sha256(self.model.encode())
        for message in self.messages:
            digest.update(message + b"\n")
        for name in sorted(self.fields):
            digest.update(name.encode() + b"=" + bytes(self.fields[name]))
        return digest.digest()


class _Wire(msgspec.Struct):
    model: str
    messages: list[dict]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    rattanmill_receipts: list[str] = msgspec.field(default_factory=list)


_OWN_FIELDS = frozenset(
    (*_Wire.__struct_fields__, "stream_options", "rattanmill")
)
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])
_WIRE = msgspec.json.Decoder(_Wire)


def parse_chat(body: bytes) -> ChatBody | str:
    """Returns the request, or what is wrong with it."""
    try:
        wire = _WIRE.decode(body)
        fields = _FIELDS.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return str(error)
    if not wire.messages:
        return "messages: must not be empty"
    wanted = wire.max_completion_tokens or wire.max_tokens
    if wanted is not None and wanted < 1:
        return "max_tokens: must be at least 1"
    return ChatBody(
        wire.model,
        [canonical(message) for message in wire.messages],
        {k: v for k, v in fields.items() if k not in _OWN_FIELDS},
        wire.rattanmill_receipts,
        wanted or _DEFAULT_OUTPUT_TOKENS,
    )


class _Stream(msgspec.Struct):
    stream: bool = False


def asks_stream(body: bytes) -> bool:
    """Whether a body asks for a streamed answer; False if it is broken."""
    try:
        return msgspec.json.decode(body, type=_Stream).stream
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False


def canonical(message: dict) -> bytes:
    """Returns the JSON of a message with sorted keys."""
    return msgspec.json.encode(message, order="sorted")


def common_messages(one: list[bytes], other: list[bytes]) -> int:
    """Returns how many messages two conversations share from the start."""
    count = 0
    for mine, theirs in zip(one, other, strict=False):
        if mine != theirs:
            break
        count += 1
    return count


def upstream_body(
    chat: ChatBody, messages: list[bytes], max_tokens: int
) -> bytes:
    """Returns the body for an engine, always streamed and with usage."""
    fields = dict(chat.fields)
    fields["model"] = msgspec.Raw(msgspec.json.encode(chat.model))
    fields["messages"] = msgspec.Raw(b"[" + b",".join(messages) + b"]")
    fields["max_tokens"] = msgspec.Raw(str(max_tokens).encode())
    fields["stream"] = msgspec.Raw(b"true")
    fields["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(fields)


def prompt_bound(messages: list[bytes]) -> int:
    """Returns the most tokens a prompt can have.

    A token is at least one byte, and templates add a few for each message.
    """
    return sum(len(message) + _TOKENS_PER_MESSAGE for message in messages)


def prefix_digests(
    model: str, messages: list[bytes]
) -> list[tuple[bytes, int]]:
    """Returns digest and estimated tokens of each prefix, by message."""
    chain = hashlib.sha256(model.encode()).digest()
    prefixes = []
    for message in messages:
        chain = hashlib.sha256(chain + message).digest()
        prefixes.append((chain, 1 + len(message) // 4))
    return prefixes
