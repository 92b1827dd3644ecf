"""Steps about disks that lose power, with instances in this process."""

import asyncio
import concurrent.futures
import os
import pathlib
import tempfile
from unittest import mock

from behave import given, then, when
from steps.keeping_turns import continue_conversation, find_all, keep
from steps.site import send_turn, site, site_number

from rattanmill_core import wall_seconds
from rattanmill_keeper import KeptTurn
from rattanmill_keeper.messages import Keep
from support.keepers import begin
from support.keepers import run_in as network
from support.power import PowerLossDisk
from support.power_site import PowerSite


@given('storage instances "{names}" on disks that can lose power')
def step_instances(context, names):
    names = names.split(", ")
    durable = context.scenario_stack.enter_context(
        tempfile.TemporaryDirectory()
    )
    folder = context.scenario_stack.enter_context(tempfile.TemporaryDirectory())
    context.disks = {
        name: PowerLossDisk(
            pathlib.Path(folder, name), pathlib.Path(durable, name)
        )
        for name in names
    }
    for disk in context.disks.values():
        context.scenario_stack.enter_context(disk.watched())
    begin(context, names, folder=folder)
    context.turns = 0
    context.near = names


def restart(context, lost=()):
    """Ends all instances at once, and restarts them on what is durable."""

    async def restart_all(n):
        names = list(n.keepers)
        for name in names:
            await n.kill(name)
        for name in names:
            disk = context.disks[name]
            if name in lost:
                disk.lose_data()
            else:
                disk.lose_power()
        for name in names:
            await n.start(name)

    network(context, restart_all)


@when("all of them lose power and restart")
def step_lose_power(context):
    restart(context)


@when('"{name}" loses its disk, and all others lose power')
def step_lose_disk(context, name):
    restart(context, lost=[name])


@when("{count:d} turns of one program are kept")
def step_keep(context, count):
    continue_conversation(context, count)


@when('"{name}" keeps {size:d} MB of turns')
def step_keep_many(context, name, size):
    for number in range(size):
        keep(context, name, f"old-{number}", text=bytes(1_000_000))


@then('"{names}" have not lost their disks')
def step_not_lost(context, names):
    for name in names.split(", "):
        assert context.network.keepers[name].is_recovered, name


@then('"{name}" finds the {count:d} turns')
def step_find(context, name, count):
    assert context.turns == count
    find_all(context, name)


class UnsyncedExecutor(concurrent.futures.Executor):
    """A disk to which data is written, and whose syncs never end."""

    def submit(self, work, /, *args):
        """Writes and returns a future that is never done."""
        with mock.patch.object(os, "fdatasync"), mock.patch.object(os, "fsync"):
            work(*args)
        return concurrent.futures.Future()


@when('"{name}" is killed before it syncs a turn, and restarted')
def step_kill_unsynced(context, name):
    async def keep_unsynced(n):
        # The journal's first records are on disk by then.
        await n.pass_time(0.01)
        n.keepers[name].journal.executor = UnsyncedExecutor()
        turn = KeptTurn("unsynced", "", b"text", wall_seconds() + 60.0)
        keeping = asyncio.create_task(n.keepers[name].serve(Keep(turn)))
        await n.pass_time(0.01)
        assert not keeping.done()
        keeping.cancel()
        await n.kill(name)
        await n.start(name)

    network(context, keep_unsynced)
    assert "unsynced" in context.network.keepers[name].table.held


@then('"{name}" still has that turn after a power loss')
def step_still_has(context, name):
    restart(context)
    assert "unsynced" in context.network.keepers[name].table.held


@given("a system on the users' platform whose disks can lose power")
def step_site(context):
    number = site_number(context.feature.filename)
    context.feature_site = context.scenario_stack.enter_context(
        PowerSite(number)
    )


@given('{count:d} turns that "{domain}" has answered')
def step_answered(context, count, domain):
    context.whole = []
    for number in range(count):
        send_turn(context, domain, "one ", f"program-{number}")
        assert context.answer.status == 200, context.answer
        context.whole.append(context.request)


@when('all machines lose power, and "{domain}" its disk')
def step_lose_all(context, domain):
    site(context).lose_power(lost=domain)
