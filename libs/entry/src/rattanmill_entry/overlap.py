"""Compares another run of an answer with what has been delivered of it.

Engines do not promise to make the same tokens twice. A second run may go on
where the first was cut only if it begins with all that the caller has seen.
"""

from collections.abc import Iterator

import msgspec

_Path = tuple[str, ...]


class Mismatch(msgspec.Struct, frozen=True):
    """The new run differs from what has been delivered."""


class Overlap:
    """What has been delivered, and how much of it a new run has repeated."""

    def __init__(self) -> None:
        self.delivered: dict[_Path, list[str]] = {}
        self.missing: dict[_Path, str] = {}

    def restart(self) -> None:
        """Begins the comparison with a new run."""
        self.missing = {k: "".join(v) for k, v in self.delivered.items()}

    @property
    def is_complete(self) -> bool:
        """Whether the new run has repeated everything delivered."""
        return not any(self.missing.values())

    def take(self, fields: dict) -> dict | Mismatch:
        """Returns the part of a delta that has not been delivered yet."""
        for path, text in _texts(fields):
            missing = self.missing.get(path, "")
            count = min(len(missing), len(text))
            if missing[:count] != text[:count]:
                return Mismatch()
        return self._rest(fields)

    def _rest(self, fields: dict) -> dict:
        rest = fields
        for path, text in list(_texts(fields)):
            missing = self.missing.get(path, "")
            if missing:
                self.missing[path] = missing[len(text) :]
                rest = _shorten(rest, path, len(missing))
            if new := text[len(missing) :]:
                self.delivered.setdefault(path, []).append(new)
        return rest


def _texts(fields: dict, at: _Path = ()) -> Iterator[tuple[_Path, str]]:
    """Yields path and text of each string in a delta."""
    for name, value in fields.items():
        if isinstance(value, str):
            yield (*at, name), value
        elif isinstance(value, dict):
            yield from _texts(value, (*at, name))
        elif name == "tool_calls" and isinstance(value, list):
            for call in value:
                index = str(call.get("index", 0))
                yield from _texts(call, (*at, name, index))


def _shorten(fields: dict, path: _Path, count: int) -> dict:
    """Returns the delta without the first letters of one of its strings."""
    name, *rest = path
    value = fields[name]
    if not rest:
        left = value[count:]
        kept = {k: v for k, v in fields.items() if k != name}
        return {**kept, name: left} if left else kept
    if name == "tool_calls":
        index, *inner = rest
        value = [
            _shorten(call, tuple(inner), count)
            if str(call.get("index", 0)) == index
            else call
            for call in value
        ]
    else:
        value = _shorten(value, tuple(rest), count)
    return {**fields, name: value}
