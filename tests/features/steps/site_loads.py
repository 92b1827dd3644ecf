"""Steps about the exchange of loads through real storage instances.

The front ends of these steps are clients of the storage instances in this
process, without calls of callers. The system's own front ends run beside them.
"""

import asyncio
import contextlib

import aiohttp
from behave import step, then, when
from rattanmill_site.store import SiteStore
from steps.site import site

from rattanmill_core import Metrics, start_loop
from rattanmill_keeper import EndpointLoad, KeeperClient, Members
from rattanmill_keeper.messages import ReportLoads, SharedLoads
from rattanmill_platform import StoreCalls
from rattanmill_platform.sessions import session_sender

_TIMEOUT_SECONDS = 30.0
_RESPONSE_SECONDS = 0.1
_ERRORS = ("task_failed", "message_undecodable")


class ConnectedFrontEnd:
    """A front end's client of the storage instances.

    Attributes:
        heard: Loads that it was told of, in order.
        asked: Names of the storage instances to which it has reported loads.
        runs: Runs of these that have replied.
        replied: Set after each reply.

    Args:
        members: The storage instances.
        domain: Its failure domain.
        metrics: Counters and durations.
    """

    def __init__(self, members, domain, metrics):
        self.members = members
        self.keepers = KeeperClient(domain, members, metrics)
        self.keepers.loads.on_loads = self._on_loads
        self.heard = []
        self.asked = set()
        self.runs = set()
        self.replied = asyncio.Event()
        self.ask = self.keepers.reach.ask
        self.keepers.reach.ask = self._ask

    async def _ask(self, member, message, *args):
        reply = await self.ask(member, message, *args)
        if isinstance(message, ReportLoads):
            self.asked.add(member.name)
        if isinstance(reply, SharedLoads):
            self.runs.add(reply.run)
            self.replied.set()
        return reply

    async def wait_for(self, is_true):
        """Returns the first true value, tried after each reply."""
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while not (value := is_true()):
                self.replied.clear()
                await self.replied.wait()
                # The reply is handled after this.
                await asyncio.sleep(0)
        return value

    def _on_loads(self, loads):
        self.heard += loads

    async def receive_forever(self, name):
        """Receives responses of an endpoint all the time."""
        while True:
            self.keepers.loads.record(EndpointLoad(name, 1, 0, 4, 1.0))
            await asyncio.sleep(_RESPONSE_SECONDS)


@contextlib.asynccontextmanager
async def _connect(store_address, domain, name, metrics):
    """Connects a front end that receives responses all the time."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        calls = StoreCalls(
            f"http://{store_address}", session_sender(session), metrics
        )
        members = Members(SiteStore(calls))
        await stack.enter_async_context(members)
        front_end = ConnectedFrontEnd(members, domain, metrics)
        for work in (
            front_end.keepers.reach.ping_forever(),
            front_end.keepers.loads.exchange_forever(),
            front_end.receive_forever(name),
        ):
            task = start_loop("front end", work)
            stack.callback(task.cancel)
        yield front_end


def run_in(context, work):
    return context.loop.run_until_complete(work)


@when('two front ends of domain "{domain}" receive responses all the time')
def step_connect(context, domain):
    context.loop = asyncio.new_event_loop()
    context.scenario_stack.callback(context.loop.close)
    stack = contextlib.AsyncExitStack()
    context.scenario_stack.callback(lambda: run_in(context, stack.aclose()))
    metrics = Metrics()
    address = site(context).store_address_for(domain)
    context.domain = domain
    context.front_ends = [
        run_in(
            context,
            stack.enter_async_context(_connect(address, domain, name, metrics)),
        )
        for name in ("own-0", "own-1")
    ]


@step('one of them receives a load of "{endpoint}"')
def step_receive(context, endpoint):
    async def receive():
        context.front_ends[0].keepers.loads.record(
            EndpointLoad(endpoint, 7, 3, 12, 2.5)
        )

    context.endpoint = endpoint
    run_in(context, receive())


@then("the other one is told of it and of its age")
def step_told(context):
    def told():
        return [
            load
            for load in context.front_ends[1].heard
            if load.endpoint == context.endpoint
        ]

    load = run_in(context, context.front_ends[1].wait_for(told))[0]
    assert (load.running, load.waiting, load.slots) == (7, 3, 12), load
    assert load.slowdown == 2.5, load
    # All of a round trip counts.
    assert load.age_seconds > 0, load


@when('the storage instance in "{domain}" is killed and started again')
def step_restart(context, domain):
    site(context).processes[f"storage-{domain}"].kill()
    site(context).start("storage", domain)
    # A load that is reported before may be outdated once it has started.
    for front_end in context.front_ends:
        run_in(context, front_end.wait_for(lambda e=front_end: len(e.runs) > 1))


@then("a storage instance of another domain was not asked")
def step_not_asked(context):
    for front_end in context.front_ends:
        assert front_end.asked == {f"storage-{context.domain}"}, front_end.asked


@then("the system's own front ends and storage instances report no error")
def step_no_error(context):
    for name, process in site(context).processes.items():
        if name.startswith(("front-", "storage-")):
            assert process.alive, process.tail()
            errors = [e for e in _ERRORS if process.events(e)]
            assert not errors, (name, errors)
