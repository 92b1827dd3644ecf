"""Steps about requests that are sent in parts."""

import random
from unittest import mock

from behave import given, then, when

from rattanmill_core import MemoryBudget
from rattanmill_wire.parts import (
    PART_BYTES,
    Incomplete,
    PartHeader,
    PartialRequests,
    encode_header,
    split,
)

_LIMIT_BYTES = 1_000_000
_MAX_BYTES = 600_000
_SENDERS = (b"a", b"b", b"c")
_KEY = (b"a", b"1")
_CLOCKS = ("rattanmill_core.memory", "rattanmill_wire.parts")


def start_clock(context):
    """Replaces the clock by one that only moves when it is told to."""
    context.now = 100.0
    for module in _CLOCKS:
        patch = mock.patch(f"{module}.loop_seconds", lambda: context.now)
        patch.start()
        context.scenario_stack.callback(patch.stop)


def reserved(requests):
    return sum(len(request.data) for request in requests.requests.values())


class _Sender:
    """Sends requests in parts, of which some are lost or come twice."""

    def __init__(self, name, draw):
        self.name = name
        self.draw = draw
        self.count = 0
        self.unsent = []
        self.data = {}

    def next_part(self):
        """Returns key, header and part of what is sent next."""
        if not self.unsent:
            self._begin()
        key, (header, part) = self.unsent.pop(0)
        match self.draw.randrange(40):
            case 0:
                # Given up: the rest of the request is never sent.
                self.unsent.clear()
            case 1:
                self.unsent.insert(0, (key, (header, part)))
            case 2:
                self.draw.shuffle(self.unsent)
        return key, header, part

    def _begin(self):
        self.count += 1
        key = (self.name, b"%d" % self.count)
        size = self.draw.randrange(PART_BYTES + 1, _MAX_BYTES + 50_000)
        self.data[key] = self.draw.randbytes(size)
        self.unsent = [(key, part) for part in split(self.data[key])]


def play(context, seed):
    """Plays a sequence; returns how many requests became whole."""
    draw = random.Random(seed)
    budget = MemoryBudget(_LIMIT_BYTES)
    requests = PartialRequests(budget, _MAX_BYTES)
    senders = [_Sender(name, draw) for name in _SENDERS]
    whole = 0
    for _ in range(120):
        context.now += draw.choice((0.0, 0.01, 0.5))
        sender = draw.choice(senders)
        key, header, part = sender.next_part()
        outcome = requests.add(key, header, bytes(part))
        if not isinstance(outcome, Incomplete):
            assert outcome == sender.data[key], (seed, key)
            whole += 1
        held = budget.held_bytes
        assert held == reserved(requests), (seed, held)
        assert held <= _LIMIT_BYTES + _MAX_BYTES, (seed, held)
    for sender in senders:
        while sender.unsent:
            requests.add(*sender.next_part())
    context.now += 61.0
    requests.add(_KEY, b"no header", b"")
    assert budget.held_bytes == 0, seed
    assert not budget.arriving, seed
    return whole


@then(
    "in {count:d} made-up sequences each request is whole or not served at all"
)
def step_sequences(context, count):
    start_clock(context)
    context.whole = sum(play(context, seed) for seed in range(count))
    assert context.whole > count, context.whole


@then("no memory stays reserved once all of them are whole or given up")
def step_released(context):
    # Each sequence has checked it at its end.
    assert context.whole


@given("memory for {limit:d} bytes of requests of up to {size:d} bytes")
def step_memory(context, limit, size):
    start_clock(context)
    context.requests = PartialRequests(MemoryBudget(limit), size)


@when("a part of {part:d} bytes at {offset:d} of {size:d} arrives")
def step_part(context, part, offset, size):
    header = encode_header(PartHeader(size, offset))
    context.outcome = context.requests.add(_KEY, header, bytes(part))


@when("its sender sends nothing for {seconds:d} seconds")
def step_pass(context, seconds):
    context.now += seconds


@then("the part is {outcome}")
def step_outcome(context, outcome):
    assert context.outcome is Incomplete[outcome.upper()], context.outcome


@then("memory for {size:d} bytes is reserved")
def step_reserved(context, size):
    assert context.requests.memory.held_bytes == size
    assert reserved(context.requests) == size
