"""Compares a repeated run of an answer with the part already delivered.

Engines do not guarantee the same tokens in two runs. A second run may
continue an answer that was cut off only if it starts with all the text that
the caller has received.
"""

from collections.abc import Iterator

import msgspec

_Path = tuple[str, ...]


class Mismatch(msgspec.Struct, frozen=True):
    """The new run differs from what has been delivered."""


class Overlap:
    """Tracks the delivered text, and how much of it a new run has repeated.

    Attributes:
        delivered: Delivered pieces of text, by path of the field.
        unrepeated: Delivered text that the current run has not repeated yet,
            by path of the field.
    """

    def __init__(self) -> None:
        self.delivered: dict[_Path, list[str]] = {}
        self.unrepeated: dict[_Path, str] = {}

    def start_run(self) -> None:
        """Starts the comparison with a new run."""
        self.unrepeated = {k: "".join(v) for k, v in self.delivered.items()}

    @property
    def is_complete(self) -> bool:
        """Whether the new run has repeated everything delivered."""
        return not any(self.unrepeated.values())

    def take_undelivered(self, fields: dict) -> dict | Mismatch:
        """Returns the part of a delta to deliver, and counts it as delivered.

        Args:
            fields: The delta.

        Returns:
            The delta without the text that was delivered before; Mismatch if
            it differs from that text.
        """
        for path, text in _string_fields(fields):
            unrepeated = self.unrepeated.get(path, "")
            count = min(len(unrepeated), len(text))
            if unrepeated[:count] != text[:count]:
                return Mismatch()
        return self._strip_repeated(fields)

    def _strip_repeated(self, fields: dict) -> dict:
        rest = fields
        for path, text in list(_string_fields(fields)):
            unrepeated = self.unrepeated.get(path, "")
            if unrepeated:
                self.unrepeated[path] = unrepeated[len(text) :]
                rest = _drop_prefix(rest, path, len(unrepeated))
            if new := text[len(unrepeated) :]:
                self.delivered.setdefault(path, []).append(new)
        return rest


def _string_fields(fields: dict, at: _Path = ()) -> Iterator[tuple[_Path, str]]:
    """Yields the path and text of each string in a delta."""
    for name, value in fields.items():
        if isinstance(value, str):
            yield (*at, name), value
        elif isinstance(value, dict):
            yield from _string_fields(value, (*at, name))
        elif name == "tool_calls" and isinstance(value, list):
            for call in value:
                index = str(call.get("index", 0))
                yield from _string_fields(call, (*at, name, index))


def _drop_prefix(fields: dict, path: _Path, count: int) -> dict:
    """Returns the delta without the first characters of one of its strings."""
    name, *rest = path
    value = fields[name]
    if not rest:
        left = value[count:]
        kept = {k: v for k, v in fields.items() if k != name}
        return {**kept, name: left} if left else kept
    if name == "tool_calls":
        index, *inner = rest
        value = [
            _drop_prefix(call, tuple(inner), count)
            if str(call.get("index", 0)) == index
            else call
            for call in value
        ]
    else:
        value = _drop_prefix(value, tuple(rest), count)
    return {**fields, name: value}
