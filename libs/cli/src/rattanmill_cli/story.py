"""Merges the logs of several instances into the timeline of a request."""

import re
from collections.abc import Iterable, Sequence

import msgspec

from rattanmill_cli.courses import INSTANCE_EVENTS, PEER_EVENTS, request_traces
from rattanmill_cli.lines import Line, read_lines

# Fields that may hold the id that the timeline is about.
_IDS = ("request", "program", "attempt", "turn", "asked_for", "previous")
# These events carry the id of a request but not that of its program.
_REQUEST_EVENTS = ("retried", "turn_missing", "caller_left", "refused")
# Maps an address to the name of its instance.
_ADDRESS_EVENT = "keeper_seen"
_CONTEXT_EVENTS = (
    *_REQUEST_EVENTS,
    *INSTANCE_EVENTS,
    *PEER_EVENTS,
    _ADDRESS_EVENT,
)
_CONTEXT_PATTERN = re.compile(
    f'"event": *"({"|".join(_CONTEXT_EVENTS)})"'.encode()
)


class Skew(msgspec.Struct, frozen=True):
    """Clock skew between two instances.

    Attributes:
        behind: The instance whose clock is behind.
        ahead: The instance that it is compared with.
        seconds: Lower bound of the skew.
    """

    behind: str
    ahead: str
    seconds: float


class Timeline(msgspec.Struct):
    """Timeline of a request or program.

    Attributes:
        lines: Lines about it and about the participants, in order of time.
        own: Only the lines about the request or program itself.
        skews: Clocks known to be behind; their lines are shifted later.
        unreadable: Lines that could not be read.
    """

    lines: list[Line]
    own: list[Line]
    skews: list[Skew]
    unreadable: int = 0


def build_timeline(ident: str, paths: Sequence[str]) -> Timeline:
    """Returns the timeline of a request, turn or program.

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
    around = read_lines(
        paths, lambda raw: _CONTEXT_PATTERN.search(raw) is not None
    )
    own = _merge(named, [x for x in around.lines if _names(x, requests)])
    skews = find_skews(own)
    others = _context_lines(own, around.lines) if own else []
    return Timeline(
        _sort_corrected(_merge(own, others), skews),
        _sort_corrected(own, skews),
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
    """Finds clock skew from the causal order of events.

    A turn that continues another is admitted after that one was kept. If it
    seems to come before, the difference is a lower bound of the skew.
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


def _sort_corrected(lines: list[Line], skews: list[Skew]) -> list[Line]:
    shift = {skew.behind: skew.seconds for skew in skews}
    moved = [
        msgspec.structs.replace(
            line, time=line.time + shift.get(line.instance, 0.0)
        )
        for line in lines
    ]
    return sorted(moved, key=lambda line: (line.time, line.instance in shift))


def _context_lines(own: list[Line], around: list[Line]) -> list[Line]:
    """Returns events of the participants in requests that failed."""
    addresses = {
        line.get("address"): line.get("keeper")
        for line in around
        if line.event == _ADDRESS_EVENT
    }
    named = [_with_peer_name(line, addresses) for line in around]
    found: list[Line] = []
    for trace in request_traces(own):
        if not trace.is_answered:
            found = _merge(found, [x for x in named if trace.concerns(x)])
    return found


def _with_peer_name(line: Line, addresses: dict[str, str]) -> Line:
    name = addresses.get(line.get("peer"))
    if not name:
        return line
    fields = {**line.fields, "peer": name}
    return msgspec.structs.replace(line, fields=fields)
