"""Chooses the endpoint at which a call should finish first."""

import msgspec

from rattanmill_policy.knowledge import Knowledge
from rattanmill_policy.placement import Call, Estimate, cache_price, estimate
from rattanmill_policy.prefixes import Holding, home_prefix
from rattanmill_policy.speeds import EndpointStats
from rattanmill_policy.table import EndpointState
from rattanmill_policy.work import Work

_HOMES = 2
_FIRST_OUTPUT = 64.0


class Choice(msgspec.Struct):
    """An endpoint and what a call would cost there.

    Attributes:
        holding: Prefix of the prompt that it should have cached, if any.
    """

    state: EndpointState
    stats: EndpointStats
    estimate: Estimate
    holding: Holding | None

    @property
    def by(self) -> str:
        """What spoke for it, for the counters."""
        if self.holding is None:
            return "speed"
        return "cache" if self.holding.since else "home"


def choose(known: Knowledge, work: Work, now: float) -> Choice | None:
    """Returns the best endpoint now, whether or not it has a free place.

    None if no endpoint takes work.
    """
    held = held_prefixes(known, work)
    states = known.candidates.pick(work, held)
    if not states:
        return None
    call = _call(known, work, held, now)
    choices = [
        _rate(known, work, call, state, held.get(state.endpoint.name), now)
        for state in states
    ]
    return min(choices, key=lambda choice: choice.estimate.cost)


def held_prefixes(known: Knowledge, work: Work) -> dict[str, Holding]:
    """Returns what endpoints should have cached of a prompt.

    What this instance sent where; for the rest, prefixes are taken to be at
    home, as the other instances place by the same homes.
    """
    if not known.rules.prefixes or not work.model:
        return {}
    held = known.prefixes.find(work)
    home = home_prefix(work)
    if home is None or (held and work.turn > 1):
        return held
    digest, tokens = home
    guess = int(tokens * known.prefixes.guess)
    for name in known.candidates.homes(work.group, digest, _HOMES):
        if name not in held and guess:
            held[name] = Holding(guess, 0.0)
        guess //= 2
    return held


def _call(
    known: Knowledge, work: Work, held: dict[str, Holding], now: float
) -> Call:
    shape = known.admission.of(known.class_name(work)).shape
    age = now - known.use_of(work, now).began
    return Call(
        work.prompt_tokens,
        min(shape.output or _FIRST_OUTPUT, work.output_tokens or 1),
        max((holding.tokens for holding in held.values()), default=0),
        cache_price(known.class_of(work), age),
        bool(work.model),
    )


def _rate(
    known: Knowledge,
    work: Work,
    call: Call,
    state: EndpointState,
    holding: Holding | None,
    now: float,
) -> Choice:
    stats = known.candidates.stats_of(state)
    speed = known.pace_of(work, stats, now)
    cached = holding.tokens if holding else 0
    found = estimate(stats, speed, state.in_flight, call, cached, now)
    return Choice(state, stats, found, holding)
