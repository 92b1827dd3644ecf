"""What every part of rattanmill shares: errors, refusals, ids, settings."""

from rattanmill_core.config import (
    ConfigDocument,
    WorkClass,
    decode_config,
    default_config,
    encode_config,
    read_config,
)
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
from rattanmill_core.ids import ProgramId, new_id, parse_program_id
from rattanmill_core.logs import configure_logs, log_ids, part_logger
from rattanmill_core.loops import start_loop
from rattanmill_core.metrics import Metrics
from rattanmill_core.notes import Aspect, CrashNote, EndpointNote, Sign
from rattanmill_core.operators import (
    ConfigReach,
    EndpointStatus,
    HistoryEntry,
    InstanceStatus,
    PeerStatus,
)
from rattanmill_core.refusal import Ran, Reason, Refusal, refuse
from rattanmill_core.settings import (
    Settings,
    load_settings,
    open_secrets,
)

__all__ = [
    "Aspect",
    "ConfigDocument",
    "ConfigReach",
    "ConflictError",
    "EndpointStatus",
    "HistoryEntry",
    "InstanceStatus",
    "CrashNote",
    "EndpointNote",
    "InvariantError",
    "Metrics",
    "NotReachedError",
    "PeerStatus",
    "ProgramId",
    "Ran",
    "RattanmillError",
    "Reason",
    "Refusal",
    "RefusedError",
    "Settings",
    "SettingsError",
    "UnreachableError",
    "Sign",
    "UsageError",
    "WorkClass",
    "configure_logs",
    "decode_config",
    "default_config",
    "encode_config",
    "load_settings",
    "log_ids",
    "new_id",
    "open_secrets",
    "parse_program_id",
    "part_logger",
    "read_config",
    "refuse",
    "start_loop",
]
