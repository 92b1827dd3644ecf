"""Joins deltas, the parts in which an engine sends a message."""

import msgspec

# Sent once or repeated as a whole, never in pieces.
_UNDIVIDED_FIELDS = frozenset(("role", "id", "type"))


class _ToolCallForm(msgspec.Struct):
    index: int = 0
    function: dict | None = None


class _DeltaForm(msgspec.Struct):
    content: str | None = None
    tool_calls: list[_ToolCallForm] | None = None


def check_delta(fields: dict) -> None:
    """Checks that a delta has a form that can be joined to others.

    Raises:
        msgspec.ValidationError: It has another form.
    """
    msgspec.convert(fields, _DeltaForm)


def join_fields(into: dict, later: dict) -> None:
    """Adds the strings of a later delta to those of an earlier one."""
    for name, value in later.items():
        earlier = into.get(name)
        if name == "tool_calls" and isinstance(value, list):
            into[name] = _join_calls(earlier or [], value)
        elif earlier is None:
            into[name] = value
        elif value is None or name in _UNDIVIDED_FIELDS:
            continue
        elif isinstance(earlier, str) and isinstance(value, str):
            into[name] = earlier + value
        elif isinstance(earlier, dict) and isinstance(value, dict):
            into[name] = dict(earlier)
            join_fields(into[name], value)
        else:
            into[name] = value


def _join_calls(earlier: list[dict], later: list[dict]) -> list[dict]:
    calls: dict[int, dict] = {}
    for call in [*earlier, *later]:
        index = call.get("index", 0)
        if index not in calls:
            calls[index] = dict(call)
            continue
        changes = {k: v for k, v in call.items() if k != "index"}
        join_fields(calls[index], changes)
    return list(calls.values())
