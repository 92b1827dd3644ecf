"""Chooses the endpoint at which a call is expected to finish first."""

import msgspec

from rattanmill_policy.knowledge import SchedulerState
from rattanmill_policy.placement import (
    Estimate,
    PlacementRequest,
    cache_price,
    estimate,
)
from rattanmill_policy.prefixes import CachedPrefix, home_prefix
from rattanmill_policy.speeds import EndpointStats
from rattanmill_policy.table import EndpointState
from rattanmill_policy.work import Work

_HOME_COUNT = 2
_DEFAULT_OUTPUT_TOKENS = 64.0


class Choice(msgspec.Struct):
    """An endpoint and the estimated cost of a call there.

    Attributes:
        state: State of the endpoint.
        stats: Statistics of the endpoint.
        estimate: Estimated cost of the call.
        cached_prefix: Prefix of the prompt that the endpoint should have
            cached, or None.
    """

    state: EndpointState
    stats: EndpointStats
    estimate: Estimate
    cached_prefix: CachedPrefix | None

    @property
    def reason(self) -> str:
        """Value of the ``by`` label of the placement counter."""
        if self.cached_prefix is None:
            return "speed"
        return "cache" if self.cached_prefix.last_used else "home"


def choose(
    scheduler_state: SchedulerState, work: Work, now: float
) -> Choice | None:
    """Returns the best endpoint now, whether or not it has a free slot.

    Returns None if no endpoint accepts work.
    """
    cached = cached_prefixes(scheduler_state, work)
    states = scheduler_state.candidates.select(work, cached)
    if not states:
        return None
    request = _placement_request(scheduler_state, work, cached, now)
    choices = [
        _evaluate(
            scheduler_state,
            work,
            request,
            state,
            cached.get(state.endpoint.name),
            now,
        )
        for state in states
    ]
    return min(choices, key=lambda choice: choice.estimate.cost)


def cached_prefixes(
    scheduler_state: SchedulerState, work: Work
) -> dict[str, CachedPrefix]:
    """Returns the prompt prefixes that endpoints should have cached, by name.

    These are the prefixes that this instance sent to an endpoint. Any other
    prefix is assumed to be cached at its home endpoints, since the other
    instances place calls by the same homes.
    """
    if not scheduler_state.rules.prefixes or not work.model:
        return {}
    cached = scheduler_state.prefixes.find(work)
    home = home_prefix(work)
    if home is None or (cached and work.turn > 1):
        return cached
    digest, tokens = home
    expected_tokens = int(tokens * scheduler_state.prefixes.home_hit_rate)
    for name in scheduler_state.candidates.homes(
        work.group, digest, _HOME_COUNT
    ):
        if name not in cached and expected_tokens:
            cached[name] = CachedPrefix(expected_tokens, 0.0)
        expected_tokens //= 2
    return cached


def _placement_request(
    scheduler_state: SchedulerState,
    work: Work,
    cached: dict[str, CachedPrefix],
    now: float,
) -> PlacementRequest:
    profile = scheduler_state.admission.class_state(
        scheduler_state.class_name(work)
    ).profile
    age = now - scheduler_state.usage_of(work, now).started_at
    return PlacementRequest(
        work.prompt_tokens,
        min(
            profile.output or _DEFAULT_OUTPUT_TOKENS,
            work.max_output_tokens or 1,
        ),
        max(
            (cached_prefix.tokens for cached_prefix in cached.values()),
            default=0,
        ),
        cache_price(scheduler_state.class_of(work), age),
        bool(work.model),
    )


def _evaluate(
    scheduler_state: SchedulerState,
    work: Work,
    request: PlacementRequest,
    state: EndpointState,
    cached_prefix: CachedPrefix | None,
    now: float,
) -> Choice:
    stats = scheduler_state.candidates.stats_of(state)
    speed = scheduler_state.speeds_of(work, stats, now)
    cached_tokens = cached_prefix.tokens if cached_prefix else 0
    found = estimate(stats, speed, state.in_flight, request, cached_tokens, now)
    return Choice(state, stats, found, cached_prefix)
