"""Estimates the cost of a call at an endpoint.

Expected finish = time to get a slot + uncached prompt * prefill speed +
expected answer * decode speed. The cost adds a price for recomputing cache that
another endpoint holds. This price depends only on the class's target; see
docs/design/decisions.md.
"""

import msgspec

from rattanmill_core import WorkClass
from rattanmill_policy.speeds import BlendedSpeed, EndpointStats


class PlacementRequest(msgspec.Struct):
    """The properties of a call that placement uses.

    Attributes:
        prompt_tokens: Tokens of the whole prompt.
        output_tokens: Expected tokens of the answer.
        max_cached_tokens: Tokens of the longest prefix of the prompt that any
            endpoint is known to have cached.
        cache_price: Factor on the time to recompute cached tokens.
        is_chat: Whether it is a model call.
    """

    prompt_tokens: int
    output_tokens: float
    max_cached_tokens: int
    cache_price: float
    is_chat: bool


class Estimate(msgspec.Struct):
    """Estimated cost of a call at one endpoint.

    Attributes:
        wait: Seconds until it gets a slot.
        run: Seconds from getting the slot to the end of the answer.
        cost: Seconds including the price of recomputed cache; used to compare
            endpoints.
    """

    wait: float
    run: float
    cost: float

    @property
    def seconds(self) -> float:
        """Expected seconds until the answer is complete."""
        return self.wait + self.run


def cache_price(klass: WorkClass, age_seconds: float) -> float:
    """Returns the factor on the time to recompute cached tokens.

    Recomputing a token costs its own time, which the expected finish already
    includes, and also cache and time of other calls. A class that allows a
    fraction S of its prompt tokens to be recomputed prices each at 1/S of its
    time in total. The closer a program is to its target, the less it pays for
    other calls; at its target it goes where it finishes first.
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
    """Returns the estimated cost of a call at one endpoint.

    Args:
        stats: Statistics of the endpoint.
        speed: Speeds of the endpoint.
        in_flight: Calls of this instance in flight there.
        request: The call.
        cached_tokens: Tokens of the prompt that it should have cached.
        now: Loop time.
    """
    if not request.is_chat:
        wait = in_flight * speed.call
        overdue = stats.overdue_factor(now)
        return Estimate(
            wait * overdue, speed.call * overdue, (wait + speed.call) * overdue
        )
    cached_tokens = min(cached_tokens, request.prompt_tokens)
    uncached_tokens = request.prompt_tokens - cached_tokens
    run = uncached_tokens * speed.prefill + request.output_tokens * speed.decode
    # Active calls share prefill and decode with this one. Until the slots are
    # full, the measured speed already includes their effect.
    active = in_flight + stats.others
    slots = stats.slots or max(1.0, stats.limit)
    wait = max(0.0, active + 1 - slots) / slots * run
    # Calls beyond this instance's own limit wait in its queue. If that counted
    # as no wait, a full endpoint would look as good as a free one, and calls
    # would queue for it while others are idle.
    own_wait = max(0.0, in_flight + 1 - stats.limit) / stats.limit * run
    wait = max(wait, own_wait)
    # Among endpoints with free slots, the least loaded one finishes first.
    crowding = 1 + 0.25 * min(1.0, active / slots)
    overdue = stats.overdue_factor(now)
    recompute = (
        max(0, request.max_cached_tokens - cached_tokens) * speed.prefill
    )
    run *= crowding * overdue
    wait *= overdue
    return Estimate(wait, run, wait + run + recompute * request.cache_price)
