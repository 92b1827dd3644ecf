"""Steps about the memory that is held for requests."""

import random
from unittest import mock

from behave import given, then, when

from rattanmill_core import MemoryBudget

_KB = 1024
_MB = 1024 * 1024
_CLOCK = "rattanmill_core.memory.loop_seconds"
_LIMIT_BYTES = 8 * _MB


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
