"""Made-up sequences in which registrations lapse, and who opens an account.

Each storage instance has its own view of the store's list: one that does not
reach the store hears of no change, and one whose renewals are turned away goes
on reading. Nothing races here; ``opening`` has the races.
"""

import shutil
import tempfile
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec
from hypothesis import strategies as st

from rattanmill_keeper import Reserve, Reserved
from rattanmill_keeper.homes import HOME_PREFIX
from rattanmill_keeper.members import PREFIX
from rattanmill_platform import Unavailable
from support.keepers import AwayKv, LocalMembers, Network

# More than all turns of a story.
_BUDGET = 18_000
_TOKENS = 36
# Beyond a lease and all that is waited for after it.
_LONG_SECONDS = 60.0
# Less than a lease, and more than it is relied on.
_MEDIUM_SECONDS = 9.0
_STEP_SECONDS = 0.02
_number = st.integers(0, 11)
_group = st.one_of(
    st.just(()),
    st.tuples(_number),
    st.tuples(_number, _number),
    st.tuples(_number, _number),
)
_time = st.sampled_from(["none", "short", "medium", "long", "long"])
_trouble = st.sampled_from(["", "", "", "lost", "late", "unheard"])
# Several states of the world, one after the other.
STORIES = st.lists(
    st.builds(
        lambda *phase: Phase(*phase),
        _group,
        st.sampled_from(["none", "none", "inside", "outside", "all"]),
        st.one_of(st.just(()), st.just(()), st.tuples(_number)),
        st.one_of(st.just(()), st.just(()), st.tuples(_number)),
        st.lists(_number, min_size=1, max_size=2).map(tuple),
        _trouble,
        _time,
    ),
    min_size=2,
    max_size=5,
)


class Phase(msgspec.Struct, frozen=True):
    """A state of the world, and what happens in it.

    Attributes:
        inside: Those that reach only each other; all others do so as well.
        far: Which of the two groups don't reach the store.
        refused: Those whose renewals the store turns away.
        dead: Those that don't run.
        turns: Beside whom turns ask, one after the other.
        trouble: As in ``TroubledKv``.
        time: How much passes then.
    """

    inside: tuple[int, ...] = ()
    far: str = "none"
    refused: tuple[int, ...] = ()
    dead: tuple[int, ...] = ()
    turns: tuple[int, ...] = ()
    trouble: str = ""
    time: str = "none"


class FarKv:
    """The store as one instance reaches it."""

    def __init__(self, network: "LapsingNetwork", name: str) -> None:
        self.network = network
        self.name = name

    def __getattr__(self, call: str) -> Callable[..., Coroutine]:
        """Returns a call that fails while the instance is far."""
        whole = getattr(self.network.kv, call)

        async def ask(*how: Any) -> Any:
            if self.name in self.network.far:
                return Unavailable("far")
            return await whole(*how)

        return ask


class TroubledKv(AwayKv):
    """A store that loses questions or answers, or writes late.

    Attributes:
        trouble: What those meet that tell it of an account: ``lost``, ``late``
            and ``unheard`` get no answer, nor do those who ask then.
        late: What it does later.
    """

    def __init__(self) -> None:
        super().__init__()
        self.trouble = ""
        self.late: list[tuple] = []

    async def write(  # noqa: ANN201
        self, key: str, value: bytes, expect: int, lease: str = ""
    ):
        """Compare-and-swap, with what is said to happen next."""
        if not self.trouble or not key.startswith(HOME_PREFIX):
            return await super().write(key, value, expect, lease)
        if self.trouble == "unheard":
            await super().write(key, value, expect, lease)
        if self.trouble == "late":
            self.late.append((key, value, expect, lease))
        return Unavailable(self.trouble)

    async def read(self, key: str):  # noqa: ANN201
        """Reads one key."""
        if self.trouble and key.startswith(HOME_PREFIX):
            return Unavailable(self.trouble)
        return await super().read(key)

    async def write_late(self) -> None:
        """Does what was asked for long ago, if its condition still holds."""
        for how in self.late:
            await super().write(*how)
        self.late.clear()


class FarMembers(LocalMembers):
    """Members of a network, as one that may not reach the store knows them."""

    def store_silence(self) -> float:
        """Long, if it was far while long passed."""
        is_long = self.name in self.network.silent
        return _LONG_SECONDS if is_long else 0.0


class LapsingNetwork(Network):
    """Storage instances whose registrations lapse.

    Attributes:
        far: Those that don't reach the store.
        refused: Those whose renewals the store turns away.
        silent: Those that have not heard the store for long.
        lapsed: Those whose registration is gone.
    """

    def __init__(self, folder: str, names: list[str]) -> None:
        super().__init__(folder, names)
        self.kv = TroubledKv()
        self.far: set[str] = set()
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.lapsed: set[str] = set()

    def new_members(self, name: str) -> FarMembers:
        """Returns what one knows of the others when it starts."""
        members = FarMembers(self, name)
        for other in set(self.names) - self.lapsed:
            self.introduce(members, other)
        return members

    def store_for(self, name: str) -> FarKv:
        """Returns the store as one reaches it."""
        return FarKv(self, name)

    def pass_medium(self) -> None:
        """A lease is nearly over that was not renewed."""
        for name in (self.far | self.refused) & self.keepers.keys():
            if name not in self.lapsed:
                self.keepers[name].since_confirmed = lambda: _MEDIUM_SECONDS

    async def long(self) -> None:
        """So long passes that leases end, and that all is done after it."""
        away = set(self.names) - self.keepers.keys()
        lapsing = (away | self.far | self.refused) - self.lapsed
        self.silent |= self.far
        self.lapsed |= lapsing
        for name in lapsing:
            self.kv.put(PREFIX + name, None)
        for name in self.lapsed & self.keepers.keys():
            self.keepers[name].since_confirmed = lambda: _LONG_SECONDS
        await self.tell()
        for members in self.members.values():
            for name in members.lost_at:
                members.lost_at[name] -= _LONG_SECONDS
            for name in members.read_after:
                members.read_after[name] -= _LONG_SECONDS
        await self.tell()

    async def tell(self) -> None:
        """Those that reach the store register, read the list, and go on."""
        for name in sorted(self.lapsed & self.keepers.keys()):
            if name not in self.far | self.refused:
                self.epochs[name] += 1
                self.keepers[name].stop_to_count()
                self.keepers[name].since_confirmed = lambda: 0.0
                self.lapsed.discard(name)
                self.register(name)
        for name in sorted(self.keepers.keys() - self.far):
            if name not in self.refused:
                self.keepers[name].since_confirmed = lambda: 0.0
            self.silent.discard(name)
            self._read_list(name)
        for name in sorted(self.keepers):
            await self.keepers[name].take_decided()
            self.keepers[name].sweep()

    def _read_list(self, name: str) -> None:
        members = self.members[name]
        for other in self.names:
            if other not in self.lapsed:
                members.lost_at.pop(other, None)
                self.introduce(members, other)
            elif not self._is_heard(name, other):
                members._drop(other)

    def _is_heard(self, name: str, other: str) -> bool:
        is_there = other == name or other in self.keepers
        return is_there and not self.is_cut(name, other)


class Lapses:
    """A sequence of events, and who granted tokens of an account in it.

    Attributes:
        granted: Holders of which a majority has recorded a permission.
    """

    def __init__(self, network: LapsingNetwork) -> None:
        self.network = network
        self.granted: set[tuple[str, ...]] = set()
        self.attempts = 0

    def name(self, number: int) -> str:
        """Returns one of the names."""
        return self.network.names[number % len(self.network.names)]

    def some(self, numbers: tuple[int, ...]) -> set[str]:
        """Returns some of the names."""
        return {self.name(number) for number in numbers}

    async def play(self, phases: list[Phase]) -> None:
        """Plays phases, some milliseconds apart."""
        for phase in phases:
            await self._enter(phase)
            for number in phase.turns:
                await self.turn(number)
            if phase.time != "none":
                await getattr(self, phase.time)()
            await self.network.pass_time(_STEP_SECONDS)

    async def _enter(self, phase: Phase) -> None:
        network = self.network
        inside = self.some(phase.inside)
        outside = set(network.names) - inside
        network.failures.clear()
        network.cuts = {
            frozenset((one, other)) for one in inside for other in outside
        }
        groups = {"inside": inside, "outside": outside, "none": set()}
        network.far = groups.get(phase.far, inside | outside)
        network.refused = self.some(phase.refused)
        network.kv.trouble = phase.trouble
        dead = self.some(phase.dead)
        for name in network.names:
            await (self.kill(name) if name in dead else self.start(name))

    async def turn(self, number: int) -> None:
        """A turn asks through a new front beside a storage instance."""
        name = self.name(number)
        if name not in self.network.keepers:
            return
        self.attempts += 1
        ask = Reserve("p", f"t{self.attempts}", _TOKENS, _BUDGET)
        reply = await self.network.reserve(name, ask)
        permits = self.network.fronts[ask.attempt].permits
        if isinstance(reply, Reserved) and ask.attempt not in permits.alone:
            self.granted.add(permits.holders_of("p"))

    async def kill(self, name: str) -> None:
        """One is killed."""
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, name: str) -> None:
        """One that was killed comes back with its disk."""
        network = self.network
        if name in network.keepers or name in network.far | network.refused:
            return
        network.lapsed.discard(name)
        network.epochs[name] += 1
        await network.start(name)
        await network.tell()

    async def medium(self) -> None:
        """Leases nearly end."""
        self.network.pass_medium()

    async def long(self) -> None:
        """Leases end."""
        self.network.failures.clear()
        await self.network.long()
        await self.network.kv.write_late()

    async def short(self) -> None:
        """All take in what those that they reach have."""
        self.network.failures.clear()
        await self.network.tell()
        for name in sorted(self.network.keepers):
            await self.network.follow(name)


async def play(
    names: list[str],
    phases: list[Phase],
    prepare: Callable[[Network], None] = lambda network: None,
) -> set[tuple[str, ...]]:
    """Plays a story on new storage instances; returns who granted tokens."""
    folder = tempfile.mkdtemp()
    network = LapsingNetwork(folder, list(names))
    prepare(network)
    await network.start_all()
    await network.tell()
    # Who there is, is on disk a moment later.
    await network.pass_time(_STEP_SECONDS)
    story = Lapses(network)
    try:
        await story.play(phases)
    finally:
        await network.stop_all()
        shutil.rmtree(folder)
    return story.granted
