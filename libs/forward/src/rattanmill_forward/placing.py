"""Chooses the endpoint at which a call should finish first.

The expected load is calls of very unequal size on endpoints that differ two- to
threefold in speed. Each front end sees only its own share of the load and what
responses report. Endpoints have more slots than the usual load needs, so speed
decides until slots run out; from then on the waiting time does. When a failure
domain is partitioned, all calls that ran there are sent again at once, with
prompts that must be read anew. An engine reads prompts between the tokens of
other calls, so the delay of those calls is part of the cost, and so are the
prompts that are still to be read before.
"""

import msgspec

# Share by which a call gets slower on an endpoint whose slots are all in use,
# from the engines' step time with and without other requests.
_CONTENTION_SHARE = 0.25
# Round trip to another failure domain, with the first bytes.
_CROSS_DOMAIN_SECONDS = 0.002
# Share by which a call in another domain has to be faster. Calls in the own
# domain survive a partition, and their traffic is free.
_CROSS_DOMAIN_SHARE = 0.1
# Weight of a delay of other calls relative to the call's own. Other calls have
# some slack and feel only part of the delay.
_OTHERS_DELAY_SHARE = 0.3


class EndpointEstimate(msgspec.Struct):
    """Inputs for the cost of a call at one endpoint.

    Attributes:
        name: Id of the endpoint.
        is_local: Whether it is in this front end's failure domain.
        slots: Maximum number of concurrent requests.
        active_requests: Requests running or waiting there, as far as known.
        run_seconds: Expected duration of the call there once it runs.
        prefill_seconds: Time to read the part of its prompt not cached there.
        queued_prefill_seconds: Time to read prompts of this front end that wait
            there.
        overdue_seconds: How much longer than expected its oldest call has been
            waiting for the first byte.
        slot_seconds: Mean time from the first to the last event of streams of
            its kind there, or None if that is unknown.
    """

    name: str
    is_local: bool
    slots: int
    active_requests: float
    run_seconds: float
    prefill_seconds: float
    queued_prefill_seconds: float = 0.0
    overdue_seconds: float = 0.0
    slot_seconds: float | None = None


def expected_seconds(estimate: EndpointEstimate) -> float:
    """Returns the expected time until a call is done there, in seconds."""
    slots = max(1, estimate.slots)
    run = estimate.run_seconds * (
        1 + _CONTENTION_SHARE * min(1.0, estimate.active_requests / slots)
    )
    queued = max(0.0, estimate.active_requests + 1 - slots)
    wait = queued / slots * estimate.run_seconds
    cross_domain = (
        0.0
        if estimate.is_local
        else _CROSS_DOMAIN_SECONDS + _CROSS_DOMAIN_SHARE * run
    )
    prefill = estimate.queued_prefill_seconds + estimate.prefill_seconds
    return wait + prefill + run + cross_domain + estimate.overdue_seconds


def cost(estimate: EndpointEstimate) -> float:
    """Returns the cost of placing the call there, in seconds.

    Adds the delay of the calls that run there while its prompt is read to the
    call's own time.
    """
    running = min(estimate.active_requests, max(1, estimate.slots))
    return (
        expected_seconds(estimate)
        + _OTHERS_DELAY_SHARE * running * estimate.prefill_seconds
    )


def has_free_slot(estimate: EndpointEstimate) -> bool:
    """Whether not all slots are in use there, as far as known."""
    return estimate.active_requests < max(1, estimate.slots)


def choose(estimates: list[EndpointEstimate]) -> EndpointEstimate | None:
    """Returns the endpoint at which the call costs least."""
    return min(estimates, key=cost, default=None)
