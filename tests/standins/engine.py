"""Stand-in for a model engine; protocol in docs/ENDPOINTS.md.

It batches continuously at a set speed and caches prompt prefixes, message by
message, in limited memory. A token is four bytes.

Usage: python -m standins.engine ADDRESS OPTIONS-AS-JSON
"""

import asyncio
import collections
import enum
import hashlib
import itertools
import os
import time
from typing import Any

import msgspec
from aiohttp import web

from standins.common import (
    Faults,
    StandIn,
    argument,
    drop,
    json_argument,
    run,
)

_STEP_SECONDS = 0.01
_BYTES_PER_TOKEN = 4
_CRASH_EXIT = 17
_DONE = b"data: [DONE]\n\n"


class Cut(enum.StrEnum):
    """How a stream is cut.

    Attributes:
        RESET: The connection is closed within the body.
        END: The body ends in an orderly way.
        WITHIN_EVENT: The body ends in an orderly way, within an event.
        ERROR: An error event; then the stream ends as a whole one does.
        NO_FINISH: Only the last line of a whole stream follows.
        MALFORMED: A delta that has another form; then the stream goes on.
    """

    RESET = "reset"
    END = "end"
    WITHIN_EVENT = "within_event"
    ERROR = "error"
    NO_FINISH = "no_finish"
    MALFORMED = "malformed"


class EngineFaults(Faults, kw_only=True):
    """Faults of an engine.

    Attributes:
        crash_marker: The process dies when a prompt contains this text.
        hang: Whether running calls make no progress.
        slow_factor: Divides its speed.
        cut_after_tokens: The next stream is cut after so many tokens; 0: none.
        cut: How it is cut, see ``Cut``.
        skip_on_resume: Tokens that a resumed stream leaves out at its start.
        short_resume: Whether a resumed stream ends after one token as if it
            were whole.
        draining: Whether new calls are refused with 503 and ``draining``.
        load_lag_seconds: Age of the load that it reports.
        event_lag_seconds: Age at which cache events are published.
        event_gap: Every so many events one is left out; 0: none.
        fencing: Whether orders with an old fencing number are refused.
        over_report_tokens: Added to the usage it reports.
        lose_releases: So many further release orders are lost.
        lose_streams: Whether streams are cut at their very end and can't be
            resumed.
        variant: Added to each token, as another sampling would differ.
    """

    crash_marker: str = ""
    hang: bool = False
    slow_factor: float = 1.0
    cut_after_tokens: int = 0
    cut: Cut = Cut.RESET
    skip_on_resume: int = 0
    short_resume: bool = False
    draining: bool = False
    load_lag_seconds: float = 0.0
    event_lag_seconds: float = 0.0
    event_gap: int = 0
    fencing: bool = False
    over_report_tokens: int = 0
    lose_releases: int = 0
    lose_streams: bool = False
    variant: str = ""


class Options(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """What an engine is.

    Attributes:
        prefill: Prompt tokens a second, shared by all calls.
        decode: Tokens a second of one call when it runs alone.
        slots: Calls in a batch.
        cache_tokens: Prompt tokens kept in the prefix cache.
        models: Models it serves.
        instant: Answers at once, for measuring what is before it.
        token_events: Sends each token as an event of its own.
    """

    prefill: float = 20_000.0
    decode: float = 400.0
    slots: int = 8
    cache_tokens: int = 60_000
    models: list[str] = msgspec.field(default_factory=lambda: ["commentary"])
    instant: bool = False
    token_events: bool = False


class Sequence:
    """One call in the engine."""

    def __init__(self, request_id: str, priority: int, order: int) -> None:
        self.request_id = request_id
        self.priority = priority
        self.order = order
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.prefill_left = 0.0
        self.output: list[str] = []
        self.made = 0.0
        self.more = asyncio.Event()
        self.cancelled = False

    @property
    def finished(self) -> bool:
        """Whether all its tokens are made."""
        return self.made >= len(self.output)


class PrefixCache:
    """Prompt prefixes by digest, least recently used first."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.held = 0
        self.pins: dict[str, tuple[int, set[str]]] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.seen: dict[str, int] = {}

    def reuse(self, blocks: list[tuple[str, int]]) -> int:
        """Returns the tokens of the longest cached prefix."""
        reused = 0
        for digest, tokens in blocks:
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            reused += tokens
        return reused

    def add(self, blocks: list[tuple[str, int]]) -> None:
        """Caches a prompt, dropping the least recently used unpinned."""
        for digest, tokens in blocks:
            self.seen[digest] = tokens
            if digest in self.blocks:
                continue
            self.blocks[digest] = tokens
            self.held += tokens
            self._publish("stored", digest)
        pinned = set().union(*(digests for _, digests in self.pins.values()))
        for digest in [d for d in self.blocks if d not in pinned]:
            if self.held <= self.capacity:
                break
            self.held -= self.blocks.pop(digest)
            self._publish("removed", digest)

    def _publish(self, kind: str, digest: str) -> None:
        number = self.events[-1][1] + 1 if self.events else 1
        self.events.append((time.monotonic(), number, kind, digest))
        del self.events[:-20_000]

    def pinned_tokens(self) -> int:
        """Tokens held by pins."""
        digests = set().union(*(d for _, d in self.pins.values()))
        return sum(self.blocks.get(digest, 0) for digest in digests)


class Engine(StandIn):
    """The engine's state."""

    def __init__(self, options: Options) -> None:
        super().__init__(EngineFaults())
        self.options = options
        self.cache = PrefixCache(options.cache_tokens)
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.known: collections.OrderedDict[str, Sequence] = (
            collections.OrderedDict()
        )
        self.orders = itertools.count()
        self.loads: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=2000
        )
        self.fences: dict[str, int] = {}
        self.models = list(options.models)
        self.role = "mixed"

    def app(self) -> web.Application:
        app = super().app()
        add = app.router
        add.add_post("/v1/chat/completions", self.chat)
        add.add_get("/v1/load", self.load)
        add.add_get("/seen", self.show_seen)
        add.add_get("/v1/streams/{id}", self.resume)
        add.add_post("/v1/cancel", self.cancel)
        add.add_get("/v1/pins", self.show_pins)
        add.add_post("/v1/pins", self.pin)
        add.add_post("/v1/pins/release", self.release)
        add.add_get("/v1/cache/events", self.cache_events)
        add.add_post("/v1/cache/export", self.cache_export)
        add.add_post("/v1/cache/import", self.cache_import)
        add.add_post("/v1/orders", self.order)
        app.cleanup_ctx.append(self._batch)
        return app

    async def _batch(self, app: web.Application):
        task = asyncio.create_task(self._step_for_ever())
        yield
        task.cancel()

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Answers ``POST /v1/chat/completions``."""
        body = await request.json()
        if self.faults.draining:
            self.stats["refused_draining"] += 1
            return web.json_response(
                {"error": {"code": "draining"}}, status=503
            )
        if body["model"] not in self.models:
            return web.json_response({"error": "no such model"}, status=404)
        self.stats["calls"] += 1
        sequence = self._sequence(request, body)
        self.known[sequence.request_id] = sequence
        while len(self.known) > 1000:
            self.known.popitem(last=False)
        if self.options.instant:
            sequence.made = len(sequence.output)
        else:
            self.waiting.append(sequence)
            self.waiting.sort(key=lambda s: (-s.priority, s.order))
        return await self._answer(request, sequence, body)

    def _sequence(self, request: web.Request, body: dict) -> Sequence:
        request_id = request.headers.get("Rattanmill-Request", "")
        priority = int(request.headers.get("Rattanmill-Priority", 0))
        sequence = Sequence(
            request_id or str(next(self.orders)), priority, next(self.orders)
        )
        blocks = message_blocks(body["model"], body["messages"])
        text = "".join(str(m.get("content")) for m in body["messages"])
        marker = self.faults.crash_marker
        if marker and marker in text:
            os._exit(_CRASH_EXIT)
        reused = self.cache.reuse(blocks)
        sequence.prompt_tokens = sum(tokens for _, tokens in blocks)
        sequence.cached_tokens = reused
        sequence.prefill_left = sequence.prompt_tokens - reused
        again = sum(t for d, t in blocks if d in self.cache.seen)
        self.stats["prompt_tokens"] += sequence.prompt_tokens
        self.stats["reused_tokens"] += reused
        self.stats["wasted_tokens"] += max(0, again - reused)
        self.cache.add(blocks)
        sequence.output = self._output(body, blocks)
        return sequence

    def _output(self, body: dict, blocks: list[tuple[str, int]]) -> list[str]:
        seed = blocks[-1][0] if blocks else ""
        wanted = body.get("standin", {}).get("output_tokens")
        most = body.get("max_tokens") or 64
        count = min(most, wanted or 1 + int(seed[:4] or "0", 16) % 16)
        variant = self.faults.variant
        return [f"{seed[:6]}{variant}-{i} " for i in range(count)]

    async def _answer(
        self, request: web.Request, sequence: Sequence, body: dict
    ) -> web.StreamResponse:
        answer = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await answer.prepare(request)
        try:
            await self._stream(request, answer, sequence, 0, body["model"])
        finally:
            if not sequence.finished and not request.headers.get(
                "Rattanmill-Resumable"
            ):
                sequence.cancelled = True
        return answer

    async def _stream(
        self,
        request: web.Request,
        answer: web.StreamResponse,
        sequence: Sequence,
        sent: int,
        model: str,
    ) -> None:
        cut = self.faults.cut_after_tokens
        while not sequence.cancelled:
            ready = int(sequence.made)
            if self.options.token_events and ready > sent + 1:
                ready = sent + 1
            if ready > sent:
                text = "".join(sequence.output[sent:ready])
                await answer.write(
                    self._event(sequence, model, {"content": text}, None)
                )
                sent = ready
                if cut and sent >= cut:
                    cut = self.faults.cut_after_tokens = 0
                    if await self._cut_stream(request, answer, sequence):
                        return
            if sent < int(sequence.made):
                continue
            if sequence.finished:
                break
            sequence.more.clear()
            await sequence.more.wait()
        if sequence.cancelled or self.faults.lose_streams:
            await drop(request)
        await self._finish(answer, sequence, model)
        self.stats["finished"] += 1

    async def _finish(
        self, answer: web.StreamResponse, sequence: Sequence, model: str
    ) -> None:
        await answer.write(self._event(sequence, model, {}, "stop"))
        await answer.write(self._usage(sequence, model))
        await answer.write(_DONE)

    async def _cut_stream(
        self,
        request: web.Request,
        answer: web.StreamResponse,
        sequence: Sequence,
    ) -> bool:
        """Cuts a stream; returns whether that was its end."""
        model = self.models[0]
        match self.faults.cut:
            case Cut.RESET:
                await drop(request)
            case Cut.WITHIN_EVENT:
                event = self._event(sequence, model, {"content": "x"}, None)
                await answer.write(event[: len(event) // 2])
            case Cut.ERROR:
                await answer.write(_sse({"error": {"message": "no memory"}}))
                await self._finish(answer, sequence, model)
            case Cut.NO_FINISH:
                await answer.write(_DONE)
            case Cut.MALFORMED:
                calls = {"tool_calls": ["x"]}
                await answer.write(self._event(sequence, model, calls, None))
                return False
        return True

    def _event(
        self, sequence: Sequence, model: str, delta: dict, finish: str | None
    ) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        return _sse(
            {
                "id": sequence.request_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": model,
                "choices": [choice],
            }
        )

    def _usage(self, sequence: Sequence, model: str) -> bytes:
        prompt = sequence.prompt_tokens
        completion = len(sequence.output) + self.faults.over_report_tokens
        return _sse(
            {
                "id": sequence.request_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": model,
                "choices": [],
                "usage": {
                    "prompt_tokens": prompt,
                    "completion_tokens": completion,
                    "total_tokens": prompt + completion,
                    "prompt_tokens_details": {
                        "cached_tokens": sequence.cached_tokens
                    },
                },
            }
        )

    async def _step_for_ever(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(_STEP_SECONDS)
            now = time.monotonic()
            if not self.faults.hang:
                self._step((now - last) / self.faults.slow_factor)
            last = now
            self._note_load(now)

    def _step(self, seconds: float) -> None:
        self.waiting = [s for s in self.waiting if not s.cancelled]
        while self.waiting and len(self.running) < self.options.slots:
            self.running.append(self.waiting.pop(0))
        prefill = self.options.prefill * seconds
        # A fuller batch decodes each call slower, but more calls in all.
        crowding = 1 + len(self.running) / (2 * self.options.slots)
        decode = self.options.decode * seconds / crowding
        for sequence in self.running:
            if sequence.prefill_left > 0:
                step = min(prefill, sequence.prefill_left)
                prefill -= step
                sequence.prefill_left -= step
                continue
            before = int(sequence.made)
            sequence.made = min(sequence.made + decode, len(sequence.output))
            self.stats["made_tokens"] += int(sequence.made) - before
            sequence.more.set()
        self.running = [
            s for s in self.running if not s.finished and not s.cancelled
        ]

    def _note_load(self, now: float) -> None:
        load = {
            "waiting": len(self.waiting),
            "running": len(self.running),
            "slots": self.options.slots,
            "queued_tokens": int(
                sum(
                    s.prefill_left + len(s.output) - s.made
                    for s in [*self.waiting, *self.running]
                )
            ),
            "cache_tokens": self.cache.held,
            "pinned_tokens": self.cache.pinned_tokens(),
            "models": self.models,
            "role": self.role,
            "draining": self.faults.draining,
        }
        self.loads.append((now, load))

    async def show_seen(self, request: web.Request) -> web.Response:
        """Answers with the tokens of each prefix it ever computed."""
        return web.json_response(self.cache.seen)

    async def load(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/load`` with a lag."""
        until = time.monotonic() - self.faults.load_lag_seconds
        past = [load for at, load in self.loads if at <= until]
        return web.json_response(past[-1] if past else {})

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Answers ``GET /v1/streams/ID?from=TOKENS``."""
        sequence = self.known.get(request.match_info["id"])
        lost = sequence is None or sequence.cancelled
        if lost or self.faults.lose_streams:
            return web.json_response({"error": "no such stream"}, status=404)
        self.stats["resumed"] += 1
        answer = web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        await answer.prepare(request)
        sent = int(request.query.get("from", 0)) + self.faults.skip_on_resume
        if self.faults.short_resume:
            first = {"content": sequence.output[0]}
            await answer.write(
                self._event(sequence, self.models[0], first, None)
            )
            await self._finish(answer, sequence, self.models[0])
            return answer
        await self._stream(request, answer, sequence, sent, self.models[0])
        return answer

    async def cancel(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/cancel`` with ``{"request": ID}``."""
        body = await request.json()
        sequence = self.known.get(body["request"])
        if sequence and not sequence.finished:
            sequence.cancelled = True
            sequence.more.set()
            self.stats["cancelled"] += 1
        return web.json_response({})

    def _is_stale(self, body: dict) -> bool:
        scope, number = body.get("fence", ":0").rsplit(":", 1)
        highest = max(self.fences.get(scope, 0), int(number))
        if self.faults.fencing and int(number) < highest:
            self.stats["fenced"] += 1
            return True
        self.fences[scope] = highest
        return False

    async def show_pins(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/pins``."""
        pins = [
            {"owner": owner, "epoch": epoch, "blocks": len(digests)}
            for owner, (epoch, digests) in self.cache.pins.items()
        ]
        return web.json_response({"pins": pins})

    async def pin(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/pins`` with owner, model, messages and fence."""
        body = await request.json()
        if self._is_stale(body):
            return web.json_response({"error": "old fencing"}, status=412)
        blocks = message_blocks(body["model"], body["messages"])
        held = {d for d, _ in blocks if d in self.cache.blocks}
        epoch = int(body.get("fence", ":0").rsplit(":", 1)[1])
        self.cache.pins[body["owner"]] = (epoch, held)
        self.stats["pins"] += 1
        return web.json_response({"blocks": len(held)})

    async def release(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/pins/release`` with owner and fence."""
        body = await request.json()
        if self._is_stale(body):
            return web.json_response({"error": "old fencing"}, status=412)
        if self.faults.lose_releases:
            self.faults.lose_releases -= 1
            await drop(request)
        released = self.cache.pins.pop(body["owner"], None)
        self.stats["releases"] += 1
        return web.json_response({"released": released is not None})

    async def cache_events(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/cache/events?after=N``, late and with gaps."""
        after = int(request.query.get("after", 0))
        until = time.monotonic() - self.faults.event_lag_seconds
        gap = self.faults.event_gap
        events = [
            {"number": number, "kind": kind, "digest": digest}
            for at, number, kind, digest in self.cache.events
            if number > after and at <= until and not (gap and not number % gap)
        ]
        return web.json_response({"events": events[:2000]})

    async def cache_export(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/cache/export`` with the cached blocks."""
        body = await request.json()
        blocks = message_blocks(body["model"], body["messages"])
        held = [b for b in blocks if b[0] in self.cache.blocks]
        return web.json_response({"blocks": held})

    async def cache_import(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/cache/import`` with exported blocks."""
        body = await request.json()
        if self._is_stale(body):
            return web.json_response({"error": "old fencing"}, status=412)
        blocks = [(digest, tokens) for digest, tokens in body["blocks"]]
        self.cache.add(blocks)
        self.stats["imported_tokens"] += sum(t for _, t in blocks)
        return web.json_response({"blocks": len(blocks)})

    async def order(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/orders``: load, unload or change role."""
        body = await request.json()
        if self._is_stale(body):
            return web.json_response({"error": "old fencing"}, status=412)
        self.stats["orders"] += 1
        self.models = body.get("models", self.models)
        self.role = body.get("role", self.role)
        return web.json_response({"models": self.models, "role": self.role})


def message_blocks(model: str, messages: list[Any]) -> list[tuple[str, int]]:
    """Returns digest and tokens of each prefix of a prompt, by message."""
    chain = model
    blocks = []
    for message in messages:
        data = msgspec.json.encode(message, order="sorted")
        chain = hashlib.sha256(chain.encode() + data).hexdigest()[:24]
        blocks.append((chain, 1 + len(data) // _BYTES_PER_TOKEN))
    return blocks


def _sse(event: dict) -> bytes:
    return b"data: " + msgspec.json.encode(event) + b"\n\n"


if __name__ == "__main__":
    options = msgspec.convert(json_argument(2), Options)
    run(Engine(options).app(), argument(1))
