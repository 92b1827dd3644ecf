"""Steps about a shard's log, run in this process on an in-memory store."""

import asyncio
import copy
import itertools
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from rattanmill_core import Ran
from rattanmill_platform import Conflict, Unavailable
from rattanmill_programs import (
    ActIntended,
    ActSettled,
    Broken,
    BudgetReserved,
    Committed,
    Fenced,
    ProgramCreated,
    ProgramEnded,
    Recovered,
    Shard,
    ShardLog,
    TurnKept,
    compact,
    drop_ended,
    recover,
)
from rattanmill_programs.program import next_chain
from rattanmill_programs.records import Segment, encode_segment
from rattanmill_programs.recovery import slot_key
from support.memory import Crash, MemoryKv

_SETTINGS = hypothesis.settings(
    max_examples=40, deadline=None, derandomize=True, database=None
)
_NAMES = ("a", "b", "c")
_OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("turn", "reserve", "act", "end", "child")),
        strategies.sampled_from(_NAMES),
    ),
    min_size=5,
    max_size=25,
)


async def recover_shard(kv, epoch, is_ownership_certain=lambda: True):
    """Returns the shard as recovered by a new owner."""
    recovered = await recover(kv, "east", 0, epoch, f"owner-{epoch}")
    assert isinstance(recovered, Recovered), recovered
    log = ShardLog(
        kv, "east", 0, epoch, recovered, lambda: None, is_ownership_certain
    )
    return Shard("east", 0, epoch, recovered.programs, log)


def program_created(name, parent=""):
    return ProgramCreated(
        name, "default", "leith", 10_000, 99, 9e9, 1.0, parent
    )


def next_turn(program, text="x"):
    turn = TurnKept(
        program.creation.program,
        len(program.turns) + 1,
        b"digest",
        len(program.transcript),
        [b'"%s"' % text.encode()],
        b'"answer"',
        "stop",
        "commentary",
        3,
        2,
        program.spent + 5,
        b"",
    )
    chain = next_chain(program.chain, turn)
    return TurnKept(
        *(getattr(turn, f) for f in turn.__struct_fields__[:-1]), chain
    )


async def run_operation(shard, operation, name, number):
    """Runs one operation on a program, as the daemon would."""
    program = shard.programs.get(name)
    if program is None:
        await shard.keep(program_created(name))
        return
    if program.ended is not None:
        return
    match operation:
        case "turn":
            await shard.keep(next_turn(program))
        case "reserve":
            max_tokens = program.spent + 50
            await shard.commit(BudgetReserved(name, max_tokens))
        case "act":
            key = f"key-{number}"
            await shard.keep(ActIntended(name, key, b"body", shard.epoch))
            if number % 2:
                await shard.keep(ActSettled(name, key, Ran.YES, 200, [], b"ok"))
        case "child":
            await shard.keep(program_created(f"{name}{number}", name))
        case "end":
            await shard.keep(ProgramEnded(name, 5.0))


def program_states(shard):
    """Returns what the next owner must recover of a shard's programs."""
    return {
        name: (
            program.creation,
            max(program.spent, program.reserved),
            program.reserved,
            [turn.record for turn in program.turns],
            program.transcript,
            program.ended,
            {key: (a.digest, a.settled) for key, a in program.acts.items()},
        )
        for name, program in shard.programs.items()
    }


async def build_shard(operations):
    kv = MemoryKv()
    shard = await recover_shard(kv, 1)
    for name in _NAMES:
        await shard.keep(program_created(name))
    for number, (operation, name) in enumerate(operations):
        await run_operation(shard, operation, name, number)
    return kv, shard


def crash_at(call, after):
    """Returns a fault that simulates a crash before or after a call."""

    def fault(number, done):
        if (number == call and done is after) or number > call:
            raise Crash

    return fault


async def crash_in_compaction(operations, call, after):
    """Crashes in a compaction; returns whether it reached ``call``."""
    kv, shard = await build_shard(operations)
    # An earlier compaction moves the log's start past slot 0.
    assert await compact(shard, 0.0)
    await shard.keep(next_turn(shard.programs["a"]))
    expected = program_states(shard)
    calls_before = kv.calls
    kv.fault = crash_at(calls_before + call, after)
    task = asyncio.create_task(compact(shard, 0.0))
    await asyncio.wait([task, shard.log.task], return_when="FIRST_COMPLETED")
    reached = not task.done() or task.exception() is not None
    task.cancel()
    shard.log.task.cancel()
    await asyncio.gather(task, shard.log.task, return_exceptions=True)
    kv.fault = lambda number, done: None
    found = await recover_shard(kv, 2)
    assert program_states(found) == expected
    # The next owner's compaction deletes the slots that remained.
    assert await compact(found, 0.0)
    remaining = [key for key in kv.items if key.startswith("rm/log/")]
    first = found.log.start.first
    assert min(remaining) == slot_key("east", 0, first), (remaining[:3], first)
    latest = await recover_shard(kv, 3)
    assert program_states(latest) == expected
    found.log.stop()
    latest.log.stop()
    return reached


@given("a shard whose programs ran operations generated by hypothesis")
def step_hypothesis(context):
    context.operations = _OPERATIONS


@when("its owner dies before or after any call of a compaction")
def step_crash_at_each_call(context):
    context.steps = 0

    @_SETTINGS
    @hypothesis.given(context.operations)
    def run(operations):
        for call in itertools.count(1):
            reached = [
                asyncio.run(crash_in_compaction(operations, call, after))
                for after in (False, True)
            ]
            if not any(reached):
                break
            context.steps += 1

    run()


@then("each next owner recovers all that was kept")
def step_recovered_all(context):
    assert context.steps > 50, context.steps


async def turns_in_compaction(operations, call):
    """Keeps turns and reservations during a compaction that crashes.

    Returns:
        Whether the compaction reached ``call``.
    """
    kv, shard = await build_shard(operations)
    kept = dict.fromkeys(shard.programs, 0)
    reserved = dict.fromkeys(shard.programs, 0)

    async def keep_turns():
        for name in itertools.cycle(_NAMES):
            program = shard.programs[name]
            if program.ended is None:
                max_tokens = program.spent + 100
                record = BudgetReserved(name, max_tokens)
                if isinstance(await shard.commit(record), Committed):
                    reserved[name] = max_tokens
                turn = next_turn(program)
                if isinstance(await shard.keep(turn), Committed):
                    kept[name] = turn.turn
            await asyncio.sleep(0)

    kv.fault = crash_at(kv.calls + call, True)
    turns = asyncio.create_task(keep_turns())
    task = asyncio.create_task(compact(shard, 0.0))
    await asyncio.wait([task, shard.log.task], return_when="FIRST_COMPLETED")
    reached = not task.done() or task.exception() is not None
    for ended in (task, turns, shard.log.task):
        ended.cancel()
    live = program_states(shard)
    kv.fault = lambda number, done: None
    found = await recover_shard(kv, 2)
    for name, (_, spent, _reserved, history, *_rest) in program_states(
        found
    ).items():
        assert len(history) >= kept[name], (name, kept)
        assert history == live[name][3][: len(history)], name
        assert spent >= reserved[name], (name, spent, reserved)
    found.log.stop()
    return reached


@when("turns are kept between the calls of a compaction and the owner dies")
def step_turns_between(context):
    context.steps = 0

    @_SETTINGS
    @hypothesis.given(context.operations)
    def run(operations):
        for call in itertools.count(1):
            if not asyncio.run(turns_in_compaction(operations, call)):
                break
            context.steps += 1

    run()


@given("a shard with {count:d} segments")
def step_segments(context, count):
    async def fill():
        kv = MemoryKv()
        shard = await recover_shard(kv, 1)
        await shard.keep(program_created("a"))
        while shard.log.next_slot < count:
            await shard.keep(next_turn(shard.programs["a"]))
        shard.log.stop()
        return kv, program_states(shard)

    context.kv, context.expected = asyncio.run(fill())


@then("a new owner recovers them, reading at most {count:d} values at once")
def step_read_pages(context, count):
    context.kv.largest_range = 0
    context.calls_before = context.kv.calls
    context.slots = len(context.kv.items)

    async def read():
        shard = await recover_shard(context.kv, 2)
        shard.log.stop()
        return program_states(shard)

    assert asyncio.run(read()) == context.expected
    assert context.kv.largest_range <= count, context.kv.largest_range


@then("it reads no slot twice")
def step_read_once(context):
    pages = -(-context.slots // 10)
    # The read of the start, the pages, and the write that opens the epoch.
    calls = context.kv.calls - context.calls_before
    assert calls <= pages + 3, (calls, pages)


@when("its owner is paused, a new owner compacts the log, and it resumes")
def step_paused_owner(context):
    certain = True

    async def run():
        nonlocal certain
        old = await recover_shard(context.kv, 2, lambda: certain)
        certain = False
        new = await recover_shard(context.kv, 3)
        assert await compact(new, 0.0)
        assert new.log.start.first > old.log.next_slot
        context.old_outcome = await old.keep(next_turn(old.programs["a"]))
        old.log.stop()
        new.log.stop()
        latest = await recover_shard(context.kv, 4)
        context.turns_found = len(latest.programs["a"].turns)
        context.turns_old = len(old.programs["a"].turns)
        latest.log.stop()

    asyncio.run(run())


@then("the old owner's turn is not reported as kept")
def step_not_kept(context):
    assert context.turns_found == context.turns_old - 1
    assert not isinstance(context.old_outcome, Committed), context.old_outcome


@when("its slot is taken and deleted before it can read it")
def step_slot_deleted(context):
    class ConflictKv(MemoryKv):
        async def create_unique(self, key, value):
            return Conflict(0)

    async def run():
        old = await recover_shard(context.kv, 2)
        conflicting_kv = ConflictKv()
        conflicting_kv.items = copy.copy(context.kv.items)
        old.log.kv = conflicting_kv
        context.old_outcome = await old.keep(next_turn(old.programs["a"]))
        old.log.stop()

    asyncio.run(run())


@then("the old owner learns that it was replaced")
def step_learns_replaced(context):
    assert isinstance(context.old_outcome, Fenced), context.old_outcome


class TakeoverKv:
    """Lets another instance take over the shard before a chosen call."""

    def __init__(self, kv, call):
        self.kv = kv
        self.call = call
        self.calls = 0
        self.breaker = kv.breaker
        self.replaced = False

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls += 1
            if self.calls == self.call:
                self.replaced = True
                await self.take_over()
            return await getattr(self.kv, name)(*arguments)

        return call

    async def take_over(self):
        """Recovers the shard as a newer owner and keeps a turn."""
        other = await recover_shard(self.kv, 3)
        outcome = await other.keep(next_turn(other.programs["a"]))
        assert isinstance(outcome, Committed)
        other.log.stop()


@when("a new owner is replaced before any of its calls")
def step_replaced(context):
    async def run(call):
        kv = MemoryKv()
        kv.items = dict(context.kv.items)
        takeover_kv = TakeoverKv(kv, call)
        recovered = await recover(takeover_kv, "east", 0, 2, "taker")
        outcome = recovered
        if isinstance(recovered, Recovered):
            log = ShardLog(takeover_kv, "east", 0, 2, recovered, lambda: None)
            new_owner = Shard("east", 0, 2, recovered.programs, log)
            outcome = await new_owner.keep(next_turn(new_owner.programs["a"]))
            log.stop()
        if not takeover_kv.replaced:
            return False
        latest = await recover_shard(kv, 4)
        latest.log.stop()
        context.outcomes.append((outcome, len(latest.programs["a"].turns)))
        return True

    context.outcomes = []
    for call in itertools.count(1):
        if not asyncio.run(run(call)):
            break


@then("it keeps nothing, and the other owner's turn is recovered")
def step_replaced_keeps_nothing(context):
    before = len(context.expected["a"][3])
    assert len(context.outcomes) > 5, context.outcomes
    for outcome, turns in context.outcomes:
        assert isinstance(outcome, Fenced), context.outcomes
        assert turns == before + 1, context.outcomes


@when("a new owner is replaced and the log compacted before any of its calls")
def step_replaced_compacted(context):
    class CompactingKv(TakeoverKv):
        async def take_over(self):
            other = await recover_shard(self.kv, 3)
            assert await compact(other, 0.0)
            other.log.stop()

    async def run(call):
        kv = MemoryKv()
        kv.items = dict(context.kv.items)
        compacting_kv = CompactingKv(kv, call)
        outcome = await recover(compacting_kv, "east", 0, 2, "taker")
        if not compacting_kv.replaced:
            return False
        context.outcomes.append(outcome)
        latest = await recover_shard(kv, 4)
        latest.log.stop()
        assert program_states(latest) == context.expected
        return True

    context.outcomes = []
    for call in itertools.count(1):
        if not asyncio.run(run(call)):
            break


@then("it goes on with all programs or does not own the shard")
def step_all_or_none(context):
    assert len(context.outcomes) > 4, context.outcomes
    for outcome in context.outcomes:
        if isinstance(outcome, Recovered):
            turns = len(outcome.programs["a"].turns)
            assert turns == len(context.expected["a"][3]), turns
        else:
            assert isinstance(outcome, Fenced), outcome


@when("turns of a megabyte are kept while the service is unavailable")
def step_unavailable(context):
    class UnavailableKv(MemoryKv):
        async def create_unique(self, key, value):
            return Unavailable("away")

    async def run():
        shard = await recover_shard(context.kv, 2)
        shard.log.kv = UnavailableKv()
        megabytes = 0
        while not shard.log.is_full and megabytes < 100:
            turn = next_turn(shard.programs["a"], "x" * 1_000_000)
            shard.log.enqueue(turn)
            megabytes += 1
        shard.log.stop()
        return megabytes

    context.megabytes = asyncio.run(run())


@then("the log reports that it is full before {count:d} megabytes wait")
def step_full(context, count):
    assert 1 < context.megabytes < count, context.megabytes


@when("one of its values is damaged")
def step_damage(context):
    key = slot_key("east", 0, 7)
    skipped = encode_segment(Segment("x", 1, []))
    context.kv.items[key] = (skipped, context.kv.items[key][1])


@then("recovery by a new owner reports a broken log and writes nothing")
def step_broken(context):
    before = dict(context.kv.items)
    outcome = asyncio.run(recover(context.kv, "east", 0, 2, "owner-2"))
    assert isinstance(outcome, Broken), outcome
    assert context.kv.items == before


@given("a shard with an ended program, one just ended, and an ended parent")
def step_ended(context):
    context.kv = MemoryKv()
    context.records = [
        program_created("old"),
        ProgramEnded("old", 5.0),
        program_created("recent"),
        ProgramEnded("recent", time.time()),
        program_created("parent"),
        program_created("child", "parent"),
        ProgramEnded("parent", 5.0),
    ]


@when("programs that ended long ago are dropped and the log is compacted")
def step_drop_ended(context):
    async def run():
        shard = await recover_shard(context.kv, 1)
        await shard.keep(*context.records)
        assert drop_ended(shard) == 1
        assert await compact(shard, 0.0)
        shard.log.stop()

    asyncio.run(run())


@then("a new owner recovers the one just ended, the parent and its sub-agent")
def step_remaining(context):
    async def run():
        shard = await recover_shard(context.kv, 2)
        shard.log.stop()
        return sorted(shard.programs)

    assert asyncio.run(run()) == ["child", "parent", "recent"]
