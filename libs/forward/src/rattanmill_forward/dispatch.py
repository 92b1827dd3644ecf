"""Finds an endpoint that answers a call, and tries another where allowed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from rattanmill_core import Metrics, Ran, Reason, Refusal, log_event, refuse
from rattanmill_forward.calls import Call, Dialect
from rattanmill_forward.endpoints import Endpoint, EndpointBook
from rattanmill_forward.exchange import (
    Answer,
    Broken,
    BrokenError,
    ConnectFailed,
    Pool,
)
from rattanmill_forward.placing import choose, expected_seconds
from rattanmill_forward.routes import Kind, Route, Service
from rattanmill_forward.stats import Knowledge, Pick, Stay

# A call that has less left would only cost its endpoint time.
_LEAST_SECONDS = 0.005
# When all endpoints are full, a slot is free after about one call's time.
_FULL_RETRY_SECONDS = 0.3
_MOST_TRIES = 6
_USUAL_EVENTS = 12.0


class Task(msgspec.Struct):
    """A call on its way to an endpoint.

    Attributes:
        call: What the caller asked.
        route: How it is served.
        service: Which endpoints may run it.
        body: What endpoints get; a turn's whole chain.
        deadline: Loop time at which the caller gets an answer at the latest.
        ran_on: Endpoints at which it may have run.
        tried: Endpoints that can't run it now.
        ended: Endpoints at which it may have run and that have ended since.
        last_event: Id of the last event that the caller has, or empty.
    """

    call: Call
    route: Route
    service: Service
    body: bytes
    deadline: float
    ran_on: list[str] = msgspec.field(default_factory=list)
    tried: set[str] = msgspec.field(default_factory=set)
    ended: set[str] = msgspec.field(default_factory=set)
    last_event: str = ""

    @property
    def ran(self) -> Ran:
        """Whether it may have run."""
        return Ran.UNKNOWN if self.ran_on else Ran.NO

    @property
    def kind(self) -> str:
        """Kind of call, for its usual time."""
        if self.route.kind is Kind.STREAM:
            return f"event/{self.service.name}"
        return f"call/{self.route.name}"

    @property
    def may_run_anywhere(self) -> bool:
        """Whether one more endpoint may run it.

        One that has ended is not counted: whoever ran there needs another.
        """
        counted = set(self.ran_on) - self.ended
        return len(counted) < self.route.most_runs

    def left(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    def events(self) -> float:
        """Events that the answer should have; 0: no stream."""
        if self.route.kind is not Kind.STREAM:
            return 0.0
        engine = self.service.engine
        tokens = self.call.expected_tokens or self.call.output_tokens
        if engine is None or not tokens:
            return _USUAL_EVENTS
        return max(1.0, tokens / engine.tokens_per_event)


class Running(msgspec.Struct):
    """A call that an endpoint has begun to answer."""

    endpoint: Endpoint
    answer: Answer
    sent_at: float


class Dispatcher:
    """Sends calls to endpoints.

    Args:
        book: The endpoints.
        known: What was learned of them.
        pool: Connections to them.
        dialect: How they are spoken to.
        metrics: Counters and times.
    """

    def __init__(
        self,
        book: EndpointBook,
        known: Knowledge,
        pool: Pool,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.known = known
        self.pool = pool
        self.dialect = dialect
        self.metrics = metrics

    @contextlib.asynccontextmanager
    async def answered(self, task: Task) -> AsyncIterator[Running | Refusal]:
        """Yields the answer of the first endpoint that gives one.

        The call counts as being there until the block ends.
        """
        for _ in range(_MOST_TRIES):
            if task.left() < _LEAST_SECONDS:
                yield self._refuse(task, Reason.DEADLINE, "no time is left")
                return
            pick = self.pick(task)
            if pick is None:
                yield self._nowhere(task)
                return
            stats = self.known.of(pick.endpoint)
            with Stay(stats, task.call.request) as stay:
                result = await self._send(task, pick)
                if isinstance(result, Running):
                    stay.answered()
                    with result.answer:
                        yield result
                    return
            if isinstance(result, Refusal):
                yield result
                return
        yield self._nowhere(task)

    def pick(self, task: Task) -> Pick | None:
        """Chooses an endpoint; None if none may get the call."""
        candidates = self._candidates(task)
        if not candidates:
            return None
        events = task.events()
        views = {
            endpoint.name: (
                endpoint,
                self.known.view(endpoint, task.call, task.kind, events),
            )
            for endpoint in candidates
        }
        best = choose([view for _, view in views.values()])
        endpoint = views[best.name][0]
        return Pick(
            endpoint,
            expected_seconds(best),
            best.busy,
            self.known.of(endpoint).cached_tokens(task.call.parts),
            len(candidates),
        )

    def _candidates(self, task: Task) -> list[Endpoint]:
        """Endpoints that may get a call, those that seem well if any do.

        One at which it may have run gets it again only if it can get no
        other: each further one counts against the route's bound.
        """
        there = self.book.by_service.get(task.service.name, ())
        if not task.may_run_anywhere:
            there = [e for e in there if e.name in task.ran_on]
        fresh = [e for e in there if e.name not in task.tried]
        well = [e for e in fresh if not self.known.is_avoided(e)]
        return well or fresh

    async def _send(self, task: Task, pick: Pick) -> Running | Refusal | None:
        """Sends a call to an endpoint; None if another one may be tried."""
        endpoint = pick.endpoint
        self._log_placed(task, pick)
        sent_at = _now()
        self.known.of(endpoint).sent(task.call.parts)
        try:
            async with asyncio.timeout_at(task.deadline):
                answer = await self.pool.ask(
                    endpoint,
                    task.call.method,
                    task.call.target,
                    self.dialect.endpoint_headers(
                        task.call,
                        endpoint,
                        task.left(),
                        task.last_event,
                        len(task.body),
                    ),
                    task.body,
                    task.call.request,
                )
        except TimeoutError:
            task.ran_on.append(endpoint.name)
            return self._refuse(
                task, Reason.DEADLINE, f"{endpoint.name} did not answer in time"
            )
        match answer:
            case ConnectFailed(why=why):
                self.known.failed(endpoint, is_unreached=True)
                if endpoint.name in task.ran_on:
                    task.ended.add(endpoint.name)
                return self._not_run(task, endpoint, "not_connected", why)
            case Broken(why=why):
                return self._broken(task, endpoint, why)
        return await self._judge(task, Running(endpoint, answer, sent_at))

    async def _judge(
        self, task: Task, running: Running
    ) -> Running | Refusal | None:
        """Decides whether an answer is the endpoint's own."""
        head = running.answer.head
        endpoint = running.endpoint
        if head.other_instance or head.not_run:
            if head.load:
                self.known.answered(endpoint, head.load)
            with running.answer, contextlib.suppress(BrokenError):
                await running.answer.read()
            return self._not_run(
                task, endpoint, "rejected", f"status {head.status}"
            )
        if not head.is_signed or head.is_encoded:
            with running.answer:
                return self._broken(task, endpoint, "an answer not its own")
        self.known.answered(endpoint, head.load)
        return running

    def _not_run(
        self, task: Task, endpoint: Endpoint, reason: str, why: str
    ) -> None:
        task.tried.add(endpoint.name)
        self._log_retry(task, endpoint, reason, why)

    def _broken(
        self, task: Task, endpoint: Endpoint, why: str
    ) -> Refusal | None:
        """Decides what follows from a call that may have run."""
        self.known.failed(endpoint, is_unreached=False)
        task.ran_on.append(endpoint.name)
        if not task.route.resumable:
            task.tried.add(endpoint.name)
        # A stream that may be resumed goes on where it ran, if nowhere else.
        may_repeat = task.route.is_repeatable and (
            task.may_run_anywhere or task.route.resumable
        )
        if may_repeat:
            self._log_retry(task, endpoint, "broken", why)
            return None
        return self._refuse(
            task, Reason.ENDPOINT_FAILED, f"{endpoint.name}: {why}"
        )

    def cut(
        self, task: Task, running: Running, error: Exception
    ) -> Refusal | None:
        """Decides what follows from an answer that was cut off.

        None if the call may go on elsewhere, or at the same endpoint.
        """
        endpoint = running.endpoint
        if isinstance(error, TimeoutError):
            task.ran_on.append(endpoint.name)
            return self._refuse(task, Reason.DEADLINE, "the time is over")
        if not running.answer.head.is_success:
            task.ran_on.append(endpoint.name)
            return self._refuse(task, Reason.ANSWER_CUT, str(error))
        return self._broken(task, endpoint, str(error))

    def finished(self, task: Task, running: Running) -> None:
        """Learns from a call of a plain service that has ended."""
        if running.answer.head.is_success:
            self.known.measured_call(
                running.endpoint, task.kind, _now() - running.sent_at
            )

    def event_took(self, task: Task, running: Running, seconds: float) -> None:
        """Learns from the time between two events of a stream."""
        self.known.measured_event(running.endpoint, task.kind, seconds)

    def _nowhere(self, task: Task) -> Refusal:
        if task.ran_on:
            return self._refuse(
                task, Reason.ENDPOINT_FAILED, "no other endpoint may run it"
            )
        if task.tried:
            return refuse(
                Reason.OVERLOADED,
                "no endpoint has taken it",
                retry_after=_FULL_RETRY_SECONDS,
            )
        return refuse(Reason.NO_ENDPOINT, f"none of {task.service.name}")

    def _refuse(self, task: Task, reason: Reason, detail: str) -> Refusal:
        return refuse(reason, detail, ran=task.ran)

    def _log_placed(self, task: Task, pick: Pick) -> None:
        stats = self.known.of(pick.endpoint)
        log_event(
            "placed",
            request=task.call.request,
            program=task.call.program,
            endpoint=pick.endpoint.name,
            candidates=pick.candidates,
            busy=round(pick.busy, 1),
            load_age_s=round(_now() - stats.load_at, 3) if stats.load else None,
            pace=round(stats.pace, 2),
            expected_ms=round(pick.expected_seconds * 1000),
            cached_tokens=pick.cached_tokens,
            left_ms=round(task.left() * 1000),
            tries=len(task.tried),
        )

    def _log_retry(
        self, task: Task, endpoint: Endpoint, reason: str, why: str
    ) -> None:
        self.metrics.retried(reason)
        log_event(
            "retried",
            request=task.call.request,
            endpoint=endpoint.name,
            reason=reason,
            why=why[:200],
            ran=task.ran,
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
