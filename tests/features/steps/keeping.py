"""Steps about accounts and turns, run in this process."""

import asyncio
import itertools
import shutil
import tempfile
import unittest.mock
from collections.abc import Callable

import hypothesis
import msgspec
from behave import given, then, when

from rattanmill_core import Metrics, wall_seconds
from rattanmill_keeper import (
    KeeperClient,
    KeptTurn,
    Reserve,
    Reserved,
    Spent,
    Unsure,
    accounts,
    permits,
)
from rattanmill_keeper.emptying import Emptying, EmptyingOrders
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.journal import frame, read_frames
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.messages import Keep, Ping, Share, codec
from rattanmill_wire import RequestLink
from support.keepers import LocalMembers, Network
from support.stories import BUDGET, MOST, OPERATIONS, TOKENS, play
from support.virtual import run_virtually

RECORD_ALONE = Ledger.record_alone
_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


@then(
    "no sequence of cuts, kills, lost disks and lost replies lets a program"
    " use more than its budget and one turn"
)
def step_any_story(context):
    @hypothesis.given(OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = run_virtually(play(operations))
        assert all(tokens <= MOST for tokens in used.values()), used

    hold()


async def _open_alone(program, holders, ledger, members, kv):
    return Consent()


async def _split(network, programs):
    """Returns what programs use when turns reach both halves of a system."""
    for pair in itertools.product("ab", "cd"):
        network.cuts.add(frozenset(pair))
    used = dict.fromkeys(programs, 0)
    for program, name, number in itertools.product(programs, "ad", range(6)):
        ask = Reserve(program, f"{program}-{name}-{number}", TOKENS, BUDGET)
        if isinstance(await network.reserve(name, ask), Reserved):
            used[program] += TOKENS
    return used


@when(
    '"a, b" are cut off from "c, d" and turns of {count:d} programs reach both'
)
def step_split(context, count):
    programs = [f"asked-{number}" for number in range(count)]
    context.used = network(context, lambda n: _split(n, programs))


@when("the same is played with accounts that are opened without asking")
def step_naive(context):
    for keeper in context.network.keepers.values():
        keeper.may_open = _open_alone
    programs = [f"naive-{number}" for number in range(20)]
    context.used = network(context, lambda n: _split(n, programs))


@then("no program has used more than its budget and one turn")
def step_none_over(context):
    assert all(tokens <= MOST for tokens in context.used.values()), context.used


@then("a program has used more than its budget and one turn")
def step_one_over(context):
    assert max(context.used.values()) > MOST, context.used


def _any_is_whole(network):
    """Lets whoever has lost its disk count before it has followed others."""
    start = network.start

    async def start_whole(name, first=False):
        await start(name, True)

    network.start = start_whole


def _one_is_enough(network):
    """Lets the word of one holder count as that of a majority."""
    network.stack.enter_context(
        unittest.mock.patch.object(permits, "majority", lambda holders: 1)
    )
    network.stack.enter_context(
        unittest.mock.patch.object(accounts, "majority", lambda holders: 1)
    )


class Broken(msgspec.Struct, frozen=True):
    """A rule that is broken on purpose.

    Attributes:
        operations: A story in which it matters.
        prepare: Breaks the rule.
    """

    operations: list[tuple]
    prepare: Callable


_BROKEN = {
    "one holder's word is enough": Broken(
        [
            *[("ask", "a"), ("isolate", "a")],
            *[("ask", "a")] * 4,
            *[("ask", "b")] * 4,
        ],
        _one_is_enough,
    ),
    "an instance counts before it has followed the others": Broken(
        [
            ("isolate", "c"),
            *[("ask", "a")] * 4,
            *[("heal", "c"), ("wipe", "a"), ("isolate", "b")],
            *[("ask", "c")] * 4,
        ],
        _any_is_whole,
    ),
}


@when('a story is played in which it matters that "{rule}" is wrong')
def step_sound(context, rule):
    context.rule = _BROKEN[rule]
    context.used = run_virtually(play(context.rule.operations))


@when("it is played with the rule broken")
def step_mutated(context):
    rule = context.rule
    context.used = run_virtually(play(rule.operations, rule.prepare))


# The opener grants what it may alone, and loses its disk; what it granted
# then is known to nobody.
_ALONE_TWICE = [
    *[("ask", "a"), ("isolate", "a"), ("ask", "a"), ("ask", "a")],
    *[("heal", "a"), ("wipe", "a"), ("follow", "a"), ("isolate", "a")],
    *[("ask", "a"), ("heal", "a"), ("wipe", "a"), ("follow", "a")],
    *[
        ("isolate", "a"),
        ("ask", "a"),
        ("ask", "b"),
        ("ask", "b"),
        ("heal", "a"),
    ],
]


def _share_again(network):
    """Lets an opener that has lost its disk set a share aside again."""

    def record_alone(ledger, ask, may_begin):
        ledger.shares.setdefault(ask.program, Share())
        return RECORD_ALONE(ledger, ask, may_begin)

    network.stack.enter_context(
        unittest.mock.patch.object(Ledger, "record_alone", record_alone)
    )


@when("an opener has granted its share and lost its disk")
def step_alone_twice(context):
    context.used = run_virtually(play(_ALONE_TWICE))


@when("an opener has granted its share and lost its disk, and begins anew")
def step_alone_anew(context):
    context.used = run_virtually(play(_ALONE_TWICE, _share_again))


@then("the program uses more than its budget and one turn")
def step_over(context):
    assert context.used["p"] > MOST, context.used


@then("the program uses no more than its budget and one turn")
def step_not_over(context):
    assert TOKENS < context.used["p"] <= MOST, context.used


def network(context, work):
    """Runs a coroutine with the scenario's storage instances."""
    return context.loop.run_until_complete(work(context.network))


@given('storage instances "{names}"')
def step_instances(context, names):
    folder = tempfile.mkdtemp()
    context.loop = asyncio.new_event_loop()
    context.network = Network(folder, names.split(", "))
    network(context, lambda n: n.start_all())

    def clean():
        network(context, lambda n: n.stop_all())
        context.loop.close()
        shutil.rmtree(folder)

    context.scenario_stack.callback(clean)


@when('"{name}" is killed and the store is away')
def step_kill_store(context, name):
    context.network.kv.away = True
    network(context, lambda n: n.kill(name))


@when('"{name}" is cut off from "{others}" and the store is away')
def step_cut_off(context, name, others):
    context.network.kv.away = True
    for other in others.split(", "):
        context.network.cuts.add(frozenset((name, other)))


def ask(context, name, program, attempt="first", tokens=TOKENS):
    asked = Reserve(program, attempt, tokens, BUDGET)
    return network(context, lambda n: n.reserve(name, asked))


@then('a new program gets a permission at "{name}"')
@then('the same program gets a permission at "{name}"')
def step_permitted(context, name):
    reply = ask(context, name, "new")
    assert isinstance(reply, Reserved), reply


@then('a new program gets no permission at "{name}"')
def step_not_permitted(context, name):
    reply = ask(context, name, "new")
    assert isinstance(reply, Unsure), reply


@when('a program has used its budget at "{name}"')
def step_used_up(context, name):
    for attempt in ("one", "two", "three"):
        reply = ask(context, name, "old", attempt, BUDGET // 3)
        assert isinstance(reply, Reserved), reply


@when('a program has used half of its budget at "{name}"')
def step_used_half(context, name):
    for attempt in ("one", "two"):
        reply = ask(context, name, "old", attempt)
        assert isinstance(reply, Reserved), reply


@when(
    'a program has a turn running at "{name}", which is emptied and taken away'
)
def step_empty(context, name):
    assert isinstance(ask(context, name, "moved", "one"), Reserved)

    async def empty(n):
        emptying = Emptying(
            n.keepers[name],
            n.members[name],
            None,
            n.kv,
            EmptyingOrders("", "", b"", b""),
        )
        assert await emptying.hand_over()
        await n.kill(name)

    network(context, empty)


@when("the turn's use of {tokens:d} tokens is booked")
def step_settle(context, tokens):
    async def settle(n):
        n.settle("moved", "one", tokens)
        await n.pass_time(0.05)

    network(context, settle)


@then('the program gets a permission for all its budget at "{name}"')
def step_all_budget(context, name):
    reply = ask(context, name, "moved", "two", BUDGET)
    assert isinstance(reply, Reserved), reply


@then('the program gets a further permission at "{name}"')
def step_further(context, name):
    reply = ask(context, name, "old", "further")
    assert isinstance(reply, Reserved), reply


def is_ordered(context, keeper, name):
    """Whether a keeper takes the order to empty an instance for its own."""

    async def order(n):
        emptying = Emptying(
            n.keepers[keeper],
            n.members[keeper],
            None,
            n.kv,
            EmptyingOrders("orders/", "", b"", b""),
        )
        emptying.watch.on_write(f"orders/{name}", b"")
        return emptying.ordered.is_set()

    return network(context, order)


@then('the order to empty "{name}" does not move "{keeper}"')
def step_not_ordered(context, name, keeper):
    assert not is_ordered(context, keeper, name)


@then('the order to empty "{name}" does')
def step_ordered(context, name):
    assert is_ordered(context, name, name)


@when("a front asks for a permission and its caller leaves meanwhile")
def step_leave(context):
    async def leave(n):
        members = LocalMembers(n, "front")
        for name in n.names:
            n.introduce(members, name)
        context.front = KeeperClient("domain-a", 2, members, Metrics())
        asking = asyncio.create_task(
            context.front.permits.reserve(
                Reserve("left", "one", TOKENS, BUDGET)
            )
        )
        for _ in range(10_000):
            held = n.keepers["a"].ledger.accounts.get("left")
            if held and held.uses:
                break
            await asyncio.sleep(0)
        asking.cancel()
        await asyncio.wait([asking])
        assert asking.cancelled()

    network(context, leave)
    account = context.network.keepers["a"].ledger.accounts["left"]
    assert account.uses, account


@then("the permission is taken back")
def step_taken_back(context):
    async def wait(n):
        if context.front.reach.tasks:
            await asyncio.wait(context.front.reach.tasks)
        for keeper in n.keepers.values():
            held = keeper.ledger.accounts.get("left")
            assert held is None or held.taken == 0, held

    network(context, wait)


@when('"{name}" loses its disk and has followed the others')
def step_lose_disk(context, name):
    async def lose(n):
        await n.wipe(name)
        await n.start(name)
        assert not n.keepers[name].whole
        await n.follow(name)
        assert n.keepers[name].whole

    network(context, lose)


@when('"{name}" is killed and started again')
def step_restart(context, name):
    async def restart(n):
        await n.kill(name)
        await n.start(name)

    network(context, restart)


@when('"{name}" is killed')
def step_kill(context, name):
    network(context, lambda n: n.kill(name))


@then('"{name}" is whole')
def step_whole(context, name):
    assert context.network.keepers[name].whole


@then('the program is refused as not certain at "{name}"')
def step_unsure(context, name):
    reply = ask(context, name, "old", f"last-{name}", BUDGET // 2)
    assert isinstance(reply, Unsure), reply


@then('the program is refused as spent at "{name}"')
def step_spent(context, name):
    reply = ask(context, name, "old", f"last-{name}", 1)
    assert isinstance(reply, Spent), reply


def keep(context, name, turn, previous="", text=b"text", seconds=60.0):
    kept = KeptTurn(turn, previous, text, wall_seconds() + seconds)
    network(context, lambda n: n.keepers[name].serve(Keep(kept)))


@when('"{names}" keep {count:d} turns')
def step_keep_all(context, names, count):
    for name in names.split(", "):
        for number in range(count):
            keep(context, name, f"turn-{number}")


@when('"{old}" is replaced by "{new}" of its domain, which is still listed')
def step_replace(context, old, new):
    async def replace(n):
        await n.wipe(old)
        n.domains[new] = n.domains.get(old, f"domain-{old}")
        n.names.append(new)
        await n.start(new)
        for name in n.keepers:
            n.introduce(n.members[name], new)
        await n.follow(new)

    network(context, replace)


@then('"{names}" have all {count:d} turns')
def step_have_all(context, names, count):
    for name in names.split(", "):
        held = context.network.keepers[name].table.held
        missing = {f"turn-{n}" for n in range(count)} - set(held)
        assert not missing, (name, missing)


@when('the registration of "{name}" has lapsed for long')
def step_lapse(context, name):
    async def lapse(n):
        n.lapse(name)

    network(context, lapse)


@when('"{name}" keeps a turn alone')
def step_keep(context, name):
    keep(context, name, "t1")


@when('"{name}" has followed the others')
def step_follow(context, name):
    network(context, lambda n: n.follow(name))


@then('"{name}" has the turn')
def step_has(context, name):
    assert "t1" in context.network.keepers[name].table.held


@given("{count:d} storage instances in 3 failure domains")
def step_many(context, count):
    names = [f"s{number}" for number in range(count)]
    context.domains = {
        name: f"domain-{number % 3}" for number, name in enumerate(names)
    }
    folder = tempfile.mkdtemp()
    context.loop = asyncio.new_event_loop()
    context.network = Network(folder, names)
    context.network.domains = context.domains
    context.turns = 0
    network(context, lambda n: n.start_all())

    def clean():
        network(context, lambda n: n.stop_all())
        context.loop.close()
        shutil.rmtree(folder)

    context.scenario_stack.callback(clean)


def go_on(context, count):
    """Keeps further turns of a conversation, each through another front."""

    async def keep_all(n):
        for number in range(context.turns, context.turns + count):
            previous = f"t{number - 1}" if number else ""
            front = n.front(f"s{number % 3}")
            if previous:
                found = await front.lookup.find(previous, "p")
                assert len(found) == number, (number, found)
            expires = wall_seconds() + 60.0
            kept = KeptTurn(f"t{number}", previous, b"text", expires, "p")
            assert (await front.lookup.keep(kept)).enough

    network(context, keep_all)
    context.turns += count


@when(
    "a conversation of {count:d} turns goes through fronts that have just"
    " started"
)
def step_converse(context, count):
    go_on(context, count)


def find_all(context, name, chain="p"):
    """Returns the turns that a new front finds, and whom it asked."""
    asked = []

    async def find(n):
        front = n.front(name)
        ask = front.reach.ask

        async def count(member, message, seconds):
            asked.append(member.name)
            return await ask(member, message, seconds)

        front.reach.ask = count
        return await front.lookup.find(f"t{context.turns - 1}", chain)

    found = network(context, find)
    assert isinstance(found, list), found
    assert [kept.turn for kept in found] == [
        f"t{number}" for number in reversed(range(context.turns))
    ], found
    return asked


@then(
    "a new front of each domain finds all {count:d} turns, the first asking"
    " {most:d} instance"
)
def step_find_near(context, count, most):
    for name in ("s0", "s1", "s2"):
        asked = find_all(context, name)
        assert len(asked) <= most, asked


@then("a new front of each domain finds all {count:d} turns")
def step_find(context, count):
    for name in ("s0", "s1", "s2"):
        find_all(context, name)


@then("a front that takes it for another program's finds all {count:d} turns")
def step_find_other(context, count):
    find_all(context, "s0", "another")


@when("{count:d} storage instances of different domains are away")
def step_away(context, count):
    async def kill(n):
        for name in list(n.keepers)[-count:]:
            await n.kill(name)

    network(context, kill)


@when("a storage instance joins each domain and {count:d} more turns are kept")
def step_join(context, count):
    async def join(n):
        for number in range(3):
            name = f"new{number}"
            n.domains[name] = f"domain-{number}"
            n.names.append(name)
            await n.start(name)
            for each in n.keepers:
                n.introduce(n.members[each], name)

    network(context, join)
    go_on(context, count)


@when('"{name}" keeps a turn that expires at once and one that continues it')
def step_keep_chain(context, name):
    keep(context, name, "t1", seconds=-100.0)
    keep(context, name, "t2", "t1")


@when('"{name}" keeps them in the other order')
def step_keep_reversed(context, name):
    keep(context, name, "t2", "t1")
    keep(context, name, "t1", seconds=-100.0)


@when('"{name}" keeps {size:d} MB of turns that expire at once')
def step_keep_many(context, name, size):
    for number in range(size):
        text = bytes(1_000_000)
        keep(context, name, f"old-{number}", text=text, seconds=-100.0)


@when("the sweep has run")
def step_sweep(context):
    async def sweep(n):
        for keeper in n.keepers.values():
            keeper.sweep()

    network(context, sweep)


@then('"{name}" has both turns')
def step_has_both(context, name):
    assert {"t1", "t2"} <= set(context.network.keepers[name].table.held)


@then('the first segment of "{name}" is gone')
def step_segment_gone(context, name):
    segments = context.network.keepers[name].journal.segments()
    assert 1 not in segments, segments


_RECORDS = [b"one", b"", b"x" * 300, b"last"]


@then("a journal cut at any byte gives back a prefix of its records")
def step_cut_anywhere(context):
    content = b"".join(map(frame, _RECORDS))
    ends = [0]
    for record in _RECORDS:
        ends.append(ends[-1] + len(frame(record)))
    for garbage in (b"", bytes(40), b"\xff" * 40):
        for at in range(len(content) + 1):
            found = list(read_frames(content[:at] + garbage))
            whole = sum(end <= at for end in ends[1:])
            assert found == _RECORDS[:whole], (at, garbage, found)


@then("so it does with each byte of its last record changed")
def step_change_each(context):
    content = b"".join(map(frame, _RECORDS))
    start = len(content) - len(frame(_RECORDS[-1]))
    for at in range(start, len(content)):
        changed = bytearray(content)
        changed[at] ^= 0x55
        found = list(read_frames(bytes(changed)))
        assert found == _RECORDS[:-1], (at, found)


@when(
    "{count:d} ask a peer that does not listen, one after the other giving up"
)
def step_ask_silent(context, count):
    async def ask_all():
        link = RequestLink("127.0.0.1:9", codec())
        asks = [
            asyncio.create_task(link.ask(Ping(), 0.05 + number / 100))
            for number in range(count)
        ]
        done = await asyncio.gather(*asks, return_exceptions=True)
        link.close()
        return done

    context.replies = asyncio.run(ask_all())


@then("each learns that there is no reply")
def step_no_reply(context):
    assert context.replies and set(context.replies) == {None}, context.replies
