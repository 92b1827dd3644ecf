"""Steps for long turns of the event loop."""

import asyncio
import time

from behave import then, when
from loguru import logger

from rattanmill_core import Metrics, MetricsServer, watch_turns
from rattanmill_core.lateness import TurnReport


def work(seconds):
    """Uses the processor for some seconds of its time."""
    end = time.process_time() + seconds
    while time.process_time() < end:
        pass


@when("a turn of the event loop is {how} for {seconds:d} second")
def step_long_turn(context, how, seconds):
    metrics = Metrics()
    lines = []

    async def hold_up():
        watch = asyncio.create_task(watch_turns(metrics))
        await asyncio.sleep(0)
        hold = {"at work": work, "blocked": time.sleep}[how]
        hold(seconds)
        # The late timer is due, and comes before this one.
        await asyncio.sleep(0.01)
        watch.cancel()

    sink = logger.add(lambda message: lines.append(message.record))
    try:
        asyncio.run(hold_up())
    finally:
        logger.remove(sink)
    context.held_up = [x for x in lines if x["message"] == "loop_held_up"]
    context.metrics = metrics


@then('one warning "loop_held_up" tells of one turn of {least:d} ms and more')
def step_warned(context, least):
    (line,) = context.held_up
    context.fields = line["extra"]["fields"]
    assert line["level"].name == "WARNING", line
    assert context.fields["count"] == 1, context.fields
    assert context.fields["longest_ms"] >= least, context.fields


@then("its processor time is {which} than {limit:d} ms")
def step_cpu(context, which, limit):
    is_more = context.fields["cpu_ms"] > limit
    assert is_more == (which == "more"), context.fields


@then("the metrics have a late timer")
def step_metric(context):
    durations = context.metrics.recorder.durations
    names = [name for name, _, _ in durations]
    assert names == ["rattanmill_loop_late_seconds"], durations


@when("timers are late by {late:d} ms, {count:d} times in {seconds:d} seconds")
def step_late(context, late, count, seconds):
    report = TurnReport()
    found = [
        report.record(late / 1000, 0.0, number * seconds / count)
        for number in range(count)
    ]
    context.reports = list(filter(None, found))


@then("they are reported {times:d} times, and {turns:d} turns in all")
def step_reported(context, times, turns):
    assert len(context.reports) == times, context.reports
    assert sum(r.count for r in context.reports) == turns, context.reports


@when("{count:d} requests are sent at once to the address of the metrics")
def step_together(context, count):
    async def ask():
        turns = 0

        async def take_turns():
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        async with MetricsServer("127.0.0.1", Metrics(), port=0) as server:
            address = server.server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            other = asyncio.create_task(take_turns())
            last = b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n" * (count - 1))
            writer.write(last)
            answers = await reader.read(-1)
            other.cancel()
            writer.close()
        return answers.count(b"HTTP/1.1 404"), turns

    context.answer_count, context.turn_count = asyncio.run(ask())


@then("all {count:d} are answered")
def step_all_answered(context, count):
    assert context.answer_count == count, context.answer_count


@then("others had their turn between any two of them")
def step_turns_between(context):
    assert context.turn_count >= context.answer_count, context.turn_count
