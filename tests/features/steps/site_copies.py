"""Steps about turns that too few storage instances can keep."""

import concurrent.futures
import contextlib
import pathlib
import shutil
import time

from behave import given, then, when
from steps.site import send_turn, site
from steps.site_store import clear_store_faults, front_end

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


def silence_store(context, domain):
    """Makes the store silent towards the front end of a domain."""
    context.scenario_stack.callback(clear_store_faults, context)
    hosts = [site(context).host(r, domain) for r in ("front", "storage")]
    site(context).faults(silent_sources=hosts)


@when('the store does not respond to "{domain}"')
def step_silence_store(context, domain):
    silence_store(context, domain)


@when("the store responds again")
def step_store_back(context):
    clear_store_faults(context)


def send(context, domain, text, previous=""):
    """Sends a turn of a program without a budget; returns its status.

    A budget needs storage instances of its own.
    """
    headers = {"X_Previous_Turn": previous} if previous else {}
    context.request, context.answer = site(context).ask(
        domain, "POST", "/stream/talk/a", text.encode(), **headers
    )
    return context.answer.status


@given('a turn that "{domain}" has answered')
def step_first_turn(context, domain):
    assert send(context, domain, "one ") == 200, context.answer
    context.first = context.request


def send_next(context, domain):
    """Sends a turn that continues the first one; returns its status."""
    return send(context, domain, "two ", context.first)


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


@when('next turns are sent to "{domain}" until one is kept by the store')
def step_send_until_stored(context, domain):
    def is_stored():
        send_next(context, domain)
        kept = front_end(context, domain).events("turn_kept")
        return context.answer.status == 200 and any(
            line["request"] == context.request and line["in_store"]
            for line in kept
        )

    wait_until(is_stored, "the store keeps a turn")


@when('the storage instance of "{domain}" loses its disk')
def step_lose_disk(context, domain):
    system = site(context)
    name = f"storage-{domain}"
    system.processes[name].kill()
    shutil.rmtree(pathlib.Path(system.folder.name, "data", name))
    system.start("storage", domain)


@then('the turn that the store has is continued at "{domain}"')
def step_continued(context, domain):
    previous = context.request
    statuses = []

    def is_answered():
        statuses.append(send(context, domain, "three ", previous))
        return context.answer.status in (200, 404)

    wait_until(is_answered, "the turn is known or denied")
    assert statuses[-1] == 200, statuses


@when(
    'a turn is sent to "{domain}", and those of "{others}" and the store do not'
    " respond until it ends"
)
def step_freeze_meanwhile(context, domain, others):
    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor())
        sent = pool.submit(send_turn, context, domain, "one ", "meanwhile")
        time.sleep(_FREEZE_AFTER_SECONDS)
        freeze(context, others)
        silence_store(context, domain)
        sent.result()
        resume(storage(context, others))
    clear_store_faults(context)
