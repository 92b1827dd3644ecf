"""Steps about the shapes of one endpoint's stream, without any connection."""

import asyncio
import bisect
import contextlib
import itertools
import random
import re
from unittest import mock

import msgspec
from behave import given, then, when
from steps.joining import Response, join

from rattanmill_forward import events
from rattanmill_forward.calls import Framing, ResponseHead
from rattanmill_forward.joining import StreamJoiner

_CONTENT_TYPES = {"with": "text/event-stream", "without": ""}
_LINE_ENDS = (b"\n", b"\r\n", b"\r")
_MAX_BLOCKS = 5


class Shape(msgspec.Struct):
    """A stream as its endpoint sends it.

    Attributes:
        head: Its head.
        sent: The part of the body that is sent.
        is_reset: Whether an error of the connection follows that part.
        is_complete: Whether that part is a whole stream.
        chunk_size: Bytes that arrive at a time.
    """

    head: ResponseHead
    sent: bytes
    is_reset: bool
    is_complete: bool
    chunk_size: int


class UncheckedEnd(StreamJoiner):
    """Takes each orderly end of a body for the end of its stream."""

    def _check_end(self, head, reader, count):
        pass


def draw_block(rng, line_end, number):
    """Returns an event or a comment."""
    if rng.random() < 0.25:
        return line_end.join([b": wait", b"", b""])
    lines = [b"id: %d" % number, b"data: word%d" % number, b"", b""]
    if rng.random() < 0.25:
        lines.insert(0, b"version: 3")
    return line_end.join(lines)


def is_comment(block):
    return block.startswith(b":")


def draw_shape(seed):
    rng = random.Random(seed)
    framing = rng.choice(list(Framing))
    line_end = rng.choice(_LINE_ENDS)
    blocks = [
        draw_block(rng, line_end, number)
        for number in range(1, rng.randint(2, _MAX_BLOCKS))
    ]
    body = b"".join(blocks)
    size = len(body) if rng.random() < 0.4 else rng.randint(0, len(body))
    is_reset = rng.random() < 0.2
    return Shape(
        ResponseHead(
            200,
            [],
            framing=framing,
            content_type=rng.choice(list(_CONTENT_TYPES.values())),
        ),
        body[:size],
        is_reset,
        not is_reset and is_whole(blocks, size, framing),
        rng.randint(1, 40),
    )


def is_whole(blocks, size, framing):
    """Returns whether the first bytes of some blocks are a whole stream."""
    ends = list(itertools.accumulate(map(len, blocks)))
    whole = blocks[: bisect.bisect(ends, size)]
    is_between_blocks = size in (0, *ends)
    if all(map(is_comment, whole)):
        return False
    if framing is Framing.CONNECTION_END:
        return is_between_blocks
    return is_between_blocks or is_comment(blocks[len(whole)])


def play(shape, joiner_type=StreamJoiner):
    """Returns what the caller of a stream gets, and whether it is complete."""
    response = Response(
        shape.head, shape.sent, shape.is_reset, shape.chunk_size
    )
    return asyncio.run(join(joiner_type(), [response]))


def is_right(shape, joiner_type=StreamJoiner):
    got, is_complete = play(shape, joiner_type)
    if is_complete != shape.is_complete:
        return False
    return got == shape.sent if is_complete else shape.sent.startswith(got)


@when(
    "a stream {which} a content type and without a marked end consists of"
    " {text}"
)
def step_unmarked(context, which, text):
    send_stream(context, which, text, Framing.CONNECTION_END)


@when("a stream {which} a content type consists of {text}")
def step_in_chunks(context, which, text):
    send_stream(context, which, text, Framing.CHUNKS)


@when(
    'a stream that its caller resumes after event "{last_id}" consists of'
    " nothing"
)
def step_resumed(context, last_id):
    def create_joiner():
        joiner = StreamJoiner()
        joiner.position.last_id = last_id
        return joiner

    head = ResponseHead(200, [], content_type=_CONTENT_TYPES["with"])
    context.got = play(Shape(head, b"", False, True, 7), create_joiner)


@when("an endpoint answers a stream's request with status {status:d}")
def step_status(context, status):
    head = ResponseHead(status, [], framing=Framing.CONNECTION_END)
    context.got = play(Shape(head, b"", False, True, 7))


@then("the empty stream is complete")
def step_complete_empty(context):
    assert context.got == (b"", True), context.got


def send_stream(context, which, text, framing):
    escaped = "" if text == "nothing" else text
    body = escaped.encode().decode("unicode_escape").encode()
    head = ResponseHead(
        200, [], framing=framing, content_type=_CONTENT_TYPES[which]
    )
    context.got = play(Shape(head, body, False, False, 7))


@then("{count:d} drawn streams are complete if they are whole, and only then")
def step_drawn(context, count):
    shapes = list(map(draw_shape, range(count)))
    wrong = [shape for shape in shapes if not is_right(shape)]
    assert not wrong, (len(wrong), [(s, play(s)) for s in wrong[:5]])
    complete = sum(shape.is_complete for shape in shapes)
    assert count / 4 < complete < count * 3 / 4, complete


@given("streams that are joined {mistake}")
def step_mistake(context, mistake):
    context.mistake = mistake


@then(
    "some of {count:d} drawn streams are complete and not whole, or the reverse"
)
def step_wrong(context, count):
    shapes = list(map(draw_shape, range(count)))
    joiner_type = StreamJoiner
    with contextlib.ExitStack() as stack:
        match context.mistake:
            case "without looking at their end":
                joiner_type = UncheckedEnd
            case "as if those without a content type were something else":
                for shape in shapes:
                    shape.head.content_type = (
                        shape.head.content_type or "text/plain"
                    )
            case "with each CR taken for a whole line end":
                stack.enter_context(
                    mock.patch.object(
                        events,
                        "_EMPTY_LINE",
                        re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}"),
                    )
                )
            case mistake:
                raise AssertionError(mistake)
        assert not all(is_right(shape, joiner_type) for shape in shapes)
