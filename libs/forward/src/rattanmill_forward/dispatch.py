"""Finds an endpoint that answers a call, and tries another where allowed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec

from rattanmill_core import (
    Metrics,
    Ran,
    Reason,
    Refusal,
    log_event,
    loop_seconds,
    refuse,
)
from rattanmill_forward.bodies import Rest
from rattanmill_forward.calls import Call, Dialect
from rattanmill_forward.crashes import CrashGuard, fingerprint_of
from rattanmill_forward.domains import Domains
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
# A cut lasts for seconds; meanwhile callers get to fronts of other domains.
_CUT_RETRY_SECONDS = 1.0
_MOST_TRIES = 6
_USUAL_EVENTS = 12.0
# Streams of fewer events say little of the time between them.
_LEAST_EVENTS = 3


class Job(msgspec.Struct):
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
        rest: The part of a long body that is still to come, or None.
        fingerprint: What stays the same when it is sent again.
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
    rest: Rest | None = None
    fingerprint: bytes = b""

    def __post_init__(self) -> None:
        self.fingerprint = fingerprint_of(self.call, self.body)

    @property
    def body_bytes(self) -> int | None:
        """Bytes of the body, or None if only its end will tell."""
        return self.rest.size if self.rest else len(self.body)

    @property
    def can_send(self) -> bool:
        """Whether all of the body is still at hand."""
        return self.rest is None or not self.rest.taken

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
    """A call that an endpoint has begun to answer.

    Attributes:
        endpoint: The endpoint.
        answer: Its answer.
        sent_at: Loop time at which the call was sent.
        unread: Tokens of its prompt that were not cached, as far as known.
        first_at: Loop time of the first event of a stream.
        last_at: Loop time of its newest event.
        events: Events of this run.
    """

    endpoint: Endpoint
    answer: Answer
    sent_at: float
    unread: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    events: int = 0


class Dispatcher:
    """Sends calls to endpoints.

    Args:
        book: The endpoints.
        known: What was learned of them.
        pool: Connections to them.
        dialect: How they are spoken to.
        guard: Refuses calls that crash endpoints.
        domains: Failure domains that are out of reach.
        metrics: Counters and times.
    """

    def __init__(
        self,
        book: EndpointBook,
        known: Knowledge,
        pool: Pool,
        guard: CrashGuard,
        domains: Domains,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.book = book
        self.known = known
        self.pool = pool
        self.guard = guard
        self.domains = domains
        self.dialect = dialect
        self.metrics = metrics

    @contextlib.asynccontextmanager
    async def answered(self, job: Job) -> AsyncIterator[Running | Refusal]:
        """Yields the answer of the first endpoint that gives one.

        The call counts as being there until the block ends.
        """
        for _ in range(_MOST_TRIES):
            if job.left() < _LEAST_SECONDS:
                yield self._refuse(job, Reason.DEADLINE, "no time is left")
                return
            quarantined = self.guard.refusal(job.fingerprint, job.ran)
            if quarantined:
                yield quarantined
                return
            pick = self.pick(job)
            if pick is None:
                yield self._nowhere(job)
                return
            stats = self.known.of(pick.endpoint)
            with Stay(stats, job.call.request, pick.unread_tokens) as stay:
                result = await self._send(job, pick)
                if isinstance(result, Running):
                    stay.answered()
                    with result.answer:
                        yield result
                    return
            if isinstance(result, Refusal):
                yield result
                return
        yield self._nowhere(job)

    def pick(self, job: Job) -> Pick | None:
        """Chooses an endpoint; None if none may get the call."""
        candidates = self._candidates(job)
        if not candidates:
            return None
        events = job.events()
        views = {
            endpoint.name: (
                endpoint,
                self.known.view(endpoint, job.call, job.kind, events),
            )
            for endpoint in candidates
        }
        best = choose([view for _, view in views.values()])
        endpoint = views[best.name][0]
        cached = self.known.of(endpoint).cached_tokens(job.call.parts)
        return Pick(
            endpoint,
            expected_seconds(best),
            best.busy,
            cached,
            job.call.unread_tokens(cached),
            len(candidates),
        )

    def _candidates(self, job: Job) -> list[Endpoint]:
        """Endpoints that may get a call, those that seem well if any do.

        One at which it may have run gets it again only if it can get no
        other: each further one counts against the route's bound.
        """
        there = self.book.by_service.get(job.service.name, ())
        if not job.may_run_anywhere:
            there = [e for e in there if e.name in job.ran_on]
        # What is sent into a cut may run, and nobody could tell.
        fresh = [
            endpoint
            for endpoint in there
            if endpoint.name not in job.tried
            and endpoint.domain not in self.domains.cut
        ]
        well = [e for e in fresh if not self.known.is_avoided(e)]
        return well or fresh

    async def _send(self, job: Job, pick: Pick) -> Running | Refusal | None:
        """Sends a call to an endpoint; None if another one may be tried."""
        endpoint = pick.endpoint
        self._log_placed(job, pick)
        sent_at = loop_seconds()
        self.known.of(endpoint).sent(job.call.parts)
        try:
            async with asyncio.timeout_at(job.deadline):
                answer = await self.pool.ask(
                    endpoint,
                    job.call.method,
                    job.call.target,
                    self.dialect.endpoint_headers(
                        job.call,
                        endpoint,
                        job.left(),
                        job.last_event,
                        job.body_bytes,
                    ),
                    job.body,
                    job.call.request,
                    job.rest.chunks() if job.rest else None,
                    may_break=job.route.kind is Kind.STREAM
                    or job.route.is_repeatable,
                )
        except TimeoutError:
            job.ran_on.append(endpoint.name)
            return self._refuse(
                job, Reason.DEADLINE, f"{endpoint.name} did not answer in time"
            )
        match answer:
            case ConnectFailed(why=why):
                self.known.failed(endpoint, is_unreached=True)
                if endpoint.name in job.ran_on:
                    job.ended.add(endpoint.name)
                return self._not_run(job, endpoint, "not_connected", why)
            case Broken(why=why):
                return self._broken(job, endpoint, why)
        running = Running(endpoint, answer, sent_at, pick.unread_tokens)
        return await self._judge(job, running)

    async def _judge(
        self, job: Job, running: Running
    ) -> Running | Refusal | None:
        """Decides whether an answer is the endpoint's own."""
        head = running.answer.head
        endpoint = running.endpoint
        self.domains.hear(endpoint.domain)
        if head.other_instance or head.not_run:
            if head.load:
                self.known.answered(endpoint, head.load)
            with running.answer, contextlib.suppress(BrokenError):
                await running.answer.read()
            return self._not_run(
                job, endpoint, "rejected", f"status {head.status}"
            )
        if not head.is_signed or head.is_encoded:
            with running.answer:
                return self._broken(job, endpoint, "an answer not its own")
        self.known.answered(endpoint, head.load)
        return running

    def _not_run(
        self, job: Job, endpoint: Endpoint, reason: str, why: str
    ) -> Refusal | None:
        job.tried.add(endpoint.name)
        if not job.can_send:
            return refuse(
                Reason.OVERLOADED,
                f"{endpoint.name} did not take it: {why}",
                ran=job.ran,
                retry_after=_FULL_RETRY_SECONDS,
            )
        self._log_retry(job, endpoint, reason, why)
        return None

    def _broken(self, job: Job, endpoint: Endpoint, why: str) -> Refusal | None:
        """Decides what follows from a call that may have run."""
        if job.rest and job.rest.refusal:
            return job.rest.refusal
        self.known.failed(endpoint, is_unreached=False)
        self.guard.broken(job.call, job.fingerprint, endpoint)
        job.ran_on.append(endpoint.name)
        if endpoint.domain in self.domains.cut:
            job.ended.add(endpoint.name)
        if not job.route.resumable:
            job.tried.add(endpoint.name)
        # A stream that may be resumed goes on where it ran, if nowhere else.
        may_repeat = (
            job.can_send
            and job.route.is_repeatable
            and (job.may_run_anywhere or job.route.resumable)
        )
        if may_repeat:
            self._log_retry(job, endpoint, "broken", why)
            return None
        return self._refuse(
            job, Reason.ENDPOINT_FAILED, f"{endpoint.name}: {why}"
        )

    def cut(
        self, job: Job, running: Running, error: Exception
    ) -> Refusal | None:
        """Decides what follows from an answer that was cut off.

        None if the call may go on elsewhere, or at the same endpoint.
        """
        endpoint = running.endpoint
        if isinstance(error, TimeoutError):
            job.ran_on.append(endpoint.name)
            return self._refuse(job, Reason.DEADLINE, "the time is over")
        if not running.answer.head.is_success:
            job.ran_on.append(endpoint.name)
            return self._refuse(job, Reason.ANSWER_CUT, str(error))
        return self._broken(job, endpoint, str(error))

    def finished(self, job: Job, running: Running) -> None:
        """Learns from a call that has ended."""
        self.guard.finished(job.fingerprint)
        if job.route.kind is Kind.STREAM:
            self._stream_took(job, running)
            return
        if running.answer.head.is_success:
            self.known.measured_call(
                running.endpoint, job.kind, loop_seconds() - running.sent_at
            )

    def event_came(self, job: Job, running: Running) -> None:
        """Learns from an event of a stream."""
        now = loop_seconds()
        self.domains.hear(running.endpoint.domain)
        running.events += 1
        running.last_at = now
        if running.events == 1:
            running.first_at = now
            self.known.measured_first(
                running.endpoint,
                job.kind,
                now - running.sent_at,
                running.unread,
            )

    def _stream_took(self, job: Job, running: Running) -> None:
        """Learns from a whole stream.

        Its mean, not each gap: events that come together, as from an engine
        with many at a time, would make it look several times as fast as it is.
        """
        if running.events < _LEAST_EVENTS:
            return
        seconds = running.last_at - running.first_at
        self.known.measured_event(
            running.endpoint, job.kind, seconds / (running.events - 1)
        )

    def _nowhere(self, job: Job) -> Refusal:
        if job.ran_on:
            return self._refuse(
                job, Reason.ENDPOINT_FAILED, "no other endpoint may run it"
            )
        if job.tried:
            return refuse(
                Reason.OVERLOADED,
                "no endpoint has taken it",
                retry_after=_FULL_RETRY_SECONDS,
            )
        if self.domains.cut:
            return refuse(
                Reason.NO_ENDPOINT,
                f"none of {job.service.name} can be reached",
                retry_after=_CUT_RETRY_SECONDS,
            )
        return refuse(Reason.NO_ENDPOINT, f"none of {job.service.name}")

    def _refuse(self, job: Job, reason: Reason, detail: str) -> Refusal:
        return refuse(reason, detail, ran=job.ran)

    def _log_placed(self, job: Job, pick: Pick) -> None:
        stats = self.known.of(pick.endpoint)
        log_event(
            "placed",
            request=job.call.request,
            program=job.call.program,
            endpoint=pick.endpoint.name,
            candidates=pick.candidates,
            busy=round(pick.busy, 1),
            load_age_s=round(loop_seconds() - stats.load_at, 3)
            if stats.load
            else None,
            pace=round(stats.pace, 2),
            expected_ms=round(pick.expected_seconds * 1000),
            cached_tokens=pick.cached_tokens,
            left_ms=round(job.left() * 1000),
            tries=len(job.tried),
        )

    def _log_retry(
        self, job: Job, endpoint: Endpoint, reason: str, why: str
    ) -> None:
        self.metrics.retried(reason)
        log_event(
            "retried",
            request=job.call.request,
            endpoint=endpoint.name,
            reason=reason,
            why=why[:200],
            ran=job.ran,
        )
