"""The schedulers that are compared: ours, ours less a rule, and plain ones.

They exist for measurements only. The daemon has no setting for them;
``bench.instance`` starts it with one of them in place of its own.
"""

import itertools
from collections.abc import Callable

import msgspec

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_policy import (
    EndpointState,
    Outcome,
    Placement,
    Rules,
    Scheduler,
    Work,
)

_TRIES = 3
_NONE = Rules(**dict.fromkeys(Rules.__struct_fields__, False))
RULES = Rules.__struct_fields__


class Naive(Scheduler):
    """Round robin, first come first served, three tries at once."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.turns = itertools.count()

    async def place(self, work: Work) -> Placement | Refusal:
        """Returns the next endpoint in turn."""
        self.state.candidates.names_for(work)
        if refusal := self._refuse_unserved(work):
            return refusal
        states = self.state.candidates.select(work, ())
        if not states:
            detail = f"No endpoint for '{work.group}' takes work now."
            return refuse(Reason.NO_ENDPOINT, detail)
        return Placement(work, self.select(states), self.on_attempt_end)

    def select(self, states: list[EndpointState]) -> EndpointState:
        """Returns the endpoint for a call."""
        return states[next(self.turns) % len(states)]

    def may_retry(self, work: Work, outcome: Outcome) -> bool:
        """Allows three tries, whatever the load."""
        return len(work.tried) < _TRIES and outcome is not Outcome.REJECTED

    def on_attempt_end(self, placement: Placement) -> None:
        """Avoids an endpoint that could not be reached for a second."""
        if placement.outcome in (Outcome.NOT_CONNECTED, Outcome.DRAINING):
            self.table.avoid(placement.state.endpoint.name, 1.0)


class LeastLoaded(Naive):
    """The endpoint with the fewest calls of this instance."""

    def select(self, states: list[EndpointState]) -> EndpointState:
        """Returns the endpoint with the fewest calls of ours."""
        return min(states, key=lambda state: state.in_flight)


def policy_names() -> list[str]:
    """Returns all names that ``scheduler_of`` takes."""
    return [
        "naive",
        "least-loaded",
        "rattanmill",
        *(f"without-{rule}" for rule in RULES),
        *(f"only-{rule}" for rule in RULES),
    ]


def scheduler_of(name: str) -> Callable[..., Scheduler]:
    """Returns what makes a scheduler of a policy."""
    if name == "naive":
        return Naive
    if name == "least-loaded":
        return LeastLoaded
    return lambda *args: Scheduler(*args, rules=_rules(name))


def _rules(name: str) -> Rules:
    kind, _, rule = name.partition("-")
    match kind:
        case "without":
            return msgspec.structs.replace(Rules(), **{rule: False})
        case "only":
            return msgspec.structs.replace(_NONE, **{rule: True})
        case _:
            return Rules()
