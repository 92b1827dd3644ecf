"""Stand-in for the platform's key-value service; see docs/PLATFORM.md.

Usage: python -m standins.kv ADDRESS
"""

import asyncio
import base64
import time
import uuid

import msgspec
from aiohttp import web

from standins.common import Faults, StandIn, argument, drop, run

_VALUE_BYTES = 1024 * 1024
_LEASE_SCAN_SECONDS = 0.05


class KvFaults(Faults, kw_only=True):
    """Faults of the key-value service.

    Attributes:
        down: Every call is dropped.
        slow_seconds: Added to each call.
        slow_match: Only calls whose path contains this are slow.
        lose_answers: So many further writes take effect without an answer.
        lose_match: Only writes whose key contains this lose their answer.
        writes_per_second: Rate above which writes are refused; 0: none.
        reads_per_second: Rate above which reads are refused; 0: none.
        refuse_match: Writes whose path contains this are refused with 429.
        hold_leases: Whether leases do not lapse while it is down.
    """

    down: bool = False
    slow_seconds: float = 0.0
    slow_match: str = ""
    lose_answers: int = 0
    lose_match: str = ""
    writes_per_second: int = 0
    reads_per_second: int = 0
    refuse_match: str = ""
    hold_leases: bool = False


class Item(msgspec.Struct):
    """A key's value; None after a delete."""

    value: bytes | None
    revision: int
    lease: str = ""


class Lease(msgspec.Struct):
    """A lease and the monotonic time at which it lapses."""

    seconds: float
    until: float


class Kv(StandIn):
    """The service's state."""

    def __init__(self) -> None:
        super().__init__(KvFaults())
        self.items: dict[str, Item] = {}
        self.leases: dict[str, Lease] = {}
        self.revision = 0
        self.changed = asyncio.Condition()
        self.window = 0
        self.used = {"write": 0, "read": 0}

    def app(self) -> web.Application:
        app = super().app()
        app.middlewares.append(self._fail)
        app.router.add_get("/kv/{key:.+}", self.read)
        app.router.add_put("/kv/{key:.+}", self.write)
        app.router.add_delete("/kv/{key:.+}", self.delete)
        app.router.add_get("/range", self.range)
        app.router.add_get("/watch", self.watch)
        app.router.add_post("/leases", self.grant)
        app.router.add_post("/leases/{lease}/renew", self.renew)
        app.router.add_delete("/leases/{lease}", self.revoke)
        app.cleanup_ctx.append(self._lapse_leases)
        return app

    @web.middleware
    async def _fail(self, request: web.Request, handler) -> web.StreamResponse:
        if request.path in ("/faults", "/stats"):
            return await handler(request)
        faults = self.faults
        if faults.down:
            await drop(request)
        if request.method == "PUT" and "/log/" in request.path:
            self.stats["log_writes_begun"] += 1
        if faults.slow_seconds and faults.slow_match in request.path:
            await asyncio.sleep(faults.slow_seconds)
        is_write = request.method in ("PUT", "DELETE", "POST")
        kind = "write" if is_write else "read"
        self.stats[f"{kind}s"] += 1
        self.stats[f"{request.method} {request.path.split('/')[1]}"] += 1
        refused = faults.refuse_match and faults.refuse_match in request.path
        if self._over_rate(kind) or (is_write and refused):
            self.stats[f"{kind}s_refused"] += 1
            return web.Response(status=429)
        answer = await handler(request)
        if (
            is_write
            and faults.lose_answers
            and faults.lose_match in (request.path)
        ):
            faults.lose_answers -= 1
            self.stats["answers_lost"] += 1
            await drop(request)
        if self.faults.down:
            await drop(request)
        return answer

    def _over_rate(self, kind: str) -> bool:
        most = getattr(self.faults, f"{kind}s_per_second")
        second = int(time.monotonic())
        if second != self.window:
            self.window = second
            self.used = {"write": 0, "read": 0}
        self.used[kind] += 1
        peak = f"peak_{kind}s_per_second"
        self.stats[peak] = max(self.stats[peak], self.used[kind])
        return bool(most) and self.used[kind] > most

    async def _set(self, key: str, value: bytes | None, lease: str) -> int:
        self.revision += 1
        self.items[key] = Item(value, self.revision, lease)
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def read(self, request: web.Request) -> web.Response:
        """Answers ``GET /kv/KEY``."""
        item = self.items.get(request.match_info["key"])
        if item is None or item.value is None:
            return _answer(404, b"", 0)
        return _answer(200, item.value, item.revision)

    async def write(self, request: web.Request) -> web.Response:
        """Answers ``PUT /kv/KEY?expect=REVISION&lease=LEASE``."""
        key = request.match_info["key"]
        value = await request.read()
        lease = request.query.get("lease", "")
        if len(value) > _VALUE_BYTES:
            return _answer(413, b"value too large", 0)
        if lease and lease not in self.leases:
            return _answer(410, b"lease lapsed", 0)
        item = self.items.get(key)
        found = item.revision if item and item.value is not None else 0
        if found != int(request.query["expect"]):
            return _answer(409, b"", found)
        self.stats["bytes_written"] += len(value)
        return _answer(200, b"", await self._set(key, value, lease))

    async def delete(self, request: web.Request) -> web.Response:
        """Answers ``DELETE /kv/KEY``."""
        key = request.match_info["key"]
        if key in self.items and self.items[key].value is not None:
            await self._set(key, None, "")
        return _answer(200, b"", self.revision)

    async def range(self, request: web.Request) -> web.Response:
        """Answers ``GET /range?prefix=PREFIX``."""
        prefix = request.query["prefix"]
        return self._entries(
            [
                (key, item)
                for key, item in self.items.items()
                if key.startswith(prefix) and item.value is not None
            ]
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Answers ``GET /watch?prefix=PREFIX&after=REVISION&wait=SECONDS``."""
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + float(request.query["wait"])
        while True:
            news = [
                (key, item)
                for key, item in self.items.items()
                if item.revision > after and key.startswith(prefix)
            ]
            left = end - loop.time()
            if news or left <= 0:
                return self._entries(news)
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue

    def _entries(self, items: list[tuple[str, Item]]) -> web.Response:
        entries = [
            {
                "key": key,
                "value": None
                if item.value is None
                else base64.b64encode(item.value).decode(),
                "revision": item.revision,
            }
            for key, item in sorted(items, key=lambda pair: pair[0])
        ]
        body = msgspec.json.encode(
            {"entries": entries, "revision": self.revision}
        )
        return _answer(200, body, self.revision)

    async def grant(self, request: web.Request) -> web.Response:
        """Answers ``POST /leases?ttl=SECONDS``."""
        seconds = float(request.query["ttl"])
        name = uuid.uuid4().hex
        self.leases[name] = Lease(seconds, time.monotonic() + seconds)
        return _answer(200, msgspec.json.encode({"lease": name}), 0)

    async def renew(self, request: web.Request) -> web.Response:
        """Answers ``POST /leases/LEASE/renew``."""
        lease = self.leases.get(request.match_info["lease"])
        if lease is None:
            return _answer(404, b"", 0)
        lease.until = time.monotonic() + lease.seconds
        return _answer(200, b"", 0)

    async def revoke(self, request: web.Request) -> web.Response:
        """Answers ``DELETE /leases/LEASE``."""
        await self._end_lease(request.match_info["lease"])
        return _answer(200, b"", self.revision)

    async def _end_lease(self, name: str) -> None:
        self.leases.pop(name, None)
        keys = [k for k, item in self.items.items() if item.lease == name]
        for key in keys:
            await self._set(key, None, "")

    async def _lapse_leases(self, app: web.Application):
        task = asyncio.create_task(self._scan_leases())
        yield
        task.cancel()

    async def _scan_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_SCAN_SECONDS)
            if self.faults.down and self.faults.hold_leases:
                for lease in self.leases.values():
                    lease.until = time.monotonic() + lease.seconds
                continue
            now = time.monotonic()
            for name in [n for n, le in self.leases.items() if le.until < now]:
                self.stats["leases_lapsed"] += 1
                await self._end_lease(name)


def _answer(status: int, body: bytes, revision: int) -> web.Response:
    return web.Response(
        status=status, body=body, headers={"KV-Revision": str(revision)}
    )


if __name__ == "__main__":
    run(Kv().app(), argument(1))
