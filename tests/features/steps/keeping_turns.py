"""Steps about kept turns and the journal, run in this process."""

import asyncio
import concurrent.futures
from unittest import mock

import msgspec
from behave import given, then, when

from rattanmill_core import wall_seconds
from rattanmill_keeper import (
    KeptTurn,
)
from rattanmill_keeper.journal import decode_frames, encode_frames
from rattanmill_keeper.messages import Keep, Ping, codec
from rattanmill_wire import RequestLink
from support.keepers import begin
from support.keepers import run_in as network
from support.stories import BUDGET


def keep(
    context, name, turn, previous="", text=b"text", seconds=60.0, chain=""
):
    kept = KeptTurn(turn, previous, text, wall_seconds() + seconds, chain)
    network(context, lambda n: n.keepers[name].serve(Keep(kept)))


@when('"{names}" keep {count:d} turns')
def step_keep_all(context, names, count):
    for name in names.split(", "):
        for number in range(count):
            keep(context, name, f"turn-{number}")


@when(
    '"{old}" is replaced by "{new}" of its domain, and "{late}" hears of it'
    ' from "{early}" first'
)
def step_replace_by_rumor(context, old, new, late, early):
    context.network.members[late].last_seen[new] = wall_seconds()
    step_replace(context, old, new)


@when('"{old}" is replaced by "{new}" of its domain while still listed')
def step_replace(context, old, new):
    async def replace(n):
        await n.wipe(old)
        n.domains[new] = n.domains.get(old, f"domain-{old}")
        n.names.append(new)
        await n.start(new)
        n.list_as(n.member(new))
        await n.follow(new)

    network(context, replace)


@then('"{names}" have all {count:d} turns')
def step_have_all(context, names, count):
    for name in names.split(", "):
        held = context.network.keepers[name].table.held
        missing = {f"turn-{n}" for n in range(count)} - set(held)
        assert not missing, (name, missing)


@when('"{name}" keeps a turn alone')
def step_keep(context, name):
    keep(context, name, "t1")


@when('"{name}" has followed the others')
def step_follow(context, name):
    network(context, lambda n: n.follow(name))


@then('"{name}" has the turn')
def step_has(context, name):
    assert "t1" in context.network.keepers[name].table.held


@given("{count:d} storage instances in {domains:d} failure domains")
def step_instances_in_domains(context, count, domains):
    names = [f"s{number}" for number in range(count)]
    begin(
        context,
        names,
        {name: f"domain-{n % domains}" for n, name in enumerate(names)},
    )
    context.turns = 0
    # One instance of each domain.
    context.near = names[:domains]


@given(
    "{count:d} storage instances in 3 failure domains, two of which may lose"
    " their disks at once"
)
def step_many_two_lost(context, count):
    step_instances_in_domains(context, count, 3)
    for members in context.network.members.values():
        members.tolerated_disk_losses = 2


def continue_conversation(context, count):
    """Keeps further turns of a conversation, each through another front end."""

    async def keep_all(n):
        for number in range(context.turns, context.turns + count):
            previous = f"t{number - 1}" if number else ""
            front = n.front(context.near[number % len(context.near)])
            if previous:
                found = await front.turns.find(previous, "p")
                assert len(found) == number, (number, found)
            expires = wall_seconds() + 60.0
            kept = KeptTurn(f"t{number}", previous, b"text", expires, "p")
            assert (await front.turns.keep(kept)).is_replicated

    network(context, keep_all)
    context.turns += count


@when("a conversation of {count:d} turns goes through newly started front ends")
def step_converse(context, count):
    continue_conversation(context, count)


@when("{count:d} turns of a conversation are kept at a storage instance each")
def step_scatter(context, count):
    for number in range(count):
        previous = f"t{number - 1}" if number else ""
        keep(context, f"s{number}", f"t{number}", previous, chain="p")
    context.turns = count


def find_all(context, name, chain="p"):
    """Checks that a new front end finds all turns; returns whom it asked."""
    asked = []

    async def find(n):
        front = n.front(name)
        ask = front.reach.ask

        async def count(member, *how):
            asked.append(member.name)
            return await ask(member, *how)

        front.reach.ask = count
        return await front.turns.find(f"t{context.turns - 1}", chain)

    found = network(context, find)
    assert isinstance(found, list), found
    assert [kept.turn for kept in found] == [
        f"t{number}" for number in reversed(range(context.turns))
    ], found
    return asked


@then(
    "a new front end of each domain finds all {count:d} turns by asking"
    " {limit:d} instance"
)
def step_find_near(context, count, limit):
    for name in context.near:
        asked = find_all(context, name)
        assert len(asked) <= limit, asked


@then("a new front end of each domain finds all {count:d} turns")
def step_find(context, count):
    for name in context.near:
        find_all(context, name)


@then("a front end that assumes another program finds all {count:d} turns")
def step_find_other(context, count):
    find_all(context, "s0", "another")


@when("{count:d} storage instances of different domains are down")
def step_down(context, count):
    async def kill(n):
        for name in list(n.keepers)[-count:]:
            await n.kill(name)

    network(context, kill)


@when("a storage instance joins each domain and {count:d} more turns are kept")
def step_join(context, count):
    async def join(n):
        for number in range(len(context.near)):
            name = f"new{number}"
            n.domains[name] = f"domain-{number}"
            n.names.append(name)
            await n.start(name)
            for each in n.keepers:
                n.introduce(n.members[each], name)

    network(context, join)
    continue_conversation(context, count)


@when('"{name}" keeps a turn that expires at once and one that continues it')
def step_keep_chain(context, name):
    keep(context, name, "t1", seconds=-100.0)
    keep(context, name, "t2", "t1")


@when('"{name}" keeps them in reverse order')
def step_keep_reversed(context, name):
    keep(context, name, "t2", "t1")
    keep(context, name, "t1", seconds=-100.0)


@when('"{name}" keeps {size:d} MB of turns that expire at once')
def step_keep_many(context, name, size):
    for number in range(size):
        text = bytes(1_000_000)
        keep(context, name, f"old-{number}", text=text, seconds=-100.0)


@when("the sweep has run")
def step_sweep(context):
    async def sweep(n):
        for keeper in n.keepers.values():
            keeper.sweep()

    network(context, sweep)


@then('"{name}" has both turns')
def step_has_both(context, name):
    assert {"t1", "t2"} <= set(context.network.keepers[name].table.held)


@then('the first segment of "{name}" is gone')
def step_segment_gone(context, name):
    segments = context.network.keepers[name].journal.segments()
    assert 1 not in segments, segments


_RECORDS = [b"one", b"", b"x" * 300, b"last"]


@then("a journal truncated at any byte yields a prefix of its records")
def step_truncate_anywhere(context):
    content = encode_frames(_RECORDS)
    ends = [0]
    for record in _RECORDS:
        ends.append(ends[-1] + len(encode_frames([record])))
    for garbage in (b"", bytes(40), b"\xff" * 40):
        for at in range(len(content) + 1):
            found = list(decode_frames(content[:at] + garbage))
            whole = sum(end <= at for end in ends[1:])
            assert found == _RECORDS[:whole], (at, garbage, found)


@then("a journal with any byte of its last record changed yields the others")
def step_change_each(context):
    content = encode_frames(_RECORDS)
    start = len(content) - len(encode_frames([_RECORDS[-1]]))
    for at in range(start, len(content)):
        changed = bytearray(content)
        changed[at] ^= 0x55
        found = list(decode_frames(bytes(changed)))
        assert found == _RECORDS[:-1], (at, found)


@when(
    "{count:d} requests to a peer that does not listen time out one after the"
    " other"
)
def step_time_out(context, count):
    async def send_all():
        link = RequestLink("127.0.0.1:9", codec())
        requests = [
            asyncio.create_task(link.ask(Ping(), 0.05 + number / 100))
            for number in range(count)
        ]
        done = await asyncio.gather(*requests, return_exceptions=True)
        link.close()
        return done

    context.replies = asyncio.run(send_all())


@then("each request ends without a reply")
def step_no_reply(context):
    assert context.replies and set(context.replies) == {None}, context.replies


class HangingExecutor(concurrent.futures.Executor):
    """A disk whose syncs never end."""

    def submit(self, work, /, *args):
        """Returns a future that is never done."""
        return concurrent.futures.Future()


@when(
    '"{name}" is killed and restarted {count:d} times, with a disk that syncs'
    " nothing"
)
def step_restart_slow(context, name, count):
    async def restart(n):
        for _ in range(count):
            await n.kill(name)
            with mock.patch.object(n, "new_disk", HangingExecutor):
                await n.start(name)
            await n.pass_time(0.01)
            n.keepers[name].sweep()

    network(context, restart)


@then('"{name}" knows that the program has used its budget')
def step_knows_used(context, name):
    account = context.network.keepers[name].ledger.accounts["old"]
    assert account.taken == BUDGET // 3 * 3, account


@when('a record of another version is written to the journal of "{name}"')
def step_write_unknown(context, name):
    record = msgspec.msgpack.encode({"type": "of another version"})
    journal = context.network.keepers[name].journal
    network(context, lambda n: journal.append(record))


@then('"{name}" does not count as whole')
def step_not_recovered(context, name):
    assert not context.network.keepers[name].is_recovered
