"""Steps about accounts and turns, run in this process."""

import asyncio
import shutil
import tempfile

import hypothesis
from behave import given, then, when

from rattanmill_core import Metrics, wall_seconds
from rattanmill_keeper import (
    KeeperClient,
    KeptTurn,
    Reserve,
    Reserved,
    Settle,
    Spent,
    Unsure,
)
from rattanmill_keeper.emptying import Emptying, EmptyingOrders
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.journal import frame, read_frames
from rattanmill_keeper.messages import Keep, Ping, codec
from rattanmill_wire import RequestLink
from support.keepers import LocalMembers, Network
from support.stories import BUDGET, OPERATIONS, TOKENS, play

_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


@then(
    "no sequence of cuts, kills, lost disks and lost replies lets a program"
    " use more than its budget"
)
def step_any_story(context):
    @hypothesis.given(OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = asyncio.run(play(operations))
        assert all(tokens <= BUDGET for tokens in used.values()), used

    hold()


async def _open_alone(program, ledger, members, kv):
    return Consent()


@given("storage instances that open accounts without asking")
def step_naive(context):
    def open_alone(network):
        for keeper in network.keepers.values():
            keeper.may_open = _open_alone

    context.prepare = open_alone


@when('"a" and "b" are cut off from each other and a turn reaches both')
def step_naive_story(context):
    operations = [("isolate", "a"), ("ask", "a"), ("ask", "b")]
    context.used = asyncio.run(play(operations, context.prepare))


@then("the program uses more than its budget")
def step_over(context):
    assert context.used["p"] > BUDGET, context.used


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
    assert isinstance(ask(context, name, "old", "one", 20), Reserved)
    assert isinstance(ask(context, name, "old", "two", 40), Reserved)


@when('a program has a turn running at "{name}", whose account moves to "{to}"')
def step_move(context, name, to):
    assert isinstance(ask(context, name, "moved", "one"), Reserved)

    async def move(n):
        emptying = Emptying(
            n.keepers[name],
            n.members[name],
            None,
            n.kv,
            EmptyingOrders("", "", b"", b""),
        )
        for other in n.names:
            if other != to:
                n.members[name].known.pop(other, None)
        assert await emptying.hand_over()
        for other in n.names:
            n.introduce(n.members[name], other)

    network(context, move)


@when(
    'the turn\'s use of {tokens:d} tokens is told to "{name}" and'
    " where it sends"
)
def step_settle(context, tokens, name):
    said = Settle("moved", "one", tokens)
    network(context, lambda n: n.reserve(name, said))


@then('the program gets a permission for all its budget at "{name}"')
def step_all_budget(context, name):
    network(context, lambda n: n.follow(name))
    reply = ask(context, name, "moved", "two", BUDGET)
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
            context.front.reserve(Reserve("left", "one", TOKENS, BUDGET))
        )
        for _ in range(10_000):
            if "left" in n.keepers["a"].ledger.accounts:
                break
            await asyncio.sleep(0)
        asking.cancel()
        await asyncio.wait([asking])
        assert asking.cancelled()

    network(context, leave)
    account = context.network.keepers["a"].ledger.accounts["left"]
    assert account.running, account


@then("the permission is taken back")
def step_taken_back(context):
    async def wait(n):
        await asyncio.wait(context.front.tasks)
        assert not n.keepers["a"].ledger.accounts["left"].running

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
    reply = ask(context, name, "old", "three")
    assert isinstance(reply, Unsure), reply


@then('the program is refused as spent at "{name}"')
def step_spent(context, name):
    reply = ask(context, name, "old", "three", 1)
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


@when('"{name}" keeps a turn alone')
def step_keep(context, name):
    keep(context, name, "t1")


@when('"{name}" has followed the others')
def step_follow(context, name):
    network(context, lambda n: n.follow(name))


@then('"{name}" has the turn')
def step_has(context, name):
    assert "t1" in context.network.keepers[name].table.held


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
