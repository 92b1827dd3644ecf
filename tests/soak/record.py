"""What callers sent and got, and what is wrong with it."""

import collections
import math
import re
from collections.abc import Iterable

import msgspec

TOKENS_AN_EVENT = 10
_EVENTS = 4
TURN_TOKENS = TOKENS_AN_EVENT * _EVENTS
# A failure of these statuses promises that the request never runs.
_PROMISES = (402, 408, 421, 429, 503)
_ALLOWED = (200, 402, 408, 421, 429, 502, 503, 504)
# A turn counts for what it has used so long after its end.
_SETTLE_SECONDS = 1.0
# Routes whose requests may run once.
_ONCE = ("talk", "pay")
_STREAMS = ("talk", "plan")
# Faults of a runner that answers with a failure, and its body.
_FAILURES = ("error", "resumed_error")
_FAILURE_BODY = b"failed\n\n"
_WORD = re.compile(rb"word(\d+) by (\S+)")


class Answer(msgspec.Struct):
    """An answer as its caller saw it.

    Attributes:
        status: HTTP status, or 0 if the connection ended before it.
        is_whole: Whether the body's end was seen.
        headers: Header fields, names in lower case.
        body: What came of the body.
    """

    status: int = 0
    is_whole: bool = False
    headers: dict[str, str] = {}
    body: bytes = b""

    @property
    def is_served(self) -> bool:
        """Whether it is a whole success."""
        return self.status == 200 and self.is_whole

    @property
    def data(self) -> list[bytes]:
        """Data of each event that came whole."""
        return self._fields(b"data: ")

    @property
    def ids(self) -> list[bytes]:
        """Ids of the events that came whole."""
        return self._fields(b"id: ")

    @property
    def lines(self) -> bytes:
        """The body with LF at the end of each line."""
        return self.body.replace(b"\r\n", b"\n")

    def _fields(self, name: bytes) -> list[bytes]:
        whole = self.lines[: self.lines.rfind(b"\n\n") + 2]
        return [
            line.removeprefix(name)
            for line in whole.split(b"\n")
            if line.startswith(name)
        ]


class Sent(msgspec.Struct):
    """A request of a caller, and its answer.

    Attributes:
        request: Its id.
        route: First part of its path.
        at: Loop time at which it was sent.
        body: The body as it was sent.
        runs_as: The body that a runner may get.
        program: Its program, or nothing.
        budget: Tokens that the program may use.
        max_tokens: Tokens that this turn may use.
        previous: The turn that it goes on from.
        answer: Its answer; None until it has one.
        ended_at: Loop time at which its answer ended.
        front: Who was asked.
        after: Number of the event after which its caller resumes a stream.
    """

    request: str
    route: str
    at: float
    body: bytes = b""
    runs_as: bytes = b""
    program: str = ""
    budget: int = 0
    max_tokens: int = TURN_TOKENS
    previous: str = ""
    answer: Answer | None = None
    ended_at: float = math.inf
    front: str = ""
    after: int = 0

    @property
    def tokens(self) -> int:
        """Tokens that have come."""
        return TOKENS_AN_EVENT * len(self.answer.data) if self.answer else 0


class Record:
    """All requests of a run, by id."""

    def __init__(self) -> None:
        self.sent: dict[str, Sent] = {}

    def add(self, sent: Sent) -> None:
        """Adds a request before it is sent."""
        self.sent[sent.request] = sent

    def counts(self) -> dict[str, int]:
        """Returns how many requests of each route ended how."""
        found = collections.Counter(
            f"{s.route} {s.answer.status if s.answer else 'none'}"
            for s in self.sent.values()
        )
        return dict(sorted(found.items()))


def wrong_answer(sent: Sent) -> str:
    """Returns what is wrong with an answer by itself, or nothing."""
    answer = sent.answer
    if answer is None or not answer.status:
        return ""
    if answer.status in (404, 410) and sent.previous:
        return "LOST: a kept turn is not known"
    is_signed = bool(answer.headers.get("x-response-signature"))
    if answer.status == 500 and is_signed:
        return _wrong_failure(answer)
    if answer.status not in _ALLOWED:
        return f"DENIED: a proper request got {answer.status}"
    if answer.status != 200:
        return ""
    if not is_signed:
        return "MIXED: a success without a runner's signature"
    if answer.headers.get("x-request-id", sent.request) != sent.request:
        return "MIXED: the answer to another request"
    return _wrong_body(sent, answer)


def _wrong_failure(answer: Answer) -> str:
    if answer.is_whole and answer.body != _FAILURE_BODY:
        return "MIXED: not the failure of a runner"
    return ""


def _wrong_body(sent: Sent, answer: Answer) -> str:
    if sent.route in _STREAMS:
        return _wrong_events(sent, answer)
    if answer.is_whole and not answer.body.startswith(b"done by "):
        return "MIXED: not the body of a runner"
    return ""


def _wrong_events(sent: Sent, answer: Answer) -> str:
    words = [_WORD.fullmatch(data) for data in answer.data]
    if not all(words):
        return "MIXED: an event that no runner sent"
    numbers = [int(word[1]) for word in words if word]
    newest = sent.after + len(numbers)
    if numbers != list(range(sent.after + 1, newest + 1)):
        return f"ORDER: events {numbers} after {sent.after}"
    if answer.ids != [b"%d" % number for number in numbers]:
        return f"ORDER: ids {answer.ids} of events {numbers}"
    if sent.route == "talk" and len({word[2] for word in words if word}) > 1:
        return "ORDER: events of two runs in one stream"
    if answer.is_whole and newest != _EVENTS:
        return f"ORDER: complete after {newest} events"
    if answer.is_whole and answer.body and not answer.lines.endswith(b"\n\n"):
        return "ORDER: complete within an event"
    return ""


def wrong_runs(record: Record, seen: Iterable[dict]) -> list[str]:
    """Returns what is wrong between what callers saw and runners did.

    Args:
        record: What callers saw.
        seen: Requests that runners have seen, as ``standins.siterunner``
            writes them.
    """
    runs = collections.defaultdict(list)
    for each in seen:
        runs[each["headers"].get("x-request-id", "")].append(each)
    found = [
        f"UNASKED: {request} at {each[0]['runner']}"
        for request, each in runs.items()
        if request not in record.sent
    ]
    for sent in record.sent.values():
        ran = [r for r in runs[sent.request] if _ran(r)]
        found += [f"{why}: {_tell(sent, ran)}" for why in _wrong_run(sent, ran)]
    return found + _over_budget(record) + _spent_too_soon(record)


def _ran(seen: dict) -> bool:
    named = seen["headers"].get("x-target-instance")
    return seen["fault"] != "shed" and named == seen["runner"]


def _wrong_run(sent: Sent, ran: list[dict]) -> Iterable[str]:
    status = sent.answer.status if sent.answer else 0
    if sent.route in _ONCE and len(ran) > 1:
        yield f"TWICE: ran {len(ran)} times"
    if status in _PROMISES and ran and sent.route in _ONCE:
        yield f"REFUSED: {status}, and it ran"
    if ran and sent.answer:
        yield from _wrong_source(sent.answer, ran)
    if any(not _starts_properly(sent, each) for each in ran):
        yield "UNASKED: from another event"
    if any(each["body"].encode("latin-1") != sent.runs_as for each in ran):
        yield "UNASKED: with another body"


def _wrong_source(answer: Answer, ran: list[dict]) -> Iterable[str]:
    """Yields what is wrong between an answer and the runs of its request."""
    failed = [each["fault"] in _FAILURES for each in ran]
    if answer.status == 200 and all(failed):
        yield "MIXED: a success where runners failed"
    if answer.status == 500 and not any(failed):
        yield "MIXED: a failure that no runner gave"
    words = filter(None, map(_WORD.fullmatch, answer.data))
    if {word[2].decode() for word in words} - {each["runner"] for each in ran}:
        yield "MIXED: an event of a runner that did not run it"


def _starts_properly(sent: Sent, seen: dict) -> bool:
    start = seen["headers"].get("last-event-id")
    if sent.route != "plan":
        return start is None
    return sent.after <= int(start or 0) <= _EVENTS


def _over_budget(record: Record) -> list[str]:
    used: dict[str, int] = collections.Counter()
    budgets: dict[str, int] = {}
    for sent in record.sent.values():
        if sent.program and sent.answer:
            used[sent.program] += sent.tokens
            budgets[sent.program] = sent.budget, sent.max_tokens
    return [
        f"BUDGET: {program} got {used[program]} tokens of {budget}"
        for program, (budget, max_tokens) in budgets.items()
        if used[program] > budget + max_tokens
    ]


def _spent_too_soon(record: Record) -> list[str]:
    """Returns turns that were refused although their budget holds them."""
    turns = collections.defaultdict(list)
    for sent in record.sent.values():
        if sent.route == "talk":
            turns[sent.program].append(sent)
    return [
        f"SPENT: 402, and {used} of {sent.budget} tokens are used:"
        f" {_tell(sent, [])}"
        for program in turns.values()
        for sent in program
        if sent.answer and sent.answer.status == 402
        if (used := _max_used(program, sent)) + sent.max_tokens <= sent.budget
    ]


def _max_used(program: list[Sent], refused: Sent) -> int:
    """Returns what a program's turns can have used when one was refused."""
    return sum(
        _counted_tokens(sent, refused.at)
        for sent in program
        if sent is not refused and sent.at < refused.ended_at
    )


def _counted_tokens(sent: Sent, at: float) -> int:
    """Returns the tokens that a turn counts for at a time."""
    answer = sent.answer
    if sent.ended_at > at - _SETTLE_SECONDS or not answer:
        return sent.max_tokens
    if answer.is_served:
        return sent.tokens
    return 0 if answer.status in _PROMISES else sent.max_tokens


def _tell(sent: Sent, ran: list[dict]) -> str:
    return (
        f"{sent.request} ({sent.route}) of program {sent.program or 'none'}"
        f" after {sent.previous or 'none'} through {sent.front} at"
        f" {sent.at:.3f}: {sent.answer}, ran at {[r['runner'] for r in ran]}"
        f" with {[r['body'] for r in ran]} for {sent.runs_as!r}"
    )


def tell(sent: Sent, why: str) -> str:
    """Returns a line on a request whose answer is wrong."""
    return f"{why}: {_tell(sent, [])}"
