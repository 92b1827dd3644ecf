"""Steps about tokens that storage instances grant alone."""

import itertools
import tempfile
import unittest.mock

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from rattanmill_keeper import Reserve, Reserved, homes, isolation, keeper
from rattanmill_keeper.isolation import Contact, Loss
from rattanmill_keeper.messages import (
    Agreed,
    max_earlier_share,
    max_share,
    reserve_for,
)
from support.keepers import FollowingNetwork
from support.keepers import run_in as network
from support.stories import (
    BUDGET,
    LONG_OPERATIONS,
    MAX_TOKENS,
    MIXED_OPERATIONS,
    NAMES,
    SLOW_OPERATIONS,
    TOKENS,
    OperationRunner,
    run_operations,
)
from support.virtual import run_virtually

_NOW = 1000.0
# The next poll, and its timeout.
_NOTICED_SECONDS = 1.6
_SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)


def _run(operations, prepare=lambda network: None):
    return run_virtually(run_operations(operations, prepare, FollowingNetwork))


@then(
    "no sequence of faults among instances that follow each other lets a"
    " program use more than its budget and one turn"
)
def step_any_sequence(context):
    @hypothesis.given(LONG_OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = _run(operations)
        assert all(tokens <= MAX_TOKENS for tokens in used.values()), used

    hold()


@then(
    "no sequence of faults among instances that fetch slowly lets a program use"
    " more than its budget and one turn"
)
def step_any_slow_sequence(context):
    @hypothesis.given(SLOW_OPERATIONS)
    @_SETTINGS
    def hold(operations):
        used = _run(operations)
        assert all(tokens <= MAX_TOKENS for tokens in used.values()), used

    hold()


def _use_share(name):
    """Returns turns that use up what an instance grants alone, and one more."""
    return [("reserve", name)] * 2


_AFTERWARDS = [
    *[("lapse", "a"), ("replace", "b"), ("wait", 4)],
    *[("reserve", "d")] * 6,
]
_ONE_AFTER_THE_OTHER = [
    *[("wait", 4), ("isolate", "a"), *_use_share("a"), ("wait", 12)],
    *[("isolate", "b"), ("wait", 1), *_use_share("b")],
    *_AFTERWARDS,
]
_AT_ONCE = [
    *[("wait", 4), ("isolate", "a"), ("isolate", "b")],
    *[*_use_share("a"), *_use_share("b"), ("wait", 1)],
    *_AFTERWARDS,
]


_SLOW = {
    "c": [
        *[("wait", 4), ("slow_fetches", ("c", "a")), ("wait", 8)],
        *[("isolate", "a"), ("isolate", "b")],
        *[*_use_share("a"), *_use_share("b"), ("wait", 1)],
        *_AFTERWARDS,
    ],
    "a": [
        *[("wait", 4), ("slow_fetches", ("a", "c")), ("wait", 1)],
        *[("isolate", "b"), *_use_share("b"), ("wait", 8)],
        *[("isolate", "a"), ("wait", 1), *_use_share("a")],
        *_AFTERWARDS,
    ],
}
_ONE_WAY = [
    *[("wait", 4), ("lose_requests", "a"), ("wait", 8), ("isolate", "b")],
    *[*_use_share("b"), ("wait", 8), ("isolate", "a"), ("wait", 1)],
    *[*_use_share("a"), *_AFTERWARDS],
]
_RETURNED = [
    *[("wait", 4), ("isolate", "a"), ("isolate", "b")],
    *[*_use_share("a"), *_use_share("b"), ("wait", 1)],
    *[("replace", "b"), ("heal", "a"), ("wait", 12), ("isolate", "a")],
    *[("wait", 1), ("lapse", "a"), ("wait", 4), *[("reserve", "d")] * 6],
]


def _trust_replies(network):
    network.stack.enter_context(
        unittest.mock.patch.object(
            Contact, "noticed_at", lambda contact, now: contact.heard_at
        )
    )


def _ignore_requests(network):
    network.stack.enter_context(
        unittest.mock.patch.object(
            Contact, "record_asked", lambda contact, run, now: None
        )
    )


def _hide_begun(network):
    network.stack.enter_context(
        unittest.mock.patch.object(keeper, "SHARES_SECONDS", float("-inf"))
    )


def _let_all_begin(network):
    network.stack.enter_context(
        unittest.mock.patch.object(keeper, "may_begin", lambda *contacts: True)
    )


def _count_one(network):
    network.stack.enter_context(
        unittest.mock.patch.object(
            keeper,
            "count_beginners",
            lambda losses: min(len(list(losses)), 1),
        )
    )


@when("two instances are isolated one after the other and both are gone")
def step_one_after_the_other(context):
    context.used = _run(_ONE_AFTER_THE_OTHER)


@when("the same happens and the second one begins programs alone")
def step_second_begins(context):
    context.used = _run(_ONE_AFTER_THE_OTHER, _let_all_begin)


@when("three instances are isolated at once and two are gone")
def step_at_once(context):
    context.used = _run(_AT_ONCE)


@when("the same happens and one part is set aside for both")
def step_one_part(context):
    context.used = _run(_AT_ONCE, _count_one)


@when(
    "two instances are isolated while {who} is slow to fetch what {other} has"
)
def step_slow(context, who, other):
    context.operations = _SLOW[who]
    assert ("slow_fetches", (who, other)) in context.operations
    context.used = _run(context.operations)


@when("the same happens and newest replies count as times of losses")
def step_trust_replies(context):
    context.used = _run(context.operations, _trust_replies)


@when(
    "requests of one instance are lost, another one is isolated, and then the"
    " first one"
)
def step_one_way(context):
    context.used = _run(_ONE_WAY)


@when("the same happens and requests that it serves are not counted")
def step_ignore_requests(context):
    context.used = _run(_ONE_WAY, _ignore_requests)


@when(
    "one of two instances that were isolated at once returns and is lost again"
)
def step_returned(context):
    context.used = _run(_RETURNED)


@when("the same happens and it does not tell that it has begun programs")
def step_hide_begun(context):
    context.used = _run(_RETURNED, _hide_begun)


# Its share for one instance holds three turns.
_LONG_BUDGET = 80
_SHORT_TURN = 10
_LOST_AND_OPENED = [
    *[("wait", 4), ("isolate", "a"), ("wait", 1), *[("reserve", "a")] * 4],
    *[("wipe", "a"), ("heal", "a"), ("wait", 4), ("reserve", "a")],
]
_USED_UP = [("reserve", "a")] * 2 + [("reserve", "b")] * 9


def _run_long(operations, prepare=lambda network: None):
    return run_virtually(
        run_operations(
            operations, prepare, FollowingNetwork, _LONG_BUDGET, _SHORT_TURN
        )
    )


@when(
    "an instance begins a program of {turns:d} turns alone, loses its disk,"
    " opens the account and is cut off again"
)
def step_opens_again(context, turns):
    assert turns * _SHORT_TURN == _LONG_BUDGET
    operations = [*_LOST_AND_OPENED, ("isolate", "a"), *_USED_UP]
    context.used = _run_long(operations)


@when(
    "an instance begins a program of {turns:d} turns alone, loses its disk,"
    " opens the account and is to be emptied"
)
def step_opens_and_empties(context, turns):
    assert turns * _SHORT_TURN == _LONG_BUDGET
    operations = [*_LOST_AND_OPENED, ("close_shares", "a"), *_USED_UP]
    context.used = _run_long(operations)


@then("the program gets at most {most:d} turns, and more than {least:d}")
def step_turns_between(context, most, least):
    used = context.used["p"]
    assert least * _SHORT_TURN < used <= most * _SHORT_TURN, used


_BEGUN = {
    "while down and": [
        *[("wait", 4), ("kill", "c"), ("wait", 1), ("reserve", "a")],
        *[("lose_disk", "c"), ("wait", 4)],
    ],
    "just after": [
        *[("wait", 4), ("kill", "c"), ("wait", 1), ("lose_disk", "c")],
        *[("wait", 4), ("reserve", "a")],
    ],
}


@when("a program of {turns:d} turns begins {order} an instance loses its disk")
def step_begins_beside(context, turns, order):
    assert turns * _SHORT_TURN == _LONG_BUDGET
    context.used = _run_long([*_BEGUN[order], *[("reserve", "b")] * turns])


@then("the program gets all of its {turns:d} turns")
def step_all_turns(context, turns):
    assert context.used["p"] == turns * _SHORT_TURN, context.used


_BOTH_AWAY = {
    "nothing": [("wait", 4)],
    "a turn each": [
        *[("wait", 4), ("isolate", "b"), ("isolate", "c"), ("wait", 1)],
        *[("reserve", "b"), ("reserve", "c")],
    ],
}


@when(
    "two instances that granted {what} alone are away, one of which loses its"
    " disk"
)
def step_both_away(context, what):
    context.used = _run_long(
        [
            *[*_BOTH_AWAY[what], ("kill", "c"), ("lose_disk", "c")],
            *[("heal", "c"), ("wait", 1), ("kill", "b"), ("wait", 1)],
            *[("reserve", "a"), ("start", "b"), ("wait", 4)],
            *[("reserve", "a")] * 9,
        ]
    )


_GRANT_MORE = [
    *[("wait", 4), ("isolate", "c"), ("wait", 1), *[("reserve", "c")] * 4],
]
_UPGRADED = {
    "is lost": [("kill", "c")],
    "is upgraded, and is lost": [
        *[("upgrade", "c"), ("wait", 1), ("kill", "c")],
    ],
    "is upgraded, and comes back": [
        *[("upgrade", "c"), ("heal", "c"), ("wait", 4)],
    ],
    "loses its disk in between": [
        *[("upgrade", "c"), ("kill", "c"), ("lose_disk", "c")],
        *[("heal", "c"), ("wait", 4)],
    ],
}


def _with_earlier(names):
    def make(folder, all_names):
        network = FollowingNetwork(folder, all_names)
        network.earlier = set(names)
        return network

    return make


def _run_earlier(operations, names, prepare=lambda network: None):
    return run_virtually(
        run_operations(
            operations,
            prepare,
            _with_earlier(names),
            _LONG_BUDGET,
            _SHORT_TURN,
        )
    )


def _count_all_as_one_turn(network):
    network.stack.enter_context(
        unittest.mock.patch.object(
            homes, "_one_turn", lambda *consents: frozenset("abcd")
        )
    )


@when(
    "an instance of an earlier version grants {turns:d} turns of {of:d} alone"
    " and {then}"
)
def step_earlier_grants(context, turns, of, then):
    assert of * _SHORT_TURN == _LONG_BUDGET
    used = _run_earlier(_GRANT_MORE, "c")
    assert used["p"] == turns * _SHORT_TURN, used
    # Callers have left the domain that was cut off.
    use_up = [("reserve", "b")] * 9
    context.operations = [*_GRANT_MORE, *_UPGRADED[then], *use_up]
    context.used = _run_earlier(context.operations, "c")


@when("the same happens and all count as granting one turn")
def step_all_one_turn(context):
    context.used = _run_earlier(context.operations, "c", _count_all_as_one_turn)


@then("the program gets more than {most:d} turns")
def step_more_turns(context, most):
    assert context.used["p"] > most * _SHORT_TURN, context.used


@then(
    "no sequence of faults and upgrades lets a program use more than its budget"
    " and one turn"
)
def step_any_upgrade(context):
    @hypothesis.given(MIXED_OPERATIONS, st.sets(st.sampled_from(NAMES)))
    @_SETTINGS
    def hold(operations, earlier):
        used = _run_earlier(operations, earlier)
        kinds = {kind for kind, _ in operations}
        is_large = kinds & {"reserve", "race"}
        turn = _SHORT_TURN if is_large else _SHORT_TURN // 2
        most = _LONG_BUDGET + turn
        assert all(tokens <= most for tokens in used.values()), used

    hold()


# Larger budgets round down in the same ways.
_MAX_MODEL_BUDGET = 24


def _model_cases(sharers):
    """Yields budgets, the opener's turn, and turns granted alone, in tokens."""
    for budget in range(1, _MAX_MODEL_BUDGET + 1):
        sizes = range(1, budget + 1)
        for opener in sizes:
            for granted in itertools.combinations_with_replacement(
                sizes, sharers
            ):
                yield budget, opener, granted


def _earlier_grant(budget, tokens):
    """Returns what turns of at most so many tokens take of an earlier share."""
    share = max_earlier_share(budget, tokens)
    return share if tokens <= share else 0


@then(
    "what is set aside for up to {most:d} instances covers turns of any sizes"
)
def step_covers(context, most):
    for sharers in range(1, most + 1):
        for budget, opener, sizes in _model_cases(sharers):
            allowed = budget + max(opener, *sizes)
            for is_one, grant in ((True, max_share), (False, _earlier_grant)):
                left = budget - reserve_for(sharers, budget, opener, is_one)
                used = left + sum(grant(budget, size) for size in sizes)
                assert used <= allowed, (budget, opener, sizes, is_one)


async def _crash_after_return(folder):
    """Returns for how long "a" seems lost to "c" after a crash of "c"."""
    network = FollowingNetwork(folder, ["a", "b", "c"])
    await network.start_all()
    try:
        runner = OperationRunner(network)
        await runner.run([("wait", 4), ("isolate", "a"), ("wait", 12)])
        mine = network.members["a"].contacts["c"]
        before = mine.heard_at
        await runner.heal("a")
        while mine.heard_at == before:
            await network.pass_time(0.01)
        await runner.run([("isolate", "a"), ("restart", "c")])
        return network.members["c"].losses().get("a")
    finally:
        await network.stop_all()


@when("an instance crashes just after one that was silent has followed it")
def step_crash(context):
    with tempfile.TemporaryDirectory() as folder:
        context.loss = run_virtually(_crash_after_return(folder))


@then("it does not take that one for lost since then")
def step_not_lost(context):
    assert context.loss is None or context.loss.heard < 1.0, context.loss


@given("an instance that was lost {seconds:d} seconds before another one")
def step_lost(context, seconds):
    context.losses = [
        Loss(heard, heard - _NOTICED_SECONDS) for heard in (seconds + 2.0, 2.0)
    ]


@when("one that consents does not tell when it lost them")
def step_not_told(context):
    reply = msgspec.json.decode(b"{}", type=Agreed)
    told = dict(zip("ab", context.losses, strict=True))
    merged = isolation.merge_losses([told, reply.losses])
    context.losses = [merged.get(name) for name in told]


@then("one of them may have begun a program alone")
def step_one(context):
    context.count = isolation.count_beginners(context.losses)
    assert context.count == 1, context.count


@then("two of them may have begun a program alone")
def step_two(context):
    found = isolation.count_beginners(context.losses)
    assert found == 2, found


@then(
    "a program of {turns:d} turns keeps at least {left:d} turns of its budget"
)
def step_keeps(context, turns, left):
    budget = turns * TOKENS
    reserved = context.count * max_share(budget, TOKENS) - TOKENS
    assert budget - reserved >= left * TOKENS, reserved


def _contact(text):
    if text == "never":
        return None
    words = text.split()
    domain = None if words[-1] == "reported" else words[-1]
    heard_at = _NOW - float(words[0])
    missed_at = min(heard_at + _NOTICED_SECONDS, _NOW)
    contact = Contact(domain, heard_at, missed_at=missed_at)
    contact.may_have_lost_share = "with lost disk" in text
    contact.was_unable = "as a new machine" in text
    contact.has_begun = "as one that has begun" in text
    if "not missed yet" in text:
        contact.missed_at = None
    if "asked 1 ago" in text:
        contact.asked_at = _NOW - 1.0
    return contact


@given("an instance that last heard others {heard} seconds ago")
def step_heard(context, heard):
    context.contacts = [_contact(text) for text in heard.split(", ")]


@then("it begins programs alone")
def step_begins(context):
    assert isolation.may_begin(context.contacts, 0.0, _NOW)


@then("it does not begin programs alone")
def step_begins_none(context):
    assert not isolation.may_begin(context.contacts, 0.0, _NOW)


@when('"{name}" starts with an empty disk and its registration is not seen')
def step_start_new(context, name):
    async def start(n):
        n.names.append(name)
        await n.start(name)
        members = n.members[name]
        del members.known[name], members.first_runs[name]
        del members.last_seen[name]
        for other in n.keepers:
            if other != name:
                n.introduce(n.members[other], name)

    network(context, start)


@then('a new program gets all of its budget at "{name}"')
def step_all(context, name):
    async def reserve(n):
        requests = [
            Reserve("new", f"turn-{number}", TOKENS, BUDGET)
            for number in range(BUDGET // TOKENS)
        ]
        return [await n.reserve(name, request) for request in requests]

    replies = network(context, reserve)
    assert all(isinstance(reply, Reserved) for reply in replies), replies


@when(
    "one machine is lost, its successor opens an account, and the instance that"
    " heard it last restarts"
)
def step_successor(context):
    operations = [
        *[("wait", 4), ("replace", "b"), ("wait", 4), ("reserve", "d")],
        *[("kill", "a"), ("start", "a"), ("wait", 1)],
    ]

    def keep(network):
        context.network = network

    _run(operations, keep)


@then("the successor still knows how long ago the machine was lost")
def step_knows(context):
    contacts = context.network.members["d"].contacts
    assert "b" in contacts, contacts


@when("three disks are lost 12 seconds apart and all instances restart")
def step_disks(context):
    names = ("a", "b", "c")
    context.used = _run(
        [
            *[("wait", 4), ("wipe", "a"), ("wait", 12), ("wipe", "b")],
            *[("wait", 12), ("wipe", "c"), ("wait", 4)],
            *[("kill", name) for name in names],
            *[("start", name) for name in names],
            *[("wait", 4), *[("reserve", "a")] * 4],
        ]
    )


@then("a new program gets at least {least:d} of its {turns:d} turns")
def step_turns(context, least, turns):
    assert turns == BUDGET // TOKENS
    assert context.used.get("p", 0) >= least * TOKENS, context.used
