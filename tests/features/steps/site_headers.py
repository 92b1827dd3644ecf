"""Steps about headers whose value cannot be decoded."""

import collections
import contextlib
import types

from behave import then, when
from loguru import logger
from rattanmill_site.headers import HTTP_CODEC

from rattanmill_forward import Endpoint
from rattanmill_forward.dispatch import Dispatcher
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.stats import PerformanceModel
from support.virtual import run_virtually

_ENDPOINT = Endpoint("i-1", "llm", "east", "127.0.0.1:9", 8, False)
_RESPONSE = [("X-Request-Id", "r-1"), ("Content-Length", "0")]


@contextlib.contextmanager
def _recorded_events():
    """Yields the names and fields of the events that are logged."""
    events = []
    sink = logger.add(
        lambda message: events.append(
            (message.record["message"], message.record["extra"]["fields"])
        ),
        filter=lambda record: "fields" in record["extra"],
    )
    try:
        yield events
    finally:
        logger.remove(sink)


@when('an endpoint reports the load "{text}"')
def step_report(context, text):
    context.head = HTTP_CODEC.decode_response(
        200, [*_RESPONSE, ("X-Server-Load", text)]
    )


@then(
    "the load is {running:d} running, {waiting:d} waiting and {slots:d} slots"
    " with a slowdown of {slowdown}"
)
def step_load(context, running, waiting, slots, slowdown):
    load = context.head.load
    assert (load.running, load.waiting, load.slots) == (running, waiting, slots)
    assert str(load.slowdown) == slowdown, load


@then("no header is undecodable")
def step_none(context):
    assert not context.head.undecodable, context.head


@when('an endpoint responds twice with the header "{name}" of "{value}"')
def step_respond(context, name, value):
    context.counts = counts = collections.Counter()

    async def respond():
        dispatcher = Dispatcher(
            EndpointRegistry(),
            PerformanceModel("east"),
            *(None, None, None, None),
            types.SimpleNamespace(
                count=lambda name, **labels: counts.update(
                    [(name, *labels.values())]
                )
            ),
        )
        for _ in range(2):
            head = HTTP_CODEC.decode_response(200, [*_RESPONSE, (name, value)])
            dispatcher.record_undecodable(_ENDPOINT, head)

    with _recorded_events() as context.events:
        run_virtually(respond())


@then('"{name}" is counted as undecodable twice and logged once')
def step_counted(context, name):
    counted = ("rattanmill_undecodable_headers", "endpoint", name)
    assert context.counts == {counted: 2}, context.counts
    logged = [
        fields
        for event, fields in context.events
        if event == "header_undecodable"
    ]
    assert [fields["header"] for fields in logged] == [name], context.events
    assert logged[0]["endpoint"] == _ENDPOINT.name


@when('a caller sends the header "{name}" of "{value}"')
def step_send(context, name, value):
    headers = [("X-Request-Id", "r-1"), ("Host", "a")]
    context.without = HTTP_CODEC.decode_call("POST", "/a/", headers)
    context.call = HTTP_CODEC.decode_call(
        "POST", "/a/", [*headers, (name, value)]
    )


@then('"{name}" of the request is undecodable')
def step_undecodable(context, name):
    assert context.call.undecodable == (name,), context.call


@then('the request is decoded as if it did not have "{name}"')
def step_as_without(context, name):
    context.call.undecodable = ()
    context.call.headers = context.without.headers
    assert context.call == context.without, context.call
