"""Steps about turns that too few storage instances can keep."""

import concurrent.futures
import contextlib
import pathlib
import shutil
import time

from behave import given, then, when
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
    context.whole = [context.request]
    context.sent = []


def send_next(context, domain):
    """Sends a turn that continues the first one, and records the outcome."""
    status = send(context, domain, "two ", context.whole[0])
    context.sent.append((context.request, status))
    if status == 200:
        context.whole.append(context.request)


@when('{count:d} next turns are sent to "{domain}"')
def step_send_some(context, count, domain):
    for _ in range(count):
        send_next(context, domain)


@when('next turns are sent to "{domain}" until one is refused for "{reason}"')
def step_send_until(context, domain, reason):
    def is_refused():
        send_next(context, domain)
        refused = front_end(context, domain).events("refused")
        return any(
            line["request"] == context.request and line["reason"] == reason
            for line in refused
        )

    wait_until(is_refused, f"a turn is refused for {reason}")


@then("none of them was answered whole")
def step_none_whole(context):
    assert len(context.whole) == 1, context.sent


@then("no endpoint received the one that was refused")
def step_not_received(context):
    assert not site(context).received_requests(context.request)


@when('the storage instance of "{domain}" loses its disk')
def step_lose_disk(context, domain):
    system = site(context)
    name = f"storage-{domain}"
    system.processes[name].kill()
    shutil.rmtree(pathlib.Path(system.folder.name, "data", name))
    system.start("storage", domain)


@then(
    'each turn that was answered whole is continued at "{domain}" and never'
    " denied"
)
def step_continued(context, domain):
    for turn in context.whole:
        statuses = []

        def is_decided(turn=turn, statuses=statuses):
            statuses.append(send(context, domain, "three ", turn))
            return statuses[-1] in (200, 404, 410)

        wait_until(is_decided, "the turn is continued or denied")
        assert statuses[-1] == 200, statuses
        assert site(context).received_requests(context.request)


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
