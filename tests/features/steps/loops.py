"""Steps for background tasks that must not end."""

import asyncio

from behave import then, when

from rattanmill_core import InvariantError, start_loop


async def fail():
    raise ValueError("an unexpected value")


async def end():
    await asyncio.sleep(0)


def reported_by(name, work, *, cancel=False):
    """Runs a task to its end; returns the exceptions the loop received."""
    reported = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, error_context: reported.append(error_context)
        )
        task = start_loop(name, work)
        if cancel:
            task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)

    asyncio.run(run())
    return [error_context["exception"] for error_context in reported]


@when('the task "{name}" fails')
def step_fails(context, name):
    context.reported = reported_by(name, fail())


@when('the task "{name}" returns')
def step_returns(context, name):
    context.reported = reported_by(name, end())


@when('the task "{name}" is cancelled')
def step_cancelled(context, name):
    context.reported = reported_by(name, asyncio.sleep(3600), cancel=True)


@then("the event loop receives {count:d} broken invariants")
def step_reported(context, count):
    assert len(context.reported) == count, context.reported
    assert all(isinstance(e, InvariantError) for e in context.reported)


@then('the message names the "{name}"')
def step_named(context, name):
    assert name in context.reported[0].message, context.reported
