"""Steps that compare answers with what the engines must have generated."""

import concurrent.futures
import http.client
import json
import re
import socket

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from rattanmill_entry.answers import AnswerBuilder
from rattanmill_entry.outbox import Outbox
from rattanmill_entry.overlap import Mismatch, Overlap
from rattanmill_entry.upstream import Delta
from rattanmill_wire import CallStart
from standins.engine import message_blocks
from support import EngineSpec, Layout, start, wait_until
from support.client import Answer

_ENGINES = ("engine-1", "engine-2")
_LAYOUT = Layout(
    domains=("heredia-b",),
    per_domain=3,
    engines=[EngineSpec(n, options={"decode": 8000.0}) for n in _ENGINES],
    lease_seconds=1.0,
)
# Slow enough that faults can be caused in the middle of a stream.
_NO_FAULTS = {
    "cut_after_tokens": 0,
    "cut": "reset",
    "skip_on_resume": 0,
    "short_resume": False,
    "variant": "",
    "slow_factor": 16.0,
}
_EXAMPLES = settings(max_examples=200, derandomize=True, deadline=None)


def engines(context):
    return [
        context.system.standins[name]
        for name in _ENGINES
        if context.system.processes[name].alive
    ]


def count_calls(context):
    return sum(e.stats().get("calls", 0) for e in engines(context))


def expected_text(messages, tokens):
    """Returns the text that the stand-in engine generates for a prompt."""
    seed = message_blocks("commentary", messages)[-1][0]
    return "".join(f"{seed[:6]}-{i} " for i in range(tokens))


@given("a system for answers")
def step_system(context):
    start(context, _LAYOUT)
    system = context.system
    for name in _ENGINES:
        if not system.processes[name].alive:
            system.restart_engine(name)
        system.standins[name].faults(**_NO_FAULTS)
    for instance in system.instances:
        if not instance.process.alive:
            system.start_instance(instance)
    system.wait_ready()
    system.wait_open()
    context.program = context.clients[0].create()
    context.owner = system.owner_of(context.program)
    context.other = next(
        i for i in system.instances if i.name != context.owner.name
    )
    context.before = count_calls(context)
    context.pool = context.scenario_stack.enter_context(
        concurrent.futures.ThreadPoolExecutor(64)
    )


@given("engines that cut the next stream after {tokens:d} tokens")
def step_cut(context, tokens):
    for engine in engines(context):
        engine.faults(cut_after_tokens=tokens)


@given("engines that cut the next stream after {tokens:d} tokens by {cut}")
def step_cut_by(context, tokens, cut):
    for engine in engines(context):
        engine.faults(cut_after_tokens=tokens, cut=cut)


@given("engines that leave out {tokens:d} tokens when they resume a stream")
def step_skip_on_resume(context, tokens):
    for engine in engines(context):
        engine.faults(skip_on_resume=tokens)


@given("engines that resume a stream only for a token")
def step_short_resume(context):
    for engine in engines(context):
        engine.faults(short_resume=True)


@given("engines whose answers differ")
def step_differ(context):
    for name in _ENGINES:
        context.system.standins[name].faults(variant=name[-1])


def build_request(context, text, tokens, stream, turn=0, program=""):
    headers = {
        "Content-Type": "application/json",
        "Rattanmill-Program": program or context.program,
        "Rattanmill-History": "append",
    }
    if turn:
        headers["Rattanmill-Turn"] = str(turn)
    body = {
        "model": "commentary",
        "messages": [{"role": "user", "content": text}],
        "stream": stream,
        "max_tokens": tokens,
        "standin": {"output_tokens": tokens},
    }
    return json.dumps(body).encode(), headers


class StreamReader:
    """A caller that reads a streamed answer line by line."""

    def __init__(self, context, instance, tokens):
        body, headers = build_request(context, "stream", tokens, True, 1)
        self.connection = http.client.HTTPConnection(instance.http, timeout=60)
        self.connection.request("POST", "/v1/chat/completions", body, headers)
        self.answer = self.connection.getresponse()
        self.body = self.answer.readline()

    def read_rest(self):
        """Reads until the stream ends or breaks."""
        try:
            while line := self.answer.readline():
                self.body += line
        except (OSError, http.client.HTTPException):
            self.body += b"\n"
        return Answer(self.answer.status, {}, self.body)


def busy_engine(context):
    """Returns the name of an engine that runs a call, or None."""
    return next(
        (
            name
            for name in _ENGINES
            if context.system.standins[name]
            .request("GET", "/v1/load")
            .json.get("running")
        ),
        None,
    )


@when("a turn of {tokens:d} tokens is streamed")
def step_streamed(context, tokens):
    context.answer = StreamReader(context, context.other, tokens).read_rest()


@when(
    "a turn of {tokens:d} tokens is streamed and its engine is killed meanwhile"
)
def step_streamed_engine_killed(context, tokens):
    reader = StreamReader(context, context.other, tokens)
    name = wait_until(lambda: busy_engine(context), "an engine is busy")
    context.system.processes[name].kill()
    context.tokens = tokens
    context.answer = reader.read_rest()


@when("a turn of {tokens:d} tokens is sent and its engine is killed meanwhile")
def step_sent_engine_killed(context, tokens):
    context.tokens = tokens
    call = context.pool.submit(send_request, context, tokens)
    name = wait_until(lambda: busy_engine(context), "an engine is busy")
    context.system.processes[name].kill()
    context.answer = call.result()


@when("a turn of {tokens:d} tokens is sent")
def step_sent(context, tokens):
    context.tokens = tokens
    context.answer = send_request(context, tokens)


def send_request(context, tokens):
    body, headers = build_request(context, "stream", tokens, False, 1)
    return context.other.client.request(
        "POST", "/v1/chat/completions", body, headers
    )


@when("a caller disconnects during a streamed turn of {tokens:d} tokens")
def step_disconnects(context, tokens):
    context.tokens = tokens
    reader = StreamReader(context, context.other, tokens)
    assert reader.body
    reader.connection.close()


@when("the same turn is requested again")
def step_same_turn(context):
    context.answer = send_request(context, context.tokens)


@when(
    "the owner is killed while it streams {tokens:d} tokens through another"
    " instance"
)
def step_owner_killed(context, tokens):
    context.tokens = tokens
    reader = StreamReader(context, context.other, tokens)
    context.owner.process.kill()
    context.answer = reader.read_rest()


@when("a caller stops reading a streamed turn of {tokens:d} tokens")
def step_slow_reader(context, tokens):
    for engine in engines(context):
        engine.faults(slow_factor=1.0)
    context.reader = StreamReader(context, context.other, tokens)


@then("the turn is stored while the caller does not read")
def step_stored(context):
    path = f"/v1/programs/{context.program}"
    wait_until(
        lambda: context.other.client.request("GET", path).json["turns"] == 1,
        "the turn is stored",
    )


@then("the caller continues and gets the complete answer of {tokens:d} tokens")
def step_continues_reading(context, tokens):
    context.answer = context.reader.read_rest()
    step_complete(context, tokens)


@then("the stream is the complete answer of {tokens:d} tokens")
def step_complete(context, tokens):
    messages = [{"role": "user", "content": "stream"}]
    assert context.answer.events[-1] == "[DONE]", context.answer.events[-1]
    assert context.answer.text == expected_text(messages, tokens)


@then("an engine was asked to resume")
def step_resumed(context):
    assert sum(e.stats().get("resumed", 0) for e in engines(context)) > 0


@then("the engines received {count:d} calls")
def step_calls(context, count):
    assert count_calls(context) - context.before == count, count_calls(context)


@then("the stream ends with an error and is recognizably incomplete")
def step_cut_short(context):
    events = context.answer.events
    assert len(events) > 1, events
    assert "[DONE]" not in events, events[-3:]
    assert "error" in events[-1], events[-1]
    ends = [e for e in events if e.get("choices")]
    assert all(e["choices"][0]["finish_reason"] is None for e in ends)


@then("the answer is complete and from one engine")
def step_one_engine(context):
    assert context.answer.status == 200, context.answer
    seed = message_blocks(
        "commentary", [{"role": "user", "content": "stream"}]
    )[-1][0][:6]
    found = re.findall(rf"{seed}(\d?)-(\d+) ", context.answer.text)
    assert len({variant for variant, _ in found}) == 1, context.answer.text
    numbers = [int(number) for _, number in found]
    assert numbers == list(range(context.tokens)), numbers


def read_answer(stream):
    """Reads one of several HTTP responses on a connection."""
    status = int(stream.readline().split()[1])
    headers = http.client.parse_headers(stream)
    if "Content-Length" in headers:
        return Answer(status, {}, stream.read(int(headers["Content-Length"])))
    body = b""
    while size := int(stream.readline(), 16):
        body += stream.read(size)
        stream.readline()
    stream.readline()
    return Answer(status, {}, body)


def pipelined(context, caller):
    """Pipelines requests on one connection; returns texts and answers."""
    host, port = context.clients[caller].address.split(":")
    texts = [f"caller {caller} request {n}" for n in range(8)]
    with socket.create_connection((host, int(port)), 30) as connection:
        for text in texts:
            body, headers = build_request(context, text, 8, False)
            del headers["Rattanmill-Program"]
            lines = [f"{k}: {v}" for k, v in headers.items()]
            head = "\r\n".join(
                [
                    "POST /v1/chat/completions HTTP/1.1",
                    "Host: x",
                    f"Content-Length: {len(body)}",
                    *lines,
                ]
            )
            connection.sendall(head.encode() + b"\r\n\r\n" + body)
        with connection.makefile("rb") as stream:
            answers = [read_answer(stream) for _ in texts]
    return texts, answers


@when("{count:d} callers each pipeline 8 requests on one connection")
def step_pipeline(context, count):
    context.pairs = list(
        context.pool.map(lambda n: pipelined(context, n), range(count))
    )


@then("each gets the answers to its own requests, in order")
def step_own_answers(context):
    for texts, answers in context.pairs:
        for text, answer in zip(texts, answers, strict=True):
            messages = [{"role": "user", "content": text}]
            assert answer.status == 200, answer
            assert answer.text == expected_text(messages, 8), answer


@when("{count:d} programs each send 2 turns at once through any instance")
def step_many(context, count):
    def run(number):
        client = context.clients[number % 3]
        program = client.create()
        found = []
        for turn in (1, 2):
            text = f"program {number} turn {turn}"
            found.append(
                context.clients[(number + turn) % 3].chat(
                    text,
                    program,
                    turn,
                    stream=number % 2 == 0,
                    standin={"output_tokens": 20},
                )
            )
        return number, found

    context.found = list(context.pool.map(run, range(count)))


@then("each gets the complete answers to its own turns")
def step_all_own_answers(context):
    for number, (first, second) in context.found:
        assert first.status == second.status == 200, (first, second)
        messages = [{"role": "user", "content": f"program {number} turn 1"}]
        assert first.text == expected_text(messages, 20)
        messages.append({"role": "assistant", "content": first.text})
        messages.append({"role": "user", "content": f"program {number} turn 2"})
        assert second.text == expected_text(messages, 20)


_TEXT = st.text("ab", max_size=3)
_CALL = st.fixed_dictionaries(
    {
        "index": st.integers(0, 1),
        "function": st.fixed_dictionaries({"arguments": _TEXT}),
    }
)
_FIELDS = st.one_of(
    st.fixed_dictionaries({"content": _TEXT}),
    st.fixed_dictionaries({"reasoning_content": _TEXT}),
    st.fixed_dictionaries({"refusal": _TEXT}),
    st.fixed_dictionaries(
        {"content": st.none(), "tool_calls": st.lists(_CALL, max_size=2)}
    ),
)


def join_parts(parts):
    answer = AnswerBuilder()
    for fields in parts:
        answer.add(Delta(fields, b""))
    return answer.message()


def text_of(parts, name):
    return "".join(part.get(name) or "" for part in parts)


def arguments_of(parts, index):
    calls = [call for part in parts for call in part.get("tool_calls", [])]
    return "".join(
        call["function"]["arguments"]
        for call in calls
        if call["index"] == index
    )


def check_message(parts):
    """Checks that the joined message has the text of all parts."""
    message = json.loads(join_parts(parts))
    for name in ("content", "reasoning_content", "refusal"):
        assert (message.get(name) or "") == text_of(parts, name), (name, parts)
    arguments = [arguments_of(parts, index) for index in (0, 1)]
    calls = message.get("tool_calls", [])
    found = [call["function"]["arguments"] for call in calls]
    assert "".join(found) == "".join(arguments), (found, parts)


@then("any unsent parts are joined to few with the same text")
def step_joined(context):
    @settings(_EXAMPLES, max_examples=30)
    @given_any(st.lists(_FIELDS, min_size=90, max_size=120))
    def check(parts):
        outbox = Outbox(CallStart("c", "chat"))
        for fields in parts:
            outbox.part("m", fields)
        waiting = [part.fields for part in outbox.queue]
        assert len(waiting) <= 64, len(waiting)
        assert join_parts(waiting) == join_parts(parts)
        check_message(parts)
        check_message(waiting)

    check()


def split_text(text, sizes):
    """Cuts text into parts of the given sizes, over and over."""
    parts = []
    while text:
        size = sizes[len(parts) % len(sizes)]
        parts.append(text[:size])
        text = text[size:]
    return parts


@then("any second run is joined exactly or found to differ")
def step_overlap(context):
    sizes = st.lists(st.integers(1, 4), min_size=1, max_size=3)

    @_EXAMPLES
    @given_any(
        st.text("ab", max_size=12),
        st.text("ab", max_size=12),
        sizes,
        sizes,
        st.integers(0, 12),
    )
    def check(first, second, one, other, seen):
        overlap = Overlap()
        overlap.start_run()
        for part in split_text(first[:seen], one):
            overlap.take_undelivered({"content": part})
        overlap.start_run()
        got = first[:seen]
        differs = False
        for part in split_text(second, other):
            rest = overlap.take_undelivered({"content": part})
            if isinstance(rest, Mismatch):
                differs = True
                break
            got += rest.get("content", "")
        whole = not differs and overlap.is_complete
        assert whole == second.startswith(first[:seen])
        assert not whole or got == second

    check()
