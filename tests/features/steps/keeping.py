"""Steps about budget accounts, run in this process."""

import asyncio
import itertools
import shutil

from behave import given, then, when

from rattanmill_core import Metrics, wall_seconds
from rattanmill_keeper import (
    KeeperClient,
    Reserve,
    Reserved,
    Spent,
    Unsure,
)
from rattanmill_keeper.emptying import Decommission, DecommissionKeys
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.messages import Account, Open, Opened, Place, Settle
from support.keepers import LocalMembers, begin
from support.keepers import run_in as network
from support.stories import BUDGET, TOKENS

# Delay that lets another request overtake this one.
_OVERTAKEN_SECONDS = 0.02
# A caller that is refused retries a few times.
_MAX_OPEN_TRIES = 4
_OPEN_RETRY_SECONDS = 0.2
# Its share for one instance is larger than one turn.
LARGE_BUDGET = 10 * TOKENS
_NUMBERS = itertools.count()
# Delay of a reply that is still waited for.
_SLOW_REPLY_SECONDS = 0.1


@given('storage instances "{names}"')
def step_instances(context, names):
    begin(context, names.split(", "))


@given(
    '"{earlier}" of storage instances "{names}", a version that grants more'
    " than one turn alone"
)
def step_earlier_instances(context, earlier, names):
    begin(context, names.split(", "), earlier=earlier.split(", "))


@given('"{name}" runs a version that grants more than one turn alone')
def step_earlier(context, name):
    async def restart(n):
        n.earlier.add(name)
        await n.kill(name)
        await n.start(name)
        n.list_as(n.member(name))

    if name in context.network.names:
        network(context, restart)


@when('"{name}" is killed and the store is unreachable')
def step_kill_store(context, name):
    context.network.kv.is_unavailable = True
    network(context, lambda n: n.kill(name))


@when('"{name}" is partitioned from "{others}" and the store is unreachable')
def step_cut_off(context, name, others):
    context.network.kv.is_unavailable = True
    for other in others.split(", "):
        context.network.cuts.add(frozenset((name, other)))


def reserve_at(context, name, program, attempt="first", tokens=TOKENS):
    request = Reserve(program, attempt, tokens, BUDGET)
    return network(context, lambda n: n.reserve(name, request))


@then('a new program gets a reservation at "{name}"')
@then('the same program gets a reservation at "{name}"')
def step_reserved(context, name):
    reply = reserve_at(context, name, "new")
    assert isinstance(reply, Reserved), reply


@then('a new program gets no reservation at "{name}"')
def step_not_reserved(context, name):
    reply = reserve_at(context, name, "new")
    assert isinstance(reply, Unsure), reply


@when(
    "two of them open an account at once and each reaches half of the others"
    " first"
)
def step_open_at_once(context):
    async def open_both(n):
        one, other, *rest = n.names
        for number, name in enumerate(rest):
            n.delays[other if number % 2 else one, name] = _OVERTAKEN_SECONDS
        n.delays[one, other] = n.delays[other, one] = _OVERTAKEN_SECONDS
        message = Open("new", BUDGET, TOKENS)
        await asyncio.gather(
            n.keepers[one].open(message), n.keepers[other].open(message)
        )
        n.delays.clear()

    network(context, open_both)


@then("new front ends of all domains get reservations from the same holders")
def step_same_holders(context):
    found = set()
    for name in context.near:
        for attempt in range(_MAX_OPEN_TRIES):
            attempt = f"{name}-{attempt}"
            reply = reserve_at(context, name, "new", attempt, BUDGET // 10)
            if isinstance(reply, Reserved):
                break
            network(context, lambda n: n.pass_time(_OPEN_RETRY_SECONDS))
        assert isinstance(reply, Reserved), (name, reply)
        found.add(context.network.fronts[attempt].budgets.holders_of("new"))
    assert len(found) == 1, found


def open_at(context, name, other):
    """Opens an account while no instance reaches another one."""
    cuts = {frozenset((each, other)) for each in context.network.names}
    context.network.cuts |= cuts
    message = Open("twice", BUDGET, TOKENS)
    reply = network(context, lambda n: n.keepers[name].open(message))
    context.network.cuts -= cuts
    context.network.failures.clear()
    assert isinstance(reply, Opened), reply
    return reply.place


@when('"{name}" opens an account while "{other}" is unreachable')
def step_open_first(context, name, other):
    context.first = open_at(context, name, other)


@when('"{name}" also opens it while "{other}" is unreachable')
def step_open_second(context, name, other):
    second = open_at(context, name, other)
    assert second.holders == context.first.holders
    assert second.reserved != context.first.reserved, second


@then('the program can reserve all of its budget at "{name}"')
def step_use_all(context, name):
    for number in range(BUDGET // TOKENS):
        reply = reserve_at(context, name, "twice", f"turn-{number}")
        assert isinstance(reply, Reserved), (number, reply)


@then('the program can reserve at most one more turn at "{names}"')
def step_use_no_more(context, names):
    more = [
        reserve_at(context, name, "twice", f"more-{name}")
        for name in names.split(", ")
    ]
    assert sum(isinstance(each, Reserved) for each in more) <= 1, more


@when(
    '"{name}" opens an account while "{other}" replies late, and "{second}"'
    " opens it meanwhile"
)
def step_open_meanwhile(context, name, other, second):
    message = Open("both", LARGE_BUDGET, TOKENS)

    async def open_both(net):
        net.delays[name, other] = _SLOW_REPLY_SECONDS
        first = asyncio.create_task(net.keepers[name].open(message))
        await asyncio.sleep(_SLOW_REPLY_SECONDS / 2)
        return await net.keepers[second].open(message), await first

    replies = network(context, open_both)
    context.network.delays.clear()
    assert all(isinstance(each, Opened) for each in replies), replies


@then(
    'at most the budget and one turn are granted by "{name}" and by "{other}"'
    " alone"
)
def step_granted_in_all(context, name, other):
    async def reserve(net, where):
        requests = [
            Reserve("both", f"{where}-{number}", TOKENS, LARGE_BUDGET)
            for number in range(LARGE_BUDGET // TOKENS + 2)
        ]
        replies = [await net.reserve(where, each) for each in requests]
        return sum(isinstance(each, Reserved) for each in replies)

    granted = network(context, lambda net: reserve(net, name))
    assert granted
    others = set(context.network.names) - {other}
    context.network.cuts |= {frozenset((other, each)) for each in others}
    granted += network(context, lambda net: reserve(net, other))
    assert granted * TOKENS <= LARGE_BUDGET + TOKENS, granted


@when('"{name}" receives a reservation and its settlement at once')
def step_end_at_once(context, name):
    place = open_at(context, "a", "nobody")
    reserve = Reserve("twice", "turn", TOKENS, BUDGET, place=place)
    messages = [reserve, Settle("twice", "turn", 0)]

    async def receive(n):
        # As they arrive: messages that need no waiting are handled at once.
        replies = [n.keepers[name].answer(message) for message in messages]
        await asyncio.gather(*filter(asyncio.iscoroutine, replies))

    network(context, receive)


@then('the program has used nothing at "{name}"')
def step_used_nothing(context, name):
    account = context.network.keepers[name].ledger.accounts["twice"]
    assert account.taken == 0, account


@when('a program has used its budget at "{name}"')
def step_used_up(context, name):
    for attempt in ("one", "two", "three"):
        reply = reserve_at(context, name, "old", attempt, BUDGET // 3)
        assert isinstance(reply, Reserved), reply


@when('a program has used half of its budget at "{name}"')
def step_used_half(context, name):
    for attempt in ("one", "two"):
        reply = reserve_at(context, name, "old", attempt)
        assert isinstance(reply, Reserved), reply


@when(
    'a program has a turn running at "{name}", which is decommissioned and'
    " removed"
)
def step_decommission(context, name):
    assert isinstance(reserve_at(context, name, "moved", "one"), Reserved)

    async def empty(n):
        emptying = Decommission(
            n.keepers[name],
            n.members[name],
            None,
            n.kv,
            DecommissionKeys("", "", b"", b""),
        )
        assert await emptying.transfer_accounts()
        await n.kill(name)

    network(context, empty)


@when("the turn's use of {tokens:d} tokens is settled")
def step_settle(context, tokens):
    async def settle(n):
        n.settle("moved", "one", tokens)
        await n.pass_time(0.05)

    network(context, settle)


@then('the program gets a reservation of its whole budget at "{name}"')
def step_all_budget(context, name):
    reply = reserve_at(context, name, "moved", "two", BUDGET)
    assert isinstance(reply, Reserved), reply


@then('the program gets a further reservation at "{name}"')
def step_further(context, name):
    reply = reserve_at(context, name, "old", "further")
    assert isinstance(reply, Reserved), reply


def turns_granted(context, names, count):
    """Returns how many further turns a program gets at some instances."""
    replies = [
        reserve_at(context, name, "old", f"further-{next(_NUMBERS)}")
        for name in names
        for _ in range(count)
    ]
    return sum(isinstance(reply, Reserved) for reply in replies)


@when('"{name}" joins, of which the others only know the name yet')
def step_join_by_name(context, name):
    async def join(n):
        others = list(n.names)
        n.names.append(name)
        await n.start(name)
        for other in others:
            n.members[other].last_seen[name] = wall_seconds()

    network(context, join)


@when('all hear of "{name}", which has followed them')
def step_hear(context, name):
    async def hear(n):
        n.list_as(n.member(name))
        for each in (*n.names, name):
            await n.follow(each)

    network(context, hear)


@then('the program gets just the rest of its budget at "{name}"')
def step_just_the_rest(context, name):
    granted = turns_granted(context, [name], BUDGET // TOKENS)
    assert granted == BUDGET // TOKENS - 2, granted


@then('the program gets at most one more turn at "{names}"')
def step_one_more(context, names):
    granted = turns_granted(context, names.split(", "), 2)
    assert granted <= 1, granted


@when('the program gets its share at "{name}"')
def step_share(context, name):
    granted = turns_granted(context, [name], 2)
    assert granted == 1, granted


@then('the program gets no further turn at "{names}"')
def step_no_more(context, names):
    granted = turns_granted(context, names.split(", "), 2)
    assert granted == 0, granted


def accepts_order(context, keeper, name):
    """Whether an instance reacts to an order to decommission another."""

    async def order(n):
        emptying = Decommission(
            n.keepers[keeper],
            n.members[keeper],
            None,
            n.kv,
            DecommissionKeys("orders/", "", b"", b""),
        )
        emptying.watch.on_write(f"orders/{name}", b"")
        return emptying.requested.is_set()

    return network(context, order)


@then('the order to decommission "{name}" has no effect on "{keeper}"')
def step_not_ordered(context, name, keeper):
    assert not accepts_order(context, keeper, name)


@then('the order to decommission "{name}" has an effect')
def step_ordered(context, name):
    assert accepts_order(context, name, name)


@when("a front end reserves tokens and its caller disconnects meanwhile")
def step_leave(context):
    async def leave(n):
        members = LocalMembers(n, "front")
        for name in n.names:
            n.introduce(members, name)
        context.front = KeeperClient("domain-a", members, Metrics())
        reservation = asyncio.create_task(
            context.front.budgets.reserve(
                Reserve("left", "one", TOKENS, BUDGET)
            )
        )
        for _ in range(10_000):
            held = n.keepers["a"].ledger.accounts.get("left")
            if held and held.uses:
                break
            await asyncio.sleep(0)
        reservation.cancel()
        await asyncio.wait([reservation])
        assert reservation.cancelled()

    network(context, leave)
    account = context.network.keepers["a"].ledger.accounts["left"]
    assert account.uses, account


@then("the reservation is released")
def step_released(context):
    async def wait(n):
        if context.front.reach.tasks:
            await asyncio.wait(context.front.reach.tasks)
        for keeper in n.keepers.values():
            held = keeper.ledger.accounts.get("left")
            assert held is None or held.taken == 0, held

    network(context, wait)


@when('"{name}" loses its disk and recovers from the others')
def step_lose_disk(context, name):
    async def lose(n):
        await n.wipe(name)
        await n.start(name)
        assert not n.keepers[name].is_recovered
        await n.follow(name)
        assert n.keepers[name].is_recovered

    network(context, lose)


@when('"{name}" returns with an empty disk and recovers from the others')
def step_return_empty(context, name):
    async def start(n):
        shutil.rmtree(n.folder / name)
        await n.start(name)
        for each in n.names:
            await n.follow(each)
        assert n.keepers[name].is_recovered

    network(context, start)


@then('the program gets at most {most:d} more turns at "{names}"')
def step_more_turns(context, most, names):
    granted = turns_granted(context, names.split(", "), BUDGET // TOKENS)
    assert granted <= most, granted


@when(
    'a program has used half of its budget at "{name}" while one holder was'
    " unreachable"
)
def step_used_without_one(context, name):
    assert isinstance(reserve_at(context, name, "old", "one"), Reserved)
    holders = context.network.fronts["one"].budgets.holders_of("old")
    context.holders = holders
    for each in context.network.names:
        if each != holders[-1]:
            context.network.cuts.add(frozenset((each, holders[-1])))
    for attempt in ("two", "three"):
        reply = reserve_at(context, name, "old", attempt)
        assert isinstance(reply, Reserved), reply
    context.network.cuts.clear()


@when(
    "two holders that were reachable lose their disks and recover from the"
    " others"
)
def step_lose_two(context):
    async def lose(n):
        lost = context.holders[:2]
        for name in lost:
            await n.wipe(name)
        for name in lost:
            await n.start(name)
            n.members[name].tolerated_disk_losses = 2
        for name in [*lost, *lost]:
            await n.follow(name)

    network(context, lose)


@then("the program gets at most the rest of its budget and one turn")
def step_rest(context):
    used = 3 * TOKENS
    for number in range(8):
        name = context.holders[number % len(context.holders)]
        reply = reserve_at(context, name, "old", f"rest-{number}")
        used += TOKENS * isinstance(reply, Reserved)
    assert used <= BUDGET + TOKENS, used


@when('"{names}" are killed and restarted')
def step_restart_all(context, names):
    async def restart(n):
        for name in names.split(", "):
            await n.kill(name)
        for name in names.split(", "):
            await n.start(name)

    network(context, restart)


@when('"{name}" is killed and restarted')
def step_restart(context, name):
    async def restart(n):
        await n.kill(name)
        await n.start(name)

    network(context, restart)


@when('"{name}" is killed')
def step_kill(context, name):
    network(context, lambda n: n.kill(name))


@then('"{name}" has recovered')
def step_whole(context, name):
    assert context.network.keepers[name].is_recovered


@then('the program is refused as uncertain at "{name}"')
def step_unsure(context, name):
    reply = reserve_at(context, name, "old", f"last-{name}", BUDGET // 2)
    assert isinstance(reply, Unsure), reply


@then('the program is refused as spent at "{name}"')
def step_spent(context, name):
    reply = reserve_at(context, name, "old", f"last-{name}", 1)
    assert isinstance(reply, Spent), reply


@when('the registration of "{name}" expired long ago')
def step_lapse(context, name):
    async def lapse(n):
        n.lapse(name)

    network(context, lapse)


@given("a storage instance that has chosen the holders of a new account")
def step_choosing_holders(context):
    context.ledger = Ledger("a")
    context.chosen = Account("p", 1_000, Place(("a", "b", "c")))


@when("the account becomes known with other holders")
def step_other_holders(context):
    context.other = Place(("a", "d", "e"))
    context.ledger.merge(Account("p", 1_000, context.other))


@then("the instance returns those holders and not its own")
def step_names_others(context):
    assert context.ledger.open(context.chosen) is None
    assert context.ledger.find("p") == Opened(context.other)
