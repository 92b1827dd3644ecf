"""Steps of callers that write request heads and bodies to a socket."""

import gzip
import http.client
import io
import itertools
import random
import socket
import time

from behave import given, then, when
from steps.site import site

from support import wait_until

_HOST = "Host: tents.example\r\nX-Deadline-Ms: 3000\r\n"
_HIDDEN = "X-Request-Id: hidden01\r\n"
_IDS = itertools.count(1)


def connect(context, domain="east"):
    host, _, port = site(context).front_address(domain).rpartition(":")
    context.sock = socket.create_connection((host, int(port)), timeout=10)
    context.scenario_stack.callback(context.sock.close)
    context.request = f"b0d1{next(_IDS):08x}"
    return context.sock


def request_head(context, *lines, path="/pay/long"):
    return (
        f"POST {path} HTTP/1.1\r\n{_HOST}X-Request-Id: {context.request}\r\n"
        + "".join(f"{line}\r\n" for line in lines)
        + "\r\n"
    ).encode()


def read_status(context):
    """Reads one response; returns its status."""
    response = http.client.HTTPResponse(context.sock)
    response.begin()
    response.read()
    return response.status


@given('a configuration with "{name}" of {value:d}')
def step_limit(context, name, value):
    site(context).configure(**{name: value})
    context.scenario_stack.callback(site(context).configure)
    version = site(context).version
    for domain in ("east", "west", "north"):
        front = site(context).processes[f"front-{domain}"]
        wait_until(
            lambda f=front: (
                f.events("config_in_force")[-1]["version"] == version
            ),
            "the configuration is in force",
        )


@when('half a request head is sent to "{domain}"')
def step_half_head(context, domain):
    connect(context, domain).sendall(b"POST /pay/a HTTP/1.1\r\nHost: te")


@then("the connection is answered with {status:d} and closed")
def step_answered_closed(context, status):
    data = b""
    while part := context.sock.recv(4096):
        data += part
    assert data.startswith(f"HTTP/1.1 {status} ".encode()), data


@then("the connection is answered with {status:d}")
def step_answered(context, status):
    found = read_status(context)
    assert found == status, found


@when("a payment announces {size:d} bytes and sends {sent:d}")
def step_announces(context, size, sent):
    sock = connect(context)
    sock.sendall(request_head(context, f"Content-Length: {size}") + b"x" * sent)


@when("a request without a route announces {size:d} bytes and sends {sent:d}")
def step_no_route(context, size, sent):
    sock = connect(context)
    head = request_head(context, f"Content-Length: {size}", path="/nowhere/")
    sock.sendall(head + b"x" * sent)


@when("the other {size:d} bytes are sent and {seconds:f} seconds pass")
def step_rest(context, size, seconds):
    context.sock.sendall(b"x" * size)
    time.sleep(seconds)


@when("a payment is sent on the same connection")
def step_same_connection(context):
    context.request = f"b0d1{next(_IDS):08x}"
    head = request_head(context, "Content-Length: 4", path="/pay/a")
    context.sock.sendall(head + b"body")


@when('a payment that expects "{what}" is sent to "{domain}"')
def step_expects(context, what, domain):
    sock = connect(context, domain)
    sock.sendall(request_head(context, "Content-Length: 4", f"Expect: {what}"))


@then("the caller is asked to continue, and is then answered with {status:d}")
def step_asked_to_continue(context, status):
    interim = context.sock.recv(25, socket.MSG_WAITALL)
    assert interim == b"HTTP/1.1 100 Continue\r\n\r\n", interim
    context.sock.sendall(b"body")
    step_answered(context, status)


@then("the endpoint received its body and no Expect header")
def step_got_body(context):
    (received,) = site(context).received_requests(context.request)
    assert received["body"] == "body", received
    assert "expect" not in received["headers"], received


def hidden_request():
    return (
        f"POST /pay/hidden HTTP/1.1\r\n{_HOST}{_HIDDEN}"
        "Content-Length: 0\r\n\r\n"
    ).encode()


@when("a request framed by {framing} contains another request")
def step_smuggled_request(context, framing):
    inside = hidden_request()
    chunked = "Transfer-Encoding: chunked"
    lines, body = {
        "both": (
            [f"Content-Length: {len(inside) + 5}", chunked],
            b"0\r\n\r\n" + inside,
        ),
        "two lengths": (
            ["Content-Length: 0", f"Content-Length: {len(inside)}"],
            inside,
        ),
        "a bad chunk": ([chunked], b"0x0\r\n\r\n" + inside),
        "a signed size": (["Content-Length: +0"], inside),
    }[framing]
    connect(context).sendall(request_head(context, *lines) + body)


@then("no endpoint received it or the hidden request")
def step_not_seen(context):
    assert not site(context).received_requests(context.request)
    assert not site(context).received_requests("hidden01")


def send_chunks(sock, data):
    for start in range(0, len(data), 7000):
        part = data[start : start + 7000]
        sock.sendall(b"%x\r\n%s\r\n" % (len(part), part))


def is_streamed(context, domain):
    front = site(context).processes[f"front-{domain}"]
    return any(
        line["request"] == context.request and line["streamed"]
        for line in front.events("admitted")
    )


@when('a payment of {size:d} bytes in chunks is sent to "{domain}"')
def step_chunks(context, size, domain):
    sock = connect(context, domain)
    sent = io.BytesIO(bytes(i % 251 for i in range(size)))
    context.body = sent.getvalue()
    sock.sendall(request_head(context, "Transfer-Encoding: chunked"))
    send_chunks(sock, sent.read(80_000))
    # Buffered data could be sent again, so the end of the body waits until the
    # front end has begun to stream it.
    wait_until(lambda: is_streamed(context, domain), "the body is streamed")
    send_chunks(sock, sent.read())
    sock.sendall(b"0\r\n\r\n")


@then("the endpoint received all {size:d} bytes")
def step_got_all(context, size):
    (received,) = site(context).received_requests(context.request)
    assert len(context.body) == size
    assert received["body"].encode("latin-1") == context.body


@then("it was sent to one endpoint")
def step_sent_once(context):
    (received,) = site(context).received_requests(context.request)
    assert received["fault"] == "shed", received


@when('a look-up with a long response is sent to "{domain}"')
def step_long_response(context, domain):
    context.domain = domain
    context.request, context.answer = site(context).ask(
        domain, "GET", "/seek/large"
    )


@then('the response has {size:d} bytes, which the log of "{domain}" tells')
def step_long_logged(context, size, domain):
    assert len(context.answer.body) == size
    front_end = site(context).processes[f"front-{domain}"]
    answered = [
        line
        for line in front_end.events("answered")
        if line["request"] == context.request
    ]
    assert [line["size"] for line in answered] == [size], answered


@then('"{domain}" suspects the endpoint')
def step_suspects(context, domain):
    front_end = site(context).processes[f"front-{domain}"]
    names = {
        received["endpoint"]
        for received in site(context).received_requests(context.request)
    }
    suspected = {
        line["endpoint"] for line in front_end.events("endpoint_suspected")
    }
    assert names <= suspected, (names, suspected)


def send_encoded(context, body, encoding):
    context.sent_body, context.sent_encoding = body, encoding
    head = request_head(
        context,
        f"Content-Length: {len(body)}",
        f"Content-Encoding: {encoding}",
    )
    context.sock.sendall(head + body)


@when(
    'a payment of {size:d} random bytes labelled "{encoding}" is sent to'
    ' "{domain}"'
)
def step_send_labelled(context, size, encoding, domain):
    body = random.Random(size).randbytes(size)
    connect(context, domain)
    send_encoded(context, body, encoding)


@when('a payment that is compressed with gzip is sent to "{domain}"')
def step_send_compressed(context, domain):
    connect(context, domain)
    send_encoded(context, gzip.compress(b"amount=17" * 10), "gzip")


@then("the endpoint received these bytes with that label")
def step_received_encoded(context):
    (received,) = site(context).received_requests(context.request)
    assert received["body"].encode("latin-1") == context.sent_body, received
    encoding = received["headers"]["content-encoding"]
    assert encoding == context.sent_encoding, encoding
