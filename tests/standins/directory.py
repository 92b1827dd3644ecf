"""Stand-in for the platform's instance list, which lags.

Usage: python -m standins.directory ADDRESS LIST-AS-JSON
"""

import asyncio

from aiohttp import web

from standins.common import Faults, StandIn, argument, json_argument, run


class DirectoryFaults(Faults, kw_only=True):
    """Faults of the list.

    Attributes:
        lag_seconds: Time until a change shows.
        down: Every read fails.
    """

    lag_seconds: float = 0.0
    down: bool = False


class List(StandIn):
    """The list: ``GET /instances``, and ``PUT /instances`` to change it."""

    def __init__(self, instances: list) -> None:
        super().__init__(DirectoryFaults())
        self.instances = instances
        self.tasks: set[asyncio.Task] = set()

    def app(self) -> web.Application:
        app = super().app()
        app.router.add_get("/instances", self.read)
        app.router.add_put("/instances", self.replace)
        return app

    async def read(self, request: web.Request) -> web.Response:
        """Answers with the list as it was ``lag_seconds`` ago."""
        self.stats["reads"] += 1
        if self.faults.down:
            return web.Response(status=503)
        return web.json_response({"instances": self.instances})

    async def replace(self, request: web.Request) -> web.Response:
        """Replaces the list after the lag."""
        instances = (await request.json())["instances"]
        task = asyncio.create_task(self._replace_later(instances))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return web.Response(status=202)

    async def _replace_later(self, instances: list) -> None:
        await asyncio.sleep(self.faults.lag_seconds)
        self.instances = instances


if __name__ == "__main__":
    run(List(json_argument(2) or []).app(), argument(1))
