"""Steps about the number of disks that have a turn."""

import asyncio
import itertools

import msgspec
from behave import then, when
from steps.lookups import decommission
from steps.views_keepers import start_decommission

from rattanmill_core import Metrics, Ran, Refusal, loop_seconds, wall_seconds
from rattanmill_forward.routes import Route, RouteKind
from rattanmill_forward.turns import Turn, TurnManager
from rattanmill_keeper import Follower, KeptTurn
from rattanmill_keeper.storecopies import StoreCopies
from rattanmill_keeper.storedturns import StoredTurns
from support.calls import make_call
from support.keepers import run_in
from support.memory import MemoryKv
from support.virtual import run_virtually

_RETENTION_SECONDS = 60.0
_CUT_SECONDS = 0.3
_DEADLINE_SECONDS = 5.0
_ROUTE = Route(
    "talk",
    "a",
    "/",
    RouteKind.STREAM,
    timeout_seconds=4.0,
    target_latency_seconds=0.2,
    priority=0,
    backends=(),
    max_attempts=1,
    stores_turns=True,
    retention_seconds=_RETENTION_SECONDS,
)


def new_turn(name="t", previous=""):
    """Returns a turn; each one is the only one of its chain."""
    expires = wall_seconds() + _RETENTION_SECONDS
    return KeptTurn(name, previous, b"text", expires, f"chain of {name}")


def cut(network, name, others):
    network.cuts |= {
        frozenset((name, other)) for other in others if other != name
    }


@when('"{name}" is cut off')
def step_cut(context, name):
    cut(context.network, name, context.network.names)


@when('"{name}" is cut off, and the store is unreachable')
def step_cut_from_all(context, name):
    step_cut(context, name)
    context.network.kv.is_unavailable = True


@then(
    'a front end near "{name}" that knows it gives a turn up before its'
    " deadline"
)
def step_gives_up(context, name):
    async def keep(network):
        front = network.front(name)
        await front.reach.probe_store()
        assert front.reach.is_cut_off()
        deadline = loop_seconds() + _DEADLINE_SECONDS
        kept_by = await front.turns.keep(new_turn(), deadline)
        return kept_by, deadline - loop_seconds()

    kept_by, seconds_left = run_in(context, keep)
    assert not kept_by.is_replicated, kept_by
    # Until then it would have asked again every tenth of a second.
    assert seconds_left > _DEADLINE_SECONDS / 2, seconds_left


@when('the failure domain of "{name}" is cut off')
def step_cut_domain(context, name):
    network = context.network
    inside = [
        other
        for other in network.names
        if network.domains[other] == network.domains[name]
    ]
    for each in inside:
        cut(network, each, set(network.names) - set(inside))


@when('"{name}" reaches the others and the store again')
def step_heal(context, name):
    context.network.cuts.clear()
    context.network.kv.is_unavailable = False


@when(
    '"{name}" is cut off, also from the store, and a front end there has'
    " noticed it"
)
def step_cut_noticed(context, name):
    async def notice(network):
        context.front = network.front(name)
        assert (await context.front.turns.keep(new_turn("t0"))).is_replicated
        cut(network, name, network.names)
        network.kv.is_unavailable = True
        await context.front.turns.keep(new_turn())
        await context.front.reach.probe_store()

    run_in(context, notice)


def begin_next(context):
    """Returns what a front end says to a further turn of a conversation."""
    manager = TurnManager(context.front, Metrics())
    call = make_call(1, previous_turn_id="t0", program="p", body=b"next")
    return run_in(context, lambda _: manager.begin(call, _ROUTE))


@then(
    "the front end refuses the next turn of a conversation at once, as not run"
)
def step_refuses(context):
    context.refusal = begin_next(context)
    assert isinstance(context.refusal, Refusal), context.refusal
    assert context.refusal.status == 503, context.refusal
    assert context.refusal.ran is Ran.NO, context.refusal


@then("the refusal says when to come back")
def step_come_back(context):
    assert context.refusal.retry_after > 0, context.refusal


@then("the front end lets the next turn of a conversation run")
def step_runs(context):
    async def ping(network):
        for member in context.front.reach.members.known.values():
            await context.front.reach._ping(member)
        await context.front.reach.probe_store()

    run_in(context, ping)
    found = begin_next(context)
    assert isinstance(found, Turn), found


@then(
    'a front end near "{name}" does not count a turn as kept, and its cache has'
    " no such turn"
)
def step_not_kept(context, name):
    async def keep(network):
        front = network.front(name)
        kept_by = await front.turns.keep(new_turn())
        return kept_by, list(front.turns.cache.turns)

    kept_by, cached = run_in(context, keep)
    assert not kept_by.is_replicated, kept_by
    assert not cached, cached


@then(
    'a front end near "{name}" counts a turn as kept that ends just before the'
    " cut does"
)
def step_kept_late(context, name):
    async def keep(network):
        front = network.front(name)
        deadline = loop_seconds() + _DEADLINE_SECONDS
        asyncio.get_running_loop().call_later(_CUT_SECONDS, network.cuts.clear)
        return await front.turns.keep(new_turn(), deadline)

    kept_by = run_in(context, keep)
    assert kept_by.is_replicated, kept_by


@then('a front end near "{name}" keeps a turn at {count:d} instances')
def step_keeps(context, name, count):
    async def keep(network):
        front = network.front(name)
        members = network.members[name]
        front.reach.members.tolerated_disk_losses = (
            members.tolerated_disk_losses
        )
        return await front.turns.keep(new_turn())

    context.kept_by = run_in(context, keep)
    assert context.kept_by.is_replicated, context.kept_by
    assert len(set(context.kept_by.keepers)) == count, context.kept_by


@then(
    "the turn is found after any {count:d} of the disks that it reached are"
    " lost"
)
def step_found_after(context, count):
    held = {
        name
        for name, keeper in context.network.keepers.items()
        if "t" in keeper.table.held
    }
    for lost in itertools.combinations(sorted(held), count):
        assert held - set(lost), (held, lost)


@when(
    'of each failure domain but that of "{name}" the instance that should store'
    " a turn is killed"
)
def step_kill_replicas(context, name):
    async def kill(network):
        members = network.members[name]
        for replica in members.replicas(new_turn().key):
            if replica.domain != network.domains[name]:
                await network.kill(replica.name)

    run_in(context, kill)


@when('"{names}" are decommissioned and removed, one after the other')
def step_remove(context, names):
    async def remove(network, name):
        member = network.member(name)
        network.list_as(msgspec.structs.replace(member, leaving=True))
        await decommission(network, name)
        network.list_as(
            msgspec.structs.replace(member, leaving=True, emptied=True)
        )
        await network.kill(name)
        network.lapse(name)
        network.names.remove(name)
        for other in network.names:
            await network.follow(other)

    for name in names.split(", "):
        run_in(context, lambda network, name=name: remove(network, name))


@when('a front end near "{name}" keeps {count:d} turns')
def step_keep_many(context, name, count):
    async def keep(network):
        front = network.front(name)
        for number in range(count):
            await front.turns.keep(new_turn(f"t{number}"))

    run_in(context, keep)


@then('a front end near "{name}" keeps {count:d} turns, with the store')
def step_keep_with_store(context, name, count):
    async def keep(network):
        front = network.front(name)
        return [
            await front.turns.keep(new_turn(f"t{number}"))
            for number in range(count)
        ]

    for kept_by in run_in(context, keep):
        assert kept_by.is_replicated, kept_by
        assert kept_by.is_in_store, kept_by
        assert kept_by.keepers == [name], kept_by


@when('"{name}" has started, and reaches the others again')
def step_start(context, name):
    context.network.cuts.clear()
    run_in(context, lambda network: network.start(name))


async def fetch_stored(network, name):
    """Makes an instance fetch the turns of the store."""
    keeper = network.keepers[name]
    stored = StoredTurns(keeper, network.kv)
    # The store in memory does not wait for changes.
    await stored.watch._read()
    await asyncio.gather(*stored.pending)
    assert stored.has_all()


@then('"{name}" counts as whole only once it has the turns of the store')
def step_whole(context, name):
    async def recover(network):
        keeper, members = network.keepers[name], network.members[name]
        stored = StoredTurns(keeper, network.kv)
        follower = Follower(keeper, members)
        follower.has_stored_turns = stored.has_all
        await network._fetch_all(follower, name)
        was_complete = follower.is_complete()
        await fetch_stored(network, name)
        await network.follow(name)
        return was_complete, keeper.is_recovered

    assert run_in(context, recover) == (False, True)


@when('"{names}" have fetched the turns of the store')
def step_fetch_stored(context, names):
    for name in names.split(", "):
        run_in(context, lambda network, name=name: fetch_stored(network, name))


class LeasedKv(MemoryKv):
    """Records with which lease each key was written, and when that ends."""

    def __init__(self):
        super().__init__()
        self.ends_at = {}
        self.leases = {}

    async def grant(self, seconds):
        """Creates a lease."""
        lease = f"lease-{len(self.ends_at)}"
        self.ends_at[lease] = loop_seconds() + seconds
        return lease

    async def write(self, key, value, expect, lease=""):
        """Records the lease of a key, and when it was written."""
        self.leases[key] = (lease, loop_seconds())
        return await super().write(key, value, expect, lease)


@when(
    "{count:d} turns that expire in {seconds:d} seconds are written to the"
    " store, {pause:d} seconds apart"
)
def step_write_apart(context, count, seconds, pause):
    async def write():
        context.leased_kv = LeasedKv()
        copies = StoreCopies(context.leased_kv)
        for number in range(count):
            expires = wall_seconds() + seconds
            kept = KeptTurn(f"t{number}", "", b"text", expires)
            assert await copies.add(kept)
            await asyncio.sleep(pause)

    run_virtually(write())


@then("the lease of each of them lasts for {seconds:d} seconds from then on")
def step_lease_lasts(context, seconds):
    kv = context.leased_kv
    left = [kv.ends_at[lease] - at for lease, at in kv.leases.values()]
    assert min(left) >= seconds, left


@then("they share {count:d} leases")
def step_shared_leases(context, count):
    assert len(context.leased_kv.ends_at) == count, context.leased_kv.ends_at


@when('"{name}" loses its disk')
def step_lose_disk(context, name):
    run_in(context, lambda network: network.wipe(name))


@when('"{name}" loses its disk, and its registration expired long ago')
def step_lose_disk_and_lapse(context, name):
    async def lose(network):
        await network.wipe(name)
        network.lapse(name)
        network.names.remove(name)

    run_in(context, lose)


@when('"{names}" have followed the others')
def step_follow(context, names):
    for name in names.split(", "):
        run_in(context, lambda network, name=name: network.follow(name))


@when('"{name}" has started and followed "{other}", which loses its disk then')
def step_recover(context, name, other):
    async def recover(network):
        await network.start(name)
        await network.follow(name)
        await network.wipe(other)

    run_in(context, recover)


@then('a front end near "{name}" finds all {count:d} turns')
def step_find_all(context, name, count):
    async def find(network):
        front = network.front(name)
        return [
            await front.turns.find(f"t{number}", f"chain of t{number}")
            for number in range(count)
        ]

    found = run_in(context, find)
    lost = [n for n, each in enumerate(found) if not isinstance(each, list)]
    assert not lost, lost


@when('"{name}" joins them in a failure domain of its own')
def step_join(context, name):
    async def join(network):
        network.names.append(name)
        await network.start(name)
        network.list_as(network.member(name))

    run_in(context, join)


@when(
    'the decommissioning of "{first}" and "{second}" is requested at the same'
    " moment"
)
def step_request_both(context, first, second):
    async def request(network):
        await start_decommission(context, network, first)
        await start_decommission(context, network, second)

    run_in(context, request)
