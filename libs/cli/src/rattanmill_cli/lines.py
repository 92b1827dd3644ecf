"""Reads the log lines that instances on the users' platform write."""

import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from rattanmill_core import DECODE_ERRORS, UsageError


class Line(msgspec.Struct, frozen=True):
    """One log event: a decision or a change of state of an instance.

    Attributes:
        time: Seconds since 1970, by the clock of the instance's machine.
        level: ``INFO``, ``WARNING`` or ``ERROR``.
        instance: Name of the instance that wrote it.
        event: What happened; docs/LOGS.md lists all.
        fields: The event's other fields.
    """

    time: float
    level: str
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Returns a field, or an empty string."""
        return self.fields.get(name, "")


class Reading(msgspec.Struct):
    """Result of reading log files.

    Attributes:
        lines: The lines that were selected.
        unreadable: Number of selected lines that are malformed, such as where
            a file was truncated or holds the output of other programs.
    """

    lines: list[Line] = msgspec.field(default_factory=list)
    unreadable: int = 0


def read_lines(
    paths: Iterable[str], is_wanted: Callable[[bytes], bool]
) -> Reading:
    """Reads the selected lines of several files.

    Args:
        paths: Log files; each may hold lines of several instances.
        is_wanted: Whether a line, undecoded, should be read. Logs of an hour
            hold millions of lines; only few are decoded.

    Raises:
        UsageError: A file cannot be read.
    """
    reading = Reading()
    for path in paths:
        for raw in filter(is_wanted, _raw_lines(path)):
            line = _decode(raw)
            if line is None:
                reading.unreadable += 1
            else:
                reading.lines.append(line)
    return reading


def _raw_lines(path: str) -> Iterator[bytes]:
    try:
        with pathlib.Path(path).open("rb") as file:
            yield from file
    except OSError as error:
        raise UsageError(f"{path}: cannot be read: {error.strerror}") from error


def _decode(raw: bytes) -> Line | None:
    # Log collectors put timestamps and names before the JSON object.
    start = raw.find(b"{")
    try:
        fields = msgspec.json.decode(raw[max(start, 0) :])
        return Line(
            float(fields.pop("time")),
            str(fields.pop("level", "")),
            str(fields.pop("instance")),
            str(fields.pop("event")),
            fields,
        )
    except (*DECODE_ERRORS, KeyError, TypeError, ValueError):
        return None
    except AttributeError:
        # Valid JSON, but not an object.
        return None


def describe(line: Line) -> str:
    """Formats a line without its time, for human readers."""
    fields = " ".join(
        f"{name}={_text(value)}"
        for name, value in line.fields.items()
        if value not in (None, "")
    )
    return f"{line.instance} {line.event} {fields}".rstrip()


def _text(value: object) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    text = str(value)
    return f'"{text}"' if " " in text else text
