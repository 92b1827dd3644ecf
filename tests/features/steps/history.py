"""Steps about the stored history of programs."""

import base64

import msgspec
from behave import given, then, when
from steps.state import (
    background,
    engine,
    kv_faults,
    running_clients,
    shard_of,
)

from rattanmill_programs.program import next_chain
from rattanmill_programs.records import Segment, TurnKept, encode_segment
from support import wait_until


@given("no receipts so far")
def step_no_receipts(context):
    context.receipts = []


@when('turn {turn:d} "{text}" is sent with the receipts')
def step_with_receipts(context, turn, text):
    context.answer = running_clients(context)[-1].chat(
        text, context.program, turn, rattanmill_receipts=context.receipts
    )


@when('responses to writes of "{match}" are lost {count:d} times')
def step_lose_responses(context, match, count):
    stats = context.system.standins["kv"].stats()
    context.lost_responses_before = stats.get("answers_lost", 0)
    kv_faults(context, lose_answers=count, lose_match=match)


@when('turn {turn:d} "{text}" is sent in the background through another domain')
def step_in_background(context, turn, text):
    context.calls_before = engine(context).stats().get("finished", 0)
    client = context.clients[-1]
    context.running_call = background(
        context, client.chat, text, context.program, turn
    )


@when("a response was lost")
def step_response_lost(context):
    stats = context.system.standins["kv"].stats
    wait_until(
        lambda: stats().get("answers_lost", 0) > context.lost_responses_before,
        "a response was lost",
    )


@when("the key-value service takes {seconds:f} s for each call")
def step_slow(context, seconds):
    kv_faults(context, slow_seconds=seconds)


@when("the key-value service is no longer slow")
def step_fast(context):
    context.system.standins["kv"].faults(slow_seconds=0.0)


@when("the engine has finished it")
def step_finished(context):
    stats = engine(context).stats
    wait_until(
        lambda: stats().get("finished", 0) > context.calls_before,
        "the engine has finished the turn",
    )


@then("the answer has no receipt")
def step_no_receipt(context):
    assert context.answer.status == 200, context.answer
    assert "receipt" not in context.answer.json["rattanmill"], context.answer


@given("a second program with the same first turn")
def step_second(context):
    client = context.clients[0]
    context.second = client.create(workspace="leith")
    answer = client.chat("Draft Leith.", context.second, 1)
    assert answer.status == 200, answer


@when('turn {turn:d} "{text}" of the second program is sent with the receipts')
def step_second_turn(context, turn, text):
    assert context.receipts
    context.answer = running_clients(context)[0].chat(
        text, context.second, turn, rattanmill_receipts=context.receipts
    )


def send_with_receipts(context, text, turn, receipts):
    context.answer = running_clients(context)[-1].chat(
        text, context.program, turn, rattanmill_receipts=receipts
    )


@when('turn {turn:d} "{text}" is sent with an altered receipt')
def step_altered_receipt(context, turn, text):
    """Alters the second receipt and fits its chain, which needs no secret."""
    decoded_receipts = [
        base64.urlsafe_b64decode(receipt) for receipt in context.receipts
    ]
    turns = [
        msgspec.msgpack.decode(r[32:], type=TurnKept) for r in decoded_receipts
    ]
    forged = msgspec.structs.replace(
        turns[1], answer=turns[1].answer.replace(b"assistant", b"assistent")
    )
    chain = next_chain(turns[0].chain, forged)
    forged = msgspec.structs.replace(forged, chain=chain)
    data = decoded_receipts[1][:32] + msgspec.msgpack.encode(forged)
    altered = base64.urlsafe_b64encode(data).decode()
    send_with_receipts(context, text, turn, [context.receipts[0], altered])


@when('turn {turn:d} "{text}" is sent without the first receipt')
def step_without_first(context, turn, text):
    send_with_receipts(context, text, turn, context.receipts[1:])


@when('turn {turn:d} "{text}" is sent with each receipt twice')
def step_duplicate_receipts(context, turn, text):
    send_with_receipts(context, text, turn, context.receipts * 2)


@when("a segment of an older epoch with turn {turn:d} is in the next slot")
def step_late_segment(context, turn):
    kv = context.system.standins["kv"]
    prefix = f"rm/log/{shard_of(context.program).replace('.', '/')}/"
    listed = kv.request("GET", f"/range?prefix={prefix}").json["entries"]
    slot = int(listed[-1]["key"].rsplit("/", 1)[-1]) + 1
    late = TurnKept(
        context.program,
        turn,
        b"",
        2,
        [b'{"role":"user","content":"stale"}'],
        b'{"role":"assistant","content":"stale"}',
        "stop",
        "commentary",
        1,
        1,
        1,
        b"stale",
    )
    value = encode_segment(Segment("late", 0, [late]))
    answer = kv.request("PUT", f"/kv/{prefix}{slot:010d}?expect=0", value)
    assert answer.status == 200, answer


@then("the late segment's answer is not in the history")
def step_late_segment_ignored(context):
    client = running_clients(context)[-1]
    path = f"/v1/programs/{context.program}/history"
    answer = client.request("GET", path)
    assert b"stale" not in answer.body, answer


@when(
    "turn {turn:d} with {count:d} characters is sent through a running instance"
)
def step_long_turn(context, turn, count):
    engine(context).faults(slow_factor=0.01)
    client = running_clients(context)[-1]
    context.answer = client.chat("x" * count, context.program, turn)
