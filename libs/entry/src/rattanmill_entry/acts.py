"""Calls to plain services; those marked non-idempotent run at most once.

A non-idempotent call has an idempotency key. That it is intended is committed
before its first byte goes out, its outcome afterwards. A repeat gets the
stored outcome. If the outcome is missing, the call may have run, and the
answer is ``act_unknown`` for ever: it is never sent a second time.
"""

import asyncio
import hashlib

import msgspec

from rattanmill_core import Ran, Reason, Refusal, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.replies import (
    Replies,
    Reply,
    ownership_lost,
    refused,
    whole_reply,
)
from rattanmill_entry.upstream import Failed, ServiceAnswer, call_service
from rattanmill_policy import Outcome, Work
from rattanmill_programs import (
    Act,
    ActIntended,
    ActSettled,
    ActWithdrawn,
    Committed,
    Deferred,
    Fenced,
    Program,
    Shard,
)
from rattanmill_wire import CallStart

_REPEATED = ("Rattanmill-Repeated", "true")
_NEVER_SENT = (Outcome.NOT_CONNECTED, Outcome.DRAINING)


async def run_service(node: Node, start: CallStart) -> Replies:
    """Runs an idempotent call, on another endpoint if one cannot be reached."""
    work = _work(start)
    while True:
        result = await _attempt(node, start, work, [])
        if isinstance(result, Refusal):
            yield refused(start, result)
            return
        if isinstance(result, ServiceAnswer):
            for reply in _answered(start, result):
                yield reply
            return
        if not node.scheduler.may_retry(work, result.outcome):
            yield refused(start, _gave_up(result))
            return
        node.metrics.retried(result.outcome)


async def run_act(
    node: Node, shard: Shard, program: Program, start: CallStart
) -> Replies:
    """Runs a non-idempotent call, or tells how it ended before."""
    digest = _digest(start)
    act = program.acts.get(start.key)
    if act is None:
        # The caller may leave; the outcome must be kept all the same.
        act = Act(start.key, digest)
        program.acts[start.key] = act
        act.running = asyncio.get_running_loop().create_future()
        task = node.spawn(_run_first(node, shard, program, start, act))
        for reply in await asyncio.shield(task):
            yield reply
        return
    if act.digest != digest:
        detail = "The idempotency key was used with another request."
        yield refused(start, refuse(Reason.ACT_CONFLICT, detail))
        return
    if act.running is not None:
        await asyncio.wait([act.running])
    if act.settled is None and program.acts.get(start.key) is not act:
        detail = "The first try was not sent. Send the request again."
        refusal = refuse(Reason.ENDPOINT_FAILED, detail, ran=Ran.NO)
        yield refused(start, refusal)
        return
    for reply in _stored(start, act):
        yield reply


async def _run_first(
    node: Node, shard: Shard, program: Program, start: CallStart, act: Act
) -> list[Reply]:
    with shard.busy():
        try:
            return await _run_intended(node, shard, program, start, act)
        finally:
            act.running.set_result(None)
            act.running = None


async def _run_intended(
    node: Node, shard: Shard, program: Program, start: CallStart, act: Act
) -> list[Reply]:
    if not node.lease.holds():
        del program.acts[act.key]
        return [ownership_lost(start, Ran.NO)]
    intended = ActIntended(
        program.made.program, act.key, act.digest, shard.epoch
    )
    appended = await shard.log.append(intended)
    if not isinstance(appended, Committed):
        return _withdraw(shard, program, start, act, _not_kept(appended))
    work = _work(start)
    headers = [
        ("Idempotency-Key", act.key),
        ("Rattanmill-Fence", f"{shard.domain}.{shard.number}:{shard.epoch}"),
    ]
    while True:
        if not node.lease.holds():
            refusal = refuse(
                Reason.OWNERSHIP_LOST, "The lease has lapsed.", ran=Ran.NO
            )
            return _withdraw(shard, program, start, act, refusal)
        result = await _attempt(node, start, work, headers)
        if isinstance(result, Refusal):
            return _withdraw(shard, program, start, act, result)
        if isinstance(result, ServiceAnswer):
            return await _settle(shard, start, act, program, result)
        if result.outcome not in _NEVER_SENT:
            return await _settle(shard, start, act, program, None)
        if not node.scheduler.may_retry(work, result.outcome):
            return _withdraw(shard, program, start, act, _gave_up(result))
        node.metrics.retried(result.outcome)


def _not_kept(appended: Deferred | Fenced) -> Refusal:
    if isinstance(appended, Fenced):
        detail = "Another instance owns the program now."
        return refuse(Reason.OWNERSHIP_LOST, detail, ran=Ran.NO)
    detail = "The intent cannot be kept while the store is away."
    return refuse(Reason.STORE_UNAVAILABLE, detail)


def _withdraw(
    shard: Shard,
    program: Program,
    start: CallStart,
    act: Act,
    refusal: Refusal,
) -> list[Reply]:
    """Ends an act that was provably never sent, so that it may be repeated."""
    if program.acts.get(act.key) is act:
        del program.acts[act.key]
    shard.log.enqueue(ActWithdrawn(program.made.program, act.key))
    return [refused(start, refusal)]


async def _settle(
    shard: Shard,
    start: CallStart,
    act: Act,
    program: Program,
    answer: ServiceAnswer | None,
) -> list[Reply]:
    """Keeps the outcome; the caller may see it whether or not that worked.

    If it did not, a later repeat is answered with ``act_unknown``, which is
    the truth for whoever was not there.
    """
    if answer is None:
        settled = ActSettled(program.made.program, act.key, Ran.UNKNOWN)
    else:
        settled = ActSettled(
            program.made.program,
            act.key,
            Ran.YES,
            answer.status,
            answer.headers,
            answer.body,
        )
    act.settled = settled
    await shard.log.append(settled)
    if answer is None:
        return _stored(start, act)
    return _answered(start, answer)


def _stored(start: CallStart, act: Act) -> list[Reply]:
    settled = act.settled
    if settled is None or settled.ran is not Ran.YES:
        detail = (
            "The request was sent and its result was lost. It will not be"
            " sent again; ask the service."
        )
        return [refused(start, refuse(Reason.ACT_UNKNOWN, detail))]
    headers = [*settled.headers, _REPEATED]
    return whole_reply(start, settled.status, headers, settled.body)


def _answered(start: CallStart, answer: ServiceAnswer) -> list[Reply]:
    return whole_reply(start, answer.status, answer.headers, answer.body)


async def _attempt(
    node: Node,
    start: CallStart,
    work: Work,
    headers: list[tuple[str, str]],
) -> ServiceAnswer | Failed | Refusal:
    placed = await node.scheduler.place(work)
    if isinstance(placed, Refusal):
        return placed
    work.tried.append(placed.state.endpoint.name)
    with placed:
        result = await call_service(
            node.act_session if start.act else node.session,
            start.method,
            f"{placed.url}/{start.path}",
            [*start.headers, *headers],
            start.body,
            start.seconds_left,
        )
        if isinstance(result, Failed):
            placed.outcome = result.outcome
        else:
            placed.outcome = Outcome.ANSWERED
    return result


def _work(start: CallStart) -> Work:
    return Work(
        program=start.program or start.call,
        workspace=start.workspace,
        service=start.service,
        seconds_left=start.seconds_left,
    )


def _gave_up(failed: Failed) -> Refusal:
    ran = Ran.NO if failed.outcome in _NEVER_SENT else Ran.UNKNOWN
    detail = f"The service failed: {failed.detail}."
    return refuse(Reason.ENDPOINT_FAILED, detail, ran=ran)


def _digest(start: CallStart) -> bytes:
    head = msgspec.msgpack.encode([start.method, start.service, start.path])
    return hashlib.sha256(head + start.body).digest()
