"""What every part of rattanmill shares: errors, refusals, ids, settings."""

from rattanmill_core.config import (
    ConfigDocument,
    WorkClass,
    decode_config,
    default_config,
    encode_config,
)
from rattanmill_core.errors import (
    InvariantError,
    RattanmillError,
    SettingsError,
    UsageError,
)
from rattanmill_core.ids import ProgramId, new_id, parse_program_id
from rattanmill_core.logs import configure_logs, part_logger
from rattanmill_core.metrics import Metrics
from rattanmill_core.notes import Aspect, CrashNote, EndpointNote, Sign
from rattanmill_core.refusal import Ran, Reason, Refusal, refuse
from rattanmill_core.settings import Settings, load_settings

__all__ = [
    "Aspect",
    "ConfigDocument",
    "CrashNote",
    "EndpointNote",
    "InvariantError",
    "Metrics",
    "ProgramId",
    "Ran",
    "RattanmillError",
    "Reason",
    "Refusal",
    "Settings",
    "SettingsError",
    "Sign",
    "UsageError",
    "WorkClass",
    "configure_logs",
    "decode_config",
    "default_config",
    "encode_config",
    "load_settings",
    "new_id",
    "parse_program_id",
    "part_logger",
    "refuse",
]
