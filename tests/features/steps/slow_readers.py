"""Steps about callers that read slowly."""

import asyncio
import contextlib
import json
import pathlib
import sys
import tempfile
import types

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import strategies as st
from rattanmill_site.settings import FRONT, load_settings

from rattanmill_core import Metrics
from rattanmill_forward import Limits
from rattanmill_forward.delivery import Delivery, HeldBytes, max_held_bytes
from support.slow_callers import (
    SlowCaller,
    SlowEndpoint,
    wait_for,
    wait_until_steady,
)
from support.slow_front import SlowFront

_LONG_MS = 60_000
_PAUSE_SECONDS = 0.1
# Requests that an endpoint gets at a time, so that its backlog holds them.
_BATCH = 25
_REFUSED_PATH = "/nowhere/"
_SETTINGS = (
    "node_name=f\nzone=east\nip=127.0.0.1\nport_range=1,2\n"
    "platform.address=127.0.0.1:1\nlisten_addrs.front=127.0.0.1:2\n"
    "listen_addrs.ready=127.0.0.1:3\n"
)


class _Scene:
    """A front end, its endpoint and callers, on an event loop of their own."""

    def __init__(self, context):
        self.runner = asyncio.Runner()
        context.scenario_stack.callback(self.runner.close)
        self.stack = contextlib.AsyncExitStack()
        context.scenario_stack.callback(lambda: self.run(self.stack.aclose()))
        self.endpoint = self.run(
            self.stack.enter_async_context(SlowEndpoint().run())
        )
        self.callers = []

    def run(self, work):
        return self.runner.run(work)

    def start(self, **options):
        self.front = SlowFront(self.endpoint.address, **options)
        self.run(self.stack.enter_async_context(self.front.run()))
        self.address = self.front.address

    async def ask(self, path, deadline_ms):
        caller = await SlowCaller.connect(self.address)
        self.stack.callback(caller.sock.close)
        caller.path = path
        await caller.send(path, deadline_ms)
        self.callers.append(caller)
        return caller

    async def ask_and_wait(self, path, count=1):
        for _ in range(count):
            await self.ask(path, _LONG_MS)
        await self.wait_until_steady()

    async def wait_until_steady(self):
        """Waits until each caller is stalled and no byte moves any more."""
        held = self.front.front_end.held
        await wait_for(
            lambda: len(held.stalled) + len(self.cut_off) == len(self.callers)
        )
        await wait_until_steady(self.progress)

    def progress(self):
        requests = self.endpoint.requests
        sent = sum(request.sent_bytes for request in requests)
        return len(requests), sent

    @property
    def cut_off(self):
        return self.front.events("caller_stalled")


async def _read_whole(caller):
    async with asyncio.timeout(_LONG_MS / 1000):
        await caller.read(until=lambda: caller.is_whole)
    assert caller.status == 200 and caller.is_whole, caller.end


@given("a front end")
def step_front(context):
    context.scene = _Scene(context)
    context.scene.start()


@given("a front end with {megabytes:d} MB of memory")
def step_front_memory(context, megabytes):
    context.scene = _Scene(context)
    context.scene.start(memory_bytes=megabytes * 1_000_000)


@given("a front end that closes idle connections after {seconds:g} s")
def step_front_idle(context, seconds):
    context.scene = _Scene(context)
    context.scene.start(limits=Limits(idle_timeout_seconds=seconds))


@when(
    'a caller asks for "{path}" with a deadline of {deadline_ms:d} ms and reads'
    " nothing"
)
def step_ask(context, path, deadline_ms):
    scene = context.scene
    context.caller = scene.run(scene.ask(path, deadline_ms))


@when(
    'a caller asks for "{path}" with a deadline of {deadline_ms:d} ms and reads'
    " all"
)
def step_ask_and_read(context, path, deadline_ms):
    step_ask(context, path, deadline_ms)
    context.scene.run(context.caller.read())


@when("no byte moves any more")
def step_steady(context):
    context.scene.run(context.scene.wait_until_steady())


@when("the caller reads on")
def step_read_on(context):
    context.scene.run(_read_whole(context.caller))


@when('{count:d} callers ask for "{path}" and read nothing')
def step_ask_many(context, count, path):
    context.scene.run(context.scene.ask_and_wait(path, count))


@when("the other callers read on")
def step_others_read(context):
    cut_off = {line["request"] for line in context.scene.cut_off}
    context.others = [
        each for each in context.scene.callers if each.request not in cut_off
    ]
    assert context.others

    async def read():
        await asyncio.gather(*map(_read_whole, context.others))

    context.scene.run(read())


@then("each of them gets a whole response")
def step_others_whole(context):
    scene = context.scene
    scene.run(
        wait_for(
            lambda: len(scene.front.events("answered")) == len(context.others)
        )
    )


@when("a caller sends requests that are refused and reads nothing")
def step_refused(context):
    scene = context.scene

    async def send():
        caller = await scene.ask(_REFUSED_PATH, _LONG_MS)
        with contextlib.suppress(OSError):
            while not scene.cut_off:
                await caller.send(_REFUSED_PATH, _LONG_MS)
                await asyncio.sleep(0)

    scene.run(asyncio.wait_for(send(), _LONG_MS / 1000))


@then('it is cut off as "{why}"')
def step_cut_off(context, why):
    scene = context.scene
    scene.run(wait_for(lambda: scene.cut_off))
    (line,) = scene.cut_off
    assert line["why"] == why and line["unread_bytes"] > 0, line
    counters = scene.front.metrics.counters
    assert "rattanmill_callers_stalled" in counters, counters


@then("at most {bound:d} bytes were held for it at any time")
def step_bound(context, bound):
    assert 0 < context.scene.front.peak_bytes <= bound, (
        context.scene.front.peak_bytes
    )


@then("no request, slot or endpoint connection is in use")
def step_free(context):
    scene = context.scene

    def is_free():
        return not (
            scene.front.front_end.active_requests
            or scene.front.slots_in_use()
            or scene.front.pool.active
            or scene.front.runner.server.connections
        )

    scene.run(wait_for(is_free))
    assert scene.front.front_end.held.total == 0


@then("the response of the caller is incomplete")
def step_incomplete(context):
    context.scene.run(context.caller.read())
    assert context.caller.end, context.caller
    assert not context.caller.is_whole
    assert not context.scene.front.events("answered")


@then("it gets a whole response of {size:d} bytes")
def step_whole(context, size):
    assert context.caller.body_bytes() == size, context.caller.body_bytes()
    scene = context.scene
    scene.run(wait_for(lambda: scene.front.events("answered")))


@then("nobody is cut off")
def step_nobody(context):
    assert not context.scene.cut_off, context.scene.cut_off


@then("the slot of the endpoint is free and the answer is not logged")
def step_slot_free(context):
    front = context.scene.front
    assert front.slots_in_use() == 0 and not front.pool.active
    assert front.front_end.active_requests == 1
    assert not front.events("answered")


@then("the endpoint could send less than {size:d} bytes")
def step_sent_less(context, size):
    (request,) = context.scene.endpoint.requests
    assert 0 < request.sent_bytes < size, request.sent_bytes


@then('its response is broken off with "{why}"')
def step_broken_off(context, why):
    (line,) = context.scene.front.events("broken_off")
    assert line["why"] == why, line
    assert not context.caller.is_whole


@then('only callers that asked for "{path}" are cut off, as "{why}"')
def step_only_largest(context, path, why):
    paths = {caller.request: caller.path for caller in context.scene.callers}
    assert context.scene.cut_off, context.scene.front.figures()
    for line in context.scene.cut_off:
        assert (paths[line["request"]], line["why"]) == (path, why), line


@then("the bytes held are within the bound")
def step_within(context):
    held = context.scene.front.front_end.held
    assert 0 < held.total <= held.max_bytes, held.total


class _FrontProcess:
    """A front end in a process of its own."""

    def __init__(self, scene, memory_bytes):
        self.scene = scene
        self.memory_bytes = memory_bytes

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "support.slow_front"),
            *(self.scene.endpoint.address, str(self.memory_bytes)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.scene.stack.push_async_callback(self.stop)
        self.scene.address = tuple(await self._read())

    async def stop(self):
        self.process.stdin.close()
        await self.process.wait()

    async def figures(self):
        self.process.stdin.write(b"\n")
        return await self._read()

    async def all_stalled(self, count):
        figures = await self.figures()
        return figures["stalled"] + len(figures["cut_off"]) == count

    async def _read(self):
        while line := await self.process.stdout.readline():
            if line.startswith((b"{", b"[")):
                return json.loads(line)
        raise AssertionError("the front end has ended")


@given("a front end process with {megabytes:d} MB of memory")
def step_front_process(context, megabytes):
    scene = context.scene = _Scene(context)
    context.process = _FrontProcess(scene, megabytes * 1_000_000)
    scene.run(context.process.start())


@when("{count:d} callers ask for {paths} and read nothing")
def step_ask_thousand(context, count, paths):
    scene = context.scene
    each = paths.split(" and ")

    async def ask():
        for number in range(count):
            await scene.ask(each[number % len(each)], _LONG_MS)
            if number % _BATCH == 0:
                await wait_for(
                    lambda: len(scene.endpoint.requests) == len(scene.callers)
                )
        async with asyncio.timeout(_LONG_MS / 1000):
            while not await context.process.all_stalled(count):  # noqa: ASYNC110
                await asyncio.sleep(_PAUSE_SECONDS)
        await wait_until_steady(scene.progress)

    scene.run(ask())


@then("another caller gets a whole response of {size:d} bytes")
def step_other(context, size):
    scene = context.scene

    async def ask():
        await _read_whole(await scene.ask(f"/stream/{size}", _LONG_MS))

    scene.run(ask())
    context.figures = scene.run(context.process.figures())


@then("at most {most:d} of the callers are cut off")
def step_few_cut(context, most):
    reasons = context.figures["cut_off"]
    assert len(reasons) <= most and set(reasons) <= {"memory"}, reasons
    requests = context.figures["requests"]
    assert requests == 1000 - len(reasons), context.figures


@then("the bytes held were always within the bound")
def step_peak_within(context):
    figures = context.figures
    assert figures["counted_bytes"] <= figures["max_held_bytes"], figures
    assert 0 < figures["peak_bytes"] <= figures["max_held_bytes"], figures


@then("the process never used more than its memory")
def step_memory(context):
    used = context.figures["peak_memory_bytes"]
    assert used <= context.process.memory_bytes, context.figures


@given('settings with "{line}"')
def step_settings(context, line):
    folder = context.scenario_stack.enter_context(tempfile.TemporaryDirectory())
    path = pathlib.Path(folder, "f.conf")
    path.write_text(_SETTINGS + line + "\n")
    context.settings = load_settings(str(path), FRONT)


@then("at most {size:d} bytes may be held for callers")
def step_max_held(context, size):
    assert max_held_bytes(context.settings.memory_bytes) == size


_BOUND_BYTES = 1000


@given("any sequence of stalled responses")
def step_sequence(context):
    # Number of the response and the bytes that it holds, or None for its end.
    context.sequences = st.lists(
        st.tuples(st.integers(0, 9), st.one_of(st.none(), st.integers(1, 700)))
    )


def _replay(steps, check):
    """Replays stalls; calls ``check`` with all that is held after each."""
    held = HeldBytes(_BOUND_BYTES)
    cut_off = []
    deliveries = {}

    def end_early(delivery):
        others = [each.held_bytes for each in held.stalled]
        cut_off.append((delivery.held_bytes, max(others, default=0)))
        Delivery.cut_off(delivery)

    for number, size in steps:
        delivery = deliveries.pop(number, None)
        if delivery:
            held.stalled.discard(delivery)
            delivery.__exit__()
        if size is not None:
            delivery = Delivery(held, None, None, Metrics)
            delivery.timer = types.SimpleNamespace(expired=lambda: True)
            delivery.cut_off = lambda each=delivery: end_early(each)
            deliveries[number] = delivery
            delivery.buffer(size)
            held.stalled.add(delivery)
            held.cut_off_largest()
        check(held, deliveries.values(), cut_off)


def _check_always(context, check):
    @given_values(context.sequences)
    def each(steps):
        _replay(steps, check)

    each()


@then("the count is always the sum of the responses that are held")
def step_sum(context):
    def check(held, deliveries, cut_off):
        assert held.total == sum(each.held_bytes for each in deliveries)

    _check_always(context, check)


@then("what is held is within the bound unless nothing is stalled")
def step_bound_kept(context):
    def check(held, deliveries, cut_off):
        assert held.total <= _BOUND_BYTES or not held.stalled

    _check_always(context, check)


@then("no response is cut off while a larger one is stalled")
def step_largest_first(context):
    def check(held, deliveries, cut_off):
        assert all(size >= largest for size, largest in cut_off), cut_off

    _check_always(context, check)
