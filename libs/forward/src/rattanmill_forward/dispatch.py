"""Dispatches calls to endpoints and retries on others where allowed."""

import asyncio
import contextlib
import enum
import random
from collections.abc import AsyncIterator

from rattanmill_core import (
    Metrics,
    Ran,
    Reason,
    Refusal,
    log_event,
    loop_seconds,
    refuse,
    warn_event,
)
from rattanmill_forward.calls import HttpCodec, ResponseHead
from rattanmill_forward.connection import BrokenError, ExcessError
from rattanmill_forward.crashes import CrashGuard
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import Endpoint, EndpointRegistry
from rattanmill_forward.exchange import (
    ConnectFailed,
    ConnectionPool,
    OutcomeUnknown,
)
from rattanmill_forward.jobs import Job, RunningCall
from rattanmill_forward.joining import NotContinuedError
from rattanmill_forward.placing import has_free_slot
from rattanmill_forward.priorities import (
    PriorityAssigner,
    program_seconds_left,
)
from rattanmill_forward.refusing import (
    QueueSample,
    earliest_start,
    has_recent_report,
    refuse_late,
    retry_seconds,
)
from rattanmill_forward.routes import RouteKind
from rattanmill_forward.selecting import EndpointSelector
from rattanmill_forward.stats import InFlightCall, PerformanceModel, Pick

# With less time left, a call would only waste its endpoint's time.
_MIN_SECONDS_LEFT = 0.005
# When all endpoints are full and none reports its load, a slot becomes free
# after about one call's duration.
_OVERLOAD_RETRY_SECONDS = 0.3
# A partition lasts for seconds; meanwhile callers reach front ends in other
# domains.
_UNREACHABLE_RETRY_SECONDS = 1.0
_MAX_TRIES = 6
# Reading the body of a rejection saves a new connection, which takes less time.
_MAX_DISCARD_SECONDS = 0.25
_MAX_DISCARDED_BYTES = 64 * 1024
# Shorter streams say little about the interval between events.
_MIN_TIMED_EVENTS = 3


class RetryReason(enum.StrEnum):
    """Why a call is sent again."""

    NOT_CONNECTED = "not_connected"
    REJECTED = "rejected"
    BROKEN = "broken"
    NOT_CONTINUED = "not_continued"


class Dispatcher:
    """Sends calls to endpoints.

    Args:
        registry: The registered endpoints.
        performance: Load and speed of the endpoints, as learned from calls.
        pool: Connections to the endpoints.
        guard: Refuses calls that crash endpoints.
        domains: Tracks which failure domains are unreachable.
        codec: Encodes and decodes HTTP heads for endpoints.
        metrics: Counters and timings.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        performance: PerformanceModel,
        pool: ConnectionPool,
        guard: CrashGuard,
        domains: DomainMonitor,
        codec: HttpCodec,
        metrics: Metrics,
    ) -> None:
        self.registry = registry
        self.performance = performance
        self.pool = pool
        self.guard = guard
        self.domains = domains
        self.codec = codec
        self.metrics = metrics
        self.selector = EndpointSelector(registry, performance, domains)
        self.priorities = PriorityAssigner()
        self.queues = QueueSample()
        self.rng = random.Random()

    @contextlib.asynccontextmanager
    async def open_response(
        self, job: Job
    ) -> AsyncIterator[RunningCall | Refusal]:
        """Yields the response of the first endpoint that gives one.

        The call is counted as in flight at the endpoint until the block ends.
        """
        for _ in range(_MAX_TRIES):
            decision = self._decide(job)
            if isinstance(decision, Refusal):
                yield decision
                return
            pick, priority = decision
            stats = self.performance.stats_of(pick.endpoint)
            with InFlightCall(
                stats, job.call.request_id, pick.uncached_tokens
            ) as in_flight:
                with self.queues.count_waiting(job.service, priority):
                    result = await self._send(job, pick, priority)
                if isinstance(result, RunningCall):
                    in_flight.first_byte_received()
                    self.priorities.record_served(
                        job.call,
                        job.service,
                        pick.estimate.run_seconds,
                        loop_seconds(),
                    )
                    with result.response:
                        yield result
                    return
            if isinstance(result, Refusal):
                yield result
                return
        yield self._refuse_no_endpoint(job)

    def _decide(self, job: Job) -> tuple[Pick, int | None] | Refusal:
        """Chooses endpoint and priority of an attempt, or refuses the call."""
        if job.seconds_left() < _MIN_SECONDS_LEFT:
            return self._refuse(
                job, Reason.DEADLINE, "deadline exceeded before dispatch"
            )
        quarantined = self.guard.refusal(job.fingerprint, job.ran)
        if quarantined:
            return quarantined
        pick = self.selector.pick(job)
        if pick is None:
            return self._refuse_no_endpoint(job)
        priority = self._priority(job, pick)
        refusal = self._refuse_late(job, pick, priority)
        if refusal and pick.is_sampled:
            # Endpoints that were not drawn may have free slots.
            pick = self.selector.pick_of_all(job)
            refusal = self._refuse_late(job, pick, priority)
        return refusal or (pick, priority)

    async def _send(
        self, job: Job, pick: Pick, priority: int | None
    ) -> RunningCall | Refusal | None:
        """Sends a call to an endpoint; returns None if it may be retried."""
        endpoint = pick.endpoint
        self._log_placed(job, pick, priority)
        self._count_placed_busy(job, pick)
        if priority is not None:
            self.metrics.count("rattanmill_priorities", level=str(priority))
        sent_at = loop_seconds()
        self.performance.record_prompt(endpoint, job.call.prompt_parts)
        try:
            async with asyncio.timeout_at(job.deadline):
                response = await self.pool.send(
                    endpoint,
                    job.call.method,
                    job.call.target,
                    self.codec.endpoint_headers(
                        job.call,
                        endpoint,
                        job.seconds_left(),
                        job.stream.position.last_id,
                        job.body_bytes,
                        priority,
                    ),
                    job.body,
                    job.call.request_id,
                    job.body_stream.chunks() if job.body_stream else None,
                    abort_when_unreachable=job.route.kind is RouteKind.STREAM
                    or job.route.is_retryable,
                )
        except TimeoutError:
            job.possible_runs.append(endpoint.name)
            return self._refuse(
                job, Reason.DEADLINE, f"{endpoint.name} did not respond in time"
            )
        match response:
            case ConnectFailed(why=why):
                self.performance.record_failure(endpoint, is_unreachable=True)
                if endpoint.name in job.possible_runs:
                    job.terminated.add(endpoint.name)
                return self._handle_not_run(
                    job, endpoint, RetryReason.NOT_CONNECTED, why
                )
            case OutcomeUnknown(why=why):
                return self._handle_broken(job, endpoint, why)
        running = RunningCall(
            endpoint,
            response,
            sent_at,
            pick.uncached_tokens,
            response.head.slowdown,
        )
        return await self._check_response(job, running)

    def _priority(self, job: Job, pick: Pick) -> int | None:
        """Returns the priority of an attempt, or None if it has none.

        Only engines that report a slowdown get one: they share their machines,
        and queues form while they are slow.
        """
        if job.service.name not in self.performance.services_with_slowdown:
            return None
        is_learned = self.performance.is_learned(job.timing_key)
        return self.priorities.priority(
            job.call,
            job.service,
            job.route.priority,
            job.has_begun,
            pick.estimate if is_learned else None,
            loop_seconds(),
        )

    def _refuse_late(
        self, job: Job, pick: Pick, priority: int | None
    ) -> Refusal | None:
        """Refuses a call that has not run and would start too late.

        Calls of plain services are sent: their measured durations contain the
        wait for a slot, so the expected start would be far too late.
        """
        if job.ran is not Ran.NO or job.route.kind is not RouteKind.STREAM:
            return None
        if not self.performance.is_learned(job.timing_key):
            return None
        now = loop_seconds()
        start = earliest_start(
            pick.compared,
            self.performance.stats,
            self.queues.share_ahead(job.service, priority),
            now,
        )
        has_begun = self.priorities.has_begun(job.call, job.has_begun)
        is_first = has_begun is False
        program_left = program_seconds_left(job.call, now) if is_first else None
        return refuse_late(start, job.seconds_left(), program_left, self.rng)

    def _overload_retry_seconds(self, job: Job) -> float:
        """Returns the Retry-After for a call that endpoints have rejected."""
        now = loop_seconds()
        stats = self.performance.stats
        # The last report of an endpoint that can't be reached may show free
        # slots.
        rejecting = [
            endpoint
            for endpoint in self.registry.by_service.get(job.service.name, ())
            if endpoint.name in job.excluded
            and has_recent_report(stats.get(endpoint.name), now)
        ]
        estimates = [
            self.performance.estimate(
                endpoint, job.call, job.timing_key, job.expected_events()
            )
            for endpoint in self.performance.not_avoided(rejecting)
        ]
        start = earliest_start(estimates, stats, 1.0, now)
        if start is None:
            return _OVERLOAD_RETRY_SECONDS
        return retry_seconds(start, job.seconds_left(), self.rng)

    async def _check_response(
        self, job: Job, running: RunningCall
    ) -> RunningCall | Refusal | None:
        """Checks whether a response comes from the intended endpoint."""
        head = running.response.head
        endpoint = running.endpoint
        self.domains.record_activity(endpoint.domain)
        self.record_undecodable(endpoint, head)
        if head.is_misdirected or head.not_run:
            if head.load:
                self.performance.record_response(endpoint, head.load)
            await self._discard_body(job, running)
            return self._handle_not_run(
                job, endpoint, RetryReason.REJECTED, f"status {head.status}"
            )
        if not head.is_signed or head.is_encoded:
            with running.response:
                return self._handle_broken(
                    job,
                    endpoint,
                    "response is unsigned or was encoded on the way",
                )
        self.performance.record_response(endpoint, head.load)
        return running

    async def _discard_body(self, job: Job, running: RunningCall) -> None:
        """Reads the body of a rejection, so that its connection is reused."""
        endpoint = running.endpoint
        with running.response, contextlib.suppress(BrokenError, TimeoutError):
            try:
                async with asyncio.timeout(_MAX_DISCARD_SECONDS):
                    await running.response.discard(_MAX_DISCARDED_BYTES)
            except ExcessError as error:
                self.pool.record_excess(endpoint, job.call.request_id, error)
                self.performance.record_failure(endpoint, is_unreachable=False)

    def record_undecodable(
        self, endpoint: Endpoint, head: ResponseHead
    ) -> None:
        """Counts headers that could not be decoded; logs the first of each.

        Without its load report, for example, an endpoint gets calls as if it
        were idle.
        """
        logged = self.performance.stats_of(endpoint).undecodable_headers
        for name in head.undecodable:
            self.metrics.count(
                "rattanmill_undecodable_headers", peer="endpoint", header=name
            )
            if name not in logged:
                logged.add(name)
                warn_event(
                    "header_undecodable",
                    endpoint=endpoint.name,
                    service=endpoint.service,
                    header=name,
                )

    def _handle_not_run(
        self, job: Job, endpoint: Endpoint, reason: RetryReason, why: str
    ) -> Refusal | None:
        job.excluded.add(endpoint.name)
        if not job.can_resend:
            return refuse(
                Reason.OVERLOADED,
                f"{endpoint.name} did not accept the request: {why}",
                ran=job.ran,
                retry_after=self._overload_retry_seconds(job),
            )
        self._log_retry(job, endpoint, reason, why)
        return None

    def _handle_broken(
        self, job: Job, endpoint: Endpoint, why: str
    ) -> Refusal | None:
        """Decides how to go on with a call that may have run."""
        if job.body_stream and job.body_stream.refusal:
            return job.body_stream.refusal
        self.record_broken(job, endpoint)
        if endpoint.domain in self.domains.unreachable:
            job.terminated.add(endpoint.name)
        if not job.route.resumable:
            job.excluded.add(endpoint.name)
        # A resumable stream resumes on the same endpoint if no other can take
        # it.
        can_retry = (
            job.can_resend
            and job.route.is_retryable
            and (
                job.can_resume if job.route.resumable else job.has_attempts_left
            )
        )
        if can_retry:
            self._log_retry(job, endpoint, RetryReason.BROKEN, why)
            return None
        return self._refuse(
            job, Reason.ENDPOINT_FAILED, f"{endpoint.name}: {why}"
        )

    def record_broken(self, job: Job, endpoint: Endpoint) -> None:
        """Records that an endpoint broke off a call, which may have run."""
        job.stream.interruptions += 1
        self.performance.record_failure(endpoint, is_unreachable=False)
        self.guard.report_broken(job.call, job.fingerprint, endpoint)
        job.possible_runs.append(endpoint.name)

    def handle_interruption(
        self, job: Job, running: RunningCall, error: Exception
    ) -> Refusal | None:
        """Decides how to go on after a response was cut off.

        Returns None if the call may be retried on the same or another endpoint.
        """
        endpoint = running.endpoint
        if isinstance(error, ExcessError):
            self.pool.record_excess(endpoint, job.call.request_id, error)
        if isinstance(error, TimeoutError):
            job.possible_runs.append(endpoint.name)
            return self._refuse(job, Reason.DEADLINE, "deadline exceeded")
        if isinstance(error, NotContinuedError):
            return self._handle_not_continued(job, endpoint, str(error))
        if not running.response.head.is_success:
            job.possible_runs.append(endpoint.name)
            return self._refuse(job, Reason.ANSWER_CUT, str(error))
        return self._handle_broken(job, endpoint, str(error))

    def _handle_not_continued(
        self, job: Job, endpoint: Endpoint, why: str
    ) -> Refusal | None:
        """Decides how to go on after an attempt that continues no stream.

        The endpoint did respond, so it is neither suspected nor has crashed.
        """
        job.possible_runs.append(endpoint.name)
        job.not_continued.add(endpoint.name)
        job.stream.interruptions += 1
        if not job.can_resume:
            return self._refuse(
                job, Reason.ENDPOINT_FAILED, f"{endpoint.name}: {why}"
            )
        self._log_retry(job, endpoint, RetryReason.NOT_CONTINUED, why)
        return None

    def record_completion(self, job: Job, running: RunningCall) -> None:
        """Records the end of a call."""
        self.guard.clear(job.fingerprint)
        if job.route.kind is RouteKind.STREAM:
            self._record_stream_duration(job, running)
            return
        if running.response.head.is_success:
            self.performance.record_call(
                running.endpoint,
                job.timing_key,
                (loop_seconds() - running.sent_at) / running.slowdown,
            )

    def record_event(self, job: Job, running: RunningCall) -> None:
        """Records an event of a stream."""
        now = loop_seconds()
        self.domains.record_activity(running.endpoint.domain)
        running.event_count += 1
        running.last_event_at = now
        if running.event_count == 1:
            running.first_event_at = now
            self.performance.record_first_event(
                running.endpoint,
                job.timing_key,
                (now - running.sent_at) / running.slowdown,
                running.uncached_tokens,
            )

    def _record_stream_duration(self, job: Job, running: RunningCall) -> None:
        """Records a stream's duration and mean interval between its events.

        Single intervals are not used: events that arrive together, as from an
        engine with many requests at a time, would make the endpoint look
        several times as fast as it is.
        """
        if not running.event_count:
            return
        seconds = running.last_event_at - running.first_event_at
        self.performance.record_stream(
            running.endpoint, job.timing_key, seconds
        )
        if running.event_count < _MIN_TIMED_EVENTS:
            return
        self.performance.record_event_interval(
            running.endpoint,
            job.timing_key,
            seconds / (running.event_count - 1) / running.slowdown,
        )

    def _refuse_no_endpoint(self, job: Job) -> Refusal:
        if job.possible_runs:
            return self._refuse(
                job,
                Reason.ENDPOINT_FAILED,
                "no other endpoint may run the request",
            )
        if job.excluded:
            return refuse(
                Reason.OVERLOADED,
                "no endpoint accepted the request",
                retry_after=self._overload_retry_seconds(job),
            )
        if self.domains.unreachable:
            return refuse(
                Reason.NO_ENDPOINT,
                f"no endpoint of service {job.service.name} is reachable",
                retry_after=_UNREACHABLE_RETRY_SECONDS,
            )
        return refuse(
            Reason.NO_ENDPOINT, f"no endpoint of service {job.service.name}"
        )

    def _refuse(self, job: Job, reason: Reason, detail: str) -> Refusal:
        return refuse(reason, detail, ran=job.ran)

    def _log_placed(self, job: Job, pick: Pick, priority: int | None) -> None:
        stats = self.performance.stats_of(pick.endpoint)
        log_event(
            "placed",
            request=job.call.request_id,
            program=job.call.program,
            endpoint=pick.endpoint.name,
            candidates=pick.candidates,
            busy=round(pick.active_requests, 1),
            load_age_s=round(loop_seconds() - stats.load_at, 3)
            if stats.load
            else None,
            pace=round(stats.duration_ratio, 2),
            slowdown=stats.load.slowdown if stats.load else None,
            expected_ms=round(pick.expected_seconds * 1000),
            cached_tokens=pick.cached_tokens,
            left_ms=round(job.seconds_left() * 1000),
            tries=len(job.excluded),
            priority=priority,
        )

    def _count_placed_busy(self, job: Job, pick: Pick) -> None:
        if (
            has_free_slot(pick.estimate)
            or job.service.name not in self.performance.services_with_slowdown
        ):
            return
        self.metrics.count(
            "rattanmill_placed_busy",
            another="free"
            if any(map(has_free_slot, pick.compared))
            else "busy",
        )

    def _log_retry(
        self, job: Job, endpoint: Endpoint, reason: RetryReason, why: str
    ) -> None:
        self.metrics.retried(reason)
        log_event(
            "retried",
            request=job.call.request_id,
            endpoint=endpoint.name,
            reason=reason,
            why=why[:200],
            ran=job.ran,
        )
