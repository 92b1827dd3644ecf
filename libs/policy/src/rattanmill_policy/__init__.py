"""Decisions: which endpoint, when, how often again, and what not at all."""

from rattanmill_policy.scheduler import Outcome, Placement, Scheduler, Work
from rattanmill_policy.table import EndpointState, EndpointTable

__all__ = [
    "EndpointState",
    "EndpointTable",
    "Outcome",
    "Placement",
    "Scheduler",
    "Work",
]
