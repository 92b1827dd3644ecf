"""The operators' HTTP interface, which the command line uses."""

from collections.abc import Mapping

import msgspec
from aiohttp import web

from rattanmill_core import (
    EndpointStatus,
    InstanceStatus,
    Reason,
    Refusal,
    decode_config,
    refuse,
)
from rattanmill_entry.bodies import read_body
from rattanmill_entry.configstore import (
    history_entry,
    read_history,
    store_config,
)
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response
from rattanmill_entry.reach import config_reach, peer_statuses

_MAX_REACH_SECONDS = 30


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
            body=await node.metrics.read(), content_type="text/plain"
        )

    async def status(request: web.Request) -> web.StreamResponse:
        return _json(instance_status(node))

    async def endpoints(request: web.Request) -> web.StreamResponse:
        return _json(endpoint_statuses(node))

    async def show_config(request: web.Request) -> web.StreamResponse:
        return _json(node.config)

    async def apply_config(request: web.Request) -> web.StreamResponse:
        body = await read_body(node, request)
        if isinstance(body, Refusal):
            return problem_response(body, node.metrics)
        return await _apply(node, body)

    async def history(request: web.Request) -> web.StreamResponse:
        documents = await read_history(node)
        if isinstance(documents, list):
            documents = [history_entry(document) for document in documents]
        return _outcome(node, documents)

    async def earlier(request: web.Request) -> web.StreamResponse:
        return await _show_earlier(node, request.match_info["number"])

    async def reach(request: web.Request) -> web.StreamResponse:
        return await _reach(node, request.query)

    return [
        web.get("/healthz", healthz),
        web.get("/readyz", readyz),
        web.get("/metrics", metrics),
        web.get("/v1/admin/status", status),
        web.get("/v1/admin/endpoints", endpoints),
        web.get("/v1/admin/config", show_config),
        web.put("/v1/admin/config", apply_config),
        web.get("/v1/admin/config/reach", reach),
        web.get("/v1/admin/config/history", history),
        web.get("/v1/admin/config/history/{number}", earlier),
    ]


def instance_status(node: Node) -> InstanceStatus:
    """Returns the status of this instance and the known others."""
    lease = "held" if node.lease.is_held() else "lapsed"
    if node.lease.is_held_in_outage():
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
        instances=peer_statuses(node),
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
    return _outcome(node, await store_config(node, document))


async def _show_earlier(node: Node, number: str) -> web.Response:
    documents = await read_history(node)
    if isinstance(documents, Refusal):
        return problem_response(documents, node.metrics)
    found = [d for d in documents if str(d.number) == number]
    if found:
        return _json(found[0])
    kept = f"{documents[-1].number} to {documents[0].number}"
    detail = f"Number {number} is not kept; kept are {kept}."
    return problem_response(refuse(Reason.UNKNOWN_CONFIG, detail), node.metrics)


async def _reach(node: Node, query: Mapping[str, str]) -> web.Response:
    number = query.get("number", str(node.config.number))
    seconds = query.get("seconds", "0")
    if not number.isdecimal() or not seconds.isdecimal():
        detail = "number and seconds: must be whole numbers"
        refusal = refuse(Reason.BAD_REQUEST, detail)
        return problem_response(refusal, node.metrics)
    wait = min(int(seconds), _MAX_REACH_SECONDS)
    return _json(await config_reach(node, int(number), wait))


def _outcome(node: Node, outcome: object) -> web.Response:
    if isinstance(outcome, Refusal):
        return problem_response(outcome, node.metrics)
    return _json(outcome)


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
