"""Steps about storage instances that are replaced by operators' order."""

import asyncio
import contextlib
import shutil
import tempfile
import unittest.mock
from collections.abc import Callable

import hypothesis
import msgspec
from behave import then, when
from steps.keeping import reserve_at, turns_granted
from steps.lookups import decommission

from rattanmill_keeper import Members, Reserve, Reserved, Unsure
from rattanmill_keeper.emptying import Decommission
from rattanmill_keeper.members import MEMBERS_PREFIX
from rattanmill_keeper.messages import Agree, Agreed
from support.keepers import FollowingNetwork, Network
from support.keepers import run_in as network
from support.orders import ORDER_OPERATIONS, OrderRunner
from support.stories import BUDGET, MAX_TOKENS, NAMES, TOKENS
from support.virtual import run_virtually

_SETTINGS = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
# Long enough to transfer some accounts; the store lists nobody meanwhile.
_ORDER_SECONDS = 1.0
_TRIES = BUDGET // TOKENS


async def _join(n: Network, new: str, old: str) -> None:
    n.domains[new] = n.domains.get(old, f"domain-{old}")
    n.names.append(new)
    await n.start(new)
    n.list_as(n.member(new))
    await n.follow(new)
    assert n.keepers[new].is_recovered, new


def _list_with_state(n: Network, name: str, **state: bool) -> None:
    n.list_as(msgspec.structs.replace(n.member(name), **state))


async def _order(n: Network, name: str) -> None:
    """Decommissions an instance, up to its report."""
    _list_with_state(n, name, leaving=True)
    await decommission(n, name)


async def _remove(n: Network, name: str) -> None:
    """Removes a decommissioned instance with its disk."""
    _list_with_state(n, name, leaving=True, emptied=True)
    await n.wipe(name)
    n.lapse(name)
    n.names.remove(name)
    for other in n.keepers:
        await n.follow(other)


async def _replace(n: Network, old: str, new: str) -> None:
    await _join(n, new, old)
    await _order(n, old)
    await _remove(n, old)


@when('"{new}" joins the domain of "{old}"')
def step_join(context, new, old):
    network(context, lambda n: _join(n, new, old))


@when('"{old}" is replaced by "{new}" by order')
def step_replace(context, old, new):
    network(context, lambda n: _replace(n, old, new))


@when('a front end beside "{name}" has used half of the budget of a program')
def step_front_used_half(context, name):
    context.near = name
    context.front = context.network.front(name)
    replies = _reserve_at_front(context, ["one", "two"])
    assert all(isinstance(reply, Reserved) for reply in replies), replies


def _reserve_at_front(context, attempts):
    async def reserve(n):
        return [
            await context.front.budgets.reserve(
                Reserve("old", attempt, TOKENS, BUDGET)
            )
            for attempt in attempts
        ]

    return network(context, reserve)


@when("that front end hears of them")
def step_front_hears(context):
    members = context.front.reach.members
    for member in context.network.members[context.near].known.values():
        key = MEMBERS_PREFIX + member.name
        members._on_written(key, msgspec.json.encode(member))


@then("that front end gets {count:d} further reservations")
def step_front_further(context, count):
    replies = _reserve_at_front(context, ["three", "four"])
    granted = [reply for reply in replies if isinstance(reply, Reserved)]
    assert len(granted) == count, replies


@when('all have agreed that "{name}" opens an account')
def step_agreed(context, name):
    holders = tuple(context.network.names)
    request = Agree("new", name, holders, sorted(holders))

    async def agree(n):
        for other in set(n.names) - {name}:
            reply = await n.keepers[other].serve(request)
            assert isinstance(reply, Agreed), reply

    network(context, agree)


@when('a new machine starts as "{name}"')
def step_new_machine(context, name):
    network(context, lambda n: _join(n, name, name))


@then('"{name}" records no reservation of the program')
def step_no_record(context, name):
    async def reserve(n):
        place = next(
            keeper.ledger.accounts["old"].place
            for keeper in n.keepers.values()
            if "old" in keeper.ledger.accounts
        )
        request = Reserve("old", "stray", TOKENS, BUDGET, place)
        return await n.keepers[name].serve(request)

    reply = network(context, reserve)
    assert isinstance(reply, Unsure), reply


@when(
    '"{name}" asks "{successor}" to hold its accounts while the store is'
    " unreachable"
)
def step_ask(context, name, successor):
    async def ask(n):
        _list_with_state(n, name, leaving=True)
        n.kv.is_unavailable = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(decommission(n, name), _ORDER_SECONDS)
            raise AssertionError("it does not wait for the store")
        n.kv.is_unavailable = False
        assert n.keepers[name].succession.appointed == successor, n.keepers[
            name
        ].succession.appointed

    network(context, ask)


@when('"{name}" goes on with its order and is removed')
def step_go_on(context, name):
    async def go_on(n):
        await _order(n, name)
        await _remove(n, name)

    network(context, go_on)


@when('"{name}" is ordered to leave, of which "{other}" does not know')
def step_leave_too(context, name, other):
    context.network.keepers[name].is_decommissioning = True


@then('the program gets no further turn while "{one}" or "{other}" is killed')
def step_none_while_killed(context, one, other):
    for killed, left in ((one, other), (other, one)):
        network(context, lambda n, name=killed: n.kill(name))
        assert turns_granted(context, [left], 1) == 0, killed
        network(context, lambda n, name=killed: n.start(name))


@when("they reach the store again")
def step_store_again(context):
    context.network.kv.is_unavailable = False


@then('the program gets {count:d} further turn at "{name}"')
@then('the program gets {count:d} further turns at "{name}"')
def step_further_turns(context, count, name):
    granted = turns_granted(context, [name], _TRIES + 2)
    assert granted == count, granted


async def _run_orders(operations: list[tuple]) -> dict[str, int]:
    """Returns the tokens that each program may have used."""
    folder = tempfile.mkdtemp()
    n = FollowingNetwork(folder, list(NAMES))
    await n.start_all()
    runner = OrderRunner(n)
    try:
        await runner.run(operations)
    finally:
        await n.stop_all()
        shutil.rmtree(folder)
    return runner.used


@then(
    "no sequence of replacements and faults lets a program use more than its"
    " budget and one turn"
)
def step_any_sequence(context):
    @hypothesis.given(ORDER_OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = run_virtually(_run_orders(operations))
        assert all(tokens <= MAX_TOKENS for tokens in used.values()), used

    hold()


async def _use(n: Network, name: str) -> int:
    """Returns the tokens of as many turns as the budget allows at a place."""
    used = 0
    for number in range(_TRIES):
        attempt = f"{name}-{number}-{n.kv.revision}"
        request = Reserve("old", attempt, TOKENS, BUDGET)
        if isinstance(await n.reserve(name, request), Reserved):
            used += TOKENS
    return used


async def _use_late(context, n: Network) -> int:
    """Returns the same at a front end that did not hear of a change."""
    replies = [
        await context.front.budgets.reserve(
            Reserve("old", f"late-{number}", TOKENS, BUDGET)
        )
        for number in range(_TRIES)
    ]
    return TOKENS * sum(isinstance(reply, Reserved) for reply in replies)


async def _use_at_both(context, n: Network, is_broken: bool) -> int:
    """The old instance is still there, and a front end sends to it."""
    context.front = n.front("a")
    await _join(n, "d", "a")
    await _order(n, "a")
    if is_broken:
        n.keepers["a"].is_closed = False
        n.members["a"].successors.clear()
    await n.kill("c")
    used = await _use_late(context, n)
    await n.start("c")
    await n.kill("b")
    return used + await _use(n, "d")


async def _use_at_lacking(context, n: Network, is_broken: bool) -> int:
    """The third holder is away when the first one is replaced."""
    await n.kill("c")
    n.lapse("c")
    used = await _use(n, "a")
    await _join(n, "d", "a")
    patch = unittest.mock.patch.object(Decommission, "_send_all", _send_none)
    with patch if is_broken else contextlib.nullcontext():
        await _order(n, "a")
    _list_with_state(n, "a", leaving=True, emptied=True)
    await n.wipe("a")
    n.lapse("a")
    n.names.remove("a")
    await n.start("c")
    n.list_again("c")
    await n.kill("b")
    return used + await _use(n, "d")


async def _send_none(decommissioning, member) -> str:
    return ""


async def _use_at_one(context, n: Network, is_broken: bool) -> int:
    """One instance is in two places, and loses its disk."""
    await _order(n, "a")
    successor = n.keepers["a"].succession.appointed
    other = "c" if successor == "b" else "b"
    await _remove(n, "a")
    await n.kill(other)
    patch = unittest.mock.patch.object(Members, "owners", _owners_repeated)
    with patch if is_broken else contextlib.nullcontext():
        used = await _use(n, successor)
        await n.start(other)
        await n.wipe(successor)
        await n.start(successor)
        await n.follow(successor)
        return used + await _use(n, successor)


def _owners_repeated(members, holders) -> list[str]:
    return [members.owner(holder) for holder in holders]


_SEQUENCES: dict[str, Callable] = {
    "a successor before the old instance is closed": _use_at_both,
    "a successor that lacks what the old instance held": _use_at_lacking,
    "an instance that counts for each place it has": _use_at_one,
}


def _run_sequence(context, mutation, is_broken):
    # Opens the account.
    reply = reserve_at(context, "a", "old", "opening", 0)
    assert isinstance(reply, Reserved), reply
    sequence = _SEQUENCES[mutation]
    context.used_tokens = network(
        context, lambda n: sequence(context, n, is_broken)
    )


@when('the sequence that exposes "{mutation}" is run without it')
def step_sound(context, mutation):
    _run_sequence(context, mutation, False)


@when('the sequence that exposes "{mutation}" is run with it')
def step_broken(context, mutation):
    _run_sequence(context, mutation, True)


@then("the program has used no more than its budget and one turn")
def step_bound_held(context):
    assert TOKENS < context.used_tokens <= MAX_TOKENS, context.used_tokens


@then("the program has used more than its budget and one turn")
def step_bound_broken(context):
    assert context.used_tokens > MAX_TOKENS, context.used_tokens


_TWO_BEGAN = [
    *[("wait", 4), ("isolate", "a"), ("isolate", "b"), ("isolate", "c")],
    *[("wait", 1), ("reserve", "a"), ("reserve", "b"), ("heal", "a")],
    *[("wait", 4), ("order_without_new", "a"), ("wait", 4)],
]
_SUCCESSOR_LOST = [("wipe", "b"), ("wait", 4), *[("reserve", "c")] * 10]


@when(
    "two instances begin a program alone, and one succeeds the other and loses"
    " its disk"
)
def step_successor_lost(context):
    operations = [*_TWO_BEGAN, *_SUCCESSOR_LOST]
    context.used = run_virtually(_run_orders(operations))


@then("the program got at most its budget and one turn")
def step_bounded(context):
    assert 2 * TOKENS <= context.used["p"] <= MAX_TOKENS, context.used


@when("two of three instances are replaced by ones of the same names")
def step_same_names(context):
    async def replace(n):
        for name in ("a", "b"):
            await _order(n, name)
            await _remove(n, name)
            await _join(n, name, name)

    network(context, replace)


@when("a program uses its budget, and the third one loses its disk")
def step_use_and_lose(context):
    async def use(n):
        front = n.front("a")
        used = await _use_all(front, "before")
        await n.wipe("c")
        await n.start("c")
        n.list_as(n.member("c"))
        for name in list(n.keepers) * 2:
            await n.follow(name)
        return used + await _use_all(front, "after")

    context.used = {"p": network(context, use)}


async def _use_all(front, when):
    """Returns the tokens that a program gets until it is refused."""
    replies = [
        await front.budgets.reserve(
            Reserve("p", f"{when}-{number}", TOKENS, BUDGET)
        )
        for number in range(BUDGET // TOKENS + 2)
    ]
    return TOKENS * sum(isinstance(reply, Reserved) for reply in replies)
