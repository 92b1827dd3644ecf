"""Clients of the platform: key-value service, lease, live view, directory."""

from rattanmill_platform.calls import Breaker, Reply, StoreCalls, Unavailable
from rattanmill_platform.directory import Directory, Endpoint
from rattanmill_platform.follow import (
    BACK_SECONDS,
    WATCH_SECONDS,
    PrefixWatch,
)
from rattanmill_platform.kv import (
    Conflict,
    Entry,
    Found,
    HistoryLost,
    KeyValue,
    KvClient,
    Missing,
    Range,
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
from rattanmill_platform.sockets import bound_silence, watchful_socket

__all__ = [
    "BACK_SECONDS",
    "Breaker",
    "Conflict",
    "Directory",
    "DomainShards",
    "Endpoint",
    "Entry",
    "Found",
    "HistoryLost",
    "InstanceLease",
    "InstanceRecord",
    "KeyValue",
    "KvClient",
    "LiveView",
    "Missing",
    "PrefixWatch",
    "Range",
    "Reply",
    "ShardOwner",
    "StoreCalls",
    "Unavailable",
    "WATCH_SECONDS",
    "WatchEvents",
    "Written",
    "bound_silence",
    "watchful_socket",
]
