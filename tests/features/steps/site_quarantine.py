"""Steps of requests that crash the runners of the users' platform."""

import itertools

from behave import then, when
from steps.site import pay, site

from support import wait_until

_DOMAINS = ("east", "west", "north")
_DESKS = ("desk-0", "desk-1", "desk-2")
_POISONED = b"a poisoned deposit"


def front(context, domain):
    return site(context).processes[f"front-{domain}"]


def dead(context):
    return [n for n in _DESKS if not site(context).processes[n].alive]


def start_again(context):
    for name in dead(context):
        service, _, index = name.partition("-")
        site(context).start_runner(service, int(index))


def send_poisoned(context, domain):
    return site(context).ask(domain, "POST", "/pay/a", _POISONED)


def seen_crashes(context, domain):
    """Returns crashes that a front has seen or heard of."""
    heard = front(context, domain).events("crashes_heard")
    return len(front(context, domain).events("crash_suspected")) + sum(
        line["count"] for line in heard
    )


@when("a poisoned payment has crashed a desk endpoint through each front end")
def step_poison(context):
    context.scenario_stack.callback(start_again, context)
    for number, domain in enumerate(_DOMAINS):
        _, answer = send_poisoned(context, domain)
        assert answer.status == 502, answer
        wait_until(
            lambda n=number: len(dead(context)) == n + 1, "a desk is gone"
        )


@when("the front ends know each other's crashes")
def step_heard(context):
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: seen_crashes(context, d) >= len(_DESKS),
            "the front knows all crashes",
        )


@when("the desk endpoints are restarted")
def step_start(context):
    start_again(context)


@then("the poisoned payment is refused with {status:d} at every front end")
def step_refused(context, status):
    context.refused = []
    for domain in _DOMAINS:
        request, answer = send_poisoned(context, domain)
        assert answer.status == status, answer
        assert float(answer.headers["retry-after"]) > 1, answer
        context.refused.append(request)


@then("no desk endpoint received it, and none has terminated")
def step_unseen(context):
    assert not any(map(site(context).seen, context.refused))
    assert not dead(context)


@then("other payments are answered with {status:d} at every front end")
def step_others(context, status):
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: pay(context, d)[1].status == status,
            "a payment is answered",
        )


def look_up(context, domain):
    request, answer = site(context).ask(domain, "GET", "/seek/same")
    assert answer.status == 200, answer
    return request


@when(
    "a look-up has lost its endpoint {count:d} times and was answered by another"
)
def step_lose(context, count):
    context.scenario_stack.callback(start_again, context)
    for _ in range(count):
        (ran,) = site(context).seen(look_up(context, "east"))
        site(context).runner(ran["runner"], "die")
        # Through all fronts: one that lost a call there avoids it for seconds,
        # and each one likes the desk of its own domain best.
        domains = itertools.cycle(_DOMAINS)
        while not dead(context):
            look_up(context, next(domains))
        start_again(context)


@then("the look-up is answered at every front end")
def step_looked_up(context):
    for domain in _DOMAINS:
        look_up(context, domain)
