"""Made-up sequences that also replace storage instances by operators' order."""

import asyncio
import shutil

import msgspec
from hypothesis import strategies as st

from rattanmill_keeper import KeeperClient, Member, Reserve, Reserved
from rattanmill_keeper.emptying import Decommission, DecommissionKeys
from support.keepers import Network
from support.stories import BUDGET, NAMES, TOKENS, Granted, OperationRunner

KEYS = DecommissionKeys("orders/", "status/", b"running", b"completed")
# Instances that are replaced in one sequence.
_MAX_ORDERS = 4
_ORDER_SECONDS = 2.0
# A new instance has followed the others by then, if it reaches them.
_JOIN_SECONDS = 2.0
_name = st.sampled_from(NAMES)
_MANY = [("reserve", _name), ("reserve", _name), ("order", _name)]
_FEW = [
    *[("reserve_late", _name), ("race", _name), ("settle", st.integers(0, 2))],
    *[("isolate", _name), ("heal", _name), ("kill", _name), ("start", _name)],
    *[("restart", _name), ("wipe", _name), ("wipe_newest", _name)],
    *[("lapse", _name), ("set_store_unreachable", st.booleans())],
    *[("drop_replies", st.integers(1, 2))],
    ("wait", st.sampled_from([1, 4])),
]
ORDER_OPERATIONS = st.lists(
    st.one_of(
        *(st.tuples(st.just(kind), what) for kind, what in [*_MANY, *_FEW])
    ),
    min_size=8,
    max_size=24,
)


class ListedRegistration:
    """A registration in the lists of all members of a network.

    Attributes:
        member: The entry.
    """

    def __init__(self, network: Network, name: str) -> None:
        self.network = network
        self.member = network.members[name].known[name]

    def update(self, member: Member) -> None:
        """Lists the instance with a new state."""
        self.member = member
        for members in self.network.members.values():
            if member.name in members.known:
                members.known[member.name] = member

    async def end(self) -> None:
        """Removes it from all lists."""
        for members in self.network.members.values():
            members._drop(self.member.name)


class OrderRunner(OperationRunner):
    """Runs operations on instances that are replaced while these go on.

    Attributes:
        current: Name of the instance that is in the place of each first one.
        newest: Name of the newest instance in that place.
        ordered: Places of the instances that are being decommissioned, by name.
        tasks: What decommissions each of them.
        late_fronts: Front ends that never hear of any change, by place.
    """

    def __init__(self, network: Network) -> None:
        super().__init__(network)
        self.current = {name: name for name in NAMES}
        self.newest = {name: name for name in NAMES}
        self.ordered: dict[str, str] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.late_fronts: dict[str, KeeperClient] = {
            name: network.front(name) for name in NAMES
        }
        self.orders = 0

    async def run(self, operations: list[tuple]) -> None:
        """Runs operations, and removes what was decommissioned after each."""
        try:
            for operation in operations:
                await super().run([operation])
                await self.remove_completed()
        finally:
            for name in list(self.tasks):
                await self._stop_order(name)

    async def reserve(self, name: str, program: str = "p") -> None:
        """Reserves for a turn near the instance in a place."""
        await super().reserve(self.current[name], program)

    async def reserve_late(self, name: str) -> None:
        """Reserves through a front end that knows the first instances only."""
        self.attempts += 1
        attempt = f"attempt-{self.attempts}"
        front = self.late_fronts[name]
        self.network.fronts[attempt] = front
        request = Reserve("p", attempt, TOKENS, BUDGET)
        if isinstance(await front.budgets.reserve(request), Reserved):
            self.used["p"] = self.used.get("p", 0) + TOKENS
            self.granted.append(Granted("p", attempt, TOKENS))

    async def isolate(self, name: str) -> None:
        """Partitions what is in a place from everything else."""
        names = {self.current[name], self.newest[name]}
        self.network.cuts |= {
            frozenset((each, other))
            for each in names
            for other in set(self.network.names) - names
        }

    async def heal(self, name: str) -> None:
        """Ends all partitions and registers all instances again."""
        await super().heal(name)
        for each in self.network.names:
            if each not in self.ordered:
                self.network.list_again(each)

    async def kill(self, name: str) -> None:
        """Kills the instance in a place."""
        current = self.current[name]
        await self._stop_order(current)
        await super().kill(current)

    async def start(self, name: str) -> None:
        """Starts the instance in a place, which finds its order again."""
        current = self.current[name]
        await super().start(current)
        self._begin_order(current)

    async def wipe(self, name: str) -> None:
        """Restarts the instance in a place with an empty disk."""
        current = self.current[name]
        await self._stop_order(current)
        await super().wipe(current)
        self._begin_order(current)

    async def wipe_newest(self, name: str) -> None:
        """Restarts the newest instance in a place with an empty disk."""
        if self.newest[name] != self.current[name]:
            await super().wipe(self.newest[name])

    async def lapse(self, name: str) -> None:
        """Expires the registration of an instance that is cut off or gone."""
        if self.current[name] not in self.ordered:
            await super().lapse(self.current[name])

    async def order(self, name: str) -> None:
        """Starts a new instance, and orders that the old one is emptied."""
        old = self.current[name]
        network = self.network
        if old not in network.keepers or old in self.ordered:
            return
        if self.orders >= _MAX_ORDERS:
            return
        self.orders += 1
        new = self.newest[name] = f"{name}{self.orders}"
        network.domains[new] = network.domains.get(old, f"domain-{old}")
        network.names.append(new)
        await network.start(new)
        network.list_as(network.member(new))
        await network.pass_time(_JOIN_SECONDS)
        self.ordered[old] = name
        self._begin_order(old)
        await network.pass_time(_ORDER_SECONDS)

    async def order_without_new(self, name: str) -> None:
        """Orders that an instance is emptied, and starts no new one."""
        self.ordered[name] = name
        self._begin_order(name)
        await self.network.pass_time(_ORDER_SECONDS)

    def _begin_order(self, name: str) -> None:
        network = self.network
        is_running = name in network.keepers and name not in self.tasks
        if name not in self.ordered or not is_running:
            return
        if name not in network.members[name].known:
            network.introduce(network.members[name], name)
        decommission = Decommission(
            network.keepers[name],
            network.members[name],
            ListedRegistration(network, name),
            network.kv,
            KEYS,
        )
        decommission.requested.set()
        self.tasks[name] = asyncio.create_task(decommission._run())

    async def _stop_order(self, name: str) -> None:
        task = self.tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def remove_completed(self) -> None:
        """Removes the instances that report that they were decommissioned."""
        for name, place in list(self.ordered.items()):
            status = self.network.kv.items.get(f"status/{name}", (b"", 0))
            if status[0] == KEYS.completed:
                await self._remove(name, place)

    async def _remove(self, name: str, place: str) -> None:
        network = self.network
        await self._stop_order(name)
        member = msgspec.structs.replace(
            network.member(name), leaving=True, emptied=True
        )
        for members in network.members.values():
            if name in members.known:
                members.known[name] = member
                members._drop(name)
        if name in network.keepers:
            await network.kill(name)
        shutil.rmtree(network.folder / name)
        network.names.remove(name)
        del self.ordered[name]
        self.current[place] = self.newest[place]
