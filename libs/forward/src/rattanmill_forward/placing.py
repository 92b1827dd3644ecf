"""Chooses the endpoint at which a call should finish first.

The load it answers: calls of very unequal size on endpoints that differ two
or threefold in speed, of which each front sees only its own share and what
answers report. Endpoints have more slots than the usual load needs, so speed
decides until slots run out; then the wait for one does.
"""

import msgspec

# Share of its time by which a call gets slower on an endpoint whose slots are
# all in use, from the engines' step time with and without others.
_CROWDING = 0.25
# A trip to another failure domain and back, with the first bytes; settles
# ties and no more.
_FAR_SECONDS = 0.002


class View(msgspec.Struct):
    """An endpoint as a decision sees it.

    Attributes:
        name: Its id.
        is_near: Whether it is in this front's failure domain.
        slots: Requests that it runs at once.
        busy: Requests running or waiting there, as far as known.
        run_seconds: Time the call should take there once it runs.
        read_seconds: Time to read the part of its prompt not cached there.
        overdue_seconds: How much longer than usual its oldest call has been
            waiting for the first byte.
    """

    name: str
    is_near: bool
    slots: int
    busy: float
    run_seconds: float
    read_seconds: float
    overdue_seconds: float = 0.0


def expected_seconds(view: View) -> float:
    """Returns when a call should be done there, from now."""
    slots = max(1, view.slots)
    run = view.run_seconds * (1 + _CROWDING * min(1.0, view.busy / slots))
    ahead = max(0.0, view.busy + 1 - slots)
    wait = ahead / slots * view.run_seconds
    far = 0.0 if view.is_near else _FAR_SECONDS
    return wait + view.read_seconds + run + far + view.overdue_seconds


def choose(views: list[View]) -> View | None:
    """Returns the endpoint at which the call should finish first."""
    return min(views, key=expected_seconds, default=None)
