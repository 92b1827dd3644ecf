"""Configuration files of operators, in TOML or JSON."""

import pathlib
import tomllib
from typing import Any

import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    ConfigDocument,
    SettingsError,
    read_config,
)


def load_plain(path: str) -> dict[str, Any]:
    """Reads a file as plain tables; JSON if its name ends in .json, else TOML.

    Raises:
        SettingsError: The file cannot be read or has the wrong format.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        if path.endswith(".json"):
            plain = msgspec.json.decode(text)
        else:
            plain = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    except (tomllib.TOMLDecodeError, *DECODE_ERRORS) as error:
        form = "JSON" if path.endswith(".json") else "TOML"
        raise SettingsError(f"{path}: not {form}: {error}") from error
    if not isinstance(plain, dict):
        raise SettingsError(f"{path}: allowed: a table of settings")
    return plain


def load_config(path: str) -> ConfigDocument:
    """Reads and checks a configuration file.

    Raises:
        SettingsError: The document is invalid; lists every error with file,
            key and allowed values.
    """
    document = read_config(load_plain(path))
    if isinstance(document, list):
        raise SettingsError("\n".join(f"{path}: {e}" for e in document))
    return document
