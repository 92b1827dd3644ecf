"""Requests as the lines of logs show them, and whom each concerned."""

from collections.abc import Iterable

import msgspec

from rattanmill_cli.lines import Line

# What befell those who took part, so long before and after a request.
_BEFORE_SECONDS = 2.0
_AFTER_SECONDS = 3.0
# What instances say of themselves.
OF_INSTANCES = (
    *("started", "stopping", "stopped", "journal_read", "keeper_whole"),
    *("store_away", "store_up", "readiness", "domain_cut", "domain_back"),
    *("registration_lapsed", "emptying_begun", "share_reviewed"),
)
# What they think of others.
OF_OTHERS = (
    *("endpoint_suspected", "endpoint_gone", "keeper_gone"),
    *("peer_silent", "peer_back", "domain_suspected", "domain_given_up"),
)
_ENDS = ("refused", "answered", "broken_off", "caller_left")


class Course(msgspec.Struct):
    """The lines of one request.

    Attributes:
        lines: In order; the first tells that it was admitted.
    """

    lines: list[Line]

    @property
    def request(self) -> str:
        """Its id."""
        return self.lines[0].get("request")

    @property
    def end(self) -> Line | None:
        """How it ended, if these files tell."""
        ends = [line for line in self.lines if line.event in _ENDS]
        return ends[-1] if ends else None

    @property
    def is_answered(self) -> bool:
        """Whether its caller got a whole answer."""
        return self.end is not None and self.end.event == "answered"

    def concerns(self, line: Line) -> bool:
        """Whether a line tells what befell those who took part in it."""
        front = self.lines[0].instance
        start = self.lines[0].time - _BEFORE_SECONDS
        if not start <= line.time <= self.lines[-1].time + _AFTER_SECONDS:
            return False
        holders = {
            name for each in self.lines for name in each.get("holders") or ()
        }
        if line.event in OF_INSTANCES:
            return line.instance in {front, *holders}
        if line.event not in OF_OTHERS or line.instance != front:
            return False
        endpoints = {each.get("endpoint") for each in self.lines} - {""}
        about = {line.get("endpoint"), line.get("keeper"), line.get("peer")}
        return bool(about & (holders | endpoints)) or "domain" in line.event


def courses(own: Iterable[Line]) -> list[Course]:
    """Returns the requests of a story in the order of their arrival."""
    found: dict[str, Course] = {}
    for line in sorted(own, key=lambda line: line.time):
        request = line.get("request")
        if line.event == "admitted":
            found.setdefault(request, Course([line]))
        elif request in found:
            found[request].lines.append(line)
    return list(found.values())
