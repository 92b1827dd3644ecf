"""Client of the platform's instance list: live and leaving endpoints.

The list lags, so it is only one of several signals; see
``rattanmill_policy``.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Self

import aiohttp
import msgspec

from rattanmill_core import DECODE_ERRORS, part_logger, start_loop
from rattanmill_platform.sessions import read_bounded

_log = part_logger("directory")
_POLL_SECONDS = 1.0
_CALL_TIMEOUT_SECONDS = 2.0
# Several times a list of all endpoints of a large fleet.
_MAX_LIST_BYTES = 16 * 1024 * 1024


class Endpoint(msgspec.Struct, frozen=True):
    """An endpoint in the instance list.

    Attributes:
        name: Unique name.
        kind: ``engine`` or ``service``.
        service: Name of the service it belongs to, such as ``model-bank``.
        domain: Failure domain.
        url: Base URL.
        models: Models an engine serves.
        state: ``live`` or ``leaving``.
        fencing: Whether it rejects requests with an old fencing token.
    """

    name: str
    kind: str
    service: str
    domain: str
    url: str
    models: list[str] = msgspec.field(default_factory=list)
    state: str = "live"
    fencing: bool = False


class _InstanceList(msgspec.Struct):
    instances: list[Endpoint]


class Directory:
    """Polls the instance list and passes on each one that was read.

    Args:
        url: URL of the list.
        session: HTTP session of the process.
        on_list: Called with the endpoints of each list that was read.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        on_list: Callable[[list[Endpoint]], None],
    ) -> None:
        self.url = url
        self.session = session
        self.on_list = on_list
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        await self._poll()
        self.task = start_loop("directory", self._poll_periodically())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _poll_periodically(self) -> None:
        while True:
            await asyncio.sleep(random.uniform(0.8, 1.2) * _POLL_SECONDS)
            await self._poll()

    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_SECONDS)
        try:
            async with self.session.get(
                self.url, timeout=timeout, raise_for_status=True
            ) as response:
                body = await read_bounded(response, _MAX_LIST_BYTES)
                listed = msgspec.json.decode(body, type=_InstanceList)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            *DECODE_ERRORS,
        ) as error:
            _log.debug("Could not read the instance list: {}", error)
            return
        self.on_list(listed.instances)
