"""Output of commands: aligned tables, or JSON for scripts."""

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

_COLUMN_SEPARATOR = "  "


def print_json(value: object) -> None:
    """Prints a value as indented JSON."""
    data = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(data.decode())


def print_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Prints rows in aligned columns under a header."""
    lines = [list(head), *([_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print(_COLUMN_SEPARATOR.join(cells).rstrip())


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return str(value) if str(value) else "-"


def toml_text(table: dict[str, Any]) -> str:
    """Returns plain tables as TOML: values first, then tables."""
    return "\n".join(_toml_lines(table, "")).strip() + "\n"


def _toml_lines(table: dict[str, Any], path: str) -> list[str]:
    tables = {k: v for k, v in table.items() if isinstance(v, dict)}
    values = {k: v for k, v in table.items() if k not in tables}
    lines = [
        f"{_toml_key(name)} = {_toml_value(value)}"
        for name, value in values.items()
        if value is not None
    ]
    for name, inner in tables.items():
        inside = f"{path}.{_toml_key(name)}" if path else _toml_key(name)
        lines += ["", f"[{inside}]", *_toml_lines(inner, inside)]
    return lines


def _toml_key(name: str) -> str:
    bare = name.replace("-", "").replace("_", "")
    if bare.isascii() and bare.isalnum():
        return name
    return _toml_value(name)


def _toml_value(value: object) -> str:
    # JSON values are valid TOML, except for tables in lists and for the DEL
    # character, which TOML requires to be escaped.
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    if isinstance(value, dict):
        inner = (f"{_toml_key(k)} = {_toml_value(v)}" for k, v in value.items())
        return "{ " + ", ".join(inner) + " }"
    return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
