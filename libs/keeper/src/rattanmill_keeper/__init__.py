"""Storage instances, which keep budget accounts and turns on disk."""

from typing import TYPE_CHECKING

from rattanmill_core import import_on_use

if TYPE_CHECKING:
    from rattanmill_keeper.borrowing import (
        RateClient,
        RateExceeded,
        RateLimit,
        Token,
    )
    from rattanmill_keeper.client import (
        KeeperClient,
    )
    from rattanmill_keeper.daemon import (
        run_storage,
    )
    from rattanmill_keeper.emptying import (
        DecommissionKeys,
    )
    from rattanmill_keeper.following import (
        Follower,
    )
    from rattanmill_keeper.keeper import (
        Keeper,
    )
    from rattanmill_keeper.loads import LoadExchange
    from rattanmill_keeper.lookup import (
        KeepResult,
        NoMemory,
        NoSuchTurn,
        cache_bytes,
    )
    from rattanmill_keeper.members import (
        MEMBERS_PREFIX,
        Member,
        Members,
    )
    from rattanmill_keeper.messages import (
        CachedPrefix,
        EndpointLoad,
        KeptTurn,
        Reserve,
        Reserved,
        Settle,
        Spent,
        TurnUse,
        Unsure,
        codec,
    )
    from rattanmill_keeper.registration import Registration
    from rattanmill_keeper.relayed import (
        RelayedKv,
    )

__all__ = [
    "MEMBERS_PREFIX",
    "CachedPrefix",
    "DecommissionKeys",
    "EndpointLoad",
    "Follower",
    "KeepResult",
    "Keeper",
    "KeeperClient",
    "KeptTurn",
    "LoadExchange",
    "Member",
    "Members",
    "NoMemory",
    "NoSuchTurn",
    "RateClient",
    "RateExceeded",
    "RateLimit",
    "Registration",
    "RelayedKv",
    "Reserve",
    "Reserved",
    "Settle",
    "Spent",
    "Token",
    "TurnUse",
    "Unsure",
    "cache_bytes",
    "codec",
    "run_storage",
]

__getattr__ = import_on_use(
    __name__,
    {
        "borrowing": (
            "RateClient",
            "RateExceeded",
            "RateLimit",
            "Token",
        ),
        "client": ("KeeperClient",),
        "daemon": ("run_storage",),
        "emptying": ("DecommissionKeys",),
        "following": ("Follower",),
        "keeper": ("Keeper",),
        "loads": ("LoadExchange",),
        "lookup": (
            "KeepResult",
            "NoMemory",
            "NoSuchTurn",
            "cache_bytes",
        ),
        "members": (
            "MEMBERS_PREFIX",
            "Member",
            "Members",
        ),
        "messages": (
            "CachedPrefix",
            "EndpointLoad",
            "KeptTurn",
            "Reserve",
            "Reserved",
            "Settle",
            "Spent",
            "TurnUse",
            "Unsure",
            "codec",
        ),
        "registration": ("Registration",),
        "relayed": ("RelayedKv",),
    },
)
