"""Steps about storage instances that conclude from a partial view."""

import asyncio
import concurrent.futures
import itertools

from behave import then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import (
    KeptTurn,
    NoSuchTurn,
    Reserve,
    Reserved,
    Spent,
    Unsure,
)
from rattanmill_keeper.emptying import Decommission, DecommissionKeys
from rattanmill_keeper.members import PREFIX
from rattanmill_keeper.messages import (
    Agree,
    Agreed,
    Keep,
    Merge,
    Recorded,
    Show,
)
from support.keepers import InlineExecutor
from support.keepers import run_in as network

# Three of five turns are within what one instance may grant alone twice.
_BUDGET = 180
_TOKENS = 36
# Callers allow a program its budget and the most of one turn.
_MOST = _BUDGET + _TOKENS
_TRIES = 6


class Program:
    """A program and what it may have used.

    Attributes:
        attempts: Turns that asked.
        used: Tokens of permissions that were given, or what was booked.
    """

    def __init__(self):
        self.attempts = []
        self.used = 0

    async def ask(self, n, name):
        """Asks for a turn through a new front beside a storage instance."""
        attempt = f"turn-{len(self.attempts)}"
        reply = await n.reserve(name, Reserve("p", attempt, _TOKENS, _BUDGET))
        self.attempts.append(attempt)
        self.used += _TOKENS * isinstance(reply, Reserved)
        return reply


def run_turns(context, name, count):
    """Lets a program's turns begin; each must get its permission."""

    async def run(n):
        for _ in range(count):
            reply = await context.program.ask(n, name)
            assert isinstance(reply, Reserved), reply

    network(context, run)


@when('a turn of a new program runs at "{name}"')
def step_begin(context, name):
    context.program = Program()
    run_turns(context, name, 1)


@when(
    '{count:d} turns of a new program run at "{name}" while "{away}" is killed'
)
def step_begin_without(context, count, name, away):
    context.program = Program()
    step_missed_for_good(context, count, name, away)


@when('{count:d} further turns run at "{name}" while "{away}" is killed')
def step_missed(context, count, name, away):
    network(context, lambda n: n.kill(away))
    run_turns(context, name, count)

    async def start(n):
        await n.start(away)
        await n.follow(away)

    network(context, start)


@when(
    '{count:d} further turns run at "{name}" while "{away}" is killed and'
    " does not follow them"
)
def step_missed_for_good(context, count, name, away):
    network(context, lambda n: n.kill(away))
    run_turns(context, name, count)
    network(context, lambda n: n.start(away))


@when(
    'a turn is kept at "{names}" while "{away}" is killed and does not follow'
    " them"
)
def step_keep(context, names, away):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(n):
        await n.kill(away)
        for name in names.split(", "):
            await n.keepers[name].serve(Keep(kept))
        await n.start(away)

    network(context, keep)


@when(
    '"{name}" is cut off from "{others}", and its registration has lapsed for'
    " long"
)
def step_cut(context, name, others):
    async def cut(n):
        n.cuts |= {frozenset((name, other)) for other in others.split(", ")}
        n.lapse(name)
        await n.follow(name)

    network(context, cut)


@when('"{name}" loses its disk and starts where "{other}" is not listed')
def step_lose(context, name, other):
    async def lose(n):
        await n.wipe(name)
        await n.start(name)
        members = n.members[name]
        members.known.pop(other, None)
        members.last_seen.pop(other, None)

    network(context, lose)


@when('"{name}" has followed those that are listed')
def step_follow(context, name):
    network(context, lambda n: n.follow(name))


@then('"{name}" is not whole')
def step_not_whole(context, name):
    assert not context.network.keepers[name].is_recovered


@when("all reach each other and are listed")
def step_heal(context):
    async def heal(n):
        n.cuts.clear()
        for name in n.names:
            if not n.members[name].known[name].leaving:
                n.list_again(name)
        # Longer than a front waits before it tells of a turn's end again.
        await n.pass_time(1.0)

    network(context, heal)


@when('"{name}" is listed again while it is cut off')
def step_listed_again(context, name):
    async def again(n):
        n.list_again(name)

    network(context, again)


@then('the program\'s turns at "{names}" stay within its budget and one turn')
def step_within(context, names):
    async def ask(n):
        for _ in range(_TRIES):
            for name in names.split(", "):
                await context.program.ask(n, name)

    network(context, ask)
    assert context.program.used <= _MOST, context.program.used


@when('turns of a new program use up its budget at "{name}"')
def step_use_up(context, name):
    context.program = Program()
    run_turns(context, name, _BUDGET // _TOKENS)


@then('a front that starts beside "{name}" does not deny the turn')
def step_not_denied(context, name):
    found = network(context, lambda n: n.front(name).turns.find("t", ""))
    assert not isinstance(found, NoSuchTurn), found


@when(
    'a program that began at "{first}" has {count:d} turns running at "{name}"'
)
def step_running(context, first, count, name):
    step_begin(context, first)
    run_turns(context, name, count)


async def settle(context, n, attempts, tokens):
    """Books what some of a program's turns have used."""
    for attempt in attempts:
        n.settle("p", attempt, tokens)
        context.program.used -= _TOKENS - tokens
    await n.pass_time(0.1)


@when(
    '"{name}" is cut off from "{others}", and the turns end there with little'
    " used"
)
def step_end_cut(context, name, others):
    async def end(n):
        n.cuts |= {frozenset((name, other)) for other in others.split(", ")}
        await settle(context, n, context.program.attempts[1:], 1)

    network(context, end)


@when('the turns end with all used, and "{name}" is cut off from "{others}"')
def step_end(context, name, others):
    async def end(n):
        await settle(context, n, context.program.attempts, _TOKENS)
        n.cuts |= {frozenset((name, other)) for other in others.split(", ")}

    network(context, end)


@then('its next turn is refused as not certain at "{name}"')
def step_unsure(context, name):
    reply = network(context, lambda n: context.program.ask(n, name))
    assert isinstance(reply, Unsure), reply


@then('its next turn is refused as spent at "{name}"')
def step_spent(context, name):
    reply = network(context, lambda n: context.program.ask(n, name))
    assert isinstance(reply, Spent), reply


@then('its next turn gets a permission at "{name}"')
def step_permitted(context, name):
    reply = network(context, lambda n: context.program.ask(n, name))
    assert isinstance(reply, Reserved), reply


class HeldExecutor(concurrent.futures.Executor):
    """Does nothing until it is let go."""

    def __init__(self):
        self.waiting = []

    def submit(self, work, /, *args):
        """Notes a function for later."""
        future = concurrent.futures.Future()
        self.waiting.append((future, work, args))
        return future

    def let_go(self):
        """Does what was noted."""
        for future, work, args in self.waiting:
            future.set_result(work(*args))


@when('the disk of "{name}" is held up')
def step_hold(context, name):
    context.held = HeldExecutor()
    context.network.keepers[name].journal.executor = context.held


@when('the disk of "{name}" goes on')
def step_go_on(context, name):
    async def go_on(n):
        n.keepers[name].journal.executor = InlineExecutor()
        context.held.let_go()
        await n.pass_time(0.05)

    network(context, go_on)


def ask_twice(context, name, message, first=None):
    """Asks twice, or first for something else, without waiting."""

    async def ask(n):
        keeper = n.keepers[name]
        context.asks = []
        for each in (first or message, message):
            context.asks.append(asyncio.create_task(keeper.serve(each)))
            await n.pass_time(0.02)

    network(context, ask)


def further(context, name):
    """Returns the question for a further turn of the program."""
    account = context.network.keepers[name].ledger.accounts["p"]
    return Reserve("p", "further", _TOKENS, _BUDGET, account.place)


@when('"{name}" is asked twice for a further turn')
def step_ask_turn(context, name):
    ask_twice(context, name, further(context, name))


@when('"{name}" is asked twice for a turn of which another holder has told it')
def step_ask_told(context, name):
    message = further(context, name)

    async def show(n):
        assert isinstance(await n.keepers["a"].serve(message), Recorded)
        return (await n.keepers["a"].serve(Show("p"))).account

    told = Merge([network(context, show)])
    ask_twice(context, name, message, told)


@when('"{name}" is asked twice for its consent to where another account is')
def step_ask_consent(context, name):
    names = tuple(context.network.names)
    ask_twice(context, name, Agree("other", "a", names, list(names)))


@then("neither was answered")
def step_none(context):
    assert not any(ask.done() for ask in context.asks), context.asks


@then("both were answered")
def step_both(context):
    replies = [ask.result() for ask in context.asks]
    assert isinstance(replies[1], Recorded | Agreed), replies


class ListedRegistration:
    """Registers an instance in a network's lists."""

    def __init__(self, network, name):
        self.network = network
        self.member = network.members[name].known[name]

    def update(self, member):
        """Shows the instance to all as it is now."""
        self.member = member
        for members in self.network.members.values():
            if member.name in members.known:
                members.known[member.name] = member

    async def end(self):
        """Takes it off all lists."""
        for members in self.network.members.values():
            members._drop(self.member.name)


_ORDERS = DecommissionKeys("orders/", "status/", b"running", b"completed")


async def empty(context, n, name):
    """Lets an instance empty itself, and the others follow it."""
    emptying = Decommission(
        n.keepers[name],
        n.members[name],
        ListedRegistration(n, name),
        n.kv,
        _ORDERS,
    )
    emptying.requested.set()
    work = asyncio.create_task(emptying._run())
    context.scenario_stack.callback(work.cancel)


async def says_completed(n, name, seconds):
    """Whether it says so in time, while the others follow all."""
    for _ in range(round(seconds / 0.2)):
        found = n.kv.items.get(f"status/{name}", (b"", 0))
        if found[0] == _ORDERS.completed:
            return True
        for other in list(n.keepers):
            await n.follow(other)
        await n.pass_time(0.2)
    return False


@when('"{name}" is ordered to be emptied')
def step_order(context, name):
    network(context, lambda n: empty(context, n, name))


@then('{seconds:d} seconds later "{name}" does not say that it is emptied')
def step_not_emptied(context, seconds, name):
    assert not network(context, lambda n: says_completed(n, name, seconds))


@then('"{name}" says that it is emptied')
def step_emptied(context, name):
    assert network(context, lambda n: says_completed(n, name, 5.0))


@when('a turn is kept at "{names}"')
def step_keep_there(context, names):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(n):
        for name in names.split(", "):
            await n.keepers[name].serve(Keep(kept))

    network(context, keep)


@when('{count:d} further turns run at "{name}"')
def step_further(context, count, name):
    run_turns(context, name, count)


@then('"{names}" have the turn and the {count:d} permissions')
def step_have(context, names, count):
    for name in names.split(", "):
        keeper = context.network.keepers[name]
        assert "t" in keeper.table.held, name
        uses = keeper.ledger.accounts["p"].uses
        assert len(uses) == count, (name, uses)


@when('"{name}" is ordered to be emptied, and the store is too slow to be told')
def step_order_slow(context, name):
    """Ends when all was handed over and only the word of it is missing."""

    async def order(n):
        said = asyncio.Event()
        write = n.kv.write

        async def write_slowly(key, value, *how):
            if value == _ORDERS.completed:
                said.set()
                await asyncio.Event().wait()
            return await write(key, value, *how)

        n.kv.write = write_slowly
        context.front = n.front("b")
        await empty(context, n, name)
        following = asyncio.create_task(says_completed(n, name, 10.0))
        await asyncio.wait_for(said.wait(), 10.0)
        following.cancel()

    network(context, order)


@when('{count:d} further turns ask at "{name}" while "{away}" is killed')
def step_ask_without(context, count, name, away):
    async def ask(n):
        await n.kill(away)
        for _ in range(count):
            await context.program.ask(n, name)
        await n.start(away)

    network(context, ask)


@when('"{name}" is taken away')
def step_take_away(context, name):
    async def take(n):
        await n.wipe(name)
        n.names.remove(name)
        for members in n.members.values():
            members._drop(name)

    network(context, take)


@then(
    'a front with the list of before does not count a turn as kept at "{name}"'
)
def step_not_kept(context, name):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(n):
        others = [other for other in n.keepers if other not in (name, "b")]
        for other in others:
            await n.kill(other)
        return await context.front.turns.keep(kept)

    domains = network(context, keep).domains
    assert f"domain-{name}" not in domains, domains


@when('the store takes the registrations of "{names}" away')
def step_revoke(context, names):
    """All of them run, and reach each other; none reaches the store."""

    async def revoke(n):
        for members in n.members.values():
            for name in names.split(", "):
                # A watch that is turned away goes on with what it has heard.
                if members.name not in names.split(", "):
                    members._on_removed(PREFIX + name)

    network(context, revoke)


@then('a front beside "{name}" keeps a turn in {count:d} failure domains')
def step_kept_in(context, name, count):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)
    found = network(context, lambda n: n.front(name).turns.keep(kept))
    assert len(found.domains) >= count, found


@then('its next {count:d} turns get permissions at "{name}"')
def step_all_permitted(context, count, name):
    run_turns(context, name, count)


@when(
    'turns of {count:d} programs that began at "{first}" ask at "{name}" again'
    " and again"
)
def step_go_on(context, count, first, name):
    numbers = itertools.count()

    def ask(program):
        attempt = f"{program}-{next(numbers)}"
        return Reserve(program, attempt, 1, 1_000_000)

    async def go_on(n):
        fronts = {}
        for number in range(count):
            program = f"busy-{number}"
            fronts[program] = n.front(first)
            reply = await fronts[program].budgets.reserve(ask(program))
            assert isinstance(reply, Reserved), reply

        async def ask_for_ever():
            while True:
                for program, front in fronts.items():
                    await front.budgets.reserve(ask(program))
                    await asyncio.sleep(0.001)

        work = asyncio.create_task(ask_for_ever())
        context.scenario_stack.callback(work.cancel)

    network(context, go_on)
