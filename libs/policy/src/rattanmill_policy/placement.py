"""Which endpoint a call goes to: the one where it should finish first.

Expected finish = time to get a slot + uncached prompt * prefill speed +
expected answer * decode speed. To this comes the price of lost cache, which
follows from the class's target alone; see docs/design/decisions.md.
"""

import msgspec

from rattanmill_core import WorkClass
from rattanmill_policy.speeds import EndpointStats, Pace


class Call(msgspec.Struct):
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
    best_cached: int
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
    speed: Pace,
    in_flight: int,
    call: Call,
    cached: int,
    now: float,
) -> Estimate:
    """Returns what a call would cost at one endpoint."""
    if not call.is_chat:
        wait = in_flight * speed.call
        overdue = stats.overdue(now)
        return Estimate(
            wait * overdue, speed.call * overdue, (wait + speed.call) * overdue
        )
    cached = min(cached, call.prompt_tokens)
    uncached = call.prompt_tokens - cached
    run = uncached * speed.prefill + call.output_tokens * speed.decode
    # Calls that are there share its prefill and decode with this one; until
    # its slots are full that is in the measured speed already.
    there = in_flight + stats.others
    slots = stats.slots or max(1.0, stats.limit)
    wait = max(0.0, there + 1 - slots) / slots * run
    # Beyond our own limit a call waits here. If that counted as no wait, a
    # full endpoint would look as good as a free one, and calls would queue
    # for it while others idle.
    own = max(0.0, in_flight + 1 - stats.limit) / stats.limit * run
    wait = max(wait, own)
    # Among endpoints with free slots the emptier one finishes sooner.
    crowding = 1 + 0.25 * min(1.0, there / slots)
    overdue = stats.overdue(now)
    lost = max(0, call.best_cached - cached) * speed.prefill
    run *= crowding * overdue
    wait *= overdue
    return Estimate(wait, run, wait + run + lost * call.cache_price)
