"""Encodes answers to chat calls: as one JSON body or as a stream of events."""

import time

import msgspec

from rattanmill_entry.chatbody import canonical_json
from rattanmill_entry.deltas import join_fields
from rattanmill_entry.upstream import Delta, Finished, Usage

DONE_EVENT = b"data: [DONE]\n\n"


class AnswerBuilder:
    """Joins the parts of an answer into one message."""

    def __init__(self) -> None:
        self.fields: dict = {"role": "assistant", "content": ""}

    def add(self, delta: Delta) -> None:
        """Adds a part."""
        join_fields(self.fields, delta.fields)

    def message(self) -> bytes:
        """Returns the canonical JSON of the whole message."""
        fields = dict(self.fields)
        if calls := fields.pop("tool_calls", None):
            calls = sorted(calls, key=lambda call: call.get("index", 0))
            fields["tool_calls"] = [_whole_call(call) for call in calls]
        return canonical_json(fields)


def _whole_call(call: dict) -> dict:
    """Returns a joined tool call in the form it has in a message."""
    function = {"name": "", "arguments": "", **(call.get("function") or {})}
    fields = {k: v for k, v in call.items() if k != "index"}
    return {"type": "function", **fields, "function": function}


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
