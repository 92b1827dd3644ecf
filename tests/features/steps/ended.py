"""Steps about the use of turns whose front ends are gone."""

import msgspec
from behave import then, when
from steps.keeping import network

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn, Reserve, Reserved, TurnUse
from rattanmill_keeper.records import decode, encode
from support.stories import BUDGET, TOKENS

_USED = 5


async def _end_turn(front, program, attempt, chain=""):
    """Runs a turn to its answer's end; its front end tells no holder then.

    Args:
        front: The front end.
        program: Program id.
        attempt: Attempt id, which is also the turn's.
        chain: Key of the turn's chain.

    Returns:
        Names of the instances that keep it.
    """
    ask = Reserve(program, attempt, TOKENS, BUDGET)
    reply = await front.budgets.reserve(ask)
    assert isinstance(reply, Reserved), reply
    use = front.budgets.use_of(program, attempt, _USED)
    expires = wall_seconds() + 60.0
    kept = KeptTurn(attempt, "", b"text", expires, chain, use)
    result = await front.turns.keep(kept)
    assert result.is_replicated, result
    return result.keepers


async def _assert_rest(front, program):
    """Checks that a program gets all that is left to it, and no more."""
    whole = Reserve(program, "more", BUDGET - _USED + 1, BUDGET)
    assert not isinstance(await front.budgets.reserve(whole), Reserved)
    rest = Reserve(program, "rest", BUDGET - _USED, BUDGET)
    reply = await front.budgets.reserve(rest)
    assert isinstance(reply, Reserved), (program, reply)


@when('a turn ends at "{name}" whose front end is killed at once')
def step_end(context, name):
    network(context, lambda n: _end_turn(n.front(name), "ended", "turn"))


@when(
    '"{away}" is unreachable while a turn ends at "{name}" whose front end is'
    " killed at once"
)
def step_end_away(context, away, name):
    async def run(n):
        cuts = {frozenset((away, other)) for other in n.names if other != away}
        n.cuts |= cuts
        await _end_turn(n.front(name), "ended", "turn")
        n.cuts -= cuts

    network(context, run)


@then(
    "the program gets just the rest of its budget from a new front end at"
    ' "{name}"'
)
def step_rest(context, name):
    network(context, lambda n: _assert_rest(n.front(name), "ended"))


@when("all instances have followed each other")
def step_follow(context):
    async def follow(n):
        # What one has fetched another one may lack.
        for name in [*n.keepers, *n.keepers]:
            await n.follow(name)

    network(context, follow)


@when("turns of {count:d} programs end whose front ends are killed at once")
def step_end_many(context, count):
    context.kept_by = {}
    context.held_by = {}

    async def run(n):
        for number in range(count):
            program = f"p{number}"
            front = n.front(context.near[number % len(context.near)])
            context.kept_by[program] = set(
                await _end_turn(
                    front, program, f"{program}-turn", f"chain-{number}"
                )
            )
            context.held_by[program] = set(front.budgets.holders_of(program))

    network(context, run)


@then("some turns are kept by no holder of their program's account")
def step_kept_elsewhere(context):
    context.elsewhere = [
        program
        for program, keepers in context.kept_by.items()
        if not keepers & context.held_by[program]
    ]
    assert context.elsewhere, (context.kept_by, context.held_by)


@when(
    "all instances restart, and {count:d} that are no holders lose their disks"
)
def step_restart(context, count):
    program = context.elsewhere[0]
    lost = sorted(context.kept_by[program])[:count]

    async def restart(n):
        names = list(n.keepers)
        for name in names:
            await (n.wipe(name) if name in lost else n.kill(name))
        for name in names:
            await n.start(name)
            n.members[name].tolerated_disk_losses = 2

    network(context, restart)


@then("each program gets just the rest of its budget from a new front end")
def step_rest_each(context):
    async def check(n):
        for program in context.kept_by:
            front = n.front(context.near[0])
            await _assert_rest(front, program)

    network(context, check)


class _EarlierTurn(msgspec.Struct, frozen=True, tag="turn"):
    turn: str
    previous: str
    text: bytes
    expires: float
    chain: str = ""


@then(
    "an earlier version reads a turn with its use, and this one a turn without"
)
def step_versions(context):
    kept = KeptTurn("t", "", b"text", 9.0, "p", TurnUse("p", "t", _USED))
    earlier = _EarlierTurn("t", "", b"text", 9.0, "p")
    assert msgspec.msgpack.decode(encode(kept), type=_EarlierTurn) == earlier
    read = decode(msgspec.msgpack.encode(earlier))
    assert read == msgspec.structs.replace(kept, use=None)
