"""Places each call on an endpoint, lets it wait, or refuses it."""

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
from rattanmill_policy.admission import Verdict
from rattanmill_policy.choosing import Choice, choose
from rattanmill_policy.knowledge import Group, Knowledge, Rules
from rattanmill_policy.learning import learn
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.queueing import (
    Waiter,
    engine_priority,
    virtual_deadline,
)
from rattanmill_policy.retries import is_worth_retrying, pause_seconds
from rattanmill_policy.speeds import LoadReport
from rattanmill_policy.table import EndpointTable
from rattanmill_policy.work import Placement, Work

_LOOK_SECONDS = 0.25
_LOOK_AHEAD = 8
_LEAST_RUN = 0.01
_LEAST_RATE = 0.1
_LEAST_TIMEOUT = 2.0
_MOST_TIMEOUT = 60.0
_TIMEOUT_FACTOR = 4.0
_TIMEOUT_SHARE = 0.5
_NOT_RUN = (Outcome.NOT_CONNECTED, Outcome.DRAINING)


class Scheduler:
    """All placement decisions of one instance.

    Args:
        table: Endpoints known.
        config: Returns the operators' configuration in force; asked at each
            decision, so that a new target counts from the next call on.
        metrics: Counts decisions, if given.
        rules: Rules in force.
        seed: Fixes what is random.
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
        self.known = Knowledge(table, config, self.rules, self.rng)

    async def place(self, work: Work) -> Placement | Refusal:
        """Returns a place for the call, perhaps after waiting for one."""
        if work.began:
            await asyncio.sleep(pause_seconds(len(work.tried), self.rng))
        else:
            self._begin(work)
        if refusal := self._unserved(work):
            return refusal
        choice = choose(self.known, work, loop_seconds())
        if refusal := self._check(work, choice):
            return refusal
        return self._take_free(work, choice) or await self._wait(work)

    def may_retry(self, work: Work, outcome: Outcome) -> bool:
        """Whether one more attempt is worth it and in the retry budget."""
        if outcome not in _NOT_RUN:
            work.runs += 1
        if not is_worth_retrying(work, outcome, loop_seconds()):
            return False
        if outcome in _NOT_RUN:
            # It cost the endpoint nothing, so trying elsewhere adds no load;
            # a whole domain may be out of reach while its list shows it live.
            return True
        name = self.known.class_name(work)
        if self.rules.budget and not self.known.budget.take(name):
            self._count("rattanmill_retries_denied", work)
            return False
        return True

    def take_report(self, name: str, report: LoadReport) -> None:
        """Takes an endpoint's load report."""
        state = self.table.states.get(name)
        if state and self.rules.reports:
            stats = self.known.candidates.stats_of(state)
            stats.take_report(loop_seconds(), report, state.in_flight)

    def finished(self, placement: Placement) -> None:
        """Learns from an attempt that ended and serves who waits."""
        learn(self.known, placement, loop_seconds())
        self._serve_waiting(self.known.group_of(placement.work))

    def _begin(self, work: Work) -> None:
        """Notes the first try of a call."""
        now = work.began = loop_seconds()
        work.deadline = now + work.seconds_left
        name = self.known.class_name(work)
        use = self.known.use_of(work, now)
        self.known.budget.earn(name)
        if work.model and use.last_end and work.program == use.root:
            shape = self.known.admission.of(name).shape
            shape.learn("pause", max(0.0, now - use.last_end))

    def _unserved(self, work: Work) -> Refusal | None:
        """Refuses what no endpoint serves, or serves now."""
        if self.known.candidates.of(work):
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

    def _check(self, work: Work, choice: Choice | None) -> Refusal | None:
        """Refuses at once what cannot meet its target or its deadline."""
        if not self.rules.admission or not work.model:
            return None
        known, now = self.known, loop_seconds()
        group = known.group_of(work)
        rate = max(group.finished.per_second(now), _LEAST_RATE)
        there = choice.estimate.wait if choice else 0.0
        delay = there + len(group.waiting) / rate
        if work.is_new and not work.tried:
            verdict = known.admission.check_new(
                known.class_name(work),
                known.class_of(work),
                group.permits,
                age=now - known.use_of(work, now).began,
                delay=delay,
                excess=known.excess(work, now),
                ending=group.finished.per_second(now),
                now=now,
            )
        else:
            verdict = known.admission.check_deadline(delay, work.left(now))
        return None if verdict.admitted else self._overloaded(work, verdict)

    def _overloaded(self, work: Work, verdict: Verdict) -> Refusal:
        self._count("rattanmill_not_admitted", work, cause=verdict.cause)
        detail = f"'{work.group}' is too busy to meet the target in time."
        back = round(verdict.retry_after, 2)
        return refuse(Reason.OVERLOADED, detail, retry_after=back)

    def _take_free(self, work: Work, choice: Choice | None) -> Placement | None:
        """Returns a place at the chosen endpoint if it has a free one."""
        if choice is None:
            return None
        full = choice.state.in_flight >= choice.stats.limit
        if work.model and self.rules.admission and full:
            return None
        return self._take(work, choice, loop_seconds())

    def _take(self, work: Work, choice: Choice, now: float) -> Placement:
        placement = Placement(work, choice.state, self.finished)
        placement.expected_seconds = choice.estimate.seconds
        placement.timeout_seconds = self._patience(work, choice)
        if choice.holding:
            placement.cached_expected = choice.holding.tokens
            placement.cached_since = choice.holding.since
        if self.rules.order:
            deadline = self._deadline(work, now)
            placement.priority = engine_priority(deadline, now, time.time())
        choice.stats.started[id(placement)] = (now, choice.estimate.seconds)
        choice.stats.used = now
        self.known.shares.charge(work.workspace, choice.estimate.run, now)
        if work.model:
            self._note_sent(work, choice, now)
        self._count("rattanmill_placements", work, by=choice.by)
        return placement

    def _note_sent(self, work: Work, choice: Choice, now: float) -> None:
        known = self.known
        known.prefixes.sent(work, choice.state.endpoint.name, now)
        if not work.tried:
            use = known.use_of(work, now)
            use.calls += 1
            shape = known.admission.of(known.class_name(work)).shape
            shape.note_call(use.calls, now)

    def _patience(self, work: Work, choice: Choice) -> float:
        """Returns the longest silence to put up with, in seconds.

        It doesn't shrink with the time a program has left: late programs wait
        longest in engines' queues, and giving each of them up to begin again
        elsewhere would make an overload worse.
        """
        target = self.known.class_of(work).target_seconds
        expected = _TIMEOUT_FACTOR * choice.estimate.seconds
        patience = max(expected, _TIMEOUT_SHARE * target, _LEAST_TIMEOUT)
        return min(patience, _MOST_TIMEOUT)

    def _deadline(self, work: Work, now: float) -> float:
        use = self.known.use_of(work, now)
        return virtual_deadline(
            now,
            max(0.0, now - use.began),
            use.attained,
            self.known.class_of(work).target_seconds,
            work.is_new,
            self.known.excess(work, now),
        )

    def _backlog(self, work: Work, group: Group) -> float:
        """Returns seconds of service that the workspace has waiting.

        What a workspace has had tells nothing of a flood that has just come
        in. Each call of the flood goes behind the service of those before
        it, as if the workspace had an endpoint of its own.
        """
        if not self.rules.shares:
            return 0.0
        name = self.known.class_name(work)
        run = max(self.known.admission.of(name).shape.run, _LEAST_RUN)
        return run * sum(
            waiter.work.workspace == work.workspace for waiter in group.waiting
        )

    async def _wait(self, work: Work) -> Placement | Refusal:
        """Waits until the call has a place or its deadline is over."""
        began = loop_seconds()
        group = self.known.group_of(work)
        deadline = began
        if self.rules.order:
            deadline = self._deadline(work, began) + self._backlog(work, group)
        waiter = Waiter(
            deadline, work, asyncio.get_running_loop().create_future()
        )
        bisect.insort(group.waiting, waiter, key=lambda w: w.deadline)
        self._count("rattanmill_queued", work)
        try:
            return await self._wait_for_place(waiter, group)
        except asyncio.CancelledError:
            if waiter.place.done():
                waiter.place.result().release()
            raise
        finally:
            if waiter in group.waiting:
                group.waiting.remove(waiter)
            self._observe_wait(work, loop_seconds() - began)

    async def _wait_for_place(
        self, waiter: Waiter, group: Group
    ) -> Placement | Refusal:
        while not waiter.place.done():
            # Places come free without a call that ends, too: an endpoint
            # comes back, or a limit grows.
            await asyncio.wait([waiter.place], timeout=_LOOK_SECONDS)
            # One looks for all: if each waiter did, a long queue would keep
            # the process busy with looking.
            if group.waiting[:1] == [waiter]:
                self._serve_waiting(group)
            if not waiter.place.done() and (refusal := self._past(waiter)):
                return refusal
        return waiter.place.result()

    def _past(self, waiter: Waiter) -> Refusal | None:
        """Refuses a call that has waited for too long or in vain."""
        left = waiter.work.left(loop_seconds())
        if left <= 0:
            verdict = self.known.admission.check_deadline(1.0, left)
            return self._overloaded(waiter.work, verdict)
        return self._unserved(waiter.work)

    def _serve_waiting(self, group: Group) -> None:
        """Gives free places to those who wait, first to go first."""
        for waiter in group.waiting[:_LOOK_AHEAD]:
            if waiter.place.cancelled():
                continue
            choice = choose(self.known, waiter.work, loop_seconds())
            if placement := self._take_free(waiter.work, choice):
                group.waiting.remove(waiter)
                waiter.place.set_result(placement)

    def _count(self, name: str, work: Work, **labels: str) -> None:
        if self.metrics:
            klass = self.known.class_name(work)
            self.metrics.count(name, klass=klass, **labels)

    def _observe_wait(self, work: Work, seconds: float) -> None:
        if self.metrics:
            name = "rattanmill_queue_seconds"
            klass = self.known.class_name(work)
            self.metrics.observe(name, seconds, klass=klass)
