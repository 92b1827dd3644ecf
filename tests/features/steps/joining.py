"""Steps about the attempts of one stream, without any connection."""

import asyncio
import itertools
import random

from behave import given, then, when

from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.connection import BrokenError
from rattanmill_forward.events import Block
from rattanmill_forward.joining import NotContinuedError, StreamJoiner

_EVENTS = 5
_MAX_ATTEMPTS = 6
_STREAM_TYPE = "text/event-stream"


class Response:
    """An endpoint's response, in chunks.

    Args:
        head: Its head.
        body: Its body.
        is_cut: Whether the body is cut off at its end.
        size: Size of the chunks.
    """

    def __init__(self, head, body, is_cut, size):
        self.head = head
        self.body = body
        self.is_cut = is_cut
        self.size = size

    async def chunks(self):
        """Yields the body."""
        for start in range(0, len(self.body), self.size):
            yield self.body[start : start + self.size]
        if self.is_cut:
            raise BrokenError("cut off")


class UncheckedEvents(StreamJoiner):
    """Joins attempts whatever event they begin with."""

    def _check_continued(self, event):
        pass


class UncheckedHeads(StreamJoiner):
    """Joins attempts whatever their heads are."""

    def begin(self, head):
        """Begins an attempt."""
        self.attempts += 1


def event_bytes(number, has_id=True):
    first = b"id: %d\n" % number if has_id else b""
    return first + b"data: word%d\n\n" % number


def draw_response(rng, last_id):
    """Returns an endpoint's answer, which ought to go on after an event."""
    size = rng.randint(1, 40)
    kind = rng.random()
    if kind < 0.2:
        return Response(ResponseHead(500, []), b"failed\n\n", False, size)
    first = int(last_id or 0) + 1
    # Where nothing came before, an endpoint's first event can't be wrong.
    if last_id and kind < 0.5:
        first = rng.randint(1, _EVENTS)
    has_ids = rng.random() < 0.9
    body = b"".join(
        event_bytes(number, has_ids) for number in range(first, _EVENTS + 1)
    )
    if rng.random() < 0.3:
        return Response(stream_head(), body, False, size)
    end = rng.randint(0, len(body))
    # An orderly end between two events can't be told from the stream's end.
    is_cut = body[:end].endswith(b"\n\n") or not end or rng.random() < 0.5
    return Response(stream_head(), body[:end], is_cut, size)


def stream_head():
    return ResponseHead(200, [], content_type=_STREAM_TYPE)


async def join(joiner, responses):
    """Returns what a caller gets of attempts, and whether it is complete."""
    got = b""
    for response in responses:
        if not got and not response.head.is_success:
            return got, False
        try:
            joiner.begin(response.head)
            async for block in joiner.blocks(response):
                got += block.raw
            return got, True
        except NotContinuedError:
            continue
        except BrokenError:
            if not joiner.position.is_resumable:
                break
    return got, False


def play(joiner_type, seed):
    """Returns what a series of attempts gives, and whether it is complete."""
    rng = random.Random(seed)
    joiner = joiner_type()
    # The first attempt of a stream begins at its first event; its failure would
    # be forwarded as it is.
    first = Response(
        stream_head(),
        b"".join(map(event_bytes, range(1, rng.randint(1, _EVENTS)))),
        True,
        rng.randint(1, 40),
    )
    later = (
        draw_response(rng, joiner.position.last_id)
        for _ in range(_MAX_ATTEMPTS)
    )
    return asyncio.run(join(joiner, itertools.chain([first], later)))


def is_right(joiner_type, seed):
    got, is_complete = play(joiner_type, seed)
    data = [line for line in got.splitlines() if line.startswith(b"data")]
    whole = [b"data: word%d" % number for number in range(1, _EVENTS + 1)]
    return data == whole if is_complete else data == whole[: len(data)]


@then(
    "any {count:d} series of attempts give the whole stream or the beginning"
    " of it"
)
def step_joined(context, count):
    wrong = [seed for seed in range(count) if not is_right(StreamJoiner, seed)]
    assert not wrong, [(seed, play(StreamJoiner, seed)) for seed in wrong[:3]]
    complete = sum(play(StreamJoiner, seed)[1] for seed in range(count))
    assert count / 4 < complete < count, complete


@given("attempts that are joined without looking at their {part}")
def step_unchecked(context, part):
    types = {"events": UncheckedEvents, "heads": UncheckedHeads}
    context.joiner_type = types[part]


@then("some of {count:d} series of attempts give something else")
def step_wrong(context, count):
    assert not all(is_right(context.joiner_type, n) for n in range(count))


@when("a stream of one attempt consists of {text}")
def step_one_attempt(context, text):
    body = text.encode().decode("unicode_escape").encode()
    response = Response(stream_head(), body, False, 7)
    context.got = asyncio.run(join(StreamJoiner(), [response]))


@then("the stream is complete, and its caller gets {text}")
def step_complete(context, text):
    body = text.encode().decode("unicode_escape").encode()
    assert context.got == (body, True), context.got


@then("the stream is broken off")
def step_broken(context):
    assert context.got[1] is False, context.got


def recorded(ids):
    """Returns a stream of which its caller has the events with these ids."""
    joiner = StreamJoiner()
    joiner.begin(stream_head())
    for event_id in ids.split(", "):
        joiner.position.record(
            Block(b"", "" if event_id == "none" else event_id, b"x")
        )
    return joiner


@when(
    'the caller has events "{had}" and a later attempt begins with "{next_id}"'
)
def step_later(context, had, next_id):
    check_later(context, had, next_id)


@when('the caller has events "{had}" and a later attempt begins with ""')
def step_later_unnumbered(context, had):
    check_later(context, had, "")


def check_later(context, had, next_id):
    position = recorded(had).position
    context.is_joined = position.is_continued_by(Block(b"", next_id, b"x"))


@then("the later attempt is {verdict}")
def step_verdict(context, verdict):
    assert context.is_joined == (verdict == "joined")


@when('the caller has events "{had}"')
def step_had(context, had):
    context.stream = recorded(had)


@then("the broken stream is {verdict}")
def step_resumable(context, verdict):
    is_resumable = context.stream.position.is_resumable
    assert is_resumable == (verdict == "resumable")
