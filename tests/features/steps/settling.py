"""Steps about settling turns along with the next turn."""

import asyncio
import collections

from behave import then, when
from steps.keeping import network

from rattanmill_keeper import Reserve, Reserved
from rattanmill_keeper.messages import Full, Settle
from support.stories import BUDGET

_TOKENS = 20
_USED = 5


def _count_messages(front, counts):
    """Counts the reservations and settlements that a front end sends."""
    ask = front.reach.ask

    async def counting(member, message, *rest):
        if isinstance(message, Reserve | Settle):
            counts[member.name] += 1
        return await ask(member, message, *rest)

    front.reach.ask = counting


async def _run_turn(front, number):
    request = Reserve("row", f"turn-{number}", _TOKENS, BUDGET)
    reply = await front.budgets.reserve(request)
    assert isinstance(reply, Reserved), reply
    await asyncio.sleep(0.02)
    front.budgets.settle_later("row", request.attempt, _USED)


@when("a program runs {turns:d} turns in a row through one front end")
def step_row(context, turns):
    context.turns = turns
    context.counts = collections.Counter()

    async def run(n):
        context.front = n.front("a")
        _count_messages(context.front, context.counts)
        for number in range(turns):
            await _run_turn(context.front, number)

    network(context, run)


@when(
    'a program runs 2 turns in a row while "{name}" is unreachable for the'
    " second"
)
def step_unreachable(context, name):
    context.turns = 2

    async def run(n):
        context.front = n.front("a")
        await _run_turn(context.front, 0)
        cut = frozenset(("a", name))
        n.cuts.add(cut)
        await _run_turn(context.front, 1)
        await asyncio.sleep(0.3)
        n.cuts.discard(cut)

    network(context, run)


@when(
    "a program's turn that reports the end of the last one finds too little"
    " budget"
)
def step_refused(context):
    context.turns = 1

    async def run(n):
        front = n.front("a")
        first = Reserve("row", "turn-0", _TOKENS, BUDGET)
        assert isinstance(await front.budgets.reserve(first), Reserved)
        following = Reserve(
            "row",
            "turn-1",
            BUDGET,
            BUDGET,
            front.budgets.opened["row"].place,
            ended={"turn-0": _USED},
        )
        for keeper in n.keepers.values():
            assert await keeper.serve(following) == Full(settled=1)

    network(context, run)


@then("each holder was sent one message for each turn but the last")
def step_counted(context):
    assert set(context.counts.values()) == {context.turns}, context.counts


@then("all holders know the use of each ended turn within {seconds:d} second")
@then("all holders know the use of each ended turn within {seconds:d} seconds")
def step_known(context, seconds):
    async def wait(n):
        deadline = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < deadline:
            held = [k.ledger.accounts["row"] for k in n.keepers.values()]
            if all(a.taken == a.settled == context.turns * _USED for a in held):
                return
            await asyncio.sleep(0.05)
        raise AssertionError(held)

    network(context, wait)
