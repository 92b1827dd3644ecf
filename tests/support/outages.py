"""Generated sequences of outages that a system of three instances tolerates."""

import asyncio
import contextlib
import itertools
import shutil
import tempfile
import types
import unittest.mock
from collections.abc import Callable, Iterator

import msgspec
from hypothesis import strategies as st

from rattanmill_core import events
from support.keepers import FollowingNetwork, Network
from support.stories import NAMES, OperationRunner

BUDGET = 80
TOKENS = 10
# An instance is back, and has what its disk had held, within this time.
RECOVERY_SECONDS = 17.0
# Disks are lost one after the other: the last one has recovered by then.
_BETWEEN_SECONDS = RECOVERY_SECONDS
# A lease, from its last renewal.
_REGISTERED_SECONDS = 10.0
_ADDED_SECONDS = 3.0
_EPOCH_SECONDS = 1.8e9
_MAX_TURNS = 2 * BUDGET // TOKENS


class Outage(msgspec.Struct, frozen=True):
    """Instances are killed at once, and are back one after the other.

    Attributes:
        down_seconds: For how long each of them is down, by name.
        lost: The instance of these that loses its disk; empty if none does.
    """

    down_seconds: dict[str, float]
    lost: str = ""


class Cut(msgspec.Struct, frozen=True):
    """One instance, or each of them, is cut off from all others.

    Attributes:
        names: The instances.
        seconds: For how long.
    """

    names: tuple[str, ...]
    seconds: float


class Replacement(msgspec.Struct, frozen=True):
    """A machine is lost for good, and one with a new name takes its place.

    Attributes:
        name: The instance; those after it count as the same.
    """

    name: str


class Begin(msgspec.Struct, frozen=True):
    """A program begins beside an instance.

    Attributes:
        name: The instance.
    """

    name: str


class Wait(msgspec.Struct, frozen=True):
    """Time passes.

    Attributes:
        seconds: How much.
    """

    seconds: float


Event = Outage | Cut | Replacement | Begin | Wait

_name = st.sampled_from(NAMES)
_DOWN = st.sampled_from([0.9, 1.9, 3.0, 8.0])
_outage = st.builds(
    Outage,
    st.dictionaries(_name, _DOWN, min_size=1),
    st.sampled_from([*NAMES, ""]),
)
_stop_of_all = st.builds(
    Outage,
    st.fixed_dictionaries(dict.fromkeys(NAMES, _DOWN)),
    st.sampled_from([*NAMES, ""]),
)
_lost_disk = st.builds(lambda name: Outage({name: 1.9}, name), _name)
_cut = st.builds(
    Cut,
    st.one_of(_name.map(lambda name: (name,)), st.just(tuple(NAMES))),
    st.sampled_from([2.0, 8.0]),
)
_wait = st.builds(Wait, st.sampled_from([0.6, 2.4, 4.0]))
_begin = st.builds(Begin, _name)
# Mostly long enough for the next disk to be lost.
_pause = st.builds(Wait, st.sampled_from([2.0, 12.0, 20.0, 20.0, 26.0, 26.0]))


def _sequences(*faults: st.SearchStrategy) -> st.SearchStrategy:
    """Returns sequences of faults, during each of which programs begin."""
    rounds = st.tuples(st.one_of(*faults), _wait, _begin, _wait, _begin, _pause)
    return st.lists(rounds, min_size=2, max_size=6).map(
        lambda each: list(itertools.chain(*each))
    )


_replacement = st.builds(Replacement, _name)
OUTAGES = _sequences(_stop_of_all, _lost_disk, _outage)
# The same, with machines that don't come back.
REPLACEMENTS = _sequences(_stop_of_all, _lost_disk, _outage, _replacement)
# The same, beside partitions.
OUTAGES_AND_CUTS = _sequences(_stop_of_all, _lost_disk, _outage, _cut)


class OutageRunner(OperationRunner):
    """Runs outages in which disks are lost one after the other.

    Attributes:
        tasks: What ends the outages.
        programs: Number of programs that have begun.
        current: The instance in place of each of the first ones, by name.
        quiet_at: Loop time at which all instances were last back, with the data
            of a lost disk.
    """

    def __init__(self, network: Network) -> None:
        super().__init__(network, BUDGET, TOKENS)
        self.tasks: set[asyncio.Task] = set()
        self.programs = 0
        self.current = {name: name for name in NAMES}
        self.quiet_at = float("-inf")

    async def play(self, events: list[Event]) -> None:
        """Plays events, and ends all outages."""
        for event in events:
            match event:
                case Outage():
                    await self.stop(event)
                case Cut():
                    await self.cut(event)
                case Replacement(name=name):
                    await self.replace_machine(name)
                case Begin(name=name):
                    self.programs += 1
                    await self.reserve(self.current[name], f"p{self.programs}")
                case Wait(seconds=seconds):
                    await self.wait(seconds)
        await asyncio.gather(*self.tasks)
        await self.wait(RECOVERY_SECONDS)

    async def use_up(self) -> None:
        """Sends turns of all programs that have begun."""
        for program in list(self.used):
            for number in range(_MAX_TURNS):
                before = self.used[program]
                name = NAMES[number % len(NAMES)]
                await self.reserve(self.current[name], program)
                if self.used[program] == before:
                    break

    async def stop(self, outage: Outage) -> None:
        """Kills instances, which are started again in the background."""
        down_seconds = {
            self.current[name]: seconds
            for name, seconds in outage.down_seconds.items()
            if self.current[name] in self.network.keepers
        }
        lost = self.current.get(outage.lost)
        may_lose = self._may_lose_disk()
        for name in down_seconds:
            await self.kill(name)
        for name, seconds in down_seconds.items():
            if name == lost and may_lose:
                shutil.rmtree(self.network.folder / name)
            self._later(seconds, lambda name=name: self.start(name))
        if down_seconds:
            self._disturb(max(down_seconds.values()))

    async def replace_machine(self, name: str) -> None:
        """Removes a machine with its disk; another one starts soon."""
        old = self.current[name]
        if not self._may_lose_disk() or old not in self.network.keepers:
            return
        new = f"{old}+"
        self.current[name] = new
        await self.network.wipe(old)
        self.network.names.remove(old)
        self._later(_REGISTERED_SECONDS, lambda: self._expire(old))
        self._later(_ADDED_SECONDS, lambda: self._add(new))
        self._disturb(_REGISTERED_SECONDS)

    async def _expire(self, name: str) -> None:
        self.network.lapse(name, 0.0)

    async def _add(self, name: str) -> None:
        network = self.network
        network.names.append(name)
        await network.start(name)
        for other in network.keepers:
            network.introduce(network.members[other], name)

    async def cut(self, cut: Cut) -> None:
        """Cuts instances off; the partition ends in the background."""
        for name in cut.names:
            await self.isolate(name)
        self._later(cut.seconds, lambda: self.heal(""))
        self._disturb(cut.seconds)

    def _may_lose_disk(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now > self.quiet_at

    def _disturb(self, seconds: float) -> None:
        now = asyncio.get_running_loop().time()
        self.quiet_at = max(self.quiet_at, now + seconds + _BETWEEN_SECONDS)

    def _later(self, seconds: float, work: Callable) -> None:
        async def run() -> None:
            await asyncio.sleep(seconds)
            await work()

        self.tasks.add(asyncio.create_task(run()))


@contextlib.contextmanager
def virtual_clocks() -> Iterator[None]:
    """Lets the time of day and the boot clock pass with virtual time."""
    loop = asyncio.get_running_loop()
    clocks = types.SimpleNamespace(
        time=lambda: _EPOCH_SECONDS + loop.time(),
        clock_gettime=lambda clock: loop.time(),
        CLOCK_BOOTTIME=None,
    )
    with unittest.mock.patch.object(events, "time", clocks):
        yield


async def play_outages(played: list[Event]) -> dict[str, int]:
    """Plays events on three new storage instances that follow each other.

    Args:
        played: The events.

    Returns:
        Tokens that each program got that had begun, by program. It asked for
        more until it was refused.
    """
    folder = tempfile.mkdtemp()
    network = FollowingNetwork(folder, list(NAMES))
    with virtual_clocks():
        await network.start_all()
        runner = OutageRunner(network)
        try:
            # Longer than a new process takes to count all others.
            await runner.wait(12)
            await runner.play(played)
            await runner.use_up()
        finally:
            await network.stop_all()
            shutil.rmtree(folder)
    return runner.used
