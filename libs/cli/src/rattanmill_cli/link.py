"""HTTP client for one instance; returns decoded values or raises errors."""

import os
import pathlib
from typing import Any, Self, TypeVar

import aiohttp
import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    ConflictError,
    Reason,
    RefusedError,
    UnreachableError,
    UsageError,
)

ADDRESS_VARIABLE = "RATTANMILL_ADDRESS"
TOKEN_VARIABLE = "RATTANMILL_TOKEN_FILE"
_TOTAL_TIMEOUT_SECONDS = 40.0
_CONNECT_TIMEOUT_SECONDS = 5.0
_T = TypeVar("_T")


class Problem(msgspec.Struct):
    """The problem details of a refusal that the command uses."""

    detail: str
    reason: str
    ran: str = "no"
    retry_after: float | None = None


class LostAnswerError(UnreachableError):
    """The request was sent but not answered; it may have taken effect."""


class StoreSilentError(RefusedError):
    """The key-value service did not respond.

    Attributes:
        may_have_run: Whether the change may have been stored nevertheless.
    """

    may_have_run = False


class Link:
    """HTTP client of a command for one instance.

    Args:
        address: ``IP:PORT``, or empty to take it from the environment.
        token_file: File with the operators' token, or empty to take its
            path from the environment.

    Raises:
        UsageError: There is no address, or the token cannot be read.
    """

    def __init__(self, address: str = "", token_file: str = "") -> None:
        self.address = address or os.environ.get(ADDRESS_VARIABLE, "")
        if not self.address:
            raise UsageError(
                "No instance named: give --address IP:PORT or set"
                f" {ADDRESS_VARIABLE}."
            )
        self.headers = {"Content-Type": "application/json"}
        token_file = token_file or os.environ.get(TOKEN_VARIABLE, "")
        if token_file:
            token = _read_token(token_file)
            self.headers["Authorization"] = f"Bearer {token}"

    async def __aenter__(self) -> Self:
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=_TOTAL_TIMEOUT_SECONDS,
                sock_connect=_CONNECT_TIMEOUT_SECONDS,
            )
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.session.close()

    async def get(self, path: str, kind: type[_T]) -> _T:
        """Reads ``path`` and returns the answer as ``kind``."""
        return self._decode(await self.call("GET", path), kind)

    async def read(self, method: str, path: str) -> dict[str, Any]:
        """Makes a call without a body and returns the answer as a table."""
        return self._decode(await self.call(method, path), dict[str, Any])

    async def put(self, path: str, body: Any, kind: type[_T]) -> _T:
        """Writes ``body`` to ``path`` and returns the answer."""
        data = msgspec.json.encode(body)
        return self._decode(await self.call("PUT", path, data), kind)

    async def call(
        self, method: str, path: str, data: bytes | None = None
    ) -> bytes:
        """Returns the body of an answer.

        Raises:
            UnreachableError: The connection failed or no answer came.
            RefusedError: The instance refused; the message says what to do.
        """
        url = f"http://{self.address}{path}"
        try:
            async with self.session.request(
                method, url, data=data, headers=self.headers
            ) as answer:
                body = await answer.read()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as error:
            raise UnreachableError(
                f"No instance answers at {self.address} ({error}). Is the"
                " address right? Try another instance with --address."
            ) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise LostAnswerError(
                f"{self.address} did not answer ({error or 'time-out'}). Try"
                " again, or another instance with --address."
            ) from error
        if answer.status >= 300:
            raise _refused(answer.status, body, self.address)
        return body

    def _decode(self, body: bytes, kind: type[_T]) -> _T:
        try:
            return msgspec.json.decode(body, type=kind)
        except DECODE_ERRORS as error:
            raise UnreachableError(
                f"{self.address} answers, but not as an instance of"
                f" rattanmill does ({error}). Is the address right?"
            ) from error


def _read_token(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"{path}: no token can be read: {error}") from error


def _refused(status: int, body: bytes, address: str) -> RefusedError:
    try:
        problem = msgspec.json.decode(body, type=Problem)
    except DECODE_ERRORS:
        return RefusedError(
            f"{address} answered with status {status} and no reason. Is it an"
            " instance of rattanmill?"
        )
    sentence = problem.detail
    match problem.reason:
        case Reason.CONFIG_CONFLICT:
            return ConflictError(sentence)
        case Reason.CONFIG_INVALID:
            lines = "\n".join(f"  {p}" for p in sentence.split("; "))
            return RefusedError(f"The configuration is wrong:\n{lines}")
        case Reason.UNAUTHORIZED:
            hint = f"Give --token-file FILE or set {TOKEN_VARIABLE}."
            return RefusedError(f"{sentence} {hint}")
        case Reason.STORE_UNAVAILABLE:
            error = StoreSilentError(f"{sentence} Try again in a few seconds.")
            error.may_have_run = problem.ran != "no"
            return error
    if problem.retry_after is not None:
        sentence += f" Try again in {problem.retry_after:g} s."
    return RefusedError(f"{sentence} ({problem.reason})")
