"""Made-up sequences of failures, and what a program gets in them."""

import asyncio
import shutil
import tempfile
from collections.abc import Callable

from hypothesis import strategies as st

from rattanmill_keeper import Reserve, Reserved
from support.keepers import Network

NAMES = ["a", "b", "c"]
# What one instance may grant alone holds one turn, and two that have ended.
BUDGET = 180
TOKENS = 40
# Callers allow a program its budget and the most of one turn.
MOST = BUDGET + TOKENS
_STEP_SECONDS = 0.02
_name = st.sampled_from(NAMES)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("ask"), _name),
        st.tuples(st.just("race"), _name),
        st.tuples(st.just("settle"), st.integers(0, 2)),
        st.tuples(st.just("isolate"), _name),
        st.tuples(st.just("heal"), _name),
        st.tuples(st.just("kill"), _name),
        st.tuples(st.just("start"), _name),
        st.tuples(st.just("restart"), _name),
        st.tuples(st.just("restart"), _name),
        st.tuples(st.just("wipe"), _name),
        st.tuples(st.just("replace"), _name),
        st.tuples(st.just("follow"), _name),
        st.tuples(st.just("lapse"), _name),
        st.tuples(st.just("store"), st.booleans()),
        st.tuples(st.just("lose"), st.integers(1, 2)),
    ),
    min_size=6,
    max_size=20,
)


class Story:
    """A sequence of events, and what programs have got in it.

    Attributes:
        used: Tokens that each program may have used: of permissions that were
            given, the most, or what was booked in the end.
    """

    def __init__(self, network: Network) -> None:
        self.network = network
        self.granted: list[tuple[str, str]] = []
        self.used: dict[str, int] = {}
        self.attempts = 0

    async def play(self, operations: list[tuple]) -> None:
        """Plays operations, some milliseconds apart."""
        for kind, argument in operations:
            await getattr(self, kind)(argument)
            await self.network.pass_time(_STEP_SECONDS)

    async def ask(self, name: str, program: str = "p") -> None:
        """A turn asks through a front beside a storage instance."""
        if name not in self.network.members:
            return
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        reply = await self.network.reserve(
            name, Reserve(program, attempt, TOKENS, BUDGET)
        )
        if isinstance(reply, Reserved):
            self.used[program] = self.used.get(program, 0) + TOKENS
            self.granted.append((program, attempt))

    async def race(self, name: str) -> None:
        """Turns of one program ask at two at the same moment."""
        other = NAMES[NAMES.index(name) - 1]
        await asyncio.gather(self.ask(name), self.ask(other))

    async def settle(self, number: int) -> None:
        """A turn has used half of what it might have."""
        if number >= len(self.granted):
            return
        program, attempt = self.granted.pop(number)
        self.network.settle(program, attempt, TOKENS // 2)
        self.used[program] -= TOKENS // 2

    async def isolate(self, name: str) -> None:
        """One is cut off from the others."""
        self.network.cuts |= {
            frozenset((name, other)) for other in (*NAMES, "d") if other != name
        }

    async def heal(self, name: str) -> None:
        """All reach each other again."""
        self.network.cuts.clear()
        for each in NAMES:
            self.network.list_again(each)

    async def kill(self, name: str) -> None:
        """One is killed."""
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, name: str) -> None:
        """One that was killed comes back."""
        if name not in self.network.keepers and name in self.network.names:
            await self.network.start(name)

    async def restart(self, name: str) -> None:
        """One is killed and comes back; its neighbour as well."""
        for each in (name, NAMES[NAMES.index(name) - 1]):
            await self.kill(each)
            await self.start(each)

    async def wipe(self, name: str) -> None:
        """One loses its disk; as many as may be lost at once."""
        keepers = self.network.keepers
        all_run = len(keepers) == len(self.network.names)
        all_whole = all(k.is_recovered for k in keepers.values())
        if name in keepers and all_run and all_whole:
            await self.network.wipe(name)
            await self.network.start(name)

    async def replace(self, name: str) -> None:
        """One is gone for good, and an empty one comes under a new name."""
        network = self.network
        if len(network.names) > len(NAMES) or name not in network.keepers:
            return
        if not all(k.is_recovered for k in network.keepers.values()):
            return
        if len(network.keepers) < len(network.names):
            return
        await network.wipe(name)
        network.names = [n for n in network.names if n != name] + ["d"]
        await network.start("d")
        # The others learn of it from the store, or when it follows them.
        for other, members in network.members.items():
            if other in network.keepers and not network.is_cut(other, name):
                network.introduce(members, "d")

    async def lapse(self, name: str) -> None:
        """One that is cut off, or gone for good, is not listed any more."""
        network = self.network
        is_gone = name not in network.names
        others = [n for n in network.members if n != name]
        if is_gone or all(network.is_cut(name, other) for other in others):
            network.lapse(name)

    async def follow(self, name: str) -> None:
        """One takes in what the others have."""
        for each in (name, "d"):
            if each in self.network.keepers:
                await self.network.follow(each)

    async def store(self, away: bool) -> None:
        """The store goes away or comes back."""
        self.network.kv.away = away

    async def lose(self, count: int) -> None:
        """The next replies between storage instances get lost."""
        self.network.lose_replies = count


async def play(
    operations: list[tuple],
    prepare: Callable[[Network], None] = lambda network: None,
) -> dict[str, int]:
    """Plays a story on new storage instances; returns tokens by program."""
    folder = tempfile.mkdtemp()
    network = Network(folder, list(NAMES))
    await network.start_all()
    prepare(network)
    story = Story(network)
    try:
        await story.play(operations)
    finally:
        await network.stop_all()
        shutil.rmtree(folder)
    return story.used
