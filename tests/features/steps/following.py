"""Steps about what storage instances fetch of each other."""

from unittest import mock

from behave import then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import Reserve, Reserved, following, journal
from rattanmill_keeper.following import Follower
from rattanmill_keeper.messages import KeptTurn, Open, Opened
from support.keepers import run_in as network

_BUDGET = 1_000_000
_RETENTION_SECONDS = 60.0
_TOKENS = 10
_FETCHES = ("Follow", "FetchAccounts")
_MOST_PAGES = 10
_DOMAINS = 3


async def follow_all(context, n):
    """Lets all take in what is new at the others, once."""
    if "following" not in context:
        context.following = {
            name: Follower(keeper, n.members[name])
            for name, keeper in n.keepers.items()
        }
    for name, follower in context.following.items():
        follower.update_domain_peers()
        for member in list(n.members[name].known.values()):
            pages = 0
            while member.name != name and pages < _MOST_PAGES:
                pages += 1
                if not await follower.fetch_page(member):
                    break


async def reserve(context, n):
    """Reserves one turn more, through a front that knows the account."""
    if "front" not in context:
        context.front = n.front(context.near[0])
        context.attempts = 0
    context.attempts += 1
    ask = Reserve("p", f"turn-{context.attempts}", _TOKENS, _BUDGET)
    reply = await context.front.budgets.reserve(ask)
    assert isinstance(reply, Reserved), reply
    # The replies of the other holders.
    await n.pass_time(0.01)


def fetched(n):
    return sum(n.replied[kind] for kind in _FETCHES)


@when(
    "a program reserves {count:d} turns, and all follow each other after each"
)
@when("it reserves {count:d} turns more, and all follow each other after each")
def step_reserve(context, count):
    async def go_on(n):
        for _ in range(count):
            await reserve(context, n)
            before = fetched(n)
            await follow_all(context, n)
            taken = fetched(n)
            await follow_all(context, n)
            # Less what they fetch when nothing is new.
            context.fetched = (taken - before) - (fetched(n) - taken)

    network(context, go_on)


@then("its last turn made them fetch no more than {most:d} bytes")
def step_fetched(context, most):
    assert context.fetched <= most, context.fetched


@when(
    "{count:d} turns of a conversation are kept, and all follow each other"
    " after each"
)
def step_keep(context, count):
    context.rank = context.scenario_stack.enter_context(
        mock.patch.object(following, "rank", wraps=following.rank)
    )
    # Of this scenario's own, as names come again in others.
    chain = f"chain-{wall_seconds()}"

    async def go_on(n):
        front = n.front(context.near[0])
        for number in range(count):
            previous = f"t{number - 1}" if number else ""
            expires = wall_seconds() + _RETENTION_SECONDS
            kept = KeptTurn(f"t{number}", previous, b"text", expires, chain)
            assert (await front.turns.keep(kept)).is_replicated
            await n.pass_time(0.01)
            await follow_all(context, n)

    network(context, go_on)


@then("who is to hold it was worked out once for each failure domain")
def step_worked_out(context):
    assert context.rank.call_count == _DOMAINS, context.rank.call_count


@when("{count:d} programs have begun, and the disk of one instance is lost")
def step_lose(context, count):
    opener, _, lost = context.network.names
    context.programs = {f"p{number}" for number in range(count)}

    async def lose(n):
        for program in context.programs:
            opened = await n.keepers[opener].open(
                Open(program, _BUDGET, _TOKENS)
            )
            assert isinstance(opened, Opened), opened
        await n.wipe(lost)
        await n.start(lost)

    network(context, lose)


@when("it has followed the others")
def step_followed(context):
    lost = context.network.names[-1]
    context.sync = context.scenario_stack.enter_context(
        mock.patch.object(journal, "_sync", wraps=journal._sync)
    )
    network(context, lambda n: n.follow(lost))


@then(
    "it knows where all accounts are, and has written no more than {most:d}"
    " times"
)
def step_written(context, most):
    ledger = context.network.keepers[context.network.names[-1]].ledger
    assert ledger.accounts.keys() | ledger.homes.keys() == context.programs
    assert context.sync.call_count <= most, context.sync.call_count


def holders(context):
    return context.front.budgets.holders_of("p")


@when("a holder is cut off while it reserves {count:d} turns more")
def step_cut(context, count):
    async def go_on(n):
        away = holders(context)[-1]
        others = [name for name in n.names if name != away]
        n.cuts |= {frozenset((away, other)) for other in others}
        for _ in range(count):
            await reserve(context, n)

    network(context, go_on)


@when("all reach each other and follow each other")
def step_reach(context):
    context.network.cuts.clear()
    context.network.lose_kind = ""
    network(context, lambda n: follow_all(context, n))


@when(
    "all reach each other, but accounts are not handed over, and follow each"
    " other"
)
def step_reach_in_part(context):
    context.network.cuts.clear()
    context.network.lose_kind = "FetchAccounts"
    network(context, lambda n: follow_all(context, n))


@then("all holders know the same uses")
def step_same_uses(context):
    known = [
        context.network.keepers[name].ledger.accounts["p"].uses
        for name in holders(context)
    ]
    assert len(known[0]) == context.attempts, known[0]
    assert all(uses == known[0] for uses in known), known


@when("one holder knows of {tokens:d} tokens that were given back")
def step_given(context, tokens):
    name = holders(context)[0]
    context.network.keepers[name].ledger.accounts["p"].given = tokens


@when("the program has another turn, and all follow each other")
def step_another(context):
    async def go_on(n):
        await reserve(context, n)
        await follow_all(context, n)

    network(context, go_on)


@then("all holders know of the {tokens:d} tokens")
def step_know_given(context, tokens):
    known = [
        context.network.keepers[name].ledger.accounts["p"].given
        for name in holders(context)
    ]
    assert known == [tokens] * len(known), known
