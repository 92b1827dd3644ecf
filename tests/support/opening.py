"""Made-up sequences of openers of one account, and whose word counts.

Messages and the store's answers are late or get lost, disks take their time,
storage instances are killed at any step and come back with their disk.
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
# More than all that ask in a story.
_BUDGET = 18_000
_TOKENS = 36
_ROUNDS = 6
_NEVER_SECONDS = 60.0
# Beyond each time-out and each write that the store makes late.
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
        st.tuples(st.just("trouble"), st.sampled_from([0.0, 0.2, 0.5])),
    ),
    min_size=4,
    max_size=24,
)


class LateKv(UnavailableKv):
    """A store whose answers are late or lost, and which may write late."""

    def __init__(self, dice: random.Random) -> None:
        super().__init__()
        self.dice = dice
        self.trouble = 0.0
        self.tasks: set[asyncio.Task] = set()

    async def read(self, key: str):  # noqa: ANN201
        """Reads one key, perhaps without an answer."""
        return await self._troubled(key, lambda: UnavailableKv.read(self, key))

    async def write(  # noqa: ANN201
        self, key: str, value: bytes, expect: int, lease: str = ""
    ):
        """Writes if the condition holds when it is done, perhaps late."""
        return await self._troubled(
            key, lambda: UnavailableKv.write(self, key, value, expect, lease)
        )

    async def _troubled(self, key: str, call: Callable[[], Coroutine]) -> Any:
        if not key.startswith(HOME_PREFIX):
            return await call()
        kind = "in time"
        if self.dice.random() < self.trouble:
            kind = self.dice.choice(["refused", "never", "late", "unanswered"])
        if kind == "refused":
            return Unavailable("refused")
        if kind == "never":
            return await asyncio.sleep(_NEVER_SECONDS, Unavailable("cut"))
        most = {"in time": 0.1, "unanswered": 0.1, "late": 3.0}[kind]
        work = asyncio.create_task(self._later(most, call))
        self.tasks.add(work)
        said = await asyncio.shield(work)
        if kind == "unanswered":
            return await asyncio.sleep(_NEVER_SECONDS, Unavailable("cut"))
        await asyncio.sleep(self.dice.uniform(0.0, 0.1))
        return said

    async def _later(self, most: float, call: Callable[[], Coroutine]) -> Any:
        await asyncio.sleep(self.dice.uniform(0.0, most))
        return await call()


class SlowDisk(concurrent.futures.Executor):
    """Does what it is given some milliseconds later, unless it is shut down."""

    def __init__(self, dice: random.Random) -> None:
        self.dice = dice
        self.is_down = False

    def submit(
        self, work: Callable, /, *args: object
    ) -> concurrent.futures.Future:
        """Notes a function for later."""
        future = concurrent.futures.Future()

        def do() -> None:
            if not self.is_down:
                future.set_result(work(*args))

        loop = asyncio.get_running_loop()
        loop.call_later(self.dice.choice([0.001, 0.004, 0.06]), do)
        return future

    def shutdown(self, wait: bool = True, **how: Any) -> None:
        """Does nothing more."""
        self.is_down = True


class LossyLink(LocalLink):
    """Loses questions and replies; a question goes on without its asker."""

    async def ask(
        self, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Returns the reply; None if there was none in time."""
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
        self.dice = random.Random(seed)
        self.kv = LateKv(self.dice)
        self.trouble = 0.0
        self.work: dict[str, set[asyncio.Task]] = {}
        self.lost_disks = 1

    async def carry(self, asker: str, name: str) -> bool:
        """Whether a message comes through, after its time on the way."""
        longest = self.dice.choice([0.002, 0.002, 0.02, 0.12])
        await asyncio.sleep(self.dice.uniform(0.0, longest))
        is_lost = self.dice.random() < self.trouble / 2
        return not is_lost and not self.is_cut(asker, name)

    def spawn(self, name: str, work: Coroutine) -> asyncio.Task:
        """Starts what ends when an instance is killed."""
        task = asyncio.create_task(work)
        self.work.setdefault(name, set()).add(task)
        return task

    def new_members(self, name: str) -> LossyMembers:
        """Returns members whose messages may be late or lost."""
        members = LossyMembers(self, name)
        members.tolerated_disk_losses = self.lost_disks
        return members

    def new_disk(self) -> concurrent.futures.Executor:
        """Returns a disk that takes its time."""
        return SlowDisk(self.dice)

    async def kill(self, name: str) -> None:
        """Ends one, with all that it was doing."""
        for task in self.work.pop(name, set()):
            task.cancel()
        await super().kill(name)


class Openers:
    """Openers of one account, and who granted tokens of it.

    Attributes:
        granted: Holders of which a majority has recorded a permission.
    """

    def __init__(self, network: OpeningNetwork) -> None:
        self.network = network
        self.granted: dict[tuple[str, ...], int] = {}
        self.attempts = 0
        self.has_lost = False

    def name(self, number: int) -> str:
        """Returns one of the names."""
        return self.network.names[number % len(self.network.names)]

    async def play(self, operations: list[tuple]) -> None:
        """Plays operations."""
        for kind, argument in operations:
            await getattr(self, kind)(argument)

    async def open(self, number: int) -> None:
        """One is asked to open the account, while other things go on."""
        name = self.name(number)
        if name in self.network.keepers:
            self.network.spawn(name, self.open_at(name))

    async def race(self, numbers: tuple[int, ...]) -> None:
        """Several are asked at the same moment."""
        for number in numbers:
            await self.open(number)

    async def open_at(self, name: str) -> tuple[str, ...]:
        """Opens at one and asks the holders for tokens; returns them."""
        keeper = self.network.keepers[name]
        said = await keeper.serve(Open("p", _BUDGET, _TOKENS))
        if isinstance(said, Opened):
            # The front goes on whatever becomes of the opener.
            asking = asyncio.create_task(self.reserve(name, said.place))
            self.network.spawn("fronts", asyncio.wait_for(asking, 5.0))
            return said.place.holders
        return said.holders if isinstance(said, Elsewhere) else ()

    async def reserve(self, name: str, place: Any) -> None:
        """Asks all holders for tokens, as a front beside one does."""
        self.attempts += 1
        ask = Reserve("p", f"t{self.attempts}", _TOKENS, _BUDGET, place)
        replies = await asyncio.gather(
            *(
                LossyLink(self.network, name, holder).ask(ask, 0.25)
                for holder in place.holders
            )
        )
        recorded = sum(isinstance(reply, Recorded) for reply in replies)
        if recorded > len(place.holders) // 2:
            self.granted[place.holders] = self.granted.get(place.holders, 0) + 1

    async def wait(self, seconds: float) -> None:
        """Time passes; whoever was silent may be asked again."""
        await asyncio.sleep(seconds)
        self.network.failures.clear()

    async def kill(self, number: int) -> None:
        """One is killed."""
        name = self.name(number)
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, number: int) -> None:
        """One that was killed comes back with its disk."""
        name = self.name(number)
        if name not in self.network.keepers:
            await self.network.start(name)

    async def restart(self, number: int) -> None:
        """One is killed and comes back."""
        await self.kill(number)
        await self.start(number)

    async def cut(self, numbers: tuple[int, int]) -> None:
        """Two groups do not reach each other."""
        names = self.network.names
        low, high = sorted(n % len(names) for n in numbers)
        inside = set(names[low : high + 1])
        self.network.cuts = {
            frozenset((one, other))
            for one in inside
            for other in set(names) - inside
        }

    async def heal(self, number: int) -> None:
        """All reach each other again."""
        self.network.cuts.clear()
        self.network.failures.clear()

    async def wipe(self, number: int) -> None:
        """One loses its disk, the only one that does."""
        name = self.name(number)
        if self.has_lost or name not in self.network.keepers:
            return
        self.has_lost = True
        await self.network.wipe(name)
        await self.network.start(name)

    async def follow(self, number: int) -> None:
        """One takes in what the others have."""
        name = self.name(number)
        if name in self.network.keepers:
            work = self.network.spawn(name, self.network.follow(name))
            await asyncio.wait([work])

    async def trouble(self, share: float) -> None:
        """The store and the network lose more or less."""
        self.network.trouble = self.network.kv.trouble = share

    async def end(self) -> set[tuple[str, ...]]:
        """All are well again; returns where new fronts get permissions.

        A front that gets none counts as one with no holders.
        """
        network = self.network
        await self.trouble(0.0)
        for number in range(len(network.names)):
            await self.start(number)
        for _ in range(_ROUNDS):
            await asyncio.sleep(_CALM_SECONDS)
            await self.heal(0)
            for number in range(len(network.names)):
                await self.follow(number)
        found = set()
        for name in network.names:
            ask = Reserve("p", f"front-{name}", 1, _BUDGET)
            reply = await network.reserve(name, ask)
            holders = network.fronts[ask.attempt].budgets.holders_of("p")
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
    """Plays openers on new storage instances.

    Returns:
        Who granted tokens, and the holders that new fronts find in the end.
    """
    folder = tempfile.mkdtemp()
    network = OpeningNetwork(folder, list(names), seed)
    network.lost_disks = lost_disks
    await network.start_all()
    prepare(network)
    openers = Openers(network)
    try:
        await openers.play(operations)
        return openers.granted, await openers.end()
    finally:
        for tasks in network.work.values():
            for task in tasks:
                task.cancel()
        await network.stop_all()
        shutil.rmtree(folder)
