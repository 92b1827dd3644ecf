"""The load generator: a process of its own that plays all callers.

Usage: python -m bench.load < ORDER-AS-JSON > RESULT-AS-JSON
"""

import asyncio
import collections
import itertools
import random
import resource
import sys
import time
from typing import Any

import aiohttp
import msgspec

from bench.workloads import (
    WORKLOADS,
    ProgramPlan,
    Turn,
    arrival_times,
    programs,
)

_LAG_PAUSE = 0.02
_PATIENCE = 2.0
_LEAST_PAUSE = 0.2
_CALL_SECONDS = 60.0
_CONNECTIONS = 2000
_LAST_STATUS = 599


class Order(msgspec.Struct):
    """What to do.

    Attributes:
        workload: Name of the workload.
        seed: Fixes programs and arrivals.
        instances: Addresses of all instances.
        seconds: Length of the run.
        rate: Programs a second, or 0 for a closed loop.
        closed: Programs at a time, in a closed loop.
        warm_seconds: Programs that begin earlier are not counted.
        targets: Target in seconds by class.
        flood_workspace: Workspace that sends most programs, or empty.
    """

    workload: str
    seed: int
    instances: list[str]
    seconds: float
    rate: float
    closed: int
    warm_seconds: float
    targets: dict[str, float]
    flood_workspace: str = ""


class ProgramResult(msgspec.Struct):
    """How a program went.

    Attributes:
        klass: Its class.
        began: Seconds since the run's start.
        seconds: From its arrival to its end or until its caller gave up.
        state: ``finished``, ``refused`` (gave up before any turn ran) or
            ``abandoned`` (gave up later).
        turns: Turns that were answered.
    """

    klass: str
    workspace: str
    began: float
    seconds: float = 0.0
    state: str = "abandoned"
    turns: int = 0


class LoadResult(msgspec.Struct):
    """What the generator saw.

    Attributes:
        programs: All programs.
        refusals: Refusals by reason.
        calls: Calls answered.
        new_prompt_tokens: Tokens that some engine had to compute once.
        lag_p99: Its event loop's lateness, seconds.
        lag_most: The same, at most.
        cpu_share: Its processor time, of one core.
    """

    programs: list[ProgramResult]
    refusals: dict[str, int]
    calls: int
    lag_p99: float
    lag_most: float
    cpu_share: float


class _GaveUp(Exception):
    """The caller's patience is over."""


class Generator:
    """Runs an order."""

    def __init__(self, order: Order, session: aiohttp.ClientSession) -> None:
        self.order = order
        self.session = session
        self.rng = random.Random(order.seed)
        self.next_instance = itertools.cycle(order.instances)
        self.refusals: collections.Counter[str] = collections.Counter()
        self.results: list[ProgramResult] = []
        self.lags: list[float] = []
        self.calls = 0
        self.began = 0.0

    async def run(self) -> LoadResult:
        """Runs all programs to their ends."""
        loop = asyncio.get_running_loop()
        self.began = loop.time()
        started = time.process_time()
        watch = asyncio.create_task(self._watch_lag())
        if self.order.rate:
            await self._open_loop()
        else:
            await self._closed_loop()
        watch.cancel()
        elapsed = loop.time() - self.began
        lags = sorted(self.lags)
        return LoadResult(
            self.results,
            dict(self.refusals),
            self.calls,
            lags[int(len(lags) * 0.99)],
            lags[-1],
            (time.process_time() - started) / elapsed,
        )

    async def _watch_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            before = loop.time()
            await asyncio.sleep(_LAG_PAUSE)
            self.lags.append(loop.time() - before - _LAG_PAUSE)

    async def _open_loop(self) -> None:
        loop = asyncio.get_running_loop()
        order = self.order
        workload = WORKLOADS[order.workload]
        plans = programs(workload, order.seed)
        tasks = []
        for at in arrival_times(
            workload, order.rate, order.seconds, order.seed
        ):
            await asyncio.sleep(max(0.0, self.began + at - loop.time()))
            tasks.append(asyncio.create_task(self._program(next(plans))))
        await asyncio.gather(*tasks)

    async def _closed_loop(self) -> None:
        loop = asyncio.get_running_loop()
        plans = programs(WORKLOADS[self.order.workload], self.order.seed)

        async def repeat() -> None:
            while loop.time() - self.began < self.order.seconds:
                await self._program(next(plans))

        await asyncio.gather(*(repeat() for _ in range(self.order.closed)))

    async def _program(self, plan: ProgramPlan) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = ProgramResult(plan.klass, plan.workspace, began - self.began)
        self.results.append(result)
        patience = _PATIENCE * self.order.targets[plan.klass]
        try:
            async with asyncio.timeout(patience):
                await self._turns(plan, plan.turns, result, "")
            result.state = "finished"
        except TimeoutError:
            result.state = "abandoned" if result.turns else "refused"
        except _GaveUp:
            result.state = "refused"
        result.seconds = loop.time() - began

    async def _turns(
        self,
        plan: ProgramPlan,
        turns: list[Turn],
        result: ProgramResult,
        parent: str,
    ) -> None:
        body = {"class": plan.klass, "workspace": plan.workspace}
        if parent:
            body |= {"parent": parent, "budget": {"tokens": 20_000}}
        made = await self._call("POST", "/v1/programs", body, {}, None)
        program = made["program"]
        for number, turn in enumerate(turns, 1):
            await self._chat(program, number, turn, None if parent else result)
            result.turns += 1
            await asyncio.sleep(turn.pause)
            if turn.service:
                await self._service()
            if turn.sub_turns:
                await self._turns(plan, turn.sub_turns, result, program)
        await self._call("DELETE", f"/v1/programs/{program}", None, {}, None)

    async def _chat(
        self,
        program: str,
        number: int,
        turn: Turn,
        result: ProgramResult | None,
    ) -> None:
        body = {
            "model": "commentary",
            "messages": turn.messages,
            "max_tokens": 64,
            "standin": {"output_tokens": turn.output_tokens},
        }
        headers = {
            "Rattanmill-Program": program,
            "Rattanmill-Turn": str(number),
            "Rattanmill-History": "append",
        }
        waiting = result if number == 1 else None
        path = "/v1/chat/completions"
        await self._call("POST", path, body, headers, waiting)
        self.calls += 1

    async def _service(self) -> None:
        service = WORKLOADS[self.order.workload].service
        path = f"/v1/services/{service}/check"
        await self._call("POST", path, {"check": 1}, {}, None)
        self.calls += 1

    async def _call(
        self,
        method: str,
        path: str,
        body: dict | None,
        headers: dict[str, str],
        new: ProgramResult | None,
    ) -> Any:
        """Makes a call, again and again as the refusals tell.

        A caller of a program that has not begun gives up when it could not
        be in time any more; one whose program is under way goes on.
        """
        loop = asyncio.get_running_loop()
        while True:
            status, answer = await self._once(method, path, body, headers)
            if status < 300:
                return answer
            reason = answer.get("reason", f"status_{status}")
            self.refusals[reason] += 1
            pause = answer.get("retry_after") or _LEAST_PAUSE
            if new:
                age = loop.time() - self.began - new.began
                if age + pause > self.order.targets[new.klass]:
                    raise _GaveUp
            await asyncio.sleep(max(_LEAST_PAUSE / 4, pause))

    async def _once(
        self,
        method: str,
        path: str,
        body: dict | None,
        headers: dict[str, str],
    ) -> tuple[int, dict]:
        url = f"http://{next(self.next_instance)}{path}"
        try:
            async with self.session.request(
                method, url, json=body, headers=headers
            ) as answer:
                return answer.status, msgspec.json.decode(await answer.read())
        except (aiohttp.ClientError, OSError, msgspec.DecodeError):
            return _LAST_STATUS, {"reason": "connection"}


async def main() -> None:
    """Reads an order, runs it and writes the result."""
    order = msgspec.json.decode(sys.stdin.buffer.read(), type=Order)
    files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files[1], files[1]))
    connector = aiohttp.TCPConnector(limit=_CONNECTIONS)
    timeout = aiohttp.ClientTimeout(total=_CALL_SECONDS)
    async with aiohttp.ClientSession(
        connector=connector, timeout=timeout
    ) as session:
        result = await Generator(order, session).run()
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    asyncio.run(main())
