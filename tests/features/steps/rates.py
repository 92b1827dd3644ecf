"""Steps about rate limits over all front ends, in virtual time."""

import asyncio
import bisect
import collections
import random

from behave import given, then, when
from loguru import logger

from rattanmill_core import Metrics, RateBounds
from rattanmill_keeper import Member, Members, RateClient, RateLimit, Token
from rattanmill_keeper.borrowing import Allowance
from rattanmill_keeper.messages import Ping, Pong, TakeRate
from rattanmill_keeper.rates import RateLender
from rattanmill_keeper.reach import Reachability
from support.virtual import run_virtually

_BOUNDS = RateBounds(5.0, 0.1, 20.0)
_DOMAINS = ("east", "west", "north")
_STORAGE_PER_DOMAIN = 3
_FRONTS_PER_DOMAIN = 4
_WORKSPACES = {"small": 2.0, "middle": 12.0, "large": 60.0}
_HISTORY_SECONDS = 30.0
# Storage instances start before the callers come.
_LEAD_SECONDS = 6.0
_USUAL_LOAD = 0.62
_HOT_FACTOR = 7.5
_PING_SECONDS = 0.4
_PING_TIMEOUT_SECONDS = 0.15
_METRICS = Metrics()
_PROGRAM_REQUESTS = 12
_GREEDY_SPARE = 20
_PROGRAM_PAUSE_SECONDS = 0.12


class Net:
    """Which processes are up, cut off or slow.

    Attributes:
        down: Names of processes that do not run.
        cut: Failure domains that reach only themselves.
        slow: Seconds that each message of a process takes longer.
    """

    def __init__(self):
        self.down = set()
        self.cut = set()
        self.slow = {}

    def connects(self, domain, member):
        """Whether a process of a domain reaches a storage instance."""
        is_apart = domain != member.domain and (
            domain in self.cut or member.domain in self.cut
        )
        return member.name not in self.down and not is_apart


class SimulatedLink:
    """A link of one process to a storage instance."""

    def __init__(self, net, domain, member, lenders):
        self.net = net
        self.domain = domain
        self.member = member
        self.lenders = lenders
        self.failures = 0

    async def ask(self, message, seconds):
        """Returns the reply; None after the timeout."""
        try:
            async with asyncio.timeout(seconds):
                reply = await self._exchange(message)
        except TimeoutError:
            reply = None
        self.failures = 0 if reply is not None else self.failures + 1
        return reply

    async def _exchange(self, message):
        await self._pass_on()
        if isinstance(message, TakeRate):
            reply = await self.lenders[self.member.name].take(message)
        else:
            reply = Pong("run", 0, [])
        await self._pass_on()
        return reply

    async def _pass_on(self):
        if not self.net.connects(self.domain, self.member):
            await asyncio.sleep(3600)
        slow = self.net.slow.get(self.member.name, 0.0)
        await asyncio.sleep(0.0015 + slow)

    def is_heard(self, seconds):
        """Whether it replied lately."""
        return not self.failures


class SimulatedMembers(Members):
    """The storage instances as one process reaches them."""

    def __init__(self, net, domain, members, lenders):
        super().__init__(None)
        self.known = dict(members)
        self.simulated = {
            name: SimulatedLink(net, domain, member, lenders)
            for name, member in members.items()
        }

    def link(self, member):
        """Returns the link to a member."""
        return self.simulated[member.name]

    async def ping_all(self):
        """Keeps the state of all links up to date, as following does."""
        while True:
            await asyncio.gather(
                *(
                    link.ask(Ping(), _PING_TIMEOUT_SECONDS)
                    for link in self.simulated.values()
                )
            )
            await asyncio.sleep(_PING_SECONDS)


class Rules:
    """Rules that a scenario may break."""

    def __init__(self):
        self.client = RateClient
        self.lender = RateLender


class FullShareLender(RateLender):
    """Lends the whole rate, whomever it reaches."""

    def _share(self, workspace):
        return 1.0


class GreedyAllowance(Allowance):
    """Wants many tokens for requests to come."""

    def spare_wanted(self):
        """Returns more than are needed."""
        return _GREEDY_SPARE


class FullBucketLender(RateLender):
    """Begins with a full burst whenever it begins to lend."""

    def _new_bucket(self, request):
        bucket = super()._new_bucket(request)
        bucket.level = bucket.burst
        return bucket


class LastingAllowance(GreedyAllowance):
    """Uses tokens that have expired."""

    def pop(self):
        """Returns any token."""
        return self.tokens.popleft() if self.tokens else None


class GreedyClient(RateClient):
    """Wants many tokens for requests to come."""

    make_allowance = GreedyAllowance

    async def take(self, limit, program, is_continued):
        """Takes a token."""
        allowance = self.make_allowance(limit)
        self.allowances.setdefault(limit.workspace, allowance)
        return await super().take(limit, program, is_continued)


class LastingClient(GreedyClient):
    """Uses tokens that have expired."""

    make_allowance = LastingAllowance


class History:
    """One history of a system with its workspaces.

    Attributes:
        used: Times at which requests ran, by workspace.
        refused: Number of refused requests, by whether the program had begun.
        asked: Number of requests.
        begun: Number of programs that began.
        limits: Times and limits that were set, by workspace.
    """

    def __init__(self, seed, rules, load, is_calm, lower_at=None):
        self.draw = random.Random(seed)
        self.rules = rules
        self.load = load
        self.is_calm = is_calm
        self.lower_at = lower_at
        self.used = collections.defaultdict(list)
        self.refused = collections.Counter()
        self.asked = 0
        self.begun = 0
        self.version = 1
        self.rates = dict(_WORKSPACES)
        self.hot = None

    async def run(self):
        """Plays the history."""
        self.net = Net()
        self.members = {
            f"{domain}-{i}": Member(f"{domain}-{i}", domain, "", "run")
            for domain in _DOMAINS
            for i in range(_STORAGE_PER_DOMAIN)
        }
        self.lenders = {}
        self.tasks = []
        for name in self.members:
            self._start(name)
        fronts = [
            self._front(domain)
            for domain in _DOMAINS
            for _ in range(_FRONTS_PER_DOMAIN)
        ]
        await asyncio.sleep(_LEAD_SECONDS)
        self.tasks += [
            asyncio.create_task(self._callers(workspace, fronts))
            for workspace in self.rates
        ]
        if not self.is_calm:
            self.tasks.append(asyncio.create_task(self._disturb()))
        await asyncio.sleep(_HISTORY_SECONDS / 2)
        if self.lower_at:
            self.version += 1
            self.rates = {n: r * self.lower_at for n, r in self.rates.items()}
        await asyncio.sleep(_HISTORY_SECONDS / 2)
        for task in self.tasks:
            task.cancel()

    def _start(self, name):
        member = self.members[name]
        members = SimulatedMembers(
            self.net, member.domain, self.members, self.lenders
        )
        self.lenders[name] = self.rules.lender(
            name,
            member.domain,
            members,
            _BOUNDS,
        )
        self.tasks.append(asyncio.create_task(members.ping_all()))

    def _front(self, domain):
        members = SimulatedMembers(self.net, domain, self.members, self.lenders)
        return self.rules.client(Reachability(domain, members, _METRICS))

    async def _callers(self, workspace, fronts):
        number = 0
        while True:
            rate = self.rates[workspace] * self.load
            rate *= _HOT_FACTOR if self.hot == workspace else 1.0
            pause = self.draw.expovariate(rate / _PROGRAM_REQUESTS)
            await asyncio.sleep(min(pause, 2.0))
            if pause > 2.0:
                continue
            number += 1
            front = self.draw.choice(fronts)
            program = self._program(f"{workspace}{number}", workspace, front)
            self.tasks.append(asyncio.create_task(program))

    async def _program(self, program, workspace, front):
        """Sends the requests of a program; ends if one is refused thrice."""
        for number in range(_PROGRAM_REQUESTS):
            if not await self._request(program, workspace, front, number):
                return
            await asyncio.sleep(
                self.draw.uniform(0.5, 1.5) * _PROGRAM_PAUSE_SECONDS
            )

    async def _request(self, program, workspace, front, number):
        for _ in range(3):
            rate = self.rates[workspace]
            limit = RateLimit(workspace, rate, rate, self.version)
            self.asked += 1
            taken = await front.take(limit, program, False)
            if isinstance(taken, Token):
                now = asyncio.get_running_loop().time()
                self.used[workspace].append(now)
                self.begun += number == 0
                return True
            if number == 0:
                self.refused["new"] += 1
                return False
            await asyncio.sleep(0.2)
        self.refused["begun"] += 1
        return False

    async def _disturb(self):
        while True:
            await asyncio.sleep(self.draw.uniform(0.2, 2.0))
            kind = self.draw.choice(("cut", "kill", "all", "slow", "hot"))
            work = getattr(self, f"_{kind}")()
            self.tasks.append(asyncio.create_task(work))

    async def _cut(self):
        domain = self.draw.choice(_DOMAINS)
        if self.net.cut:
            return
        self.net.cut.add(domain)
        await asyncio.sleep(self.draw.uniform(2.0, 6.0))
        self.net.cut.discard(domain)

    async def _kill(self):
        name = self.draw.choice(sorted(self.members))
        if len(self.net.down) > 1:
            return
        self.net.down.add(name)
        await asyncio.sleep(self.draw.uniform(1.0, 4.0))
        self._start(name)
        self.net.down.discard(name)

    async def _all(self):
        if self.draw.random() < 0.7:
            return
        self.net.down.update(self.members)
        await asyncio.sleep(1.0)
        for name in self.members:
            self._start(name)
        self.net.down.clear()

    async def _slow(self):
        name = self.draw.choice(sorted(self.members))
        self.net.slow[name] = self.draw.uniform(0.01, 0.15)
        await asyncio.sleep(self.draw.uniform(1.0, 4.0))
        self.net.slow.pop(name, None)

    async def _hot(self):
        self.hot = self.draw.choice(sorted(self.rates))
        await asyncio.sleep(self.draw.uniform(2.0, 6.5))
        self.hot = None

    def worst_excess(self):
        """Returns by how much the fullest window exceeds the limit."""
        return max(
            self._excess(workspace, times)
            for workspace, times in self.used.items()
        )

    def _excess(self, workspace, times):
        rate = _WORKSPACES[workspace]
        limit = (rate * _BOUNDS.window_seconds + rate) * (1 + _BOUNDS.overage)
        limit += _BOUNDS.slack
        times = sorted(times)
        fullest = max(
            at + 1 - bisect.bisect_left(times, t - _BOUNDS.window_seconds)
            for at, t in enumerate(times)
        )
        return fullest - limit


def _histories(context, is_calm, load, lower_at=None):
    context.histories = [
        History(seed, context.rules, load, is_calm, lower_at)
        for seed in range(context.count)
    ]
    # Thousands of refusals are decided.
    logger.disable("rattanmill_core")
    context.scenario_stack.callback(logger.enable, "rattanmill_core")
    for history in context.histories:
        run_virtually(history.run())


@given(
    "{count:d} random histories of cuts, kills, slow machines and hot"
    " workspaces"
)
def step_random(context, count):
    context.count = count
    context.rules = Rules()
    context.play = lambda: _histories(context, False, _USUAL_LOAD)


@given("{count:d} calm histories of programs at {load:f} of the rate")
def step_calm(context, count, load):
    context.count = count
    context.rules = Rules()
    context.load = load
    context.play = lambda: _histories(context, True, load)


@given("front ends that borrow many tokens ahead")
def step_greedy(context):
    context.rules.client = GreedyClient


@given("front ends that borrow many tokens ahead, which do not expire")
def step_lasting(context):
    context.rules.client = LastingClient


@given("instances that lend the whole rate when cut off")
def step_whole(context):
    context.rules.lender = FullShareLender


@given("instances that begin to lend with a full burst")
def step_full(context):
    context.rules.lender = FullBucketLender


@when("the rate is halved in the middle of each")
def step_halve(context):
    context.play = lambda: _histories(context, True, context.load, 0.5)


def _worst(context):
    context.play()
    return max(history.worst_excess() for history in context.histories)


@then("no window of {seconds:d} seconds holds more than the limit")
def step_holds(context, seconds):
    worst = _worst(context)
    assert worst <= 0, worst


@then("some window of {seconds:d} seconds holds more than the limit")
def step_broken(context, seconds):
    worst = _worst(context)
    assert worst > 0, worst


@then("at most {percent:f} % of the requests are refused")
def step_refused(context, percent):
    context.play()
    asked = sum(h.asked for h in context.histories)
    refused = sum(h.refused.total() for h in context.histories)
    assert refused <= asked * percent / 100, (refused, asked)


@then("at least {percent:d} % of the rate is used")
def step_used(context, percent):
    context.play()
    used = sum(len(t) for h in context.histories for t in h.used.values())
    owed = sum(_WORKSPACES.values()) * _HISTORY_SECONDS * context.count
    assert used >= owed * percent / 100, (used, owed)


@then("at most {percent:d} % of the programs that have begun are refused later")
def step_midway(context, percent):
    begun = sum(h.begun for h in context.histories)
    refused = sum(h.refused["begun"] for h in context.histories)
    assert refused <= begun * percent / 100, (refused, begun)
