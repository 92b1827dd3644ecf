"""The parts of aiohttp's server that a front end uses.

``aiohttp.web`` also imports its router, file responses and websockets, which
takes a fifteenth of the processor time of a front end's start.
"""

from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

__all__ = [
    "BaseRequest",
    "RequestHandler",
    "Response",
    "Server",
    "StreamResponse",
]
