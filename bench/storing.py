"""What storage instances take on a grown deployment, by cause.

Usage: python -m bench.storing [--seconds N] [--only PHASE]

Real processes: the store's stand-in, 12 storage instances in three failure
domains and three drivers that behave as 79 fronts do. Each phase adds one kind
of work to the phase before it, and the processor time of the storage instances
tells what that takes. With ``--code`` they run from another checkout.
"""

import asyncio
import contextlib
import itertools
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time
from typing import Self

import aiohttp
import defopt
import msgspec
from loguru import logger
from rattanmill_site.prefixes import CONFIG_PREFIX, ENDPOINT_PREFIX
from rattanmill_site.store import SiteStore

from bench.sampling import cpu_seconds
from rattanmill_core import Metrics, wall_seconds
from rattanmill_keeper import (
    KeeperClient,
    Members,
    RelayedKv,
    Reserve,
    Reserved,
)
from rattanmill_keeper.messages import KeptTurn
from rattanmill_platform import (
    MISSING_KEY_GRACE_SECONDS,
    WATCH_SECONDS,
    PrefixWatch,
    StoreCalls,
    session_sender,
)
from support.process import Process
from support.site import SiteProcess

_DOMAINS = ("east", "west", "north")
_NETWORK = 127
_NUMBER = 61
_PORT = 18400
_INSTANCES = 12
_LOST_DISKS = 2
_FRONTS = 79
_DRIVERS = 3
_START_SECONDS = 12.0
# Until what began with a phase has settled.
_SETTLE_SECONDS = 3.0
_TURNS = 4
_BUDGET = 1_000_000
_TOKENS = 100
_TURN_BYTES = 19_000
_RETENTION_SECONDS = 60.0
_TURN_SECONDS = 0.3
_PAUSE_SECONDS = 0.5
_PROGRAMS_PER_SECOND = 23.0


class Phase(msgspec.Struct, frozen=True):
    """One kind of work more.

    Attributes:
        name: Name.
        work: What is done.
        pings: Whether fronts ask for signs of life.
        watches: Whether they follow the store through storage instances.
        programs: Programs begun a second.
        reserves: Whether turns reserve and settle.
        keeps: Whether turns are kept, and looked up by the next one.
    """

    name: str
    work: str
    pings: bool = False
    watches: bool = False
    programs: float = 0.0
    reserves: bool = False
    keeps: bool = False


_RATE = _PROGRAMS_PER_SECOND
PHASES = (
    Phase("alone", "storage instances follow each other"),
    Phase("pings", "signs of life of 79 fronts", True),
    Phase("watches", "their watches of two prefixes", True, True),
    Phase("reserves", "92 turns/s reserved", True, True, _RATE, True),
    Phase("keeps", "and kept, looked up", True, True, _RATE, True, True),
)


class Found(msgspec.Struct):
    """What one phase took.

    Attributes:
        name: Name of the phase.
        cores: Mean cores of a storage instance.
        most: Cores of the busiest one.
        refused: Turns without a permission, not kept or not found.
        turns: Turns done.
    """

    name: str
    cores: float
    most: float
    refused: int = 0
    turns: int = 0


class Front:
    """What a front does with storage instances.

    Args:
        domain: Its failure domain.
        store: The platform's store.
        metrics: Counters.
    """

    def __init__(self, domain: str, store: SiteStore, metrics: Metrics) -> None:
        self.kv = RelayedKv(store, domain, (CONFIG_PREFIX, ENDPOINT_PREFIX))
        self.members = Members(self.kv, store=store)
        self.kv.members = self.members
        self.members.tolerated_disk_losses = _LOST_DISKS
        self.keepers = KeeperClient(domain, self.members, metrics)
        self.pings: asyncio.Task | None = None
        self.watches: list[PrefixWatch] = []

    async def apply(self, phase: Phase) -> None:
        """Begins what a phase has more."""
        if phase.pings and self.pings is None:
            # Fronts do not start in step.
            await asyncio.sleep(random.uniform(0.0, 1.0))
            self.pings = asyncio.create_task(self.keepers.reach.ping_forever())
        if phase.watches and not self.watches:
            self.watches = [
                PrefixWatch(
                    self.kv,
                    prefix,
                    WATCH_SECONDS,
                    lambda key, value: None,
                    lambda key: None,
                    MISSING_KEY_GRACE_SECONDS,
                )
                for prefix in (CONFIG_PREFIX, ENDPOINT_PREFIX)
            ]
            for watch in self.watches:
                await watch.__aenter__()


class Driver:
    """Fronts of one process and the programs that reach them."""

    def __init__(self, fronts: list[Front]) -> None:
        self.fronts = fronts
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task] = set()
        self.turns = 0
        self.refused = 0

    async def run(self, link: multiprocessing.connection.Connection) -> None:
        """Does what the phases say until there are no more."""
        loop = asyncio.get_running_loop()
        programs: asyncio.Task | None = None
        while (
            phase := await loop.run_in_executor(None, link.recv)
        ) is not None:
            if programs:
                programs.cancel()
            await asyncio.gather(*(f.apply(phase) for f in self.fronts))
            programs = asyncio.create_task(self._begin_programs(phase))
            link.send("ready")
            await loop.run_in_executor(None, link.recv)
            self.turns = self.refused = 0
            link.send("begun")
            await loop.run_in_executor(None, link.recv)
            link.send((self.turns, self.refused))

    async def _begin_programs(self, phase: Phase) -> None:
        while phase.programs:
            rate = phase.programs / _DRIVERS
            await asyncio.sleep(random.expovariate(rate))
            task = asyncio.create_task(self._program(phase))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _program(self, phase: Phase) -> None:
        """One turn after the other, each at another front."""
        program = f"p{os.getpid()}-{next(self.numbers)}"
        previous = ""
        for number in range(_TURNS):
            front = random.choice(self.fronts)
            turn = f"{program}-{number}"
            self.turns += 1
            if not await self._turn(front, phase, program, turn, previous):
                self.refused += 1
                return
            previous = turn
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _turn(
        self,
        front: Front,
        phase: Phase,
        program: str,
        turn: str,
        previous: str,
    ) -> bool:
        keepers = front.keepers
        if phase.keeps and previous:
            found = await keepers.turns.find(previous, program)
            if not isinstance(found, list):
                return False
        ask = Reserve(program, turn, _TOKENS, _BUDGET)
        if not isinstance(await keepers.budgets.reserve(ask), Reserved):
            return False
        await asyncio.sleep(_TURN_SECONDS)
        is_kept = True
        if phase.keeps:
            expires = wall_seconds() + _RETENTION_SECONDS
            text = os.urandom(_TURN_BYTES)
            kept = KeptTurn(turn, previous, text, expires, program)
            is_kept = (await keepers.turns.keep(kept)).is_replicated
        keepers.budgets.settle_later(program, turn, _TOKENS // 2)
        return is_kept


def _drive(number: int, link: multiprocessing.connection.Connection) -> None:
    logger.remove()
    asyncio.run(_run_driver(number, link))


async def _run_driver(
    number: int, link: multiprocessing.connection.Connection
) -> None:
    metrics = Metrics()
    async with aiohttp.ClientSession() as session:
        calls = StoreCalls(
            f"http://{_host(0, 1)}:{_PORT}", session_sender(session), metrics
        )
        store = SiteStore(calls)
        fronts = [
            Front(_DOMAINS[n % len(_DOMAINS)], store, metrics)
            for n in range(number, _FRONTS, _DRIVERS)
        ]
        async with contextlib.AsyncExitStack() as stack:
            for front in fronts:
                await stack.enter_async_context(front.members)
            await Driver(fronts).run(link)
            os._exit(0)


def _host(domain: int, number: int) -> str:
    return f"{_NETWORK}.{_NUMBER}.{domain}.{number}"


class Deployment:
    """The store, storage instances and drivers."""

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.stack = contextlib.ExitStack()
        self.instances: list[Process] = []
        self.links: list[multiprocessing.connection.Connection] = []

    def __enter__(self) -> Self:
        self.stack.enter_context(self.folder)
        store = f"{_host(0, 1)}:{_PORT}"
        self._start(Process("store", ["standins.sitestore", store], self._path))
        time.sleep(1.0)
        for number in range(_INSTANCES):
            self.instances.append(self._start(self._storage(number, store)))
        time.sleep(_START_SECONDS)
        spawning = multiprocessing.get_context("spawn")
        for number in range(_DRIVERS):
            mine, theirs = spawning.Pipe()
            driver = spawning.Process(target=_drive, args=(number, theirs))
            driver.start()
            self.stack.callback(driver.kill)
            self.links.append(mine)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stack.close()

    @property
    def _path(self) -> str:
        return self.folder.name

    def _start(self, process: Process) -> Process:
        return self.stack.enter_context(process)

    def _storage(self, number: int, store: str) -> Process:
        domain = number % len(_DOMAINS)
        host = _host(domain + 1, number + 1)
        name = f"storage-{_DOMAINS[domain]}-{number}"
        fields = {
            "node_name": name,
            "zone": _DOMAINS[domain],
            "ip": host,
            "port_range": f"{_PORT + 5},{_PORT + 9}",
            "platform.address": store,
            "bootstrap": "true",
            "fault_tolerance.machines": str(_LOST_DISKS),
            "data_dir": str(pathlib.Path(self._path, name)),
        }
        file = pathlib.Path(self._path, f"{name}.conf")
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        return SiteProcess(name, "storage", str(file), self._path)

    def _all_say(self, word: object) -> list:
        for link in self.links:
            link.send(word)
        return [link.recv() for link in self.links]

    def play(self, phase: Phase, seconds: float) -> Found:
        """Plays a phase and returns what it took."""
        self._all_say(phase)
        time.sleep(_SETTLE_SECONDS)
        self._all_say("begin")
        before = [cpu_seconds(p.pid) for p in self.instances]
        began = time.monotonic()
        time.sleep(seconds)
        after = [cpu_seconds(p.pid) for p in self.instances]
        took = time.monotonic() - began
        said = self._all_say("end")
        cores = [(b - a) / took for a, b in zip(before, after, strict=True)]
        turns, refused = map(sum, zip(*said, strict=True))
        mean = statistics.fmean(cores)
        return Found(phase.name, mean, max(cores), refused, turns)


def measure(*, seconds: float = 8.0, only: str = "") -> None:
    """Plays the phases and prints what each took.

    Args:
        seconds: How long each phase is measured.
        only: Name of the only phase to play.
    """
    phases = [phase for phase in PHASES if only in ("", phase.name)]
    with Deployment() as deployment:
        for phase in phases:
            found = deployment.play(phase, seconds)
            print(
                f"{found.name:9} {found.cores:.3f} cores, most"
                f" {found.most:.3f}, {found.turns} turns,"
                f" {found.refused} refused: {phase.work}"
            )
            sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(measure)
