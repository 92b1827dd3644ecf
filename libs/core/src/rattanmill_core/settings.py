"""Settings of one daemon, read from a TOML file and checked whole."""

import pathlib
import re
import tomllib
from collections.abc import Callable
from typing import Any

import msgspec

from rattanmill_core.errors import SettingsError

_NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_ADDRESS = re.compile(r"^[0-9.]+:[0-9]{1,5}$|^\[[0-9a-f:]+\]:[0-9]{1,5}$")


class Settings(msgspec.Struct, kw_only=True):
    """Everything a daemon learns from its file; see docs/SETTINGS.md.

    Attributes:
        name: Name of this instance, unique among all instances.
        domain: Failure domain of this instance.
        http: Address for callers and operators, ``IP:PORT``.
        peer: Address for other instances, ``IP:PORT``.
        outside: Address at which instances of other failure domains reach
            ``peer``, if they need another one.
        kv: Base URL of the platform's key-value service.
        directory: URL of the platform's instance list.
        secret_file: File with the secret key shared by all instances.
        domains: Names of all failure domains, for the first start.
        data_folder: Folder for bulk data, or empty.
        log_format: ``text`` or ``json``.
        log_level: Least level logged.
        body_bytes: Largest request body.
        lease_seconds: Time to live of this instance's lease.
        drain_seconds: Longest time a shutdown waits for running requests.
    """

    name: str
    domain: str
    http: str
    peer: str
    kv: str
    directory: str
    secret_file: str
    domains: list[str]
    outside: str = ""
    data_folder: str = ""
    log_format: str = "text"
    log_level: str = "INFO"
    body_bytes: int = 4 * 1024 * 1024
    lease_seconds: float = 3.0
    drain_seconds: float = 60.0


class _Key(msgspec.Struct, frozen=True):
    """Where a setting stands in the file and what it may be."""

    path: str
    kind: type | tuple[type, ...]
    allowed: str
    accepts: Callable[[Any], bool]
    required: bool = True


def _is_name(value: str) -> bool:
    return bool(_NAME.match(value))


def _is_address(value: str) -> bool:
    return bool(_ADDRESS.match(value))


def _is_url(value: str) -> bool:
    return value.startswith(("http://", "https://"))


def _is_names(value: list) -> bool:
    return bool(value) and all(
        isinstance(v, str) and _is_name(v) for v in value
    )


def _one_of(*choices: str) -> Callable[[Any], bool]:
    return lambda value: value in choices


def _between(least: float, most: float) -> Callable[[Any], bool]:
    return lambda value: least <= value <= most


_NUMBER = (int, float)
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_KEYS = {
    "name": _Key("instance.name", str, "a lower-case name", _is_name),
    "domain": _Key("instance.domain", str, "a lower-case name", _is_name),
    "http": _Key("instance.http", str, "IP:PORT", _is_address),
    "peer": _Key("instance.peer", str, "IP:PORT", _is_address),
    "outside": _Key("instance.outside", str, "IP:PORT", _is_address, False),
    "data_folder": _Key("instance.data_folder", str, "a path", bool, False),
    "kv": _Key("platform.kv", str, "an http URL", _is_url),
    "directory": _Key("platform.directory", str, "an http URL", _is_url),
    "domains": _Key("platform.domains", list, "a list of names", _is_names),
    "lease_seconds": _Key(
        "platform.lease_seconds", _NUMBER, "0.5 to 60", _between(0.5, 60), False
    ),
    "secret_file": _Key("peers.secret_file", str, "a path", bool),
    "log_format": _Key(
        "log.format", str, "text or json", _one_of("text", "json"), False
    ),
    "log_level": _Key(
        "log.level", str, ", ".join(_LEVELS), _one_of(*_LEVELS), False
    ),
    "body_bytes": _Key(
        "limits.body_bytes",
        int,
        "1024 to 67108864",
        _between(1024, 64 * 1024 * 1024),
        False,
    ),
    "drain_seconds": _Key(
        "limits.drain_seconds", _NUMBER, "0 to 3600", _between(0, 3600), False
    ),
}


def load_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: Names the file, each wrong key and what is allowed.
    """
    try:
        table = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    values = dict(_flatten(table))
    errors = list(_unknown_keys(values)) + list(_wrong_values(values))
    if errors:
        raise SettingsError("\n".join(f"{path}: {error}" for error in errors))
    return Settings(
        **{
            field: values[key.path]
            for field, key in _KEYS.items()
            if key.path in values
        }
    )


def _flatten(table: dict[str, Any]) -> list[tuple[str, Any]]:
    return [
        (f"{section}.{name}", value)
        for section, inner in table.items()
        for name, value in (
            inner.items() if isinstance(inner, dict) else [("", inner)]
        )
    ]


def _unknown_keys(values: dict[str, Any]) -> list[str]:
    known = {key.path for key in _KEYS.values()}
    return [
        f"{path.rstrip('.')}: is not a setting"
        for path in values
        if path not in known
    ]


def _wrong_values(values: dict[str, Any]) -> list[str]:
    errors = []
    for key in _KEYS.values():
        if key.path not in values:
            if key.required:
                errors.append(f"{key.path}: is missing; allowed: {key.allowed}")
            continue
        value = values[key.path]
        wrong_type = not isinstance(value, key.kind) or isinstance(value, bool)
        if wrong_type or not key.accepts(value):
            errors.append(f"{key.path}: {value!r}; allowed: {key.allowed}")
    return errors
