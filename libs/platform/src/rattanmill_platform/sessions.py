"""Sends calls of the store through an aiohttp session."""

import aiohttp

from rattanmill_platform.calls import (
    CONNECT_TIMEOUT_SECONDS,
    REVISION_HEADER,
    Excess,
    Reply,
    Request,
    Send,
    Unavailable,
)

# Ranges have no pages: the last 50 configurations of 1 MB in base64, and as
# much again.
_MAX_REPLY_BYTES = 128 * 1024 * 1024


class OversizedError(aiohttp.ClientPayloadError):
    """A body exceeds its maximum size."""


async def read_bounded(
    response: aiohttp.ClientResponse, max_bytes: int
) -> bytes:
    """Returns a response's body.

    Raises:
        OversizedError: It exceeds ``max_bytes``; the rest is not read.
        aiohttp.ClientError: The body was broken off.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            raise OversizedError(f"response exceeds {max_bytes} bytes of body")
    return bytes(body)


def session_sender(
    session: aiohttp.ClientSession, max_bytes: int = _MAX_REPLY_BYTES
) -> Send:
    """Returns a function that sends calls through ``session``.

    Args:
        session: HTTP session of the process.
        max_bytes: Maximum size of a response's body.
    """

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
                body = await read_bounded(response, max_bytes)
                revision = int(response.headers.get(REVISION_HEADER, 0))
                return Reply(response.status, body, revision)
        except OversizedError as error:
            return Unavailable(str(error), Excess.BODY)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Unavailable(str(error) or "time-out")

    return send
