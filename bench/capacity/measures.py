"""Measures each slope on one machine with the stand-ins.

Every measure starts its own stack of real processes, varies one size over at
least four points and returns the lines through them.
"""

import asyncio
import time
from collections.abc import Callable, Iterator

import aiohttp
import msgspec

from bench.capacity.calls import JSON, chat
from bench.capacity.fit import Slope, fit
from bench.capacity.fleets import fleets, takeovers
from bench.sampling import cpu_seconds, memory_bytes
from bench.timing import Timing, closed_loop, open_loop
from support import EngineSpec, Layout, ServiceSpec, Stack
from support.stack import Instance

_INSTANT = {"instant": True}
_PACED = {
    "instant": False,
    "token_events": True,
    "decode": 36.0,
    "slots": 2000,
    "prefill": 1e9,
}
_STREAM_RATE = 20
_LOAD_SECONDS = 6.0
_IDLE_SECONDS = 10.0
_SETTLE_SECONDS = 3.0


def _one_instance(**options: object) -> Layout:
    engine = EngineSpec("engine-1", 0, {**_INSTANT, **options})
    return Layout(
        domains=("alba-east",),
        per_domain=1,
        engines=[engine],
        services=[ServiceSpec("office-1")],
    )


def _under_load(
    instances: list[Instance], run: Callable[[], Timing]
) -> tuple[float, Timing]:
    """Returns the processor seconds of some instances during a load."""
    before = sum(cpu_seconds(i.process.pid) for i in instances)
    timing = run()
    after = sum(cpu_seconds(i.process.pid) for i in instances)
    assert not timing.failed, f"{timing.failed} calls failed"
    return after - before, timing


def requests() -> list[Slope]:
    """Processor time of an instance against calls without a program."""
    points = []
    with Stack(_one_instance()) as stack:
        instance = stack.instances[0]
        call = chat(instance.http, {"max_tokens": 1}, {})
        asyncio.run(closed_loop(call, 200, 8))
        for rate in (25, 50, 100, 200):
            used, timing = _under_load(
                [instance],
                lambda rate=rate: asyncio.run(
                    open_loop(call, rate, _LOAD_SECONDS)
                ),
            )
            points.append((rate, used / timing.elapsed))
    return [fit("request", "requests/s of an instance", "cores", points)]


def tokens() -> list[Slope]:
    """Processor time against tokens streamed one by one, 28 ms apart.

    Once by the instance that the caller reached, once over a peer link, as
    the owner's and the caller's instance together.
    """
    alone, forwarded = [], []
    layout = msgspec.structs.replace(_one_instance(**_PACED), per_domain=2)
    with Stack(layout) as stack:
        owner, other = stack.instances
        _warm(owner)
        for count in (1, 16, 64, 128):
            call = chat(owner.http, _streamed(count), {})
            used, timing = _under_load(
                [owner],
                lambda call=call: asyncio.run(
                    open_loop(call, _STREAM_RATE, _LOAD_SECONDS)
                ),
            )
            alone.append((_STREAM_RATE * count, used / timing.elapsed))
            ids = _owned(owner, int(_STREAM_RATE * _LOAD_SECONDS))
            turn = _streamed_turn(other.http, ids, count)
            used, timing = _under_load(
                [owner, other],
                lambda turn=turn: asyncio.run(
                    open_loop(turn, _STREAM_RATE, _LOAD_SECONDS)
                ),
            )
            forwarded.append((_STREAM_RATE * count, used / timing.elapsed))
    x = "tokens/s streamed"
    return [
        fit("token", x, "cores", alone),
        fit("token, forwarded", x, "cores of both", forwarded),
    ]


def _warm(instance: Instance) -> None:
    """Lets an instance find out how much its engine takes at once."""
    call = chat(instance.http, _streamed(8), {})
    for at_once in (4, 8, 16, 32, 64, 128):
        asyncio.run(closed_loop(call, 4 * at_once, at_once))


def _streamed(count: int) -> dict:
    return {
        "stream": True,
        "max_tokens": count,
        "standin": {"output_tokens": count},
    }


def _owned(owner: Instance, count: int) -> list[str]:
    """Makes programs that an instance owns."""
    return [owner.client.create() for _ in range(count)]


def _streamed_turn(
    address: str, ids: list[str], count: int
) -> Callable[[aiohttp.ClientSession, int], object]:
    async def call(http: aiohttp.ClientSession, number: int) -> bool:
        headers = {"Rattanmill-Program": ids[number]}
        return await chat(address, _streamed(count), headers)(http, number)

    return call


def turns() -> list[Slope]:
    """Processor time and store calls against turns of programs."""
    cpu, writes, written = [], [], []
    with Stack(_one_instance()) as stack:
        instance = stack.instances[0]
        kv = stack.standins["kv"]
        programs = [instance.client.create() for _ in range(200)]
        for rate in (20, 40, 80, 120):
            before = kv.stats()
            used, timing = _under_load(
                [instance],
                lambda rate=rate: asyncio.run(
                    open_loop(
                        _turn(instance.http, programs), rate, _LOAD_SECONDS
                    )
                ),
            )
            after = kv.stats()
            cpu.append((rate, used / timing.elapsed))
            writes.append(
                (rate, (after["writes"] - before["writes"]) / timing.elapsed)
            )
            written.append(
                (
                    rate,
                    (after["bytes_written"] - before.get("bytes_written", 0))
                    / timing.elapsed,
                )
            )
    x = "turns/s of an instance"
    return [
        fit("turn", x, "cores", cpu),
        fit("turn, store writes", x, "writes/s", writes),
        fit("turn, bytes to the store", x, "bytes/s", written),
    ]


def _turn(
    address: str, programs: list[str]
) -> Callable[[aiohttp.ClientSession, int], object]:
    async def call(http: aiohttp.ClientSession, number: int) -> bool:
        headers = {
            "Rattanmill-Program": programs[number % len(programs)],
            "Rattanmill-History": "append",
        }
        inner = chat(address, {"max_tokens": 1}, headers)
        return await inner(http, number)

    return call


def programs() -> list[Slope]:
    """Memory against idle programs, and against their history."""
    held, sized = [], []
    with Stack(_one_instance()) as stack:
        instance = stack.instances[0]
        made = 0
        for count in (500, 1000, 2000, 4000):
            asyncio.run(closed_loop(_create(instance.http), count - made, 32))
            made = count
            held.append((count, memory_bytes(instance.process.pid)))
    text = "y" * 4000
    with Stack(_one_instance()) as stack:
        instance = stack.instances[0]
        ids = [instance.client.create() for _ in range(100)]
        for rounds in range(1, 5):
            call = _history_turn(instance.http, ids, text)
            asyncio.run(closed_loop(call, len(ids), 16))
            size = rounds * len(ids) * len(text)
            sized.append((size, memory_bytes(instance.process.pid)))
    return [
        fit("idle program", "programs held", "bytes", held),
        fit("history", "bytes of history held", "bytes", sized),
    ]


def _create(
    address: str,
) -> Callable[[aiohttp.ClientSession, int], object]:
    async def call(http: aiohttp.ClientSession, number: int) -> bool:
        async with http.post(
            f"http://{address}/v1/programs", data=b"{}", headers=JSON
        ) as answer:
            await answer.read()
            return answer.status == 201

    return call


def _history_turn(
    address: str, ids: list[str], text: str
) -> Callable[[aiohttp.ClientSession, int], object]:
    fields = {
        "max_tokens": 1,
        "messages": [{"role": "user", "content": text}],
    }

    async def call(http: aiohttp.ClientSession, number: int) -> bool:
        headers = {
            "Rattanmill-Program": ids[number],
            "Rattanmill-History": "append",
        }
        return await chat(address, fields, headers)(http, number)

    return call


def endpoints() -> list[Slope]:
    """Idle processor time and memory against endpoints in the list.

    The list names one engine under many names, so that the cost is that of
    knowing endpoints and not of running them.
    """
    cpu, memory = [], []
    with Stack(_one_instance()) as stack:
        instance = stack.instances[0]
        listed = stack.endpoint_list()
        for count in (10, 100, 500, 1000):
            many = [{**listed[0], "name": f"engine-{n}"} for n in range(count)]
            stack.standins["directory"].request(
                "PUT", "/instances", {"instances": many}
            )
            time.sleep(_SETTLE_SECONDS)
            before = cpu_seconds(instance.process.pid)
            time.sleep(_IDLE_SECONDS)
            used = cpu_seconds(instance.process.pid) - before
            cpu.append((count, used / _IDLE_SECONDS))
            memory.append((count, memory_bytes(instance.process.pid)))
    x = "endpoints known"
    return [
        fit("endpoint", x, "cores", cpu),
        fit("endpoint, memory", x, "bytes", memory),
    ]


class Measure(msgspec.Struct):
    """A measure by its name on the command line."""

    name: str
    run: Callable[[], list[Slope]]


def measures() -> Iterator[Measure]:
    """Yields all measures."""
    for run in (
        requests,
        tokens,
        turns,
        programs,
        endpoints,
        fleets,
        takeovers,
    ):
        yield Measure(run.__name__, run)
