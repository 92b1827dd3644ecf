"""Steps about rate limits of workspaces on the users' platform."""

import concurrent.futures
import time

from behave import given, then, when
from steps.site import site
from steps.site_keys import configure

from support.site import DOMAINS

_SENDERS = 12
# A storage instance that has just started lends no burst yet.
_FILL_SECONDS = 1.5


@given(
    'a workspace "{name}" with key "{key}" and a rate of {rate:d} with a burst'
    " of {burst:d}"
)
def step_workspace(context, name, key, rate, burst):
    system = site(context)
    if not hasattr(context, "limited"):
        context.limited = []
        context.scenario_stack.callback(setattr, system, "tenants", None)
    context.limited.append(
        {"name": name, "api_keys": [key], "rate_per_s": rate, "burst": burst}
    )
    configure(context, context.limited)
    time.sleep(_FILL_SECONDS)


@when('{count:d} payments of "{name}" are sent to all front ends at once')
def step_payments(context, count, name):
    key = next(t["api_keys"][0] for t in context.limited if t["name"] == name)

    def send(number):
        domain = DOMAINS[number % len(DOMAINS)]
        return site(context).ask(
            domain, "POST", "/pay/a", b"x", Authorization=f"Bearer {key}"
        )

    with concurrent.futures.ThreadPoolExecutor(_SENDERS) as pool:
        context.sent = list(pool.map(send, range(count)))


def statuses(context):
    return [answer.status for _, answer in context.sent]


@then("at most {most:d} of them ran, and at least {least:d}")
def step_ran(context, most, least):
    ran = statuses(context).count(200)
    assert least <= ran <= most, ran


@then("all of them ran")
def step_all_ran(context):
    assert set(statuses(context)) == {200}, statuses(context)


@then("the others are answered with 429 and when to come back")
def step_others(context):
    refused = [a for _, a in context.sent if a.status != 200]
    assert {a.status for a in refused} == {429}, statuses(context)
    assert all(float(a.headers["retry-after"]) > 0 for a in refused)


@then("no endpoint received the refused ones")
def step_not_received(context):
    for request, answer in context.sent:
        if answer.status != 200:
            assert not site(context).received_requests(request)


@when("every storage instance has been killed")
def step_kill(context):
    system = site(context)
    for domain in DOMAINS:
        system.processes[f"storage-{domain}"].kill()
        context.scenario_stack.callback(system.start, "storage", domain)


@then("all of them are answered with {status:d} and no endpoint received them")
def step_all_refused(context, status):
    assert set(statuses(context)) == {status}, statuses(context)
    step_not_received(context)
