"""What an attempt that ended teaches."""

from rattanmill_policy.admission import next_limit
from rattanmill_policy.knowledge import Knowledge
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.speeds import EndpointStats
from rattanmill_policy.work import Placement, Work


def learn(known: Knowledge, placement: Placement, now: float) -> None:
    """Learns from an attempt that ended, well or not."""
    work = placement.work
    stats = known.candidates.stats_of(placement.state)
    stats.started.pop(id(placement), None)
    known.table.learn(placement.state, placement.outcome)
    known.group_of(work).finished.note(now)
    use = known.use_of(work, now)
    use.last_end = now
    use.attained += placement.seconds
    if placement.outcome is Outcome.ANSWERED:
        _learn_answer(known, placement, stats, now)
    elif placement.outcome is Outcome.NOT_CONNECTED:
        # Nothing listens there: the process has gone, and with it its cache.
        known.prefixes.forget(placement.state.endpoint.name, now)


def _learn_answer(
    known: Knowledge, placement: Placement, stats: EndpointStats, now: float
) -> None:
    work = placement.work
    fleet = known.candidates.fleet(work.group)
    if not work.model:
        stats.speed.learn_call(now, placement.seconds)
        fleet.learn_call(now, placement.seconds)
        return
    uncached = max(0, placement.prompt_tokens - placement.cached_tokens)
    output = placement.output_tokens
    first, total = placement.first_token_seconds, placement.seconds
    for speed in (stats.speed, fleet):
        speed.learn_chat(now, first, total, uncached, output)
    least = stats.speed.least_seconds(uncached, output)
    _learn_shape(known, work, least, output, now)
    in_flight = placement.state.in_flight + 1
    stats.limit = next_limit(stats.limit, in_flight, total, least)
    known.prefixes.answered(
        placement.state.endpoint.name,
        placement.cached_expected,
        placement.cached_since,
        placement.cached_tokens,
    )


def _learn_shape(
    known: Knowledge, work: Work, least: float, output: int, now: float
) -> None:
    """Learns what programs of a class are like, and how long calls wait.

    All beyond the least time counts as waiting. Measured against the usual
    time under load, calls would seem to wait less the busier it is, and
    programs would be admitted that cannot be in time.
    """
    klass = known.class_of(work)
    state = known.admission.of(known.class_name(work))
    state.shape.learn("run", least)
    state.shape.learn("output", float(output))
    late = now - known.use_of(work, now).began > klass.target_seconds
    delay = max(0.0, now - work.began - least)
    state.note_call(delay, late, klass, now)
