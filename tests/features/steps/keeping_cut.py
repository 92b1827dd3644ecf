"""Steps about a front end whose failure domain is cut off."""

import asyncio

from behave import given, then, when

from rattanmill_core import Metrics
from rattanmill_keeper import KeeperClient, Member, Members
from rattanmill_keeper.messages import Reserve, Unsure
from support.keepers import UnavailableKv
from support.virtual import run_virtually

_DOMAINS = ("east", "west", "north")
# Longer than the ping interval and the time after which a front end is cut
# off, and not a moment at which a ping begins.
_PING_PERIOD_SECONDS = 2.1
# Silence of a domain's storage instances after which it is suspected.
_SUSPECT_SECONDS = 0.4


class FixedReplyLink:
    """Counts requests, and returns a fixed reply or lets them time out."""

    def __init__(self, reply):
        self.reply = reply
        self.requests = 0

    async def ask(self, message, seconds):
        """Returns the reply, or None after the timeout."""
        self.requests += 1
        if self.reply is None:
            await asyncio.sleep(seconds)
        return self.reply


class CutMembers(Members):
    """One storage instance in each domain, of which one responds."""

    def __init__(self, kv, near):
        super().__init__(kv)
        reply = Unsure("cut off from all other storage instances")
        for domain in _DOMAINS:
            self.known[domain] = Member(domain, domain, "127.0.0.1:9", "r")
            self.links[domain] = FixedReplyLink(
                reply if domain == near else None
            )

    def link(self, member):
        """Returns the link to a member."""
        return self.links[member.name]


@given(
    'a front end of "{domain}" that reaches only the storage instance of'
    ' "{near}"'
)
def step_front(context, domain, near):
    context.kv = UnavailableKv()

    def make():
        members = CutMembers(context.kv, near)
        return KeeperClient(domain, members, Metrics())

    context.make_client = make


@when("the store does not reply")
def step_store_away(context):
    context.kv.is_unavailable = True


@when("the store replies")
def step_store_there(context):
    context.kv.is_unavailable = False


async def _started_client(context, seconds):
    """Returns whether a started front end is cut off, and what is silent."""
    reach = context.make_client().reach
    pings = asyncio.create_task(reach.ping_forever())
    await asyncio.sleep(seconds)
    pings.cancel()
    silences = reach.domain_silence_seconds()
    suspected = {d for d, s in silences.items() if s > _SUSPECT_SECONDS}
    return reach.is_cut_off(), suspected


@then(
    "it is not cut off {seconds:f} seconds after its start, and suspects no"
    " domain"
)
def step_not_cut_off_yet(context, seconds):
    found = run_virtually(_started_client(context, seconds))
    assert found == (False, set()), found


@then(
    "it is cut off {seconds:f} seconds after its start, and suspects"
    ' "{domains}"'
)
def step_cut_off_later(context, seconds, domains):
    found = run_virtually(_started_client(context, seconds))
    assert found == (True, set(domains.split(", "))), found


async def pinging_client(context):
    """Returns a front end that has sent pings for a while."""
    client = context.make_client()
    # All instances responded before the partition.
    now = asyncio.get_running_loop().time()
    client.reach.answered_at = dict.fromkeys(_DOMAINS, now)
    pings = asyncio.create_task(client.reach.ping_forever())
    await asyncio.sleep(_PING_PERIOD_SECONDS)
    pings.cancel()
    return client


async def cancel_requests(client):
    """Cancels the requests of a front end."""
    tasks = list(client.reach.tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def is_cut_off(context):
    async def run():
        client = await pinging_client(context)
        found = client.reach.is_cut_off()
        await cancel_requests(client)
        return found

    return run_virtually(run())


@then("the front end is cut off")
def step_cut(context):
    assert is_cut_off(context)


@then("the front end is not cut off")
def step_not_cut(context):
    assert not is_cut_off(context)


@then('a new program is refused without asking "{names}"')
def step_refused(context, names):
    async def run():
        client = await pinging_client(context)
        links = client.reach.members.links
        before = {name: links[name].requests for name in names.split(", ")}
        reply = await client.budgets.reserve(Reserve("p", "a", 10, 100))
        after = {name: links[name].requests for name in before}
        await cancel_requests(client)
        return reply, before, after

    reply, before, after = run_virtually(run())
    assert isinstance(reply, Unsure), reply
    assert after == before, (before, after)
