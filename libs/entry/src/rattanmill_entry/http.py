"""The callers' interface over HTTP; docs/API.md describes it."""

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
from rattanmill_entry.chatbody import asks_stream
from rattanmill_entry.lifecycle import parse_parent
from rattanmill_entry.node import Node
from rattanmill_entry.problems import (
    note_refusal,
    problem_body,
    problem_response,
)
from rattanmill_entry.replies import Reply, refused
from rattanmill_entry.route import act_shard, dispatch, new_program_shard
from rattanmill_programs import LOOSE_TOKEN
from rattanmill_wire import (
    CallKind,
    CallStart,
    ReplyChunk,
    ReplyEnd,
    ReplyHead,
    ReplyRefused,
)

_PROGRAM = "Rattanmill-Program"
_TURN = "Rattanmill-Turn"
_HISTORY = "Rattanmill-History"
_NON_IDEMPOTENT = "Rattanmill-Non-Idempotent"
_DEADLINE = "Rattanmill-Deadline"
_KEY = "Idempotency-Key"
_DEFAULT_SECONDS = 600.0
# The call itself ends at the deadline and tells more of how.
_GRACE_SECONDS = 0.25
_MOST_SECONDS = 3600.0
_TOKEN = re.compile(r"^[\x21-\x7e]{1,200}$")
# Headers of callers that services get to see; others stay here.
_PASSED_ON = frozenset(("accept", "accept-language", "content-type"))
_USED = frozenset(
    name.lower()
    for name in (
        _PROGRAM,
        _TURN,
        _HISTORY,
        _NON_IDEMPOTENT,
        _DEADLINE,
        _KEY,
        "Rattanmill-Workspace",
    )
)
_VALUE = re.compile(r"^[\x20-\x7e]{0,1000}$")
_SECONDS = re.compile(r"^[0-9]{1,9}(\.[0-9]{1,9})?$")


def caller_routes(node: Node) -> list[web.RouteDef]:
    """Returns the routes for callers."""

    async def create(request: web.Request) -> web.StreamResponse:
        return await _create(node, request)

    async def show(request: web.Request) -> web.StreamResponse:
        return await _of_program(node, request, CallKind.SHOW)

    async def history(request: web.Request) -> web.StreamResponse:
        return await _of_program(node, request, CallKind.HISTORY)

    async def end(request: web.Request) -> web.StreamResponse:
        return await _of_program(node, request, CallKind.END)

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
    # A sub-agent lives in its parent's shard: its budget is carved out of
    # the parent's in one commit.
    parent_id = parse_parent(body)
    if parent_id and not _is_program(parent_id):
        refusal = refuse(Reason.UNKNOWN_PROGRAM, "The parent is no program id.")
        return problem_response(refusal, node.metrics)
    parent = parse_program_id(parent_id)
    shard = new_program_shard(node)
    if parent:
        shard = f"{parent.domain}.{parent.shard}.{LOOSE_TOKEN}"
    start = _start(request, CallKind.CREATE, shard, body)
    return await _answer(node, request, start)


async def _of_program(
    node: Node, request: web.Request, kind: CallKind
) -> web.StreamResponse:
    program = request.match_info["program"]
    if not _is_program(program):
        refusal = refuse(Reason.UNKNOWN_PROGRAM, "That is no program id.")
        return problem_response(refusal, node.metrics)
    start = _start(request, kind, program, b"")
    return await _answer(node, request, start)


async def _chat(node: Node, request: web.Request) -> web.StreamResponse:
    body = await _read_body(node, request)
    program = request.headers.get(_PROGRAM, "")
    if not isinstance(body, Refusal):
        body = _check_chat(request, program) or body
    if isinstance(body, Refusal):
        return problem_response(body, node.metrics)
    start = _start(request, CallKind.CHAT, program, body)
    start.turn = int(request.headers.get(_TURN, "0"))
    start.append = request.headers.get(_HISTORY, "") == "append"
    start.stream = asks_stream(body)
    return await _answer(node, request, start)


def _check_chat(request: web.Request, program: str) -> Refusal | None:
    turn = request.headers.get(_TURN, "0")
    if program and not _is_program(program):
        return refuse(Reason.UNKNOWN_PROGRAM, "That is no program id.")
    if not turn.isdecimal() or len(turn) > 9:
        return refuse(Reason.BAD_REQUEST, f"{_TURN}: must be a number")
    return None


async def _service(node: Node, request: web.Request) -> web.StreamResponse:
    body = await _read_body(node, request)
    if isinstance(body, Refusal):
        return problem_response(body, node.metrics)
    key = request.headers.get(_KEY, "")
    act = request.headers.get(_NON_IDEMPOTENT, "").lower() == "true"
    program = request.headers.get(_PROGRAM, "")
    if act and not _TOKEN.match(key):
        detail = f"{_KEY}: needed, 1 to 200 visible letters"
        refusal = refuse(Reason.BAD_REQUEST, detail)
        return problem_response(refusal, node.metrics)
    if program and not _is_program(program):
        refusal = refuse(Reason.UNKNOWN_PROGRAM, "That is no program id.")
        return problem_response(refusal, node.metrics)
    if not act:
        program = ""
    elif not program:
        workspace = workspace_of(request)
        program = act_shard(node, workspace, key)
    start = _start(request, CallKind.SERVICE, program, body)
    start.service = request.match_info["service"]
    start.method = request.method
    start.path = _service_path(request)
    start.key = key
    start.act = act
    return await _answer(node, request, start)


def _service_path(request: web.Request) -> str:
    """Returns the path after the service's name, with its query, as sent."""
    url = request.rel_url
    path = url.raw_path.split("/", 4)[4]
    return f"{path}?{url.raw_query_string}" if url.raw_query_string else path


def _is_program(text: str) -> bool:
    """Whether a caller may name this; holders of loose acts are ours."""
    parsed = parse_program_id(text)
    return parsed is not None and parsed.token != LOOSE_TOKEN


def _start(
    request: web.Request, kind: CallKind, program: str, body: bytes
) -> CallStart:
    headers = [
        (str(name), value)
        for name, value in request.headers.items()
        if name.lower() in _PASSED_ON
    ]
    seconds = float(request.headers.get(_DEADLINE, _DEFAULT_SECONDS))
    return CallStart(
        call=new_id(),
        kind=kind,
        program=program,
        method=request.method,
        headers=headers,
        body=body,
        workspace=workspace_of(request),
        seconds_left=max(0.0, min(seconds, _MOST_SECONDS)),
    )


async def _read_body(node: Node, request: web.Request) -> bytes | Refusal:
    wrong = _wrong_header(request)
    if wrong:
        return refuse(Reason.BAD_REQUEST, wrong)
    seconds = node.settings.receive_seconds
    try:
        async with asyncio.timeout(seconds):
            return await request.read()
    except web.HTTPRequestEntityTooLarge:
        detail = f"The most is {node.settings.body_bytes} bytes."
        return refuse(Reason.BODY_TOO_LARGE, detail)
    except TimeoutError:
        detail = f"The body did not arrive within {seconds:g} s."
        return refuse(Reason.BODY_TOO_SLOW, detail)


def _wrong_header(request: web.Request) -> str:
    """Returns what is wrong with a header that we use or pass on.

    Values with control characters or bytes beyond ASCII could not be passed
    on to other instances, or would mean something else to an endpoint.
    """
    for name, value in request.headers.items():
        used = name.lower() in _PASSED_ON or name.lower() in _USED
        if used and not _VALUE.match(value):
            return f"{name}: must be at most 1000 printable ASCII letters"
    deadline = request.headers.get(_DEADLINE, "1")
    if not _SECONDS.match(deadline):
        return f"{_DEADLINE}: must be a number of seconds"
    return ""


async def _answer(
    node: Node, request: web.Request, start: CallStart
) -> web.StreamResponse:
    began = asyncio.get_running_loop().time()
    with log_ids(start.program, start.call):
        try:
            return await _pass_on(node, request, start, began)
        finally:
            seconds = asyncio.get_running_loop().time() - began
            node.metrics.observe(
                "rattanmill_request_seconds", seconds, kind=start.kind
            )


async def _pass_on(
    node: Node, request: web.Request, start: CallStart, began: float
) -> web.StreamResponse:
    """Turns the replies of a call into an HTTP answer."""
    node.metrics.count("rattanmill_requests", kind=start.kind)
    response = None
    streamed = False
    async with contextlib.aclosing(_in_time(node, start)) as replies:
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
                        seconds = asyncio.get_running_loop().time() - began
                        node.metrics.observe(
                            "rattanmill_first_token_seconds", seconds
                        )
                    await response.write(reply.data)
                case ReplyEnd() if response:
                    await response.write_eof()
                    return response
                case ReplyRefused() if response is None:
                    return problem_response(reply.refusal, node.metrics)
                case ReplyRefused():
                    note_refusal(reply.refusal, node.metrics)
                    await _cut(request, response, reply.refusal, streamed)
                    return response
    detail = "The call ended without an answer."
    refusal = refuse(Reason.INTERNAL, detail, ran=Ran.UNKNOWN)
    return problem_response(refusal, node.metrics)


async def _in_time(node: Node, start: CallStart) -> AsyncIterator[Reply]:
    """Yields the replies of a call, the first within the caller's deadline.

    What the call has set going is finished where it must be; the caller finds
    a turn or an act when it asks again.
    """
    replies = dispatch(node, start)
    async with contextlib.aclosing(replies):
        try:
            async with asyncio.timeout(start.seconds_left + _GRACE_SECONDS):
                first = await anext(replies, None)
        except TimeoutError:
            detail = "There was no answer before the deadline."
            yield refused(start, refuse(Reason.DEADLINE, detail))
            return
        if first is not None:
            yield first
        async for reply in replies:
            yield reply


async def _cut(
    request: web.Request,
    response: web.StreamResponse,
    refusal: Refusal,
    streamed: bool,
) -> None:
    """Ends an answer that has begun so that it cannot pass for a whole one."""
    if streamed:
        await response.write(error_event(problem_body(refusal)))
        await response.write_eof()
    elif request.transport:
        request.transport.abort()
