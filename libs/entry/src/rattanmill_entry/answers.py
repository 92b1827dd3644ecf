"""Encodes answers to chat calls: as one JSON body or as a stream of events."""

import time

import msgspec

from rattanmill_entry.chatbody import canonical
from rattanmill_entry.upstream import Delta, Finished, Usage

DONE_EVENT = b"data: [DONE]\n\n"


class AnswerBuilder:
    """Joins the parts of an answer into one message."""

    def __init__(self) -> None:
        self.fields: dict = {"role": "assistant", "content": ""}
        self.tool_calls: dict[int, dict] = {}

    def add(self, delta: Delta) -> None:
        """Adds a part."""
        for name, value in delta.fields.items():
            if name == "tool_calls" and isinstance(value, list):
                for part in value:
                    self._add_tool_call(part)
            elif name == "content" or name.endswith("_content"):
                self.fields[name] = (self.fields.get(name) or "") + (
                    value or ""
                )
            elif name != "role":
                self.fields[name] = value

    def _add_tool_call(self, part: dict) -> None:
        """Appends a part of a tool call, whose arguments arrive in pieces."""
        call = self.tool_calls.setdefault(
            part.get("index", 0),
            {"type": "function", "function": {"name": "", "arguments": ""}},
        )
        for name, value in part.items():
            if name == "function":
                for field, text in value.items():
                    call["function"][field] += text or ""
            elif name != "index":
                call[name] = value

    def message(self) -> bytes:
        """Returns the canonical JSON of the whole message."""
        fields = dict(self.fields)
        if self.tool_calls:
            fields["tool_calls"] = [
                self.tool_calls[index] for index in sorted(self.tool_calls)
            ]
        return canonical(fields)


def _usage(usage: Usage) -> dict:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }


def completion_body(
    call: str, model: str, message: bytes, end: Finished, extra: dict
) -> bytes:
    """Returns the body of an answer that is not streamed.

    Args:
        call: Id of the call.
        model: Model that answered.
        message: JSON of the answer's message.
        end: Finish reason and usage.
        extra: Fields that rattanmill adds, such as a receipt.
    """
    choice = {
        "index": 0,
        "message": msgspec.Raw(message),
        "finish_reason": end.finish_reason,
    }
    body = {
        "id": f"chatcmpl-{call}",
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model,
        "choices": [choice],
        "usage": _usage(end.usage),
    }
    if extra:
        body["rattanmill"] = extra
    return msgspec.json.encode(body)


def chunk_event(
    call: str, model: str, delta: dict | msgspec.Raw, finish: str | None
) -> bytes:
    """Returns one event of a streamed answer."""
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return _event(call, model, {"choices": [choice]})


def end_events(call: str, model: str, end: Finished, extra: dict) -> bytes:
    """Returns the last events of a streamed answer."""
    last: dict = {"choices": [], "usage": _usage(end.usage)}
    if extra:
        last["rattanmill"] = extra
    finish = chunk_event(call, model, {}, end.finish_reason)
    return finish + _event(call, model, last) + DONE_EVENT


def error_event(problem: bytes) -> bytes:
    """Returns the event that ends the stream of an incomplete answer."""
    return b'data: {"error":' + problem + b"}\n\n"


def _event(call: str, model: str, fields: dict) -> bytes:
    event = {
        "id": f"chatcmpl-{call}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        **fields,
    }
    return b"data: " + msgspec.json.encode(event) + b"\n\n"
