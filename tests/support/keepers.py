"""Storage instances in one process, with a network that tests can break."""

import asyncio
import collections
import concurrent.futures
import contextlib
import functools
import pathlib
import shutil
import tempfile
import unittest.mock
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from rattanmill_core import Metrics
from rattanmill_keeper import (
    Follower,
    Keeper,
    KeeperClient,
    Member,
    Members,
    ledger,
)
from rattanmill_keeper.members import MEMBERS_PREFIX
from rattanmill_keeper.messages import (
    Agree,
    Agreed,
    FetchTurns,
    Follow,
    News,
    Reserve,
    Reserved,
    Spent,
    TurnRef,
    Unsure,
    codec,
    max_earlier_share,
)
from rattanmill_platform import Unavailable
from support.memory import MemoryKv

_CODEC = codec()
_METRICS = Metrics()
# Longer than any lease plus the time for which a member still counts after it.
_LONG_AGO_SECONDS = 60.0
# Also longer than what it may have granted alone is set aside.
FORGOTTEN_SECONDS = 150.0


class UnavailableKv(MemoryKv):
    """A store that can be unavailable."""

    def __init__(self) -> None:
        super().__init__()
        self.is_unavailable = False

    async def read(self, key: str):  # noqa: ANN201
        """Reads one key, if the store is available."""
        return (
            Unavailable("unreachable")
            if self.is_unavailable
            else await super().read(key)
        )

    async def list(self, prefix: str):  # noqa: ANN201
        """Reads all keys under a prefix, if the store is available."""
        return (
            Unavailable("unreachable")
            if self.is_unavailable
            else await super().list(prefix)
        )

    async def watch(  # noqa: ANN201
        self, prefix: str, after: int, seconds: float
    ):
        """Returns changes, if the store is available."""
        if self.is_unavailable:
            return Unavailable("unreachable")
        return await super().watch(prefix, after, seconds)

    async def write(  # noqa: ANN201
        self, key: str, value: bytes, expect: int, lease: str = ""
    ):
        """Compare-and-swap, if the store is available."""
        if self.is_unavailable:
            return Unavailable("unreachable")
        return await super().write(key, value, expect, lease)


class InlineExecutor(concurrent.futures.Executor):
    """Runs work at once, so that virtual time does not advance meanwhile."""

    def submit(
        self, work: Callable, /, *args: object
    ) -> concurrent.futures.Future:
        """Runs a function and returns its outcome."""
        future = concurrent.futures.Future()
        try:
            future.set_result(work(*args))
        except OSError as error:
            future.set_exception(error)
        return future


class LocalLink:
    """A link to a keeper of the same process, which the network can break."""

    def __init__(self, network: "Network", asker: str, name: str) -> None:
        self.network = network
        self.asker = asker
        self.name = name

    @property
    def failures(self) -> int:
        """Number of consecutive requests without a reply."""
        return self.network.failures.get((self.asker, self.name), 0)

    def is_heard(self, seconds: float) -> bool:
        """Whether it replies; all instances regularly send requests to it."""
        network = self.network
        is_there = self.name in network.keepers
        return is_there and not network.is_cut(self.asker, self.name)

    async def ask(
        self, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Returns the reply; None if the request or the reply is lost."""
        network = self.network
        keeper = network.keepers.get(self.name)
        if keeper is None or network.is_cut(self.asker, self.name):
            network.failures[self.asker, self.name] = 1
            return None
        network.failures.pop((self.asker, self.name), None)
        delay = network.delays.get((self.asker, self.name), 0.0)
        if delay:
            await asyncio.sleep(delay)
        copy = _CODEC.decode(_CODEC.encode(message))
        reply = await keeper.serve(copy)
        kind = type(message).__name__
        if kind == network.lose_kind:
            return None
        if network.lose_replies:
            network.lose_replies -= 1
            return None
        data = _CODEC.encode(network.change_reply(reply))
        network.replied[kind] += len(data)
        return _CODEC.decode(data)


class LocalMembers(Members):
    """The members of the network as one of them knows them."""

    def __init__(self, network: "Network", name: str) -> None:
        super().__init__(network.kv)
        self.network = network
        self.name = name
        self.watch.synced = True

    def store_silence_seconds(self) -> float:
        """Returns 0: tests simulate outages in the store itself."""
        return 0.0

    def link(self, member: Member) -> LocalLink:
        """Returns a link to a keeper of the network."""
        return LocalLink(self.network, self.name, member.name)


def _make_earlier(keeper: Keeper) -> None:
    """Makes an instance grant alone, and tell, as an earlier version does."""
    reserve_alone, agree = keeper.ledger.reserve_alone, keeper._agree
    roster, tell = keeper._roster, keeper._changes_for

    def reserve_more(request: Reserve, may_open: bool) -> msgspec.Struct:
        with unittest.mock.patch.object(ledger, "max_share", max_earlier_share):
            return reserve_alone(request, may_open)

    async def agree_only(request: Agree) -> msgspec.Struct:
        reply = await agree(request)
        if not isinstance(reply, Agreed):
            return reply
        return msgspec.structs.replace(
            reply, has_one_turn=False, one_turn={}, grantors=[]
        )

    def record_less() -> ledger.RosterChange:
        return msgspec.structs.replace(
            roster(), one_turn_from={}, share_sizes_from=float("inf")
        )

    def tell_less(request: Follow) -> News:
        return msgspec.structs.replace(
            tell(request),
            one_turn=[],
            has_lost_nothing=False,
            lost_grants=[],
            grants=[],
        )

    async def hold_off_never() -> None:
        return None

    keeper.ledger.reserve_alone = reserve_more
    keeper._agree, keeper._roster = agree_only, record_less
    keeper._changes_for, keeper._update_hold_off = tell_less, hold_off_never


class Network:
    """Storage instances and the faults between them.

    Attributes:
        keepers: Running instances by name.
        cuts: Pairs that are partitioned from each other.
        one_way_cuts: Senders and receivers of requests that are lost.
        delays: Seconds that a request takes, by sender and receiver.
        lose_replies: Number of further replies that get lost.
        lose_kind: Kind of message whose replies all get lost, or empty.
        change_reply: Returns what arrives of a reply.
        replied: Bytes of replies by kind of request.
        failures: Consecutive requests without a reply, by sender and receiver.
        domains: Failure domain by name of the instance; others have one of
            their own.
        runs: Newest run of each instance, by name.
        informed: Instances that each instance lists as knowing accounts opened
            with the store.
        succeeded: Instances whose accounts each instance holds for them, as
            listed.
        earlier: Instances of a version that grants more than one turn alone.
    """

    def __init__(self, folder: str, names: list[str]) -> None:
        self.folder = pathlib.Path(folder)
        self.kv = UnavailableKv()
        self.keepers: dict[str, Keeper] = {}
        self.members: dict[str, LocalMembers] = {}
        self.cuts: set[frozenset[str]] = set()
        self.one_way_cuts: set[tuple[str, str]] = set()
        self.delays: dict[tuple[str, str], float] = {}
        self.lose_replies = 0
        self.lose_kind = ""
        self.change_reply: Callable[[Any], Any] = lambda reply: reply
        self.replied: collections.Counter[str] = collections.Counter()
        self.failures: dict[tuple[str, str], int] = {}
        self.domains: dict[str, str] = {}
        self.runs: dict[str, str] = {}
        self.informed: dict[str, tuple[str, ...]] = {}
        self.succeeded: dict[str, tuple[str, ...]] = {}
        self.earlier: set[str] = set()
        self.fronts: dict[str, KeeperClient] = {}
        self.names = names
        self.stack = contextlib.ExitStack()

    async def start_all(self) -> None:
        """Starts all instances for the first time."""
        for name in self.names:
            await self.start(name, first=True)

    async def start(self, name: str, first: bool = False) -> None:
        """Starts an instance on its disk."""
        members = self.members[name] = self.new_members(name)
        keeper = Keeper(
            name, self.folder / name, first, members, self.kv, _METRICS
        )
        self.runs[name] = keeper.run
        for other in self.names:
            self.introduce(members, other)
        self.register(name)
        if name in self.earlier:
            _make_earlier(keeper)
        keeper.journal.executor = self.new_disk()
        keeper.openings.publish = functools.partial(self.publish, name)
        keeper.succession.publish = functools.partial(
            self.publish_succeeded, name
        )
        await keeper.__aenter__()
        self.keepers[name] = keeper

    async def publish(self, name: str, informed: tuple[str, ...]) -> bool:
        """Registers which instances know accounts opened with the store."""
        if self.kv.is_unavailable:
            return False
        self.informed[name] = informed
        self._list_updated(name)
        return True

    async def publish_succeeded(
        self, name: str, succeeded: tuple[str, ...]
    ) -> bool:
        """Registers whose accounts an instance holds for them."""
        if self.kv.is_unavailable:
            return False
        self.succeeded[name] = succeeded
        self._list_updated(name)
        return True

    def _list_updated(self, name: str) -> None:
        """Lists an instance anew, leaving or not as before."""
        entry = self.member(name)
        listed = self.members[name].known.get(name, entry)
        self.list_as(
            msgspec.structs.replace(
                entry, leaving=listed.leaving, emptied=listed.emptied
            )
        )

    def new_members(self, name: str) -> LocalMembers:
        """Returns the members as an instance that starts knows them."""
        return LocalMembers(self, name)

    def new_disk(self) -> concurrent.futures.Executor:
        """Returns the executor with which an instance writes its journal."""
        return InlineExecutor()

    def introduce(self, members: LocalMembers, name: str) -> None:
        """Adds an instance to members, as the store's list would."""
        member = self.member(name)
        members.record_registration(member)
        for predecessor in member.succeeded:
            members.learn_successor(predecessor, name)

    def member(self, name: str) -> Member:
        """Returns the entry with which an instance registers."""
        domain = self.domains.get(name, f"domain-{name}")
        return Member(
            name,
            domain,
            f"{name}:1",
            self.runs.get(name, ""),
            informed=self.informed.get(name, ()),
            succeeded=self.succeeded.get(name, ()),
            grants_one_turn=name not in self.earlier,
            tells_grants=name not in self.earlier,
        )

    def register(self, name: str) -> None:
        """Registers an instance in the store, without any watch."""
        value = msgspec.json.encode(self.member(name))
        self.kv.put(MEMBERS_PREFIX + name, value)

    def list_as(self, member: Member) -> None:
        """Registers an instance with a new state, which all members receive."""
        value = msgspec.json.encode(member)
        self.kv.put(MEMBERS_PREFIX + member.name, value)
        for members in self.members.values():
            members._on_written(MEMBERS_PREFIX + member.name, value)

    def lapse(self, name: str, seconds: float = _LONG_AGO_SECONDS) -> None:
        """Lets an instance's registration expire, long ago for the others."""
        self.kv.put(MEMBERS_PREFIX + name, None)
        for other, members in self.members.items():
            if other != name and name in members.known:
                members._drop(name)
            if name in members.lost_at:
                members.lost_at[name] -= seconds
        if name in self.keepers:
            self.keepers[name].is_lease_valid = lambda: False
            self.keepers[name].mark_possibly_excluded()

    def list_again(self, name: str) -> None:
        """Registers an instance again whose registration had expired."""
        if name not in self.keepers:
            return
        self.register(name)
        for members in self.members.values():
            members.lost_at.pop(name, None)
            self.introduce(members, name)
        self.keepers[name].is_lease_valid = lambda: True

    async def kill(self, name: str) -> None:
        """Kills an instance; data that it has not synced is lost."""
        keeper = self.keepers.pop(name)
        keeper.journal.pending.clear()
        await keeper.__aexit__(None, None, None)

    async def wipe(self, name: str) -> None:
        """Kills an instance and deletes its disk."""
        await self.kill(name)
        shutil.rmtree(self.folder / name)

    async def stop_all(self) -> None:
        """Stops all instances."""
        tasks = [t for f in self.fronts.values() for t in f.reach.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.stack.close()
        for name in list(self.keepers):
            await self.kill(name)

    def is_cut(self, one: str, other: str) -> bool:
        """Whether requests of one instance to another one are lost."""
        is_lost = (one, other) in self.one_way_cuts
        return is_lost or frozenset((one, other)) in self.cuts

    async def follow(self, name: str) -> None:
        """Makes an instance fetch everything that the others hold."""
        keeper = self.keepers[name]
        follower = Follower(keeper, self.members[name])
        # Twice: an unresponsive member is known only after a request to it.
        for _ in range(2):
            follower.update_layout()
            await self._fetch_all(follower, name)
        if not keeper.is_recovered and follower.is_complete():
            keeper.mark_recovered(follower.is_first_run())

    async def _fetch_all(self, follower: Follower, name: str) -> None:
        for member in list(self.members[name].known.values()):
            if member.name == name:
                continue
            for _ in range(100):
                if not await follower.fetch_page(member):
                    break

    def front(self, name: str) -> KeeperClient:
        """Returns a front end beside ``name`` that shares its partitions.

        It has just started and knows no account.
        """
        members = LocalMembers(self, name)
        members.known = dict(self.members[name].known)
        for member in members.known.values():
            for predecessor in member.succeeded:
                members.learn_successor(predecessor, member.name)
        domain = members.known[name].domain
        return KeeperClient(domain, members, _METRICS)

    async def reserve(
        self, name: str, ask: Reserve
    ) -> Reserved | Spent | Unsure:
        """Requests a reservation through a new front end beside ``name``."""
        front = self.front(name)
        self.fronts[ask.attempt] = front
        return await front.budgets.reserve(ask)

    def settle(self, program: str, attempt: str, tokens: int) -> None:
        """Settles a use in the background, through the reserving front end."""
        front = self.fronts[attempt]
        front.budgets.settle_later(program, attempt, tokens)
        # Otherwise this waits for the program's next turn at that front end.
        front.reach.spawn(front.budgets.flush())

    async def pass_time(self, seconds: float) -> None:
        """Lets front ends and storage instances run for a while."""
        await asyncio.sleep(seconds)


class SlowFollower(Follower):
    """Follows other instances, and takes as long as the network says."""

    async def _fetch_turns(self, member: Member, turns: list[TurnRef]) -> bool:
        network = self.members.network
        pair = (self.keeper.name, member.name)
        seconds = network.fetch_seconds.get(pair)
        if seconds:
            await asyncio.sleep(seconds)
            link = self.members.link(member)
            if await link.ask(FetchTurns([]), seconds) is None:
                return False
        return await super()._fetch_turns(member, turns)


class FollowingNetwork(Network):
    """Storage instances that follow each other all the time.

    Attributes:
        followers: What follows the others for each instance, by name.
        fetch_seconds: How long it takes to fetch what another instance has, by
            names of the one that fetches and of the other one.
    """

    def __init__(self, folder: str, names: list[str]) -> None:
        super().__init__(folder, names)
        self.followers: dict[str, Follower] = {}
        self.fetch_seconds: dict[tuple[str, str], float] = {}

    async def start(self, name: str, first: bool = False) -> None:
        """Starts an instance on its disk."""
        await super().start(name, first)
        follower = SlowFollower(self.keepers[name], self.members[name])
        self.followers[name] = await follower.__aenter__()

    async def kill(self, name: str) -> None:
        """Kills an instance; data that it has not synced is lost."""
        await self.followers.pop(name).__aexit__(None, None, None)
        await super().kill(name)


def begin(
    context: Any,
    names: list[str],
    domains: dict[str, str] | None = None,
    folder: str | None = None,
    earlier: Iterable[str] = (),
) -> None:
    """Starts a scenario's storage instances and stops them after it.

    Args:
        context: The scenario's context.
        names: Names of the instances.
        domains: Failure domains by name, see ``Network``.
        folder: Folder of their disks; by default a temporary one.
        earlier: As in ``Network``.
    """
    folder = folder or tempfile.mkdtemp()
    context.loop = asyncio.new_event_loop()
    context.network = Network(folder, names)
    context.network.domains = domains or {}
    context.network.earlier.update(earlier)
    run_in(context, lambda network: network.start_all())

    def clean() -> None:
        run_in(context, lambda network: network.stop_all())
        context.loop.close()
        shutil.rmtree(folder)

    context.scenario_stack.callback(clean)


def run_in(context: Any, work: Callable[[Network], Coroutine]) -> Any:
    """Runs a coroutine with the scenario's storage instances."""
    return context.loop.run_until_complete(work(context.network))
