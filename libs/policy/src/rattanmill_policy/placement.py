"""Which endpoint a call goes to: the one where it should finish first.

Expected finish = time to get a slot + uncached prompt * prefill speed +
expected answer * decode speed. To this comes the price of lost cache, which
follows from the class's target alone; see docs/design/decisions.md.
"""

import msgspec

from rattanmill_core import WorkClass
from rattanmill_policy.speeds import BlendedSpeed, EndpointStats


class PlacementRequest(msgspec.Struct):
    """A call as placement sees it.

    Attributes:
        prompt_tokens: Whole prompt.
        output_tokens: Answer, as expected.
        best_cached: Longest prefix of the prompt known at any endpoint.
        cache_price: Factor on the time to compute lost cache again.
        is_chat: Whether it is a model call.
    """

    prompt_tokens: int
    output_tokens: float
    max_cached_tokens: int
    cache_price: float
    is_chat: bool


class Estimate(msgspec.Struct):
    """What a call would cost at one endpoint.

    Attributes:
        wait: Seconds until it gets a slot.
        run: Seconds from then on.
        cost: Seconds, with the price of lost cache; what is compared.
    """

    wait: float
    run: float
    cost: float

    @property
    def seconds(self) -> float:
        """Expected time until the answer is whole."""
        return self.wait + self.run


def cache_price(klass: WorkClass, age_seconds: float) -> float:
    """Returns the factor on the time to compute lost cache again.

    Computing a token again costs its own time, which the expected finish
    holds already, and the cache and time of others. A class that allows a
    share S of its prompt tokens to be computed again prices one at 1/S of
    its time in all. The closer a program is to its target, the less it pays
    for others: at its target it goes where it finishes first.
    """
    slack = max(0.0, 1 - age_seconds / klass.target_seconds)
    return (1 / klass.wasted_cache_share - 1) * slack


def estimate(
    stats: EndpointStats,
    speed: BlendedSpeed,
    in_flight: int,
    request: PlacementRequest,
    cached_tokens: int,
    now: float,
) -> Estimate:
    """Returns what a call would cost at one endpoint."""
    if not request.is_chat:
        wait = in_flight * speed.call
        overdue = stats.overdue_factor(now)
        return Estimate(
            wait * overdue, speed.call * overdue, (wait + speed.call) * overdue
        )
    cached_tokens = min(cached_tokens, request.prompt_tokens)
    uncached_tokens = request.prompt_tokens - cached_tokens
    run = uncached_tokens * speed.prefill + request.output_tokens * speed.decode
    # Calls that are there share its prefill and decode with this one; until
    # its slots are full that is in the measured speed already.
    active = in_flight + stats.others
    slots = stats.slots or max(1.0, stats.limit)
    wait = max(0.0, active + 1 - slots) / slots * run
    # Beyond our own limit a call waits here. If that counted as no wait, a
    # full endpoint would look as good as a free one, and calls would queue
    # for it while others idle.
    own_wait = max(0.0, in_flight + 1 - stats.limit) / stats.limit * run
    wait = max(wait, own_wait)
    # Among endpoints with free slots the emptier one finishes sooner.
    crowding = 1 + 0.25 * min(1.0, active / slots)
    overdue = stats.overdue_factor(now)
    recompute = (
        max(0, request.max_cached_tokens - cached_tokens) * speed.prefill
    )
    run *= crowding * overdue
    wait *= overdue
    return Estimate(wait, run, wait + run + recompute * request.cache_price)
