"""Stand-in for the users' platform's store, by its published protocol.

Usage: python -m standins.sitestore ADDRESS
"""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

from standins.common import Faults, StandIn, argument, drop, run

_LEASE_SCAN_SECONDS = 0.05
_ENDLESS_PART = bytes(64 * 1024)


class StoreFaults(Faults, kw_only=True):
    """Faults of the store.

    Attributes:
        down: Every call is answered with 503.
        silent: Calls are not answered at all.
        lose_answers: So many further writes take effect without an answer.
        refuse_sources: Addresses whose calls are refused, also watches that
            wait.
        silent_sources: Addresses whose calls get no answer, also those that
            wait.
        late_watches: Addresses whose watches are held back: they tell of
            nothing and end after half their time, long before their callers
            give them up. Other calls are answered.
        endless_sources: Addresses whose calls are answered with a body that
            never ends.
        views: Texts that are replaced in the values which an address reads,
            by address: what lies behind a link has the link's address.
    """

    down: bool = False
    silent: bool = False
    lose_answers: int = 0
    refuse_sources: list[str] = msgspec.field(default_factory=list)
    silent_sources: list[str] = msgspec.field(default_factory=list)
    late_watches: list[str] = msgspec.field(default_factory=list)
    endless_sources: list[str] = msgspec.field(default_factory=list)
    views: dict[str, dict[str, str]] = msgspec.field(default_factory=dict)


class Item(msgspec.Struct):
    """A key; a value of None after its removal."""

    key: str
    value: str | None
    revision: int
    lease: int = 0


class Lease(msgspec.Struct):
    """A lease and the monotonic time at which it lapses."""

    seconds: float
    until: float


async def _send_endlessly(request: web.Request) -> None:
    """Sends a body until the caller closes the connection."""
    response = web.StreamResponse()
    await response.prepare(request)
    while True:
        await response.write(_ENDLESS_PART)


class SiteStore(StandIn):
    """The store's state."""

    def __init__(self) -> None:
        super().__init__(StoreFaults())
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.revision = 1
        self.oldest = 0
        # Watches of an earlier round are never answered.
        self.round = 0
        self.changed = asyncio.Condition()

    def app(self) -> web.Application:
        app = super().app()
        app.middlewares.append(self._fail)
        app.router.add_get("/v1/kv-key", self.read)
        app.router.add_get("/v1/kv-range", self.range)
        app.router.add_get("/v1/kv-watch", self.watch)
        app.router.add_post("/v1/kv-txn", self.change)
        app.router.add_post("/v1/kv-lease", self.grant)
        app.router.add_post("/v1/kv-keep/{lease}", self.renew)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self.end)
        # For tests only: writes a key past all conditions.
        app.router.add_put("/put", self.put)
        app.router.add_delete("/put", self.remove)
        app.router.add_post("/compact", self.compact)
        app.router.add_post("/silence", self.silence)
        app.cleanup_ctx.append(self._lapse_leases)
        return app

    @web.middleware
    async def _fail(self, request: web.Request, handler) -> web.StreamResponse:
        if not request.path.startswith("/v1/"):
            return await handler(request)
        faults = self.faults
        self.stats[request.path] += 1
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.down or request.remote in faults.refuse_sources:
            return web.Response(status=503)
        if request.remote in faults.endless_sources:
            await _send_endlessly(request)
        answer = await handler(request)
        if request.remote in self.faults.silent_sources:
            await asyncio.sleep(3600)
        if request.method == "POST" and faults.lose_answers:
            faults.lose_answers -= 1
            await drop(request)
        if self.faults.down:
            await drop(request)
        return answer

    async def _set_faults(self, request: web.Request) -> web.Response:
        answer = await super()._set_faults(request)
        # Watches that wait see it at once.
        async with self.changed:
            self.changed.notify_all()
        return answer

    async def _set(self, key: str, value: str | None, lease: int) -> None:
        self.items[key] = Item(key, value, self.revision, lease)
        async with self.changed:
            self.changed.notify_all()

    def _seen(self, item: Item, request: web.Request) -> dict:
        """Returns an item as the asker sees it."""
        seen = msgspec.to_builtins(item)
        view = self.faults.views.get(request.remote or "", {})
        value = base64.b64decode(item.value or "")
        for text, shown in view.items():
            value = value.replace(text.encode(), shown.encode())
        return {**seen, "value": base64.b64encode(value).decode()}

    def _live(self, key: str) -> Item | None:
        item = self.items.get(key)
        return item if item and item.value is not None else None

    async def read(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/kv-key``."""
        item = self._live(request.query["key"])
        if item is None:
            return web.Response(status=404)
        body = {**self._seen(item, request), "current_rev": self.revision}
        return web.json_response(body)

    async def range(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/kv-range``, three items a page."""
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        found = sorted(
            item.key
            for item in self.items.values()
            if item.value is not None
            and item.key.startswith(prefix)
            and item.key > after
        )
        page = [self._seen(self.items[key], request) for key in found[:3]]
        body = {
            "items": page,
            "truncated": len(found) > len(page),
            "current_rev": self.revision,
        }
        return web.json_response(body)

    async def watch(self, request: web.Request) -> web.Response:
        """Answers ``GET /v1/kv-watch``."""
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        asked = loop.time()
        seconds = int(request.query["wait_ms"]) / 1000
        began = self.round
        while True:
            if self.round != began:
                await asyncio.sleep(3600)
            if request.remote in self.faults.refuse_sources:
                return web.Response(status=503)
            if after < self.oldest:
                return web.Response(status=410)
            is_late = request.remote in self.faults.late_watches
            end = asked + seconds * (0.5 if is_late else 1.0)
            news = [] if is_late else self._news(prefix, after)
            if news or loop.time() >= end:
                break
            async with self.changed:
                try:
                    async with asyncio.timeout(end - loop.time()):
                        await self.changed.wait()
                except TimeoutError:
                    continue
        events = [
            self._seen(item, request)
            if item.value is not None
            else {
                "key": item.key,
                "revision": item.revision,
                "tombstone": True,
            }
            for item in news
        ]
        revision = after if is_late else self.revision
        body = {"events": events, "current_rev": revision}
        return web.json_response(body)

    def _news(self, prefix: str, after: int) -> list[Item]:
        """Returns what has changed after a revision, oldest first."""
        return sorted(
            (
                item
                for item in self.items.values()
                if item.revision > after and item.key.startswith(prefix)
            ),
            key=lambda item: item.revision,
        )

    async def change(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/kv-txn``."""
        asked = await request.json()
        rows = asked["precondition"]
        for row in rows:
            item = self._live(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                found = [self._live(row["key"]) for row in rows]
                items = [self._seen(item, request) for item in found if item]
                return web.json_response({"items": items}, status=412)
        leases = {row.get("lease", 0) for row in asked["set_keys"]} - {0}
        if leases - set(self.leases):
            return web.Response(status=404)
        self.revision += 1
        for row in asked["set_keys"]:
            base64.b64decode(row["value"], validate=True)
            await self._set(row["key"], row["value"], row.get("lease", 0))
        for key in asked["remove"]:
            await self._set(key, None, 0)
        return web.json_response({"revision": self.revision})

    async def put(self, request: web.Request) -> web.Response:
        """Writes the body under ``key``."""
        self.revision += 1
        value = base64.b64encode(await request.read()).decode()
        await self._set(request.query["key"], value, 0)
        return web.json_response({"revision": self.revision})

    async def remove(self, request: web.Request) -> web.Response:
        """Removes ``key``."""
        self.revision += 1
        await self._set(request.query["key"], None, 0)
        return web.json_response({"revision": self.revision})

    async def compact(self, request: web.Request) -> web.Response:
        """Forgets all history, and wakes those who wait for it."""
        self.revision += 1
        self.oldest = self.revision
        async with self.changed:
            self.changed.notify_all()
        return web.json_response({})

    async def silence(self, request: web.Request) -> web.Response:
        """Lets the connections of all waiting watches go silent."""
        self.round += 1
        return web.json_response({})

    async def grant(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/kv-lease``."""
        seconds = (await request.json())["ttl_ms"] / 1000
        lease = len(self.leases) + 7
        self.leases[lease] = Lease(seconds, time.monotonic() + seconds)
        return web.json_response({"lease": lease, "ttl_ms": seconds * 1000})

    async def renew(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/kv-keep/LEASE``."""
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.until = time.monotonic() + lease.seconds
        return web.json_response({"ttl_ms": lease.seconds * 1000})

    async def end(self, request: web.Request) -> web.Response:
        """Answers ``DELETE /v1/kv-lease-end/LEASE``."""
        await self._end(int(request.match_info["lease"]))
        return web.json_response({})

    async def _end(self, number: int) -> None:
        self.leases.pop(number, None)
        keys = [k for k, i in self.items.items() if i.lease == number]
        for key in keys:
            self.revision += 1
            await self._set(key, None, 0)

    async def _lapse_leases(self, app: web.Application):
        task = asyncio.create_task(self._scan())
        yield
        task.cancel()

    async def _scan(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_SCAN_SECONDS)
            now = time.monotonic()
            for number in [
                n for n, le in self.leases.items() if le.until < now
            ]:
                await self._end(number)


if __name__ == "__main__":
    run(SiteStore().app(), argument(1))
