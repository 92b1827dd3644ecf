"""Probes endpoints, so that those that die, hang or leave get no more work.

Each endpoint is probed by two instances of its failure domain, found by
rendezvous hashing among those that live, so that the probes it gets do not
grow with the number of instances. Others learn by notes, see ``signs``. Who
has had a call fail there probes it at once.
"""

import asyncio
import contextlib
import enum
import hashlib
import random
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Self, TypeVar

import aiohttp
import msgspec

from rattanmill_core import Aspect, Sign, loop_seconds, part_logger, start_loop
from rattanmill_entry.node import Node
from rattanmill_entry.upstream import Failed
from rattanmill_policy import EndpointState, Load, Outcome

_log = part_logger("engines")
_T = TypeVar("_T")
_PROBERS = 2
_ROUND_SECONDS = 1.0
# An instance with more endpoints than this to probe does so less often: a
# probe is about 400 bytes with its headers.
_PROBES_PER_ROUND = 2
_PROBE_SECONDS = 1.0
# A probe that took longer than this tells of a pause of our own.
_PAUSE_SECONDS = 2.0
_SILENT_PROBES = 2
_OUTAGE_SECONDS = 1.0
_PROBES_IN_OUTAGE = 16
_STALL_SECONDS = 3.0
_STALL_PROBES = 3


class Probe(enum.StrEnum):
    """What a probe found."""

    GOOD = "good"
    DRAINING = "draining"
    REFUSED = "refused"
    SILENT = "silent"
    VOID = "void"


class _Record:
    """What probing has found of one endpoint so far.

    Attributes:
        silent: Probes in a row without an answer.
        stalled: Probes in a row that showed work and no progress.
        queued: Queued tokens at the last probe, or None.
        task: The probe that is under way.
    """

    def __init__(self) -> None:
        self.silent = 0
        self.stalled = 0
        self.queued: int | None = None
        self.task: asyncio.Task[Probe] | None = None


class EndpointWatch:
    """Probes and judges endpoints.

    Args:
        node: The daemon's context.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.records: dict[str, _Record] = {}
        self.living = {node.settings.name}
        self.ranks: dict[str, int] = {}
        self.turn = 0
        self.task: asyncio.Task | None = None
        node.table.on_suspect = lambda state: node.spawn(self._check(state))

    async def __aenter__(self) -> Self:
        self.task = start_loop("endpoint watch", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def confirm(self, state: EndpointState) -> Probe:
        """Probes an endpoint; those who ask at the same time share a probe.

        A probe that was under way before is no answer: it may have begun
        while the endpoint, which has crashed since, was well.
        """
        record = self.records.setdefault(state.endpoint.name, _Record())
        earlier = record.task
        if earlier is not None:
            await asyncio.shield(earlier)
        if record.task is None or record.task is earlier:
            record.task = self.node.spawn(self._probe(state, record))
            record.task.add_done_callback(
                lambda task: setattr(record, "task", None)
            )
        return await asyncio.shield(record.task)

    async def _check(self, state: EndpointState) -> None:
        for _ in range(_SILENT_PROBES):
            if await self.confirm(state) is not Probe.SILENT:
                return

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_ROUND_SECONDS)
            self.turn += 1
            self._note_living()
            for state in self._due():
                self.node.spawn(self.confirm(state))
            for known in (self.records, self.ranks):
                for name in known.keys() - self.node.table.states.keys():
                    del known[name]

    def _due(self) -> list[EndpointState]:
        """Endpoints to probe in this round.

        Suspects and closed ones come each round, the others in turn. One of
        another failure domain is probed from here only while it is closed to
        us, to find out when it can be reached again.
        """
        urgent = []
        calm = []
        domain = self.node.settings.domain
        for state in self.node.table.states.values():
            if state.active_timeouts and self._is_stuck(state):
                urgent.append(state)
            elif (
                (state.endpoint.domain == domain or state.closed)
                and state.listed
                and self._rank(state) < _PROBERS
            ):
                (urgent if self._is_urgent(state) else calm).append(state)
        rounds = -(-len(calm) // _PROBES_PER_ROUND) or 1
        return urgent + calm[self.turn % rounds :: rounds]

    def _is_urgent(self, state: EndpointState) -> bool:
        record = self.records.get(state.endpoint.name)
        return state.closed or bool(record and record.silent)

    def is_first(self, state: EndpointState) -> bool:
        """Whether this instance does what one instance does for an engine."""
        own = state.endpoint.domain == self.node.settings.domain
        return own and self._rank(state) == 0

    def _rank(self, state: EndpointState) -> int:
        """Returns our place among the probers of an endpoint.

        Kept until the instances change: worked out anew in each round for
        all endpoints, it would cost a node more than all its other control.
        """
        name = state.endpoint.name
        if name not in self.ranks:
            ranked = sorted(self.living, key=lambda each: _weight(each, name))
            self.ranks[name] = ranked.index(self.node.settings.name)
        return self.ranks[name]

    def _note_living(self) -> None:
        """Notes which instances of our domain are not known to be dead."""
        node = self.node
        living = {
            record.name
            for record in node.live.instances.values()
            if record.domain == node.settings.domain
            and record.name not in node.suspects
        }
        living.add(node.settings.name)
        if living != self.living:
            self.living = living
            self.ranks.clear()

    def _is_stuck(self, state: EndpointState) -> bool:
        """Whether our calls there have made no progress for a while."""
        idle = loop_seconds() - state.progress_at
        return bool(state.active_timeouts) and idle > _STALL_SECONDS

    async def _probe(self, state: EndpointState, record: _Record) -> Probe:
        began = loop_seconds()
        found, load = await self._ask(state)
        if loop_seconds() - began > _PAUSE_SECONDS:
            # We were stopped, not the endpoint: its answer may have been
            # there all the time.
            found = Probe.VOID
        self.node.metrics.count("rattanmill_probes", found=found)
        self._judge(state, record, found, load)
        return found

    async def _ask(self, state: EndpointState) -> tuple[Probe, Load | None]:
        try:
            if state.endpoint.kind != "engine":
                await self._connect(state.endpoint.url)
                return Probe.GOOD, None
            load = await self._read_load(state.endpoint.url)
        except (
            aiohttp.ConnectionTimeoutError,
            aiohttp.ServerTimeoutError,
            TimeoutError,
        ):
            return Probe.SILENT, None
        except (aiohttp.ClientError, OSError):
            return Probe.REFUSED, None
        if load and load.draining:
            return Probe.DRAINING, load
        return Probe.GOOD, load

    async def _connect(self, url: str) -> None:
        """Opens and closes a connection: a plain service has no probe."""
        host, port = url.rsplit("//", 1)[1].split("/")[0].rsplit(":", 1)
        local = (self.node.settings.http.rsplit(":", 1)[0], 0)
        async with asyncio.timeout(_PROBE_SECONDS):
            _, writer = await asyncio.open_connection(
                host.strip("[]"), int(port), local_addr=local
            )
        writer.close()

    async def _read_load(self, url: str) -> Load | None:
        """Reads an engine's load on a connection of its own.

        One that is kept would still be answered by a process that is leaving
        and has closed its listening socket.
        """
        timeout = aiohttp.ClientTimeout(total=_PROBE_SECONDS)
        async with self.node.act_session.get(
            f"{url}/v1/load", timeout=timeout
        ) as answer:
            body = await answer.read()
        try:
            return msgspec.json.decode(body, type=Load)
        except msgspec.DecodeError:
            return None

    def _judge(
        self,
        state: EndpointState,
        record: _Record,
        found: Probe,
        load: Load | None,
    ) -> None:
        table = self.node.table
        if found is Probe.VOID:
            return
        record.silent = record.silent + 1 if found is Probe.SILENT else 0
        if load:
            state.update_load(load)
        if found is Probe.REFUSED:
            if not state.reach.closed:
                table.close(state, Aspect.REACH, Sign.REFUSED)
                self._suspect_outage(state)
        elif record.silent >= _SILENT_PROBES:
            table.close(state, Aspect.REACH, Sign.SILENT)
        elif found is Probe.DRAINING:
            table.close(state, Aspect.DEPARTURE, Sign.DRAINING)
        moves = self._moves(state, record, load)
        if record.stalled >= _STALL_PROBES:
            table.close(state, Aspect.REACH, Sign.STALLED)
        answered = found in (Probe.GOOD, Probe.DRAINING)
        if answered and not self._is_stuck(state):
            state.avoid_until = 0.0
        now = loop_seconds()
        if state.reach.record_probe(answered and moves, now):
            table.reopen(state, Aspect.REACH)
            _log.info("Endpoint {} works again.", state.endpoint.name)
        back = found is Probe.GOOD and state.endpoint.state == "live"
        if state.departure.record_probe(back and state.listed, now):
            table.reopen(state, Aspect.DEPARTURE)
            _log.info("Endpoint {} is back.", state.endpoint.name)

    def _suspect_outage(self, state: EndpointState) -> None:
        """Probes others of a domain that has just lost a second endpoint.

        In an outage a call would else be moved from one dead endpoint to the
        next until its tries are used up.
        """
        since = loop_seconds() - _OUTAGE_SECONDS
        beside = self._beside(state)
        if any(s.reach.closed and s.reach.changed_at > since for s in beside):
            self.node.spawn(self.look_beside(state, _PROBES_IN_OUTAGE))

    async def look_beside(self, state: EndpointState, most: int) -> None:
        """Probes some others of an endpoint's kind in its failure domain."""
        beside = [other for other in self._beside(state) if not other.closed]
        chosen = random.sample(beside, min(most, len(beside)))
        await asyncio.gather(*map(self.confirm, chosen))

    def _beside(self, state: EndpointState) -> list[EndpointState]:
        return [
            other
            for other in self.node.table.states.values()
            if other is not state
            and other.endpoint.domain == state.endpoint.domain
            and other.endpoint.kind == state.endpoint.kind
        ]

    def _moves(
        self, state: EndpointState, record: _Record, load: Load | None
    ) -> bool:
        """Whether an engine that has work gets on with it.

        A half-dead engine accepts connections and answers probes while its
        batch stands still. What shows it is that none of our calls there has
        had a token for seconds and its queue does not shrink either.
        """
        if load is None:
            return True
        before, record.queued = record.queued, load.queued_tokens
        busy = load.waiting + load.running > 0
        moves = not busy or before is None or load.queued_tokens < before
        stalled = self._is_stuck(state) and not moves
        record.stalled = record.stalled + 1 if stalled else 0
        return moves


async def until_closed(
    parts: AsyncGenerator[_T], state: EndpointState
) -> AsyncIterator[_T | Failed]:
    """Yields the parts of an answer, or a failure if its endpoint is given up.

    Without it, a call at an engine that hangs waits for the longest silence
    that a healthy engine may keep.
    """
    if not state.active_timeouts:
        state.progress_at = loop_seconds()
    async with contextlib.aclosing(parts):
        while True:
            timer = asyncio.timeout(None)
            try:
                async with timer:
                    state.active_timeouts.add(timer)
                    part = await anext(parts)
            except StopAsyncIteration:
                return
            except TimeoutError:
                yield Failed(Outcome.TIMED_OUT, 0, "the endpoint hangs")
                return
            finally:
                state.active_timeouts.discard(timer)
            state.progress_at = loop_seconds()
            yield part


def _weight(instance: str, endpoint: str) -> bytes:
    text = f"{instance}\n{endpoint}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
