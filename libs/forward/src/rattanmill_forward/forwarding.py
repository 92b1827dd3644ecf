"""Forwards the responses of endpoints to callers."""

import asyncio
from collections.abc import AsyncIterator, Callable

import msgspec
from aiohttp import web

from rattanmill_core import Metrics, Refusal, log_event, loop_seconds
from rattanmill_forward.callers import abort_connection
from rattanmill_forward.calls import ResponseHead
from rattanmill_forward.delivery import BodyBuffer, Delivery, HeldBytes
from rattanmill_forward.dispatch import Dispatcher, Job, RunningCall
from rattanmill_forward.events import Block
from rattanmill_forward.exchange import BrokenError
from rattanmill_forward.responses import rounded_ms, set_headers
from rattanmill_forward.turns import Turn, TurnManager

# Responses up to this size are buffered whole before the caller gets the first
# byte, so that one that breaks off earlier can still be retried on another
# endpoint.
_MAX_BUFFERED_BYTES = 256 * 1024
# Of whole responses, longer ones are written piece by piece.
_MAX_JOINED_BYTES = 32 * 1024


class _WholeBody(msgspec.Struct):
    """A body that was received whole and not delivered yet."""

    running: RunningCall
    body: BodyBuffer


class _WholeStream(msgspec.Struct):
    """A stream whose end is still to be written."""


class Forwarder:
    """Forwards responses, from several attempts where that is allowed.

    Args:
        dispatcher: Sends calls to endpoints.
        turns: Stores finished turns.
        metrics: Counters and timings.
        is_draining: Returns whether callers are to close their connections.
        held: Bytes held for all callers.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        turns: TurnManager,
        metrics: Metrics,
        is_draining: Callable[[], bool],
        held: HeldBytes,
    ) -> None:
        self.dispatcher = dispatcher
        self.turns = turns
        self.metrics = metrics
        self.is_draining = is_draining
        self.held = held

    async def forward_plain(
        self, request: web.BaseRequest, job: Job
    ) -> web.StreamResponse | Refusal:
        """Forwards the response of a plain service."""
        with self._deliver(request, job) as delivery:
            while True:
                async with self.dispatcher.open_response(job) as running:
                    if isinstance(running, Refusal):
                        return running
                    outcome = await self._forward_body(job, running, delivery)
                if isinstance(outcome, _WholeBody):
                    return await self._deliver_whole(job, delivery, outcome)
                if outcome is not None:
                    return outcome

    async def _forward_body(
        self, job: Job, running: RunningCall, delivery: Delivery
    ) -> "_WholeBody | web.StreamResponse | Refusal | None":
        """Receives a short body, or forwards a long one as it arrives.

        Returns:
            A whole body that is still to be delivered, the response to the
            caller, a refusal, or None if the call may be retried.
        """
        chunks = running.response.chunks()
        body = BodyBuffer()
        delivery.buffer(0)
        try:
            async with asyncio.timeout_at(job.deadline):
                async for chunk in chunks:
                    body.append(chunk)
                    delivery.buffer(body.size)
                    if body.size > min(
                        _MAX_BUFFERED_BYTES, self.held.bufferable_bytes
                    ):
                        break
        except (BrokenError, TimeoutError) as error:
            return self.dispatcher.handle_interruption(job, running, error)
        if running.response.is_complete:
            self.dispatcher.record_completion(job, running)
            return _WholeBody(running, body)
        return await self._forward_rest(job, running, delivery, body, chunks)

    async def _forward_rest(
        self,
        job: Job,
        running: RunningCall,
        delivery: Delivery,
        body: BodyBuffer,
        chunks: AsyncIterator[bytes],
    ) -> web.StreamResponse:
        """Forwards a long body: the part that was buffered, and the rest."""
        await self._start_response(delivery, running.response.head)
        size = body.size
        try:
            async with delivery.until_deadline():
                await delivery.write_buffered(body, running.response)
                async for chunk in chunks:
                    size += len(chunk)
                    body.append(chunk)
                    del chunk
                    await delivery.write_buffered(body, running.response)
            self.dispatcher.record_completion(job, running)
            await delivery.end()
        except BrokenError as error:
            self.dispatcher.record_broken(job, running.endpoint)
            return self._abort_response(delivery, str(error))
        except TimeoutError:
            return self._abort_response(delivery, "deadline exceeded")
        self._record_answer(job, running, size)
        return delivery.response

    async def _deliver_whole(
        self, job: Job, delivery: Delivery, whole: "_WholeBody"
    ) -> web.StreamResponse:
        """Delivers a body that was received whole, also if read late."""
        head = whole.running.response.head
        size = whole.body.size
        if size <= _MAX_JOINED_BYTES:
            # Written with its head at once.
            response = web.Response(
                status=head.status, body=whole.body.take_all()
            )
        else:
            response = web.StreamResponse(status=head.status)
        set_headers(response, head.headers)
        if whole.body.size:
            response.content_length = size
        self._close_if_draining(response)
        try:
            await delivery.write_whole(response, whole.body)
        except TimeoutError:
            return self._abort_response(delivery, "deadline exceeded")
        self._record_answer(job, whole.running, size)
        return response

    async def forward_stream(
        self, request: web.BaseRequest, job: Job, turn: Turn
    ) -> web.StreamResponse | Refusal:
        """Forwards events as they arrive, from several attempts if allowed."""
        with self._deliver(request, job) as delivery:
            while True:
                async with self.dispatcher.open_response(job) as running:
                    if isinstance(running, Refusal):
                        return self._end_early(delivery, running)
                    head = running.response.head
                    is_failure = delivery.response is None and (
                        not head.is_success
                    )
                    if is_failure:
                        outcome = await self._forward_body(
                            job, running, delivery
                        )
                    else:
                        outcome = await self._forward_events(
                            job, running, delivery, turn
                        )
                if isinstance(outcome, _WholeBody):
                    return await self._deliver_whole(job, delivery, outcome)
                if isinstance(outcome, _WholeStream):
                    return await self._finish_stream(
                        job, running, delivery, turn
                    )
                if isinstance(outcome, Refusal):
                    return self._end_early(delivery, outcome)
                if outcome is not None:
                    return outcome

    async def _forward_events(
        self, job: Job, running: RunningCall, delivery: Delivery, turn: Turn
    ) -> "_WholeStream | web.StreamResponse | Refusal | None":
        """Forwards the events of one attempt.

        Returns:
            Whether the stream is whole, a response that was cut off, a refusal,
            or None if another attempt may go on.
        """
        head = running.response.head
        try:
            async with delivery.until_deadline():
                job.stream.begin(head)
                async for block in job.stream.blocks(running.response):
                    # Until the caller has a part of it, the response of
                    # another attempt can take its place.
                    if delivery.response is None:
                        await self._start_response(delivery, head)
                    if block.is_event:
                        self._record_event(job, running, turn, block)
                    await delivery.write(block.raw, running.response)
            if delivery.response is None:
                await self._start_response(delivery, head)
        except (BrokenError, TimeoutError) as error:
            self._log_attempt(job, running, str(error) or "deadline exceeded")
            if delivery.is_stalled:
                return self._abort_response(delivery, "deadline exceeded")
            return self.dispatcher.handle_interruption(job, running, error)
        self._log_attempt(job, running, "")
        return _WholeStream()

    def _deliver(self, request: web.BaseRequest, job: Job) -> Delivery:
        return Delivery(self.held, request, job, self.metrics)

    def _end_early(
        self, delivery: Delivery, refusal: Refusal
    ) -> web.StreamResponse | Refusal:
        """Ends a stream that is not whole: refused unless it has begun."""
        if delivery.response is None:
            return refusal
        return self._abort_response(delivery, refusal.detail)

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
        self, job: Job, running: RunningCall, delivery: Delivery, turn: Turn
    ) -> web.StreamResponse:
        """Ends a response after storing its turn for the next one."""
        if job.route.stores_turns:
            kept_by = await self.turns.store(job.call, job.route, turn)
            if not kept_by.domains:
                return self._abort_response(
                    delivery, "the turn could not be stored"
                )
        self.dispatcher.record_completion(job, running)
        try:
            await delivery.end()
        except TimeoutError:
            return self._abort_response(delivery, "deadline exceeded")
        self._record_answer(job, running, turn.events_sent)
        return delivery.response

    async def _start_response(
        self, delivery: Delivery, head: ResponseHead
    ) -> None:
        response = web.StreamResponse(status=head.status)
        set_headers(response, head.headers)
        response.enable_chunked_encoding()
        self._close_if_draining(response)
        await response.prepare(delivery.request)
        delivery.response = response

    def _abort_response(
        self, delivery: Delivery, why: str
    ) -> web.StreamResponse:
        """Aborts the connection so that the response cannot look complete."""
        job = delivery.job
        if delivery.is_stalled:
            why = delivery.record_stalled()
        self.metrics.count("rattanmill_answers_cut")
        log_event(
            "broken_off",
            request=job.call.request_id,
            program=job.call.program,
            why=why[:200],
            left_ms=rounded_ms(job.seconds_left()),
        )
        abort_connection(delivery.request.transport)
        return delivery.response

    def _record_first_event(self, job: Job) -> None:
        self.metrics.observe(
            "rattanmill_first_token_seconds",
            loop_seconds() - job.call.arrived_at,
        )

    def _log_attempt(self, job: Job, running: RunningCall, why: str) -> None:
        """Logs an attempt of a stream, unless it is the first and whole."""
        if job.stream.attempts == 1 and not why:
            return
        head = running.response.head
        log_event(
            "attempt_ended",
            request=job.call.request_id,
            program=job.call.program,
            endpoint=running.endpoint.name,
            number=job.stream.attempts,
            status=head.status,
            delimited=head.is_delimited,
            first_event=running.first_event_id,
            last_event=job.stream.position.last_id,
            events=running.event_count,
            why=why[:200],
        )

    def _record_answer(self, job: Job, running: RunningCall, size: int) -> None:
        """Records that the caller got a whole answer, of bytes or events."""
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
