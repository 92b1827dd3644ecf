"""Steps about the owners of shards."""

import asyncio
import time
import types
import unittest.mock

from behave import given, then, when
from steps.state import (
    background,
    current_owners,
    kv_faults,
    other_in_domain,
    running_clients,
    shard_of,
    status,
)

from rattanmill_core import ConfigDocument, InvariantError, loop_seconds
from rattanmill_entry.failures import watch_tasks
from rattanmill_entry.gossip import Gossip
from rattanmill_entry.node import Node
from rattanmill_entry.ownership import Ownership
from rattanmill_platform import (
    InstanceLease,
    InstanceRecord,
    Unavailable,
    Written,
)
from support import wait_until
from support.virtual import advance_clock, run_virtually


def restart_at_end(context, instance):
    """Restarts an instance when the scenario ends, if it does not run."""

    def start():
        if not instance.process.alive:
            context.system.start_instance(instance)
            context.system.wait_ready()

    context.scenario_stack.callback(start)


@when("the owner is killed and restarted at once")
def step_restart(context):
    context.owner = context.system.owner_of(context.program)
    context.owner.process.kill()
    context.system.start_instance(context.owner)


@when(
    "all instances of failure domain {domain:d} are killed and one is restarted"
)
def step_all_killed(context, domain):
    instances = context.system.in_domain(domain)
    for instance in instances:
        instance.process.kill()
        restart_at_end(context, instance)
    context.system.start_instance(instances[-1])
    wait_until(lambda: status(instances[-1]), "it answers")


@when("the next owner is paused as soon as it has claimed the shard")
def step_pause_next_owner(context):
    dead_owner = context.owner.name
    place, number = shard_of(context.program).split(".")

    def find_next_owner():
        for instance in context.system.in_domain(0):
            shown = status(instance) if instance.process.alive else None
            if shown and shown["owners"][place][int(number)] != dead_owner:
                name = shown["owners"][place][int(number)]
                return context.system.instance(name)
        return None

    context.next_owner = wait_until(
        find_next_owner, "an instance claims the shard"
    )
    context.next_owner.process.pause()
    context.scenario_stack.callback(context.next_owner.process.resume)


@when("no responses are lost any more")
def step_no_loss(context):
    context.system.standins["kv"].faults(lose_answers=0)


@when(
    'turn {turn:d} "{text}" is sent through a running instance of another'
    " domain"
)
def step_turn_elsewhere(context, turn, text):
    context.answer = context.clients[-1].chat(text, context.program, turn)


@when("the paused instance is resumed")
def step_resume_next_owner(context):
    context.next_owner.process.resume()
    wait_until(
        lambda: (status(context.next_owner) or {}).get("lease") == "held",
        "the resumed instance has a lease",
    )


@given("programs in all shards of failure domain {domain:d}")
def step_programs(context, domain):
    context.programs = {}
    clients = [i.client for i in context.system.in_domain(domain)]
    for number in range(60):
        program = clients[number % len(clients)].create(workspace="leith")
        context.programs.setdefault(shard_of(program), program)
    assert len(context.programs) == 6, context.programs


@when(
    "an instance of failure domain {domain:d} is killed and its shards have"
    " moved"
)
def step_one_killed(context, domain):
    context.restarted = context.system.in_domain(domain)[0]
    context.restarted.process.kill()
    restart_at_end(context, context.restarted)
    context.system.wait_ready()


@when("it is restarted while turns are sent")
def step_start_under_load(context):
    context.answered = {program: [] for program in context.programs.values()}
    moved = []

    def send():
        for turn in range(1, 1000):
            for program, answers in context.answered.items():
                client = context.clients[-1]
                answers.append(client.chat(f"Line {turn}.", program, turn))
            if moved:
                return

    sender = background(context, send)
    context.system.start_instance(context.restarted)
    try:
        wait_until(
            lambda: (
                len((status(context.restarted) or {"shards": []})["shards"])
                >= 2
            ),
            "the new instance has its share",
        )
    finally:
        moved.append(True)
    sender.result()


@then("all turns were answered")
def step_all_answered(context):
    bad = [
        answer
        for answers in context.answered.values()
        for answer in answers
        if answer.status != 200
    ]
    assert not bad, bad[:3]


@then("each program shows all its turns")
def step_all_turns(context):
    for program, answers in context.answered.items():
        path = f"/v1/programs/{program}/history"
        shown = running_clients(context)[0].request("GET", path).json["turns"]
        numbers = [turn["turn"] for turn in shown]
        assert numbers == list(range(1, len(answers) + 1)), numbers


@when("the owner is shut down")
def step_stop_owner(context):
    context.owner = context.system.owner_of(context.program)
    context.owner.process.terminate()
    restart_at_end(context, context.owner)
    wait_until(
        lambda: (status(context.owner) or {}).get("draining"), "it drains"
    )


@then("the old owner exits by itself")
def step_ended(context):
    assert context.owner.process.wait(20) == 0
    assert "cut off" not in context.owner.process.tail()


@when("an instance that does not own the program is killed")
def step_other_killed(context):
    context.owner = context.system.owner_of(context.program)
    context.restarted = other_in_domain(context, context.owner)
    context.restarted.process.kill()
    restart_at_end(context, context.restarted)
    context.system.wait_ready()


@when("the owner alone is cut off from the service until its record is gone")
def step_cut_owner(context):
    host = context.owner.http.rsplit(":", 1)[0]
    kv_faults(context, cut_sources=[host])
    place = context.system.layout.domains[context.owner.domain]
    path = f"/kv/rm/live/instances/{place}/{context.owner.name}"
    kv = context.system.standins["kv"]
    wait_until(
        lambda: kv.request("GET", path).status == 404, "its record is gone"
    )


@when("the killed instance is restarted")
def step_start_killed(context):
    context.system.start_instance(context.restarted)
    wait_until(lambda: status(context.restarted), "it answers")


@when("{count:d} lease times pass")
def step_leases_pass(context, count):
    time.sleep(count * context.system.layout.lease_seconds)


@then("the old owner still owns the program")
def step_still_owns(context):
    names = current_owners(context, context.program)
    assert names == [context.owner.name], names
    assert status(context.owner)["lease"] == "outage", status(context.owner)
    client = context.clients[-1]
    answer = client.chat("Shorter.", context.program, 2)
    assert answer.status == 200, answer


@when("the service refuses all writes but renewals for {count:d} lease times")
def step_refuse_writes(context, count):
    kv_faults(context, refuse_match="/kv/")
    end = time.monotonic() + count * context.system.layout.lease_seconds
    turn = 2
    context.lost = []
    while time.monotonic() < end:
        context.clients[0].chat(f"Line {turn}.", context.program, turn)
        turn += 1
        context.lost += [
            shown
            for instance in context.system.instances
            if (shown := status(instance)) and shown["lease"] != "held"
        ]


@then("no instance has lost its lease")
def step_none_lost(context):
    names = [shown["name"] for shown in context.lost]
    assert not names, names


class _FakeKv:
    """A key-value service with a response time, and a switch for outages."""

    def __init__(self):
        self.seconds = 0.0
        self.is_unavailable = False

    async def _answer(self, value):
        await asyncio.sleep(self.seconds)
        return Unavailable("no response") if self.is_unavailable else value

    async def grant(self, seconds):
        return await self._answer("lease")

    async def renew(self, lease):
        return await self._answer(True)

    async def write(self, key, value, expect, lease=""):
        return await self._answer(Written(1))

    async def revoke(self, lease):
        pass


def run_lease(work):
    """Runs a lease in virtual time, also for its detection of pauses.

    On a busy machine, this process may be paused for longer than a lease.
    """
    clock = "rattanmill_platform.lease.boot_seconds"
    with unittest.mock.patch(clock, loop_seconds):
        return run_virtually(work)


@given("the lease of an instance that was paused and has a new lease")
def step_paused_lease(context):
    async def run():
        kv = _FakeKv()
        seen = []
        async with InstanceLease(kv, "key", b"record", 0.6) as lease:
            lease.confirm(lease.interruptions)
            seen.append(lease.holds())
            advance_clock(0.7)
            seen.append(lease.holds())
            while not lease.valid():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            seen.append(lease.holds())
            kv.is_unavailable = True
            lease.peers_known = 1
            while not lease.service_silent or lease.valid():
                lease.peer_heard = asyncio.get_running_loop().time()
                await asyncio.sleep(0.01)
            seen.append(lease.holds())
            kv.is_unavailable = False
            while not lease.valid():  # noqa: ASYNC110
                await asyncio.sleep(0.01)
            lease.confirm(lease.interruptions)
            seen.append(lease.holds())
        return seen

    context.seen = run_lease(run())


@when("the service becomes unavailable while heartbeats arrive")
def step_silent(context):
    assert context.seen[:2] == [True, False], context.seen


@then("the instance does not hold its shards")
def step_not_held(context):
    assert context.seen[2:4] == [False, False], context.seen


@when("the service is available and its ownership was confirmed")
def step_confirmed(context):
    assert len(context.seen) == 5


@then("the instance holds its shards")
def step_held(context):
    assert context.seen[4], context.seen


@given("the lease of an instance whose service takes {share:f} of its lease")
def step_slow_lease(context, share):
    context.share = share


@then("the instance holds its shards without a break for {count:d} lease times")
def step_no_break(context, count):
    async def run():
        kv = _FakeKv()
        async with InstanceLease(kv, "key", b"record", 1.0) as lease:
            lease.confirm(lease.interruptions)
            lease.peers_known = 1
            kv.seconds = context.share
            end = asyncio.get_running_loop().time() + count
            held = []
            while asyncio.get_running_loop().time() < end:
                await asyncio.sleep(0.02)
                lease.peer_heard = asyncio.get_running_loop().time()
                held.append(lease.holds())
        return held

    held = run_lease(run())
    assert all(held), (held.count(False), len(held))


class _Peer:
    """A link that accepts messages, or blocks forever if it is full."""

    def __init__(self, full):
        self.full = full
        self.sent = []
        self.heard = 0.0
        self.streams = {}

    async def send(self, message):
        if self.full:
            await asyncio.get_running_loop().create_future()
        self.sent.append(message)
        return True


def _record(name):
    return InstanceRecord(name, "east", "127.0.0.1:1", "", "", f"run-{name}")


def _node(names):
    """Returns a node with the parts that ownership and gossip use."""
    peers = {name: _Peer(full=name.startswith("dead")) for name in names}
    tasks = []
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(name="self", domain="east"),
        incarnation="run-self",
        addresses={name: _record(name) for name in names},
        suspects={},
        draining=False,
        config=ConfigDocument(),
        lease=types.SimpleNamespace(silence_seconds=1.0),
        hub=types.SimpleNamespace(
            peers=peers,
            peer=lambda name, address: peers[name],
            forget=lambda name: peers.pop(name),
        ),
        live=types.SimpleNamespace(synced=True, instances={}, shards={}),
        run_beside=lambda work: tasks.append(asyncio.ensure_future(work)),
        tasks=tasks,
    )


@given("an instance whose link to a dead instance is full")
def step_full_link(context):
    context.node = _node(["dead", "living"])
    # The dead instance gets its heartbeat first: its lease has expired.
    context.node.suspects = {"dead": 0.0}


@when("it sends a round of heartbeats")
def step_heartbeat_round(context):
    async def run():
        gossip = Gossip(context.node, None)
        partners = list(context.node.addresses.values())
        gossip._partners = lambda: partners
        beat = asyncio.ensure_future(gossip.beat())
        for _ in range(20):
            await asyncio.sleep(0)
        beat.cancel()
        for task in context.node.tasks:
            task.cancel()

    asyncio.run(run())


@then("the live instances get theirs while the full link still waits")
def step_live_get(context):
    peers = context.node.hub.peers
    assert not peers["dead"].sent
    assert len(peers["living"].sent) == 1, peers["living"].sent


@given("an instance whose view of the owners is invalid")
def step_invalid_view(context):
    context.view = types.SimpleNamespace(synced=True, shards=None)


@when("it reconciles its shards")
def step_reconcile(context):
    async def run():
        settings = types.SimpleNamespace(name="self", domain="east")
        node = Node(settings, "run-self")
        node.live = context.view
        node.metrics = types.SimpleNamespace(count=lambda *names, **labels: 0)
        watch_tasks(node)
        async with Ownership(node) as ownership:
            ownership.wake.set()
            await asyncio.wait_for(node.stop.wait(), 5)
        return node.broken

    context.failure = asyncio.run(run())


@then("it reports a broken invariant")
def step_invariant_reported(context):
    assert isinstance(context.failure, InvariantError), context.failure
