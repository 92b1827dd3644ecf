"""Generated sequences in which several instances open one account.

Messages and replies of the store are late or lost, disks are slow, and storage
instances are killed at any step and restart with their disk.
"""

import asyncio
import concurrent.futures
import random
import shutil
import tempfile
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from hypothesis import strategies as st

from rattanmill_keeper import Reserve, Reserved
from rattanmill_keeper.homes import HOME_PREFIX
from rattanmill_keeper.messages import Elsewhere, Open, Opened, Recorded, codec
from rattanmill_platform import Unavailable
from support.keepers import LocalLink, LocalMembers, Network, UnavailableKv

_CODEC = codec()
# More than all turns of a sequence reserve together.
_BUDGET = 18_000
_TOKENS = 36
_SETTLE_ROUNDS = 6
_NEVER_SECONDS = 60.0
# Longer than any timeout and any late write of the store.
_CALM_SECONDS = 6.0
_number = st.integers(0, 11)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("open"), _number),
        st.tuples(st.just("open"), _number),
        st.tuples(st.just("open"), _number),
        st.tuples(st.just("race"), st.tuples(_number, _number, _number)),
        st.tuples(st.just("race"), st.tuples(_number, _number, _number)),
        st.tuples(st.just("wait"), st.sampled_from([0.004, 0.03, 0.2, 0.6])),
        st.tuples(st.just("wait"), st.sampled_from([0.004, 0.03, 0.2, 0.6])),
        st.tuples(st.just("kill"), _number),
        st.tuples(st.just("start"), _number),
        st.tuples(st.just("restart"), _number),
        st.tuples(st.just("cut"), st.tuples(_number, _number)),
        st.tuples(st.just("heal"), _number),
        st.tuples(st.just("wipe"), _number),
        st.tuples(st.just("follow"), _number),
        st.tuples(st.just("set_fault_rate"), st.sampled_from([0.0, 0.2, 0.5])),
    ),
    min_size=4,
    max_size=24,
)


class LateKv(UnavailableKv):
    """A store whose replies are late or lost, and which may write late."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.fault_rate = 0.0
        self.tasks: set[asyncio.Task] = set()

    async def read(self, key: str):  # noqa: ANN201
        """Reads one key, possibly without a reply."""
        return await self._with_faults(
            key, lambda: UnavailableKv.read(self, key)
        )

    async def write(  # noqa: ANN201
        self, key: str, value: bytes, expect: int, lease: str = ""
    ):
        """Writes, possibly late, if the condition holds at that time."""
        return await self._with_faults(
            key, lambda: UnavailableKv.write(self, key, value, expect, lease)
        )

    async def _with_faults(
        self, key: str, call: Callable[[], Coroutine]
    ) -> Any:
        if not key.startswith(HOME_PREFIX):
            return await call()
        kind = "in time"
        if self.rng.random() < self.fault_rate:
            kind = self.rng.choice(["refused", "never", "late", "unanswered"])
        if kind == "refused":
            return Unavailable("refused")
        if kind == "never":
            return await asyncio.sleep(_NEVER_SECONDS, Unavailable("cut"))
        max_delay = {"in time": 0.1, "unanswered": 0.1, "late": 3.0}[kind]
        work = asyncio.create_task(self._later(max_delay, call))
        self.tasks.add(work)
        said = await asyncio.shield(work)
        if kind == "unanswered":
            return await asyncio.sleep(_NEVER_SECONDS, Unavailable("cut"))
        await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        return said

    async def _later(
        self, max_delay: float, call: Callable[[], Coroutine]
    ) -> Any:
        await asyncio.sleep(self.rng.uniform(0.0, max_delay))
        return await call()


class SlowDisk(concurrent.futures.Executor):
    """Runs work some milliseconds later, unless it is shut down by then."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.is_down = False

    def submit(
        self, work: Callable, /, *args: object
    ) -> concurrent.futures.Future:
        """Schedules a function."""
        future = concurrent.futures.Future()

        def do() -> None:
            if not self.is_down:
                future.set_result(work(*args))

        loop = asyncio.get_running_loop()
        loop.call_later(self.rng.choice([0.001, 0.004, 0.06]), do)
        return future

    def shutdown(self, wait: bool = True, **how: Any) -> None:
        """Drops all scheduled work."""
        self.is_down = True


class LossyLink(LocalLink):
    """Loses requests and replies.

    A request goes on if its sender times out or is cancelled.
    """

    async def ask(
        self, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Returns the reply, or None on a timeout."""
        work = self.network.spawn(self.name, self._ask(message))
        try:
            async with asyncio.timeout(seconds):
                reply = await asyncio.shield(work)
        except (TimeoutError, asyncio.CancelledError):
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                raise
            reply = None
        if reply is None:
            self.network.failures[self.asker, self.name] = 1
        else:
            self.network.failures.pop((self.asker, self.name), None)
        return reply

    async def _ask(self, message: msgspec.Struct) -> msgspec.Struct | None:
        network = self.network
        copy = _CODEC.decode(_CODEC.encode(message))
        if not await network.carry(self.asker, self.name):
            return None
        keeper = network.keepers.get(self.name)
        if keeper is None:
            return None
        reply = _CODEC.encode(await keeper.serve(copy))
        if not await network.carry(self.asker, self.name):
            return None
        return _CODEC.decode(reply)


class LossyMembers(LocalMembers):
    """Members of a network that loses messages."""

    def link(self, member):  # noqa: ANN001, ANN201
        """Returns a link to a keeper of the network."""
        return LossyLink(self.network, self.name, member.name)


class OpeningNetwork(Network):
    """Storage instances that can be killed between any two steps."""

    def __init__(self, folder: str, names: list[str], seed: int) -> None:
        super().__init__(folder, names)
        self.rng = random.Random(seed)
        self.kv = LateKv(self.rng)
        self.fault_rate = 0.0
        self.work: dict[str, set[asyncio.Task]] = {}
        self.lost_disks = 1

    async def carry(self, asker: str, name: str) -> bool:
        """Returns whether a message arrives, after its transmission time."""
        longest = self.rng.choice([0.002, 0.002, 0.02, 0.12])
        await asyncio.sleep(self.rng.uniform(0.0, longest))
        is_lost = self.rng.random() < self.fault_rate / 2
        return not is_lost and not self.is_cut(asker, name)

    def spawn(self, name: str, work: Coroutine) -> asyncio.Task:
        """Starts a task that ends when an instance is killed."""
        task = asyncio.create_task(work)
        self.work.setdefault(name, set()).add(task)
        return task

    def new_members(self, name: str) -> LossyMembers:
        """Returns members whose messages may be late or lost."""
        members = LossyMembers(self, name)
        members.tolerated_disk_losses = self.lost_disks
        return members

    def new_disk(self) -> concurrent.futures.Executor:
        """Returns a slow disk."""
        return SlowDisk(self.rng)

    async def kill(self, name: str) -> None:
        """Kills one instance along with its tasks."""
        for task in self.work.pop(name, set()):
            task.cancel()
        await super().kill(name)


class OpeningRunner:
    """Runs operations in which instances open one account.

    Attributes:
        granted: Number of granted reservations by the holders that recorded
            them.
        attempts: Number of reservations that were tried.
        has_lost: Whether a disk has been lost.
    """

    def __init__(self, network: OpeningNetwork) -> None:
        self.network = network
        self.granted: dict[tuple[str, ...], int] = {}
        self.attempts = 0
        self.has_lost = False

    def name(self, number: int) -> str:
        """Returns the name of an instance."""
        return self.network.names[number % len(self.network.names)]

    async def run(self, operations: list[tuple]) -> None:
        """Runs operations in order."""
        for kind, argument in operations:
            await getattr(self, kind)(argument)

    async def open(self, number: int) -> None:
        """Starts opening the account at one instance."""
        name = self.name(number)
        if name in self.network.keepers:
            self.network.spawn(name, self.open_at(name))

    async def race(self, numbers: tuple[int, ...]) -> None:
        """Starts opening the account at several instances at once."""
        for number in numbers:
            await self.open(number)

    async def open_at(self, name: str) -> tuple[str, ...]:
        """Opens the account at one instance and reserves at its holders.

        Returns:
            The holders.
        """
        keeper = self.network.keepers[name]
        said = await keeper.serve(Open("p", _BUDGET, _TOKENS))
        if isinstance(said, Opened):
            # The front end continues even if the opening instance is killed.
            reservation = asyncio.create_task(self.reserve(name, said.place))
            self.network.spawn("fronts", asyncio.wait_for(reservation, 5.0))
            return said.place.holders
        return said.holders if isinstance(said, Elsewhere) else ()

    async def reserve(self, name: str, place: Any) -> None:
        """Reserves at all holders, as a front end near one instance does."""
        self.attempts += 1
        request = Reserve("p", f"t{self.attempts}", _TOKENS, _BUDGET, place)
        replies = await asyncio.gather(
            *(
                LossyLink(self.network, name, holder).ask(request, 0.25)
                for holder in place.holders
            )
        )
        recorded = sum(isinstance(reply, Recorded) for reply in replies)
        if recorded > len(place.holders) // 2:
            self.granted[place.holders] = self.granted.get(place.holders, 0) + 1

    async def wait(self, seconds: float) -> None:
        """Lets time pass, then has unresponsive instances asked again."""
        await asyncio.sleep(seconds)
        self.network.failures.clear()

    async def kill(self, number: int) -> None:
        """Kills one instance."""
        name = self.name(number)
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, number: int) -> None:
        """Starts an instance that was killed, with its disk."""
        name = self.name(number)
        if name not in self.network.keepers:
            await self.network.start(name)

    async def restart(self, number: int) -> None:
        """Restarts one instance."""
        await self.kill(number)
        await self.start(number)

    async def cut(self, numbers: tuple[int, int]) -> None:
        """Partitions the instances into two groups."""
        names = self.network.names
        low, high = sorted(n % len(names) for n in numbers)
        inside = set(names[low : high + 1])
        self.network.cuts = {
            frozenset((one, other))
            for one in inside
            for other in set(names) - inside
        }

    async def heal(self, number: int) -> None:
        """Ends all partitions."""
        self.network.cuts.clear()
        self.network.failures.clear()

    async def wipe(self, number: int) -> None:
        """Restarts one instance with an empty disk, at most once."""
        name = self.name(number)
        if self.has_lost or name not in self.network.keepers:
            return
        self.has_lost = True
        await self.network.wipe(name)
        await self.network.start(name)

    async def follow(self, number: int) -> None:
        """Lets one instance follow the others."""
        name = self.name(number)
        if name in self.network.keepers:
            work = self.network.spawn(name, self.network.follow(name))
            await asyncio.wait([work])

    async def set_fault_rate(self, rate: float) -> None:
        """Sets the rate of lost messages and of faults of the store."""
        self.network.fault_rate = self.network.kv.fault_rate = rate

    async def end(self) -> set[tuple[str, ...]]:
        """Ends all faults and reserves through new front ends.

        Returns:
            The holders that granted the reservations; an empty tuple stands
            for a front end whose reservation was not granted.
        """
        network = self.network
        await self.set_fault_rate(0.0)
        for number in range(len(network.names)):
            await self.start(number)
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(_CALM_SECONDS)
            await self.heal(0)
            for number in range(len(network.names)):
                await self.follow(number)
        found = set()
        for name in network.names:
            request = Reserve("p", f"front-{name}", 1, _BUDGET)
            reply = await network.reserve(name, request)
            holders = network.fronts[request.attempt].budgets.holders_of("p")
            found.add(holders if isinstance(reply, Reserved) else ())
        await asyncio.sleep(_CALM_SECONDS)
        return found


async def play(
    names: list[str],
    operations: list[tuple],
    seed: int,
    lost_disks: int = 1,
    prepare: Callable[[Network], None] = lambda network: None,
) -> tuple[dict[tuple[str, ...], int], set[tuple[str, ...]]]:
    """Runs operations on new storage instances.

    Returns:
        Granted reservations by holders, and the holders that new front ends
        find in the end.
    """
    folder = tempfile.mkdtemp()
    network = OpeningNetwork(folder, list(names), seed)
    network.lost_disks = lost_disks
    await network.start_all()
    prepare(network)
    runner = OpeningRunner(network)
    try:
        await runner.run(operations)
        return runner.granted, await runner.end()
    finally:
        for tasks in network.work.values():
            for task in tasks:
                task.cancel()
        await network.stop_all()
        shutil.rmtree(folder)
