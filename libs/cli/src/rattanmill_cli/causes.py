"""Says how a story ended and why, as far as the logs tell."""

import collections
import itertools

from rattanmill_cli.courses import Course, courses
from rattanmill_cli.lines import Line, describe
from rattanmill_cli.story import Story

_BAD = (
    *("started", "stopping", "store_away", "domain_cut", "peer_silent"),
    *("keeper_gone", "endpoint_suspected", "endpoint_gone"),
    *("registration_lapsed", "emptying_begun", "domain_suspected"),
)
_MOST_EVIDENCE = 4


def causes(story: Story) -> list[str]:
    """Returns sentences that say how it ended and why, as far as seen."""
    all_of_them = courses(story.own)
    if not all_of_them:
        return ["No front has admitted it, as far as these files tell."]
    wrong = [course for course in all_of_them if not course.is_answered]
    told = (wrong or all_of_them)[-1]
    sentences = [_count(all_of_them)] if len(all_of_them) > 1 else []
    sentences += [_ending(story, told)]
    sentences += _longest_wait([told] if wrong else all_of_them)
    return sentences + (_evidence(story, told) if wrong else [])


def _count(all_of_them: list[Course]) -> str:
    ends = collections.Counter(
        "no end" if course.end is None else _kind(course.end)
        for course in all_of_them
    )
    kinds = ", ".join(f"{count} {kind}" for kind, count in ends.most_common())
    return f"{len(all_of_them)} requests: {kinds}."


def _kind(end: Line) -> str:
    if end.event != "refused":
        return end.event.replace("_", " ")
    return f"refused ({end.get('reason')})"


def _ending(story: Story, told: Course) -> str:
    request, end = told.request, told.end
    if end is None:
        return f"Request {request}: {_vanished(story, told.lines[0])}"
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


def _vanished(story: Story, admitted: Line) -> str:
    front = admitted.instance
    later = [
        line
        for line in story.lines
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


def _longest_wait(told: list[Course]) -> list[str]:
    """Says between which two lines of a request most time went."""
    pairs = [
        pair for course in told for pair in itertools.pairwise(course.lines)
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


def _evidence(story: Story, told: Course) -> list[str]:
    """Says what befell those who took part, up to its end."""
    until = (told.end or told.lines[-1]).time
    wrong = [
        line
        for line in story.lines
        if line.event in _BAD and line.time <= until and told.concerns(line)
    ]
    return [f"Before: {describe(line)}." for line in wrong[-_MOST_EVIDENCE:]]
