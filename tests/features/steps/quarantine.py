"""Steps for the quarantine of requests that crash engines."""

import concurrent.futures
import itertools
import os
import signal
import threading
import time

from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings, strategies

from features.steps.endpoints import phases
from rattanmill_core import CrashNote
from rattanmill_policy import Quarantine
from support import EngineSpec, Layout, ServiceSpec, start, wait_until
from support.stack import random_text

MARKER = "poisoned-text"
LAYOUT = Layout(
    engines=[
        EngineSpec(f"engine-{n + 1}", domain, {"prefill": 400.0})
        for n, domain in enumerate((0, 0, 0, 0, 1, 2))
    ],
    services=[ServiceSpec(f"office-{n + 1}", n % 3) for n in range(5)],
)
NAMES = [spec.name for spec in LAYOUT.engines]


@given("engines that a marked request crashes")
def step_engines(context):
    start(context, LAYOUT)
    restart_crashed(context)
    context.marked = f"{MARKER} {random_text(200)}"
    for name in NAMES:
        context.system.standins[name].faults(crash_marker=MARKER, hang=False)


def crashed_engines(context):
    return [n for n in NAMES if not context.system.processes[n].alive]


def restart_crashed(context):
    for name in crashed_engines(context):
        context.system.restart_engine(name)
    wait_until(
        lambda: all(
            set(phases(context, name).values()) == {"live"} for name in NAMES
        ),
        "all engines are live",
    )


@when("the marked request is sent {count:d} times through different instances")
@when("the marked request is sent {count:d} time through different instances")
def step_send_marked(context, count):
    clients = itertools.islice(itertools.cycle(context.clients), count)
    context.refused = [client.chat(context.marked) for client in clients]


@when("{count:d} new programs each reach a marked turn")
def step_program_marked(context, count):
    context.refused = []
    for client in context.clients[:count]:
        program = client.create()
        # The answer of an engine depends on the prompt: another first turn gets
        # another answer, as from a model that samples.
        assert client.chat(random_text(), program, 1).status == 200
        context.refused.append(client.chat(context.marked, program, 2))


@then('it is refused as "{reason}", at first with "{first}", then "{rest}"')
def step_refused(context, reason, first, rest):
    problems = [answer.json for answer in context.refused]
    assert {p["reason"] for p in problems} == {reason}, problems
    ran = [p["ran"] for p in problems]
    assert ran == [first] + [rest] * (len(ran) - 1), ran


@then("{count:d} engines were lost")
def step_lost(context, count):
    assert len(crashed_engines(context)) == count, crashed_engines(context)


@when("the engines are restarted")
def step_started_again(context):
    restart_crashed(context)


@then("all other calls are answered")
def step_others(context):
    answers = [client.chat(random_text()) for client in context.clients]
    assert {a.status for a in answers} == {200}, answers


@when("the marked request is sent while {count:d} others are in flight")
def step_send_marked_beside_others(context, count):
    context.texts = [random_text() for _ in range(count)]
    system = context.system
    for name in NAMES:
        system.standins[name].faults(hang=True)

    def poison():
        wait_until(
            lambda: active_calls(context) >= count,
            "the other calls are in flight",
        )
        context.refused = [context.clients[0].chat(context.marked)]

    with concurrent.futures.ThreadPoolExecutor(count + 1) as pool:
        others = send_texts(context, pool)
        poisoned = pool.submit(poison)
        wait_until(lambda: crashed_engines(context), "an engine crashed")
        for name in set(NAMES) - set(crashed_engines(context)):
            system.standins[name].faults(hang=False)
        context.answers = [other.result() for other in others]
        poisoned.result()


def active_calls(context):
    loads = [
        context.system.standins[name].request("GET", "/v1/load").json
        for name in NAMES
    ]
    return sum(load["waiting"] + load["running"] for load in loads)


def send_texts(context, pool):
    clients = itertools.cycle(context.clients)
    return [pool.submit(next(clients).chat, text) for text in context.texts]


@then("all other calls were answered")
def step_others_answered(context):
    wrong = [a for a in context.answers if a.status != 200]
    assert not wrong, wrong


@then("the same other calls are answered again")
def step_others_again(context):
    with concurrent.futures.ThreadPoolExecutor(len(context.texts)) as pool:
        context.answers = [f.result() for f in send_texts(context, pool)]
    step_others_answered(context)


SERVICES = [spec.name for spec in LAYOUT.services]


@given("plain services that a marked body crashes")
def step_services(context):
    for name in SERVICES:
        context.system.standins[name].faults(crash_marker=MARKER)


@when("a marked query is sent {count:d} times through different instances")
def step_query(context, count):
    path = "/v1/services/index-office/query"
    context.refused = [
        client.request("POST", path, context.marked.encode())
        for client in context.clients[:count]
    ]


@when("a marked deposit is sent under new keys until it is quarantined")
def step_deposit(context):
    body = f"deposit {context.marked}"
    context.refused = []
    for client in itertools.islice(itertools.cycle(context.clients), 12):
        context.refused.append(client.act(random_text(), body))
        if context.refused[-1].json["reason"] == "quarantined":
            return
    raise AssertionError(context.refused)


@then(
    "it had run {count:d} times, and all other attempts were refused as not run"
)
def step_ran_before(context, count):
    problems = [answer.json for answer in context.refused]
    ran = [p for p in problems if p["ran"] != "no"]
    assert [p["reason"] for p in ran] == ["act_unknown"] * count, problems


@then("{count:d} services were lost")
def step_services_lost(context, count):
    lost = [n for n in SERVICES if not context.system.processes[n].alive]
    assert len(lost) == count, lost


@when("the first failure domain loses its engines with {count:d} in flight")
def step_lose_domain(context, count):
    context.texts = [random_text() for _ in range(count)]
    context.suspected = suspected_count(context)
    for name in NAMES:
        context.system.standins[name].faults(hang=True)
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        others = send_texts(context, pool)
        wait_until(
            lambda: active_calls(context) >= count, "the calls are in flight"
        )
        lost = [s.name for s in LAYOUT.engines if s.domain == 0]
        for name in lost:
            os.kill(context.system.processes[name].pid, signal.SIGKILL)
        for name in set(NAMES) - set(lost):
            context.system.standins[name].faults(hang=False)
        context.answers = [other.result() for other in others]


def suspected_count(context):
    return sum(
        client.metric("rattanmill_quarantine_total", event="suspected")
        for client in context.clients
    )


@then("no call is suspected")
def step_no_suspects(context):
    assert suspected_count(context) == context.suspected


@when("the instance that it was sent through is killed and started again")
def step_replace_instance(context):
    instance = context.system.instances[0]
    instance.process.kill()
    context.system.start_instance(instance)
    wait_until(
        lambda: instance.client.request("GET", "/readyz").status == 200,
        "the new instance is ready",
    )


@then('the new instance refuses it as "{reason}"')
def step_new_refuses(context, reason):
    client = context.system.instances[0].client
    # Checks the metric, since checking with a call could crash an engine.
    wait_until(
        lambda: client.metric("rattanmill_quarantine_total", event="heard"),
        "the new instance received the crash notes",
    )
    context.refused = [client.chat(context.marked)]
    step_refused(context, reason, "no", "no")


@when("a call loses its engine and is answered by another")
@when("the same call loses its engine again")
def step_coincidence(context):
    restart_crashed(context)
    for name in NAMES:
        context.system.standins[name].faults(hang=True)
    context.innocent = getattr(context, "innocent", random_text())
    thread = threading.Thread(target=kill_busy, args=(context,))
    thread.start()
    context.answer = context.clients[0].chat(context.innocent)
    thread.join()
    step_innocent_answered(context)
    assert crashed_engines(context)


def kill_busy(context):
    """Kills the engine that has the call."""

    def busy():
        for name in NAMES:
            load = context.system.standins[name].request("GET", "/v1/load")
            if load.json["waiting"]:
                return name
        return None

    name = wait_until(busy, "an engine has the call")
    context.system.processes[name].kill()
    for other in NAMES:
        if other != name:
            context.system.standins[other].faults(hang=False)


@then("it is answered")
def step_innocent_answered(context):
    assert context.answer.status == 200, context.answer


BASE = int(time.time() * 1000) - 60_000
FINGERPRINTS = [bytes([n]) * 16 for n in range(3)]
EVENTS = strategies.lists(
    strategies.builds(
        lambda fingerprint, endpoint, at: CrashNote(
            fingerprint, endpoint, at, fingerprint
        ),
        fingerprint=strategies.sampled_from(FINGERPRINTS),
        endpoint=strategies.sampled_from(["", "engine-1", "engine-2"]),
        # Far enough apart not to be reports of the same crash, since an engine
        # has to be restarted between two crashes.
        at=strategies.integers(1, 6).map(lambda step: BASE + step * 5_000),
    ),
    max_size=12,
)
CHECKS = settings(max_examples=300, deadline=None, derandomize=True)


def quarantine_after(events):
    quarantine = Quarantine()
    for event in events:
        quarantine.record(event)
    return quarantine


@given("any crashes and finished runs of requests")
def step_any_events(context):
    context.events = EVENTS


@then("instances that receive them in any order refuse the same requests")
def step_orders_agree(context):
    @CHECKS
    @given_any(context.events, strategies.randoms(use_true_random=False))
    def check(events, random):
        shuffled = list(events) * 2
        random.shuffle(shuffled)
        first, second = quarantine_after(events), quarantine_after(shuffled)
        for fingerprint in FINGERPRINTS:
            assert first.is_quarantined(fingerprint) == second.is_quarantined(
                fingerprint
            ), (events, shuffled)

    check()


@then("of two suspects only the one that crashes an engine alone is refused")
def step_two_suspects(context):
    guilty, innocent = FINGERPRINTS[:2]
    both = [
        CrashNote(fingerprint, engine, at + late, fingerprint)
        for engine, at in (("engine-1", BASE), ("engine-2", BASE + 5_000))
        for fingerprint, late in ((guilty, 0), (innocent, 300))
    ]
    quarantine = quarantine_after(both)
    assert not quarantine.is_quarantined(guilty)
    assert not quarantine.is_quarantined(innocent)
    alone = CrashNote(guilty, "engine-3", BASE + 10_000, guilty)
    quarantine = quarantine_after([*both, alone])
    assert quarantine.is_quarantined(guilty)
    assert not quarantine.is_quarantined(innocent)


@then("all instances retry the suspects of a crash in the same order")
def step_retry_order(context):
    crash = [CrashNote(each, "engine-1", BASE, each) for each in FINGERPRINTS]
    # Belongs to another crash, so there is no reason to wait for it.
    beside = CrashNote(b"beside" * 2, "engine-2", BASE, b"beside" * 2)
    for order in itertools.permutations([*crash, beside]):
        quarantine = quarantine_after(order)
        positions = list(map(quarantine.retry_position, FINGERPRINTS))
        assert positions == [0, 1, 2], positions
        assert quarantine.retry_position(beside.fingerprint) == 0
    assert quarantine.retry_position(b"never seen") == 0


@then("a request that completes between crashes is never refused")
def step_finished_between(context):
    now = int(time.time() * 1000)
    events = []
    for step in range(5):
        at = now - 60_000 + step * 10_000
        events += [
            CrashNote(FINGERPRINTS[0], "engine-1", at),
            CrashNote(FINGERPRINTS[0], "", at + 5_000),
        ]
        assert not quarantine_after(events).is_quarantined(FINGERPRINTS[0])
    without = quarantine_after([event for event in events if event.endpoint])
    assert without.is_quarantined(FINGERPRINTS[0])


@then("the number of suspects is bounded")
def step_bounded(context):
    now = int(time.time() * 1000)
    quarantine = quarantine_after(
        CrashNote(number.to_bytes(16, "big"), "engine-1", now - 20_000 + number)
        for number in range(10_200)
    )
    assert 9_000 <= len(quarantine.suspects) <= 10_000
    assert quarantine.is_suspected((10_199).to_bytes(16, "big"))
