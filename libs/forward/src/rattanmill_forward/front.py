"""The life of a caller's request in a front."""

import asyncio

from aiohttp import web

from rattanmill_core import (
    Metrics,
    Reason,
    Refusal,
    log_event,
    loop_seconds,
    refuse,
)
from rattanmill_forward.bodies import Rest, read_body
from rattanmill_forward.calls import AnswerHead, Call, Dialect, Headers
from rattanmill_forward.dispatch import Dispatcher, Job, Running
from rattanmill_forward.events import Event, EventReader
from rattanmill_forward.exchange import BrokenError
from rattanmill_forward.routes import Kind, Limits, Route, RouteTable, Service
from rattanmill_forward.turns import Turn, Turns

# Answers up to this size are read whole before the caller gets the first
# byte: one that breaks off before can still be had elsewhere.
_WHOLE_BYTES = 256 * 1024
# The caller's deadline and the operators' time-out are met by this much.
_ANSWER_MARGIN_SECONDS = 0.02


class Front:
    """Serves callers.

    Attributes:
        table: The configuration in force, or None.
        ending: Whether the process is shutting down.
        active: Requests under way.

    Args:
        dialect: How callers and endpoints are spoken to.
        dispatcher: Sends calls to endpoints.
        turns: Budgets and histories.
        metrics: Counters and times.
    """

    def __init__(
        self,
        dialect: Dialect,
        dispatcher: Dispatcher,
        turns: Turns,
        metrics: Metrics,
    ) -> None:
        self.dialect = dialect
        self.dispatcher = dispatcher
        self.turns = turns
        self.metrics = metrics
        self.table: RouteTable | None = None
        self.ending = False
        self.active = 0

    def limits(self) -> Limits:
        """Returns the operators' bounds that are in force."""
        return self.table.limits if self.table else Limits()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        self.active += 1
        try:
            return await self._serve(request)
        finally:
            self.active -= 1

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = loop_seconds()
        call = self.dialect.read_call(
            request.method, request.raw_path, _raw_headers(request)
        )
        if isinstance(call, str):
            return self._refuse(request, None, refuse(Reason.BAD_REQUEST, call))
        call.arrived = arrived
        route = self._admit(request, call)
        if isinstance(route, Refusal):
            return self._refuse(request, call, route)
        table = self.table
        read = await self._read(request, call, route)
        if isinstance(read, Refusal):
            return self._refuse(request, call, read)
        call.body, rest = read
        service = table.service_of(route)
        log_event(
            "admitted",
            request=call.request,
            program=call.program,
            route=route.name,
            version=table.version,
            service=service.name,
            previous=call.previous,
            bytes=len(call.body),
            streamed=rest is not None,
            left_ms=_ms(call.seconds_left),
            finish_ms=_ms(call.finish_seconds),
        )
        try:
            return await self._run(request, call, rest, route, service)
        except asyncio.CancelledError:
            log_event("caller_left", request=call.request)
            raise

    def _admit(self, request: web.BaseRequest, call: Call) -> Route | Refusal:
        """Finds a request's route and checks what its head says."""
        if self.table is None:
            return refuse(Reason.NOT_CONFIGURED, "no configuration yet")
        limits = self.table.limits
        if sum(len(k) + len(v) + 4 for k, v in request.raw_headers) > (
            limits.header_bytes
        ):
            return refuse(
                Reason.HEADERS_TOO_LARGE,
                f"headers of more than {limits.header_bytes} bytes",
            )
        route = self.table.match(call.host, call.path)
        if route is None:
            return refuse(Reason.NO_ROUTE, "no route matches host and path")
        return route

    async def _read(
        self, request: web.BaseRequest, call: Call, route: Route
    ) -> tuple[bytes, Rest | None] | Refusal:
        """Reads a request's body while there is time to serve it."""
        is_whole = route.kind is Kind.STREAM
        try:
            async with asyncio.timeout_at(
                call.arrived + _patience(call, route)
            ):
                return await read_body(
                    request, self.limits().body_bytes, is_whole
                )
        except TimeoutError:
            return refuse(Reason.BODY_TOO_SLOW, "the body took too long")

    async def _run(
        self,
        request: web.BaseRequest,
        call: Call,
        rest: Rest | None,
        route: Route,
        service: Service,
    ) -> web.StreamResponse:
        turn = Turn(call.body)
        if route.kind is Kind.STREAM:
            turn = await self.turns.begin(call, route)
            if isinstance(turn, Refusal):
                return self._refuse(request, call, turn)
        job = Job(
            call,
            route,
            service,
            turn.body,
            call.arrived + _patience(call, route),
            last_event=call.last_event,
            rest=rest,
        )
        try:
            if route.kind is Kind.STREAM:
                return await self._stream(request, job, turn)
            return await self._plain(request, job)
        finally:
            self.turns.settle(call, turn, service)

    async def _plain(
        self, request: web.BaseRequest, job: Job
    ) -> web.StreamResponse:
        """Passes on the answer of a plain service."""
        while True:
            async with self.dispatcher.answered(job) as running:
                if isinstance(running, Refusal):
                    return self._refuse(request, job.call, running)
                try:
                    return await self._pass_whole(request, job, running)
                except (BrokenError, TimeoutError) as error:
                    refusal = self.dispatcher.cut(job, running, error)
            if refusal:
                return self._refuse(request, job.call, refusal)

    async def _pass_whole(
        self, request: web.BaseRequest, job: Job, running: Running
    ) -> web.StreamResponse:
        async with asyncio.timeout_at(job.deadline):
            chunks = running.answer.chunks()
            body = bytearray()
            async for chunk in chunks:
                body += chunk
                if len(body) > _WHOLE_BYTES:
                    break
            if running.answer.ended:
                self.dispatcher.finished(job, running)
                self._log_answered(job, running, len(body))
                return self._response(running.answer.head, bytes(body))
        response = await self._begin(request, running.answer.head)
        try:
            async with asyncio.timeout_at(job.deadline):
                await response.write(bytes(body))
                async for chunk in chunks:
                    await response.write(chunk)
        except (BrokenError, TimeoutError) as error:
            return self._break_off(request, job, response, str(error))
        self._log_answered(job, running, len(body))
        await response.write_eof()
        return response

    async def _stream(
        self, request: web.BaseRequest, job: Job, turn: Turn
    ) -> web.StreamResponse:
        """Passes on events as they come, from several runs where allowed."""
        response: web.StreamResponse | None = None
        while True:
            async with self.dispatcher.answered(job) as running:
                if isinstance(running, Refusal):
                    if response is None:
                        return self._refuse(request, job.call, running)
                    return self._break_off(
                        request, job, response, running.detail
                    )
                head = running.answer.head
                if response is None:
                    response = await self._begin(request, head)
                try:
                    async with asyncio.timeout_at(job.deadline):
                        await self._pass_events(response, job, running, turn)
                    return await self._end(
                        request, job, running, response, turn
                    )
                except (BrokenError, TimeoutError) as error:
                    refusal = self.dispatcher.cut(job, running, error)
            if refusal:
                return self._break_off(request, job, response, refusal.detail)

    async def _pass_events(
        self,
        response: web.StreamResponse,
        job: Job,
        running: Running,
        turn: Turn,
    ) -> None:
        reader = EventReader()
        async for chunk in running.answer.chunks():
            for event in reader.feed(chunk):
                self.dispatcher.event_came(job, running)
                await self._pass_event(response, job, turn, event)
                if turn.passed == 1:
                    self._first_event(job)
        if reader.rest:
            await response.write(reader.rest)

    async def _pass_event(
        self, response: web.StreamResponse, job: Job, turn: Turn, event: Event
    ) -> None:
        # Counted first: what is written may reach the caller even if the
        # write does not return.
        turn.passed += 1
        if job.route.keeps_turns:
            turn.events.append(event.data)
        if event.event_id:
            job.last_event = event.event_id
        await response.write(event.raw)

    async def _end(
        self,
        request: web.BaseRequest,
        job: Job,
        running: Running,
        response: web.StreamResponse,
        turn: Turn,
    ) -> web.StreamResponse:
        """Ends an answer, once the turn is where the next one finds it."""
        if job.route.keeps_turns and running.answer.head.is_success:
            kept_by = await self.turns.keep(job.call, job.route, turn)
            if not kept_by.domains:
                return self._break_off(
                    request, job, response, "the turn could not be kept"
                )
        self.dispatcher.finished(job, running)
        self._log_answered(job, running, turn.passed)
        await response.write_eof()
        return response

    async def _begin(
        self, request: web.BaseRequest, head: AnswerHead
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=head.status)
        _set_headers(response, head.headers)
        response.enable_chunked_encoding()
        self._close_if_ending(response)
        await response.prepare(request)
        return response

    def _response(self, head: AnswerHead, body: bytes) -> web.Response:
        response = web.Response(status=head.status, body=body)
        _set_headers(response, head.headers)
        self._close_if_ending(response)
        return response

    def _break_off(
        self,
        request: web.BaseRequest,
        job: Job,
        response: web.StreamResponse,
        why: str,
    ) -> web.StreamResponse:
        """Ends an answer so that it cannot look complete."""
        self.metrics.count("rattanmill_answers_cut")
        log_event(
            "broken_off",
            request=job.call.request,
            program=job.call.program,
            why=why[:200],
            left_ms=_ms(job.left()),
        )
        if request.transport is not None:
            request.transport.abort()
        return response

    def _refuse(
        self, request: web.BaseRequest, call: Call | None, refusal: Refusal
    ) -> web.Response:
        self.metrics.refused(refusal)
        head = self.dialect.write_refusal(refusal)
        log_event(
            "refused",
            request=call.request if call else None,
            program=call.program if call else None,
            reason=refusal.reason,
            status=head.status,
            ran=refusal.ran,
            retry_after_s=refusal.retry_after,
            detail=refusal.detail,
            after_ms=_ms(loop_seconds() - call.arrived) if call else None,
        )
        response = web.Response(status=head.status, body=head.body)
        _set_headers(response, head.headers)
        self._close_if_ending(response)
        if self.turns.keepers.reach.is_cut_off():
            # The caller's next connection goes to a domain that can serve it;
            # on this one it would be refused for as long as the cut lasts.
            response.force_close()
        return response

    def _close_if_ending(self, response: web.StreamResponse) -> None:
        if self.ending:
            response.force_close()

    def _first_event(self, job: Job) -> None:
        self.metrics.observe(
            "rattanmill_first_token_seconds", loop_seconds() - job.call.arrived
        )

    def _log_answered(self, job: Job, running: Running, size: int) -> None:
        seconds = loop_seconds() - job.call.arrived
        self.metrics.observe("rattanmill_answer_seconds", seconds)
        log_event(
            "answered",
            request=job.call.request,
            program=job.call.program,
            endpoint=running.endpoint.name,
            status=running.answer.head.status,
            after_ms=_ms(seconds),
            size=size,
        )


def _patience(call: Call, route: Route) -> float:
    """Returns how long a request may take, in seconds from its arrival."""
    bounds = [route.timeout_seconds]
    if call.seconds_left is not None:
        bounds.append(call.seconds_left)
    return max(0.0, min(bounds) - _ANSWER_MARGIN_SECONDS)


def _raw_headers(request: web.BaseRequest) -> Headers:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    ]


def _set_headers(response: web.StreamResponse, headers: Headers) -> None:
    if any(name.lower() == "content-type" for name, _ in headers):
        response.headers.popall("Content-Type", None)
    for name, value in headers:
        response.headers.add(name, value)


def _ms(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
