"""Ways to keep programs' state: bytes, writes and time that a turn costs.

Each way keeps the same turns in the stand-in of the key-value service. The
time is what keeping adds to a turn; engines take no part.

Usage: python -m bench.state
"""

import asyncio
import contextlib
import hashlib
import itertools
import statistics
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec

from rattanmill_core import Metrics
from rattanmill_platform import KvClient, Unavailable
from rattanmill_programs import (
    Committed,
    ProgramCreated,
    Shard,
    ShardLog,
    TurnKept,
    compact,
    recover,
    sign_receipt,
    verify_receipt,
)
from rattanmill_programs.program import Program, apply, next_chain
from support import wait_until
from support.client import Client
from support.process import Process

_PROGRAMS = 60
_TURNS = 20
_SHARDS = 6
# 170,000 tokens in 430 turns, four bytes a token.
_TURN_BYTES = 1600
_ROUNDS = 3
_RETRY_SECONDS = 0.05
_SECRET = b"s" * 40


class Cost(msgspec.Struct):
    """What keeping a turn costs.

    Attributes:
        name: The way.
        writes: Writes of the service for a turn.
        reads: Reads of the service for a turn.
        stored: Bytes written to the service for a turn.
        carried: Bytes between caller and instance beyond the turn itself.
        p50: Milliseconds added to a turn, median.
        p99: Milliseconds added to a turn, of which one in a hundred is longer.
    """

    name: str
    writes: float
    reads: float
    stored: float
    carried: float
    p50: float
    p99: float


def created(name: str) -> ProgramCreated:
    """Returns a new program's record."""
    return ProgramCreated(
        name, "default", "leith", 10**7, 430, 9e9, time.time()
    )


def next_turn(program: Program) -> TurnKept:
    """Returns the next turn of a program, as long as a usual one."""
    half = b'"' + b"x" * (_TURN_BYTES // 2 - 2) + b'"'
    turn = TurnKept(
        program.creation.program,
        len(program.turns) + 1,
        b"d" * 32,
        len(program.transcript),
        [half],
        half,
        "stop",
        "commentary",
        400 * (len(program.turns) + 1),
        200,
        program.spent + 400,
        b"",
    )
    return msgspec.structs.replace(turn, chain=next_chain(program.chain, turn))


Keep = Callable[[Program, TurnKept], Awaitable[int]]


async def drive(
    name: str, kv: Client, programs: list[Program], keep: Keep
) -> Cost:
    """Keeps turns of all programs at once and measures it.

    Args:
        name: Name of the way.
        kv: The service, for its counts.
        programs: Programs to keep turns of.
        keep: Keeps a turn and returns the bytes carried by the caller.
    """
    seconds: list[float] = []
    carried = 0

    async def run(program: Program) -> None:
        nonlocal carried
        for _ in range(_TURNS):
            turn = next_turn(program)
            began = time.perf_counter()
            carried += await keep(program, turn)
            seconds.append(time.perf_counter() - began)

    before = kv.stats()
    await asyncio.gather(*(run(program) for program in programs))
    after = kv.stats()
    turns = len(seconds)

    def grown(key: str) -> float:
        return (after.get(key, 0) - before.get(key, 0)) / turns

    cuts = statistics.quantiles(seconds, n=100)
    return Cost(
        name,
        grown("writes"),
        grown("reads"),
        grown("bytes_written"),
        carried / turns,
        cuts[49] * 1000,
        cuts[98] * 1000,
    )


async def open_shard(kv: KvClient, domain: str, number: int) -> Shard:
    """Returns a shard whose log is in the service."""
    recovered = await recover(kv, domain, number, 1, "bench")
    log = ShardLog(kv, domain, number, 1, recovered, lambda: None)
    return Shard(domain, number, 1, recovered.programs, log)


async def by_logs(kv: KvClient, counts: Client, count: int) -> Cost:
    """Keeps turns in ``count`` logs: one a shard, or one an instance."""
    domain = f"logs-{count}-{time.monotonic_ns()}"
    shards = [await open_shard(kv, domain, n) for n in range(count)]
    owners: dict[str, Shard] = {}
    for number in range(_PROGRAMS):
        shard = shards[number % count]
        name = f"{domain}.{number % count}.p{number}"
        await shard.keep(created(name))
        owners[name] = shard
    programs = [shard.programs[name] for name, shard in owners.items()]

    async def keep(program: Program, turn: TurnKept) -> int:
        fate = await owners[program.creation.program].keep(turn)
        assert isinstance(fate, Committed), fate
        return 0

    name = f"{count} logs, group commit" if count > 1 else "one log"
    cost = await drive(name, counts, programs, keep)
    for shard in shards:
        shard.log.stop()
    return cost


async def by_value(kv: KvClient, counts: Client, *, owner: bool) -> Cost:
    """Keeps each program in a value of its own, by compare-and-swap.

    Args:
        kv: Client of the service.
        counts: The service, for its counts.
        owner: Whether an owner keeps the value in memory, or whoever gets a
            turn must read it first.
    """
    domain = f"values-{time.monotonic_ns()}"
    held = {f"{domain}.{n}": Program(created(str(n))) for n in range(_PROGRAMS)}
    revisions = dict.fromkeys(held, 0)
    keys = {id(program): key for key, program in held.items()}

    async def keep(program: Program, turn: TurnKept) -> int:
        key = keys[id(program)]
        if not owner:
            await kv.read(f"rm/value/{key}")
        apply({turn.program: program}, turn)
        value = msgspec.msgpack.encode([t.record for t in program.turns])
        done = await kv.write(f"rm/value/{key}", value, revisions[key])
        while isinstance(done, Unavailable):
            await asyncio.sleep(_RETRY_SECONDS)
            done = await kv.write(f"rm/value/{key}", value, revisions[key])
        # A conflict is with our own write whose answer was lost.
        revisions[key] = done.revision
        return 0

    name = "owner per program, a value each" if owner else "no owner, a value"
    return await drive(name, counts, list(held.values()), keep)


async def by_receipts(counts: Client) -> Cost:
    """Keeps nothing: the caller brings all receipts with each turn."""
    programs = [Program(created(f"r.0.{n}")) for n in range(_PROGRAMS)]
    receipts: dict[int, list[str]] = {id(p): [] for p in programs}

    async def keep(program: Program, turn: TurnKept) -> int:
        mine = receipts[id(program)]
        assert all(verify_receipt(_SECRET, text) for text in mine)
        apply({turn.program: program}, turn)
        brought = sum(len(text) for text in mine)
        mine.append(sign_receipt(_SECRET, turn))
        return brought + len(mine[-1])

    return await drive("receipts only", counts, programs, keep)


async def takeover(kv: KvClient, counts: Client) -> list[str]:
    """Measures what a new owner reads, and what a compaction costs."""
    domain = f"takeover-{time.monotonic_ns()}"
    shard = await open_shard(kv, domain, 0)
    for number in range(_PROGRAMS):
        await shard.keep(created(f"{domain}.0.p{number}"))
    for _ in range(_TURNS):
        await asyncio.gather(
            *(shard.keep(next_turn(p)) for p in shard.programs.values())
        )
    slots, size = shard.log.next_slot, shard.log.size
    before = counts.stats()
    began = time.perf_counter()
    assert await compact(shard, 0.0)
    compacted = time.perf_counter() - began
    middle = counts.stats()
    shard.log.stop()
    began = time.perf_counter()
    recovered = await recover(kv, domain, 0, 2, "bench")
    loaded = time.perf_counter() - began
    after = counts.stats()
    turns = _PROGRAMS * _TURNS
    assert len(recovered.programs) == _PROGRAMS
    return [
        f"compaction of {slots} slots, {size / 1e6:.1f} MB, {turns} turns:"
        f" {middle['writes'] - before['writes']} writes and deletes,"
        f" {compacted * 1000:.0f} ms",
        f"takeover of a shard of {_PROGRAMS} programs, {turns} turns:"
        f" {after['reads'] - middle['reads']} reads,"
        f" {after['writes'] - middle['writes']} write,"
        f" {loaded * 1000:.0f} ms",
    ]


def idle_bytes(turns: int) -> float:
    """Returns the bytes that an idle program holds in memory."""
    count = 500
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    programs: dict[str, Program] = {}
    for number in range(count):
        made = created(f"alba-east.0.{number:024d}")
        apply(programs, made)
        for _ in range(turns):
            turn = next_turn(programs[made.program])
            # As after decoding: no bytes are shared between records.
            turn = msgspec.msgpack.decode(
                msgspec.msgpack.encode(turn), type=TurnKept
            )
            apply(programs, turn)
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return grown / count


def two_owners(instances: int) -> float:
    """Returns the share of programs with two owners by hashing alone.

    One instance is missing from one of two views that disagree.
    """
    names = [f"instance-{n}" for n in range(instances)]

    def owner(program: int, view: list[str]) -> str:
        return max(
            view,
            key=lambda n: hashlib.sha256(f"{n}/{program}".encode()).digest(),
        )

    programs = range(20_000)
    differ = sum(owner(p, names) != owner(p, names[1:]) for p in programs)
    return differ / len(programs)


async def measure(counts: Client) -> None:
    """Runs every way a few times and prints the medians."""
    async with aiohttp.ClientSession() as session:
        kv = KvClient(f"http://{counts.address}", session, Metrics())
        ways: list[Callable[[], Awaitable[Cost]]] = [
            lambda: by_logs(kv, counts, _SHARDS),
            lambda: by_logs(kv, counts, 1),
            lambda: by_value(kv, counts, owner=True),
            lambda: by_value(kv, counts, owner=False),
            lambda: by_receipts(counts),
        ]
        print("way, writes, reads, bytes stored, bytes carried, p50, p99 ms")
        for way in ways:
            costs = [await way() for _ in range(_ROUNDS)]
            print_median(costs)
        for line in await takeover(kv, counts):
            print(line)


def print_median(costs: list[Cost]) -> None:
    """Prints the median of each figure over rounds."""
    fields = [f for f in Cost.__struct_fields__ if f != "name"]
    figures = [
        statistics.median(getattr(cost, field) for cost in costs)
        for field in fields
    ]
    texts = [f"{figure:.2f}" for figure in figures]
    print(", ".join(itertools.chain([costs[0].name], texts)), flush=True)


def main() -> None:
    """Starts the service's stand-in, measures and ends it."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        address = "127.0.0.1:18990"
        stack.enter_context(Process("kv", ["standins.kv", address], folder))
        client = Client(address)
        wait_until(
            lambda: client.request("GET", "/stats").status == 200, "it answers"
        )
        asyncio.run(measure(client))
    for turns in (0, 5, 50):
        size = idle_bytes(turns)
        print(f"idle program of {turns} turns: {size:.0f} bytes in memory")
    for instances in (3, 9, 34):
        share = two_owners(instances)
        print(f"hashing alone, {instances} instances: {share:.1%} two owners")


if __name__ == "__main__":
    main()
