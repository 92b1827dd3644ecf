"""Steps about pings, in virtual time."""

import asyncio
import collections
import itertools
import random

from behave import given, then, when

from rattanmill_core import CrashNote, Metrics, start_loop
from rattanmill_keeper import Member, Members
from rattanmill_keeper.crashes import CrashLog
from rattanmill_keeper.messages import Crashed, Done, Fetch, Ping
from rattanmill_keeper.reach import Reachability
from support.memory import MemoryKv
from support.virtual import run_virtually

_DELAY_SECONDS = (0.001, 0.02)
_SAMPLE_SECONDS = 0.01
_WARM_UP_SECONDS = 2.0
_SILENT_SECONDS = 0.4
_RUNS = 50


class PingedLink:
    """The link to a storage instance, which replies while it is reachable."""

    def __init__(self, domain):
        self.domain = domain
        self.is_reachable = True
        self.pings = 0
        self.failures = 0
        self.pongs = []
        self.board = CrashLog("run")

    async def ask(self, message, seconds):
        """Returns the reply, or None after the timeout."""
        is_ping = isinstance(message, Ping)
        self.pings += is_ping
        await asyncio.sleep(random.uniform(*_DELAY_SECONDS))
        if self.is_reachable:
            if is_ping:
                self.pongs.append(asyncio.get_running_loop().time())
                return self.board.answer(message)
            if isinstance(message, Crashed):
                self.board.add(message.notes)
            return Done()
        await asyncio.sleep(seconds)
        return None


class PingedMembers(Members):
    """Storage instances in several failure domains."""

    def __init__(self, count, domains):
        super().__init__(MemoryKv())
        for number in range(count):
            name, domain = f"s{number}", f"d{number % domains}"
            self.known[name] = Member(name, domain, f"{name}:1", "run")
            self.links[name] = PingedLink(domain)

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


class Watcher:
    """Samples a front end's view of the storage instances.

    Attributes:
        silences: Longest silence of each domain in seconds.
        unresponsive_at: Loop time at which each instance was first considered
            unresponsive.
    """

    def __init__(self, reach):
        self.reach = reach
        self.silences = collections.Counter()
        self.unresponsive_at = {}

    async def watch(self, seconds):
        """Samples for some seconds."""
        now = asyncio.get_running_loop().time
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(_SAMPLE_SECONDS)
            for domain, silence in self.reach.domain_silence_seconds().items():
                longest = max(self.silences[domain], silence)
                self.silences[domain] = longest
            for member in self.reach.members.known.values():
                if self.reach.is_unresponsive(member):
                    self.unresponsive_at.setdefault(member.name, now())

    async def until(self, domain, is_silent):
        """Returns once a domain has become silent, or replies again."""
        for _ in range(1000):
            silence = self.reach.domain_silence_seconds()[domain]
            if (silence >= _SILENT_SECONDS) == is_silent:
                return
            await asyncio.sleep(_SAMPLE_SECONDS)
        raise AssertionError(domain)


async def send_forever(reach, context):
    """Sends requests, each to a random storage instance."""
    rate = getattr(context, "rate", 0)
    while True:
        await asyncio.sleep(random.expovariate(rate or 1.0))
        if rate:
            member = random.choice(list(reach.members.known.values()))
            reach.spawn(reach.ask(member, Fetch("t"), 0.3, 0.06))


def run_scene(context, seed, scene):
    """Runs a scene of a front end that has sent pings for a while already."""

    async def run():
        random.seed(seed)
        members = PingedMembers(*context.shape)
        reach = Reachability("d0", members, Metrics())
        members.rank_key = str(seed)
        pings = start_loop("pings", reach.ping_forever())
        load = start_loop("load", send_forever(reach, context))
        await asyncio.sleep(_WARM_UP_SECONDS + random.random())
        for link in members.links.values():
            link.pings = 0
        found = await scene(Watcher(reach), members)
        pings.cancel()
        load.cancel()
        return found

    return run_virtually(run())


@given(
    "a front end and {count:d} storage instances in {domains:d} failure domains"
)
def step_front(context, count, domains):
    context.shape = count, domains


@when("it has sent pings for {seconds:d} seconds")
def step_idle(context, seconds):
    async def scene(watcher, members):
        await watcher.watch(seconds)
        return watcher, sum(link.pings for link in members.links.values())

    context.seconds = seconds
    context.watcher, context.pings = run_scene(context, 1, scene)


@then(
    "it sent at most {each:d} pings a second and domain, and each other"
    " instance got at most two a second"
)
def step_ping_rate(context, each):
    count, domains = context.shape
    limit = domains * each + (count - domains) * 2
    assert context.pings <= limit * context.seconds * 1.02, context.pings


@then("it considered no domain silent and no storage instance unresponsive")
def step_none_suspected(context):
    assert not context.watcher.unresponsive_at
    assert max(context.watcher.silences.values()) < _SILENT_SECONDS


@when("one of them dies, {runs:d} times at random moments")
def step_die(context, runs):
    async def scene(watcher, members):
        name = random.choice(list(members.links))
        members.links[name].is_reachable = False
        died_at = asyncio.get_running_loop().time()
        await watcher.watch(3.0)
        return watcher.unresponsive_at[name] - died_at, watcher.silences

    context.found = [run_scene(context, seed, scene) for seed in range(runs)]


@then("it is considered unresponsive within {seconds:g} seconds")
def step_unresponsive(context, seconds):
    assert max(took for took, _ in context.found) <= seconds, context.found


@then("no domain was considered silent")
def step_none_silent(context):
    longest = [max(silences.values()) for _, silences in context.found]
    assert max(longest) < _SILENT_SECONDS, longest


@when("one domain is partitioned, {runs:d} times at random moments")
def step_partition(context, runs):
    async def scene(watcher, members):
        partitioned = [
            link for link in members.links.values() if link.domain == "d1"
        ]
        now = asyncio.get_running_loop().time
        for link in partitioned:
            link.is_reachable = False
        partitioned_at = now()
        await watcher.until("d1", True)
        noticed = now() - partitioned_at
        await asyncio.sleep(2.0)
        for link in partitioned:
            link.is_reachable = True
        healed_at = now()
        await watcher.until("d1", False)
        return noticed, now() - healed_at

    context.found = [run_scene(context, seed, scene) for seed in range(runs)]


@then("the domain has been silent for 0.4 seconds within {seconds:g} seconds")
def step_noticed(context, seconds):
    assert max(took for took, _ in context.found) <= seconds, context.found


@then("it replies within {seconds:g} seconds of the end of the partition")
def step_replies_again(context, seconds):
    assert max(took for _, took in context.found) <= seconds, context.found


@then("it sent at most {limit:d} pings a second")
def step_total_ping_rate(context, limit):
    assert context.pings <= limit * context.seconds, context.pings


@when("one of them dies and is needed {after:f} seconds later, {runs:d} times")
def step_needed(context, after, runs):
    async def scene(watcher, members):
        now = asyncio.get_running_loop().time
        # Among those that come last in the front end's order.
        domain = random.choice(list(members.ranked()))
        member = random.choice(members.ranked()[domain][3:])
        members.links[member.name].is_reachable = False
        await asyncio.sleep(after)
        requested_at = now()
        reply = await watcher.reach.ask(member, Fetch("t"), 0.4, 0.06)
        assert reply is None
        took = now() - requested_at
        await watcher.watch(10.0)
        return took, watcher.silences, watcher.reach.is_unresponsive(member)

    found = [run_scene(context, seed, scene) for seed in range(runs)]
    context.found = [(took, silences) for took, silences, _ in found]
    context.are_unresponsive = [
        is_unresponsive for *_, is_unresponsive in found
    ]


@then("the request was given up within {limit:f} seconds")
def step_given_up(context, limit):
    assert max(took for took, _ in context.found) <= limit, context.found


@then("it is still considered unresponsive 10 seconds later")
def step_still_unresponsive(context):
    assert all(context.are_unresponsive), context.are_unresponsive


@when("the first of a domain freezes, {runs:d} times at random moments")
def step_first_freezes(context, runs):
    async def scene(watcher, members):
        name = random.choice(list(members.ranked().values()))[0].name
        members.links[name].is_reachable = False
        froze_at = asyncio.get_running_loop().time()
        await watcher.watch(3.0)
        return watcher.unresponsive_at[name] - froze_at, watcher.silences

    context.found = [run_scene(context, seed, scene) for seed in range(runs)]


@when(
    "all but one of a domain are partitioned, {runs:d} times at random moments"
)
def step_all_but_one(context, runs):
    async def scene(watcher, members):
        domain_members = random.choice(list(members.ranked().values()))
        reached = random.choice(domain_members)
        for member in domain_members:
            members.links[member.name].is_reachable = member is reached
        await watcher.watch(5.0)
        return 0.0, watcher.silences

    context.found = [run_scene(context, seed, scene) for seed in range(runs)]


@when(
    "it has sent pings for {seconds:d} seconds beside {rate:d} requests a"
    " second"
)
def step_loaded(context, seconds, rate):
    async def scene(watcher, members):
        await watcher.watch(seconds)
        firsts = [
            domain_members[0].name
            for domain_members in members.ranked().values()
        ]
        pings = sum(members.links[name].pings for name in firsts)
        pongs = [at for each in members.links.values() for at in each.pongs]
        return watcher, pings, sorted(pongs)

    context.rate = rate
    context.seconds = seconds
    context.watcher, context.pings, context.pongs = run_scene(context, 1, scene)


@given("it sends {rate:d} requests a second")
def step_rate(context, rate):
    context.rate = rate


@then(
    "it pinged the first of each domain at most {limit:d} times a second in"
    " total"
)
def step_first_ping_rate(context, limit):
    assert context.pings <= limit * context.seconds, context.pings


@then("it was never without a pong for more than {limit:f} seconds")
def step_pong_gaps(context, limit):
    gaps = [after - at for at, after in itertools.pairwise(context.pongs)]
    assert max(gaps) <= limit, max(gaps)


@when("another front end reports a crash, {runs:d} times at random moments")
def step_report_crash(context, runs):
    async def scene(watcher, members):
        now = asyncio.get_running_loop().time
        received = asyncio.Event()
        watcher.reach.crashes.on_notes = lambda notes: received.set()
        others = PingedMembers(*context.shape)
        others.links = members.links
        another = Reachability("d1", others, Metrics())
        reported_at = now()
        another.publish_crashes([CrashNote(b"request", "engine", 0)])
        async with asyncio.timeout(10.0):
            await received.wait()
        return now() - reported_at

    context.found = [run_scene(context, seed, scene) for seed in range(runs)]


@then("it has received the crash within {limit:f} seconds")
def step_received_crash(context, limit):
    assert max(context.found) <= limit, sorted(context.found)
