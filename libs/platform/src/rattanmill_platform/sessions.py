"""Sends calls of the store through an aiohttp session."""

import aiohttp

from rattanmill_platform.calls import (
    CONNECT_TIMEOUT_SECONDS,
    REVISION_HEADER,
    Reply,
    Request,
    Send,
    Unavailable,
)


def session_sender(session: aiohttp.ClientSession) -> Send:
    """Returns a function that sends calls through ``session``."""

    async def send(request: Request) -> Reply | Unavailable:
        timeout = aiohttp.ClientTimeout(
            total=request.timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            async with session.request(
                request.method,
                request.base + request.path,
                data=request.body,
                headers=request.headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
                revision = int(response.headers.get(REVISION_HEADER, 0))
                return Reply(response.status, body, revision)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unavailable(str(error or "time-out"))

    return send
