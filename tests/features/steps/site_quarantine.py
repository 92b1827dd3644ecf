"""Steps about requests that crash endpoints of the users' platform."""

import itertools

from behave import then, when
from steps.site import send_payment, site

from support import wait_until

_DOMAINS = ("east", "west", "north")
_DESKS = ("desk-0", "desk-1", "desk-2")
_POISONED = b"a poisoned deposit"


def front_end(context, domain):
    return site(context).processes[f"front-{domain}"]


def terminated_desks(context):
    return [n for n in _DESKS if not site(context).processes[n].alive]


def restart_desks(context):
    for name in terminated_desks(context):
        service, _, index = name.partition("-")
        site(context).start_endpoint(service, int(index))


def send_poisoned(context, domain):
    return site(context).ask(domain, "POST", "/pay/a", _POISONED)


def seen_crashes(context, domain):
    """Returns how many crashes a front end has detected or been notified of."""
    notified = front_end(context, domain).events("crashes_heard")
    return len(front_end(context, domain).events("crash_suspected")) + sum(
        line["count"] for line in notified
    )


@when("a poisoned payment has crashed a desk endpoint through each front end")
def step_poison(context):
    context.scenario_stack.callback(restart_desks, context)
    for number, domain in enumerate(_DOMAINS):
        _, answer = send_poisoned(context, domain)
        assert answer.status == 502, answer
        wait_until(
            lambda n=number: len(terminated_desks(context)) == n + 1,
            "a desk endpoint has terminated",
        )


@when("the front ends know each other's crashes")
def step_heard(context):
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: seen_crashes(context, d) >= len(_DESKS),
            "the front end knows all crashes",
        )


@when("the desk endpoints are restarted")
def step_start(context):
    restart_desks(context)


@then("the poisoned payment is refused with {status:d} at every front end")
def step_refused(context, status):
    context.refused = []
    for domain in _DOMAINS:
        request, answer = send_poisoned(context, domain)
        assert answer.status == status, answer
        assert float(answer.headers["retry-after"]) > 1, answer
        context.refused.append(request)


@then("no desk endpoint received it, and none has terminated")
def step_not_received(context):
    assert not any(map(site(context).received_requests, context.refused))
    assert not terminated_desks(context)


@then("other payments are answered with {status:d} at every front end")
def step_others(context, status):
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: send_payment(context, d)[1].status == status,
            "a payment is answered",
        )


def send_look_up(context, domain):
    request, answer = site(context).ask(domain, "GET", "/seek/same")
    assert answer.status == 200, answer
    return request


@when(
    "a look-up has lost its endpoint {count:d} times and was answered by"
    " another"
)
def step_lose_endpoint(context, count):
    context.scenario_stack.callback(restart_desks, context)
    for _ in range(count):
        (ran,) = site(context).received_requests(send_look_up(context, "east"))
        site(context).control_endpoint(ran["endpoint"], "die")
        # Through all front ends: one that lost a call at an endpoint avoids it
        # for seconds, and each prefers the desk endpoint of its own domain.
        domains = itertools.cycle(_DOMAINS)
        while not terminated_desks(context):
            send_look_up(context, next(domains))
        restart_desks(context)


@then("the look-up is answered at every front end")
def step_looked_up(context):
    for domain in _DOMAINS:
        send_look_up(context, domain)
