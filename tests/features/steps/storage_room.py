"""Steps about the room that storage instances have for turns."""

import asyncio
import random
from unittest import mock

from behave import given, then, when
from steps.lookups import network

from rattanmill_core import MemoryBudget, wall_seconds
from rattanmill_keeper import KeptTurn, NoMemory, lookup
from rattanmill_keeper.capacity import Capacity, capacity_of

_MB = 1024 * 1024
_DISK_BYTES = 10 * _MB
_WRITE_COPIES = 4


def make_turn(number, text, chain="p"):
    previous = f"t{number - 1}" if number else ""
    expires = wall_seconds() + 60.0
    return KeptTurn(f"t{number}", previous, text, expires, chain)


@given("their memory holds no text of a turn")
@when("their memory holds no text of a turn")
def step_no_texts(context):
    for keeper in context.network.keepers.values():
        keeper.table.cache_bytes = 0
        keeper.table.texts.clear()
        keeper.table.cached_bytes = 0


@when("a conversation of {count:d} made-up turns is kept")
def step_keep(context, count):
    draw = random.Random(1)
    context.conversation = [
        make_turn(number, draw.randbytes(draw.randint(0, 5000)))
        for number in range(count)
    ]

    async def keep(n):
        front = n.front("a")
        for kept in context.conversation:
            assert (await front.turns.keep(kept)).is_replicated

    network(context, keep)


def read(context, name, held=None):
    """Reads the conversation through a new front end."""
    last = context.conversation[-1]
    return network(
        context, lambda n: n.front(name).turns.find(last.turn, "p", held)
    )


def check(context, found):
    texts = [kept.text for kept in reversed(found)]
    assert texts == [kept.text for kept in context.conversation]


@then('a new front end beside "{name}" reads the conversation as it was kept')
def step_reads(context, name):
    check(context, read(context, name))


@then("a new front end reads it in replies of 1, 1000 and 20000 bytes")
def step_pages(context):
    context.budget = MemoryBudget(_MB)
    for size in (1, 1000, 20000):
        context.held = context.budget.hold()
        with mock.patch.object(lookup, "_PAGE_BYTES", size):
            check(context, read(context, "a", context.held))


@then("it reserved twice the size of the texts for it")
def step_reserved(context):
    size = sum(len(kept.text) for kept in context.conversation)
    assert context.held.size == 2 * size, (context.held.size, size)


@then("with memory for half of it, it is refused and nothing stays reserved")
def step_no_memory(context):
    size = sum(len(kept.text) for kept in context.conversation)
    budget = MemoryBudget(size)
    with budget.hold() as held, mock.patch.object(lookup, "_PAGE_BYTES", 1000):
        assert isinstance(read(context, "a", held), NoMemory)
    assert budget.held_bytes == 0


def set_disks(context, names, used_bytes):
    for name in names.split(", "):
        keeper = context.network.keepers[name]
        keeper.capacity = Capacity(64 * _MB, _DISK_BYTES)
        keeper.journal.sizes[0] = used_bytes

    async def ping(n):
        front = n.front("a")
        for member in front.reach.members.known.values():
            await front.reach._ping(member)
        return front

    context.front = network(context, ping)


@when('the disks of "{names}" are full, and a front end has pinged all')
def step_full(context, names):
    set_disks(context, names, 0.8 * _DISK_BYTES)


@when('the disks of "{names}" have room, and a front end has pinged all')
def step_room(context, names):
    set_disks(context, names, 0)


def can_keep(context):
    async def ask(n):
        return context.front.turns.can_keep()

    return network(context, ask)


@then("it lets turns begin")
def step_begin(context):
    assert can_keep(context)


@then("it lets no turn begin")
def step_begin_none(context):
    assert not can_keep(context)


@then("a turn that ran before is kept nevertheless")
def step_kept(context):
    kept = make_turn(0, b"text")
    kept_by = network(context, lambda n: context.front.turns.keep(kept))
    assert kept_by.is_replicated


@given("each writes {size:d} bytes of texts at a time")
def step_bound_writes(context, size):
    context.written = []

    def bound(keeper):
        keeper.capacity = Capacity(size * _WRITE_COPIES)
        append = keeper._append

        async def record(kept):
            if isinstance(kept, KeptTurn):
                context.written.append(keeper.written_bytes)
                # Others come meanwhile.
                await asyncio.sleep(0.01)
            return await append(kept)

        keeper._append = record

    for keeper in context.network.keepers.values():
        bound(keeper)


@when("{count:d} turns of {size:d} bytes are kept at once")
def step_at_once(context, count, size):
    async def keep(n):
        front = n.front("a")
        deadline = asyncio.get_running_loop().time() + 20.0
        turns = [
            KeptTurn(f"t{number}", "", b"x" * size, wall_seconds() + 60.0, "p")
            for number in range(count)
        ]
        return await asyncio.gather(
            *(front.turns.keep(kept, deadline) for kept in turns)
        )

    context.kept_by = network(context, keep)


@then("each of them is on enough disks")
def step_enough(context):
    assert all(kept_by.is_replicated for kept_by in context.kept_by)


@then("no instance wrote more than {size:d} bytes of texts at a time")
def step_written(context, size):
    assert 0 < max(context.written) <= size, context.written


@given("a storage instance with {memory:d} MB and a disk of {disk:d} MB")
def step_capacity(context, memory, disk):
    context.capacity = capacity_of(memory * _MB, disk * _MB)


@when("it holds {turns:d} turns and {used:d} MB are on its disk")
def step_holds(context, turns, used):
    context.held = (turns, used * _MB)


@then("it is full: {full}, and keeps a text of 1 MB: {kept}")
def step_full_kept(context, full, kept):
    turns, used = context.held
    assert context.capacity.is_full(turns, used) == (full == "yes")
    assert context.capacity.has_disk_for(_MB, used) == (kept == "yes")
