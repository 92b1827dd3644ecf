"""The operators' interface over HTTP, for the command line."""

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from rattanmill_core import (
    ConfigDocument,
    Reason,
    Refusal,
    decode_config,
    encode_config,
    new_id,
    refuse,
)
from rattanmill_entry.gossip import take_config
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response
from rattanmill_platform import Conflict, Found, Missing, Unavailable
from rattanmill_platform.live import CONFIG_KEY

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EndpointStatus(msgspec.Struct):
    """An endpoint as this instance sees it."""

    name: str
    kind: str
    service: str
    domain: str
    state: str
    in_flight: int
    models: list[str]


class InstanceStatus(msgspec.Struct):
    """What an instance answers to ``GET /v1/admin/status``."""

    name: str
    domain: str
    incarnation: str
    config_number: int
    lease: str
    draining: bool
    shards: list[str]
    programs: int
    instances: list[dict]
    owners: dict[str, list[str]]


def admin_routes(node: Node) -> list[web.RouteDef]:
    """Returns the routes for operators and probes."""

    async def healthz(request: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.StreamResponse:
        ready = bool(node.config.number or node.live.synced)
        ready = ready and not node.draining
        text = "ready\n" if ready else "not ready\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def metrics(request: web.Request) -> web.StreamResponse:
        return web.Response(
            body=node.metrics.exposition(), content_type="text/plain"
        )

    async def status(request: web.Request) -> web.StreamResponse:
        return _json(instance_status(node))

    async def endpoints(request: web.Request) -> web.StreamResponse:
        return _json(endpoint_statuses(node))

    async def show_config(request: web.Request) -> web.StreamResponse:
        return _json(node.config)

    async def apply_config(request: web.Request) -> web.StreamResponse:
        return await _apply(node, await request.read())

    return [
        web.get("/healthz", healthz),
        web.get("/readyz", readyz),
        web.get("/metrics", metrics),
        web.get("/v1/admin/status", status),
        web.get("/v1/admin/endpoints", endpoints),
        web.get("/v1/admin/config", show_config),
        web.put("/v1/admin/config", apply_config),
    ]


def instance_status(node: Node) -> InstanceStatus:
    """Returns this instance's view of itself and the others."""
    lease = "held" if node.lease.holds() else "lapsed"
    if node.lease.outage():
        lease = "outage"
    return InstanceStatus(
        name=node.settings.name,
        domain=node.settings.domain,
        incarnation=node.incarnation,
        config_number=node.config.number,
        lease=lease,
        draining=node.draining,
        shards=[f"{domain}.{number}" for domain, number in node.shards],
        programs=sum(len(s.programs) for s in node.shards.values()),
        instances=[
            msgspec.to_builtins(record)
            for record in node.live.instances.values()
        ],
        owners={
            domain: [owner.owner for owner in owners.shards]
            for domain, owners in node.live.shards.items()
        },
    )


def endpoint_statuses(node: Node) -> list[EndpointStatus]:
    """Returns all endpoints as this instance sees them."""
    return [
        EndpointStatus(
            name=state.endpoint.name,
            kind=state.endpoint.kind,
            service=state.endpoint.service,
            domain=state.endpoint.domain,
            state="drained"
            if state.endpoint.name in node.table.drained
            else state.phase,
            in_flight=state.in_flight,
            models=state.endpoint.models,
        )
        for state in node.table.states.values()
    ]


async def _apply(node: Node, body: bytes) -> web.Response:
    document = decode_config(body)
    if isinstance(document, list):
        refusal = refuse(Reason.CONFIG_INVALID, "; ".join(document))
        return problem_response(refusal, node.metrics)
    outcome = await store_config(node, document)
    if isinstance(outcome, Refusal):
        return problem_response(outcome, node.metrics)
    return _json(outcome)


async def store_config(
    node: Node, document: ConfigDocument
) -> ConfigDocument | Refusal:
    """Stores a document that was made from number ``document.number``.

    Its number is raised by one and a change id given. A write whose answer
    is lost is settled by reading: the change id tells whose it was.
    """
    found = await node.kv.read(CONFIG_KEY)
    if isinstance(found, Unavailable):
        detail = "The key-value service does not answer."
        return refuse(Reason.STORE_UNAVAILABLE, detail)
    current = 0
    if isinstance(found, Found):
        stored = decode_config(found.entry.value)
        if isinstance(stored, ConfigDocument):
            current = stored.number
    if document.number != current:
        detail = f"Number {current} is in force, not {document.number}."
        return refuse(Reason.CONFIG_CONFLICT, detail)
    changed = msgspec.structs.replace(
        document, number=current + 1, change=document.change or new_id()
    )
    revision = 0 if isinstance(found, Missing) else found.entry.revision
    outcome = await node.kv.write(CONFIG_KEY, encode_config(changed), revision)
    if not await _is_stored(node, changed, outcome):
        detail = "Another change was stored first; read and apply again."
        if isinstance(outcome, Unavailable):
            detail = "Whether the change was stored is not known; read it."
            return refuse(Reason.STORE_UNAVAILABLE, detail, ran="unknown")
        return refuse(Reason.CONFIG_CONFLICT, detail)
    take_config(node, changed)
    return changed


async def _is_stored(
    node: Node, changed: ConfigDocument, outcome: object
) -> bool:
    if not isinstance(outcome, Conflict | Unavailable):
        return True
    found = await node.kv.read(CONFIG_KEY)
    if not isinstance(found, Found):
        return False
    stored = decode_config(found.entry.value)
    return (
        isinstance(stored, ConfigDocument) and stored.change == changed.change
    )


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
