"""Updates the scheduler state after an attempt."""

from rattanmill_policy.admission import next_limit
from rattanmill_policy.knowledge import SchedulerState
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.speeds import EndpointStats
from rattanmill_policy.work import Placement, Work


def record_attempt(
    scheduler_state: SchedulerState, placement: Placement, now: float
) -> None:
    """Updates the state after an attempt ended, whether it succeeded or not."""
    work = placement.work
    stats = scheduler_state.candidates.stats_of(placement.state)
    stats.started.pop(id(placement), None)
    scheduler_state.table.record_outcome(placement.state, placement.outcome)
    scheduler_state.group_of(work).completions.record(now)
    usage = scheduler_state.usage_of(work, now)
    usage.attained += placement.seconds
    if placement.outcome is Outcome.ANSWERED:
        usage.answered_at = now
        _record_answer(scheduler_state, placement, stats, now)
    elif placement.outcome is Outcome.NOT_CONNECTED:
        # The connection was refused: the process is gone, and its cache with
        # it.
        scheduler_state.prefixes.forget_endpoint(
            placement.state.endpoint.name, now
        )


def _record_answer(
    scheduler_state: SchedulerState,
    placement: Placement,
    stats: EndpointStats,
    now: float,
) -> None:
    work = placement.work
    fleet = scheduler_state.candidates.fleet(work.group)
    if not work.model:
        stats.speed.record_call(now, placement.seconds)
        fleet.record_call(now, placement.seconds)
        return
    uncached = max(0, placement.prompt_tokens - placement.cached_tokens)
    output = placement.output_tokens
    first, total = placement.first_token_seconds, placement.seconds
    for speed in (stats.speed, fleet):
        speed.record_chat(now, first, total, uncached, output)
    min_seconds = stats.speed.min_seconds(uncached, output)
    _update_profile(scheduler_state, work, min_seconds, output, now)
    in_flight = placement.state.in_flight + 1
    stats.limit = next_limit(stats.limit, in_flight, total, min_seconds)
    scheduler_state.prefixes.record_answer(
        placement.state.endpoint.name,
        placement.expected_cached_tokens,
        placement.cache_last_used,
        placement.cached_tokens,
    )


def _update_profile(
    scheduler_state: SchedulerState,
    work: Work,
    min_seconds: float,
    output: int,
    now: float,
) -> None:
    """Updates the profile of a class and the delay of its calls.

    All time beyond the minimum counts as delay. If the delay were measured
    against the usual time under load, it would seem to shrink as load grows,
    and programs would be admitted that cannot finish in time.
    """
    klass = scheduler_state.class_of(work)
    state = scheduler_state.admission.class_state(
        scheduler_state.class_name(work)
    )
    state.profile.record_sample("run", min_seconds)
    state.profile.record_sample("output", float(output))
    late = (
        now - scheduler_state.usage_of(work, now).started_at
        > klass.target_seconds
    )
    delay = max(0.0, now - work.started_at - min_seconds)
    state.record_call(delay, late, klass, now)
