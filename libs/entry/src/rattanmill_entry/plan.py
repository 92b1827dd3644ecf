"""A turn that is ready to run."""

import msgspec

from rattanmill_entry.chatbody import ChatBody


class Plan(msgspec.Struct):
    """A turn that is ready to run.

    Attributes:
        number: Turn number.
        chat: The caller's request.
        messages: JSON of each message of the whole conversation.
        base: Number of leading messages that are stored already.
        max_tokens: Maximum tokens of the answer.
    """

    number: int
    chat: ChatBody
    messages: list[bytes]
    base: int
    max_tokens: int
