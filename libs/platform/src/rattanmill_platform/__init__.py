"""Clients of the platform: key-value service, lease, live view, directory."""

from rattanmill_platform.directory import Directory, Endpoint
from rattanmill_platform.kv import (
    Conflict,
    Entry,
    Found,
    KvClient,
    Missing,
    Range,
    Unavailable,
    WatchEvents,
    Written,
)
from rattanmill_platform.lease import InstanceLease
from rattanmill_platform.live import (
    DomainShards,
    InstanceRecord,
    LiveView,
    ShardOwner,
)

__all__ = [
    "Conflict",
    "Directory",
    "DomainShards",
    "Endpoint",
    "Entry",
    "Found",
    "InstanceLease",
    "InstanceRecord",
    "KvClient",
    "LiveView",
    "Missing",
    "Range",
    "ShardOwner",
    "Unavailable",
    "WatchEvents",
    "Written",
]
