"""Code shared by all rattanmill packages: errors, refusals, ids, settings."""

from typing import TYPE_CHECKING

from rattanmill_core.decoding import DECODE_ERRORS
from rattanmill_core.errors import (
    ConflictError,
    InvariantError,
    NotReachedError,
    RattanmillError,
    RefusedError,
    SettingsError,
    UnreachableError,
    UsageError,
)
from rattanmill_core.events import (
    RepeatedEvent,
    boot_seconds,
    configure_events,
    log_event,
    loop_seconds,
    wall_seconds,
    warn_event,
)
from rattanmill_core.heap import return_large_blocks
from rattanmill_core.instance import InstanceSettings, RateBounds
from rattanmill_core.lateness import watch_turns
from rattanmill_core.lazy import import_on_use
from rattanmill_core.listening import (
    ACCEPTED_AT_ONCE,
    RECEIVE_BUFFER_BYTES,
    ClosedConnections,
    lengthen_queue,
    open_listening,
)
from rattanmill_core.loops import LoopShare, start_loop
from rattanmill_core.memory import (
    HeldMemory,
    MemoryAdaptation,
    MemoryBudget,
    Progress,
    bodies_bytes,
    choose_revoked,
)
from rattanmill_core.metrics import Metrics
from rattanmill_core.notes import Aspect, CrashNote, EndpointNote, Sign
from rattanmill_core.process import Signals
from rattanmill_core.refusal import Ran, Reason, Refusal, refuse

if TYPE_CHECKING:
    from rattanmill_core.config import (
        ConfigDocument,
        WorkClass,
        decode_config,
        default_config,
        encode_config,
        read_config,
    )
    from rattanmill_core.ids import ProgramId, new_id, parse_program_id
    from rattanmill_core.logs import configure_logs, log_ids, part_logger
    from rattanmill_core.metricserver import METRICS_PORT, MetricsServer
    from rattanmill_core.operators import (
        ConfigReach,
        EndpointStatus,
        HistoryEntry,
        InstanceStatus,
        PeerStatus,
    )
    from rattanmill_core.settings import (
        Settings,
        load_settings,
        open_secrets,
    )

__all__ = [
    "ACCEPTED_AT_ONCE",
    "ClosedConnections",
    "bodies_bytes",
    "boot_seconds",
    "choose_revoked",
    "import_on_use",
    "Aspect",
    "ConfigDocument",
    "ConfigReach",
    "ConflictError",
    "DECODE_ERRORS",
    "EndpointStatus",
    "HeldMemory",
    "HistoryEntry",
    "InstanceStatus",
    "CrashNote",
    "EndpointNote",
    "InstanceSettings",
    "RECEIVE_BUFFER_BYTES",
    "RateBounds",
    "InvariantError",
    "LoopShare",
    "METRICS_PORT",
    "MemoryAdaptation",
    "MemoryBudget",
    "Metrics",
    "MetricsServer",
    "NotReachedError",
    "PeerStatus",
    "ProgramId",
    "Progress",
    "Ran",
    "RattanmillError",
    "Reason",
    "Refusal",
    "RefusedError",
    "RepeatedEvent",
    "Settings",
    "SettingsError",
    "Signals",
    "UnreachableError",
    "Sign",
    "UsageError",
    "WorkClass",
    "configure_events",
    "configure_logs",
    "decode_config",
    "default_config",
    "encode_config",
    "lengthen_queue",
    "load_settings",
    "log_event",
    "loop_seconds",
    "log_ids",
    "new_id",
    "open_listening",
    "open_secrets",
    "parse_program_id",
    "part_logger",
    "read_config",
    "refuse",
    "return_large_blocks",
    "start_loop",
    "wall_seconds",
    "warn_event",
    "watch_turns",
]

# Not every process needs these, and restarted processes must listen again soon.
__getattr__ = import_on_use(
    __name__,
    {
        "config": (
            "ConfigDocument",
            "WorkClass",
            "decode_config",
            "default_config",
            "encode_config",
            "read_config",
        ),
        "ids": (
            "ProgramId",
            "new_id",
            "parse_program_id",
        ),
        "logs": (
            "configure_logs",
            "log_ids",
            "part_logger",
        ),
        "metricserver": (
            "METRICS_PORT",
            "MetricsServer",
        ),
        "operators": (
            "ConfigReach",
            "EndpointStatus",
            "HistoryEntry",
            "InstanceStatus",
            "PeerStatus",
        ),
        "settings": (
            "Settings",
            "load_settings",
            "open_secrets",
        ),
    },
)
