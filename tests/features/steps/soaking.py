"""Steps that soak the system, and that check the soak itself."""

import itertools

from behave import then, when

from soak import Answer, Kind, Record, Scale, Sent, draw_plan, soak
from soak.record import wrong_answer, wrong_runs

_RUNNER = "llm-0"
_SIGNED = {"x-response-signature": "sealed"}
# Loopback addresses of the scenarios' systems; site features begin at 61.
_NUMBER = 58


def stream(*numbers, runner=_RUNNER):
    return b"".join(
        f"id: {n}\ndata: word{n} by {runner}\n\n".encode() for n in numbers
    )


def turn(answer, request="a", **fields):
    return Sent(
        request, "talk", 0.0, runs_as=b"in", program="p", budget=40,
        answer=answer, **fields,
    )  # fmt: skip


def pay(status):
    body = b"done by desk-0"
    return Sent("a", "pay", 0.0, answer=Answer(status, True, _SIGNED, body))


def whole(body=None, **headers):
    body = stream(1, 2, 3, 4) if body is None else body
    return Answer(200, True, {**_SIGNED, **headers}, body)


def run_of(request="a", body="in"):
    headers = {"x-request-id": request, "x-target-instance": _RUNNER}
    return {"headers": headers, "body": body, "fault": "", "runner": _RUNNER}


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


@then("no promise was broken")
def step_held(context):
    outcome = context.outcome
    assert not outcome.wrong, "\n".join(outcome.wrong)
    assert outcome.faults, outcome
    assert outcome.counts["talk 200"], outcome


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
        at = [fault.at for fault in plan if fault.kind is Kind.WIPE]
        gaps = [later - sooner for sooner, later in itertools.pairwise(at)]
        assert all(gap >= seconds for gap in gaps), plan


@when("a caller sees answers as promised")
def step_in_order(context):
    cut = Answer(200, False, _SIGNED, stream(1, 2) + b"id: 3\nda")
    sent = [turn(whole()), turn(cut, "b"), turn(Answer(503, True), "c")]
    look(context, sent, [run_of(), run_of("b")])


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
