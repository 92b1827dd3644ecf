"""Generated sequences of faults, and the tokens that programs get."""

import asyncio
import itertools
import shutil
import tempfile
from collections.abc import Callable

import msgspec
from hypothesis import strategies as st

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn, Reserve, Reserved
from support.keepers import Network

NAMES = ["a", "b", "c"]
# An earlier version grants one running turn alone, or two settled ones.
BUDGET = 180
TOKENS = 40
# Callers allow a program its budget and the maximum of one turn.
MAX_TOKENS = BUDGET + TOKENS
_STEP_SECONDS = 0.02
# Pages of turns under load.
_SLOW_FETCH_SECONDS = 12.0
_RETENTION_SECONDS = 60.0
_name = st.sampled_from(NAMES)
_OPERATION = st.one_of(
    st.tuples(st.just("reserve"), _name),
    st.tuples(st.just("reserve"), _name),
    st.tuples(st.just("reserve"), _name),
    st.tuples(st.just("race"), _name),
    st.tuples(st.just("settle"), st.integers(0, 2)),
    st.tuples(st.just("keep"), st.integers(0, 2)),
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
    st.tuples(st.just("set_store_unreachable"), st.booleans()),
    st.tuples(st.just("drop_replies"), st.integers(1, 2)),
)
OPERATIONS = st.lists(_OPERATION, min_size=6, max_size=20)

# For instances that follow each other.
LONG_OPERATIONS = st.lists(
    st.one_of(
        _OPERATION, st.tuples(st.just("wait"), st.sampled_from([1, 4, 12]))
    ),
    min_size=8,
    max_size=24,
)

# For instances that take long to fetch what another one has.
SLOW_OPERATIONS = st.lists(
    st.one_of(
        _OPERATION,
        st.tuples(st.just("wait"), st.sampled_from([1, 4, 12])),
        st.tuples(
            st.just("slow_fetches"),
            st.sampled_from(list(itertools.permutations(NAMES, 2))),
        ),
    ),
    min_size=8,
    max_size=24,
)


# For instances of two versions, of which the earlier one grants more alone.
MIXED_OPERATIONS = st.lists(
    st.one_of(
        _OPERATION,
        st.tuples(st.just("reserve_small"), _name),
        st.tuples(st.just("upgrade"), _name),
        st.tuples(st.just("wait"), st.sampled_from([1, 4, 12, 60])),
    ),
    min_size=8,
    max_size=24,
)


class Granted(msgspec.Struct, frozen=True):
    """A reservation that was granted.

    Attributes:
        program: Program id.
        attempt: Attempt id.
        tokens: Tokens that it reserved.
    """

    program: str
    attempt: str
    tokens: int

    @property
    def used(self) -> int:
        """Tokens that the turn uses: half of what it reserved."""
        return self.tokens // 2


class OperationRunner:
    """Runs a sequence of operations and counts the tokens of programs.

    Attributes:
        granted: Each reservation that was not settled yet.
        used: Tokens that each program may have used: the maximum of granted
            reservations, or the settled use once they have ended.
        budget: Budget of each program, in tokens.
        tokens: Tokens that each turn reserves.
    """

    def __init__(
        self, network: Network, budget: int = BUDGET, tokens: int = TOKENS
    ) -> None:
        self.network = network
        self.budget = budget
        self.tokens = tokens
        self.granted: list[Granted] = []
        self.used: dict[str, int] = {}
        self.attempts = 0

    async def run(self, operations: list[tuple]) -> None:
        """Runs operations, some milliseconds apart."""
        for kind, argument in operations:
            await getattr(self, kind)(argument)
            await self.network.pass_time(_STEP_SECONDS)

    async def reserve(self, name: str, program: str = "p") -> None:
        """Reserves for a turn through a front end near a storage instance."""
        if name not in self.network.members:
            return
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        reply = await self.network.reserve(
            name, Reserve(program, attempt, self.tokens, self.budget)
        )
        if isinstance(reply, Reserved):
            self.used[program] = self.used.get(program, 0) + self.tokens
            self.granted.append(Granted(program, attempt, self.tokens))

    async def reserve_small(self, name: str) -> None:
        """Reserves for a turn of half the size."""
        tokens, self.tokens = self.tokens, self.tokens // 2
        try:
            await self.reserve(name)
        finally:
            self.tokens = tokens

    async def upgrade(self, name: str) -> None:
        """Restarts an instance of an earlier version with this one."""
        network = self.network
        if name not in network.keepers or name not in network.earlier:
            return
        await network.kill(name)
        network.earlier.discard(name)
        await network.start(name)
        network.list_as(network.member(name))

    async def lose_disk(self, name: str) -> None:
        """Starts an instance that was killed, with an empty disk."""
        shutil.rmtree(self.network.folder / name)
        await self.network.start(name)

    async def race(self, name: str) -> None:
        """Reserves for turns of one program at two instances at once."""
        other = NAMES[NAMES.index(name) - 1]
        await asyncio.gather(self.reserve(name), self.reserve(other))

    async def settle(self, number: int) -> None:
        """Settles a turn with half of its reserved tokens."""
        if number >= len(self.granted):
            return
        turn = self.granted.pop(number)
        self.network.settle(turn.program, turn.attempt, turn.used)
        self.used[turn.program] -= turn.tokens - turn.used

    async def keep(self, number: int) -> None:
        """Keeps a turn with its use, half of its reserved tokens.

        Its front end is killed before it tells the holders.
        """
        if number >= len(self.granted):
            return
        turn = self.granted.pop(number)
        front = self.network.fronts[turn.attempt]
        use = front.budgets.use_of(turn.program, turn.attempt, turn.used)
        expires = wall_seconds() + _RETENTION_SECONDS
        await front.turns.keep(
            KeptTurn(turn.attempt, "", b"text", expires, turn.program, use)
        )
        self.used[turn.program] -= turn.tokens - turn.used

    async def isolate(self, name: str) -> None:
        """Partitions one instance from the others."""
        self.network.cuts |= {
            frozenset((name, other)) for other in (*NAMES, "d") if other != name
        }

    async def lose_requests(self, name: str) -> None:
        """Loses requests of one instance, which still gets those of others."""
        self.network.one_way_cuts |= {
            (name, other) for other in (*NAMES, "d") if other != name
        }

    async def heal(self, name: str) -> None:
        """Ends all partitions and registers all instances again."""
        self.network.cuts.clear()
        self.network.one_way_cuts.clear()
        for each in NAMES:
            self.network.list_again(each)

    async def kill(self, name: str) -> None:
        """Kills one instance."""
        if name in self.network.keepers:
            await self.network.kill(name)

    async def start(self, name: str) -> None:
        """Starts an instance that was killed."""
        if name not in self.network.keepers and name in self.network.names:
            await self.network.start(name)

    async def restart(self, name: str) -> None:
        """Restarts one instance and its neighbor."""
        for each in (name, NAMES[NAMES.index(name) - 1]):
            await self.kill(each)
            await self.start(each)

    async def wipe(self, name: str) -> None:
        """Restarts one instance with an empty disk.

        Only if no other disk is lost at that time.
        """
        keepers = self.network.keepers
        all_run = len(keepers) == len(self.network.names)
        all_whole = all(k.is_recovered for k in keepers.values())
        if name in keepers and all_run and all_whole:
            await self.network.wipe(name)
            await self.network.start(name)

    async def replace(self, name: str) -> None:
        """Replaces one instance by an empty one under a new name."""
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
        # The others learn of it from the store, or once it follows them.
        for other, members in network.members.items():
            if other in network.keepers and not network.is_cut(other, name):
                network.introduce(members, "d")

    async def lapse(self, name: str) -> None:
        """Expires the registration of an instance that is cut off or gone."""
        network = self.network
        is_gone = name not in network.names
        others = [n for n in network.members if n != name]
        if is_gone or all(network.is_cut(name, other) for other in others):
            network.lapse(name)

    async def close_shares(self, name: str) -> None:
        """Lets an instance give back its shares, as if to be emptied."""
        await self.network.keepers[name].close_shares()

    async def follow(self, name: str) -> None:
        """Lets one instance follow the others."""
        for each in (name, "d"):
            if each in self.network.keepers:
                await self.network.follow(each)

    async def set_store_unreachable(self, unreachable: bool) -> None:
        """Makes the store unreachable or reachable."""
        self.network.kv.is_unavailable = unreachable

    async def wait(self, seconds: float) -> None:
        """Lets time pass."""
        await self.network.pass_time(seconds)

    async def slow_fetches(self, pair: tuple[str, str]) -> None:
        """Makes one instance take long to fetch what another one has."""
        self.network.fetch_seconds[pair] = _SLOW_FETCH_SECONDS

    async def drop_replies(self, count: int) -> None:
        """Drops the next replies between storage instances."""
        self.network.lose_replies = count


async def run_operations(
    operations: list[tuple],
    prepare: Callable[[Network], None] = lambda network: None,
    make: Callable[[str, list[str]], Network] = Network,
    budget: int = BUDGET,
    tokens: int = TOKENS,
) -> dict[str, int]:
    """Runs operations on new storage instances.

    Args:
        operations: The operations.
        prepare: Changes the network before they run.
        make: Makes the network from a folder and names.
        budget: Budget of each program, in tokens.
        tokens: Tokens that each turn reserves.

    Returns:
        Tokens that each program may have used.
    """
    folder = tempfile.mkdtemp()
    network = make(folder, list(NAMES))
    await network.start_all()
    prepare(network)
    runner = OperationRunner(network, budget, tokens)
    try:
        await runner.run(operations)
    finally:
        await network.stop_all()
        shutil.rmtree(folder)
    return runner.used
