"""Decisions: which endpoint, when, how often again, and what not at all."""

from rattanmill_policy.health import Load, Mark
from rattanmill_policy.outcome import Outcome
from rattanmill_policy.quarantine import Quarantine
from rattanmill_policy.scheduler import Placement, Scheduler, Work
from rattanmill_policy.table import EndpointState, EndpointTable

__all__ = [
    "EndpointState",
    "EndpointTable",
    "Load",
    "Mark",
    "Outcome",
    "Placement",
    "Quarantine",
    "Scheduler",
    "Work",
]
