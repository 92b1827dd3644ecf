"""Engine memory held for programs: pins, their release, and the sweep.

The owner of a program pins its cache at the engine that ran its last turn and
releases it when the program ends or stays away for too long. A release can be
lost, an owner can die, and an old one can wake up and pin again. So the pins
that engines report are swept: one instance of each engine's failure domain
reads them and tells each shard's owner which there are; only the owner, who
knows which programs live, lets go. While an owner cannot be asked, its
programs' pins stay.
"""

import asyncio
from typing import Self

import aiohttp
import msgspec

from rattanmill_core import (
    loop_seconds,
    parse_program_id,
    part_logger,
    start_loop,
)
from rattanmill_entry.attempts import ChatRun
from rattanmill_entry.engines import EndpointWatch
from rattanmill_entry.expiry import end_expired
from rattanmill_entry.node import Node
from rattanmill_entry.route import owner_of
from rattanmill_policy import EndpointState, Pin, ProgramPins, has_room
from rattanmill_programs import Program, Shard
from rattanmill_wire import PinsHeld

_log = part_logger("memory")
_ROUND_SECONDS = 1.0
_LEAST_SWEEP_SECONDS = 3.0
# The more pins were read, the longer until the next engine is swept: with the
# message to the owner, a pin is about 130 bytes.
_PIN_BYTES = 130
_SWEEP_BYTES_PER_SECOND = 500
_ORDER_SECONDS = 2.0
_FENCED = 412


class _HeldPin(msgspec.Struct):
    owner: str
    epoch: int = 0


class _HeldPins(msgspec.Struct):
    pins: list[_HeldPin]


class EngineMemory:
    """Pins of the programs that this instance owns, and the sweep.

    Args:
        node: The daemon's context.
        watch: Tells which engines this instance sweeps.
    """

    def __init__(self, node: Node, watch: EndpointWatch) -> None:
        self.node = node
        self.watch = watch
        self.programs: dict[str, ProgramPins] = {}
        self.swept = 0
        self.sweep_at = 0.0
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("engine memory", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    def turn_began(self, program: str) -> None:
        """Learns how long the program's tool pause was."""
        if pinned := self.programs.get(program):
            pinned.end_pause(loop_seconds())

    def turn_ended(self, run: ChatRun, state: EndpointState) -> None:
        """Keeps the program's cache where its turn ran, if that is worth it."""
        program = run.work.program
        found = self._owned(program)
        if found is None:
            return
        shard, _ = found
        pinned = self.programs.setdefault(program, ProgramPins())
        pinned.paused_at = loop_seconds()
        name = state.endpoint.name
        for other in [n for n in pinned.pins if n != name]:
            self._release(shard, program, other, "moved")
        tokens = sum(tokens for _, tokens in run.work.prefixes)
        if pinned.covers(name, tokens):
            pinned.pins[name].expires_at = pinned.pin_deadline(loop_seconds())
        elif pinned.should_pin(tokens) and has_room(
            state, tokens, self._tokens_at(name)
        ):
            # Noted first: if the answer is lost, the pin may be there.
            pinned.pins[name] = Pin(tokens, pinned.pin_deadline(loop_seconds()))
            self.node.spawn(self._pin(run, state))

    def hear(self, message: PinsHeld) -> None:
        """Lets go of reported pins whose programs have ended.

        Only as the shard's owner with a valid lease: an owner that was paused
        does not know of programs that began since. What a later epoch pinned
        is not ours to judge either.
        """
        domain, _, number = message.shard.rpartition(".")
        key = (domain, int(number) if number.isdecimal() else -1)
        shard = self.node.shards.get(key)
        if shard is None or shard.log.fenced or not self.node.lease.holds():
            return
        for program, epoch in message.pins:
            if epoch <= shard.epoch:
                self._judge(shard, program, message.endpoint)

    def _judge(self, shard: Shard, program: str, engine: str) -> None:
        known = shard.programs.get(program)
        if known is None or known.ended is not None:
            self._release(shard, program, engine, "swept")
            return
        pinned = self.programs.setdefault(program, ProgramPins())
        if not pinned.pins:
            # Pinned by an owner before us.
            pinned.pins[engine] = Pin(0, pinned.pin_deadline(loop_seconds()))
            self._count("adopted")
        elif engine not in pinned.pins:
            self._release(shard, program, engine, "swept")

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_ROUND_SECONDS)
            await end_expired(self.node)
            self._let_go()
            if loop_seconds() >= self.sweep_at and (state := self._to_sweep()):
                self.sweep_at = loop_seconds() + _LEAST_SWEEP_SECONDS
                self.node.spawn(self._sweep(state))

    def _let_go(self) -> None:
        """Releases what ended programs and overdue pauses hold."""
        if not self.node.lease.holds():
            return
        now = loop_seconds()
        for program, pinned in list(self.programs.items()):
            found = self._owned(program)
            if found is None:
                # Another instance owns it and finds its pins by the sweep.
                del self.programs[program]
                continue
            shard, known = found
            ended = known.ended is not None
            for engine, pin in list(pinned.pins.items()):
                if ended:
                    self._release(shard, program, engine, "ended")
                elif now > pin.expires_at and not known.waiting:
                    self._release(shard, program, engine, "overdue")
            if ended:
                self.programs.pop(program, None)

    def _owned(self, program: str) -> tuple[Shard, Program] | None:
        parsed = parse_program_id(program)
        if parsed is None:
            return None
        shard = self.node.shards.get((parsed.domain, parsed.shard))
        known = shard.programs.get(program) if shard else None
        return (shard, known) if shard and known else None

    def _tokens_at(self, engine: str) -> int:
        return sum(
            pinned.pins[engine].tokens
            for pinned in self.programs.values()
            if engine in pinned.pins
        )

    async def _pin(self, run: ChatRun, state: EndpointState) -> None:
        body = {
            "owner": run.work.program,
            "model": run.chat.model,
            "messages": [msgspec.Raw(message) for message in run.messages],
            "fence": run.fence,
        }
        await self._order(state.endpoint.url, "/v1/pins", body, "pinned")

    def _release(
        self, shard: Shard, program: str, engine: str, why: str
    ) -> None:
        """Lets go of one pin; if the order is lost, the sweep finds it."""
        if pinned := self.programs.get(program):
            pinned.pins.pop(engine, None)
        state = self.node.table.states.get(engine)
        if state is None:
            return
        fence = f"{shard.domain}.{shard.number}:{shard.epoch}"
        body = {"owner": program, "fence": fence}
        url = state.endpoint.url
        self.node.spawn(self._order(url, "/v1/pins/release", body, why))

    async def _order(self, url: str, path: str, body: dict, what: str) -> None:
        timeout = aiohttp.ClientTimeout(total=_ORDER_SECONDS)
        try:
            async with self.node.session.post(
                url + path,
                data=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as answer:
                await answer.read()
                status = answer.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._count("lost")
            return
        if status == _FENCED:
            self._count("fenced")
        else:
            self._count(what if status == 200 else "failed")

    def _to_sweep(self) -> EndpointState | None:
        """Returns the next engine whose pins this instance reads."""
        mine = [
            state
            for state in self.node.table.states.values()
            if state.endpoint.kind == "engine"
            and not state.reach.closed
            and self.watch.is_first(state)
        ]
        self.swept += 1
        return mine[self.swept % len(mine)] if mine else None

    async def _sweep(self, state: EndpointState) -> None:
        held = await self._read_pins(state)
        if held is None:
            return
        self.node.metrics.count("rattanmill_pin_sweeps")
        seconds = len(held) * _PIN_BYTES / _SWEEP_BYTES_PER_SECOND
        self.sweep_at = loop_seconds() + max(_LEAST_SWEEP_SECONDS, seconds)
        by_shard: dict[tuple[str, int], list[tuple[str, int]]] = {}
        for pin in held:
            if parsed := parse_program_id(pin.owner):
                key = (parsed.domain, parsed.shard)
                by_shard.setdefault(key, []).append((pin.owner, pin.epoch))
        for (domain, number), pins in by_shard.items():
            message = PinsHeld(state.endpoint.name, f"{domain}.{number}", pins)
            await self._tell(domain, number, message)

    async def _tell(self, domain: str, number: int, message: PinsHeld) -> None:
        if (domain, number) in self.node.shards:
            self.hear(message)
        elif owner := owner_of(self.node, domain, number):
            await self.node.link(owner).send(message)

    async def _read_pins(self, state: EndpointState) -> list[_HeldPin] | None:
        timeout = aiohttp.ClientTimeout(total=_ORDER_SECONDS)
        url = f"{state.endpoint.url}/v1/pins"
        try:
            async with self.node.session.get(url, timeout=timeout) as answer:
                body = await answer.read()
            return msgspec.json.decode(body, type=_HeldPins).pins
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
        ):
            return None

    def _count(self, order: str) -> None:
        self.node.metrics.count("rattanmill_pins", order=order)
