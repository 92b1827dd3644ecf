"""Clients of the platform: store, lease, live view and instance list."""

from typing import TYPE_CHECKING

from rattanmill_core import import_on_use

if TYPE_CHECKING:
    from rattanmill_platform.calls import (
        Breaker,
        Reply,
        Request,
        Send,
        StoreCalls,
        Unavailable,
    )
    from rattanmill_platform.directory import (
        Directory,
        Endpoint,
    )
    from rattanmill_platform.follow import (
        MISSING_KEY_GRACE_SECONDS,
        WATCH_SECONDS,
        PrefixWatch,
    )
    from rattanmill_platform.kv import (
        Conflict,
        Entry,
        Found,
        HistoryLost,
        KeyValue,
        Missing,
        Range,
        WatchEvents,
        Written,
    )
    from rattanmill_platform.kvclient import (
        KvClient,
    )
    from rattanmill_platform.lease import (
        InstanceLease,
    )
    from rattanmill_platform.live import (
        DomainShards,
        InstanceRecord,
        LiveView,
        ShardOwner,
    )
    from rattanmill_platform.sessions import (
        OversizedError,
        read_bounded,
        session_sender,
    )
    from rattanmill_platform.sockets import create_tcp_socket
    from rattanmill_platform.storeclient import (
        StoreClient,
    )

__all__ = [
    "MISSING_KEY_GRACE_SECONDS",
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
    "OversizedError",
    "PrefixWatch",
    "Range",
    "Reply",
    "Request",
    "Send",
    "ShardOwner",
    "StoreClient",
    "StoreCalls",
    "Unavailable",
    "WATCH_SECONDS",
    "WatchEvents",
    "Written",
    "create_tcp_socket",
    "read_bounded",
    "session_sender",
]

__getattr__ = import_on_use(
    __name__,
    {
        "calls": (
            "Breaker",
            "Reply",
            "Request",
            "Send",
            "StoreCalls",
            "Unavailable",
        ),
        "directory": (
            "Directory",
            "Endpoint",
        ),
        "follow": (
            "MISSING_KEY_GRACE_SECONDS",
            "WATCH_SECONDS",
            "PrefixWatch",
        ),
        "kv": (
            "Conflict",
            "Entry",
            "Found",
            "HistoryLost",
            "KeyValue",
            "Missing",
            "Range",
            "WatchEvents",
            "Written",
        ),
        "kvclient": ("KvClient",),
        "lease": ("InstanceLease",),
        "live": (
            "DomainShards",
            "InstanceRecord",
            "LiveView",
            "ShardOwner",
        ),
        "sessions": (
            "OversizedError",
            "read_bounded",
            "session_sender",
        ),
        "sockets": ("create_tcp_socket",),
        "storeclient": ("StoreClient",),
    },
)
