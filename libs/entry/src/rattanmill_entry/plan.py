"""A turn that is ready to run."""

import msgspec

from rattanmill_entry.chatbody import ChatBody


class Plan(msgspec.Struct):
    """A turn that is ready to run.

    Attributes:
        number: Turn number.
        chat: The caller's request.
        messages: The whole conversation for the engine.
        base: Messages kept of the conversation so far.
        max_tokens: Most tokens of the answer.
    """

    number: int
    chat: ChatBody
    messages: list[bytes]
    base: int
    max_tokens: int
