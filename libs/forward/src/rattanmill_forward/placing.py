"""Chooses the endpoint at which a call should finish first.

The load it answers: calls of very unequal size on endpoints that differ two
or threefold in speed, of which each front sees only its own share and what
answers report. Endpoints have more slots than the usual load needs, so speed
decides until slots run out; then the wait for one does. When a failure domain
is cut off, all that ran there is sent again at once, with prompts that must be
read anew: an engine reads them between the tokens of others, so what a call
costs these counts as well, and so does what is still to be read before it.
"""

import msgspec

# Share of its time by which a call gets slower on an endpoint whose slots are
# all in use, from the engines' step time with and without others.
_CROWDING = 0.25
# A trip to another failure domain and back, with the first bytes.
_FAR_SECONDS = 0.002
# Share of its time by which a call elsewhere has to be faster. Calls in the own
# domain outlive its cut, and their bytes cost nothing.
_FAR_SHARE = 0.1
# Share of a delay of others that counts like one of the call's own. Each has
# some slack, so that less than all of it is felt.
_OTHERS = 0.3


class View(msgspec.Struct):
    """An endpoint as a decision sees it.

    Attributes:
        name: Its id.
        is_near: Whether it is in this front's failure domain.
        slots: Requests that it runs at once.
        busy: Requests running or waiting there, as far as known.
        run_seconds: Time the call should take there once it runs.
        read_seconds: Time to read the part of its prompt not cached there.
        ahead_seconds: Time to read prompts of this front that wait there.
        overdue_seconds: How much longer than usual its oldest call has been
            waiting for the first byte.
    """

    name: str
    is_near: bool
    slots: int
    busy: float
    run_seconds: float
    read_seconds: float
    ahead_seconds: float = 0.0
    overdue_seconds: float = 0.0


def expected_seconds(view: View) -> float:
    """Returns when a call should be done there, from now."""
    slots = max(1, view.slots)
    run = view.run_seconds * (1 + _CROWDING * min(1.0, view.busy / slots))
    ahead = max(0.0, view.busy + 1 - slots)
    wait = ahead / slots * view.run_seconds
    far = 0.0 if view.is_near else _FAR_SECONDS + _FAR_SHARE * run
    read = view.ahead_seconds + view.read_seconds
    return wait + read + run + far + view.overdue_seconds


def cost(view: View) -> float:
    """Returns what placing the call there costs, in seconds.

    Besides its own time the delay of those that run there, while its prompt
    is read.
    """
    running = min(view.busy, max(1, view.slots))
    return expected_seconds(view) + _OTHERS * running * view.read_seconds


def choose(views: list[View]) -> View | None:
    """Returns the endpoint at which the call costs least."""
    return min(views, key=cost, default=None)
