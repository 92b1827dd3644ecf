"""Front ends, which forward callers' requests to suitable endpoints."""

from typing import TYPE_CHECKING

from rattanmill_core import import_on_use

if TYPE_CHECKING:
    from rattanmill_forward.calls import (
        Call,
        Framing,
        Headers,
        HttpCodec,
        Load,
        PromptPart,
        RefusalResponse,
        ResponseHead,
    )
    from rattanmill_forward.daemon import (
        StoreSchema,
        run_front,
    )
    from rattanmill_forward.endpoints import (
        Endpoint,
    )
    from rattanmill_forward.routes import (
        Backend,
        EngineConfig,
        Limits,
        Route,
        RouteKind,
        RouteTable,
        Service,
        build_route_table,
    )
    from rattanmill_forward.workspaces import (
        KeyRing,
        Workspace,
    )

__all__ = [
    "ResponseHead",
    "Backend",
    "Call",
    "HttpCodec",
    "Endpoint",
    "EngineConfig",
    "Framing",
    "Headers",
    "KeyRing",
    "RouteKind",
    "Limits",
    "Load",
    "PromptPart",
    "RefusalResponse",
    "Route",
    "RouteTable",
    "Service",
    "StoreSchema",
    "Workspace",
    "build_route_table",
    "run_front",
]

__getattr__ = import_on_use(
    __name__,
    {
        "calls": (
            "Call",
            "Framing",
            "Headers",
            "HttpCodec",
            "Load",
            "PromptPart",
            "RefusalResponse",
            "ResponseHead",
        ),
        "daemon": (
            "StoreSchema",
            "run_front",
        ),
        "endpoints": ("Endpoint",),
        "routes": (
            "Backend",
            "EngineConfig",
            "Limits",
            "Route",
            "RouteKind",
            "RouteTable",
            "Service",
            "build_route_table",
        ),
        "workspaces": (
            "KeyRing",
            "Workspace",
        ),
    },
)
