"""Scheduling policy: admission, placement, retries and endpoint health."""

from typing import TYPE_CHECKING

from rattanmill_core import import_on_use

if TYPE_CHECKING:
    from rattanmill_policy.health import (
        AspectState,
        Load,
    )
    from rattanmill_policy.knowledge import (
        Rules,
    )
    from rattanmill_policy.loads import (
        MAX_REPORT_BYTES,
        LoadPoller,
    )
    from rattanmill_policy.outcome import (
        Outcome,
    )
    from rattanmill_policy.pinning import (
        Pin,
        ProgramPins,
        has_room,
    )
    from rattanmill_policy.quarantine import (
        Quarantine,
    )
    from rattanmill_policy.scheduler import (
        Scheduler,
    )
    from rattanmill_policy.speeds import (
        LoadReport,
    )
    from rattanmill_policy.table import (
        EndpointState,
        EndpointTable,
    )
    from rattanmill_policy.work import (
        Placement,
        Work,
    )

__all__ = [
    "MAX_REPORT_BYTES",
    "EndpointState",
    "EndpointTable",
    "Load",
    "LoadReport",
    "LoadPoller",
    "AspectState",
    "Outcome",
    "Pin",
    "ProgramPins",
    "Placement",
    "Quarantine",
    "Rules",
    "Scheduler",
    "Work",
    "has_room",
]

__getattr__ = import_on_use(
    __name__,
    {
        "health": (
            "AspectState",
            "Load",
        ),
        "knowledge": ("Rules",),
        "loads": ("MAX_REPORT_BYTES", "LoadPoller"),
        "outcome": ("Outcome",),
        "pinning": (
            "Pin",
            "ProgramPins",
            "has_room",
        ),
        "quarantine": ("Quarantine",),
        "scheduler": ("Scheduler",),
        "speeds": ("LoadReport",),
        "table": (
            "EndpointState",
            "EndpointTable",
        ),
        "work": (
            "Placement",
            "Work",
        ),
    },
)
