"""Steps about turns that a front end does not find where it looks."""

import asyncio
import itertools
import unittest.mock

import msgspec
from behave import then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn, NoSuchTurn, Reserve, Unsure, members
from rattanmill_keeper.emptying import Decommission, DecommissionKeys
from support.keepers import run_in as network


def turn(number, chain):
    """Returns a turn of a conversation."""
    previous = f"t{number - 1}" if number else ""
    expires = wall_seconds() + 60.0
    return KeptTurn(f"t{number}", previous, b"text", expires, chain)


def chain_kept_by(known, names):
    """Returns a chain key that only the named members are to keep."""
    return next(
        chain
        for chain in map("c{}".format, itertools.count())
        if {member.name for member in known.replicas(chain)} <= set(names)
    )


@when('a storage instance joins each domain, and "{name}" does not learn of it')
def step_join_unknown(context, name):
    async def join(n):
        for number in range(3):
            new = f"new{number}"
            n.domains[new] = f"domain-{number}"
            n.names.append(new)
            await n.start(new)
            for other in set(n.keepers) - {name}:
                n.introduce(n.members[other], new)
            await n.follow(new)

    network(context, join)


@when("a conversation is kept by the new instances")
def step_keep_at_joined(context):
    async def keep(n):
        joined = [name for name in n.names if name.startswith("new")]
        front = n.front("new0")
        context.chain = chain_kept_by(n.members["new0"], joined)
        for number in range(3):
            kept_by = await front.turns.keep(turn(number, context.chain))
            assert kept_by.is_replicated

    network(context, keep)


@when("the store of these storage instances is unreachable")
def step_store_away(context):
    context.network.kv.is_unavailable = True


@when("the store loses its history")
def step_forget(context):
    context.network.kv.forget_changes()


def long_ago():
    """Returns the time at which storage instances last stored the roster."""
    return wall_seconds() - 1000.0


@when('"{name}" is partitioned until its registration expires')
def step_cut_and_lapse(context, name):
    async def cut(n):
        others = set(n.keepers) - {name}
        with unittest.mock.patch.object(members, "wall_seconds", long_ago):
            for other in others:
                n.keepers[other].sweep()
        await n.pass_time(0.05)
        n.cuts |= {frozenset((name, other)) for other in others}
        n.lapse(name)

    network(context, cut)


@when('"{names}" are restarted with what their disks and the store hold')
def step_restart_all(context, names):
    async def restart(n):
        for name in names.split(", "):
            await n.kill(name)
            known = n.members[name].known
            await n.start(name)
            n.members[name].known = dict(known)

    network(context, restart)


def list_with_state(context, name, **state):
    """Lists an instance with a new state, which all others learn."""
    n = context.network
    member = msgspec.structs.replace(n.member(name), **state)
    n.list_as(member)


@when('"{name}" begins to be decommissioned')
def step_begin_decommission(context, name):
    list_with_state(context, name, leaving=True)


async def decommission(n, name):
    """Decommissions an instance as an order does, up to the confirmation."""
    emptying = Decommission(
        n.keepers[name],
        n.members[name],
        None,
        n.kv,
        DecommissionKeys("", "", b"", b""),
    )
    n.keepers[name].is_decommissioning = True
    await emptying.transfer_all()


@when('"{name}" is decommissioned')
def step_decommission(context, name):
    list_with_state(context, name, leaving=True)
    network(context, lambda n: decommission(n, name))


@when('"{name}" is decommissioned and removed')
def step_decommission_and_remove(context, name):
    step_decommission(context, name)
    list_with_state(context, name, leaving=True, emptied=True)
    network(context, lambda n: n.kill(name))
    context.network.lapse(name)


def new_front(n, name):
    """Returns a front end that has just read the list of the store."""
    front = n.front(name)
    front.reach.members.watch.revision = n.kv.revision
    return front


def lagging_front(n, name):
    """Returns a front end with the member list of a storage instance."""
    return n.front(name)


def front_with_history(n, name):
    """Returns a front end that also knows which members were removed."""
    front = n.front(name)
    theirs = n.members[name]
    front.reach.members.lost_at = dict(theirs.lost_at)
    front.reach.members.decommissioned = set(theirs.decommissioned)
    return front


def look_up(context, make_front, name, wanted, chain="p"):
    """Returns the result of a lookup by a front end."""
    return network(
        context, lambda n: make_front(n, name).turns.find(wanted, chain)
    )


def check_conversation(found):
    assert isinstance(found, list), found
    assert [kept.turn for kept in found] == ["t2", "t1", "t0"], found


@then('a front end with the member list of "{name}" finds the conversation')
def step_finds_all(context, name):
    check_conversation(
        look_up(context, lagging_front, name, "t2", context.chain)
    )


@then(
    'a front end with the member list of "{name}" and the newest turn finds the'
    " whole conversation"
)
def step_finds_rest(context, name):
    def having_newest(n, name):
        front = n.front(name)
        front.turns.cache.add(turn(2, context.chain))
        return front

    check_conversation(
        look_up(context, having_newest, name, "t2", context.chain)
    )


@then(
    'a front end with the member list of "{name}" is uncertain about the'
    " conversation"
)
def step_not_certain(context, name):
    found = look_up(context, lagging_front, name, "t2", context.chain)
    assert isinstance(found, Unsure), found


@then('a new front end near "{name}" is uncertain about the turn "{wanted}"')
def step_new_not_certain(context, name, wanted):
    found = look_up(context, new_front, name, wanted)
    assert isinstance(found, Unsure), found


@then(
    'a new front end near "{name}" reports that the turn "{wanted}" does not'
    " exist"
)
def step_new_denies(context, name, wanted):
    found = look_up(context, new_front, name, wanted)
    assert isinstance(found, NoSuchTurn), found


@when("{count:d} callers name turns that were never kept at the same time")
def step_many_ask(context, count):
    async def ask_all(n):
        front = n.front("s0")
        finds = [front.turns.find(f"never{i}", "p") for i in range(count)]
        return await asyncio.gather(*finds)

    before = context.network.kv.calls
    context.answers = network(context, ask_all)
    context.calls = context.network.kv.calls - before


@then("all are told that there is no such turn")
def step_all_denied(context):
    assert all(isinstance(a, NoSuchTurn) for a in context.answers)


@then("the store was read at most {count:d} times")
def step_asked(context, count):
    assert 1 <= context.calls <= count, context.calls


@when("the store is slow to reply")
def step_slow_answers(context):
    kv = context.network.kv
    read_list = kv.list

    async def list_slowly(prefix):
        answer = await read_list(prefix)
        await asyncio.sleep(0.05)
        return answer

    kv.list = list_slowly


async def wait_for_call(n, calls):
    """Returns once the store has been called again."""
    for _ in range(1000):
        await asyncio.sleep(0)
        if n.kv.calls > calls:
            return
    raise AssertionError("the store was not called")


@when("the lookup of one caller is reading the store")
def step_ask_first(context):
    async def request(n):
        context.front = n.front("s0")
        lookup = context.front.turns.find("never", "p")
        calls = n.kv.calls
        context.first = asyncio.create_task(lookup)
        await wait_for_call(n, calls)

    network(context, request)


@then("the same front end finds the conversation")
def step_same_front_finds(context):
    async def find_both(n):
        lookup = context.front.turns.find("t2", context.chain)
        return await asyncio.gather(lookup, context.first)

    found, _ = network(context, find_both)
    check_conversation(found)


@then(
    'a front end with the history of "{name}" is uncertain about the turn'
    ' "{wanted}"'
)
def step_history_uncertain(context, name, wanted):
    found = look_up(context, front_with_history, name, wanted)
    assert isinstance(found, Unsure), found


@then('a front end with the history of "{name}" finds the turn "{wanted}"')
def step_history_finds(context, name, wanted):
    found = look_up(context, front_with_history, name, wanted)
    assert [kept.turn for kept in found] == [wanted], found


@then(
    'a front end with the history of "{name}" reports that the turn "{wanted}"'
    " does not exist"
)
def step_history_denies(context, name, wanted):
    found = look_up(context, front_with_history, name, wanted)
    assert isinstance(found, NoSuchTurn), found


@then('a front end that does not know this keeps a turn at "{names}" only')
def step_keeps_elsewhere(context, names):
    async def keep(n):
        front = n.front("b")
        for name in n.names:
            n.introduce(front.reach.members, name)
        front.reach.members.tolerated_disk_losses = len(n.names) - 1
        return await front.turns.keep(turn(0, "p"))

    kept_by = network(context, keep)
    assert sorted(kept_by.keepers) == names.split(", "), kept_by


@then('"{name}" records no more reservations')
def step_records_none(context, name):
    request = Reserve("p", "attempt", 10, 100)
    reply = network(context, lambda n: n.keepers[name].serve(request))
    assert isinstance(reply, Unsure), reply
