"""What callers sent and got, and what is wrong with it."""

import collections
import re
from collections.abc import Iterable

import msgspec

TOKENS_AN_EVENT = 10
_EVENTS = 4
TURN_TOKENS = TOKENS_AN_EVENT * _EVENTS
# A failure of these statuses promises that the request never runs.
_PROMISES = (402, 408, 421, 429, 503)
_ALLOWED = (200, 402, 408, 421, 429, 502, 503, 504)
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
        whole = self.body[: self.body.rfind(b"\n\n") + 2]
        return [
            line[6:]
            for line in whole.split(b"\n")
            if line.startswith(b"data: ")
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
        previous: The turn that it goes on from.
        answer: Its answer; None until it has one.
        front: Who was asked.
    """

    request: str
    route: str
    at: float
    body: bytes = b""
    runs_as: bytes = b""
    program: str = ""
    budget: int = 0
    previous: str = ""
    answer: Answer | None = None
    front: str = ""


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
    if answer.status not in _ALLOWED:
        return f"DENIED: a proper request got {answer.status}"
    if answer.status != 200:
        return ""
    if not answer.headers.get("x-response-signature"):
        return "MIXED: a success without a runner's signature"
    if answer.headers.get("x-request-id", sent.request) != sent.request:
        return "MIXED: the answer to another request"
    return _wrong_body(sent, answer)


def _wrong_body(sent: Sent, answer: Answer) -> str:
    if sent.route == "talk":
        return _wrong_events(answer)
    if answer.is_whole and not answer.body.startswith(b"done by "):
        return "MIXED: not the body of a runner"
    return ""


def _wrong_events(answer: Answer) -> str:
    words = [_WORD.fullmatch(data) for data in answer.data]
    if not all(words):
        return "MIXED: an event that no runner sent"
    numbers = [int(word[1]) for word in words if word]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"ORDER: events {numbers}"
    if len({word[2] for word in words if word}) > 1:
        return "ORDER: events of two runs in one stream"
    if answer.is_whole and len(numbers) != _EVENTS:
        return f"ORDER: complete after {len(numbers)} events"
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
    return found + _over_budget(record)


def _ran(seen: dict) -> bool:
    named = seen["headers"].get("x-target-instance")
    return seen["fault"] != "shed" and named == seen["runner"]


def _wrong_run(sent: Sent, ran: list[dict]) -> Iterable[str]:
    status = sent.answer.status if sent.answer else 0
    if sent.route != "seek" and len(ran) > 1:
        yield f"TWICE: ran {len(ran)} times"
    if status in _PROMISES and ran and sent.route != "seek":
        yield f"REFUSED: {status}, and it ran"
    if any(each["body"].encode("latin-1") != sent.runs_as for each in ran):
        yield "UNASKED: with another body"


def _over_budget(record: Record) -> list[str]:
    used: dict[str, int] = collections.Counter()
    budgets: dict[str, int] = {}
    for sent in record.sent.values():
        if sent.program and sent.answer:
            used[sent.program] += TOKENS_AN_EVENT * len(sent.answer.data)
            budgets[sent.program] = sent.budget
    return [
        f"BUDGET: {program} got {used[program]} tokens of {budget}"
        for program, budget in budgets.items()
        if used[program] > budget + TURN_TOKENS
    ]


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
