"""Traces of requests in the logs, and the log lines related to each."""

from collections.abc import Iterable

import msgspec

from rattanmill_cli.lines import Line

# Events of the participants count as context of a request if they lie this
# long before its first line or after its last one.
_CONTEXT_BEFORE_SECONDS = 2.0
_CONTEXT_AFTER_SECONDS = 3.0
# Events that instances log about themselves.
INSTANCE_EVENTS = (
    *("started", "stopping", "stopped", "journal_read", "keeper_whole"),
    *("store_away", "store_up", "readiness", "domain_cut", "domain_back"),
    *("registration_lapsed", "emptying_begun", "share_reviewed"),
)
# Events that instances log about endpoints, peers and failure domains.
PEER_EVENTS = (
    *("endpoint_suspected", "endpoint_gone", "keeper_gone"),
    *("peer_silent", "peer_back", "domain_suspected", "domain_given_up"),
)
_END_EVENTS = ("refused", "answered", "broken_off", "caller_left")


class RequestTrace(msgspec.Struct):
    """The lines of one request.

    Attributes:
        lines: In order of time; the first is the ``admitted`` event.
    """

    lines: list[Line]

    @property
    def request(self) -> str:
        """The request id."""
        return self.lines[0].get("request")

    @property
    def end(self) -> Line | None:
        """The event that ended it; None if the files hold none."""
        ends = [line for line in self.lines if line.event in _END_EVENTS]
        return ends[-1] if ends else None

    @property
    def is_answered(self) -> bool:
        """Whether its caller got a complete answer."""
        return self.end is not None and self.end.event == "answered"

    def concerns(self, line: Line) -> bool:
        """Whether a line is an event of a participant around this request."""
        front = self.lines[0].instance
        start = self.lines[0].time - _CONTEXT_BEFORE_SECONDS
        if (
            not start
            <= line.time
            <= self.lines[-1].time + _CONTEXT_AFTER_SECONDS
        ):
            return False
        holders = {
            name for each in self.lines for name in each.get("holders") or ()
        }
        if line.event in INSTANCE_EVENTS:
            return line.instance in {front, *holders}
        if line.event not in PEER_EVENTS or line.instance != front:
            return False
        endpoints = {each.get("endpoint") for each in self.lines} - {""}
        about = {line.get("endpoint"), line.get("keeper"), line.get("peer")}
        return bool(about & (holders | endpoints)) or "domain" in line.event


def request_traces(own: Iterable[Line]) -> list[RequestTrace]:
    """Returns the traces of a timeline's requests in order of arrival."""
    found: dict[str, RequestTrace] = {}
    for line in sorted(own, key=lambda line: line.time):
        request = line.get("request")
        if line.event == "admitted":
            found.setdefault(request, RequestTrace([line]))
        elif request in found:
            found[request].lines.append(line)
    return list(found.values())
