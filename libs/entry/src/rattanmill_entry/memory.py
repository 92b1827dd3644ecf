"""Cache that engines hold for programs: pins, their release, and the sweep.

The owner of a program pins the program's cache at the engine that ran its
last turn, and releases it when the program ends or pauses for too long. A
release can be lost, an owner can crash, and an owner that was paused can pin
again when it is resumed. So the pins that engines report are swept: one
instance of each engine's failure domain reads them and sends them to the
owners of the shards. Only an owner knows which programs are live, so only the
owner releases pins. While an owner is unreachable, its programs' pins stay.
"""

import asyncio
from typing import Self

import aiohttp
import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    loop_seconds,
    parse_program_id,
    part_logger,
    start_loop,
)
from rattanmill_entry.attempts import ChatRun
from rattanmill_entry.engines import EndpointMonitor
from rattanmill_entry.expiry import end_expired
from rattanmill_entry.node import Node
from rattanmill_entry.route import owner_of
from rattanmill_platform import read_bounded
from rattanmill_policy import (
    MAX_REPORT_BYTES,
    EndpointState,
    Pin,
    ProgramPins,
    has_room,
)
from rattanmill_programs import Program, Shard
from rattanmill_wire import PinsHeld

# Pins of over a hundred thousand programs.
_MAX_PINS_BYTES = 16 * 1024 * 1024
_log = part_logger("memory")
_RELEASE_INTERVAL_SECONDS = 1.0
_MIN_SWEEP_INTERVAL_SECONDS = 3.0
# The more pins were read, the later the next engine is swept. A pin is about
# 130 bytes, with the message to the owner.
_BYTES_PER_PIN = 130
_MAX_SWEEP_BYTES_PER_SECOND = 500
_REQUEST_TIMEOUT_SECONDS = 2.0
_FENCED_STATUS = 412


class _ReportedPin(msgspec.Struct):
    owner: str
    epoch: int = 0


class _ReportedPins(msgspec.Struct):
    pins: list[_ReportedPin]


class EngineMemory:
    """Manages the pins of this instance's programs, and sweeps engines.

    Attributes:
        pinned_programs: Pins of each program, by program id.
        sweep_index: Number of sweeps so far; selects the next engine.
        next_sweep_at: Loop time of the next sweep.

    Args:
        node: The daemon's context.
        monitor: Decides which engines this instance sweeps.
    """

    def __init__(self, node: Node, monitor: EndpointMonitor) -> None:
        self.node = node
        self.monitor = monitor
        self.pinned_programs: dict[str, ProgramPins] = {}
        self.sweep_index = 0
        self.next_sweep_at = 0.0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("engine memory", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    def turn_started(self, program_id: str) -> None:
        """Records how long the program paused for its tools."""
        if pinned := self.pinned_programs.get(program_id):
            pinned.end_pause(loop_seconds())

    def turn_finished(self, run: ChatRun, state: EndpointState) -> None:
        """Pins the program's cache where its turn ran, if that is worth it."""
        program_id = run.work.program
        found = self._find_owned(program_id)
        if found is None:
            return
        shard, _ = found
        pinned = self.pinned_programs.setdefault(program_id, ProgramPins())
        pinned.paused_at = loop_seconds()
        name = state.endpoint.name
        for other in [n for n in pinned.pins if n != name]:
            self._release(shard, program_id, other, "moved")
        tokens = sum(tokens for _, tokens in run.work.prefixes)
        if pinned.covers(name, tokens):
            pinned.pins[name].expires_at = pinned.pin_deadline(loop_seconds())
        elif pinned.should_pin(tokens) and has_room(
            state, tokens, self._tokens_at(name)
        ):
            # Recorded first: if the response is lost, the pin may exist.
            pinned.pins[name] = Pin(tokens, pinned.pin_deadline(loop_seconds()))
            self.node.spawn(self._pin(run, state))

    def handle_pins_held(self, message: PinsHeld) -> None:
        """Releases reported pins whose programs have ended.

        Only done by the shard's owner with a held lease: an owner that was
        paused does not know of programs that were created since. Pins of a
        later epoch are left to the later owner.
        """
        domain, _, number = message.shard.rpartition(".")
        key = (domain, int(number) if number.isdecimal() else -1)
        shard = self.node.shards.get(key)
        if shard is None or shard.log.fenced or not self.node.lease.is_held():
            return
        for program_id, epoch in message.pins:
            if epoch <= shard.epoch:
                self._check_pin(shard, program_id, message.endpoint)

    def _check_pin(self, shard: Shard, program_id: str, engine: str) -> None:
        program = shard.programs.get(program_id)
        if program is None or program.ended is not None:
            self._release(shard, program_id, engine, "swept")
            return
        pinned = self.pinned_programs.setdefault(program_id, ProgramPins())
        if not pinned.pins:
            # Pinned by an earlier owner.
            pinned.pins[engine] = Pin(0, pinned.pin_deadline(loop_seconds()))
            self._count("adopted")
        elif engine not in pinned.pins:
            self._release(shard, program_id, engine, "swept")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_RELEASE_INTERVAL_SECONDS)
            await end_expired(self.node)
            self._release_stale_pins()
            if loop_seconds() >= self.next_sweep_at and (
                state := self._next_to_sweep()
            ):
                self.next_sweep_at = (
                    loop_seconds() + _MIN_SWEEP_INTERVAL_SECONDS
                )
                self.node.spawn(self._sweep(state))

    def _release_stale_pins(self) -> None:
        """Releases pins of programs that ended or paused for too long."""
        if not self.node.lease.is_held():
            return
        now = loop_seconds()
        for program_id, pinned in list(self.pinned_programs.items()):
            found = self._find_owned(program_id)
            if found is None:
                # Another instance owns it and finds its pins by the sweep.
                del self.pinned_programs[program_id]
                continue
            shard, program = found
            ended = program.ended is not None
            for engine, pin in list(pinned.pins.items()):
                if ended:
                    self._release(shard, program_id, engine, "ended")
                elif now > pin.expires_at and not program.waiting:
                    self._release(shard, program_id, engine, "overdue")
            if ended:
                self.pinned_programs.pop(program_id, None)

    def _find_owned(self, program_id: str) -> tuple[Shard, Program] | None:
        parsed = parse_program_id(program_id)
        if parsed is None:
            return None
        shard = self.node.shards.get((parsed.domain, parsed.shard))
        program = shard.programs.get(program_id) if shard else None
        return (shard, program) if shard and program else None

    def _tokens_at(self, engine: str) -> int:
        return sum(
            pinned.pins[engine].tokens
            for pinned in self.pinned_programs.values()
            if engine in pinned.pins
        )

    async def _pin(self, run: ChatRun, state: EndpointState) -> None:
        body = {
            "owner": run.work.program,
            "model": run.chat.model,
            "messages": [msgspec.Raw(message) for message in run.messages],
            "fence": run.fence,
        }
        await self._send_request(state.endpoint.url, "/v1/pins", body, "pinned")

    def _release(
        self, shard: Shard, program_id: str, engine: str, outcome: str
    ) -> None:
        """Releases one pin; if the request is lost, the sweep finds the pin."""
        if pinned := self.pinned_programs.get(program_id):
            pinned.pins.pop(engine, None)
        state = self.node.table.states.get(engine)
        if state is None:
            return
        fence = f"{shard.domain}.{shard.number}:{shard.epoch}"
        body = {"owner": program_id, "fence": fence}
        url = state.endpoint.url
        self.node.spawn(
            self._send_request(url, "/v1/pins/release", body, outcome)
        )

    async def _send_request(
        self, url: str, path: str, body: dict, outcome: str
    ) -> None:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        try:
            async with self.node.session.post(
                url + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                await read_bounded(response, MAX_REPORT_BYTES)
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._count("lost")
            return
        if status == _FENCED_STATUS:
            self._count("fenced")
        else:
            self._count(outcome if status == 200 else "failed")

    def _next_to_sweep(self) -> EndpointState | None:
        """Returns the next engine to sweep, or None."""
        own_engines = [
            state
            for state in self.node.table.states.values()
            if state.endpoint.kind == "engine"
            and not state.reach.closed
            and self.monitor.is_primary(state)
        ]
        self.sweep_index += 1
        return (
            own_engines[self.sweep_index % len(own_engines)]
            if own_engines
            else None
        )

    async def _sweep(self, state: EndpointState) -> None:
        reported = await self._read_pins(state)
        if reported is None:
            return
        self.node.metrics.count("rattanmill_pin_sweeps")
        seconds = len(reported) * _BYTES_PER_PIN / _MAX_SWEEP_BYTES_PER_SECOND
        self.next_sweep_at = loop_seconds() + max(
            _MIN_SWEEP_INTERVAL_SECONDS, seconds
        )
        by_shard: dict[tuple[str, int], list[tuple[str, int]]] = {}
        for pin in reported:
            if parsed := parse_program_id(pin.owner):
                key = (parsed.domain, parsed.shard)
                by_shard.setdefault(key, []).append((pin.owner, pin.epoch))
        for (domain, number), pins in by_shard.items():
            message = PinsHeld(state.endpoint.name, f"{domain}.{number}", pins)
            await self._send_to_owner(domain, number, message)

    async def _send_to_owner(
        self, domain: str, number: int, message: PinsHeld
    ) -> None:
        if (domain, number) in self.node.shards:
            self.handle_pins_held(message)
        elif owner := owner_of(self.node, domain, number):
            await self.node.link(owner).send(message)

    async def _read_pins(
        self, state: EndpointState
    ) -> list[_ReportedPin] | None:
        timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
        url = f"{state.endpoint.url}/v1/pins"
        try:
            async with self.node.session.get(url, timeout=timeout) as response:
                body = await read_bounded(response, _MAX_PINS_BYTES)
            return msgspec.json.decode(body, type=_ReportedPins).pins
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *DECODE_ERRORS,
        ):
            return None

    def _count(self, outcome: str) -> None:
        self.node.metrics.count("rattanmill_pins", order=outcome)
