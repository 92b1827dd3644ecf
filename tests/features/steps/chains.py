"""Steps about chains that are put together, run with seeds."""

import collections
import random

import msgspec
from behave import then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn, NoSuchTurn, Unsure
from rattanmill_keeper.journal import Location
from rattanmill_keeper.messages import Chain
from rattanmill_keeper.turns import TurnTable
from support.keepers import run_in

# Their texts stay in memory.
_NOWHERE = Location(1, 0, 0)
_MAX_TURNS = 6


class Outcome(msgspec.Struct):
    """How one chain was read.

    Attributes:
        turns: Its turns, newest first.
        found: What the front end found.
        is_reachable: Whether all turns are at instances that reply in full.
        is_held: Whether an instance holds the newest one.
    """

    turns: list[KeptTurn]
    found: list[KeptTurn] | NoSuchTurn | Unsure
    is_reachable: bool
    is_held: bool


def make_chain(name, count, start=""):
    """Returns the turns of a chain, newest first."""
    turns = []
    for number in range(count):
        turn = f"{name}-{number}"
        text = turn.encode()
        expires = wall_seconds() + 60.0
        turns.append(KeptTurn(turn, start, text, expires, "chain"))
        start = turn
    return turns[::-1]


def cut_chain(draw):
    """Returns a fault that leaves some turns out of chains."""

    def cut(reply):
        if not isinstance(reply, Chain):
            return reply
        kept = [turn for turn in reply.turns if draw.random() < 0.5]
        return Chain(kept, draw.choice(("", reply.missing)), reply.whole)

    return cut


def scatter(network, draw):
    """Puts a chain and one that branches off at instances.

    Returns:
        The chain, and the instances that hold each turn.
    """
    turns = make_chain("t", draw.randint(1, _MAX_TURNS))
    branch = make_chain("other", 2, draw.choice(turns).turn)
    for keeper in network.keepers.values():
        keeper.table = TurnTable(keeper.read_turn)
        keeper.is_recovered = draw.random() < 0.9
    chance = draw.choice((0.0, 0.3, 0.6))
    holders = {}
    for turn in [*turns, *branch]:
        names = [name for name in network.keepers if draw.random() < chance]
        holders[turn.turn] = set(names)
        for name in names:
            network.keepers[name].table.add(turn, _NOWHERE)
    return turns, holders


async def read(network, draw):
    """Reads a scattered chain through a new front end."""
    turns, holders = scatter(network, draw)
    near, *others = network.names
    down = set(draw.sample(others, draw.choice((0, 0, 1, 2))))
    network.cuts = {frozenset((near, name)) for name in down}
    is_cut = draw.random() < 0.3
    if is_cut:
        network.change_reply = cut_chain(draw)
    front = network.front(near)
    # The newest ones; it reads what comes behind them from the instances.
    cached = turns[: draw.choice((0, 0, 0, 1, 3))]
    for turn in cached:
        front.turns.cache.add(turn)
    found = await front.turns.find(turns[0].turn, draw.choice(("chain", "")))
    network.change_reply = lambda reply: reply
    network.cuts.clear()
    is_reachable = not is_cut and all(
        turn in cached or holders[turn.turn] - down for turn in turns
    )
    return Outcome(turns, found, is_reachable, bool(holders[turns[0].turn]))


@when("{count:d} times a chain is scattered over them and read")
def step_read(context, count):
    async def read_all(network):
        draw = random.Random(1)
        return [await read(network, draw) for _ in range(count)]

    context.outcomes = run_in(context, read_all)


@then("each chain came whole and in order, or was not given out")
def step_whole(context):
    for outcome in context.outcomes:
        if isinstance(outcome.found, list):
            assert outcome.found == outcome.turns, outcome


@then("each chain whose links were all at instances that reply came whole")
def step_reachable(context):
    for outcome in context.outcomes:
        if outcome.is_reachable:
            assert isinstance(outcome.found, list), outcome


@then("none was denied that an instance holds")
def step_not_denied(context):
    for outcome in context.outcomes:
        if isinstance(outcome.found, NoSuchTurn):
            assert not outcome.is_held, outcome


@then("each outcome came up {count:d} times or more")
def step_outcomes(context, count):
    counts = collections.Counter(type(o.found) for o in context.outcomes)
    for kind in (list, NoSuchTurn, Unsure):
        assert counts[kind] >= count, counts
