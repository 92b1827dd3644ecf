"""Steps that soak the system, and that check the soak itself."""

import hashlib
import itertools

from behave import then, when

from soak import (
    Answer,
    Kind,
    Record,
    Scale,
    Sent,
    draw_endpoint_faults,
    draw_plan,
    draw_serial_faults,
    soak,
)
from soak.plan import KINDS_DRAWN_APART, LOST_DISKS
from soak.record import wrong_answer, wrong_runs

_RUNNER = "llm-0"
_SIGNED = {"x-response-signature": "sealed"}
# Loopback addresses of the scenarios' systems; site features begin at 61.
_NUMBER = 58


def stream(*numbers, runner=_RUNNER):
    return b"".join(
        f"id: {n}\ndata: word{n} by {runner}\n\n".encode() for n in numbers
    )


def turn(answer, request="a", at=0.0, budget=40, **fields):
    return Sent(
        request, "talk", at, runs_as=b"in", program="p", budget=budget,
        answer=answer, **fields,
    )  # fmt: skip


def turns_of_two(at, first=None):
    """A turn that used a half of what it may, and one refused as spent."""
    first = first or whole()
    return [
        turn(first, "a", budget=120, max_tokens=80, ended_at=1.0),
        turn(
            Answer(402, True), "b", at, budget=120, max_tokens=80, ended_at=at
        ),
    ]


def plan(answer, request="a", after=0):
    return Sent(
        request, "plan", 0.0, runs_as=b"in", program="q", budget=40,
        answer=answer, after=after,
    )  # fmt: skip


def failure(body=b"failed\n\n", headers=_SIGNED):
    return Answer(500, True, headers, body)


def pay(status):
    body = b"done by desk-0" if status == 200 else b"failed\n\n"
    return Sent("a", "pay", 0.0, answer=Answer(status, True, _SIGNED, body))


def whole(body=None, **headers):
    body = stream(1, 2, 3, 4) if body is None else body
    return Answer(200, True, {**_SIGNED, **headers}, body)


def run_of(request="a", body="in", fault="", runner=_RUNNER, after=0):
    headers = {"x-request-id": request, "x-target-instance": runner}
    if after:
        headers["last-event-id"] = str(after)
    return {"headers": headers, "body": body, "fault": fault, "runner": runner}


_SEEN = {
    "a kept turn answered with 404": (
        [turn(Answer(404, True), previous="b")], []
    ),
    "a proper request answered with 400": ([turn(Answer(400, True))], []),
    "a success without a signature": (
        [turn(Answer(200, True, {}, stream(1, 2, 3, 4)))], []
    ),
    "the answer to another request": (
        [turn(whole(**{"x-request-id": "b"}))], []
    ),
    "an event that is missing": ([turn(whole(stream(1, 2, 4)))], []),
    "events of two runs": (
        [turn(whole(stream(1, 2) + stream(3, 4, runner="llm-1")))], []
    ),
    "a stream that is complete too early": ([turn(whole(stream(1, 2)))], []),
    "a payment that ran twice": ([pay(200)], [run_of(body="")] * 2),
    "a payment refused that ran": ([pay(503)], [run_of(body="")]),
    "a turn run with another history": ([turn(whole())], [run_of(body="x")]),
    "a request run that nobody sent": ([], [run_of()]),
    "more tokens than the budget and one turn": (
        [turn(whole(), request) for request in "abc"], []
    ),
    "a plan with an event twice": ([plan(whole(stream(1, 2, 2, 3)))], []),
    "a plan that begins again when resumed": (
        [plan(whole(), after=2)], []
    ),
    "a resumed plan that leaves an event out": (
        [plan(whole(stream(4)), after=2)], []
    ),
    "a plan that is complete too early": ([plan(whole(stream(1, 2)))], []),
    "a resumed plan that is complete too early": (
        [plan(whole(stream(3)), after=2)], []
    ),
    "a plan that is complete within an event": (
        [plan(whole(stream(1, 2, 3, 4) + b"id: 5\nda"))], []
    ),
    "a plan whose later events have no ids": (
        [plan(whole(stream(1, 2) + stream(3, 4).replace(b"id: ", b"x: ")))], []
    ),
    "a plan that a failure was joined to": (
        [plan(whole(stream(1, 2) + b"failed\n\n"))],
        [run_of(), run_of(fault="resumed_error", after=2)],
    ),
    "a turn that was resumed at another runner": (
        [turn(whole(stream(1, 2) + stream(3, 4, runner="llm-1")))], []
    ),
    "an event of a runner that did not run it": (
        [plan(whole(stream(1, 2) + stream(3, 4, runner="llm-1")))], [run_of()]
    ),
    "a success where the runner failed": (
        [plan(whole())], [run_of(fault="error")]
    ),
    "a failure that no runner gave": ([plan(failure())], [run_of()]),
    "a failure with another body": ([plan(failure(b"else"))], []),
    "a failure without a signature": ([plan(failure(headers={}))], []),
    "a payment that failed and ran twice": (
        [pay(500)], [run_of(body="", fault="error")] * 2
    ),
    "a turn run from a later event": ([turn(whole())], [run_of(after=2)]),
    "a plan run again from the start": (
        [plan(whole(stream(3, 4)), after=2)], [run_of()]
    ),
    "a turn refused though the budget holds it": (
        turns_of_two(at=2.5), [run_of()]
    ),
    "a turn refused for one that never ran": (
        turns_of_two(at=2.5, first=Answer(503, True)), []
    ),
    "more tokens in plans than the budget": (
        [plan(whole(), request) for request in "abc"], []
    ),
}  # fmt: skip


def look(context, sent, seen):
    record = Record()
    for each in sent:
        record.add(each)
    answers = [wrong_answer(each) for each in sent]
    context.reported = [*filter(None, answers), *wrong_runs(record, seen)]


@when("seed {seed:d} is soaked for {seconds:d} seconds")
def step_soak(context, seed, seconds):
    context.outcome = soak(seed, Scale(seconds=float(seconds)), _NUMBER)


@when(
    "seed {seed:d} is soaked for {seconds:d} seconds with faults of endpoints"
    " alone"
)
def step_soak_endpoints(context, seed, seconds):
    # Mostly streams that may be resumed, so that some are beside load as well.
    scale = Scale(seconds=float(seconds), callers=2, resumers=12)
    context.outcome = soak(seed, scale, _NUMBER, draw=draw_endpoint_faults)


@then("streams were resumed")
def step_resumed(context):
    assert context.outcome.resumed, context.outcome


@then(
    "the serial faults of seed {seed:d} with {count:d} of each role a domain"
    ' are "{digest}"'
)
def step_serial(context, seed, count, digest):
    plan = draw_serial_faults(seed, Scale(25.0, count, count))
    lines = [
        f"{f.at!r} {f.kind} {f.target} {f.seconds!r} {f.other}" for f in plan
    ]
    found = hashlib.sha256("\n".join(lines).encode()).hexdigest()
    assert found.startswith(digest), found
    whole = draw_plan(seed, Scale(25.0, count, count))
    assert plan == [f for f in whole if f.kind not in KINDS_DRAWN_APART]


@then("all faults of streams overlap at different endpoints")
def step_overlap(context):
    shares = [
        [f for f in plan if f.kind is Kind.RUNNER_SHARE]
        for plan in context.plans
    ]
    met = {
        frozenset((one, other))
        for plan in shares
        for a, b in itertools.combinations(plan, 2)
        if a.target != b.target and b.at < a.at + a.seconds
        for one, other in itertools.product(a.faults, b.faults)
    }
    faults = {name for plan in shares for f in plan for name in f.faults}
    assert {"error", "cut", "ended_within", "resumed_error"} <= faults, faults
    missing = [
        pair
        for pair in itertools.combinations(faults, 2)
        if frozenset(pair) not in met
    ]
    assert not missing, missing


@then("no promise was broken")
def step_held(context):
    outcome = context.outcome
    assert not outcome.wrong, "\n".join(outcome.wrong)
    assert outcome.faults, outcome
    assert outcome.counts["talk 200"], outcome
    assert outcome.counts["plan 200"], outcome


@then("the plans of {count:d} seeds are the same when they are drawn again")
def step_same(context, count):
    context.plans = [draw_plan(seed, Scale()) for seed in range(count)]
    again = [draw_plan(seed, Scale()) for seed in range(count)]
    assert context.plans == again
    assert len({tuple(plan) for plan in again}) == count


@then("all kinds of faults are among them")
def step_kinds(context):
    found = {fault.kind for plan in context.plans for fault in plan}
    assert found == set(Kind), set(Kind) - found


@then("no two disks are lost within {seconds:d} seconds")
def step_disks(context, seconds):
    for plan in context.plans:
        at = [fault.at for fault in plan if fault.kind in LOST_DISKS]
        gaps = [later - sooner for sooner, later in itertools.pairwise(at)]
        assert all(gap >= seconds for gap in gaps), plan


@when("a caller sees answers as promised")
def step_in_order(context):
    cut = Answer(200, False, _SIGNED, stream(1, 2) + b"id: 3\nda")
    sent = [
        turn(whole()),
        turn(cut, "b"),
        turn(Answer(503, True), "c"),
        turn(failure(), "d"),
        # The system resumes a plan at another runner, and so does its caller.
        plan(whole(stream(1, 2) + stream(3, 4, runner="llm-1")), "e"),
        plan(cut, "f"),
        plan(whole(stream(3, 4, runner="llm-1")), "g", after=2),
        plan(whole(b""), "h", after=4),
    ]
    seen = [
        run_of(),
        run_of("b"),
        run_of("d", fault="error"),
        run_of("e"),
        run_of("e", runner="llm-1", after=2),
        run_of("f"),
        run_of("f", fault="resumed_error", runner="llm-1", after=2),
        run_of("g", runner="llm-1", after=2),
        run_of("h", after=4),
    ]
    for each in sent[4:]:
        each.budget = 160
    # The first turn may still count in full, or for good.
    for number, refused in enumerate(
        (turns_of_two(at=1.5), turns_of_two(at=2.5, first=cut))
    ):
        for each in refused:
            each.program = f"refused-{number}"
            each.request = f"{each.request}-{number}"
        seen.append(run_of(f"a-{number}"))
        sent += refused
    look(context, sent, seen)


@when("a caller sees {what}")
def step_sees(context, what):
    look(context, *_SEEN[what])


@then('the soak reports "{rule}"')
def step_reports(context, rule):
    (reported,) = context.reported
    assert reported.startswith(f"{rule}:"), reported


@then("the soak reports nothing")
def step_nothing(context):
    assert not context.reported, context.reported
