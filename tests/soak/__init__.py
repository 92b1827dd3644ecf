"""A randomized soak: real processes, faults from outside, callers that check.

``python -m soak`` runs seeds by hand; soak.feature runs a short one.
"""

from soak.plan import (
    Fault,
    Kind,
    Scale,
    draw_endpoint_faults,
    draw_plan,
    draw_serial_faults,
)
from soak.record import Answer, Record, Sent
from soak.runs import Outcome, soak

__all__ = [
    "Answer",
    "Fault",
    "Kind",
    "Outcome",
    "Record",
    "Scale",
    "Sent",
    "draw_endpoint_faults",
    "draw_plan",
    "draw_serial_faults",
    "soak",
]
