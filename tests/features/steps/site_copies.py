"""Steps about turns that too few storage instances can keep."""

import concurrent.futures
import contextlib
import time

from behave import then, when
from steps.site import send_turn, site
from steps.site_store import front_end

from support import wait_until

# The engine begins to respond two seconds after it got the turn.
_FREEZE_AFTER_SECONDS = 0.5


def storage(context, domains):
    return [
        site(context).processes[f"storage-{domain}"]
        for domain in domains.split(", ")
    ]


def resume(processes):
    for process in processes:
        process.resume()


def freeze(context, domains):
    processes = storage(context, domains)
    context.scenario_stack.callback(resume, processes)
    for process in processes:
        process.pause()


@when('the storage instances of "{domains}" are frozen')
def step_freeze(context, domains):
    freeze(context, domains)


@when('the storage instances of "{domains}" go on')
def step_resume(context, domains):
    resume(storage(context, domains))


def send_next(context, domain):
    """Sends a turn that continues the first one; returns its status."""
    previous = context.first[0]
    send_turn(context, domain, "two ", "alone", X_Previous_Turn=previous)
    return context.answer.status


@when('next turns are sent to "{domain}" until one is refused for "{reason}"')
def step_send_until(context, domain, reason):
    context.statuses = []

    def is_refused():
        context.statuses.append(send_next(context, domain))
        refused = front_end(context, domain).events("refused")
        return any(
            line["request"] == context.request and line["reason"] == reason
            for line in refused
        )

    wait_until(is_refused, f"a turn is refused for {reason}")


@then("none of them was answered whole")
def step_none_whole(context):
    assert 200 not in context.statuses, context.statuses


@then("no endpoint received the one that was refused")
def step_not_received(context):
    assert not site(context).received_requests(context.request)


@then('the next turn is finally answered with {status:d} at "{domain}"')
def step_finally(context, status, domain):
    wait_until(
        lambda: send_next(context, domain) == status,
        f"a turn is answered with {status}",
    )


@when(
    'a turn is sent to "{domain}", and those of "{others}" are frozen until it'
    " ends"
)
def step_freeze_meanwhile(context, domain, others):
    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor())
        sent = pool.submit(send_turn, context, domain, "one ", "meanwhile")
        time.sleep(_FREEZE_AFTER_SECONDS)
        freeze(context, others)
        sent.result()
        resume(storage(context, others))
