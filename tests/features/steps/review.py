"""Steps about concurrent opening of accounts and reading of member lists."""

import asyncio
import itertools

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from rattanmill_forward import domains
from rattanmill_keeper import Member, Members
from rattanmill_keeper.homes import Consent
from rattanmill_keeper.members import MEMBERS_PREFIX
from rattanmill_keeper.messages import Open
from rattanmill_keeper.openings import StoreOpenings
from support.keepers import run_in as network
from support.memory import MemoryKv
from support.opening import OPERATIONS, play
from support.stories import BUDGET, TOKENS
from support.virtual import run_virtually

_NAMES = "abcdefghijkl"
_SEEDS = st.integers(0, 2**20)
_READ_SECONDS = 0.1
_PAUSE_SECONDS = 1.0


def _settings(count):
    return hypothesis.settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )


@then(
    "in {count:d} runs of {instances:d} storage instances, {disks:d} of whose"
    " disks may be lost, one set of holders grants and all front ends find it"
)
def step_random_runs(context, count, instances, disks):
    names = list(_NAMES[:instances])

    # Hypothesis derives the examples from the source text of this function.
    @hypothesis.given(OPERATIONS, _SEEDS)
    @_settings(count)
    def hold(operations, seed):
        story = play(names, operations, seed, disks)
        granted, found = run_virtually(story)
        assert len(granted) <= 1, granted
        assert len(found) == 1 and () not in found, (granted, found)
        assert found >= set(granted), (granted, found)

    hold()


def _skip_store(n):
    """Makes opening instances skip the decision of the store."""

    async def decide(keeper, home, contested):
        keeper.ledger.add_home(home)
        consent = contested.consent
        return Consent(consent.missing, consent.with_share)

    for keeper in n.keepers.values():
        keeper._decide = lambda *how, keeper=keeper: decide(keeper, *how)


@then(
    "in a run of {instances:d} storage instances that do not wait for the"
    " store's decision, two sets of holders grant"
)
def step_noticed(context, instances):
    names = list(_NAMES[:instances])
    operations = [("cut", (1, 2)), ("race", (0, 2, 2)), ("wait", 0.6)]
    granted, _ = run_virtually(play(names, operations, 1, prepare=_skip_store))
    assert len(granted) == 2, granted


@when('"{names}" do not know of "{others}"')
def step_unknown(context, names, others):
    for name, other in itertools.product(names.split(", "), others.split(", ")):
        members = context.network.members[name]
        members.known.pop(other, None)
        members.last_seen.pop(other, None)


@when('"{names}" are partitioned from "{others}"')
def step_partition(context, names, others):
    pairs = itertools.product(names.split(", "), others.split(", "))
    context.network.cuts |= {frozenset(pair) for pair in pairs}


@when(
    '{count:d} turns of a new program run at "{name}", which is killed and no'
    " longer listed"
)
def step_killed_and_unlisted(context, count, name):
    context.execute_steps(
        f'When a turn of a new program runs at "{name}"\n'
        f'And {count - 1} further turns run at "{name}"'
    )

    async def lapse(n):
        await n.kill(name)
        n.lapse(name)

    network(context, lapse)


@when('"{name}" crashes and restarts')
def step_restart(context, name):
    async def restart(n):
        await n.kill(name)
        await n.start(name)

    network(context, restart)


@when('"{name}" was decommissioned and removed, and "{other}" restarts')
def step_decommissioned_and_removed(context, name, other):
    async def remove(n):
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

    network(context, remove)


@then('nothing is set aside for "{name}" when "{opener}" opens an account')
def step_nothing_set_aside(context, name, opener):
    async def open_account(n):
        return await n.keepers[opener].serve(Open("new", BUDGET, TOKENS))

    opened = network(context, open_account)
    assert name not in opened.place.sharers, opened


class SlowRegistration:
    """Holds what the store lists; its replies may come too late."""

    def __init__(self):
        self.listed = ()
        self.is_late = False

    async def publish(self, informed):
        """Writes the names, and returns once the store has replied."""
        self.listed = informed
        if self.is_late:
            await asyncio.sleep(_PAUSE_SECONDS)
        return True


async def _open_with_store(openings, names):
    """Returns whether an account may be opened with the store."""
    async with openings.announce(names, lambda: 1) as is_listed:
        return is_listed


@given('an instance whose registration lists "{names}"')
def step_listed(context, names):
    context.registration = SlowRegistration()
    context.openings = StoreOpenings()
    context.openings.publish = context.registration.publish
    assert run_virtually(_open_with_store(context.openings, names.split(", ")))


@when("the list is withdrawn without a reply in time")
def step_withdraw_late(context):
    context.registration.is_late = True
    run_virtually(context.openings.withdraw([1]))
    context.registration.is_late = False
    assert context.registration.listed == ()


@then(
    'an account that "{names}" consent to is opened once they are listed again'
)
def step_listed_again(context, names):
    wanted = names.split(", ")
    assert run_virtually(_open_with_store(context.openings, wanted))
    assert set(context.registration.listed) == set(wanted)


@then("the list is withdrawn once more when all have followed")
def step_withdrawn_again(context):
    run_virtually(context.openings.withdraw([1]))
    assert context.registration.listed == ()


@then('"{name}" does not include "{removed}" in its roster')
def step_not_in_roster(context, name, removed):
    async def roster_and_unlisted(n):
        return n.members[name].roster(), n.members[name].unlisted()

    found = network(context, roster_and_unlisted)
    assert all(removed not in names for names in found), found


class WatchedKv(MemoryKv):
    """Store whose watches wait, and which counts how often keys are listed."""

    list_calls = 0

    async def list(self, prefix):
        """Reads all keys under a prefix."""
        self.list_calls += 1
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
    """Store that is slow to list keys."""

    async def list(self, prefix):
        """Reads all keys under a prefix."""
        await asyncio.sleep(_READ_SECONDS)
        return await super().list(prefix)


async def _cancel_reader():
    members = Members(SlowListKv())
    first, second, third = (
        asyncio.create_task(members.catch_up()) for _ in range(3)
    )
    await first
    await asyncio.sleep(_READ_SECONDS / 2)
    second.cancel()
    return await third


@when(
    "three lookups wait for a read of the member list and the one that reads is"
    " cancelled"
)
def step_three_lookups(context):
    context.told = run_virtually(_cancel_reader())


@then("the others learn that the store has replied")
def step_store_replied(context):
    assert context.told


async def _read_list_later():
    kv = WatchedKv()
    async with Members(kv) as early:
        await asyncio.sleep(_PAUSE_SECONDS)
        member = Member("new", "east", "east:1", "run")
        kv.put(MEMBERS_PREFIX + "new", msgspec.json.encode(member))
        await asyncio.sleep(_PAUSE_SECONDS)
        assert "new" in early.known
        kv.put("other", b"")
        late = Members(kv)
        await late.catch_up()
        kv.list_calls = 0
        early.expect_revision(late.changed_revision)
        await asyncio.sleep(_PAUSE_SECONDS)
        return kv.list_calls


@when(
    '"b" receives a change by its watch, other keys are written, and "a" reads'
    " the list"
)
def step_later_revision(context):
    context.list_calls = run_virtually(_read_list_later())


@then('the reply of "a" does not make "b" read the list')
def step_list_not_read(context):
    assert not context.list_calls, context.list_calls


@then("no domain was silent for long enough to be suspected")
def step_not_suspect(context):
    longest = [max(silences.values()) for _, silences in context.found]
    late = [each for each in longest if each > domains._STORAGE_SILENCE_SECONDS]
    assert not late, (len(late), max(late))
