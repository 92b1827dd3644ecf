"""Steps that try to break how accounts are opened and lists are read."""

import asyncio
import itertools
import unittest.mock

import hypothesis
import msgspec
from behave import then, when
from hypothesis import strategies as st

from rattanmill_forward import domains
from rattanmill_keeper import Keeper, Member, Members, homes
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.members import PREFIX, Registration
from rattanmill_keeper.messages import Follow
from rattanmill_platform import Unavailable
from support import lapses
from support.keepers import run_in as network
from support.lapses import Phase
from support.memory import MemoryKv
from support.opening import OPERATIONS, play
from support.virtual import run_virtually

_NAMES = "abcdefghijkl"
_SEEDS = st.integers(0, 2**20)
_READ_SECONDS = 0.1
_PAUSE_SECONDS = 1.0
# Beyond two renewals.
_LAPSE_SECONDS = 6.0


def _settings(count):
    return hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )


@then(
    "in {count:d} stories of {instances:d} storage instances, {disks:d} of"
    " whose disks may be lost, one set of holders grants and all find it"
)
def step_stories(context, count, instances, disks):
    names = list(_NAMES[:instances])

    @hypothesis.given(OPERATIONS, _SEEDS)
    @_settings(count)
    def hold(operations, seed):
        story = play(names, operations, seed, disks)
        granted, found = run_virtually(story)
        assert len(granted) <= 1, granted
        assert len(found) == 1 and () not in found, (granted, found)
        assert found >= set(granted), (granted, found)

    hold()


def _go_on_without_store(n):
    """Lets openers take the others' word for the store's."""

    async def decide(keeper, home, contested):
        keeper.ledger.learn(home)
        consent = contested.consent
        return Consent(consent.missing, consent.having)

    for keeper in n.keepers.values():
        keeper._decide = lambda *how, keeper=keeper: decide(keeper, *how)


@then(
    "in stories of {instances:d} storage instances that go on without the"
    " store's word, two sets of holders grant"
)
def step_noticed(context, instances):
    names = list(_NAMES[:instances])
    operations = [("cut", (1, 2)), ("race", (0, 2, 2)), ("wait", 0.6)]
    granted, _ = run_virtually(
        play(names, operations, 1, prepare=_go_on_without_store)
    )
    assert len(granted) == 2, granted


@when('"{names}" have not heard of "{others}"')
def step_not_heard(context, names, others):
    for name, other in itertools.product(names.split(", "), others.split(", ")):
        members = context.network.members[name]
        members.known.pop(other, None)
        members.seen.pop(other, None)


@when('"{names}" are cut off from "{others}"')
def step_apart(context, names, others):
    pairs = itertools.product(names.split(", "), others.split(", "))
    context.network.cuts |= {frozenset(pair) for pair in pairs}


@when(
    '{count:d} turns of a new program run at "{name}", which is killed and not'
    " listed any more"
)
def step_gone(context, count, name):
    context.execute_steps(
        f'When a turn of a new program runs at "{name}"\n'
        f'And {count - 1} further turns run at "{name}"'
    )

    async def lapse(n):
        await n.kill(name)
        await n.lapse(name)

    network(context, lapse)


@when(
    '{count:d} turns of a new program run at "{name}", which is killed and not'
    " listed any more, and the store tells nothing"
)
def step_gone_untold(context, count, name):
    with unittest.mock.patch.object(context.network.kv, "list", _tell_nothing):
        step_gone(context, count, name)


async def _tell_nothing(prefix):
    return Unavailable("away")


_HALF = (0, 1)
_LAPSES = {
    "it opened with the store, and is killed": [
        Phase((0, 3), turns=(2,)),
        Phase((0, 3), dead=(2,), time="long"),
        Phase((0, 3), dead=(2,), turns=(0,)),
    ],
    "it is back, and has heard only one": [
        Phase(dead=(3,), time="long"),
        Phase(_HALF, dead=(3,), turns=(0,)),
        Phase(_HALF, time="short"),
        Phase(_HALF, turns=(2,)),
    ],
    "its renewals fail, and it does not know": [
        Phase(_HALF, refused=(3,), time="long"),
        Phase(_HALF, refused=(3,), turns=(0, 2)),
    ],
    "one is left out on each side": [
        Phase(_HALF, refused=(0, 3), time="long"),
        Phase(_HALF, refused=(0, 3), turns=(0, 2)),
    ],
}
_NEVER_SECONDS = float("inf")
_BROKEN = {
    "the store was read since": (Members, "unread", lambda members: {}),
    "all but one have told": (
        Keeper,
        "standing",
        lambda keeper: keeper.since_confirmed(),
    ),
    "two are confirmed for the store": (
        homes,
        "CONFIRMED_SECONDS",
        _NEVER_SECONDS,
    ),
    "none of all but one was left out": (
        homes,
        "PRESENT_SECONDS",
        _NEVER_SECONDS,
    ),
}


@then(
    "of {count:d} storage instances one set of holders grants in the story"
    ' "{story}"'
)
def step_lapse_story(context, count, story):
    context.story = list(_NAMES[:count]), _LAPSES[story]
    granted = run_virtually(lapses.play(*context.story))
    assert len(granted) <= 1, granted


@then('two sets do if "{rule}" does not hold')
def step_lapse_broken(context, rule):
    with unittest.mock.patch.object(*_BROKEN[rule]):
        granted = run_virtually(lapses.play(*context.story))
    assert len(granted) == 2, granted


@then(
    "in {count:d} stories of {instances:d} storage instances whose"
    " registrations lapse, one set of holders grants"
)
def step_lapse_stories(context, count, instances):
    names = list(_NAMES[:instances])

    @hypothesis.given(lapses.STORIES)
    @_settings(count)
    def hold(phases):
        granted = run_virtually(lapses.play(names, phases))
        assert len(granted) <= 1, granted

    hold()


def _kills():
    """Returns all stories in which one that may have opened it is killed."""
    four = range(4)
    ways = itertools.product(four[1:], four, four, four, ["none", "all"])
    return [
        [
            Phase((0, other), turns=(opener,)),
            Phase((0, other), dead=(dead,), time="long"),
            Phase((0, other), far, dead=(dead,), turns=(asked,)),
        ]
        for other, opener, dead, asked, far in ways
    ]


def _most_granting(stories):
    """Returns how many sets of holders grant at most in one of them."""
    names = list(_NAMES[:4])
    return max(len(run_virtually(lapses.play(names, s))) for s in stories)


@then("in each of these stories one set of holders grants")
def step_kills(context):
    assert _most_granting(_kills()) == 1


@then('two sets do in some of them if "{rule}" does not hold')
def step_kills_broken(context, rule):
    with unittest.mock.patch.object(*_BROKEN[rule]):
        assert _most_granting(_kills()) == 2


class LeaseKv(MemoryKv):
    """Has leases, which end when the test says so."""

    def __init__(self):
        super().__init__()
        self.leases = []

    async def grant(self, seconds):
        """Creates a lease."""
        self.leases = [f"lease-{self.revision}"]
        return self.leases[0]

    async def renew(self, lease):
        """Renews a lease, unless it has ended."""
        return lease in self.leases

    async def written(self):
        """Returns the one registration."""
        entry = (await self.read(PREFIX + "d")).entry
        return msgspec.json.decode(entry.value, type=Member)


async def _register_twice():
    kv = LeaseKv()
    lapses = []
    registration = Registration(kv, Member("d", "east", "d:1", "run"))
    registration.on_lapse = lambda: lapses.append(registration.member)
    async with registration:
        await asyncio.sleep(_PAUSE_SECONDS)
        before = await kv.written()
        kv.leases.clear()
        kv.put(PREFIX + "d", None)
        await asyncio.sleep(_LAPSE_SECONDS)
        after = await kv.written()
    assert lapses == [after], (lapses, after)
    return before, after


@when('"d" registers, its registration lapses and it registers anew')
def step_register_twice(context):
    context.registered = run_virtually(_register_twice())


@then('"d" has another id, and is counted by those who have heard of that')
def step_registered(context):
    before, after = context.registered
    assert before.epoch and before.epoch != after.epoch

    async def news(n):
        follow = Follow("d", "", 0, "run", after.epoch)
        found = []
        for member in (before, after):
            n.members["a"].known["d"] = member
            found.append((await n.keepers["a"].serve(follow)).is_counted)
        return found

    assert network(context, news) == [False, True]


@when('"{name}" is killed and starts again')
def step_restart(context, name):
    async def restart(n):
        await n.kill(name)
        await n.start(name)

    network(context, restart)


@when('"{name}" was emptied and is gone, and "{other}" starts again')
def step_emptied_and_gone(context, name, other):
    async def go(n):
        member = n.member(name)
        n.list_as(msgspec.structs.replace(member, leaving=True, emptied=True))
        await n.wipe(name)
        n.names.remove(name)
        for members in n.members.values():
            members._drop(name)
        assert name not in n.members[other].roster()
        n.keepers[other].sweep()
        await n.pass_time(_READ_SECONDS)
        await n.kill(other)
        await n.start(other)

    network(context, go)


@then('"{name}" does not count "{gone}"')
def step_not_counted(context, name, gone):
    async def counted(n):
        return n.members[name].roster(), n.members[name].unlisted()

    found = network(context, counted)
    assert all(gone not in names for names in found), found


class WatchedKv(MemoryKv):
    """Lets watches wait, and counts how often keys are listed."""

    asked = 0

    async def list(self, prefix):
        """Reads all keys under a prefix."""
        self.asked += 1
        return await super().list(prefix)

    async def watch(self, prefix, after, seconds):
        """Waits for changes."""
        until = asyncio.get_running_loop().time() + seconds
        events = await super().watch(prefix, after, seconds)
        while not events.changes:
            if asyncio.get_running_loop().time() > until:
                break
            await asyncio.sleep(_READ_SECONDS / 10)
            events = await super().watch(prefix, after, seconds)
        return events


class SlowListKv(MemoryKv):
    """Takes its time to list keys."""

    async def list(self, prefix):
        """Reads all keys under a prefix."""
        await asyncio.sleep(_READ_SECONDS)
        return await super().list(prefix)


async def _give_up_second():
    members = Members(SlowListKv())
    first, second, third = (
        asyncio.create_task(members.catch_up()) for _ in range(3)
    )
    await first
    await asyncio.sleep(_READ_SECONDS / 2)
    second.cancel()
    return await third


@when(
    "three look-ups wait for a reading of the list and the one that reads is"
    " given up"
)
def step_three(context):
    context.told = run_virtually(_give_up_second())


@then("the others know that the store has told")
def step_told(context):
    assert context.told


async def _tell_later():
    kv = WatchedKv()
    async with Members(kv) as early:
        await asyncio.sleep(_PAUSE_SECONDS)
        member = Member("new", "east", "east:1", "run")
        kv.put(PREFIX + "new", msgspec.json.encode(member))
        await asyncio.sleep(_PAUSE_SECONDS)
        assert "new" in early.known
        kv.put("other", b"")
        late = Members(kv)
        await late.catch_up()
        kv.asked = 0
        early.hear_of(late.changed)
        await asyncio.sleep(_PAUSE_SECONDS)
        return kv.asked


@when(
    '"b" hears of a change by its watch, other keys are written, and "a" reads'
    " the list"
)
def step_dated_later(context):
    context.asked = run_virtually(_tell_later())


@then('the answer of "a" does not make "b" read the list')
def step_not_asked(context):
    assert not context.asked, context.asked


@then("no domain was silent for as long as makes it suspect")
def step_not_suspect(context):
    longest = [max(silences.values()) for _, silences in context.found]
    late = [each for each in longest if each > domains._STORAGE_SECONDS]
    assert not late, (len(late), max(late))
