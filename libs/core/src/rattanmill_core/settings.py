"""Settings of one daemon, read from a TOML file and fully validated."""

import ipaddress
import pathlib
import re
import stat
from collections.abc import Callable
from typing import Any

import msgspec

from rattanmill_core.errors import SettingsError

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_MAX_PORT = 65535
_GROUP_AND_OTHERS_MODE = stat.S_IRWXG | stat.S_IRWXO


class Settings(msgspec.Struct, kw_only=True):
    """Settings of a daemon from its file; see docs/SETTINGS.md.

    Attributes:
        name: Name of this instance, unique among all instances.
        domain: Failure domain of this instance.
        http: Address for callers and operators, ``IP:PORT``.
        peer: Address for other instances, ``IP:PORT``.
        outside: Address at which instances of other failure domains reach
            ``peer``, if it differs.
        kv: Base URL of the platform's key-value service.
        directory: URL of the platform's instance list.
        secret_file: File with the secret key shared by all instances.
        domains: Names of all failure domains, used on first start.
        data_folder: Folder for bulk data, or empty.
        log_format: ``text`` or ``json``.
        log_level: Minimum level logged.
        body_bytes: Maximum size of a request body, in bytes.
        lease_seconds: Time to live of this instance's lease.
        drain_seconds: Maximum time that a shutdown waits for running
            requests.
        notice_seconds: Time for which a shutdown continues to accept requests
            after ``/readyz`` reports not ready.
        connections: Maximum number of concurrent caller connections.
        receive_seconds: Timeout for receiving a request.
        memory_mb: Memory that the daemon may use, in MB.
        token_file: File with the operators' token; if empty, none is needed.
        keys_file: File with each workspace's key; if empty, callers need
            none.
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
    notice_seconds: float = 1.0
    connections: int = 4096
    receive_seconds: float = 30.0
    memory_mb: int = 256
    token_file: str = ""
    keys_file: str = ""


class SettingKey(msgspec.Struct, frozen=True):
    """Location of a setting in the file and its allowed values.

    Attributes:
        path: Table and key, ``TABLE.KEY``.
        kind: Type or types of the value.
        allowed: Description of the allowed values.
        accepts: Returns whether a value of the type is allowed.
        required: Whether the setting must be present.
    """

    path: str
    kind: type | tuple[type, ...]
    allowed: str
    accepts: Callable[[Any], bool]
    required: bool = True


def _is_name(value: str) -> bool:
    return bool(_NAME.fullmatch(value))


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= _MAX_PORT


def _is_url(value: str) -> bool:
    return value.startswith(("http://", "https://"))


def _is_names(value: list) -> bool:
    return bool(value) and all(
        isinstance(v, str) and _is_name(v) for v in value
    )


def _one_of(*choices: str) -> Callable[[Any], bool]:
    return lambda value: value in choices


def _between(minimum: float, maximum: float) -> Callable[[Any], bool]:
    return lambda value: minimum <= value <= maximum


_NUMBER = (int, float)
_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
KEYS = {
    "name": SettingKey("instance.name", str, "a lower-case name", _is_name),
    "domain": SettingKey("instance.domain", str, "a lower-case name", _is_name),
    "http": SettingKey("instance.http", str, "IP:PORT", _is_address),
    "peer": SettingKey("instance.peer", str, "IP:PORT", _is_address),
    "outside": SettingKey(
        "instance.outside", str, "IP:PORT", _is_address, False
    ),
    "data_folder": SettingKey(
        "instance.data_folder", str, "a path", bool, False
    ),
    "kv": SettingKey("platform.kv", str, "an http URL", _is_url),
    "directory": SettingKey("platform.directory", str, "an http URL", _is_url),
    "domains": SettingKey(
        "platform.domains", list, "a list of names", _is_names
    ),
    "lease_seconds": SettingKey(
        "platform.lease_seconds", _NUMBER, "0.5 to 60", _between(0.5, 60), False
    ),
    "secret_file": SettingKey("peers.secret_file", str, "a path", bool),
    "log_format": SettingKey(
        "log.format", str, "text or json", _one_of("text", "json"), False
    ),
    "log_level": SettingKey(
        "log.level", str, ", ".join(_LEVELS), _one_of(*_LEVELS), False
    ),
    "body_bytes": SettingKey(
        "limits.body_bytes",
        int,
        "1024 to 67108864",
        _between(1024, 64 * 1024 * 1024),
        False,
    ),
    "drain_seconds": SettingKey(
        "limits.drain_seconds", _NUMBER, "0 to 3600", _between(0, 3600), False
    ),
    "notice_seconds": SettingKey(
        "limits.notice_seconds", _NUMBER, "0 to 600", _between(0, 600), False
    ),
    "connections": SettingKey(
        "limits.connections", int, "16 to 65536", _between(16, 65536), False
    ),
    "receive_seconds": SettingKey(
        "limits.receive_seconds",
        _NUMBER,
        "0.1 to 3600",
        _between(0.1, 3600),
        False,
    ),
    "memory_mb": SettingKey(
        "limits.memory_mb", int, "64 to 1048576", _between(64, 1048576), False
    ),
    "token_file": SettingKey(
        "operators.token_file", str, "a path", bool, False
    ),
    "keys_file": SettingKey("callers.keys_file", str, "a path", bool, False),
}
_SECRET_FIELDS = ("secret_file", "token_file", "keys_file")


def load_settings(path: str) -> Settings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file is unreadable or invalid; the message names
            the file, each invalid key and the allowed values.
    """
    # Only the native interface has settings in TOML.
    import tomllib

    try:
        table = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    tables = {name: t for name, t in table.items() if isinstance(t, dict)}
    values = {
        f"{section}.{name}": value
        for section, inner in tables.items()
        for name, value in inner.items()
    }
    errors = [*_find_invalid_tables(table), *_find_unknown_keys(values)]
    errors += _find_invalid_values(values) or _find_contradictions(values)
    if errors:
        raise SettingsError("\n".join(f"{path}: {error}" for error in errors))
    return Settings(
        **{
            field: values[key.path]
            for field, key in KEYS.items()
            if key.path in values
        }
    )


def _find_invalid_tables(table: dict[str, Any]) -> list[str]:
    known = {key.path.split(".")[0] for key in KEYS.values()}
    errors = []
    for name, inner in table.items():
        if name not in known:
            allowed = ", ".join(sorted(known))
            errors.append(f"{name}: is not a table of settings; {allowed} are")
        elif not isinstance(inner, dict):
            errors.append(f"{name}: {inner!r}; allowed: a table, [{name}]")
    return errors


def _find_unknown_keys(values: dict[str, Any]) -> list[str]:
    known = {key.path for key in KEYS.values()}
    sections = {path.split(".")[0] for path in known}
    return [
        f"{path}: is not a setting"
        for path in values
        if path not in known and path.split(".")[0] in sections
    ]


def _find_invalid_values(values: dict[str, Any]) -> list[str]:
    errors = []
    for key in KEYS.values():
        if key.path not in values:
            if key.required:
                errors.append(f"{key.path}: is missing; allowed: {key.allowed}")
            continue
        value = values[key.path]
        wrong_type = not isinstance(value, key.kind) or isinstance(value, bool)
        if wrong_type or not key.accepts(value):
            errors.append(f"{key.path}: {value!r}; allowed: {key.allowed}")
    return errors


def _find_contradictions(values: dict[str, Any]) -> list[str]:
    """Returns errors in combinations of individually valid values."""
    errors = []
    domain = values["instance.domain"]
    if domain not in values["platform.domains"]:
        errors.append(f"instance.domain: {domain!r} is not in platform.domains")
    if values["instance.http"] == values["instance.peer"]:
        errors.append("instance.peer: is the same address as instance.http")
    return errors


def open_secrets(settings: Settings) -> list[str]:
    """Returns a warning for each secrets file that other users may access.

    With the peers' key, a process can impersonate an instance and sign
    receipts.
    """
    paths = [getattr(settings, field) for field in _SECRET_FIELDS]
    warnings = []
    for path in filter(None, paths):
        try:
            mode = pathlib.Path(path).stat().st_mode
        except OSError:
            continue
        if mode & _GROUP_AND_OTHERS_MODE:
            bits = stat.S_IMODE(mode)
            warnings.append(
                f"{path}: holds secrets and has mode {bits:03o};"
                " allowed to its owner only: chmod 600"
            )
    return warnings
