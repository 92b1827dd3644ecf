"""Explains how requests ended and why, as far as the logs show."""

import collections
import itertools

from rattanmill_cli.courses import RequestTrace, request_traces
from rattanmill_cli.lines import Line, describe
from rattanmill_cli.story import Timeline

_FAULT_EVENTS = (
    *("started", "stopping", "store_away", "domain_cut", "peer_silent"),
    *("keeper_gone", "endpoint_suspected", "endpoint_gone"),
    *("registration_lapsed", "emptying_begun", "domain_suspected"),
)
_MAX_EVIDENCE_LINES = 4


def causes(timeline: Timeline) -> list[str]:
    """Returns sentences on how the requests ended and why, if known."""
    traces = request_traces(timeline.own)
    if not traces:
        return ["No front has admitted it, as far as these files tell."]
    failed = [trace for trace in traces if not trace.is_answered]
    trace = (failed or traces)[-1]
    sentences = [_count_ends(traces)] if len(traces) > 1 else []
    sentences += [_describe_end(timeline, trace)]
    sentences += _longest_wait([trace] if failed else traces)
    return sentences + (_evidence(timeline, trace) if failed else [])


def _count_ends(traces: list[RequestTrace]) -> str:
    ends = collections.Counter(
        "no end" if trace.end is None else _kind(trace.end) for trace in traces
    )
    kinds = ", ".join(f"{count} {kind}" for kind, count in ends.most_common())
    return f"{len(traces)} requests: {kinds}."


def _kind(end: Line) -> str:
    if end.event != "refused":
        return end.event.replace("_", " ")
    return f"refused ({end.get('reason')})"


def _describe_end(timeline: Timeline, trace: RequestTrace) -> str:
    request, end = trace.request, trace.end
    if end is None:
        return f"Request {request}: {_missing_end(timeline, trace.lines[0])}"
    after = end.get("after_ms")
    when = f" after {after} ms" if after != "" else ""
    match end.event:
        case "answered":
            return f"Request {request} was answered whole{when}."
        case "caller_left":
            return f"Request {request}: its caller closed the connection."
        case "broken_off":
            return f"Request {request} was broken off: {end.get('why')}."
    return (
        f"Request {request} was refused{when}: {end.get('reason')},"
        f" {end.get('detail')} (ran: {end.get('ran')})."
    )


def _missing_end(timeline: Timeline, admitted: Line) -> str:
    front = admitted.instance
    later = [
        line
        for line in timeline.lines
        if line.instance == front and line.time > admitted.time
    ]
    started = next((x for x in later if x.event == "started"), None)
    if started is None:
        return "no end in these files; the log ends early, or it still runs."
    stopping = any(line.event == "stopping" for line in later)
    how = "was told to stop" if stopping else "was killed or lost power"
    seconds = started.time - admitted.time
    return (
        f"no end. {front} {how} and started again {seconds:.3f} s after it"
        " had admitted it."
    )


def _longest_wait(traces: list[RequestTrace]) -> list[str]:
    """Names the two consecutive lines of a request furthest apart."""
    pairs = [
        pair for trace in traces for pair in itertools.pairwise(trace.lines)
    ]
    if not pairs:
        return []
    before, after = max(pairs, key=lambda pair: pair[1].time - pair[0].time)
    seconds = after.time - before.time
    where = before.get("endpoint")
    at = f" at {where}" if where else ""
    return [
        f"The longest wait: {seconds:.3f} s, from {before.event} to"
        f" {after.event}{at}."
    ]


def _evidence(timeline: Timeline, trace: RequestTrace) -> list[str]:
    """Lists faults of the participants up to the end of the request."""
    until = (trace.end or trace.lines[-1]).time
    faults = [
        line
        for line in timeline.lines
        if line.event in _FAULT_EVENTS
        and line.time <= until
        and trace.concerns(line)
    ]
    return [
        f"Before: {describe(line)}." for line in faults[-_MAX_EVIDENCE_LINES:]
    ]
