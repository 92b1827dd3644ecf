"""Steps about signs of life, in virtual time."""

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
_LOOK_SECONDS = 0.01
_WARM_SECONDS = 2.0
_SILENT_SECONDS = 0.4
_PLAYS = 50


class SignLink:
    """Answers signs of life while its instance can be reached."""

    def __init__(self, near):
        self.near = near
        self.is_there = True
        self.asked = 0
        self.failures = 0
        self.pongs = []
        self.board = CrashLog("run")

    async def ask(self, message, seconds):
        """Returns a sign of life, or None after the asker's time."""
        is_ping = isinstance(message, Ping)
        self.asked += is_ping
        await asyncio.sleep(random.uniform(*_DELAY_SECONDS))
        if self.is_there:
            if is_ping:
                self.pongs.append(asyncio.get_running_loop().time())
                return self.board.answer(message)
            if isinstance(message, Crashed):
                self.board.add(message.notes)
            return Done()
        await asyncio.sleep(seconds)
        return None


class SignMembers(Members):
    """Storage instances spread over failure domains."""

    def __init__(self, count, domains):
        super().__init__(MemoryKv())
        for number in range(count):
            name, domain = f"s{number}", f"d{number % domains}"
            self.known[name] = Member(name, domain, f"{name}:1", "run")
            self.links[name] = SignLink(domain)

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


class Watcher:
    """What a front believed, looked at again and again.

    Attributes:
        silences: Longest silence of each domain.
        away: When each instance was first taken for away.
    """

    def __init__(self, reach):
        self.reach = reach
        self.silences = collections.Counter()
        self.away = {}

    async def watch(self, seconds):
        """Looks for some seconds."""
        now = asyncio.get_running_loop().time
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(_LOOK_SECONDS)
            for domain, silence in self.reach.domain_silence_seconds().items():
                longest = max(self.silences[domain], silence)
                self.silences[domain] = longest
            for member in self.reach.members.known.values():
                if self.reach.is_unresponsive(member):
                    self.away.setdefault(member.name, now())

    async def until(self, domain, is_silent):
        """Returns once a domain has become silent, or was heard again."""
        for _ in range(1000):
            silence = self.reach.domain_silence_seconds()[domain]
            if (silence >= _SILENT_SECONDS) == is_silent:
                return
            await asyncio.sleep(_LOOK_SECONDS)
        raise AssertionError(domain)


async def send_for_ever(reach, context):
    """Sends requests, to a storage instance drawn for each."""
    rate = getattr(context, "rate", 0)
    while True:
        await asyncio.sleep(random.expovariate(rate or 1.0))
        if rate:
            member = random.choice(list(reach.members.known.values()))
            reach.spawn(reach.ask(member, Fetch("t"), 0.3, 0.06))


def play(context, seed, scene):
    """Plays a scene of a front that has asked for a while already."""

    async def run():
        random.seed(seed)
        members = SignMembers(*context.shape)
        reach = Reachability("d0", members, Metrics())
        members.rank_key = str(seed)
        pings = start_loop("pings", reach.ping_forever())
        load = start_loop("load", send_for_ever(reach, context))
        await asyncio.sleep(_WARM_SECONDS + random.random())
        for link in members.links.values():
            link.asked = 0
        found = await scene(Watcher(reach), members)
        pings.cancel()
        load.cancel()
        return found

    return run_virtually(run())


@given("a front and {count:d} storage instances in {domains:d} failure domains")
def step_front(context, count, domains):
    context.shape = count, domains


@when("it has asked for signs of life for {seconds:d} seconds")
def step_calm(context, seconds):
    async def scene(watcher, members):
        await watcher.watch(seconds)
        return watcher, sum(link.asked for link in members.links.values())

    context.seconds = seconds
    context.watcher, context.asked = play(context, 1, scene)


@then(
    "it asked at most {each:d} times a second and domain, and each other one at"
    " most twice a second"
)
def step_asked(context, each):
    count, domains = context.shape
    most = domains * each + (count - domains) * 2
    assert context.asked <= most * context.seconds * 1.02, context.asked


@then("it took no domain for silent and no storage instance for away")
def step_all_there(context):
    assert not context.watcher.away
    assert max(context.watcher.silences.values()) < _SILENT_SECONDS


@when("one of them dies, {plays:d} times at moments of its own")
def step_die(context, plays):
    async def scene(watcher, members):
        name = random.choice(list(members.links))
        members.links[name].is_there = False
        died_at = asyncio.get_running_loop().time()
        await watcher.watch(3.0)
        return watcher.away[name] - died_at, watcher.silences

    context.found = [play(context, seed, scene) for seed in range(plays)]


@then("it is taken for away within {seconds:g} seconds")
def step_away(context, seconds):
    assert max(took for took, _ in context.found) <= seconds, context.found


@then("no domain was taken for silent")
def step_none_silent(context):
    longest = [max(silences.values()) for _, silences in context.found]
    assert max(longest) < _SILENT_SECONDS, longest


@when("one domain is cut off, {plays:d} times at moments of its own")
def step_cut(context, plays):
    async def scene(watcher, members):
        cut = [link for link in members.links.values() if link.near == "d1"]
        now = asyncio.get_running_loop().time
        for link in cut:
            link.is_there = False
        cut_at = now()
        await watcher.until("d1", True)
        noticed = now() - cut_at
        await asyncio.sleep(2.0)
        for link in cut:
            link.is_there = True
        healed_at = now()
        await watcher.until("d1", False)
        return noticed, now() - healed_at

    context.found = [play(context, seed, scene) for seed in range(plays)]


@then("the domain has been silent for 0.4 seconds within {seconds:g} seconds")
def step_noticed(context, seconds):
    assert max(took for took, _ in context.found) <= seconds, context.found


@then("it is heard within {seconds:g} seconds of the end of the cut")
def step_heard(context, seconds):
    assert max(took for _, took in context.found) <= seconds, context.found


@then("it asked at most {most:d} times a second")
def step_asked_at_most(context, most):
    assert context.asked <= most * context.seconds, context.asked


@when("one of them dies and is needed {after:f} seconds later, {plays:d} times")
def step_needed(context, after, plays):
    async def scene(watcher, members):
        now = asyncio.get_running_loop().time
        # Among those that come last in the front's order.
        domain = random.choice(list(members.ranked()))
        member = random.choice(members.ranked()[domain][3:])
        members.links[member.name].is_there = False
        await asyncio.sleep(after)
        asked_at = now()
        said = await watcher.reach.ask(member, Fetch("t"), 0.4, 0.06)
        assert said is None
        took = now() - asked_at
        await watcher.watch(10.0)
        return took, watcher.silences, watcher.reach.is_unresponsive(member)

    found = [play(context, seed, scene) for seed in range(plays)]
    context.found = [(took, silences) for took, silences, _ in found]
    context.are_away = [is_unresponsive for *_, is_unresponsive in found]


@then("the request has got on within {most:f} seconds")
def step_got_on(context, most):
    assert max(took for took, _ in context.found) <= most, context.found


@then("it is still taken for away 10 seconds later")
def step_still_away(context):
    assert all(context.are_away), context.are_away


@when("the first of a domain freezes, {plays:d} times at moments of its own")
def step_first_freezes(context, plays):
    async def scene(watcher, members):
        name = random.choice(list(members.ranked().values()))[0].name
        members.links[name].is_there = False
        froze_at = asyncio.get_running_loop().time()
        await watcher.watch(3.0)
        return watcher.away[name] - froze_at, watcher.silences

    context.found = [play(context, seed, scene) for seed in range(plays)]


@when(
    "all but one of a domain are cut off, {plays:d} times at moments of its own"
)
def step_all_but_one(context, plays):
    async def scene(watcher, members):
        there = random.choice(list(members.ranked().values()))
        reached = random.choice(there)
        for member in there:
            members.links[member.name].is_there = member is reached
        await watcher.watch(5.0)
        return 0.0, watcher.silences

    context.found = [play(context, seed, scene) for seed in range(plays)]


@when(
    "it has asked for signs of life for {seconds:d} seconds beside {rate:d}"
    " requests a second"
)
def step_loaded(context, seconds, rate):
    async def scene(watcher, members):
        await watcher.watch(seconds)
        firsts = [there[0].name for there in members.ranked().values()]
        asked = sum(members.links[name].asked for name in firsts)
        pongs = [at for each in members.links.values() for at in each.pongs]
        return watcher, asked, sorted(pongs)

    context.rate = rate
    context.seconds = seconds
    context.watcher, context.asked, context.pongs = play(context, 1, scene)


@given("it sends {rate:d} requests a second")
def step_rate(context, rate):
    context.rate = rate


@then(
    "it asked the first of each domain at most {most:d} times a second together"
)
def step_asked_firsts(context, most):
    assert context.asked <= most * context.seconds, context.asked


@then("it was never without an answer to one for more than {most:f} seconds")
def step_news(context, most):
    gaps = [after - at for at, after in itertools.pairwise(context.pongs)]
    assert max(gaps) <= most, max(gaps)


@when("another front tells of a crash, {plays:d} times at moments of its own")
def step_tell(context, plays):
    async def scene(watcher, members):
        now = asyncio.get_running_loop().time
        heard = asyncio.Event()
        watcher.reach.crashes.on_notes = lambda notes: heard.set()
        others = SignMembers(*context.shape)
        others.links = members.links
        another = Reachability("d1", others, Metrics())
        told_at = now()
        another.publish_crashes([CrashNote(b"request", "engine", 0)])
        async with asyncio.timeout(10.0):
            await heard.wait()
        return now() - told_at

    context.found = [play(context, seed, scene) for seed in range(plays)]


@then("it has heard of the crash within {most:f} seconds")
def step_heard_of_crash(context, most):
    assert max(context.found) <= most, sorted(context.found)
