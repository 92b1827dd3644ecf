"""The project's stand-in for the store, with a new id for each lease.

The stand-in gives an id again once a lease has been ended, also one that
another lease still has. On the users' pages leases are apart.

Usage: python3 store.py ADDRESS
"""

import itertools
import time

from aiohttp import web

from standins.common import argument, run
from standins.sitestore import Lease, SiteStore


class Store(SiteStore):
    """The store's state."""

    def __init__(self) -> None:
        super().__init__()
        self.lease_ids = itertools.count(7)

    async def grant(self, request: web.Request) -> web.Response:
        """Answers ``POST /v1/kv-lease``."""
        seconds = (await request.json())["ttl_ms"] / 1000
        lease = next(self.lease_ids)
        self.leases[lease] = Lease(seconds, time.monotonic() + seconds)
        return web.json_response({"lease": lease, "ttl_ms": seconds * 1000})


if __name__ == "__main__":
    run(Store().app(), argument(1))
