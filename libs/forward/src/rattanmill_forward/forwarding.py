"""Forwards the responses of endpoints to callers."""

import asyncio
import enum
import math
from collections.abc import AsyncIterator, Callable

from rattanmill_core import (
    HeldMemory,
    Metrics,
    Refusal,
    log_event,
    loop_seconds,
)
from rattanmill_forward import web
from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.connection import BrokenError, ExcessError
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.events import Block
from rattanmill_forward.jobs import Job, RunningCall
from rattanmill_forward.joining import EndedEarlyError, NotContinuedError
from rattanmill_forward.responses import rounded_ms, set_headers
from rattanmill_forward.turns import Turn, TurnManager
from rattanmill_forward.writing import PIECE_BYTES, BufferedBody, write_paced

# A turn is held here until it is stored, and read again with each later one.
# Those in use have less than 32 KB.
_MAX_TURN_BYTES = 1024 * 1024


class StreamEnd(enum.StrEnum):
    """How an attempt of a stream ended."""

    COMPLETE = "complete"
    CUT_OFF = "cut_off"
    DEADLINE = "deadline"
    ENDED_EARLY = "ended_early"
    NOT_CONTINUED = "not_continued"
    EXCESS = "excess"


class Forwarder:
    """Forwards responses, from several attempts where that is allowed.

    Args:
        dispatcher: Sends calls to endpoints.
        turns: Stores finished turns.
        metrics: Counters and timings.
        is_draining: Returns whether callers are to close their connections.
        hold: Returns memory for a response, nothing so far.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        turns: TurnManager,
        metrics: Metrics,
        is_draining: Callable[[], bool],
        hold: Callable[[], HeldMemory],
    ) -> None:
        self.dispatcher = dispatcher
        self.turns = turns
        self.metrics = metrics
        self.is_draining = is_draining
        self.hold = hold

    async def forward_plain(
        self, request: web.BaseRequest, job: Job
    ) -> web.StreamResponse | Refusal:
        """Forwards the response of a plain service."""
        while True:
            async with self.dispatcher.open_response(job) as running:
                if isinstance(running, Refusal):
                    return running
                try:
                    return await self._forward_response(request, job, running)
                except (BrokenError, TimeoutError) as error:
                    refusal = self.dispatcher.handle_interruption(
                        job, running, error
                    )
            if refusal:
                return refusal

    async def _forward_response(
        self, request: web.BaseRequest, job: Job, running: RunningCall
    ) -> web.StreamResponse:
        with BufferedBody(self.hold()) as body:
            async with asyncio.timeout_at(job.deadline):
                chunks = running.response.chunks()
                async for chunk in chunks:
                    if not body.add(chunk):
                        break
            if running.response.is_complete:
                self._record_answer(job, running, body.size)
                return await self._send_complete(
                    request, job, running.response.head, body
                )
            return await self._send_long(request, job, running, body, chunks)

    async def _send_long(
        self,
        request: web.BaseRequest,
        job: Job,
        running: RunningCall,
        body: BufferedBody,
        chunks: AsyncIterator[bytes],
    ) -> web.StreamResponse:
        """Sends the buffered part of a response, and the rest as it arrives."""
        response = await self._start_response(request, running.response.head)
        size = body.size
        try:
            async with asyncio.timeout_at(job.deadline):
                await self._write_buffered(request, job, response, body)
                async for chunk in chunks:
                    size += len(chunk)
                    await write_paced(request, response, chunk)
        except BrokenError as error:
            self.dispatcher.record_broken(job, running.endpoint)
            return self._abort_response(request, job, response, str(error))
        except TimeoutError:
            return self._abort_response(
                request, job, response, "deadline exceeded"
            )
        self._record_answer(job, running, size)
        await response.write_eof()
        return response

    async def forward_stream(
        self, request: web.BaseRequest, job: Job, turn: Turn
    ) -> web.StreamResponse | Refusal:
        """Forwards events as they arrive, from several attempts if allowed."""
        response: web.StreamResponse | None = None
        job.stream.max_events = _max_events(job, turn)
        if job.route.stores_turns:
            job.stream.max_data_bytes = _MAX_TURN_BYTES
        while True:
            async with self.dispatcher.open_response(job) as running:
                if isinstance(running, Refusal):
                    return self._end_early(request, job, response, running)
                head = running.response.head
                if response is None and not head.is_success:
                    return await self._forward_failure(request, job, running)
                try:
                    async with asyncio.timeout_at(job.deadline):
                        job.stream.begin(head)
                        async for block in job.stream.blocks(running.response):
                            # Until the caller has a part of it, the response
                            # of another attempt can take its place.
                            response = response or await self._start_response(
                                request, head
                            )
                            if block.is_event:
                                self._record_event(job, running, turn, block)
                            await write_paced(request, response, block.raw)
                    response = response or await self._start_response(
                        request, head
                    )
                    self._record_attempt(job, running, None)
                    return await self._finish_stream(
                        request, job, running, response, turn
                    )
                except (BrokenError, TimeoutError) as error:
                    self._record_attempt(job, running, error)
                    refusal = self.dispatcher.handle_interruption(
                        job, running, error
                    )
            if refusal:
                return self._end_early(request, job, response, refusal)

    def _end_early(
        self,
        request: web.BaseRequest,
        job: Job,
        response: web.StreamResponse | None,
        refusal: Refusal,
    ) -> web.StreamResponse | Refusal:
        """Ends a stream that is not whole: refused unless it has begun."""
        if response is None:
            return refusal
        return self._abort_response(request, job, response, refusal.detail)

    async def _forward_failure(
        self, request: web.BaseRequest, job: Job, running: RunningCall
    ) -> web.StreamResponse | Refusal:
        """Forwards the response of an endpoint that began no stream."""
        try:
            return await self._forward_response(request, job, running)
        except (BrokenError, TimeoutError) as error:
            return self.dispatcher.handle_interruption(job, running, error)

    def _record_event(
        self, job: Job, running: RunningCall, turn: Turn, event: Block
    ) -> None:
        """Records an event.

        Done before the write, because data may reach the caller even if the
        write does not return.
        """
        self.dispatcher.record_event(job, running)
        running.first_event_id = running.first_event_id or event.event_id
        turn.events_sent += 1
        if job.route.stores_turns:
            turn.event_data.append(event.data)
        if turn.events_sent == 1:
            self._record_first_event(job)

    async def _finish_stream(
        self,
        request: web.BaseRequest,
        job: Job,
        running: RunningCall,
        response: web.StreamResponse,
        turn: Turn,
    ) -> web.StreamResponse:
        """Ends a response after storing its turn for the next one.

        A turn that is on too few disks may be lost, and its caller would be
        told later that it does not exist.
        """
        if job.route.stores_turns:
            kept_by = await self.turns.store(
                job.call, job.route, job.service, turn, job.deadline
            )
            if not kept_by.is_replicated:
                return self._abort_response(
                    request,
                    job,
                    response,
                    "too few storage instances have the turn on disk",
                )
        self._record_answer(job, running, turn.events_sent)
        await response.write_eof()
        return response

    async def _start_response(
        self, request: web.BaseRequest, head: ResponseHead
    ) -> web.StreamResponse:
        response = web.StreamResponse(status=head.status)
        self._set_head(response, head)
        response.enable_chunked_encoding()
        await response.prepare(request)
        return response

    async def _send_complete(
        self,
        request: web.BaseRequest,
        job: Job,
        head: ResponseHead,
        body: BufferedBody,
    ) -> web.StreamResponse:
        """Sends a response that is buffered whole."""
        if body.size <= PIECE_BYTES:
            data = b"".join(body.pieces)
            response = web.Response(status=head.status, body=data)
            self._set_head(response, head)
            return response
        response = web.StreamResponse(status=head.status)
        response.content_length = body.size
        self._set_head(response, head)
        await response.prepare(request)
        await self._write_buffered(request, job, response, body)
        await response.write_eof()
        return response

    async def _write_buffered(
        self,
        request: web.BaseRequest,
        job: Job,
        response: web.StreamResponse,
        body: BufferedBody,
    ) -> None:
        why = "not read by its caller, and others need the memory"
        await body.write(
            request,
            response,
            lambda: self._abort_response(request, job, response, why),
        )

    def _set_head(
        self, response: web.StreamResponse, head: ResponseHead
    ) -> None:
        set_headers(response, head.headers)
        self._close_if_draining(response)

    def _abort_response(
        self,
        request: web.BaseRequest,
        job: Job,
        response: web.StreamResponse,
        why: str,
    ) -> web.StreamResponse:
        """Aborts the connection so that the response cannot look complete."""
        self.metrics.count("rattanmill_answers_cut")
        log_event(
            "broken_off",
            request=job.call.request_id,
            program=job.call.program,
            why=why[:200],
            left_ms=rounded_ms(job.seconds_left()),
        )
        if request.transport is not None:
            request.transport.abort()
        return response

    def _record_first_event(self, job: Job) -> None:
        self.metrics.observe(
            "rattanmill_first_token_seconds",
            loop_seconds() - job.call.arrived_at,
        )

    def _record_attempt(
        self, job: Job, running: RunningCall, error: Exception | None
    ) -> None:
        """Records how an attempt of a stream ended.

        Not logged if the first attempt was whole and marked its end.

        Args:
            job: The call.
            running: The attempt.
            error: What interrupted it, or None if it was whole.
        """
        stream, head = job.stream, running.response.head
        end = _classify_end(error)
        self.metrics.count(
            "rattanmill_stream_ends", framing=head.framing, end=end
        )
        is_expected = error is None and head.is_delimited
        if is_expected and stream.attempts == 1 and not stream.incomplete_bytes:
            return
        log_event(
            "attempt_ended",
            request=job.call.request_id,
            program=job.call.program,
            endpoint=running.endpoint.name,
            number=stream.attempts,
            status=head.status,
            content_type=head.content_type,
            framing=head.framing,
            first_event=running.first_event_id,
            last_event=stream.position.last_id,
            events=running.event_count,
            incomplete_bytes=stream.incomplete_bytes,
            end=end,
            why=str(error or "")[:200],
        )

    def _record_answer(self, job: Job, running: RunningCall, size: int) -> None:
        """Records a whole answer of so many bytes or events."""
        self.dispatcher.record_completion(job, running)
        seconds = loop_seconds() - job.call.arrived_at
        self.metrics.observe("rattanmill_answer_seconds", seconds)
        log_event(
            "answered",
            request=job.call.request_id,
            program=job.call.program,
            endpoint=running.endpoint.name,
            status=running.response.head.status,
            after_ms=rounded_ms(seconds),
            size=size,
        )

    def _close_if_draining(self, response: web.StreamResponse) -> None:
        if self.is_draining():
            response.force_close()


def _max_events(job: Job, turn: Turn) -> int | None:
    """Returns how many events a turn may have, or None if it has no budget.

    Others of its program may use the rest of the budget at the same time, so
    no more may reach the caller than was reserved.
    """
    engine = job.service.engine
    if engine is None or not turn.reserved_tokens:
        return None
    return math.ceil(turn.reserved_tokens / engine.tokens_per_event)


def _classify_end(error: Exception | None) -> StreamEnd:
    match error:
        case None:
            return StreamEnd.COMPLETE
        case NotContinuedError():
            return StreamEnd.NOT_CONTINUED
        case ExcessError():
            return StreamEnd.EXCESS
        case EndedEarlyError():
            return StreamEnd.ENDED_EARLY
        case TimeoutError():
            return StreamEnd.DEADLINE
        case _:
            return StreamEnd.CUT_OFF
