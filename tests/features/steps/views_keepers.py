"""Steps about storage instances with a stale or partial view."""

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
from rattanmill_keeper.emptying import Decommission
from rattanmill_keeper.members import MEMBERS_PREFIX
from rattanmill_keeper.messages import (
    Agree,
    Agreed,
    Keep,
    Merge,
    Recorded,
    Show,
)
from support.keepers import FORGOTTEN_SECONDS, InlineExecutor, run_in
from support.orders import KEYS, ListedRegistration

# Three of five turns are within twice the share that one instance may grant.
_BUDGET = 180
_TOKENS = 36
# Callers allow a program its budget and the maximum of one turn.
_MAX_USED = _BUDGET + _TOKENS
_TRIES = 6


class Program:
    """A program and what it may have used.

    Attributes:
        attempts: Turns that requested a reservation.
        used: Tokens of granted reservations, or as settled.
    """

    def __init__(self):
        self.attempts = []
        self.used = 0

    async def ask(self, network, name):
        """Requests a turn through a new front end beside a storage instance."""
        attempt = f"turn-{len(self.attempts)}"
        reply = await network.reserve(
            name, Reserve("p", attempt, _TOKENS, _BUDGET)
        )
        self.attempts.append(attempt)
        self.used += _TOKENS * isinstance(reply, Reserved)
        return reply


def run_turns(context, name, count):
    """Starts turns of a program; each must get its reservation."""

    async def run(network):
        for _ in range(count):
            reply = await context.program.ask(network, name)
            assert isinstance(reply, Reserved), reply

    run_in(context, run)


@when('a turn of a new program runs at "{name}"')
def step_begin(context, name):
    context.program = Program()
    run_turns(context, name, 1)


@when(
    '{count:d} turns of a new program run at "{name}" while "{killed}" is'
    " killed"
)
def step_begin_without(context, count, name, killed):
    context.program = Program()
    step_missed_unfollowed(context, count, name, killed)


@when('{count:d} further turns run at "{name}" while "{killed}" is killed')
def step_missed(context, count, name, killed):
    run_in(context, lambda network: network.kill(killed))
    run_turns(context, name, count)

    async def start(network):
        await network.start(killed)
        await network.follow(killed)

    run_in(context, start)


@when(
    '{count:d} further turns run at "{name}" while "{killed}" is killed and'
    " does not follow them"
)
def step_missed_unfollowed(context, count, name, killed):
    run_in(context, lambda network: network.kill(killed))
    run_turns(context, name, count)
    run_in(context, lambda network: network.start(killed))


@when(
    'a turn is kept at "{names}" while "{killed}" is killed and does not follow'
    " them"
)
def step_keep(context, names, killed):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(network):
        await network.kill(killed)
        for name in names.split(", "):
            await network.keepers[name].serve(Keep(kept))
        await network.start(killed)

    run_in(context, keep)


def _partition(context, name, others, lapse):
    async def partition(network):
        network.cuts |= {
            frozenset((name, other)) for other in others.split(", ")
        }
        lapse(network)
        await network.follow(name)

    run_in(context, partition)


@when(
    '"{name}" is partitioned from "{others}", and its registration expired'
    " long ago"
)
def step_partition(context, name, others):
    _partition(context, name, others, lambda n: n.lapse(name))


@when(
    '"{name}" is partitioned from "{others}", and its registration expired'
    " minutes ago"
)
def step_partition_for_minutes(context, name, others):
    _partition(
        context, name, others, lambda n: n.lapse(name, FORGOTTEN_SECONDS)
    )


@when('"{name}" loses its disk and restarts')
def step_lose_disk(context, name):
    async def lose(network):
        await network.wipe(name)
        await network.start(name)

    run_in(context, lose)


@when('the registration of "{name}" expires {moment}')
def step_expire(context, name, moment):
    async def expire(network):
        network.lapse(name, 0.0)
        network.names.remove(name)

    if moment == "now":
        run_in(context, expire)


@when('"{name}" loses its disk and starts where "{other}" is not listed')
def step_lose(context, name, other):
    async def lose(network):
        await network.wipe(name)
        await network.start(name)
        members = network.members[name]
        members.known.pop(other, None)
        members.last_seen.pop(other, None)

    run_in(context, lose)


@when('"{name}" has followed the listed instances')
def step_follow(context, name):
    run_in(context, lambda network: network.follow(name))


@then('"{name}" has not recovered')
def step_not_recovered(context, name):
    assert not context.network.keepers[name].is_recovered


@when("all reach each other and are listed")
def step_heal(context):
    async def heal(network):
        network.cuts.clear()
        for name in network.names:
            if not network.members[name].known[name].leaving:
                network.list_again(name)
        # Longer than a front end waits before it reports a turn's end again.
        await network.pass_time(1.0)

    run_in(context, heal)


@when('"{name}" is listed again while it is partitioned')
def step_listed_again(context, name):
    async def again(network):
        network.list_again(name)

    run_in(context, again)


@then('the program\'s turns at "{names}" stay within its budget and one turn')
def step_within(context, names):
    async def ask(network):
        for _ in range(_TRIES):
            for name in names.split(", "):
                await context.program.ask(network, name)

    run_in(context, ask)
    assert context.program.used <= _MAX_USED, context.program.used


@when('turns of a new program use up its budget at "{name}"')
def step_use_up(context, name):
    context.program = Program()
    run_turns(context, name, _BUDGET // _TOKENS)


@then(
    'a front end that starts beside "{name}" does not report the turn as'
    " nonexistent"
)
def step_not_reported_nonexistent(context, name):
    found = run_in(
        context, lambda network: network.front(name).turns.find("t", "")
    )
    assert not isinstance(found, NoSuchTurn), found


@when(
    'a program that began at "{first}" has {count:d} turns running at "{name}"'
)
def step_running(context, first, count, name):
    step_begin(context, first)
    run_turns(context, name, count)


async def settle(context, network, attempts, tokens):
    """Settles some of a program's turns."""
    for attempt in attempts:
        network.settle("p", attempt, tokens)
        context.program.used -= _TOKENS - tokens
    await network.pass_time(0.1)


@when(
    '"{name}" is partitioned from "{others}", and the turns end there with'
    " little used"
)
def step_end_partitioned(context, name, others):
    async def end(network):
        network.cuts |= {
            frozenset((name, other)) for other in others.split(", ")
        }
        await settle(context, network, context.program.attempts[1:], 1)

    run_in(context, end)


@when(
    'the turns end with all used, and "{name}" is partitioned from "{others}"'
)
def step_end(context, name, others):
    async def end(network):
        await settle(context, network, context.program.attempts, _TOKENS)
        network.cuts |= {
            frozenset((name, other)) for other in others.split(", ")
        }

    run_in(context, end)


@then('its next turn is refused as unsure at "{name}"')
def step_unsure(context, name):
    reply = run_in(context, lambda network: context.program.ask(network, name))
    assert isinstance(reply, Unsure), reply


@then('its next turn is refused as spent at "{name}"')
def step_spent(context, name):
    reply = run_in(context, lambda network: context.program.ask(network, name))
    assert isinstance(reply, Spent), reply


@then('its next turn gets a reservation at "{name}"')
def step_reserved(context, name):
    reply = run_in(context, lambda network: context.program.ask(network, name))
    assert isinstance(reply, Reserved), reply


class BlockedExecutor(concurrent.futures.Executor):
    """Runs nothing until it is released."""

    def __init__(self):
        self.queue = []

    def submit(self, work, /, *args):
        """Queues a function."""
        future = concurrent.futures.Future()
        self.queue.append((future, work, args))
        return future

    def release(self):
        """Runs the queued functions."""
        for future, work, args in self.queue:
            future.set_result(work(*args))


@when('the disk of "{name}" is blocked')
def step_block_disk(context, name):
    context.blocked = BlockedExecutor()
    context.network.keepers[name].journal.executor = context.blocked


@when('the disk of "{name}" is unblocked')
def step_unblock_disk(context, name):
    async def go_on(network):
        network.keepers[name].journal.executor = InlineExecutor()
        context.blocked.release()
        await network.pass_time(0.05)

    run_in(context, go_on)


def ask_twice(context, name, message, first=None):
    """Sends two requests without waiting for the replies.

    The first one can be another request.
    """

    async def ask(network):
        keeper = network.keepers[name]
        context.requests = []
        for each in (first or message, message):
            context.requests.append(asyncio.create_task(keeper.serve(each)))
            await network.pass_time(0.02)

    run_in(context, ask)


def further(context, name):
    """Returns the request for a further turn of the program."""
    account = context.network.keepers[name].ledger.accounts["p"]
    return Reserve("p", "further", _TOKENS, _BUDGET, account.place)


@when('"{name}" gets two requests for a further turn')
def step_ask_turn(context, name):
    ask_twice(context, name, further(context, name))


@when(
    '"{name}" gets two requests for a turn which another holder has reported'
    " already"
)
def step_ask_reported(context, name):
    message = further(context, name)

    async def show(network):
        assert isinstance(await network.keepers["a"].serve(message), Recorded)
        return (await network.keepers["a"].serve(Show("p"))).account

    reported = Merge([run_in(context, show)])
    ask_twice(context, name, message, reported)


@when('"{name}" gets two requests for its consent to where another account is')
def step_ask_consent(context, name):
    names = tuple(context.network.names)
    ask_twice(context, name, Agree("other", "a", names, list(names)))


@then("neither was answered")
def step_none(context):
    assert not any(request.done() for request in context.requests), (
        context.requests
    )


@then("both were answered")
def step_both(context):
    replies = [request.result() for request in context.requests]
    assert isinstance(replies[1], Recorded | Agreed), replies


async def start_decommission(context, network, name):
    """Starts the decommissioning of an instance."""
    decommission = Decommission(
        network.keepers[name],
        network.members[name],
        ListedRegistration(network, name),
        network.kv,
        KEYS,
    )
    decommission.requested.set()
    work = asyncio.create_task(decommission._run())
    context.scenario_stack.callback(work.cancel)


async def reports_completed(network, name, seconds):
    """Whether it reports completion in time, while the others follow all."""
    for _ in range(round(seconds / 0.2)):
        found = network.kv.items.get(f"status/{name}", (b"", 0))
        if found[0] == KEYS.completed:
            return True
        for other in list(network.keepers):
            await network.follow(other)
        await network.pass_time(0.2)
    return False


@when('the decommissioning of "{name}" is requested')
def step_request(context, name):
    run_in(context, lambda network: start_decommission(context, network, name))


@then(
    '{seconds:d} seconds later "{name}" does not report that it is'
    " decommissioned"
)
def step_not_decommissioned(context, seconds, name):
    assert not run_in(
        context, lambda network: reports_completed(network, name, seconds)
    )


@then('"{name}" reports that it is decommissioned')
def step_decommissioned(context, name):
    assert run_in(
        context, lambda network: reports_completed(network, name, 5.0)
    )


@when('a turn is kept at "{names}"')
def step_keep_there(context, names):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(network):
        for name in names.split(", "):
            await network.keepers[name].serve(Keep(kept))

    run_in(context, keep)


@when('{count:d} further turns run at "{name}"')
def step_further(context, count, name):
    run_turns(context, name, count)


@then('"{names}" have the turn and the {count:d} reservations')
def step_have(context, names, count):
    for name in names.split(", "):
        keeper = context.network.keepers[name]
        assert "t" in keeper.table.held, name
        uses = keeper.ledger.accounts["p"].uses
        assert len(uses) == count, (name, uses)


@when(
    'the decommissioning of "{name}" is requested, and the store is too slow'
    " for its report"
)
def step_request_slow(context, name):
    """Ends when everything was transferred and only the report is pending."""

    async def request(network):
        reported = asyncio.Event()
        write = network.kv.write

        async def write_slowly(key, value, *how):
            if value == KEYS.completed:
                reported.set()
                await asyncio.Event().wait()
            return await write(key, value, *how)

        network.kv.write = write_slowly
        context.front = network.front("b")
        await start_decommission(context, network, name)
        following = asyncio.create_task(reports_completed(network, name, 10.0))
        await asyncio.wait_for(reported.wait(), 10.0)
        following.cancel()

    run_in(context, request)


@when(
    '{count:d} further turns are requested at "{name}" while "{killed}" is'
    " killed"
)
def step_ask_without(context, count, name, killed):
    async def ask(network):
        await network.kill(killed)
        for _ in range(count):
            await context.program.ask(network, name)
        await network.start(killed)

    run_in(context, ask)


@when('"{name}" is removed')
def step_remove(context, name):
    async def remove(network):
        await network.wipe(name)
        network.names.remove(name)
        for members in network.members.values():
            members._drop(name)

    run_in(context, remove)


@then('a front end with the old list does not count a turn as kept at "{name}"')
def step_not_kept(context, name):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)

    async def keep(network):
        others = [
            other for other in network.keepers if other not in (name, "b")
        ]
        for other in others:
            await network.kill(other)
        return await context.front.turns.keep(kept)

    domains = run_in(context, keep).domains
    assert f"domain-{name}" not in domains, domains


@when('the store removes the registrations of "{names}"')
def step_revoke(context, names):
    """All instances run and reach each other; these don't reach the store."""

    async def revoke(network):
        for members in network.members.values():
            for name in names.split(", "):
                # A rejected watch goes on with what it has received.
                if members.name not in names.split(", "):
                    members._on_removed(MEMBERS_PREFIX + name)

    run_in(context, revoke)


@then('a front end beside "{name}" keeps a turn in {count:d} failure domains')
def step_kept_in(context, name, count):
    kept = KeptTurn("t", "", b"text", wall_seconds() + 60.0)
    found = run_in(
        context, lambda network: network.front(name).turns.keep(kept)
    )
    assert len(found.domains) >= count, found


@then('its next {count:d} turns get reservations at "{name}"')
def step_all_reserved(context, count, name):
    run_turns(context, name, count)


@when(
    'turns of {count:d} programs that began at "{first}" are requested at'
    ' "{name}" continually'
)
def step_keep_requesting(context, count, first, name):
    numbers = itertools.count()

    def ask(program):
        attempt = f"{program}-{next(numbers)}"
        return Reserve(program, attempt, 1, 1_000_000)

    async def go_on(network):
        fronts = {}
        for number in range(count):
            program = f"busy-{number}"
            fronts[program] = network.front(first)
            reply = await fronts[program].budgets.reserve(ask(program))
            assert isinstance(reply, Reserved), reply

        async def ask_forever():
            while True:
                for program, front in fronts.items():
                    await front.budgets.reserve(ask(program))
                    await asyncio.sleep(0.001)

        work = asyncio.create_task(ask_forever())
        context.scenario_stack.callback(work.cancel)

    run_in(context, go_on)
