"""Fronts: callers' requests, passed on to the endpoint that suits them."""

from rattanmill_forward.calls import (
    AnswerHead,
    Call,
    Dialect,
    Headers,
    Load,
    PromptPart,
    RefusalHead,
)
from rattanmill_forward.daemon import Sources, run_front
from rattanmill_forward.endpoints import Endpoint
from rattanmill_forward.routes import (
    Backend,
    EngineTraits,
    Kind,
    Limits,
    Route,
    RouteTable,
    Service,
    make_table,
)

__all__ = [
    "AnswerHead",
    "Backend",
    "Call",
    "Dialect",
    "Endpoint",
    "EngineTraits",
    "Headers",
    "Kind",
    "Limits",
    "Load",
    "PromptPart",
    "RefusalHead",
    "Route",
    "RouteTable",
    "Service",
    "Sources",
    "make_table",
    "run_front",
]
