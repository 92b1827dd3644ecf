"""Steps about a shard's log, run in this process on a log in memory."""

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


async def own(kv, epoch, is_sure=lambda: True):
    """Returns the shard as a new owner finds it."""
    recovered = await recover(kv, "east", 0, epoch, f"owner-{epoch}")
    assert isinstance(recovered, Recovered), recovered
    log = ShardLog(kv, "east", 0, epoch, recovered, lambda: None, is_sure)
    return Shard("east", 0, epoch, recovered.programs, log)


def created(name, parent=""):
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


async def operate(shard, operation, name, number):
    """Does one thing to a program, as the daemon would."""
    program = shard.programs.get(name)
    if program is None:
        await shard.keep(created(name))
        return
    if program.ended is not None:
        return
    match operation:
        case "turn":
            await shard.keep(next_turn(program))
        case "reserve":
            most = program.spent + 50
            await shard.commit(BudgetReserved(name, most))
        case "act":
            key = f"key-{number}"
            await shard.keep(ActIntended(name, key, b"body", shard.epoch))
            if number % 2:
                await shard.keep(ActSettled(name, key, Ran.YES, 200, [], b"ok"))
        case "child":
            await shard.keep(created(f"{name}{number}", name))
        case "end":
            await shard.keep(ProgramEnded(name, 5.0))


def picture(shard):
    """Returns what the next owner must find of a shard's programs."""
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


async def build(operations):
    kv = MemoryKv()
    shard = await own(kv, 1)
    for name in _NAMES:
        await shard.keep(created(name))
    for number, (operation, name) in enumerate(operations):
        await operate(shard, operation, name, number)
    return kv, shard


def dies_at(call, after):
    """Returns a fault that ends the process at a call."""

    def fault(number, done):
        if (number == call and done is after) or number > call:
            raise Crash

    return fault


async def crash_in_compaction(operations, call, after):
    """Returns whether the compaction got as far as ``call``."""
    kv, shard = await build(operations)
    # A compaction before makes the log's start more than the beginning.
    assert await compact(shard, 0.0)
    await shard.keep(next_turn(shard.programs["a"]))
    expected = picture(shard)
    begun = kv.calls
    kv.fault = dies_at(begun + call, after)
    task = asyncio.create_task(compact(shard, 0.0))
    await asyncio.wait([task, shard.log.task], return_when="FIRST_COMPLETED")
    reached = not task.done() or task.exception() is not None
    task.cancel()
    shard.log.task.cancel()
    await asyncio.gather(task, shard.log.task, return_exceptions=True)
    kv.fault = lambda number, done: None
    found = await own(kv, 2)
    assert picture(found) == expected
    # The next owner's own compaction makes up for what was left.
    assert await compact(found, 0.0)
    left = [key for key in kv.items if key.startswith("rm/log/")]
    first = found.log.start.first
    assert min(left) == slot_key("east", 0, first), (left[:3], first)
    again = await own(kv, 3)
    assert picture(again) == expected
    found.log.stop()
    again.log.stop()
    return reached


@given("a shard whose programs did what hypothesis thought of")
def step_hypothesis(context):
    context.operations = _OPERATIONS


@when("its owner dies before or after any call of a compaction")
def step_crash_anywhere(context):
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


@then("each next owner finds all that was kept")
def step_found_all(context):
    assert context.steps > 50, context.steps


async def turns_in_compaction(operations, call):
    """Keeps a turn and a reservation before each call of a compaction."""
    kv, shard = await build(operations)
    kept = dict.fromkeys(shard.programs, 0)
    reserved = dict.fromkeys(shard.programs, 0)

    async def keep_turns():
        for name in itertools.cycle(_NAMES):
            program = shard.programs[name]
            if program.ended is None:
                most = program.spent + 100
                record = BudgetReserved(name, most)
                if isinstance(await shard.commit(record), Committed):
                    reserved[name] = most
                turn = next_turn(program)
                if isinstance(await shard.keep(turn), Committed):
                    kept[name] = turn.turn
            await asyncio.sleep(0)

    kv.fault = dies_at(kv.calls + call, True)
    turns = asyncio.create_task(keep_turns())
    task = asyncio.create_task(compact(shard, 0.0))
    await asyncio.wait([task, shard.log.task], return_when="FIRST_COMPLETED")
    reached = not task.done() or task.exception() is not None
    for ended in (task, turns, shard.log.task):
        ended.cancel()
    live = picture(shard)
    kv.fault = lambda number, done: None
    found = await own(kv, 2)
    for name, (_, spent, _reserved, history, *_rest) in picture(found).items():
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
        shard = await own(kv, 1)
        await shard.keep(created("a"))
        while shard.log.next_slot < count:
            await shard.keep(next_turn(shard.programs["a"]))
        shard.log.stop()
        return kv, picture(shard)

    context.kv, context.expected = asyncio.run(fill())


@then("a new owner finds them, reading at most {count:d} values at once")
def step_paged(context, count):
    context.kv.largest_range = 0
    context.calls_before = context.kv.calls
    context.slots = len(context.kv.items)

    async def read():
        shard = await own(context.kv, 2)
        shard.log.stop()
        return picture(shard)

    assert asyncio.run(read()) == context.expected
    assert context.kv.largest_range <= count, context.kv.largest_range


@then("it reads no slot twice")
def step_once(context):
    pages = -(-context.slots // 10)
    # The start, the pages, and the write that opens the epoch.
    calls = context.kv.calls - context.calls_before
    assert calls <= pages + 3, (calls, pages)


@when("its owner is paused, a new owner compacts the log, and it goes on")
def step_paused_owner(context):
    sure = True

    async def run():
        nonlocal sure
        old = await own(context.kv, 2, lambda: sure)
        sure = False
        new = await own(context.kv, 3)
        assert await compact(new, 0.0)
        assert new.log.start.first > old.log.next_slot
        context.old_fate = await old.keep(next_turn(old.programs["a"]))
        old.log.stop()
        new.log.stop()
        again = await own(context.kv, 4)
        context.turns_found = len(again.programs["a"].turns)
        context.turns_old = len(old.programs["a"].turns)
        again.log.stop()

    asyncio.run(run())


@then("the old owner's turn is not told as kept")
def step_not_kept(context):
    assert context.turns_found == context.turns_old - 1
    assert not isinstance(context.old_fate, Committed), context.old_fate


@when("its slot is taken and deleted before it can look")
def step_gone(context):
    class Kv(MemoryKv):
        async def create_unique(self, key, value):
            return Conflict(0)

    async def run():
        old = await own(context.kv, 2)
        gone = Kv()
        gone.items = copy.copy(context.kv.items)
        old.log.kv = gone
        context.old_fate = await old.keep(next_turn(old.programs["a"]))
        old.log.stop()

    asyncio.run(run())


@then("the old owner knows that it was replaced")
def step_knows(context):
    assert isinstance(context.old_fate, Fenced), context.old_fate


class OvertakenKv:
    """Lets another instance take the shard before a chosen call."""

    def __init__(self, kv, call):
        self.kv = kv
        self.call = call
        self.calls = 0
        self.breaker = kv.breaker
        self.overtaken = False

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls += 1
            if self.calls == self.call:
                self.overtaken = True
                other = await own(self.kv, 3)
                fate = await other.keep(next_turn(other.programs["a"]))
                assert isinstance(fate, Committed)
                other.log.stop()
            return await getattr(self.kv, name)(*arguments)

        return call


@when("a taker is overtaken before any of its calls")
def step_overtaken(context):
    async def run(call):
        kv = MemoryKv()
        kv.items = dict(context.kv.items)
        slow = OvertakenKv(kv, call)
        recovered = await recover(slow, "east", 0, 2, "taker")
        fate = recovered
        if isinstance(recovered, Recovered):
            log = ShardLog(slow, "east", 0, 2, recovered, lambda: None)
            taker = Shard("east", 0, 2, recovered.programs, log)
            fate = await taker.keep(next_turn(taker.programs["a"]))
            log.stop()
        if not slow.overtaken:
            return False
        again = await own(kv, 4)
        again.log.stop()
        context.fates.append((fate, len(again.programs["a"].turns)))
        return True

    context.fates = []
    for call in itertools.count(1):
        if not asyncio.run(run(call)):
            break


@then("it keeps nothing, and the other's turn is there")
def step_overtaken_nothing(context):
    before = len(context.expected["a"][3])
    assert len(context.fates) > 5, context.fates
    for fate, turns in context.fates:
        assert isinstance(fate, Fenced), context.fates
        assert turns == before + 1, context.fates


@when("turns of a megabyte are kept while the service is away")
def step_away(context):
    class Away(MemoryKv):
        async def create_unique(self, key, value):
            return Unavailable("away")

    async def run():
        shard = await own(context.kv, 2)
        shard.log.kv = Away()
        megabytes = 0
        while not shard.log.is_full and megabytes < 100:
            turn = next_turn(shard.programs["a"], "x" * 1_000_000)
            shard.log.enqueue(turn)
            megabytes += 1
        shard.log.stop()
        return megabytes

    context.megabytes = asyncio.run(run())


@then("the log says that it is full before {count:d} megabytes wait")
def step_full(context, count):
    assert 1 < context.megabytes < count, context.megabytes


@when("one of its values is damaged")
def step_damage(context):
    key = slot_key("east", 0, 7)
    skipped = encode_segment(Segment("x", 1, []))
    context.kv.items[key] = (skipped, context.kv.items[key][1])


@then("a new owner is told that the log is broken and writes nothing")
def step_broken(context):
    before = dict(context.kv.items)
    outcome = asyncio.run(recover(context.kv, "east", 0, 2, "owner-2"))
    assert isinstance(outcome, Broken), outcome
    assert context.kv.items == before


@given("a shard with an ended program, one just ended, and an ended parent")
def step_ended(context):
    context.kv = MemoryKv()
    context.records = [
        created("old"),
        ProgramEnded("old", 5.0),
        created("recent"),
        ProgramEnded("recent", time.time()),
        created("parent"),
        created("child", "parent"),
        ProgramEnded("parent", 5.0),
    ]


@when("what ended long ago is dropped and the log compacted")
def step_drop(context):
    async def run():
        shard = await own(context.kv, 1)
        await shard.keep(*context.records)
        assert drop_ended(shard) == 1
        assert await compact(shard, 0.0)
        shard.log.stop()

    asyncio.run(run())


@then("a new owner finds the one just ended, the parent and its sub-agent")
def step_left(context):
    async def run():
        shard = await own(context.kv, 2)
        shard.log.stop()
        return sorted(shard.programs)

    assert asyncio.run(run()) == ["child", "parent", "recent"]
