"""Puts the lines of several instances together to the story of a request."""

import re
from collections.abc import Iterable, Sequence

import msgspec

from rattanmill_cli.courses import OF_INSTANCES, OF_OTHERS, courses
from rattanmill_cli.lines import Line, read_lines

# Fields that may name what the story is about.
_IDS = ("request", "program", "attempt", "turn", "asked_for", "previous")
# These lines bear a request but not its program.
_OF_REQUESTS = ("retried", "turn_missing", "caller_left", "refused")
# Tells which instance an address belongs to.
_ADDRESSES = "keeper_seen"
_EVENTS = (*_OF_REQUESTS, *OF_INSTANCES, *OF_OTHERS, _ADDRESSES)
_AROUND = re.compile(f'"event": *"({"|".join(_EVENTS)})"'.encode())


class Skew(msgspec.Struct, frozen=True):
    """One clock goes behind another.

    Attributes:
        behind: The instance whose clock is behind.
        ahead: The other one.
        seconds: By how much at least.
    """

    behind: str
    ahead: str
    seconds: float


class Story(msgspec.Struct):
    """What happened to a request or program.

    Attributes:
        lines: Lines about it and about those who took part, in order.
        own: The lines about it alone.
        skews: Clocks that cannot be right; their lines stand later here.
        unreadable: Lines that could not be read.
    """

    lines: list[Line]
    own: list[Line]
    skews: list[Skew]
    unreadable: int = 0


def tell(ident: str, paths: Sequence[str]) -> Story:
    """Returns the story of a request, turn or program.

    Args:
        ident: Its id.
        paths: Logs of the instances.

    Raises:
        UsageError: A file cannot be read.
    """
    key = ident.encode()
    direct = read_lines(paths, lambda raw: key in raw)
    named = [line for line in direct.lines if _names(line, {ident})]
    requests = {
        str(line.get(name))
        for line in named
        for name in ("request", "attempt")
        if line.get(name)
    }
    around = read_lines(paths, lambda raw: _AROUND.search(raw) is not None)
    own = _merge(named, [x for x in around.lines if _names(x, requests)])
    skews = find_skews(own)
    others = _beliefs(own, around.lines) if own else []
    return Story(
        _in_order(_merge(own, others), skews),
        _in_order(own, skews),
        skews,
        max(direct.unreadable, around.unreadable),
    )


def _names(line: Line, idents: set[str]) -> bool:
    return any(line.get(name) in idents for name in _IDS if line.get(name))


def _merge(one: list[Line], two: list[Line]) -> list[Line]:
    seen = [*one]
    known = {_key(line) for line in one}
    seen += [line for line in two if _key(line) not in known]
    return seen


def _key(line: Line) -> tuple[float, str, str, str]:
    return line.time, line.instance, line.event, str(line.fields)


def find_skews(lines: Iterable[Line]) -> list[Skew]:
    """Finds clocks that are wrong, by what must come after what.

    A turn that continues another is admitted after that one was kept. One
    that seems to come before tells how far its clock is behind at least.
    """
    lines = list(lines)
    kept = {
        line.get("request"): line for line in lines if line.event == "turn_kept"
    }
    found: dict[tuple[str, str], float] = {}
    for line in lines:
        before = kept.get(line.get("previous"))
        if line.event != "admitted" or before is None:
            continue
        seconds = before.time - line.time
        pair = line.instance, before.instance
        if seconds > max(0.0, found.get(pair, 0.0)):
            found[pair] = seconds
    return [Skew(*pair, seconds) for pair, seconds in sorted(found.items())]


def _in_order(lines: list[Line], skews: list[Skew]) -> list[Line]:
    shift = {skew.behind: skew.seconds for skew in skews}
    moved = [
        msgspec.structs.replace(
            line, time=line.time + shift.get(line.instance, 0.0)
        )
        for line in lines
    ]
    return sorted(moved, key=lambda line: (line.time, line.instance in shift))


def _beliefs(own: list[Line], around: list[Line]) -> list[Line]:
    """Returns what befell those who took part in what went wrong."""
    addresses = {
        line.get("address"): line.get("keeper")
        for line in around
        if line.event == _ADDRESSES
    }
    named = [_with_name(line, addresses) for line in around]
    found: list[Line] = []
    for course in courses(own):
        if not course.is_answered:
            found = _merge(found, [x for x in named if course.concerns(x)])
    return found


def _with_name(line: Line, addresses: dict[str, str]) -> Line:
    name = addresses.get(line.get("peer"))
    if not name:
        return line
    fields = {**line.fields, "peer": name}
    return msgspec.structs.replace(line, fields=fields)
