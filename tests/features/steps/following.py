"""Steps about replication between storage instances."""

import asyncio
from unittest import mock

from behave import then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import Reserve, Reserved, following, journal
from rattanmill_keeper.following import Follower
from rattanmill_keeper.messages import (
    Accounts,
    KeptTurn,
    Open,
    Opened,
    Turns,
)
from rattanmill_keeper.replicas import rank
from support.keepers import run_in

_BUDGET = 1_000_000
_RETENTION_SECONDS = 60.0
_TOKENS = 10
_FETCHES = ("Follow", "FetchAccounts")
_MAX_PAGES = 10
_DOMAINS = 3
_MB = 1024 * 1024


async def follow_all(context, network):
    """Makes each instance fetch the changes of all others once."""
    if "following" not in context:
        context.following = {
            name: Follower(keeper, network.members[name])
            for name, keeper in network.keepers.items()
        }
    for name, follower in context.following.items():
        follower.update_layout()
        for member in list(network.members[name].known.values()):
            pages = 0
            while member.name != name and pages < _MAX_PAGES:
                pages += 1
                if not await follower.fetch_page(member):
                    break


async def reserve(context, network):
    """Reserves another turn, through a front end that knows the account."""
    if "front" not in context:
        context.front = network.front(context.near[0])
        context.attempts = 0
    context.attempts += 1
    ask = Reserve("p", f"turn-{context.attempts}", _TOKENS, _BUDGET)
    reply = await context.front.budgets.reserve(ask)
    assert isinstance(reply, Reserved), reply
    # The replies of the other holders.
    await network.pass_time(0.01)


def fetched(network):
    return sum(network.replied[kind] for kind in _FETCHES)


@when(
    "a program reserves {count:d} turns, and all follow each other after each"
)
@when("it reserves {count:d} turns more, and all follow each other after each")
def step_reserve(context, count):
    async def go_on(network):
        for _ in range(count):
            await reserve(context, network)
            before = fetched(network)
            await follow_all(context, network)
            after = fetched(network)
            await follow_all(context, network)
            # Minus the bytes fetched when there are no changes.
            context.fetched = (after - before) - (fetched(network) - after)

    run_in(context, go_on)


@then("its last turn made them fetch no more than {limit:d} bytes")
def step_fetched(context, limit):
    assert context.fetched <= limit, context.fetched


@when(
    "{count:d} turns of a conversation are kept, and all follow each other"
    " after each"
)
def step_keep(context, count):
    context.rank = context.scenario_stack.enter_context(
        mock.patch.object(
            following, "choose_replicas", wraps=following.choose_replicas
        )
    )
    # Unique to this scenario, since others use the same names.
    chain = context.chain = f"chain-{wall_seconds()}"

    async def go_on(network):
        front = network.front(context.near[0])
        for number in range(count):
            previous = f"t{number - 1}" if number else ""
            expires = wall_seconds() + _RETENTION_SECONDS
            kept = KeptTurn(f"t{number}", previous, b"text", expires, chain)
            assert (await front.turns.keep(kept)).is_replicated
            await network.pass_time(0.01)
            await follow_all(context, network)

    run_in(context, go_on)


@when("{count:d} turns of {size:d} MB are kept, and all follow each other")
def step_keep_long(context, count, size):
    context.chain = f"chain-{wall_seconds()}"

    async def go_on(network):
        front = network.front(context.near[0])
        for number in range(count):
            previous = f"t{number - 1}" if number else ""
            expires = wall_seconds() + _RETENTION_SECONDS
            text = bytes(size * _MB)
            kept = KeptTurn(
                f"t{number}", previous, text, expires, context.chain
            )
            assert (await front.turns.keep(kept)).is_replicated
            await network.pass_time(0.01)
        await follow_all(context, network)

    run_in(context, go_on)


@when("it follows the others twice")
def step_follow_twice(context):
    context.sizes = []

    def record(reply):
        if isinstance(reply, Turns):
            context.sizes.append(sum(len(kept.text) for kept in reply.turns))
        return reply

    async def follow_twice(network):
        lost = network.names[-1]
        follower = Follower(network.keepers[lost], network.members[lost])
        context.following = {lost: follower}
        network.change_reply = record
        await follow_all(context, network)
        await follow_all(context, network)
        network.change_reply = lambda reply: reply

    run_in(context, follow_twice)


@then("no message had more than {size:d} MB of turns")
def step_message_sizes(context, size):
    assert any(context.sizes)
    assert max(context.sizes) <= size * _MB, context.sizes


@then("the holder was computed once for each failure domain")
def step_computed(context):
    assert context.rank.call_count == _DOMAINS, context.rank.call_count


@when("{count:d} programs have begun, and the disk of one instance is lost")
def step_lose_disk(context, count):
    opener, _, lost = context.network.names
    context.programs = {f"p{number}" for number in range(count)}

    async def lose_disk(network):
        for program in context.programs:
            opened = await network.keepers[opener].open(
                Open(program, _BUDGET, _TOKENS)
            )
            assert isinstance(opened, Opened), opened
        await network.wipe(lost)
        await network.start(lost)

    run_in(context, lose_disk)


@when("it has followed the others")
def step_followed(context):
    lost = context.network.names[-1]
    context.sync = context.scenario_stack.enter_context(
        mock.patch.object(journal, "_sync", wraps=journal._sync)
    )
    run_in(context, lambda network: network.follow(lost))


@then(
    "it knows the homes of all accounts, and has written no more than"
    " {limit:d} times"
)
def step_written(context, limit):
    ledger = context.network.keepers[context.network.names[-1]].ledger
    assert ledger.accounts.keys() | ledger.homes.keys() == context.programs
    assert context.sync.call_count <= limit, context.sync.call_count


def holders(context):
    return context.front.budgets.holders_of("p")


@when("a holder is partitioned while it reserves {count:d} turns more")
def step_partition(context, count):
    async def go_on(network):
        partitioned = holders(context)[-1]
        others = [name for name in network.names if name != partitioned]
        network.cuts |= {frozenset((partitioned, other)) for other in others}
        for _ in range(count):
            await reserve(context, network)

    run_in(context, go_on)


@when("all reach each other and follow each other")
def step_reach(context):
    context.network.cuts.clear()
    context.network.lose_kind = ""
    run_in(context, lambda network: follow_all(context, network))


@when(
    "all reach each other, but replies with accounts are lost, and follow"
    " each other"
)
def step_reach_in_part(context):
    context.network.cuts.clear()
    context.network.lose_kind = "FetchAccounts"
    run_in(context, lambda network: follow_all(context, network))


@then("all holders know the same uses")
def step_same_uses(context):
    known = [
        context.network.keepers[name].ledger.accounts["p"].uses
        for name in holders(context)
    ]
    assert len(known[0]) == context.attempts, known[0]
    assert all(uses == known[0] for uses in known), known


@when("one holder knows of {tokens:d} tokens that were given back")
def step_given_back(context, tokens):
    name = holders(context)[0]
    context.network.keepers[name].ledger.accounts["p"].given = tokens


@when("the program has another turn, and all follow each other")
def step_another(context):
    async def go_on(network):
        await reserve(context, network)
        await follow_all(context, network)

    run_in(context, go_on)


@then("all holders know of the {tokens:d} tokens")
def step_know_given(context, tokens):
    known = [
        context.network.keepers[name].ledger.accounts["p"].given
        for name in holders(context)
    ]
    assert known == [tokens] * len(known), known


def send_half_once(network):
    """Cuts the first reply of each kind to half of its entries."""
    kinds = {Turns, Accounts}

    def cut(reply):
        if type(reply) not in kinds:
            return reply
        kinds.remove(type(reply))
        match reply:
            case Turns(turns=turns):
                return Turns(turns[: len(turns) // 2])
            case Accounts(accounts=accounts):
                return Accounts(accounts[: len(accounts) // 2])

    network.change_reply = cut


@when(
    "it follows the others, and the first replies have half of what it asks for"
)
def step_follow_half(context):
    async def follow_half(network):
        lost = network.names[-1]
        follower = Follower(network.keepers[lost], network.members[lost])
        follower.update_layout()
        context.levels = {}
        for name in network.names[:-1]:
            send_half_once(network)
            member = network.members[lost].known[name]
            while await follower.fetch_page(member):
                pass
            context.levels[name] = follower.progress[name].has_caught_up
        network.change_reply = lambda reply: reply
        context.following = {lost: follower}

    run_in(context, follow_half)


@then("it has not followed any instance to the end")
def step_not_level(context):
    assert not any(context.levels.values()), context.levels


@when("it has followed the others again")
@when("all follow each other")
def step_follow(context):
    run_in(context, lambda network: follow_all(context, network))


@then("it has all turns and accounts that the others know")
def step_has_all(context):
    network = context.network
    found = network.keepers[network.names[-1]]
    assert found.table.held
    assert found.ledger.accounts
    for name in network.names[:-1]:
        other = network.keepers[name]
        assert found.table.held.keys() >= other.table.held.keys()
        assert found.ledger.accounts.keys() >= other.ledger.accounts.keys()


@when(
    "one that holds them is killed, which the next one notices while it asks"
    " for changes"
)
def step_kill_holder(context):
    async def kill(network):
        domain = network.domains[network.names[0]]
        peers = [n for n in network.names if network.domains[n] == domain]
        holder, context.next_holder, *_ = rank(context.chain, peers)
        await network.kill(holder)
        follower = context.following[context.next_holder]

        def notice(reply):
            network.failures[context.next_holder, holder] = 1
            follower.update_layout()
            return reply

        others = [
            member
            for member in follower.members.known.values()
            if network.domains[member.name] != domain
        ]
        for member in others:
            network.delays[context.next_holder, member.name] = 0.01
        network.change_reply = notice
        await asyncio.gather(*map(follower.fetch_page, others))
        network.change_reply = lambda reply: reply
        network.delays.clear()

    run_in(context, kill)


@then("the next one holds all {count:d} turns")
def step_holds_all(context, count):
    held = context.network.keepers[context.next_holder].table.held
    assert len(held) == count, sorted(held)
