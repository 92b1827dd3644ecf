"""Places each call on an endpoint, queues it or refuses it."""

import asyncio
import bisect
import random
import time
from collections.abc import Callable

from rattanmill_core import (
    ConfigDocument,
    Metrics,
    Reason,
    Refusal,
    loop_seconds,
    refuse,
)
from rattanmill_policy.admission import AdmissionDecision
from rattanmill_policy.choosing import Choice, choose
from rattanmill_policy.knowledge import EndpointGroup, Rules, SchedulerState
from rattanmill_policy.learning import record_attempt
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.queueing import (
    Waiter,
    engine_priority,
    virtual_deadline,
)
from rattanmill_policy.retries import backoff_seconds, should_retry
from rattanmill_policy.speeds import LoadReport
from rattanmill_policy.table import EndpointTable
from rattanmill_policy.work import Placement, Work

_RECHECK_SECONDS = 0.25
_LOOKAHEAD_CALLS = 8
_MIN_RUN_SECONDS = 0.01
_MIN_COMPLETIONS_PER_SECOND = 0.1
_MIN_TIMEOUT_SECONDS = 2.0
_MAX_TIMEOUT_SECONDS = 60.0
_TIMEOUT_FACTOR = 4.0
_TIMEOUT_TARGET_SHARE = 0.5
_NOT_RUN = (Outcome.NOT_CONNECTED, Outcome.DRAINING)


class Scheduler:
    """Makes all placement decisions of one instance.

    Args:
        table: Known endpoints.
        config: Returns the operators' configuration in force. It is read at
            each decision, so that a new target applies from the next call on.
        metrics: Counts decisions, if given.
        rules: Rules in force.
        seed: Seed of the random number generator.
    """

    def __init__(
        self,
        table: EndpointTable,
        config: Callable[[], ConfigDocument] = ConfigDocument,
        metrics: Metrics | None = None,
        rules: Rules | None = None,
        seed: int | None = None,
    ) -> None:
        self.table = table
        self.metrics = metrics
        self.rules = rules or Rules()
        self.rng = random.Random(seed)
        self.state = SchedulerState(table, config, self.rules, self.rng)

    async def place(self, work: Work) -> Placement | Refusal:
        """Returns a placement for the call, queueing it if necessary."""
        if work.started_at:
            await asyncio.sleep(backoff_seconds(len(work.tried), self.rng))
        else:
            self._record_first_try(work)
        if refusal := self._refuse_unserved(work):
            return refusal
        choice = choose(self.state, work, loop_seconds())
        if refusal := self._check_admission(work, choice):
            return refusal
        return self._place_if_free(work, choice) or await self._wait(work)

    def may_retry(self, work: Work, outcome: Outcome) -> bool:
        """Returns whether a retry is useful and within the retry budget."""
        if outcome not in _NOT_RUN:
            work.runs += 1
        if not should_retry(work, outcome, loop_seconds()):
            return False
        if outcome in _NOT_RUN:
            # The attempt cost the endpoint nothing, so trying another one adds
            # no load. A whole failure domain may be unreachable while the
            # endpoint list still shows its endpoints as live.
            return True
        name = self.state.class_name(work)
        if self.rules.budget and not self.state.retry_budget.try_withdraw(name):
            self._count("rattanmill_retries_denied", work)
            return False
        return True

    def record_load_report(self, name: str, report: LoadReport) -> None:
        """Records an endpoint's load report."""
        state = self.table.states.get(name)
        if state and self.rules.reports:
            stats = self.state.candidates.stats_of(state)
            stats.record_load_report(loop_seconds(), report, state.in_flight)

    def on_attempt_end(self, placement: Placement) -> None:
        """Learns from an attempt that ended, then places waiting calls."""
        record_attempt(self.state, placement, loop_seconds())
        self._serve_waiting(self.state.group_of(placement.work))

    def _record_first_try(self, work: Work) -> None:
        """Records the first try of a call."""
        now = work.started_at = loop_seconds()
        work.deadline = now + work.seconds_left
        name = self.state.class_name(work)
        usage = self.state.usage_of(work, now)
        self.state.retry_budget.deposit(name)
        if work.model and usage.answered_at and work.program == usage.root:
            profile = self.state.admission.class_state(name).profile
            profile.record_sample("pause", max(0.0, now - usage.answered_at))
            # A call that was refused or failed is sent again. That time is
            # no pause of the program; counted as one, refusals would leave
            # less time for delays and so cause further refusals.
            usage.answered_at = 0.0

    def _refuse_unserved(self, work: Work) -> Refusal | None:
        """Refuses a call that no endpoint serves, or that none serves now."""
        if self.state.candidates.names_for(work):
            return None
        if work.model and not self.table.knows_model(work.model):
            detail = f"No endpoint serves '{work.model}'."
            return refuse(Reason.UNKNOWN_MODEL, detail)
        if not work.model and not self.table.knows_service(work.service):
            detail = f"No endpoint serves '{work.service}'."
            return refuse(Reason.UNKNOWN_SERVICE, detail)
        if self.table.has_suspects(work.group):
            return None
        detail = f"No endpoint for '{work.group}' takes work now."
        return refuse(Reason.NO_ENDPOINT, detail)

    def _check_admission(
        self, work: Work, choice: Choice | None
    ) -> Refusal | None:
        """Refuses a call that cannot meet its target or its deadline."""
        if not self.rules.admission or not work.model:
            return None
        state, now = self.state, loop_seconds()
        group = state.group_of(work)
        rate = max(
            group.completions.per_second(now), _MIN_COMPLETIONS_PER_SECOND
        )
        endpoint_wait = choice.estimate.wait if choice else 0.0
        delay = endpoint_wait + len(group.waiting) / rate
        if work.is_new and not work.tried:
            decision = state.admission.check_new(
                state.class_name(work),
                state.class_of(work),
                group.permits,
                age=now - state.usage_of(work, now).started_at,
                delay=delay,
                excess=state.excess(work, now),
                completion_rate=group.completions.per_second(now),
                now=now,
            )
        else:
            decision = state.admission.check_deadline(
                delay, work.remaining_seconds(now)
            )
        return (
            None
            if decision.admitted
            else self._refuse_overloaded(work, decision)
        )

    def _refuse_overloaded(
        self, work: Work, decision: AdmissionDecision
    ) -> Refusal:
        self._count("rattanmill_not_admitted", work, cause=decision.cause)
        detail = f"'{work.group}' is too busy to meet the target in time."
        retry_after = round(decision.retry_after, 2)
        return refuse(Reason.OVERLOADED, detail, retry_after=retry_after)

    def _place_if_free(
        self, work: Work, choice: Choice | None
    ) -> Placement | None:
        """Returns a placement at the chosen endpoint if it has a free slot."""
        if choice is None:
            return None
        full = choice.state.in_flight >= choice.stats.limit
        if work.model and self.rules.admission and full:
            return None
        return self._make_placement(work, choice, loop_seconds())

    def _make_placement(
        self, work: Work, choice: Choice, now: float
    ) -> Placement:
        placement = Placement(work, choice.state, self.on_attempt_end)
        placement.expected_seconds = choice.estimate.seconds
        placement.timeout_seconds = self._attempt_timeout(work, choice)
        if choice.cached_prefix:
            placement.expected_cached_tokens = choice.cached_prefix.tokens
            placement.cache_last_used = choice.cached_prefix.last_used
        if self.rules.order:
            deadline = self._virtual_deadline(work, now)
            placement.priority = engine_priority(deadline, now, time.time())
        choice.stats.started[id(placement)] = (now, choice.estimate.seconds)
        choice.stats.used = now
        self.state.shares.charge(work.workspace, choice.estimate.run, now)
        if work.model:
            self._record_prompt(work, choice, now)
        self._count("rattanmill_placements", work, by=choice.reason)
        return placement

    def _record_prompt(self, work: Work, choice: Choice, now: float) -> None:
        state = self.state
        state.prefixes.record_prompt(work, choice.state.endpoint.name, now)
        if not work.tried:
            usage = state.usage_of(work, now)
            usage.calls += 1
            profile = state.admission.class_state(
                state.class_name(work)
            ).profile
            profile.record_call(usage.calls, now)

    def _attempt_timeout(self, work: Work, choice: Choice) -> float:
        """Returns the maximum idle time of an attempt, in seconds.

        It does not shrink with the time that a program has left. Late programs
        wait longest in the engines' queues; abandoning each of them and
        restarting it elsewhere would make an overload worse.
        """
        target = self.state.class_of(work).target_seconds
        expected = _TIMEOUT_FACTOR * choice.estimate.seconds
        timeout = max(
            expected, _TIMEOUT_TARGET_SHARE * target, _MIN_TIMEOUT_SECONDS
        )
        return min(timeout, _MAX_TIMEOUT_SECONDS)

    def _virtual_deadline(self, work: Work, now: float) -> float:
        usage = self.state.usage_of(work, now)
        return virtual_deadline(
            now,
            max(0.0, now - usage.started_at),
            usage.attained,
            self.state.class_of(work).target_seconds,
            work.is_new,
            self.state.excess(work, now),
        )

    def _workspace_backlog(self, work: Work, group: EndpointGroup) -> float:
        """Returns the seconds of service that the workspace has in the queue.

        The past usage of a workspace does not show a burst that has just
        arrived. Each call of the burst is ordered after the service of those
        before it, as if the workspace had one endpoint of its own.
        """
        if not self.rules.shares:
            return 0.0
        name = self.state.class_name(work)
        run = max(
            self.state.admission.class_state(name).profile.run, _MIN_RUN_SECONDS
        )
        return run * sum(
            waiter.work.workspace == work.workspace for waiter in group.waiting
        )

    async def _wait(self, work: Work) -> Placement | Refusal:
        """Waits until the call is placed or its deadline has passed."""
        started_at = loop_seconds()
        group = self.state.group_of(work)
        deadline = started_at
        if self.rules.order:
            deadline = self._virtual_deadline(
                work, started_at
            ) + self._workspace_backlog(work, group)
        waiter = Waiter(
            deadline, work, asyncio.get_running_loop().create_future()
        )
        bisect.insort(group.waiting, waiter, key=lambda w: w.deadline)
        self._count("rattanmill_queued", work)
        try:
            return await self._wait_for_place(waiter, group)
        except asyncio.CancelledError:
            if waiter.placement.done():
                waiter.placement.result().release()
            raise
        finally:
            if waiter in group.waiting:
                group.waiting.remove(waiter)
            self._observe_wait(work, loop_seconds() - started_at)

    async def _wait_for_place(
        self, waiter: Waiter, group: EndpointGroup
    ) -> Placement | Refusal:
        while not waiter.placement.done():
            # Slots can become free although no call ends: an endpoint reopens
            # or a limit grows.
            await asyncio.wait([waiter.placement], timeout=_RECHECK_SECONDS)
            # Only the first waiter checks for free slots. If each waiter did, a
            # long queue would keep the process busy with checking.
            if group.waiting[:1] == [waiter]:
                self._serve_waiting(group)
            if not waiter.placement.done() and (
                refusal := self._refuse_overdue(waiter)
            ):
                return refusal
        return waiter.placement.result()

    def _refuse_overdue(self, waiter: Waiter) -> Refusal | None:
        """Refuses a call past its deadline or no longer served."""
        remaining = waiter.work.remaining_seconds(loop_seconds())
        if remaining <= 0:
            decision = self.state.admission.check_deadline(1.0, remaining)
            return self._refuse_overloaded(waiter.work, decision)
        return self._refuse_unserved(waiter.work)

    def _serve_waiting(self, group: EndpointGroup) -> None:
        """Places waiting calls on free slots, in queue order."""
        for waiter in group.waiting[:_LOOKAHEAD_CALLS]:
            if waiter.placement.cancelled():
                continue
            choice = choose(self.state, waiter.work, loop_seconds())
            if placement := self._place_if_free(waiter.work, choice):
                group.waiting.remove(waiter)
                waiter.placement.set_result(placement)

    def _count(self, name: str, work: Work, **labels: str) -> None:
        if self.metrics:
            klass = self.state.class_name(work)
            self.metrics.count(name, klass=klass, **labels)

    def _observe_wait(self, work: Work, seconds: float) -> None:
        if self.metrics:
            name = "rattanmill_queue_seconds"
            klass = self.state.class_name(work)
            self.metrics.observe(name, seconds, klass=klass)
