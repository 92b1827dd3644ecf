"""Steps that prove the bound of budgets, and that the proof would notice."""

import itertools
import unittest.mock
from collections.abc import Callable

import hypothesis
import msgspec
from behave import then, when

from rattanmill_keeper import (
    Reserve,
    Reserved,
    accounts,
    permits,
)
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.messages import Share
from support.keepers import run_in as network
from support.stories import BUDGET, MOST, OPERATIONS, TOKENS, play
from support.virtual import run_virtually

_RESERVE_ALONE = Ledger.reserve_alone


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


async def _open_alone(program, holders, ledger, members):
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

    def reserve_alone(ledger, ask, may_open_share):
        ledger.shares.setdefault(ask.program, Share())
        return _RESERVE_ALONE(ledger, ask, may_open_share)

    network.stack.enter_context(
        unittest.mock.patch.object(Ledger, "reserve_alone", reserve_alone)
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
