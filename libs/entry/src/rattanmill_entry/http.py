"""The callers' HTTP interface, which docs/API.md describes."""

import asyncio
import contextlib
import re
from collections.abc import AsyncIterator

from aiohttp import web

from rattanmill_core import (
    Ran,
    Reason,
    Refusal,
    log_ids,
    new_id,
    parse_program_id,
    refuse,
)
from rattanmill_entry.access import workspace_of
from rattanmill_entry.answers import error_event
from rattanmill_entry.bodies import read_body
from rattanmill_entry.chatbody import requests_stream
from rattanmill_entry.lifecycle import parse_parent
from rattanmill_entry.node import Node
from rattanmill_entry.problems import (
    problem_body,
    problem_response,
    record_refusal,
)
from rattanmill_entry.replies import Reply, refused
from rattanmill_entry.route import act_shard, dispatch, new_program_shard
from rattanmill_programs import STANDALONE_TOKEN
from rattanmill_wire import (
    CallKind,
    CallStart,
    ReplyChunk,
    ReplyEnd,
    ReplyHead,
    ReplyRefused,
)

_PROGRAM_HEADER = "Rattanmill-Program"
_TURN_HEADER = "Rattanmill-Turn"
_HISTORY_HEADER = "Rattanmill-History"
_NON_IDEMPOTENT_HEADER = "Rattanmill-Non-Idempotent"
_DEADLINE_HEADER = "Rattanmill-Deadline"
_IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
_DEFAULT_DEADLINE_SECONDS = 600.0
# The call itself ends at the deadline, with a more specific refusal.
_GRACE_SECONDS = 0.25
_MAX_DEADLINE_SECONDS = 3600.0
_IDEMPOTENCY_KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,200}$")
# Callers' headers that are forwarded to services; others are not.
_FORWARDED_HEADERS = frozenset(("accept", "accept-language", "content-type"))
_INTERPRETED_HEADERS = frozenset(
    name.lower()
    for name in (
        _PROGRAM_HEADER,
        _TURN_HEADER,
        _HISTORY_HEADER,
        _NON_IDEMPOTENT_HEADER,
        _DEADLINE_HEADER,
        _IDEMPOTENCY_KEY_HEADER,
        "Rattanmill-Workspace",
    )
)
_HEADER_VALUE_PATTERN = re.compile(r"^[\x20-\x7e]{0,1000}$")
_SECONDS_PATTERN = re.compile(r"^[0-9]{1,9}(\.[0-9]{1,9})?$")


def caller_routes(node: Node) -> list[web.RouteDef]:
    """Returns the routes for callers."""

    async def create(request: web.Request) -> web.StreamResponse:
        return await _create(node, request)

    async def show(request: web.Request) -> web.StreamResponse:
        return await _program_call(node, request, CallKind.SHOW)

    async def history(request: web.Request) -> web.StreamResponse:
        return await _program_call(node, request, CallKind.HISTORY)

    async def end(request: web.Request) -> web.StreamResponse:
        return await _program_call(node, request, CallKind.END)

    async def chat(request: web.Request) -> web.StreamResponse:
        return await _chat(node, request)

    async def service(request: web.Request) -> web.StreamResponse:
        return await _service(node, request)

    return [
        web.post("/v1/programs", create),
        web.get("/v1/programs/{program}", show),
        web.get("/v1/programs/{program}/history", history),
        web.delete("/v1/programs/{program}", end),
        web.get("/v1/admin/programs/{program}", show),
        web.delete("/v1/admin/programs/{program}", end),
        web.post("/v1/chat/completions", chat),
        web.route("*", "/v1/services/{service}/{path:.*}", service),
    ]


async def _create(node: Node, request: web.Request) -> web.StreamResponse:
    body = await _read_body(node, request)
    if isinstance(body, Refusal):
        return problem_response(body, node.metrics)
    # A sub-agent is stored in its parent's shard, since its budget is
    # deducted from the parent's in one commit.
    parent_id = parse_parent(body)
    if parent_id and not _is_program_id(parent_id):
        refusal = refuse(
            Reason.UNKNOWN_PROGRAM, "The parent is not a program id."
        )
        return problem_response(refusal, node.metrics)
    parent = parse_program_id(parent_id)
    shard = new_program_shard(node)
    if parent:
        shard = f"{parent.domain}.{parent.shard}.{STANDALONE_TOKEN}"
    start = _new_call(request, CallKind.CREATE, shard, body)
    return await _respond(node, request, start)


async def _program_call(
    node: Node, request: web.Request, kind: CallKind
) -> web.StreamResponse:
    program = request.match_info["program"]
    if not _is_program_id(program):
        refusal = refuse(Reason.UNKNOWN_PROGRAM, "This is not a program id.")
        return problem_response(refusal, node.metrics)
    start = _new_call(request, kind, program, b"")
    return await _respond(node, request, start)


async def _chat(node: Node, request: web.Request) -> web.StreamResponse:
    body = await _read_body(node, request)
    program = request.headers.get(_PROGRAM_HEADER, "")
    if not isinstance(body, Refusal):
        body = _check_chat(request, program) or body
    if isinstance(body, Refusal):
        return problem_response(body, node.metrics)
    start = _new_call(request, CallKind.CHAT, program, body)
    start.turn = int(request.headers.get(_TURN_HEADER, "0"))
    start.append = request.headers.get(_HISTORY_HEADER, "") == "append"
    start.stream = requests_stream(body)
    return await _respond(node, request, start)


def _check_chat(request: web.Request, program: str) -> Refusal | None:
    turn = request.headers.get(_TURN_HEADER, "0")
    if program and not _is_program_id(program):
        return refuse(Reason.UNKNOWN_PROGRAM, "This is not a program id.")
    if not turn.isdecimal() or len(turn) > 9:
        return refuse(Reason.BAD_REQUEST, f"{_TURN_HEADER}: must be a number")
    return None


async def _service(node: Node, request: web.Request) -> web.StreamResponse:
    body = await _read_body(node, request)
    if isinstance(body, Refusal):
        return problem_response(body, node.metrics)
    key = request.headers.get(_IDEMPOTENCY_KEY_HEADER, "")
    act = request.headers.get(_NON_IDEMPOTENT_HEADER, "").lower() == "true"
    program = request.headers.get(_PROGRAM_HEADER, "")
    if act and not _IDEMPOTENCY_KEY_PATTERN.match(key):
        detail = (
            f"{_IDEMPOTENCY_KEY_HEADER}: needed, 1 to 200 visible characters"
        )
        refusal = refuse(Reason.BAD_REQUEST, detail)
        return problem_response(refusal, node.metrics)
    if program and not _is_program_id(program):
        refusal = refuse(Reason.UNKNOWN_PROGRAM, "This is not a program id.")
        return problem_response(refusal, node.metrics)
    if not act:
        program = ""
    elif not program:
        workspace = workspace_of(request)
        program = act_shard(node, workspace, key)
    start = _new_call(request, CallKind.SERVICE, program, body)
    start.service = request.match_info["service"]
    start.method = request.method
    start.path = _service_path(request)
    start.key = key
    start.act = act
    return await _respond(node, request, start)


def _service_path(request: web.Request) -> str:
    """Returns the raw path after the service's name, with its query."""
    url = request.rel_url
    path = url.raw_path.split("/", 4)[4]
    return f"{path}?{url.raw_query_string}" if url.raw_query_string else path


def _is_program_id(text: str) -> bool:
    """Whether a text is a program id that callers may use.

    Ids of programs for standalone acts are internal.
    """
    parsed = parse_program_id(text)
    return parsed is not None and parsed.token != STANDALONE_TOKEN


def _new_call(
    request: web.Request, kind: CallKind, program: str, body: bytes
) -> CallStart:
    headers = [
        (str(name), value)
        for name, value in request.headers.items()
        if name.lower() in _FORWARDED_HEADERS
    ]
    seconds = float(
        request.headers.get(_DEADLINE_HEADER, _DEFAULT_DEADLINE_SECONDS)
    )
    return CallStart(
        call=new_id(),
        kind=kind,
        program=program,
        method=request.method,
        headers=headers,
        body=body,
        workspace=workspace_of(request),
        seconds_left=max(0.0, min(seconds, _MAX_DEADLINE_SECONDS)),
    )


async def _read_body(node: Node, request: web.Request) -> bytes | Refusal:
    error = _header_error(request)
    if error:
        return refuse(Reason.BAD_REQUEST, error)
    return await read_body(node, request)


def _header_error(request: web.Request) -> str:
    """Returns the error in an interpreted or forwarded header, or "".

    Values with control characters or non-ASCII bytes could not be forwarded
    to other instances, or an endpoint would interpret them differently.
    """
    for name, value in request.headers.items():
        checked = (
            name.lower() in _FORWARDED_HEADERS
            or name.lower() in _INTERPRETED_HEADERS
        )
        if checked and not _HEADER_VALUE_PATTERN.match(value):
            return f"{name}: must be at most 1000 printable ASCII characters"
    deadline = request.headers.get(_DEADLINE_HEADER, "1")
    if not _SECONDS_PATTERN.match(deadline):
        return f"{_DEADLINE_HEADER}: must be a number of seconds"
    return ""


async def _respond(
    node: Node, request: web.Request, start: CallStart
) -> web.StreamResponse:
    started_at = asyncio.get_running_loop().time()
    with log_ids(start.program, start.call):
        try:
            return await _send_replies(node, request, start, started_at)
        finally:
            seconds = asyncio.get_running_loop().time() - started_at
            node.metrics.observe(
                "rattanmill_request_seconds", seconds, kind=start.kind
            )


async def _send_replies(
    node: Node, request: web.Request, start: CallStart, started_at: float
) -> web.StreamResponse:
    """Converts the replies of a call to an HTTP response."""
    node.metrics.count("rattanmill_requests", kind=start.kind)
    response = None
    streamed = False
    async with contextlib.aclosing(
        _replies_before_deadline(node, start)
    ) as replies:
        async for reply in replies:
            match reply:
                case ReplyHead():
                    response = web.StreamResponse(status=reply.status)
                    for name, value in reply.headers:
                        response.headers.add(name, value)
                    if node.draining:
                        response.force_close()
                    streamed = start.stream
                    await response.prepare(request)
                case ReplyChunk() if response:
                    if streamed and not reply.seq:
                        seconds = asyncio.get_running_loop().time() - started_at
                        node.metrics.observe(
                            "rattanmill_first_token_seconds", seconds
                        )
                    await response.write(reply.data)
                case ReplyEnd() if response:
                    await response.write_eof()
                    return response
                case ReplyRefused():
                    refusal = reply.refusal
                    break
        else:
            detail = "The call ended before its response was complete."
            refusal = refuse(Reason.INTERNAL, detail, ran=Ran.UNKNOWN)
    if response is None:
        return problem_response(refusal, node.metrics)
    record_refusal(refusal, node.metrics)
    await _end_incomplete(request, response, refusal, streamed)
    return response


async def _replies_before_deadline(
    node: Node, start: CallStart
) -> AsyncIterator[Reply]:
    """Yields the replies of a call, the first before the caller's deadline.

    Work that must be completed continues after the deadline; the caller finds
    the turn or act when it repeats the request.
    """
    replies = dispatch(node, start)
    async with contextlib.aclosing(replies):
        try:
            async with asyncio.timeout(start.seconds_left + _GRACE_SECONDS):
                first = await anext(replies, None)
        except TimeoutError:
            detail = "There was no response before the deadline."
            yield refused(start, refuse(Reason.DEADLINE, detail))
            return
        if first is not None:
            yield first
        async for reply in replies:
            yield reply


async def _end_incomplete(
    request: web.Request,
    response: web.StreamResponse,
    refusal: Refusal,
    streamed: bool,
) -> None:
    """Ends a started response so that it is recognized as incomplete."""
    if streamed:
        await response.write(error_event(problem_body(refusal)))
        await response.write_eof()
    elif request.transport:
        request.transport.abort()
