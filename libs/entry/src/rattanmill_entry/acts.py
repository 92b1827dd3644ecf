"""Non-idempotent calls ("acts") to plain services, which run at most once.

Each act has an idempotency key. Its intent is committed before the first byte
is sent, and its outcome afterwards. A repeated request gets the stored
outcome. If there is no outcome, the act may have run; every repeat is then
refused with ``act_unknown`` and the act is never sent a second time. See
docs/design/acts.md.
"""

import asyncio
import hashlib
import time

import msgspec

from rattanmill_core import Ran, Reason, Refusal, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.quarantine import service_prints
from rattanmill_entry.replies import (
    Replies,
    Reply,
    ownership_lost,
    refused,
    whole_reply,
)
from rattanmill_entry.services import (
    NEVER_SENT,
    answered,
    gave_up,
    service_work,
)
from rattanmill_entry.upstream import Failed, ServiceResponse, call_service
from rattanmill_policy import Outcome, Work
from rattanmill_programs import (
    LOOSE_TOKEN,
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

_REPEATED_HEADER = ("Rattanmill-Repeated", "true")
# A log segment holds 1 MB. A larger response would never be committed and
# would block all later records.
_MAX_STORED_BODY_BYTES = 256 * 1024
_FENCED_STATUS = 412
_DEADLINE_GRACE_SECONDS = 0.1


class _ActRun:
    """The only run of an act by this process.

    Attributes:
        node: The daemon's context.
        shard: Shard of the program.
        program: The program, or the shard's holder of acts without a program.
        start: The caller's request.
        act: The act.
        deadline: Loop time of the caller's deadline.
        may_have_been_sent: Whether the request may have reached an endpoint.
        reported_unsent: Whether the caller got a refusal that says that the
            request was not sent.
    """

    def __init__(
        self,
        node: Node,
        shard: Shard,
        program: Program,
        start: CallStart,
        act: Act,
    ) -> None:
        self.node = node
        self.shard = shard
        self.program = program
        self.start = start
        self.act = act
        self.deadline = asyncio.get_running_loop().time() + start.seconds_left
        self.may_have_been_sent = False
        self.reported_unsent = False

    @property
    def seconds_left(self) -> float:
        """Seconds until the caller's deadline."""
        return max(0.0, self.deadline - asyncio.get_running_loop().time())


async def run_act(
    node: Node, shard: Shard, program: Program, start: CallStart
) -> Replies:
    """Runs a non-idempotent call, or returns the outcome of its first run."""
    name = _act_name(start)
    digest = _digest(start)
    act = program.acts.get(name)
    if act is None:
        replies = await _run_first(
            node, shard, program, start, Act(name, digest)
        )
    elif act.digest != digest:
        detail = "The idempotency key was used with another request."
        replies = [refused(start, refuse(Reason.ACT_CONFLICT, detail))]
    else:
        replies = await _answer_repeat(program, start, act)
    for reply in replies:
        yield reply


def _act_name(start: CallStart) -> str:
    """Returns the key of an act that is unique within its holder.

    Acts without a program share a holder with those of other workspaces. With
    the idempotency key alone, one caller could get another caller's response.
    """
    if start.program.endswith(f".{LOOSE_TOKEN}"):
        return f"{start.workspace}/{start.key}"
    return start.key


def _digest(start: CallStart) -> bytes:
    head = msgspec.msgpack.encode([start.method, start.service, start.path])
    return hashlib.sha256(head + start.body).digest()


async def _answer_repeat(
    program: Program, start: CallStart, act: Act
) -> list[Reply]:
    """Answers a repeated request; waits for a run that is in progress."""
    if act.running is not None:
        await asyncio.wait([act.running], timeout=start.seconds_left)
    if act.settled is None and act.running is not None:
        detail = "The first request is running. Repeat it with the same key."
        return [refused(start, refuse(Reason.DEADLINE, detail))]
    if act.settled is None and program.acts.get(act.key) is not act:
        detail = "The first request was not sent. Send the request again."
        refusal = refuse(Reason.ENDPOINT_FAILED, detail, ran=Ran.NO)
        return [refused(start, refusal)]
    return _stored_replies(start, act)


async def _run_first(
    node: Node, shard: Shard, program: Program, start: CallStart, act: Act
) -> list[Reply]:
    refusal = _check_program(program)
    refusal = refusal or node.guard.refusal(service_prints(start), Ran.NO)
    if refusal:
        return [refused(start, refusal)]
    program.acts[act.key] = act
    act.running = asyncio.get_running_loop().create_future()
    run = _ActRun(node, shard, program, start, act)
    # The outcome must be stored even if the caller disconnects.
    task = node.spawn(_run_to_completion(run))
    await asyncio.wait(
        [task], timeout=run.seconds_left + _DEADLINE_GRACE_SECONDS
    )
    if task.done():
        return task.result()
    return _answer_at_deadline(run)


def _check_program(program: Program) -> Refusal | None:
    made = program.made
    if program.ended is not None:
        return refuse(Reason.PROGRAM_ENDED, "The program has ended.")
    if made.seconds and time.time() > made.created + made.seconds:
        detail = f"The budget of {made.seconds:.0f} s has run out."
        return refuse(Reason.BUDGET_EXHAUSTED, detail)
    return None


def _answer_at_deadline(run: _ActRun) -> list[Reply]:
    """Answers at the deadline; the run continues until it is settled."""
    if run.act.settled is not None:
        return _stored_replies(run.start, run.act)
    if run.may_have_been_sent:
        detail = "The request was sent; its result is not known yet."
        return [refused(run.start, refuse(Reason.DEADLINE, detail))]
    run.reported_unsent = True
    detail = "The deadline passed before the request could be sent."
    refusal = refuse(Reason.DEADLINE, detail, ran=Ran.NO)
    return [refused(run.start, refusal)]


async def _run_to_completion(run: _ActRun) -> list[Reply]:
    with run.shard.busy():
        try:
            return await _run_with_intent(run)
        finally:
            run.act.running.set_result(None)
            run.act.running = None


async def _run_with_intent(run: _ActRun) -> list[Reply]:
    node, act = run.node, run.act
    if not node.lease.holds():
        del run.program.acts[act.key]
        return [ownership_lost(run.start, Ran.NO)]
    intended = ActIntended(
        run.program.made.program, act.key, act.digest, run.shard.epoch
    )
    appended = await run.shard.log.append(intended)
    if not isinstance(appended, Committed):
        return _withdraw(run, _commit_refusal(appended))
    work = service_work(run.start)
    while True:
        result = await _attempt(run, work)
        if isinstance(result, Refusal):
            return _withdraw(run, result)
        fingerprints = service_prints(run.start)
        if isinstance(result, ServiceResponse):
            node.guard.finished(fingerprints)
            return await _settle(run, result)
        if result.outcome not in NEVER_SENT:
            replies = await _settle(run, None)
            # Before the caller can send the request again with another key.
            await node.guard.after_attempt(fingerprints, result, work.tried[-1])
            return replies
        run.may_have_been_sent = False
        if not node.scheduler.may_retry(work, result.outcome):
            return _withdraw(run, gave_up(result, Ran.NO))
        node.metrics.retried(result.outcome)


async def _attempt(
    run: _ActRun, work: Work
) -> ServiceResponse | Failed | Refusal:
    node, start = run.node, run.start
    work.seconds_left = run.seconds_left
    placed = await node.scheduler.place(work)
    if isinstance(placed, Refusal):
        return placed
    work.tried.append(placed.state.endpoint.name)
    with placed:
        # Placement may have taken long: the lease may have expired, and the
        # caller may have been told that nothing was sent.
        refusal = _send_refusal(run)
        if refusal:
            return refusal
        run.may_have_been_sent = True
        result = await call_service(
            node.act_session,
            start.method,
            f"{placed.url}/{start.path}",
            [*start.headers, *_act_headers(run)],
            start.body,
            run.seconds_left,
            no_resend=True,
            may_send=lambda: _send_refusal(run) is None,
        )
        failed = isinstance(result, Failed)
        placed.outcome = result.outcome if failed else Outcome.ANSWERED
    return result


def _send_refusal(run: _ActRun) -> Refusal | None:
    if not run.node.lease.holds() or run.shard.log.fenced:
        detail = "This instance may not act for the program any more."
        return refuse(Reason.OWNERSHIP_LOST, detail, ran=Ran.NO)
    if run.reported_unsent or not run.seconds_left:
        detail = "The deadline passed before the request could be sent."
        return refuse(Reason.DEADLINE, detail, ran=Ran.NO)
    return None


def _act_headers(run: _ActRun) -> list[tuple[str, str]]:
    shard = run.shard
    fence = f"{shard.domain}.{shard.number}:{shard.epoch}"
    return [("Idempotency-Key", run.start.key), ("Rattanmill-Fence", fence)]


def _commit_refusal(appended: Deferred | Fenced) -> Refusal:
    if isinstance(appended, Fenced):
        detail = "Another instance owns the program now."
        return refuse(Reason.OWNERSHIP_LOST, detail, ran=Ran.NO)
    detail = "The intent cannot be stored while the store is unavailable."
    return refuse(Reason.STORE_UNAVAILABLE, detail)


def _withdraw(run: _ActRun, refusal: Refusal) -> list[Reply]:
    """Removes an act that was certainly not sent, so that it can run later."""
    program, act = run.program, run.act
    if program.acts.get(act.key) is act:
        del program.acts[act.key]
    run.shard.log.enqueue(ActWithdrawn(program.made.program, act.key))
    return [refused(run.start, refusal)]


async def _settle(
    run: _ActRun, response: ServiceResponse | None
) -> list[Reply]:
    """Stores the outcome; the caller gets it even if that fails.

    If it fails, the next owner has only the intent and refuses a repeat with
    ``act_unknown``, which is all that it knows.
    """
    run.act.settled = _settled_record(run, response)
    appended = await run.shard.log.append(run.act.settled)
    if response is None:
        return _stored_replies(run.start, run.act)
    if response.status == _FENCED_STATUS and isinstance(appended, Fenced):
        # The service checks fencing tokens, and this instance's was stale.
        return [ownership_lost(run.start, Ran.NO)]
    return answered(run.start, response)


def _settled_record(
    run: _ActRun, response: ServiceResponse | None
) -> ActSettled:
    program, key = run.program.made.program, run.act.key
    if response is None:
        return ActSettled(program, key, Ran.UNKNOWN)
    if len(response.body) > _MAX_STORED_BODY_BYTES:
        run.node.metrics.count("rattanmill_act_answers_not_kept")
        return ActSettled(program, key, Ran.YES)
    return ActSettled(
        program, key, Ran.YES, response.status, response.headers, response.body
    )


def _stored_replies(start: CallStart, act: Act) -> list[Reply]:
    settled = act.settled
    if settled is None or settled.ran is not Ran.YES:
        detail = (
            "The request was sent and its result was lost. It will not be"
            " sent again; ask the service."
        )
        return [refused(start, refuse(Reason.ACT_UNKNOWN, detail))]
    if not settled.status:
        detail = "The request ran; its response was too long to be stored."
        return [refused(start, refuse(Reason.ANSWER_NOT_KEPT, detail))]
    headers = [*settled.headers, _REPEATED_HEADER]
    return whole_reply(start, settled.status, headers, settled.body)
