"""Steps that test the bound of budgets, and that the test detects a breach."""

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
from support.stories import (
    BUDGET,
    MAX_TOKENS,
    OPERATIONS,
    TOKENS,
    run_operations,
)
from support.virtual import run_virtually

_RESERVE_ALONE = Ledger.reserve_alone


_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


@then(
    "no sequence of partitions, kills, lost disks and lost replies lets a"
    " program use more than its budget and one turn"
)
def step_any_story(context):
    @hypothesis.given(OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = run_virtually(run_operations(operations))
        assert all(tokens <= MAX_TOKENS for tokens in used.values()), used

    hold()


async def _open_alone(program, holders, ledger, members):
    return Consent()


async def _use_both_sides(network, programs):
    """Returns tokens by program when turns reach both sides of a partition."""
    for pair in itertools.product("ab", "cd"):
        network.cuts.add(frozenset(pair))
    used = dict.fromkeys(programs, 0)
    for program, name, number in itertools.product(programs, "ad", range(6)):
        request = Reserve(program, f"{program}-{name}-{number}", TOKENS, BUDGET)
        if isinstance(await network.reserve(name, request), Reserved):
            used[program] += TOKENS
    return used


@when(
    '"a, b" are partitioned from "c, d" and turns of {count:d} programs reach'
    " both sides"
)
def step_split(context, count):
    programs = [f"asked-{number}" for number in range(count)]
    context.used = network(context, lambda n: _use_both_sides(n, programs))


@when("the same is run with accounts that are opened without consent")
def step_naive(context):
    for keeper in context.network.keepers.values():
        keeper.may_open = _open_alone
    programs = [f"naive-{number}" for number in range(20)]
    context.used = network(context, lambda n: _use_both_sides(n, programs))


@then("no program has used more than its budget and one turn")
def step_none_over(context):
    assert all(tokens <= MAX_TOKENS for tokens in context.used.values()), (
        context.used
    )


@then("a program has used more than its budget and one turn")
def step_one_over(context):
    assert max(context.used.values()) > MAX_TOKENS, context.used


def _skip_recovery(network):
    """Makes instances count as recovered before they follow the others."""
    start = network.start

    async def start_recovered(name, first=False):
        await start(name, True)

    network.start = start_recovered


def _need_one_holder(network):
    """Makes one holder count as a majority."""
    network.stack.enter_context(
        unittest.mock.patch.object(permits, "majority", lambda holders: 1)
    )
    network.stack.enter_context(
        unittest.mock.patch.object(accounts, "majority", lambda holders: 1)
    )


class Mutation(msgspec.Struct, frozen=True):
    """A rule that is broken on purpose.

    Attributes:
        operations: Sequence of operations in which it matters.
        prepare: Breaks the rule.
    """

    operations: list[tuple]
    prepare: Callable


_MUTATIONS = {
    "one holder counts as a majority": Mutation(
        [
            *[("reserve", "a"), ("isolate", "a")],
            *[("reserve", "a")] * 4,
            *[("reserve", "b")] * 4,
        ],
        _need_one_holder,
    ),
    "an instance counts as recovered before it followed the others": Mutation(
        [
            ("isolate", "c"),
            *[("reserve", "a")] * 4,
            *[("heal", "c"), ("wipe", "a"), ("isolate", "b")],
            *[("reserve", "c")] * 4,
        ],
        _skip_recovery,
    ),
}


@when(
    'a sequence of faults that exposes the mutation "{mutation}" is run without'
    " it"
)
def step_sound(context, mutation):
    context.mutation = _MUTATIONS[mutation]
    context.used = run_virtually(run_operations(context.mutation.operations))


@when("it is run with the mutation")
def step_mutated(context):
    mutation = context.mutation
    context.used = run_virtually(
        run_operations(mutation.operations, mutation.prepare)
    )


# The opening instance grants its share and loses its disk. Then no instance
# knows what it granted.
_SHARE_LOST = [
    *[("reserve", "a"), ("isolate", "a"), ("reserve", "a"), ("reserve", "a")],
    *[("heal", "a"), ("wipe", "a"), ("follow", "a"), ("isolate", "a")],
    *[("reserve", "a"), ("heal", "a"), ("wipe", "a"), ("follow", "a")],
    *[
        ("isolate", "a"),
        ("reserve", "a"),
        ("reserve", "b"),
        ("reserve", "b"),
        ("heal", "a"),
    ],
]


def _open_share_again(network):
    """Lets an opening instance that lost its disk open a share again."""

    def reserve_alone(ledger, request, may_open_share):
        ledger.shares.setdefault(request.program, Share())
        return _RESERVE_ALONE(ledger, request, may_open_share)

    network.stack.enter_context(
        unittest.mock.patch.object(Ledger, "reserve_alone", reserve_alone)
    )


@when("an opening instance has granted its share and lost its disk")
def step_alone_twice(context):
    context.used = run_virtually(run_operations(_SHARE_LOST))


@when(
    "an opening instance has granted its share and lost its disk, and opens a"
    " new share"
)
def step_alone_anew(context):
    context.used = run_virtually(run_operations(_SHARE_LOST, _open_share_again))


@then("the program uses more than its budget and one turn")
def step_over(context):
    assert context.used["p"] > MAX_TOKENS, context.used


@then("the program uses no more than its budget and one turn")
def step_not_over(context):
    assert TOKENS < context.used["p"] <= MAX_TOKENS, context.used
