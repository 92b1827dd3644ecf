"""Places each call on an endpoint, lets it wait, or refuses it."""

import asyncio
import bisect
import itertools
import random
import time
from collections.abc import Callable

import msgspec

from rattanmill_core import (
    ConfigDocument,
    Metrics,
    Reason,
    Refusal,
    WorkClass,
    refuse,
)
from rattanmill_policy.admission import (
    Admission,
    Permits,
    Rate,
    Verdict,
    next_limit,
)
from rattanmill_policy.candidates import Candidates
from rattanmill_policy.fairness import WorkspaceShares
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.placement import Call, Estimate, cache_price, estimate
from rattanmill_policy.prefixes import Holding, PrefixMap, home_prefix
from rattanmill_policy.queueing import (
    ProgramUses,
    engine_priority,
    virtual_deadline,
)
from rattanmill_policy.retries import (
    RetryBudget,
    is_worth_retrying,
    pause_seconds,
)
from rattanmill_policy.speeds import EndpointStats, LoadReport, Pace, pace
from rattanmill_policy.table import EndpointState, EndpointTable
from rattanmill_policy.work import Placement, Work

_LOOK_SECONDS = 0.25
_LOOK_AHEAD = 8
_HOMES = 2
_FIRST_OUTPUT = 64.0
_LEAST_RUN = 0.01
_LEAST_TIMEOUT = 2.0
_MOST_TIMEOUT = 60.0
_TIMEOUT_FACTOR = 4.0
_MOST_AVOID_SECONDS = 15.0
_FAILED = (Outcome.BROKEN, Outcome.TIMED_OUT)
_NOT_RUN = (Outcome.NOT_CONNECTED, Outcome.DRAINING)


class Rules(msgspec.Struct, frozen=True):
    """Which rules are in force; all, but for measuring what each is worth.

    Attributes:
        speeds: Speeds are learned; else all endpoints count as equal.
        prefixes: Cached prefixes count.
        reports: Load reports count.
        order: Calls wait by deadline; else in the order they came.
        admission: What cannot meet its target is refused.
        shares: Workspaces over their share go later.
        budget: Retries have a budget.
    """

    speeds: bool = True
    prefixes: bool = True
    reports: bool = True
    order: bool = True
    admission: bool = True
    shares: bool = True
    budget: bool = True


class Waiter(msgspec.Struct):
    """A call that waits for a place.

    Attributes:
        deadline: Virtual deadline; the least goes first.
        work: The call.
        place: Gets the place.
    """

    deadline: float
    work: Work
    place: asyncio.Future


class Group:
    """What is served by the same endpoints.

    Attributes:
        waiting: Waiting calls, first to go first.
        finished: Rate of calls that end.
        permits: Programs that may begin.
    """

    def __init__(self) -> None:
        self.waiting: list[Waiter] = []
        self.finished = Rate()
        self.permits = Permits()


class _Choice(msgspec.Struct):
    """The best endpoint for a call now."""

    state: EndpointState
    stats: EndpointStats
    estimate: Estimate
    holding: Holding | None


class Scheduler:
    """All placement decisions of one instance.

    Args:
        table: Endpoints known.
        config: Returns the operators' configuration in force; asked at each
            decision, so that a new target counts from the next call on.
        metrics: Counts decisions, if given.
        rules: Rules in force.
        seed: Fixes what is random.

    Attributes:
        listeners: Called with each placement that has ended.
        guards: Asked before each placement; the first refusal stands.
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
        self.config = config
        self.metrics = metrics
        self.rules = rules or Rules()
        self.rng = random.Random(seed)
        self.candidates = Candidates(table, self.rng)
        self.admission = Admission(self.rng)
        self.prefixes = PrefixMap()
        self.programs = ProgramUses()
        self.shares = WorkspaceShares()
        self.budget = RetryBudget()
        self.groups: dict[str, Group] = {}
        self.listeners: list[Callable[[Placement], None]] = []
        self.guards: list[Callable[[Work], Refusal | None]] = []
        self.numbers = itertools.count()

    async def place(self, work: Work) -> Placement | Refusal:
        """Returns a place for the call, perhaps after waiting for one."""
        now = asyncio.get_running_loop().time()
        for guard in self.guards:
            if refusal := guard(work):
                return refusal
        if work.began:
            await asyncio.sleep(pause_seconds(len(work.tried), self.rng))
        else:
            self._begin(work, now)
        refusal = self._unknown(work) or self._check(work)
        if refusal:
            return refusal
        return self._place_now(work) or await self._wait(work)

    def may_retry(self, work: Work, outcome: Outcome) -> bool:
        """Whether one more attempt is worth it and in the retry budget."""
        now = asyncio.get_running_loop().time()
        if not is_worth_retrying(work, outcome, now):
            return False
        if outcome in _NOT_RUN:
            # It cost the endpoint nothing, so trying elsewhere adds no load;
            # a whole domain may be out of reach while its list shows it live.
            return True
        if self.rules.budget and not self.budget.take(self._name(work)):
            self._count("rattanmill_retries_denied", work)
            return False
        return True

    def take_report(self, name: str, report: LoadReport) -> None:
        """Takes an endpoint's load report."""
        state = self.table.states.get(name)
        if state and self.rules.reports:
            now = asyncio.get_running_loop().time()
            stats = self.candidates.stats_of(state)
            stats.take_report(now, report, state.in_flight)

    def finished(self, placement: Placement) -> None:
        """Learns from an attempt that ended."""
        now = asyncio.get_running_loop().time()
        work = placement.work
        stats = self.candidates.stats_of(placement.state)
        stats.started.pop(id(placement), None)
        self.table.learn(placement.state, placement.outcome)
        self._group(work).finished.note(now)
        use = self.programs.of(work, now)
        use.last_end = now
        use.attained += placement.seconds
        if placement.outcome is Outcome.ANSWERED:
            self._learn(placement, stats, now)
        elif placement.outcome is not Outcome.ABANDONED:
            self._learn_failure(placement, stats)
        for listener in self.listeners:
            listener(placement)
        self._serve_waiting(self._group(work))

    def _begin(self, work: Work, now: float) -> None:
        """Notes the first try of a call."""
        work.began = now
        name = self._name(work)
        use = self.programs.of(work, now)
        self.budget.earn(name)
        if not work.model:
            return
        shape = self.admission.of(name).shape
        if use.calls and use.last_end and work.program == use.root:
            shape.learn("pause", max(0.0, now - use.last_end))

    def _name(self, work: Work) -> str:
        document = self.config()
        known = work.klass in document.classes
        return work.klass if known else document.default_class

    def _class(self, work: Work) -> WorkClass:
        return self.config().classes[self._name(work)]

    def _group(self, work: Work) -> Group:
        return self.groups.setdefault(work.group, Group())

    def _unknown(self, work: Work) -> Refusal | None:
        if self.candidates.of(work):
            return None
        if work.model and not self.table.knows_model(work.model):
            detail = f"No endpoint serves '{work.model}'."
            return refuse(Reason.UNKNOWN_MODEL, detail)
        if not work.model and not self.table.knows_service(work.service):
            detail = f"No endpoint serves '{work.service}'."
            return refuse(Reason.UNKNOWN_SERVICE, detail)
        detail = f"No endpoint for '{work.group}' takes work now."
        return refuse(Reason.NO_ENDPOINT, detail)

    def _check(self, work: Work) -> Refusal | None:
        """Refuses at once what cannot meet its target or its deadline."""
        if not self.rules.admission or not work.model:
            return None
        now = asyncio.get_running_loop().time()
        delay = self._delay(work, now)
        if work.is_new and not work.tried:
            verdict = self.admission.check_new(
                self._name(work),
                self._class(work),
                self._group(work).permits,
                now - self.programs.of(work, now).began,
                delay,
                self._excess(work, now),
                self._group(work).finished.per_second(now),
                now,
            )
        else:
            verdict = self.admission.check_deadline(delay, work.left(now))
        return None if verdict.admitted else self._overloaded(work, verdict)

    def _overloaded(self, work: Work, verdict: Verdict) -> Refusal:
        self._count("rattanmill_not_admitted", work, cause=verdict.cause)
        detail = f"'{work.group}' is too busy to meet the target in time."
        return refuse(
            Reason.OVERLOADED, detail, retry_after=round(verdict.retry_after, 2)
        )

    def _delay(self, work: Work, now: float) -> float:
        """Returns the time a call would wait, here and at the endpoint."""
        group = self._group(work)
        choice = self._choose(work, now)
        there = choice.estimate.wait if choice else 0.0
        if not group.waiting:
            return there
        rate = max(group.finished.per_second(now), 0.1)
        return there + len(group.waiting) / rate

    def _excess(self, work: Work, now: float) -> float:
        if not self.rules.shares:
            return 0.0
        return self.shares.excess(work.workspace, now)

    def _choose(self, work: Work, now: float) -> _Choice | None:
        """Returns where the call should finish first, open or full."""
        held = self._held(work)
        states = self.candidates.pick(work, held)
        if not states:
            return None
        klass = self._class(work)
        use = self.programs.of(work, now)
        shape = self.admission.of(self._name(work)).shape
        best = max((h.tokens for h in held.values()), default=0)
        output = min(shape.output or _FIRST_OUTPUT, work.output_tokens or 1)
        call = Call(
            work.prompt_tokens,
            output,
            best,
            cache_price(klass, now - use.began),
            bool(work.model),
        )
        choices = [self._rate(work, call, state, held, now) for state in states]
        return min(choices, key=lambda choice: choice.estimate.cost)

    def _held(self, work: Work) -> dict[str, Holding]:
        if not self.rules.prefixes or not work.model:
            return {}
        held = self.prefixes.find(work)
        home = home_prefix(work)
        if home is None or (held and work.turn > 1):
            return held
        digest, tokens = home
        guess = int(tokens * self.prefixes.guess)
        for name in self.candidates.homes(work.group, digest, _HOMES):
            if name not in held and guess:
                held[name] = Holding(guess, 0.0)
            guess //= 2
        return held

    def _rate(
        self,
        work: Work,
        call: Call,
        state: EndpointState,
        held: dict[str, Holding],
        now: float,
    ) -> _Choice:
        stats = self.candidates.stats_of(state)
        holding = held.get(state.endpoint.name)
        cached = holding.tokens if holding else 0
        speed = self._pace(work, stats, now)
        found = estimate(stats, speed, state.in_flight, call, cached, now)
        return _Choice(state, stats, found, holding)

    def _pace(self, work: Work, stats: EndpointStats, now: float) -> Pace:
        fleet = self.candidates.fleet(work.group)
        own = stats.speed if self.rules.speeds else fleet
        return pace(own, fleet, now)

    def _place_now(self, work: Work) -> Placement | None:
        """Returns a place if the best endpoint has one for this call."""
        now = asyncio.get_running_loop().time()
        choice = self._choose(work, now)
        if choice is None:
            return None
        full = choice.state.in_flight >= choice.stats.limit
        if work.model and self.rules.admission and full:
            return None
        return self._take(work, choice, now)

    def _take(self, work: Work, choice: _Choice, now: float) -> Placement:
        klass = self._class(work)
        use = self.programs.of(work, now)
        placement = Placement(work, choice.state, self.finished)
        expected = choice.estimate.seconds
        placement.expected_seconds = expected
        slack = max(0.0, klass.target_seconds - (now - use.began))
        patience = max(_TIMEOUT_FACTOR * expected, slack / 2, _LEAST_TIMEOUT)
        placement.timeout_seconds = min(patience, _MOST_TIMEOUT)
        if choice.holding:
            placement.cached_expected = choice.holding.tokens
            placement.cached_since = choice.holding.since
        if self.rules.order:
            deadline = self._deadline(work, now)
            placement.priority = engine_priority(deadline, now, time.time())
        name = choice.state.endpoint.name
        choice.stats.started[id(placement)] = (now, expected)
        choice.stats.used = now
        if work.model:
            self.prefixes.sent(work, name, now)
        self.shares.charge(work.workspace, choice.estimate.run, now)
        if not work.tried:
            use.calls += 1
            if work.model:
                shape = self.admission.of(self._name(work)).shape
                shape.note_call(use.calls, now)
        self._count("rattanmill_placements", work, by=_by(choice))
        return placement

    def _deadline(self, work: Work, now: float) -> float:
        use = self.programs.of(work, now)
        return virtual_deadline(
            now,
            max(0.0, now - use.began),
            use.attained,
            self._class(work).target_seconds,
            work.is_new,
            self._excess(work, now),
        )

    def _backlog(self, work: Work, group: Group) -> float:
        """Returns seconds of service that the workspace has waiting.

        What a workspace has had tells nothing of a flood that has just come
        in. Each call of the flood goes behind the service of those before
        it, as if the workspace had an endpoint of its own.
        """
        if not self.rules.shares:
            return 0.0
        run = self.admission.of(self._name(work)).shape.run
        ahead = sum(w.work.workspace == work.workspace for w in group.waiting)
        return ahead * max(run, _LEAST_RUN)

    async def _wait(self, work: Work) -> Placement | Refusal:
        """Waits until the call has a place or its deadline is over."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        group = self._group(work)
        deadline = now
        if self.rules.order:
            deadline = self._deadline(work, now) + self._backlog(work, group)
        waiter = Waiter(deadline, work, loop.create_future())
        self._count("rattanmill_queued", work)
        bisect.insort(group.waiting, waiter, key=lambda w: w.deadline)
        try:
            while not waiter.place.done():
                await asyncio.wait([waiter.place], timeout=_LOOK_SECONDS)
                self._serve_waiting(group)
                refusal = self._past_waiting(waiter)
                if refusal:
                    return refusal
        except asyncio.CancelledError:
            if waiter.place.done():
                waiter.place.result().release()
            raise
        finally:
            if waiter in group.waiting:
                group.waiting.remove(waiter)
            self._observe_wait(work, loop.time() - now)
        return waiter.place.result()

    def _past_waiting(self, waiter: Waiter) -> Refusal | None:
        now = asyncio.get_running_loop().time()
        if waiter.place.done():
            return None
        left = waiter.work.left(now)
        if left <= 0:
            return self._overloaded(
                waiter.work, self.admission.check_deadline(1.0, left)
            )
        return self._unknown(waiter.work)

    def _serve_waiting(self, group: Group) -> None:
        """Gives free places to those who wait, first to go first."""
        for waiter in group.waiting[:_LOOK_AHEAD]:
            placement = self._place_now(waiter.work)
            if placement:
                group.waiting.remove(waiter)
                waiter.place.set_result(placement)

    def _learn(
        self, placement: Placement, stats: EndpointStats, now: float
    ) -> None:
        work = placement.work
        stats.failures = 0
        fleet = self.candidates.fleet(work.group)
        if not work.model:
            stats.speed.learn_call(now, placement.seconds)
            fleet.learn_call(now, placement.seconds)
            return
        uncached = max(0, placement.prompt_tokens - placement.cached_tokens)
        output = placement.output_tokens
        for speed in (stats.speed, fleet):
            speed.learn_chat(
                now,
                placement.first_token_seconds,
                placement.seconds,
                uncached,
                output,
            )
        speed = self._pace(work, stats, now)
        run = uncached * speed.prefill + output * speed.decode
        klass = self._class(work)
        state = self.admission.of(self._name(work))
        state.shape.learn("run", run)
        state.shape.learn("output", float(output))
        late = now - self.programs.of(work, now).began > klass.target_seconds
        delay = max(0.0, now - work.began - run)
        state.note_call(delay, late, klass, now)
        least = uncached * speed.prefill + output * (
            stats.speed.decode_least or speed.decode
        )
        in_flight = placement.state.in_flight + 1
        stats.limit = next_limit(
            stats.limit, in_flight, placement.seconds, least
        )
        self.prefixes.answered(
            placement.state.endpoint.name,
            placement.cached_expected,
            placement.cached_since,
            placement.cached_tokens,
        )

    def _learn_failure(
        self, placement: Placement, stats: EndpointStats
    ) -> None:
        name = placement.state.endpoint.name
        if placement.outcome in _NOT_RUN or (
            placement.outcome in _FAILED and stats.failures
        ):
            # An endpoint that is down is found down by each call that tries
            # it; doubling the time between tries keeps these few.
            seconds = min(2.0**stats.failures, _MOST_AVOID_SECONDS)
            self.table.avoid(name, seconds)
        stats.failures = min(stats.failures + 1, 8)
        if placement.outcome is Outcome.NOT_CONNECTED:
            self.prefixes.forget(name)

    def _count(self, name: str, work: Work, **labels: str) -> None:
        if self.metrics:
            self.metrics.count(name, klass=self._name(work), **labels)

    def _observe_wait(self, work: Work, seconds: float) -> None:
        if self.metrics:
            name = "rattanmill_queue_seconds"
            self.metrics.observe(name, seconds, klass=self._name(work))


def _by(choice: _Choice) -> str:
    """Returns what made an endpoint the best, for the counters."""
    if choice.holding is None:
        return "speed"
    return "cache" if choice.holding.since else "home"
