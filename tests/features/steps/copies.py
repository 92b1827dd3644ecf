"""Steps about the number of disks that have a turn."""

import asyncio
import concurrent.futures
import itertools
from unittest import mock

import msgspec
from behave import then, when
from steps.lookups import decommission
from steps.views_keepers import start_decommission

from rattanmill_core import Metrics, Ran, Refusal, loop_seconds, wall_seconds
from rattanmill_forward.routes import Route, RouteKind
from rattanmill_forward.turns import Turn, TurnManager
from rattanmill_keeper import KeptTurn
from support.calls import make_call
from support.keepers import LocalLink, run_in

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


@when('"{name}" reaches the others again')
def step_heal(context, name):
    context.network.cuts.clear()


@when('"{name}" is cut off, and a front end there has noticed it')
def step_cut_noticed(context, name):
    async def notice(network):
        context.front = network.front(name)
        assert (await context.front.turns.keep(new_turn("t0"))).is_replicated
        cut(network, name, network.names)
        await context.front.turns.keep(new_turn())

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
        pings = asyncio.create_task(front.reach.ping_forever())
        kept_by = await front.turns.keep(new_turn(), deadline)
        pings.cancel()
        return kept_by

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
    "the front end finds the turn without any {count:d} of the instances that"
    " keep it"
)
def step_found_without(context, count):
    asker = context.near[0]

    async def find_without(network, lost):
        before = set(network.cuts)
        network.cuts |= {frozenset((asker, name)) for name in lost}
        found = await network.front(asker).turns.find("t", new_turn().key)
        network.cuts = before
        return found

    for lost in itertools.combinations(context.kept_by.keepers, count):
        found = run_in(context, lambda n, lost=lost: find_without(n, lost))
        assert isinstance(found, list), (lost, found)


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


class SlowDisk(concurrent.futures.Executor):
    """Does one thing after the other, and takes a while for each."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.free_at = 0.0

    def submit(self, work, /, *args):
        """Returns a future of the work's outcome."""
        loop = asyncio.get_running_loop()
        future = concurrent.futures.Future()
        self.free_at = max(self.free_at, loop.time()) + self.seconds
        loop.call_at(self.free_at, lambda: future.set_result(work(*args)))
        return future


async def ask_in_time(link, message, seconds, ask=LocalLink.ask):
    """Returns the reply, or None if it takes longer; the request goes on."""
    request = asyncio.ensure_future(ask(link, message, seconds))
    done, _ = await asyncio.wait([request], timeout=seconds)
    return request.result() if done else None


@when(
    "each sync takes {milliseconds:d} ms, and requests wait no longer than they"
    " say"
)
def step_slow_disks(context, milliseconds):
    async def slow_down(n):
        # What was written before is on disk by then.
        await n.pass_time(0.01)
        for keeper in n.keepers.values():
            keeper.journal.executor = SlowDisk(milliseconds / 1000)

    run_in(context, slow_down)
    context.scenario_stack.enter_context(
        mock.patch.object(LocalLink, "ask", ask_in_time)
    )


@then('a front end near "{name}" keeps a turn before its deadline')
def step_keep_in_time(context, name):
    async def keep(n):
        front = n.front(name)
        pings = asyncio.create_task(front.reach.ping_forever())
        deadline = loop_seconds() + _DEADLINE_SECONDS
        try:
            return await front.turns.keep(new_turn(), deadline)
        finally:
            pings.cancel()

    kept_by = run_in(context, keep)
    assert kept_by.is_replicated, kept_by
