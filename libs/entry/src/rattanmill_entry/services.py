"""Idempotent calls to plain services, and what all calls to them share."""

import asyncio

from rattanmill_core import Ran, Reason, Refusal, refuse
from rattanmill_entry.node import Node
from rattanmill_entry.quarantine import service_prints
from rattanmill_entry.replies import Replies, Reply, refused, whole_reply
from rattanmill_entry.upstream import Failed, ServiceResponse, call_service
from rattanmill_policy import Outcome, Work
from rattanmill_wire import CallStart

NEVER_SENT = (Outcome.NOT_CONNECTED, Outcome.DRAINING)


async def run_service(node: Node, start: CallStart) -> Replies:
    """Runs an idempotent call, on another endpoint if one cannot be reached."""
    loop = asyncio.get_running_loop()
    until = loop.time() + start.seconds_left
    work = service_work(start)
    ran = Ran.NO
    prints = service_prints(start)
    while True:
        if quarantined := node.guard.refusal(prints, ran):
            yield refused(start, quarantined)
            return
        work.seconds_left = max(0.0, until - loop.time())
        result = await _attempt(node, start, work)
        if isinstance(result, Refusal):
            yield refused(start, result.after(ran))
            return
        quarantined = await node.guard.after_attempt(
            prints, result, work.tried[-1]
        )
        if isinstance(result, ServiceResponse):
            for reply in answered(start, result):
                yield reply
            return
        if result.outcome not in NEVER_SENT:
            ran = Ran.UNKNOWN
        if quarantined:
            yield refused(start, quarantined)
            return
        if not node.scheduler.may_retry(work, result.outcome):
            yield refused(start, gave_up(result, ran))
            return
        node.metrics.retried(result.outcome)
        await node.guard.before_retry(prints)


async def _attempt(
    node: Node, start: CallStart, work: Work
) -> ServiceResponse | Failed | Refusal:
    placed = await node.scheduler.place(work)
    if isinstance(placed, Refusal):
        return placed
    work.tried.append(placed.state.endpoint.name)
    with placed:
        result = await call_service(
            node.session,
            start.method,
            f"{placed.url}/{start.path}",
            start.headers,
            start.body,
            work.seconds_left,
        )
        failed = isinstance(result, Failed)
        placed.outcome = result.outcome if failed else Outcome.ANSWERED
    return result


def service_work(start: CallStart) -> Work:
    """Returns what the scheduler needs to know of a call."""
    return Work(
        program=start.program or start.call,
        workspace=start.workspace,
        service=start.service,
        seconds_left=start.seconds_left,
    )


def answered(start: CallStart, answer: ServiceResponse) -> list[Reply]:
    """Returns the replies that pass a service's answer on."""
    return whole_reply(start, answer.status, answer.headers, answer.body)


def gave_up(failed: Failed, ran: Ran) -> Refusal:
    """Returns the refusal after the last attempt.

    Args:
        failed: How the last attempt ended.
        ran: Whether any of the attempts may have run.
    """
    detail = f"The service failed: {failed.detail}."
    return refuse(Reason.ENDPOINT_FAILED, detail, ran=ran)
