"""Authentication: operators by a token, callers by their workspace's key.

Both are read from files and reloaded when these change, since workspaces are
added and removed every day and no instance is restarted for one. Without the
files, all requests are accepted, and a caller's workspace is the one in its
header.
"""

import asyncio
import hashlib
import hmac
import pathlib
import tomllib
from typing import Self

import msgspec
from aiohttp import web

from rattanmill_core import (
    Reason,
    Settings,
    SettingsError,
    part_logger,
    refuse,
    start_loop,
)
from rattanmill_entry.node import Node
from rattanmill_entry.problems import problem_response

_log = part_logger("access")
_ADMIN_PREFIX = "/v1/admin/"
_CALLER_PREFIX = "/v1/"
_WORKSPACE_HEADER = "Rattanmill-Workspace"
_WORKSPACE_KEY = web.RequestKey("workspace", str)
_POLL_SECONDS = 1.0
_MIN_SECRET_CHARS = 16
_MAX_SECRET_CHARS = 200


class Access(msgspec.Struct, frozen=True):
    """Secrets that authenticate requests.

    Attributes:
        token: Operators' token; empty if none is required.
        workspaces: Workspace by digest of its key; None if no keys are
            required.
    """

    token: bytes = b""
    workspaces: dict[bytes, str] | None = None


class AccessFiles:
    """The secrets as last read; reloads the files when they change.

    Args:
        settings: Contains the paths of the files.

    Raises:
        SettingsError: A file cannot be read or has invalid entries.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.stamps = self._stamps()
        self.access = load_access(settings)
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("keys file", self._watch())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(_POLL_SECONDS)
            stamps = self._stamps()
            if stamps != self.stamps:
                self.stamps = stamps
                self._reload()

    def _reload(self) -> None:
        try:
            self.access = load_access(self.settings)
        except SettingsError as error:
            # A partial or missing file must neither reject valid requests
            # nor accept others.
            _log.error("Kept the old keys and token: {}", error.message)
            return
        _log.info("Reloaded keys and token.")

    def _stamps(self) -> list[tuple[int, ...]]:
        files = (self.settings.token_file, self.settings.keys_file)
        return [_stamp(path) for path in files if path]


def _stamp(path: str) -> tuple[int, ...]:
    """Returns values that differ between two versions of a file."""
    try:
        status = pathlib.Path(path).stat()
    except OSError:
        return ()
    return status.st_ino, status.st_mtime_ns, status.st_size


def load_access(settings: Settings) -> Access:
    """Reads the token and key files of the settings.

    Raises:
        SettingsError: A file is missing or has invalid entries.
    """
    token = b""
    workspaces = None
    if settings.token_file:
        token = _read_token(settings.token_file)
    if settings.keys_file:
        workspaces = _read_keys(settings.keys_file)
    return Access(token, workspaces)


def _read_token(path: str) -> bytes:
    try:
        token = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    if not _is_secret(token.decode("latin-1")):
        raise SettingsError(f"{path}: {_format_error('a token')}")
    return token


def _read_keys(path: str) -> dict[bytes, str]:
    try:
        table = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    errors = []
    workspaces: dict[bytes, str] = {}
    for workspace, keys in table.items():
        # Several keys are allowed, so that callers can rotate theirs without
        # an interruption.
        for key in keys if isinstance(keys, list) else [keys]:
            if not isinstance(key, str) or not _is_secret(key):
                errors.append(f"{path}: {workspace}: {_format_error('a key')}")
            elif workspaces.get(_digest(key.encode()), workspace) != workspace:
                other = workspaces[_digest(key.encode())]
                errors.append(f"{path}: {workspace}: has the key of {other}")
            else:
                workspaces[_digest(key.encode())] = workspace
    if errors:
        raise SettingsError("\n".join(errors))
    return workspaces


def _is_secret(text: str) -> bool:
    has_valid_length = _MIN_SECRET_CHARS <= len(text) <= _MAX_SECRET_CHARS
    return (
        has_valid_length
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def _format_error(what: str) -> str:
    return (
        f"is not {what}; allowed: {_MIN_SECRET_CHARS} to"
        f" {_MAX_SECRET_CHARS} visible characters without spaces"
    )


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()


def access_middleware(node: Node, files: AccessFiles):  # noqa: ANN201 - aiohttp's middleware type
    """Returns the middleware that authenticates requests."""

    @web.middleware
    async def check(request: web.Request, handler) -> web.StreamResponse:  # noqa: ANN001
        if request.path.startswith(_ADMIN_PREFIX):
            detail = _check_operator(request, files.access)
        elif request.path.startswith(_CALLER_PREFIX):
            detail = _check_caller(request, files.access)
        else:
            detail = ""
        if not detail:
            return await handler(request)
        response = problem_response(
            refuse(Reason.UNAUTHORIZED, detail), node.metrics
        )
        response.headers["WWW-Authenticate"] = "Bearer"
        return response

    return check


def workspace_of(request: web.Request) -> str:
    """Returns the caller's workspace: that of its key, or of its header."""
    header_value = request.headers.get(_WORKSPACE_HEADER, "")
    return request.get(_WORKSPACE_KEY, header_value)


def _check_operator(request: web.Request, access: Access) -> str:
    if not access.token:
        return ""
    # Compared in constant time: a comparison that ended at the first wrong
    # character would reveal the token character by character.
    if hmac.compare_digest(_bearer(request), access.token):
        return ""
    return "Operators need 'Authorization: Bearer' with the operators' token."


def _check_caller(request: web.Request, access: Access) -> str:
    if access.workspaces is None:
        return ""
    # Looked up by digest, so that the duration reveals nothing of the key.
    workspace = access.workspaces.get(_digest(_bearer(request)))
    if workspace is None:
        return "Callers need 'Authorization: Bearer' with a workspace's key."
    if request.headers.get(_WORKSPACE_HEADER, workspace) != workspace:
        return f"The key is not that of the workspace in {_WORKSPACE_HEADER}."
    request[_WORKSPACE_KEY] = workspace
    return ""


def _bearer(request: web.Request) -> bytes:
    scheme, _, secret = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return b""
    return secret.strip().encode(errors="surrogateescape")
