"""Steps of tasks that must go on."""

import asyncio

from behave import then, when

from rattanmill_core import InvariantError, start_loop


async def fail():
    raise ValueError("a value that nobody thought of")


async def end():
    await asyncio.sleep(0)


def told_of(name, work, *, cancel=False):
    """Runs a task to its end; returns what the event loop was told."""
    told = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: told.append(found))
        task = start_loop(name, work)
        if cancel:
            task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0)

    asyncio.run(run())
    return [found["exception"] for found in told]


@when('the task of the "{name}" fails')
def step_fails(context, name):
    context.told = told_of(name, fail())


@when('the task of the "{name}" returns')
def step_returns(context, name):
    context.told = told_of(name, end())


@when('the task of the "{name}" is cancelled')
def step_cancelled(context, name):
    context.told = told_of(name, asyncio.sleep(3600), cancel=True)


@then("the event loop is told of {count:d} broken invariants")
def step_told(context, count):
    assert len(context.told) == count, context.told
    assert all(isinstance(e, InvariantError) for e in context.told)


@then('the message names the "{name}"')
def step_named(context, name):
    assert name in context.told[0].message, context.told
