"""Joins deltas, the parts in which an engine sends a message."""

# Sent once or repeated as a whole, never in pieces.
_UNDIVIDED_FIELDS = frozenset(("role", "id", "type"))


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
