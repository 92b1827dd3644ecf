"""``rattanmill config``: the whole configuration document."""

import asyncio
import time
from typing import Any

import msgspec

from rattanmill_cli import changes
from rattanmill_cli.files import load_config, load_plain
from rattanmill_cli.link import Link
from rattanmill_cli.output import print_json, print_table, toml_text
from rattanmill_core import (
    ConfigDocument,
    ConflictError,
    HistoryEntry,
    UsageError,
)

_HISTORY_PATH = "/v1/admin/config/history"


def show(
    *,
    number: int | None = None,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Print the configuration in force, as a file that 'apply' takes.

    Args:
        number: Show this earlier configuration from the history instead.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON instead of TOML.
    """
    document = asyncio.run(_read(address, token_file, number))
    if json:
        print_json(document)
    else:
        print(toml_text(msgspec.to_builtins(document)), end="")


async def _read(
    address: str, token_file: str, number: int | None
) -> ConfigDocument:
    async with Link(address, token_file) as link:
        if number is None:
            return await changes.current(link)
        return await link.get(f"{_HISTORY_PATH}/{number}", ConfigDocument)


def check(file: str, *, json: bool = False) -> None:
    """Check a configuration file, without any instance.

    Args:
        file: File to check, TOML or JSON (by its name).
        json: Print JSON.
    """
    document = load_config(file)
    if json:
        print_json({"file": file, "ok": True, "classes": document.classes})
    else:
        print(f"{file}: ok, {len(document.classes)} classes")


def diff(
    file: str,
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Show what 'apply' of a file would change.

    Args:
        file: Configuration file, TOML or JSON (by its name).
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    wanted = load_config(file)
    base = asyncio.run(_read(address, token_file, None))
    rows = _differences(base, wanted)
    if json:
        print_json([{"value": w, "now": a, "file": b} for w, a, b in rows])
        return
    if base.number != wanted.number:
        print(
            f"{file} was made from number {wanted.number};"
            f" number {base.number} is in force."
        )
    if rows:
        print_table(("VALUE", "NOW", "FILE"), rows)
    else:
        print("No difference.")


def _differences(
    one: ConfigDocument, other: ConfigDocument
) -> list[tuple[str, Any, Any]]:
    mine, theirs = _flatten(one), _flatten(other)
    names = sorted(mine.keys() | theirs.keys())
    return [
        (name, mine.get(name), theirs.get(name))
        for name in names
        if mine.get(name) != theirs.get(name)
    ]


def _flatten(document: ConfigDocument) -> dict[str, Any]:
    """Returns the values that operators set, by dotted name."""
    plain = msgspec.to_builtins(document)
    for name in ("number", "change", "operator", "applied"):
        del plain[name]
    return dict(_flatten_pairs(plain, ""))


def _flatten_pairs(table: dict[str, Any], path: str) -> list[tuple[str, Any]]:
    pairs = []
    for name, value in table.items():
        if isinstance(value, dict):
            pairs += _flatten_pairs(value, f"{path}{name}.")
        else:
            pairs.append((f"{path}{name}", value))
    return pairs


def apply(
    file: str,
    *,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Put a configuration file in force.

    The file's number says which configuration it was made from; if another
    one is in force by now, nothing is changed.

    Args:
        file: Configuration file, TOML or JSON (by its name).
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    document = load_config(file)
    if "number" not in load_plain(file):
        raise UsageError(
            f"{file}: number: is missing; give the number of the"
            " configuration the file was made from ('config show' prints it)."
        )
    document.change = ""
    document.operator = changes.operator_name(operator)
    applied = asyncio.run(_apply(address, token_file, document))
    changes.report(applied, json)


async def _apply(
    address: str, token_file: str, document: ConfigDocument
) -> changes.Applied:
    async with Link(address, token_file) as link:
        try:
            accepted = await changes.send(link, document)
        except ConflictError:
            # The same file may be applied again after a lost answer or by a
            # script. If its values are in force, that is a success.
            accepted = await changes.current(link)
            if _differences(accepted, document):
                raise
        return await changes.reached(link, accepted)


def rollback(
    number: int,
    *,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Put an earlier configuration in force again, under a new number.

    Args:
        number: Number of the earlier configuration, from the history.
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    name = changes.operator_name(operator)
    changes.report(
        asyncio.run(_rollback(address, token_file, number, name)), json
    )


async def _rollback(
    address: str, token_file: str, number: int, operator: str
) -> changes.Applied:
    async with Link(address, token_file) as link:
        base = await changes.current(link)
        path = f"{_HISTORY_PATH}/{number}"
        document = await link.get(path, ConfigDocument)
        document.number = base.number
        document.change = ""
        document.operator = operator
        accepted = await changes.send(link, document)
        return await changes.reached(link, accepted)


def history(
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """List the last accepted changes: number, when, who, change id.

    Args:
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    entries = asyncio.run(_history(address, token_file))
    if json:
        print_json(entries)
        return
    rows = [
        (e.number, _format_time(e.applied), e.operator, e.change)
        for e in entries
    ]
    print_table(("NUMBER", "ACCEPTED (UTC)", "OPERATOR", "CHANGE"), rows)


async def _history(address: str, token_file: str) -> list[HistoryEntry]:
    async with Link(address, token_file) as link:
        return await link.get(_HISTORY_PATH, list[HistoryEntry])


def _format_time(seconds: float) -> str | None:
    if not seconds:
        return None
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))
