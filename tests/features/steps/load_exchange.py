"""Steps about the exchange of load reports, in virtual time."""

import asyncio
import collections
import itertools
import math

import hypothesis
import msgspec
from behave import given, step, then, when
from hypothesis import strategies as st
from loguru import logger

from rattanmill_core import loop_seconds
from rattanmill_keeper import CachedPrefix, EndpointLoad
from rattanmill_keeper.loads import LoadCollector
from rattanmill_keeper.messages import ReportLoads, SharedLoads, codec
from rattanmill_keeper.prefixes import SharedPrefixes
from support.loads import (
    DOMAIN,
    Collector,
    FakeFrontEnd,
    LoadDomain,
    begin,
    pass_time,
    run_in,
)
from support.virtual import advance_clock, run_virtually

_MAX_AGE_SECONDS = 3.0
_MAX_PAIRS = 4000
# Histories with failures last some seconds of virtual time each.
_ORDERS = 200
_HISTORIES = 40


def _settings(examples):
    return hypothesis.settings(
        max_examples=examples,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def domain(context):
    return context.domain


def front_end(context, number):
    return domain(context).front_ends[number]


@given("a domain with {storages:d} storage instances and {count:d} front ends")
def step_domain(context, storages, count):
    context.log_lines = []
    sink = logger.add(
        lambda message: context.log_lines.append(message.record),
        level="INFO",
        format="{message}",
    )
    context.scenario_stack.callback(logger.remove, sink)
    begin(context, storages, count)


@given(
    "a domain with {storages:d} storage instances and {count:d} busy front ends"
)
def step_busy_domain(context, storages, count):
    step_domain(context, storages, count)
    domain(context).busy = set(range(count))
    pass_time(context, 1.0)


@step("{seconds:g} seconds pass")
def step_pass(context, seconds):
    pass_time(context, seconds)


@step('front end {number:d} receives a load of "{endpoint}"')
def step_receive(context, number, endpoint):
    async def receive():
        context.received_at = loop_seconds()
        front_end(context, number).receive_load(
            EndpointLoad(endpoint, 5, 2, 12, 2.5)
        )

    context.reporter = number
    context.endpoint = endpoint
    run_in(context, receive())


@then("within {seconds:g} seconds each other front end was told of it once")
def step_told(context, seconds):
    # Longer, so that a second time would be seen.
    pass_time(context, 2.0)
    for number, each in enumerate(domain(context).front_ends):
        if number == context.reporter:
            continue
        told = [
            (at, load)
            for at, load in each.heard
            if load.endpoint == context.endpoint
        ]
        assert len(told) == 1, (number, told)
        at, load = told[0]
        assert at - context.received_at <= seconds, at - context.received_at
        assert load.running == 5, load
        assert load.waiting == 2, load
        assert load.slots == 12, load
        assert load.slowdown == 2.5, load


@then("its age was right to {seconds:g} seconds")
def step_age(context, seconds):
    for each in domain(context).front_ends:
        for at, load in each.heard:
            if load.endpoint == context.endpoint:
                age = at - context.received_at
                assert age <= load.age_seconds <= age + seconds, (age, load)


@then("front end {number:d} was not told of it")
def step_not_told(context, number):
    assert not front_end(context, number).loads_of(context.endpoint)


@when("front end {number:d} has its first response {seconds:g} seconds later")
def step_first_response(context, number, seconds):
    pass_time(context, seconds)
    step_receive_other(context, number)
    pass_time(context, 1.0)
    context.number = number


def step_receive_other(context, number):
    async def receive():
        front_end(context, number).receive("another")

    run_in(context, receive())


@then('it was told of {count:d} loads of "{endpoint}"')
def step_told_count(context, count, endpoint):
    told = front_end(context, context.number).loads_of(endpoint)
    assert len(told) == count, told


@then(
    "front end {number:d} sent at most {count:d} load reports, all within"
    " {seconds:g} seconds"
)
def step_few_reports(context, number, count, seconds):
    reports = domain(context).reports(number)
    assert 1 <= len(reports) <= count, len(reports)
    assert reports[-1].at - context.received_at <= seconds, reports[-1].at


@then("front end {number:d} sent no load report")
def step_no_report_of(context, number):
    assert not domain(context).reports(number)


@when(
    "both front ends receive loads without a slowdown for {seconds:d} seconds"
)
def step_no_slowdown(context, seconds):
    async def receive():
        for _ in range(seconds * 10):
            for each in domain(context).front_ends:
                each.receive("engine", None)
            await asyncio.sleep(0.1)

    run_in(context, receive())


@when('both front ends send the prefix "{prefix}" to "{endpoint}"')
def step_both_prefix(context, prefix, endpoint):
    for each in domain(context).front_ends:
        each.exchange.record_prefix(endpoint, prefix)


@then("no load report was sent")
def step_no_report(context):
    assert not domain(context).reports()


@when("front end {number:d} sends no pings any more")
def step_no_pings(context, number):
    front_end(context, number).tasks[0].cancel()


@when("front end {number:d} is busy for {seconds:d} seconds")
def step_busy(context, number, seconds):
    domain(context).busy = {number}
    # Its first response comes within 0.1 seconds.
    pass_time(context, 0.2)
    context.silences = []

    async def watch():
        for _ in range(seconds * 100):
            await asyncio.sleep(0.01)
            silences = front_end(context, number).reach.domain_silence_seconds()
            context.silences.append(silences[DOMAIN])

    run_in(context, watch())


@then("its domain was never silent for more than {limit:g} seconds")
def step_not_silent(context, limit):
    assert max(context.silences) <= limit, max(context.silences)


@when("front end {number:d} receives loads of {count:d} endpoints")
def step_many_loads(context, number, count):
    """Each load is a millisecond newer than the one before."""

    async def receive():
        for at in range(count):
            age_seconds = (count - at) / 1000
            front_end(context, number).receive_load(
                EndpointLoad(f"e{number}-{at:03}", 1, 0, 4, 1.0, age_seconds)
            )

    context.count = count
    run_in(context, receive())


def _messages(context):
    return [
        message
        for sent in domain(context).reports()
        for message in (sent.request, sent.reply)
        if message is not None
    ]


@then("no message had more than {limit:d} loads")
def step_load_limit(context, limit):
    assert max(len(each.loads) for each in _messages(context)) <= limit


def _newest(context, number, limit):
    first = context.count - limit
    return {f"e{number}-{at:03}" for at in range(first, context.count)}


@then("front ends 0 and 1 have sent their {limit:d} newest loads")
def step_newest_sent(context, limit):
    for number in (0, 1):
        sent = [
            load.endpoint
            for report in domain(context).reports(number)
            for load in report.request.loads
        ]
        assert len(sent) == limit, len(sent)
        assert set(sent) == _newest(context, number, limit), sent


@then(
    "front end 2 was told of the {limit:d} newest loads of front end {number:d}"
)
def step_newest_told(context, limit, number):
    told = [load.endpoint for _, load in front_end(context, 2).heard]
    assert len(told) == limit, len(told)
    assert set(told) == _newest(context, number, limit), told


@given(
    "a message of {loads:d} loads and {prefixes:d} prefixes in each direction"
)
def step_large(context, loads, prefixes):
    names = [f"engine-east-{number:04}" for number in range(loads)]
    sent_loads = [EndpointLoad(n, 11, 123, 12, 1.37, 0.1234) for n in names]
    pairs = [CachedPrefix(n, "0123456789abcdef") for n in names[:prefixes]]
    run = "0123456789ab"
    context.messages = [
        ReportLoads(run, sent_loads, pairs, run, 10**6, 10**5, 1e5 / 3),
        SharedLoads(run, sent_loads, pairs, 10**6, 10**5, 1e5 / 3),
    ]


@then("each is encoded in at most {limit:d} bytes")
def step_size(context, limit):
    messages = codec()
    for message in context.messages:
        data = messages.encode(message)
        assert messages.decode(data) == message
        assert len(data) <= limit, len(data)


@when('front end {number:d} sends the prefix "{prefix}" to "{endpoint}"')
def step_prefix(context, number, prefix, endpoint):
    front_end(context, number).exchange.record_prefix(endpoint, prefix)


@then("no front end was told of a prefix")
def step_no_prefix(context):
    assert not any(each.prefixes for each in domain(context).front_ends)


@then('front end {number:d} was told of the prefix "{prefix}" at {names}')
def step_told_prefix(context, number, prefix, names):
    expected = [CachedPrefix(name, prefix) for name in names.split(", ")]
    told = [
        pair
        for pair in front_end(context, number).prefixes
        if pair.prefix == prefix
    ]
    assert sorted(told, key=msgspec.structs.astuple) == expected, told


@then("front ends 0 and 1 were told of no prefix")
def step_told_no_prefix(context):
    for number in (0, 1):
        told = front_end(context, number).prefixes
        assert not told, told


def _pairs(which, count):
    return [CachedPrefix(f"engine-{which}", f"p{n}") for n in range(count)]


@step("front ends 0 and 1 send {count:d} prefixes to an endpoint each")
def step_many_prefixes(context, count):
    context.pairs = [_pairs(which, count) for which in (0, 1)]
    for which, pairs in enumerate(context.pairs):
        for pair in pairs:
            front_end(context, which).exchange.record_prefix(
                pair.endpoint, pair.prefix
            )


@then("no message had more than {limit:d} prefixes")
def step_prefix_limit(context, limit):
    assert max(len(each.prefixes) for each in _messages(context)) == limit


def _assert_told(told, pairs):
    assert len(told) == len(set(told)), len(told)
    assert set(told) == set(pairs), set(pairs) ^ set(told)


@then("front end 2 was told of all {count:d} pairs once")
def step_all_pairs(context, count):
    pairs = list(itertools.chain(*context.pairs))
    assert len(pairs) == count
    _assert_told(front_end(context, 2).prefixes, pairs)


@then("front ends 0 and 1 were told of the {count:d} pairs of the other one")
def step_other_pairs(context, count):
    for which in (0, 1):
        other = context.pairs[1 - which]
        assert len(other) == count
        _assert_told(front_end(context, which).prefixes, other)


@given("a collector that was told of {count:d} shared pairs")
def step_shared_pairs(context, count):
    context.shared = SharedPrefixes(_MAX_PAIRS)
    context.shared_pairs = _add_shared(context, "old", count)


def _add_shared(context, name, count):
    """Reports prefixes by two front ends, which makes two pairs of each."""
    added = []
    for number, which in itertools.product(range(count // 2), ("f0", "f1")):
        pair = CachedPrefix(f"{name}-{which}", f"{name}-{number}")
        context.shared.add(pair, which)
        added.append(pair)
    return added


@when("a front end reports {count:d} prefixes of its own")
def step_single_pairs(context, count):
    for number in range(count):
        context.shared.add(CachedPrefix("engine", f"own-{number}"), "f0")


@when("front ends report {count:d} further shared pairs")
def step_further_pairs(context, count):
    context.shared_pairs += _add_shared(context, "new", count)


def _count_pairs(shared):
    single = sum(len(each.endpoints) for each in shared.single.values())
    assert single == shared.single_count
    pairs = [pair for pair, _ in shared.log.entries]
    assert set(pairs) == shared.log.known
    counts = collections.Counter(pair.prefix for pair in pairs)
    # Counters are equal whatever items without a count they have.
    assert dict(shared.shared) == dict(counts)
    return single + len(pairs), pairs


@then("the collector has {limit:d} pairs, all shared ones among them")
def step_shared_kept(context, limit):
    count, pairs = _count_pairs(context.shared)
    assert count == limit, count
    assert pairs == context.shared_pairs, len(pairs)


@then(
    "the collector has {limit:d} pairs, the newest {newest:d} shared ones among"
    " them"
)
def step_newest_shared(context, limit, newest):
    count, pairs = _count_pairs(context.shared)
    assert count == limit, count
    assert pairs == context.shared_pairs[-len(pairs) :]
    assert len(pairs) >= newest, len(pairs)
    # Pairs are read from the same positions as before.
    after = context.shared.log.dropped + 10
    read, position = context.shared.log.read(after, 5)
    assert read == pairs[10:15], read
    assert position == after + 5, position


@then("all front ends have the same collector")
def step_same_collector(context):
    chosen = {each.exchange.collector for each in domain(context).front_ends}
    assert len(chosen) == 1, chosen
    reported = {sent.member for sent in domain(context).reports()}
    assert reported == chosen, reported


@then("it is not the first one to read the store for others")
def step_not_reader(context):
    for each in domain(context).front_ends:
        readers = each.reach.members.readers()[DOMAIN]
        assert readers[0].name != each.exchange.collector


class Report(msgspec.Struct):
    """A report of a load, in seconds since the start.

    Attributes:
        front_end: Number of the front end.
        endpoint: Number of the endpoint.
        measured_at: When the front end received the load.
        waiting: How long it waited to be sent.
        under_way: How long each copy of the message was under way.
    """

    front_end: int
    endpoint: int
    measured_at: float
    waiting: float
    under_way: list[float]


_REPORTS = st.lists(
    st.builds(
        Report,
        st.integers(0, 2),
        st.integers(0, 2),
        st.integers(0, 400).map(lambda n: n / 100),
        st.integers(0, 25).map(lambda n: n / 100),
        st.lists(
            st.integers(0, 500).map(lambda n: n / 100), min_size=1, max_size=3
        ),
    ),
    max_size=25,
)


@then("a collector keeps the newest of any reports, and each age is right")
def step_any_order(context):
    @_settings(_ORDERS)
    @hypothesis.given(_REPORTS)
    def check(reports):
        run_virtually(_deliver(reports))

    check()


async def _deliver(reports):
    """Delivers reports in the order of their arrival and reads each change."""
    start = loop_seconds()
    board = LoadCollector("run")
    arrivals = [
        (report.measured_at + report.waiting + under_way, number, under_way)
        for number, report in enumerate(reports)
        for under_way in report.under_way
    ]
    newest, known, position = {}, {}, 0
    for arrives_at, number, under_way in sorted(arrivals):
        report = reports[number]
        advance_clock(start + arrives_at - loop_seconds())
        load = EndpointLoad(
            f"engine-{report.endpoint}", number, 0, 4, 1.0, report.waiting
        )
        # The front end knows the collector's clock from an earlier reply.
        sent_at = start + arrives_at - under_way
        board.answer(
            ReportLoads(
                f"f{report.front_end}", [load], [], "run", 0, 0, sent_at
            )
        )
        before = newest.get(load.endpoint, -math.inf)
        newest[load.endpoint] = max(before, report.measured_at)
        reply = board.answer(
            ReportLoads("reader", [], [], "run", position, 0, loop_seconds())
        )
        position = reply.load_position
        for told in reply.loads:
            measured_at = reports[told.running].measured_at
            age = arrives_at - measured_at
            assert abs(told.age_seconds - age) < 1e-6, (told, age)
            assert age <= _MAX_AGE_SECONDS + 1e-6, told
            # The same load may be told again.
            assert measured_at >= known.get(told.endpoint, -math.inf), told
            known[told.endpoint] = measured_at
        for endpoint, measured_at in newest.items():
            if arrives_at - measured_at < _MAX_AGE_SECONDS - 1e-6:
                assert known[endpoint] == measured_at, (endpoint, known)


_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 60).map(lambda n: n / 100),
        st.one_of(
            st.tuples(st.just("receive"), st.integers(0, 2), st.integers(0, 2)),
            st.tuples(st.just("freeze"), st.integers(0, 1)),
            st.tuples(st.just("thaw"), st.integers(0, 1)),
            st.tuples(st.just("restart"), st.integers(0, 1)),
            st.tuples(st.just("kill"), st.integers(0, 1)),
            st.tuples(st.just("cut"), st.integers(0, 2), st.integers(0, 1)),
            st.tuples(st.just("heal"), st.integers(0, 2), st.integers(0, 1)),
        ),
    ),
    max_size=40,
)
_MAX_DELAY_SECONDS = 0.02


@then(
    "no front end replaces a load by one that is older by a round trip, and all"
    " are told of the newest in the end"
)
def step_any_failures(context):
    @_settings(_HISTORIES)
    @hypothesis.given(_EVENTS, st.integers(0, 1000))
    def check(events, seed):
        run_virtually(_fail(events, seed))

    # Thousands of lines about changes of collectors.
    logger.disable("rattanmill_core")
    context.scenario_stack.callback(logger.enable, "rattanmill_core")
    check()


class Knowledge:
    """What front ends know of endpoints.

    Attributes:
        measured_at: Loop time of each load, by its ``running`` figure.
        known: Loop time of the load that each front end knows, by number of
            the front end and endpoint.
        faults: What went wrong.
    """

    def __init__(self, failing):
        self.failing = failing
        self.measured_at = {}
        self.known = {}
        self.faults = []
        for number, each in enumerate(failing.front_ends):
            each.exchange.on_loads = lambda loads, n=number: self.told(n, loads)

    def receive(self, front_end, endpoint):
        """Lets a front end receive a load."""
        number = len(self.measured_at)
        self.measured_at[number] = loop_seconds()
        self.known[front_end, endpoint] = loop_seconds()
        self.failing.front_ends[front_end].receive_load(
            EndpointLoad(endpoint, number, 0, 4, 1.0)
        )

    def told(self, front_end, loads):
        """Checks loads that a front end was told of."""
        for load in loads:
            if load.endpoint.startswith("own"):
                continue
            at = self.measured_at[load.running]
            before = self.known.get((front_end, load.endpoint), -math.inf)
            if at < before - 2 * _MAX_DELAY_SECONDS:
                self.faults.append(f"{before - at} s older than the known load")
            error = load.age_seconds - (loop_seconds() - at)
            # The first request to a collector is taken as if it took no time.
            if not -_MAX_DELAY_SECONDS <= error <= 4 * _MAX_DELAY_SECONDS:
                self.faults.append(f"age is {error} s too large")
            self.known[front_end, load.endpoint] = max(at, before)


async def _fail(events, seed):
    failing = LoadDomain(2, 3)
    failing.random.seed(seed)
    failing.max_delay_seconds = _MAX_DELAY_SECONDS
    failing.busy = {0, 1, 2}
    await asyncio.sleep(0.5)
    knowledge = Knowledge(failing)
    for pause, event in events:
        _apply(failing, knowledge, event)
        await asyncio.sleep(pause)
    await _settle(failing, knowledge)
    assert not knowledge.faults, knowledge.faults


async def _settle(failing, knowledge):
    """Ends all failures and checks that all are told of the newest loads."""
    failing.cuts.clear()
    for name in ("s0", "s1"):
        failing.collectors.setdefault(name, Collector()).thaw()
    await asyncio.sleep(3.0)
    for number in range(3):
        knowledge.receive(number, f"engine-{number}")
        await asyncio.sleep(0.07)
    await asyncio.sleep(0.5)
    for number, endpoint in itertools.product(range(3), range(3)):
        known = knowledge.known[number, f"engine-{endpoint}"]
        assert known == knowledge.known[endpoint, f"engine-{endpoint}"]


def _freeze_known(failing, name):
    """Freezes a collector to which no front end sends its first request.

    The age of loads in a first request that waits can't be known.
    """
    collector = failing.collectors.get(name)
    if collector and all(
        name in each.exchange.states
        and each.exchange.states[name].run == collector.run
        for each in failing.front_ends
    ):
        collector.is_frozen = True


def _apply(failing, knowledge, event):
    match event:
        case "receive", number, endpoint:
            knowledge.receive(number, f"engine-{endpoint}")
        case "cut", number, storage:
            failing.cuts.add((number, f"s{storage}"))
        case "heal", number, storage:
            failing.cuts.discard((number, f"s{storage}"))
        case "kill", storage:
            failing.collectors.pop(f"s{storage}", None)
        case "restart", storage:
            failing.collectors[f"s{storage}"] = Collector()
        case "freeze", storage:
            _freeze_known(failing, f"s{storage}")
        case "thaw", storage:
            if f"s{storage}" in failing.collectors:
                failing.collectors[f"s{storage}"].thaw()


def _first(context):
    return domain(context).order()[0]


@when("the collector freezes")
def step_freeze(context):
    context.order = domain(context).order()
    domain(context).collectors[_first(context)].is_frozen = True


@when("the collector is killed")
def step_kill(context):
    context.order = domain(context).order()
    del domain(context).collectors[_first(context)]


@when("the collector leaves")
def step_leave(context):
    context.order = domain(context).order()
    for each in domain(context).front_ends:
        known = each.reach.members.known
        member = known[context.order[0]]
        known[member.name] = msgspec.structs.replace(member, leaving=True)


def _changes(context):
    """Returns the logged changes of collectors."""
    return [
        record["extra"]["fields"]
        for record in context.log_lines
        if record["message"] == "load_collector"
    ]


@then(
    "each front end logged that the second storage instance is its collector"
    ' as the first is "{why}"'
)
def step_logged_change(context, why):
    first, second = context.order[:2]
    count = len(domain(context).front_ends)
    changes = _changes(context)
    # The first choice of each is logged, too.
    started = {"old": "", "new": first, "why": "available"}
    assert changes[:count] == [started] * count, changes
    changed = {"old": first, "new": second, "why": why}
    assert changes[count:] == [changed] * count, changes


@when(
    "the collector freezes just before front end {number:d} receives a load of"
    ' "{endpoint}"'
)
def step_freeze_before(context, number, endpoint):
    step_freeze(context)
    step_receive(context, number, endpoint)
    queue = domain(context).collectors[context.order[0]].queue
    for _ in range(60):
        pass_time(context, 0.005)
        if endpoint in _queued(queue):
            return
    raise AssertionError(_queued(queue))


def _queued(queue):
    """Returns the endpoints of the loads in queued requests."""
    messages = [codec().decode(data) for data in queue]
    return [
        load.endpoint
        for message in messages
        if isinstance(message, ReportLoads)
        for load in message.loads
    ]


@when('front end {number:d} receives another load of "{endpoint}"')
def step_receive_another(context, number, endpoint):
    async def receive():
        front_end(context, number).receive_load(
            EndpointLoad(endpoint, 6, 2, 12, 2.5)
        )

    context.reporter = number
    run_in(context, receive())


@then('each other front end was told of that load of "{endpoint}" last')
def step_told_last(context, endpoint):
    for number, each in enumerate(domain(context).front_ends):
        if number != context.reporter:
            told = [load.running for load in each.loads_of(endpoint)]
            assert told[-1:] == [6], (number, told)


@when("the collector goes on")
def step_thaw(context):
    async def thaw():
        domain(context).collectors[context.order[0]].thaw()

    run_in(context, thaw())


@then(
    "front end {number:d} was never told of a load of"
    ' "{endpoint}" that looked newer than it was'
)
def step_never_newer(context, number, endpoint):
    told = [
        (at, load)
        for at, load in front_end(context, number).heard
        if load.endpoint == endpoint
    ]
    assert told
    # The first request to a collector is taken as if it took no time.
    error = domain(context).max_delay_seconds
    for at, load in told:
        assert load.age_seconds >= at - context.received_at - error, (at, load)


@then("all front ends have the first storage instance as collector")
def step_back(context):
    for each in domain(context).front_ends:
        assert each.exchange.collector == context.order[0]


@when("the collector restarts")
def step_restart(context):
    domain(context).collectors[_first(context)].start()


@when("a new front end is started and {seconds:g} seconds pass")
def step_new_front_end(context, seconds):
    async def start():
        number = len(domain(context).front_ends)
        domain(context).front_ends.append(FakeFrontEnd(domain(context), number))
        domain(context).busy.add(number)

    run_in(context, start())
    pass_time(context, seconds)


@then("the new front end was told of all {count:d} pairs and 2 others")
def step_new_told(context, count):
    pairs = list(itertools.chain(*context.pairs))
    assert len(pairs) == count
    pairs += [CachedPrefix(name, "a") for name in ("engine-1", "engine-2")]
    _assert_told(front_end(context, -1).prefixes, pairs)


@when("all storage instances of the domain are killed")
def step_kill_all(context):
    context.order = domain(context).order()
    for name in context.order:
        del domain(context).collectors[name]
    context.sent_before = len(domain(context).reports())


@then("each front end logged that it has no collector")
def step_no_collector(context):
    lost = [change for change in _changes(context) if not change["new"]]
    assert len(lost) == len(domain(context).front_ends), lost
    assert {change["why"] for change in lost} == {"unresponsive"}, lost


@then(
    "at most {count:d} further load reports were sent, none to another domain"
)
def step_few_further(context, count):
    reports = domain(context).reports()
    further = len(reports) - context.sent_before
    assert further <= count, further
    assert "far" not in {sent.member for sent in reports}


@when("the storage instances are started again and {seconds:g} seconds pass")
def step_start_all(context, seconds):
    for name in context.order:
        domain(context).collectors[name] = Collector()
    pass_time(context, seconds)


@when("front ends 0 and 1 do not reach the collector")
def step_cut(context):
    domain(context).cuts |= {(n, _first(context)) for n in (0, 1)}


@when(
    "front ends 0 and 1 reach the collector again and {seconds:g} seconds pass"
)
def step_heal(context, seconds):
    domain(context).cuts.clear()
    pass_time(context, seconds)


@then("front ends 0 and 1 return to the collector while it has the older load")
def step_return(context):
    domain(context).cuts.clear()
    collector = domain(context).collectors[_first(context)]
    for _ in range(400):
        pass_time(context, 0.005)
        (load,) = [
            each.load
            for each in collector.board.loads.values()
            if each.load.endpoint == "engine"
        ]
        assert load.running == 5, load
        askers = {
            sent.front_end
            for sent in domain(context).sent[-50:]
            if sent.member == _first(context)
            and isinstance(sent.reply, SharedLoads)
        }
        if askers >= {0, 1}:
            return
    raise AssertionError(askers)


@then("front ends 0 and 1 were not told of the older load")
def step_not_older(context):
    told = [front_end(context, n).loads_of("engine") for n in (0, 1)]
    running = [[load.running for load in loads] for loads in told]
    assert running == [[], [6]], running


@then('front end {number:d} was told of "{one}" and not of "{other}"')
def step_told_one(context, number, one, other):
    assert len(front_end(context, number).loads_of(one)) == 1
    assert not front_end(context, number).loads_of(other)


@then("both front ends have counted the loads that they sent and received")
def step_counted(context):
    for number, each in enumerate(domain(context).front_ends):
        counts = each.metrics.counts
        sent = sum(
            len(report.request.loads)
            for report in domain(context).reports(number)
            if report.reply
        )
        name = "rattanmill_load_reports"
        assert counts[name, "sent"] == sent > 10, (counts, sent)
        assert counts[name, "received"] == len(each.heard) > 10, counts


@then("the ages that they have recorded are at most {seconds:g} seconds")
def step_ages(context, seconds):
    for each in domain(context).front_ends:
        ages = [
            age
            for name, age in each.metrics.observed
            if name == "rattanmill_load_age_seconds"
        ]
        assert len(ages) == len(each.batches), len(ages)
        assert max(ages) <= seconds, max(ages)
