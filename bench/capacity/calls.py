"""Calls that the measures make."""

import json
from collections.abc import Callable

import aiohttp

JSON = {"Content-Type": "application/json"}
_HELLO = {"model": "commentary", "messages": [{"role": "user", "content": "x"}]}


def chat(
    address: str, fields: dict, headers: dict[str, str]
) -> Callable[[aiohttp.ClientSession, int], object]:
    """Returns a chat call to an address; ``fields`` go into its body."""
    body = json.dumps({**_HELLO, **fields}).encode()

    async def call(http: aiohttp.ClientSession, number: int) -> bool:
        async with http.post(
            f"http://{address}/v1/chat/completions",
            data=body,
            headers={**JSON, **headers},
        ) as answer:
            await answer.read()
            return answer.status == 200

    return call
