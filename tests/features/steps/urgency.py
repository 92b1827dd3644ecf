"""Steps about priorities of calls at engines."""

import asyncio
import contextlib
import random
import types

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from rattanmill_site.headers import HTTP_CODEC

from rattanmill_core import Metrics
from rattanmill_forward import Endpoint, Load, Service
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.exchange import ConnectFailed
from rattanmill_forward.jobs import Job
from rattanmill_forward.priorities import PriorityAssigner
from rattanmill_forward.routes import build_route_table
from rattanmill_forward.stats import PerformanceModel
from rattanmill_forward.turns import Reservation, TurnManager, has_begun
from rattanmill_forward.workspaces import Workspace
from rattanmill_keeper import Reserved
from rattanmill_policy.fairness import WorkspaceShares
from rattanmill_policy.urgency import Urgency, request_priority, urgency_of
from support.calls import make_call
from support.engine_queue import (
    Program,
    arrival_order,
    arrivals,
    make_table,
    priority_order,
    replay,
)
from support.virtual import run_virtually

_SEED = 1
_BURST_STARTS_AT = 10.0
_SECONDS = st.floats(-10, 100)
_URGENCIES = st.builds(
    urgency_of,
    st.booleans(),
    st.none() | _SECONDS,
    st.none() | st.floats(0.001, 10),
    st.floats(0, 20),
)
_EXAMPLES = settings(max_examples=200, deadline=None, derandomize=True)
_RANKS = st.integers(1, 15).flatmap(
    lambda count: st.tuples(
        st.integers(0, count - 1), st.integers(0, count - 1), st.just(count)
    )
)


@then(
    "for any two calls, the one of the more urgent route has no larger number"
)
def step_rank_first(context):
    @_EXAMPLES
    @given_values(_RANKS, _URGENCIES, _URGENCIES)
    def check(ranks, one, other):
        first, second, count = ranks
        first, second = sorted((first, second))
        if first == second:
            return
        urgent = request_priority(first, count, one)
        less = request_priority(second, count, other)
        assert urgent <= less
        # Up to ten ranks, no two share a number.
        assert urgent < less or count > 10

    check()


@then("every priority is from 0 to 9")
def step_range(context):
    @_EXAMPLES
    @given_values(_RANKS, _URGENCIES)
    def check(ranks, place):
        rank, _, count = ranks
        assert 0 <= request_priority(rank, count, place) <= 9

    check()


@then(
    "among programs that have begun and can be in time, less slack gives no"
    " larger number"
)
def step_slack(context):
    @_EXAMPLES
    @given_values(
        _RANKS, st.floats(0.001, 10), st.floats(0, 50), st.floats(0, 50)
    )
    def check(ranks, needed, one, other):
        rank, _, count = ranks
        less, more = (
            request_priority(
                rank, count, urgency_of(True, needed + slack, needed, 0.0)
            )
            for slack in sorted((one, other))
        )
        assert less <= more

    check()


@when(
    "a call of a {kind} program has {left} s left and needs {needed} s, with an"
    " excess of {excess:f} shares"
)
def step_standing(context, kind, left, needed, excess):
    left, needed = (
        None if text == "unknown" else float(text) for text in (left, needed)
    )
    context.place = urgency_of(kind == "begun", left, needed, excess)


@then('its place is "{place}"')
def step_place(context, place):
    assert context.place is Urgency[place], context.place


@given(
    "short urgent and long less urgent programs, {factor:d} times as many for"
    " {seconds:d} s"
)
def step_burst(context, factor, seconds):
    rng = random.Random(_SEED)
    end = _BURST_STARTS_AT + seconds

    def rate(mean):
        return lambda at: mean * (factor if _BURST_STARTS_AT <= at < end else 1)

    # Per engine of deployment A.
    kinds = [(0, 3, 42 / 22), (1, 7, 21 / 22)]
    context.programs = [
        Program(number, *kind)
        for number, kind in enumerate(
            (rank, turns, at)
            for rank, turns, mean in kinds
            for at in arrivals(rng, rate(mean), mean * factor, 30.0)
        )
    ]
    context.burst_end = end


@when("an engine admits their calls by {order}")
def step_admit(context, order):
    orders = {"priority": priority_order, "arrival": arrival_order}
    replay(context.programs, orders[order]())


def _urgent_on_time(context):
    urgent = [
        program.is_on_time
        for program in context.programs
        if program.route_priority == 0
        and _BURST_STARTS_AT <= program.started_at < context.burst_end
    ]
    return sum(urgent) / len(urgent)


@then(
    "at least {share:f} of the urgent programs of the burst are on time",
)
def step_on_time(context, share):
    assert _urgent_on_time(context) >= share, _urgent_on_time(context)


@then("less than {share:f} of the urgent programs of the burst are on time")
def step_late(context, share):
    assert _urgent_on_time(context) < share, _urgent_on_time(context)


@then("all programs end within {seconds:d} s of the burst")
def step_all_end(context, seconds):
    last = max(
        program.ended_at
        for program in context.programs
        if program.started_at < context.burst_end
    )
    assert last <= context.burst_end + seconds, last - context.burst_end


@given(
    "{count:d} workspaces, of which one sends {factor:d} times its usual load"
    " for {seconds:d} s"
)
def step_workspaces(context, count, factor, seconds):
    rng = random.Random(_SEED)
    mean = 1.2
    end = _BURST_STARTS_AT + seconds

    def rate(index):
        return lambda at: (
            mean
            * (factor if index == 0 and _BURST_STARTS_AT <= at < end else 1)
        )

    starts = [
        (at, Workspace(f"w{index}", 0.0, 0.0))
        for index in range(count)
        for at in arrivals(rng, rate(index), mean * factor, end)
    ]
    context.programs = [
        Program(number, 1, 3, at, workspace)
        for number, (at, workspace) in enumerate(starts)
    ]


def _others_on_time(context):
    others = [
        program.is_on_time
        for program in context.programs
        if program.workspace.name != "w0"
        and program.started_at >= _BURST_STARTS_AT
    ]
    return sum(others) / len(others)


@then("at least {share:f} of the other workspaces' programs are on time")
def step_others_on_time(context, share):
    assert _others_on_time(context) >= share, _others_on_time(context)


@then("less than {share:f} of the other workspaces' programs are on time")
def step_others_late(context, share):
    assert _others_on_time(context) < share, _others_on_time(context)


@when(
    "one program of a workspace has {turns:d} turns while others have one each"
)
def step_long_program(context, turns):
    context.assigner = PriorityAssigner()
    service = make_table((0, 1)).services["llm"]

    def serve(program, workspace):
        call = make_call(0, program=program)
        call.assign_workspace(Workspace(workspace, 0.0, 0.0))
        context.assigner.record_served(call, service, 0.3, 1.0)
        return call

    for number in range(5):
        serve(f"other-{number}", f"w{number}")
    context.calls = [serve("long", "long") for _ in range(turns)]


@when(
    "a workspace makes {count:d} calls to a service without priorities while"
    " others make one each"
)
def step_plain_calls(context, count):
    context.assigner = PriorityAssigner()
    names = [f"w{number}" for number in range(5)] + ["busy"] * count
    for number, name in enumerate(names):
        context.call = make_call(number)
        context.call.assign_workspace(Workspace(name, 0.0, 0.0))
        context.assigner.record_served(context.call, Service("plain"), 0.3, 1.0)


@then("its workspace has no excess at engines")
def step_no_excess_at_engines(context):
    assert context.assigner.excess(context.call, 1.0) == 0.0


@then("its workspace has no excess")
def step_no_excess(context):
    assert context.assigner.excess(context.calls[-1], 1.0) == 0.0
    # Its usage alone is far above the fair share.
    assert context.assigner.shares.excess("long", 1.0) > 1.0


class _Pool:
    """Connections to endpoints that can't be reached, and what was sent."""

    def __init__(self, pause_seconds):
        self.pause_seconds = pause_seconds
        self.headers = []

    async def send(self, endpoint, method, target, headers, *_, **__):
        self.headers.append(dict(headers))
        await asyncio.sleep(self.pause_seconds)
        return ConnectFailed("not listening")


@given('routes of the priorities "{priorities}" to {kind}')
def step_routes(context, priorities, kind):
    context.route_table = make_table(tuple(map(int, priorities.split(","))))
    if kind == "services":
        routes = [
            r for found in context.route_table.routes.values() for r in found
        ]
        context.route_table = build_route_table(
            1, routes, [Service("llm")], context.route_table.limits
        )


def _send(context, route_priority, pause_seconds, **fields):
    """Sends a call to two endpoints that can't be reached."""

    async def send():
        registry = EndpointRegistry()
        performance = PerformanceModel("east")
        slowdown = getattr(context, "slowdown", 1.0)
        for name in ("one", "two"):
            endpoint = Endpoint(name, "llm", "east", f"{name}:1", 8, False)
            registry.update(endpoint)
            performance.record_response(endpoint, Load(1, 0, 8, slowdown))
        pool = _Pool(pause_seconds)
        dispatcher = Dispatcher(
            registry,
            performance,
            pool,
            types.SimpleNamespace(refusal=lambda fingerprint, ran: None),
            DomainMonitor("east", dict, None),
            HTTP_CODEC,
            Metrics(),
        )
        now = asyncio.get_running_loop().time()
        route = context.route_table.match("a", f"/{route_priority}/")
        service = context.route_table.draw_service(route)
        call = make_call(1, arrived_at=now, **fields)
        job = Job(call, route, service, b"", now + 4.0)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(dispatcher.open_response(job))
        return [headers.get("X-Request-Priority") for headers in pool.headers]

    return run_virtually(send())


@given("the engines report no slowdown")
def step_no_slowdown(context):
    context.slowdown = None


@when("a call of the route of priority {priority:d} is sent")
def step_send(context, priority):
    context.sent = _send(context, priority, 0.0)[:1]


@when('a call with the last event "{last_event}" is sent')
def step_send_resumed(context, last_event):
    context.sent = _send(context, 0, 0.0, last_event_id=last_event)[:1]


@then('its priority at the endpoint is "{sent}"')
def step_sent(context, sent):
    assert context.sent == [None if sent == "none" else sent], context.sent


@when(
    "a call of a program with {left:f} s left is sent again after {pause:d} s"
)
def step_send_again(context, left, pause):
    context.sent = _send(
        context, 0, float(pause), program="p", program_seconds_left=left
    )


@then('its priorities are "{sent}"')
def step_sent_both(context, sent):
    assert context.sent == sent.split(", "), context.sent


@when(
    'a turn of a route that {stores} turns has the previous turn "{previous}"'
    " and {taken} of its budget is taken with its own {tokens:d} tokens"
)
@when(
    'a turn of a route that {stores} turns has the previous turn ""'
    " and {taken} of its budget is taken with its own {tokens:d} tokens"
)
def step_turn(context, stores, taken, tokens, previous=""):
    call = make_call(1, previous_turn_id=previous)
    route = types.SimpleNamespace(stores_turns=stores == "stores")
    taken = None if taken == "unknown" else int(taken)
    context.begun = has_begun(call, route, Reservation(tokens, taken))


@when(
    "a turn of {tokens:d} tokens reserves its budget and {taken:d} tokens are"
    " then taken, granted by {granted}"
)
def step_reserve(context, tokens, taken, granted):
    async def reserve(request):
        return Reserved(taken)

    alone = {"1": "k-1"} if granted == "one instance" else {}
    budgets = types.SimpleNamespace(
        reserve=reserve,
        granted_alone_by=alone,
        holders_of=lambda program: (),
    )
    turns = TurnManager(types.SimpleNamespace(budgets=budgets), Metrics())
    call = make_call(1, program="p", token_budget=100, max_output_tokens=tokens)
    route = make_table((0, 1)).match("a", "/0/")
    turn = run_virtually(turns.begin(call, route))
    assert turn.reserved_tokens == tokens, turn
    context.begun = turn.has_begun


@then('its program has begun: "{begun}"')
def step_begun(context, begun):
    expected = {"yes": True, "no": False, "unknown": None}[begun]
    assert context.begun is expected, context.begun


@when("{count:d} programs are served")
def step_serve(context, count):
    context.assigner = PriorityAssigner()
    service = make_table((0, 1)).services["llm"]
    context.calls = [make_call(n, program=f"p-{n}") for n in range(count)]
    for call in context.calls:
        context.assigner.record_served(call, service, 0.3, 1.0)


@then("the last {count:d} of them are known to have begun")
def step_known(context, count):
    known = [context.assigner.has_served(call) for call in context.calls]
    assert all(known[-count:]) and not any(known[:-count])


@when(
    "one of {count:d} workspaces uses {times:d} times the service of each other"
    " one"
)
def step_many_workspaces(context, count, times):
    context.shares = WorkspaceShares()
    context.now = 0.0
    rng = random.Random(1)
    weights = [times] + [1] * (count - 1)
    for _ in range(40 * count):
        context.now += 1.0 / count
        name = rng.choices(range(count), weights)[0]
        context.shares.charge(str(name), 1.0, context.now)


@then("it exceeds its fair share by more than {least:g} shares")
def step_exceeds(context, least):
    excess = context.shares.excess("0", context.now)
    assert excess > least, excess


@then("no other workspace exceeds its fair share by more than {most:g} shares")
def step_others_exceed(context, most):
    others = [name for name in context.shares.usage if name != "0"]
    largest = max(context.shares.excess(name, context.now) for name in others)
    assert largest <= most, largest
