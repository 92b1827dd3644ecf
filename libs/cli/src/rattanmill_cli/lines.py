"""Lines of the logs that instances on the users' platform write."""

import pathlib
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from rattanmill_core import UsageError


class Line(msgspec.Struct, frozen=True):
    """One decision or change of belief of an instance.

    Attributes:
        time: Seconds since 1970, by the clock of the instance's machine.
        level: ``INFO``, ``WARNING`` or ``ERROR``.
        instance: Who wrote it.
        event: What happened; docs/LOGS.md lists all.
        fields: The event's own.
    """

    time: float
    level: str
    instance: str
    event: str
    fields: dict[str, Any]

    def get(self, name: str) -> Any:
        """Returns a field, or an empty text."""
        return self.fields.get(name, "")


class Reading(msgspec.Struct):
    """What was read of some files.

    Attributes:
        lines: Those that were wanted.
        unreadable: Wanted lines that are not of the form, as where a file was
            cut or holds the output of other programs.
    """

    lines: list[Line] = msgspec.field(default_factory=list)
    unreadable: int = 0


def read_lines(
    paths: Iterable[str], is_wanted: Callable[[bytes], bool]
) -> Reading:
    """Reads the lines of several files that are wanted.

    Args:
        paths: Files, one or several instances in each.
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
    # Collectors of logs put times and names before what an instance wrote.
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
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
    except AttributeError:
        # JSON, but not a table.
        return None


def describe(line: Line) -> str:
    """Returns a line without its time, for people."""
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
