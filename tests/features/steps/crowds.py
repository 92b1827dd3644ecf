"""Steps of crowds of callers that don't behave, and what they may cost."""

import concurrent.futures
import os
import pathlib
import time

import msgspec
import zmq
from behave import given, then, when
from steps.site import site

from rattanmill_wire.parts import split
from support import Layout, start, wait_until
from support.client import Client
from support.crowd import (
    Crowd,
    framed,
    requests,
    zmtp_frame,
    zmtp_frames,
    zmtp_greeting,
    zmtp_handshake,
    zmtp_message,
)
from support.footprint import Footprint
from support.site import DOMAINS, HOST, PORT, Site

_SITE_NUMBER = 39
_METRICS_PORT = 9464
_MB = 1024 * 1024
# Descriptors that the platform reserves for files outside the disk folder.
_FILE_DESCRIPTORS = 200
_PAY_TIMEOUT_MS = 20_000
_PATHS = {"turns": "/stream/talk/long", "payments": "/pay/long"}
_ENDS = {"whole": True, "short of their end": False}
_AT_A_TIME = 8
_ANSWER_SECONDS = 2.0


@given(
    "a small system with machines of {front:d} MB and {storage:d} MB,"
    " {descriptors:d} descriptors and bodies of up to {size:d} bytes"
)
def step_small_system(context, front, storage, descriptors, size):
    _start_small(context, front, storage, descriptors, size, 0)


@given(
    "a small system with machines of {front:d} MB and {storage:d} MB, and disks"
    " of {disk:d} MB"
)
def step_small_disks(context, front, storage, disk):
    _start_small(context, front, storage, 4100, 1_048_576, disk)


class _SmallSystem:
    """A system that scenarios share as long as it stays within its limits.

    Attributes:
        limits: Memory in MB, descriptors, size of bodies and disks.
        is_sound: Whether the last scenario's checks have passed.
    """

    def __init__(self, limits):
        self.limits = limits
        self.is_sound = True
        front, storage, descriptors, size, disk = limits
        self.site = Site(_SITE_NUMBER)
        self.site.machine_limits = {
            "front": {"memory_mb": front, "max_fds": descriptors},
            "storage": {"memory_mb": storage, "max_fds": descriptors},
        }
        if disk:
            self.site.machine_limits["storage"]["disk_mb"] = disk
        self.site.__enter__()
        self.site.configure(pay_timeout_ms=_PAY_TIMEOUT_MS, max_body_bytes=size)
        for domain in DOMAINS:
            wait_until(
                lambda d=domain: self._has_config(d),
                "the configuration is in force",
            )

    def _has_config(self, domain):
        events = self.site.processes[f"front-{domain}"].events(
            "config_in_force"
        )
        return events[-1]["version"] == self.site.version


def _start_small(context, *limits):
    running = getattr(context.feature, "small_system", None)
    if running and not (running.is_sound and running.limits == limits):
        running.site.__exit__()
        running = None
    if running is None:
        running = _SmallSystem(limits)
        context.feature_stack.callback(running.site.__exit__)
    context.feature.small_system = running
    running.is_sound = False
    context.feature_site = running.site
    context.footprints = {
        name: context.scenario_stack.enter_context(Footprint(process))
        for name, process in running.site.processes.items()
        if name.startswith(("front-", "storage-"))
    }


def crowd_of(context, address):
    return context.scenario_stack.enter_context(Crowd(address))


def heads(context, method, path, count):
    """Yields heads of requests without the framing."""
    for _ in range(count):
        yield (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: {site(context).new_request_id()}\r\n"
            f"X-Deadline-Ms: {_PAY_TIMEOUT_MS}\r\n"
        ).encode()


@when(
    "{count:d} {method} requests are sent to {path}, and nobody reads the"
    " responses"
)
def step_unread(context, count, method, path):
    crowd = context.scenario_stack.enter_context(
        Crowd(site(context).front_address("east"), is_reading=False)
    )
    framing = framed(100, 0, True)
    crowd.connect(requests(heads(context, method, path, count), framing))
    crowd.send(is_end_awaited=False)
    # Each of them is answered before the ordinary calls that follow.
    time.sleep(_ANSWER_SECONDS)


def send_bodies(context, address, path, count, framing, is_whole):
    crowd = crowd_of(context, address)
    crowd.connect(requests(heads(context, "POST", path, count), framing))
    crowd.send(is_end_awaited=is_whole)
    return crowd


@when(
    "{count:d} {kind} of {size:d} bytes in chunks of {chunk:d} are sent {end}"
)
def step_chunked_crowd(context, count, kind, size, chunk, end):
    address = site(context).front_address("east")
    framing = framed(size, chunk, _ENDS[end])
    send_bodies(context, address, _PATHS[kind], count, framing, _ENDS[end])


@when("{count:d} {kind} of {size:d} bytes are sent {end}")
def step_crowd(context, count, kind, size, end):
    step_chunked_crowd(context, count, kind, size, 0, end)


@when("{count:d} connections are opened to the {listener} and send {text}")
def step_connections(context, count, listener, text):
    crowd = crowd_of(context, listener_address(context, listener))
    data = {"nothing": b"", "half a method": b"PO"}[text]
    crowd.connect([data] for _ in range(count))
    crowd.send(is_end_awaited=False)


@when("the {listener} gets {count:d} requests with {size:d} bytes each, {end}")
def step_other_listener(context, listener, count, size, end):
    address = listener_address(context, listener)
    framing = framed(size, 0, _ENDS[end])
    send_bodies(context, address, "/metrics", count, framing, False)


def listener_address(context, listener):
    system = site(context)
    front, storage = (
        system.host("front", "east"),
        system.host("storage", "east"),
    )
    return {
        "front end": system.front_address("east"),
        "readiness check": system.ready_address("east"),
        "metrics of the front end": f"{front}:{_METRICS_PORT}",
        "metrics of the storage instance": f"{storage}:{_METRICS_PORT}",
        "storage instance": f"{storage}:{PORT + 5}",
    }[listener]


@when(
    "{count:d} messages of {size:d} bytes between instances stop short of their"
    " end"
)
def step_messages(context, count, size):
    send_messages(context, count, zmtp_message(size))


def send_messages(context, count, messages):
    """Sends the same messages on each of many connections."""
    crowd = crowd_of(context, listener_address(context, "storage instance"))
    crowd.connect([zmtp_handshake()] for _ in range(count))
    crowd.send(is_end_awaited=False)
    # Messages may follow once the other side has sent its own handshake.
    crowd.receive(len(zmtp_handshake()))
    crowd.append(messages)
    crowd.send(is_end_awaited=False)


@when(
    "{count:d} requests of {size:d} bytes between instances stop short of their"
    " last part"
)
def step_parts(context, count, size):
    *parts, _ = split(b"x" * size)
    messages = [
        zmtp_frame(bytes(8), is_last=False)
        + zmtp_frame(header, is_last=False)
        + zmtp_frame(bytes(part))
        for header, part in parts
    ]
    send_messages(context, count, [b"".join(messages)])


@when(
    "{count:d} messages of {size:d} bytes in frames of {frame:d} stop short of"
    " their last frame"
)
def step_frames(context, count, size, frame):
    send_messages(context, count, zmtp_frames(size, frame))


@when("{count:d} instances send {size:d} bytes that are no message")
def step_undecodable(context, count, size):
    address = listener_address(context, "storage instance")
    zmq_context = context.scenario_stack.enter_context(zmq.Context())
    for _ in range(count):
        socket = zmq_context.socket(zmq.DEALER)
        socket.linger = 0
        context.scenario_stack.callback(socket.close)
        socket.connect(f"tcp://{address}")
        socket.send_multipart([bytes(8), b"x" * size], copy=False)


@when("{count:d} turns of {size:d} bytes are kept, a few at a time")
def step_kept(context, count, size):
    body = b"x" * size

    def send(_):
        return site(context).ask("east", "POST", "/stream/talk/a", body)

    with concurrent.futures.ThreadPoolExecutor(_AT_A_TIME) as pool:
        answers = list(pool.map(send, range(count)))
    context.kept = [id for id, answer in answers if answer.status == 200]
    context.statuses = [answer.status for _, answer in answers]
    assert context.kept, context.statuses


@then("no process has ended")
def step_alive(context):
    for name in context.footprints:
        process = site(context).processes[name]
        assert process.alive, process.tail()


@then("no machine is over its memory or its descriptors")
def step_limits(context):
    limits = site(context).machine_limits
    for name, footprint in context.footprints.items():
        machine = limits[name.partition("-")[0]]
        held_mb = footprint.memory_bytes / _MB
        assert held_mb < machine["memory_mb"], (name, held_mb)
        sockets = machine["max_fds"] - _FILE_DESCRIPTORS
        assert footprint.sockets <= sockets, (name, footprint.sockets)
    context.feature.small_system.is_sound = True


@then("an ordinary payment and an ordinary turn are answered")
def step_ordinary(context):
    system = site(context)
    for path, body in (("/pay/a", b"pay"), ("/stream/talk/a", b"turn")):
        wait_until(
            lambda p=path, b=body: (
                system.ask("east", "POST", p, b)[1].status == 200
            ),
            f"{path} is answered",
        )


@then("an operator reads the metrics of both")
def step_metrics(context):
    for role in ("front end", "storage instance"):
        address = listener_address(context, f"metrics of the {role}")
        wait_until(
            lambda a=address: (
                Client(a).request("GET", "/metrics").status == 200
            ),
            f"the metrics of the {role} are read",
        )
    assert site(context).is_ready("east")


@then("the first and the last of these turns can be continued")
def step_continued(context):
    for turn in (context.kept[0], context.kept[-1]):
        wait_until(
            lambda t=turn: (
                site(context)
                .ask(
                    "west", "POST", "/stream/talk/a", b"on", X_Previous_Turn=t
                )[1]
                .status
                == 200
            ),
            "the turn can be continued",
        )


@then("every other one of them was refused with 503")
def step_refused(context):
    wrong = [s for s in context.statuses if s not in (200, 503)]
    assert not wrong, context.statuses


@then("no disk is over its size")
def step_disks(context):
    system = site(context)
    size_mb = system.machine_limits["storage"]["disk_mb"]
    for domain in DOMAINS:
        folder = pathlib.Path(system.folder.name, "data", f"storage-{domain}")
        used = sum(
            os.path.getsize(path)
            for path in folder.rglob("*")
            if path.is_file()
        )
        assert used < size_mb * _MB, (domain, used / _MB)


@then(
    "a payment of {size:d} bytes in chunks of {chunk:d} is answered with"
    " {status:d}"
)
def step_one_payment(context, size, chunk, status):
    _check_one(context, "/pay/a", framed(size, chunk, True), status)


@then(
    "a turn of {size:d} bytes in chunks of {chunk:d} is answered with"
    " {status:d}"
)
def step_one_turn(context, size, chunk, status):
    _check_one(context, "/stream/talk/a", framed(size, chunk, True), status)


def _check_one(context, path, framing, status):
    address = site(context).front_address("east")
    crowd = send_bodies(context, address, path, 1, framing, True)
    assert crowd.members[0].status == status, crowd.members[0].received[:200]


@then(
    "each of {count:d} turns of {size:d} bytes in one conversation is answered"
)
def step_conversation(context, count, size):
    previous = {}
    for number in range(count):
        request, answer = site(context).ask(
            DOMAINS[number % 2],
            "POST",
            "/stream/talk/a",
            b"x" * size,
            **previous,
        )
        assert answer.status == 200, (number, answer)
        previous = {"X_Previous_Turn": request}


@given("a daemon with bodies of up to {size:d} bytes")
def step_daemon(context, size):
    layout = msgspec.structs.replace(
        Layout(), per_domain=1, extra=f"[limits]\nbody_bytes = {size}\n"
    )
    start(context, layout)
    context.instance = context.system.instances[0]
    context.footprint = context.scenario_stack.enter_context(
        Footprint(context.instance.process)
    )


def _daemon_heads(path, count):
    head = f"POST {path} HTTP/1.1\r\nHost: daemon\r\n".encode()
    return (head for _ in range(count))


@when(
    "the daemon gets {count:d} calls of {size:d} bytes in chunks of {chunk:d},"
    " {end}"
)
def step_daemon_crowd(context, count, size, chunk, end):
    crowd = crowd_of(context, context.instance.http)
    framing = framed(size, chunk, _ENDS[end])
    paths = (
        "/v1/chat/completions",
        "/v1/programs",
        "/v1/services/index-office/a",
    )
    for path in paths:
        crowd.connect(requests(_daemon_heads(path, count // 3), framing))
    crowd.send(is_end_awaited=_ENDS[end])


@then("the daemon runs with less than {size:d} MB")
def step_daemon_memory(context, size):
    process = context.instance.process
    assert process.alive, process.tail()
    assert context.footprint.memory_bytes < size * _MB, (
        context.footprint.memory_bytes / _MB
    )


@then("an ordinary call of the daemon is answered")
def step_daemon_ordinary(context):
    body = {
        "model": "commentary",
        "messages": [{"role": "user", "content": "Draft it."}],
    }
    client = context.instance.client
    wait_until(
        lambda: (
            client.request("POST", "/v1/chat/completions", body).status == 200
        ),
        "the call is answered",
    )


@then("one call of {size:d} bytes is answered by the daemon with {status:d}")
def step_daemon_one(context, size, status):
    answer = context.instance.client.request(
        "POST", "/v1/services/index-office/a", b"x" * size
    )
    assert answer.status == status, answer


@when("{count:d} connections to the daemon's port for instances send nothing")
def step_daemon_connections(context, count):
    crowd = crowd_of(context, context.instance.peer)
    crowd.connect([] for _ in range(count))
    crowd.send(is_end_awaited=False)


@when(
    "{count:d} handshakes of {size:d} bytes stop short of their end at the"
    " daemon's port for instances"
)
def step_daemon_handshakes(context, count, size):
    crowd = crowd_of(context, context.instance.peer)
    greeting = zmtp_greeting(b"CURVE")
    crowd.connect([greeting] for _ in range(count))
    crowd.send(is_end_awaited=False)
    crowd.receive(len(greeting))
    crowd.append([zmtp_frame(b"x" * (size - 1), size=size)])
    crowd.send(is_end_awaited=False)


@then("the daemon has no more than {count:d} sockets")
def step_daemon_sockets(context, count):
    sockets = context.footprint.sockets
    assert sockets <= count, sockets
