"""Probes endpoints, so that those that crash, hang or drain get no more work.

Each endpoint is probed by two instances of its failure domain, chosen by
rendezvous hashing among the live ones, so that its number of probes does not
grow with the number of instances. Other instances learn the results by notes,
see ``signs``. An instance whose call failed at an endpoint probes it at once.
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

from rattanmill_core import (
    DECODE_ERRORS,
    Aspect,
    Sign,
    loop_seconds,
    part_logger,
    start_loop,
)
from rattanmill_entry.node import Node
from rattanmill_entry.upstream import Failed
from rattanmill_platform import OversizedError, read_bounded
from rattanmill_policy import MAX_REPORT_BYTES, EndpointState, Load, Outcome

_log = part_logger("engines")
_T = TypeVar("_T")
_PROBERS_PER_ENDPOINT = 2
_PROBE_INTERVAL_SECONDS = 1.0
# If more endpoints are due, each is probed less often: a probe is about 400
# bytes with its headers.
_PROBES_PER_ROUND = 2
_PROBE_TIMEOUT_SECONDS = 1.0
# A probe that took longer than this means that this process was paused.
_PROCESS_PAUSE_SECONDS = 2.0
_SILENT_PROBES_TO_CLOSE = 2
_OUTAGE_WINDOW_SECONDS = 1.0
_MAX_OUTAGE_PROBES = 16
_STALL_SECONDS = 3.0
_STALLED_PROBES_TO_CLOSE = 3


class ProbeResult(enum.StrEnum):
    """Result of a probe."""

    GOOD = "good"
    DRAINING = "draining"
    REFUSED = "refused"
    SILENT = "silent"
    INCONCLUSIVE = "void"


class _ProbeHistory:
    """Results of earlier probes of one endpoint.

    Attributes:
        silent: Consecutive probes without a response.
        stalled: Consecutive probes that showed work but no progress.
        queued: Queued tokens at the last probe, or None.
        task: The probe that is running.
    """

    def __init__(self) -> None:
        self.silent = 0
        self.stalled = 0
        self.queued: int | None = None
        self.task: asyncio.Task[ProbeResult] | None = None


class EndpointMonitor:
    """Probes endpoints, and closes and reopens them by the results.

    Attributes:
        histories: Probe history of each endpoint, by name.
        live_instances: Names of the domain's instances, including this one,
            that are not suspected to be dead.
        ranks: Position of this instance among the probers of each endpoint.
        round_number: Number of rounds so far.

    Args:
        node: The daemon's context.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.histories: dict[str, _ProbeHistory] = {}
        self.live_instances = {node.settings.name}
        self.ranks: dict[str, int] = {}
        self.round_number = 0
        self.task: asyncio.Task | None = None
        node.table.on_suspect = lambda state: node.spawn(self._check(state))

    async def __aenter__(self) -> Self:
        self.task = start_loop("endpoint monitor", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def probe(self, state: EndpointState) -> ProbeResult:
        """Probes an endpoint; concurrent callers share a probe.

        The result of a probe that was already running is not used: it may
        have started before the endpoint crashed.
        """
        history = self.histories.setdefault(
            state.endpoint.name, _ProbeHistory()
        )
        earlier = history.task
        if earlier is not None:
            await asyncio.shield(earlier)
        if history.task is None or history.task is earlier:
            history.task = self.node.spawn(self._run_probe(state, history))
            history.task.add_done_callback(
                lambda task: setattr(history, "task", None)
            )
        return await asyncio.shield(history.task)

    async def _check(self, state: EndpointState) -> None:
        for _ in range(_SILENT_PROBES_TO_CLOSE):
            if await self.probe(state) is not ProbeResult.SILENT:
                return

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
            self.round_number += 1
            self._update_live_instances()
            for state in self._due():
                self.node.spawn(self.probe(state))
            for by_name in (self.histories, self.ranks):
                for name in by_name.keys() - self.node.table.states.keys():
                    del by_name[name]

    def _due(self) -> list[EndpointState]:
        """Returns the endpoints to probe in this round.

        Suspected and closed endpoints are due in each round, the others in
        turn. An endpoint of another failure domain is probed from here only
        while it is closed here, to learn when it can be reached again.
        """
        urgent_states = []
        routine_states = []
        domain = self.node.settings.domain
        for state in self.node.table.states.values():
            if state.active_timeouts and self._is_stalled(state):
                urgent_states.append(state)
            elif (
                (state.endpoint.domain == domain or state.closed)
                and state.listed
                and self._rank(state) < _PROBERS_PER_ENDPOINT
            ):
                (
                    urgent_states if self._is_urgent(state) else routine_states
                ).append(state)
        rounds = -(-len(routine_states) // _PROBES_PER_ROUND) or 1
        return (
            urgent_states + routine_states[self.round_number % rounds :: rounds]
        )

    def _is_urgent(self, state: EndpointState) -> bool:
        history = self.histories.get(state.endpoint.name)
        return state.closed or bool(history and history.silent)

    def is_primary(self, state: EndpointState) -> bool:
        """Whether this instance does the tasks that need one per engine."""
        own = state.endpoint.domain == self.node.settings.domain
        return own and self._rank(state) == 0

    def _rank(self, state: EndpointState) -> int:
        """Returns this instance's position among an endpoint's probers.

        Cached until the instances change: computed for all endpoints in each
        round, it would cost more than all other control work of a node.
        """
        name = state.endpoint.name
        if name not in self.ranks:
            ranked = sorted(
                self.live_instances,
                key=lambda instance: _weight(instance, name),
            )
            self.ranks[name] = ranked.index(self.node.settings.name)
        return self.ranks[name]

    def _update_live_instances(self) -> None:
        """Updates which instances of this domain are not suspected dead."""
        node = self.node
        live_instances = {
            record.name
            for record in node.live.instances.values()
            if record.domain == node.settings.domain
            and record.name not in node.suspects
        }
        live_instances.add(node.settings.name)
        if live_instances != self.live_instances:
            self.live_instances = live_instances
            self.ranks.clear()

    def _is_stalled(self, state: EndpointState) -> bool:
        """Whether this instance's calls there have made no progress lately."""
        idle = loop_seconds() - state.progress_at
        return bool(state.active_timeouts) and idle > _STALL_SECONDS

    async def _run_probe(
        self, state: EndpointState, history: _ProbeHistory
    ) -> ProbeResult:
        started_at = loop_seconds()
        result, load = await self._query(state)
        if loop_seconds() - started_at > _PROCESS_PAUSE_SECONDS:
            # This process was paused, not the endpoint, whose response may
            # have arrived in time.
            result = ProbeResult.INCONCLUSIVE
        self.node.metrics.count("rattanmill_probes", found=result)
        self._apply_result(state, history, result, load)
        return result

    async def _query(
        self, state: EndpointState
    ) -> tuple[ProbeResult, Load | None]:
        try:
            if state.endpoint.kind != "engine":
                await self._connect(state.endpoint.url)
                return ProbeResult.GOOD, None
            load = await self._read_load(state.endpoint.url)
        except (
            aiohttp.ConnectionTimeoutError,
            aiohttp.ServerTimeoutError,
            TimeoutError,
            OversizedError,
        ):
            return ProbeResult.SILENT, None
        except (aiohttp.ClientError, OSError):
            return ProbeResult.REFUSED, None
        if load and load.draining:
            return ProbeResult.DRAINING, load
        return ProbeResult.GOOD, load

    async def _connect(self, url: str) -> None:
        """Opens and closes a connection: a plain service has no load API."""
        host, port = url.rsplit("//", 1)[1].split("/")[0].rsplit(":", 1)
        local = (self.node.settings.http.rsplit(":", 1)[0], 0)
        async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(
                host.strip("[]"), int(port), local_addr=local
            )
        writer.close()

    async def _read_load(self, url: str) -> Load | None:
        """Reads an engine's load on a new connection.

        On a kept-alive connection, a process that is shutting down still
        responds after it has closed its listening socket.
        """
        timeout = aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_SECONDS)
        async with self.node.act_session.get(
            f"{url}/v1/load", timeout=timeout
        ) as response:
            body = await read_bounded(response, MAX_REPORT_BYTES)
        try:
            return msgspec.json.decode(body, type=Load)
        except DECODE_ERRORS:
            return None

    def _apply_result(
        self,
        state: EndpointState,
        history: _ProbeHistory,
        result: ProbeResult,
        load: Load | None,
    ) -> None:
        table = self.node.table
        if result is ProbeResult.INCONCLUSIVE:
            return
        history.silent = (
            history.silent + 1 if result is ProbeResult.SILENT else 0
        )
        if load:
            state.update_load(load)
        if result is ProbeResult.REFUSED:
            if not state.reach.closed:
                table.close(state, Aspect.REACH, Sign.REFUSED)
                self._suspect_outage(state)
        elif history.silent >= _SILENT_PROBES_TO_CLOSE:
            table.close(state, Aspect.REACH, Sign.SILENT)
        elif result is ProbeResult.DRAINING:
            table.close(state, Aspect.DEPARTURE, Sign.DRAINING)
        progresses = self._makes_progress(state, history, load)
        if history.stalled >= _STALLED_PROBES_TO_CLOSE:
            table.close(state, Aspect.REACH, Sign.STALLED)
        answered = result in (ProbeResult.GOOD, ProbeResult.DRAINING)
        if answered and not self._is_stalled(state):
            state.avoid_until = 0.0
        now = loop_seconds()
        if state.reach.record_probe(answered and progresses, now):
            table.reopen(state, Aspect.REACH)
            _log.info("Endpoint {} is reachable again.", state.endpoint.name)
        has_returned = (
            result is ProbeResult.GOOD and state.endpoint.state == "live"
        )
        if state.departure.record_probe(has_returned and state.listed, now):
            table.reopen(state, Aspect.DEPARTURE)
            _log.info("Endpoint {} is in service again.", state.endpoint.name)

    def _suspect_outage(self, state: EndpointState) -> None:
        """Probes more endpoints of a domain that has just lost a second one.

        Otherwise, in an outage, a call would be retried at one dead endpoint
        after the other until it has no attempts left.
        """
        since = loop_seconds() - _OUTAGE_WINDOW_SECONDS
        siblings = self._siblings(state)
        if any(s.reach.closed and s.reach.changed_at > since for s in siblings):
            self.node.spawn(self.probe_siblings(state, _MAX_OUTAGE_PROBES))

    async def probe_siblings(
        self, state: EndpointState, max_probes: int
    ) -> None:
        """Probes other endpoints of the same kind and failure domain.

        Args:
            state: The endpoint; it is not probed itself.
            max_probes: Maximum number of endpoints, chosen at random.
        """
        siblings = [
            other for other in self._siblings(state) if not other.closed
        ]
        chosen = random.sample(siblings, min(max_probes, len(siblings)))
        await asyncio.gather(*map(self.probe, chosen))

    def _siblings(self, state: EndpointState) -> list[EndpointState]:
        return [
            other
            for other in self.node.table.states.values()
            if other is not state
            and other.endpoint.domain == state.endpoint.domain
            and other.endpoint.kind == state.endpoint.kind
        ]

    def _makes_progress(
        self, state: EndpointState, history: _ProbeHistory, load: Load | None
    ) -> bool:
        """Whether an engine that has work makes progress.

        An engine that hangs may accept connections and answer probes while
        its batch makes no progress. The signs are that no call of this
        instance there got a token for seconds and that its queue does not
        shrink.
        """
        if load is None:
            return True
        previous_queued, history.queued = history.queued, load.queued_tokens
        busy = load.waiting + load.running > 0
        progresses = (
            not busy
            or previous_queued is None
            or load.queued_tokens < previous_queued
        )
        stalled = self._is_stalled(state) and not progresses
        history.stalled = history.stalled + 1 if stalled else 0
        return progresses


async def stop_when_closed(
    parts: AsyncGenerator[_T], state: EndpointState
) -> AsyncIterator[_T | Failed]:
    """Yields the parts of an answer, or Failed if its endpoint is closed.

    Without this, a call at an engine that hangs would wait for the longest
    time that a healthy engine may take between tokens.

    Args:
        parts: The parts of the answer.
        state: The endpoint that answers.
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
