"""Steps about faults of the platform's store."""

import pathlib
import time

from behave import then, when
from steps.site import send_payment, site

from support import wait_until

_DOMAINS = ("east", "west", "north")
_DESKS = ("desk-0", "desk-1", "desk-2")
_SHORTEST_LEASE_SECONDS = 1.0
_GIVEN_UP = 5


def front_end(context, domain):
    return site(context).processes[f"front-{domain}"]


def storage(context, domain):
    return site(context).processes[f"storage-{domain}"]


def clear_store_faults(context):
    site(context).faults(
        refuse_sources=[],
        silent_sources=[],
        late_watches=[],
        endless_sources=[],
        down=False,
    )


@when("all open watches stop delivering")
def step_stop_watches(context):
    status = site(context).store.request("POST", "/silence", {}).status
    assert status == 200, status


@when("bodies are limited to {size:d} bytes")
def step_limit(context, size):
    site(context).configure(max_body_bytes=size)
    context.scenario_stack.callback(site(context).configure)


@when('the store rejects the front end of "{domain}"')
def step_reject(context, domain):
    host, _, _ = site(context).front_address(domain).rpartition(":")
    site(context).faults(refuse_sources=[host])
    context.scenario_stack.callback(clear_store_faults, context)


@when("all storage instances are killed")
def step_kill_storage(context):
    for domain in _DOMAINS:
        site(context).processes[f"storage-{domain}"].kill()

    def start():
        for domain in _DOMAINS:
            site(context).start("storage", domain)

    context.scenario_stack.callback(start)


@when('the store does not respond to the storage instance of "{domain}"')
def step_unresponsive(context, domain):
    host, _, _ = site(context).front_address(domain).rpartition(".")
    site(context).faults(silent_sources=[f"{host}.2"])
    context.scenario_stack.callback(clear_store_faults, context)
    context.lost = len(storage(context, domain).events("watch_lost"))


@when('the store sends the storage instance of "{domain}" bytes without an end')
def step_endless(context, domain):
    host, _, _ = site(context).front_address(domain).rpartition(".")
    context.scenario_stack.callback(clear_store_faults, context)
    site(context).faults(endless_sources=[f"{host}.2"])


@then('the storage instance of "{domain}" gives up such responses')
def step_gives_up(context, domain):
    wait_until(
        lambda: (
            len(storage(context, domain).events("store_reply_oversized"))
            >= _GIVEN_UP
        ),
        "responses that are too long are given up",
    )


@then('the storage instance of "{domain}" has used at most {size:d} MB')
def step_memory(context, domain, size):
    pid = storage(context, domain).pid
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
    used_kb = int(line.split()[1])
    assert used_kb <= size * 1024, line


@then('the storage instance of "{domain}" had not noticed')
def step_not_noticed(context, domain):
    lost = len(storage(context, domain).events("watch_lost"))
    assert lost == context.lost, (lost, context.lost)


@then('the front end of "{domain}" read the store through a storage instance')
def step_relayed(context, domain):
    assert front_end(context, domain).events("store_relayed")


@then('the front end of "{domain}" reads the store directly')
def step_direct(context, domain):
    wait_until(
        lambda: front_end(context, domain).events("store_direct"),
        "the store is read directly",
    )


def _watch_events(front):
    """Returns the last losses and returns of watches, with their times."""
    return [
        (line["time"], line["event"], line["prefix"])
        for line in front.lines()
        if line["event"] in ("watch_lost", "watch_back")
    ][-12:]


def _has_all_watches(front):
    """Whether each watch that was lost is back."""
    newest = {
        line["prefix"]: line["event"]
        for line in front.lines()
        if line["event"] in ("watch_lost", "watch_back")
    }
    return "watch_lost" not in newest.values()


@when("the store is unreachable and the entries of the desk endpoints expire")
def step_expire(context):
    context.scenario_stack.callback(register, context, _DESKS)
    context.scenario_stack.callback(clear_store_faults, context)
    for domain in _DOMAINS:
        # A watch that is lost since an earlier fault logs no second loss.
        wait_until(
            lambda d=domain: _has_all_watches(front_end(context, d)),
            "the front end has got back its watches",
        )
    lost = {
        d: len(front_end(context, d).events("watch_lost")) for d in _DOMAINS
    }
    site(context).faults(down=True)
    for domain in _DOMAINS:
        # The watches of endpoints, configuration and storage instances.
        wait_until(
            lambda d=domain: (
                len(front_end(context, d).events("watch_lost")) >= lost[d] + 2
            ),
            lambda d=domain: (
                f"the front end of {d} has lost its watches, after {lost[d]}:"
                f" {_watch_events(front_end(context, d))}"
            ),
        )
    for name in _DESKS:
        site(context).remove(f"servers/{name}")
    # No entry expires in a shorter outage than the shortest lease, so one that
    # is missing after it counts as removed by its holder.
    time.sleep(_SHORTEST_LEASE_SECONDS)


def register(context, names):
    for name in names:
        service, _, index = name.partition("-")
        site(context).register(name, service, int(index))


@then("payments at every front end are answered with {status:d}")
def step_pay_everywhere(context, status):
    for domain in _DOMAINS * 3:
        _, answer = send_payment(context, domain)
        assert answer.status == status, answer


@when('the store and the entries of "{names}" are back')
def step_back(context, names):
    back = {
        d: len(front_end(context, d).events("watch_back")) for d in _DOMAINS
    }
    clear_store_faults(context)
    for domain in _DOMAINS:
        wait_until(
            lambda d=domain: (
                len(front_end(context, d).events("watch_back")) >= back[d] + 2
            ),
            "the front end watches the store again",
        )
    register(context, names.split(", "))


@then('no front end has removed "{names}"')
def step_not_removed(context, names):
    for domain in _DOMAINS:
        removed = {
            line["endpoint"]
            for line in front_end(context, domain).events("endpoint_gone")
        }
        assert not removed & set(names.split(", ")), (domain, removed)
