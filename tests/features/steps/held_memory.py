"""Steps about the memory that is held for requests."""

import asyncio
import random
from unittest import mock

from behave import given, then, when

from rattanmill_core import (
    MemoryAdaptation,
    MemoryBudget,
    Metrics,
    bodies_bytes,
)
from rattanmill_forward.connections import ConnectionTable, ReadShares
from rattanmill_forward.writing import BufferedBody
from support.virtual import run_virtually

_KB = 1024
_MB = 1024 * 1024
_CLOCK = "rattanmill_core.memory.loop_seconds"
_HEAP = "rattanmill_core.memory.heap"
_TWO_ADAPTATIONS_SECONDS = 1.2
_LIMIT_BYTES = 8 * _MB
_COUNTS = (1, 2, 10, 60, 300, 1000)


class _Clock:
    """A clock that only moves when it is told to."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def start_clock(context):
    context.clock = _Clock()
    patch = mock.patch(_CLOCK, context.clock)
    patch.start()
    context.scenario_stack.callback(patch.stop)


class _Body:
    """A body that arrives."""

    def __init__(self, budget):
        self.held = budget.hold()
        self.is_revoked = False

    def begin(self, size):
        if not self.held.grow(size):
            return False
        self.held.begin(self._revoke)
        return True

    def _revoke(self):
        self.is_revoked = True

    def end(self):
        self.held.__exit__()


def _play(clock, seed):
    """Plays one sequence; returns its highest sum, and what is left."""
    draw = random.Random(seed)
    budget = MemoryBudget(_LIMIT_BYTES)
    bodies = []
    highest = 0
    for _ in range(draw.randint(1, 60)):
        clock.now += draw.choice((0.0, 0.01, 0.4, 1.2))
        bodies = [body for body in bodies if not body.is_revoked]
        step = draw.choice(("begin", "begin", "receive", "finish", "end"))
        if step == "begin":
            body = _Body(budget)
            if body.begin(draw.choice((100, 20 * _KB, 200 * _KB, 3 * _MB))):
                bodies.append(body)
        elif bodies:
            body = draw.choice(bodies)
            match step:
                case "receive":
                    body.held.receive(draw.choice((1, 30 * _KB, _MB)))
                case "finish":
                    body.held.finish()
                case "end":
                    body.end()
                    bodies.remove(body)
        highest = max(highest, budget.held_bytes)
    for body in bodies:
        body.end()
    return highest, budget


@when("{count:d} sequences of up to 60 bodies are admitted with seeds")
def step_sequences(context, count):
    start_clock(context)
    context.played = [_play(context.clock, seed) for seed in range(count)]


@then("the sum exceeded the limit in none, but for one large body alone")
def step_sums(context):
    highest = max(highest for highest, _ in context.played)
    assert highest <= _LIMIT_BYTES + 3 * _MB, highest
    assert highest > _LIMIT_BYTES / 2, highest


@then("everything was given back at the end of each")
def step_given_back(context):
    for _, budget in context.played:
        assert budget.held_bytes == 0, budget.held_bytes
        assert not budget.arriving
        assert not budget.large


@given("a limit of {size:d} MB")
def step_limit(context, size):
    start_clock(context)
    context.budget = MemoryBudget(size * _MB)
    context.bodies = []


def admit(context, size):
    body = _Body(context.budget)
    is_admitted = body.begin(size)
    if is_admitted:
        context.bodies.append(body)
    return is_admitted


@when("large bodies are admitted until one is refused")
def step_large(context):
    while admit(context, 3 * _MB):
        assert len(context.bodies) < 20


@when("a body of {size:d} KB is admitted")
@then("a body of {size:d} KB is admitted")
def step_admitted(context, size):
    assert admit(context, size * _KB), context.budget.held_bytes


@then("a body of {size:d} KB is refused")
@then("another body of {size:d} KB is refused")
def step_refused(context, size):
    assert not admit(context, size * _KB), context.budget.held_bytes


@when("bodies take all of it and {what} for {seconds:g} s")
def step_stall(context, what, seconds):
    while admit(context, 64 * _KB):
        assert len(context.bodies) < 1000
    context.others = list(context.bodies)
    size = {"stop": 0, "send a byte": 1, "send 100 KB": 100 * _KB}[
        what.partition(" every")[0]
    ]
    for _ in range(round(seconds * 10)):
        context.clock.now += 0.1
        for body in context.others:
            if size:
                body.held.receive(size)


@then("{count:d} of the others is revoked")
def step_revoked(context, count):
    revoked = [body for body in context.others if body.is_revoked]
    assert len(revoked) == count, len(revoked)


class _Connection:
    """A connection that notes whether it was closed for another one."""

    def __init__(self):
        self.is_closed = False
        self.is_closable = True

    def give_way(self):
        self.is_closed = True


@given("a front end that bears {count:d} connections")
def step_connections(context, count):
    metrics = mock.create_autospec(Metrics)
    context.connections = ConnectionTable(count, MemoryBudget(_MB), metrics)
    patch = mock.patch("rattanmill_core.events.loop_seconds", _Clock())
    patch.start()
    context.scenario_stack.callback(patch.stop)
    start_clock(context)


@when(
    "{count:d} connections are open, of which {idle:d} are idle and {written:d}"
    " have yet to write a response, and one more comes"
)
def step_one_more(context, count, idle, written):
    context.open = [_Connection() for _ in range(count)]
    for number, connection in enumerate(context.open):
        assert context.connections.add(connection)
        if number >= idle:
            context.connections.begin(connection)
    for connection in context.open[:written]:
        connection.is_closable = False
    context.is_admitted = context.connections.add(_Connection())


@then("it is {outcome}, and {closed} is closed for it")
def step_outcome(context, outcome, closed):
    assert context.is_admitted == (outcome == "admitted")
    found = [n for n, each in enumerate(context.open) if each.is_closed]
    expected = {"none": [], "the oldest idle": [0], "the next one": [1]}
    assert found == expected[closed], found


@when("1 to 1000 connections bring bodies, in large and in small chunks")
def step_shares(context):
    context.shares = {}
    for is_small in (False, True):
        for count in _COUNTS:
            shares = ReadShares()
            for number in range(count):
                size = shares.record(number, is_small)
            context.shares[is_small, count] = size


@then("one alone may have {large:d} bytes read, and in small chunks {small:d}")
def step_alone(context, large, small):
    assert context.shares[False, 1] == large
    assert context.shares[True, 1] == small


@then(
    "all together at most {large:d} MB are read, and in small chunks {small:d}"
    " KB"
)
def step_together(context, large, small):
    for (is_small, count), size in context.shares.items():
        most = small * _KB if is_small else large * _MB
        assert size * count <= most, (is_small, count, size)


class _Response:
    """A response that records what is held while it is written."""

    def __init__(self, budget):
        self.budget = budget
        self.held = []
        self.data = b""

    async def write(self, data):
        self.held.append(self.budget.held_bytes)
        self.data += data


class _Request:
    """A request whose caller may not read."""

    def __init__(self):
        self.protocol = self.transport = self
        self.is_read = True
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True

    async def _drain_helper(self):
        if not self.is_read:
            await asyncio.Event().wait()


def _buffered(budget):
    """Returns a response of which as much is buffered as may be."""
    body = BufferedBody(budget.hold())
    while body.add(bytes(16 * _KB)):
        pass
    return body


@given("{size:d} MB for requests")
def step_budget(context, size):
    start_clock(context)
    context.budget = MemoryBudget(size * _MB)


@when("responses are buffered in pieces of 16 KB as long as they may be")
def step_buffer_many(context):
    context.bodies = [_buffered(context.budget) for _ in range(40)]


@then("none holds more than {most:d} KB, and all of them {total:d} MB")
def step_buffered_bytes(context, most, total):
    assert all(body.held.size <= most * _KB for body in context.bodies)
    held = context.budget.held_bytes
    assert total * _MB - 16 * _KB < held <= total * _MB, held


@then("a request of {size:d} MB is let through")
def step_beside(context, size):
    with context.budget.hold() as held:
        # One that is larger leaves a quarter to others.
        assert held.grow(size * _MB)


@when("a buffered response is written")
def step_write(context):
    for body in context.bodies:
        body.__exit__()
    context.response = _Response(context.budget)
    with _buffered(context.budget) as body:
        context.pieces = body.pieces[:]
        request = _Request()
        asyncio.run(body.write(request, context.response, request.abort))


@then("its memory is given back piece by piece")
def step_given_back(context):
    held = context.response.held
    assert held == sorted(held, reverse=True), held
    assert held[-1] <= 16 * _KB, held
    assert context.response.data == b"".join(context.pieces)
    assert context.budget.held_bytes == 0


@when("a caller reads nothing of a buffered response for {seconds:d} seconds")
def step_unread(context, seconds):
    context.requests = [_Request(), _Request()]
    context.requests[0].is_read = False
    context.bodies = [_buffered(context.budget) for _ in context.requests]
    context.loop = asyncio.new_event_loop()
    context.scenario_stack.callback(context.loop.close)
    response = _Response(context.budget)
    writes = [
        context.loop.create_task(body.write(request, response, request.abort))
        for body, request in zip(context.bodies, context.requests, strict=True)
    ]
    context.loop.run_until_complete(asyncio.wait(writes[1:]))
    context.scenario_stack.callback(
        lambda: context.loop.run_until_complete(asyncio.wait(writes[:1]))
    )
    context.scenario_stack.callback(writes[0].cancel)
    context.clock.now += seconds


@when("requests of {size:d} MB arrive")
def step_requests_arrive(context, size):
    for _ in range(2 * size):
        context.budget.hold().grow(_MB // 2)


@then("the connection of that caller is closed, and no other")
def step_closed_for_others(context):
    assert [r.is_aborted for r in context.requests] == [True, False]


def _start_adaptation(context, machine, resident_bytes):
    start_clock(context)
    patch = mock.patch(_HEAP)
    context.heap = patch.start()
    context.scenario_stack.callback(patch.stop)
    context.heap.resident_bytes.return_value = resident_bytes
    memory_bytes = machine * _MB
    context.budget = MemoryBudget(bodies_bytes(memory_bytes))
    context.adaptation = MemoryAdaptation(context.budget, memory_bytes)
    context.shortage = mock.Mock()
    context.adaptation.shortage = context.shortage


@given(
    "a machine of {machine:d} MB, whose process takes {own:d} MB and holds"
    " {held:d} MB for requests"
)
def step_machine(context, machine, own, held):
    _start_adaptation(context, machine, (own + held) * _MB)
    assert context.budget.hold().grow(held * _MB)


@given("a machine of {machine:d} MB, whose process takes unknown memory")
def step_unknown(context, machine):
    _start_adaptation(context, machine, None)


async def _adapt(context):
    """Lets the budget be adapted twice."""
    adapting = asyncio.create_task(context.adaptation.run())
    await asyncio.sleep(_TWO_ADAPTATIONS_SECONDS)
    adapting.cancel()


@when("the budget is adapted")
def step_adapt(context):
    run_virtually(_adapt(context))


@then("{limit:g} MB may be held for requests")
def step_limit_adapted(context, limit):
    assert abs(context.budget.limit_bytes - limit * _MB) < 1, (
        context.budget.limit_bytes / _MB
    )


@when("bodies of 3000 KB, 2000 KB, 100 KB, 4100 KB and 1 KB come and go")
def step_come_and_go(context):
    context.trims = []
    for size in (3000, 2000, 100, 4100, 1):
        with context.budget.hold() as held:
            assert held.grow(size * _KB)
        run_virtually(_adapt(context))
        context.trims.append(context.heap.trim.call_count)


@then("the heap is trimmed after the second and the fourth of them")
def step_trims(context):
    assert context.trims == [0, 1, 1, 2, 2], context.trims


@then("memory_short was logged {count:d} times")
def step_shortage(context, count):
    assert context.shortage.record.call_count == count
