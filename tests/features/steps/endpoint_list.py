"""Steps about the client of the platform's instance list."""

import asyncio
import json

import aiohttp
from aiohttp import web
from behave import given, then, when

from rattanmill_platform import Directory

_NAMES = ["one", "two"]
_FAULTS = {
    "fails with a body that has no list": (503, b'{"error": "busy"}'),
    "fails with a body that has a list": (503, b'{"instances": []}'),
    "ends within the list": (200, b'{"instances": ['),
}


def _whole_list():
    entry = {
        "kind": "engine",
        "service": "llm",
        "domain": "east",
        "url": "http://127.0.0.1:9",
    }
    listed = [{"name": name, **entry} for name in _NAMES]
    return json.dumps({"instances": listed}).encode()


@given("a list of 2 endpoints that was read")
def step_list(context):
    context.replies = [(200, _whole_list())]


@when("the next read {fault}")
def step_read(context, fault):
    context.replies.append(_FAULTS[fault])
    context.known = []

    def store(endpoints):
        context.known = [endpoint.name for endpoint in endpoints]

    async def reply(request):
        status, body = context.replies.pop(0)
        return web.Response(status=status, body=body)

    async def run():
        server = web.AppRunner(_app(reply))
        await server.setup()
        site = web.TCPSite(server, "127.0.0.1", 0)
        await site.start()
        _, port = server.addresses[0]
        async with aiohttp.ClientSession() as session:
            url = f"http://127.0.0.1:{port}/instances"
            async with Directory(url, session, store) as directory:
                assert context.known == _NAMES, context.known
                await directory._poll()
        await server.cleanup()

    asyncio.run(run())


def _app(reply):
    app = web.Application()
    app.router.add_get("/instances", reply)
    return app


@then("both endpoints are still known")
def step_known(context):
    assert not context.replies
    assert context.known == _NAMES, context.known
