"""``rattanmill class`` and ``rattanmill target``: classes of work."""

import asyncio
import tomllib
from typing import Any

import msgspec

from rattanmill_cli import changes
from rattanmill_cli.link import Link
from rattanmill_cli.output import print_json, print_table
from rattanmill_core import ConfigDocument, UsageError, WorkClass


def list_classes(
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """List the classes of work and their targets.

    Args:
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    document = asyncio.run(_current(address, token_file))
    if json:
        print_json(document.classes)
        return
    rows = [
        (
            name + (" (default)" if name == document.default_class else ""),
            klass.target_seconds,
            klass.target_percent,
            klass.wasted_cache_share,
        )
        for name, klass in sorted(document.classes.items())
    ]
    print_table(("CLASS", "TARGET S", "PERCENT", "WASTED CACHE"), rows)


async def _current(address: str, token_file: str) -> ConfigDocument:
    async with Link(address, token_file) as link:
        return await changes.current(link)


def show(
    name: str,
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Show one class of work.

    Args:
        name: Name of the class.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    document = asyncio.run(_current(address, token_file))
    klass = document.classes.get(name)
    if klass is None:
        raise _no_class(name, document)
    if json:
        print_json(klass)
        return
    print_table(("FIELD", "VALUE"), msgspec.to_builtins(klass).items())


def set_class(
    name: str,
    *value: str,
    create: bool = False,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Change values of a class; keep concurrent changes by others.

    Args:
        name: Name of the class.
        value: FIELD=VALUE, such as max_turns=40.
        create: Create the class if it does not exist.
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    fields = dict(_parse_field(text) for text in value)
    if not fields and not create:
        raise UsageError("Nothing to change: give FIELD=VALUE.")
    who = changes.operator_name(operator)
    work = _change(address, token_file, name, fields, create, who)
    changes.report(asyncio.run(work), json)


def set_target(
    name: str,
    seconds: float,
    *,
    percent: float | None = None,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Set the target of a class: programs finish within SECONDS.

    Args:
        name: Name of the class.
        seconds: Target for the latency of a whole program.
        percent: Share of programs that should meet it.
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    fields: dict[str, Any] = {"target_seconds": seconds}
    if percent is not None:
        fields["target_percent"] = percent
    who = changes.operator_name(operator)
    work = _change(address, token_file, name, fields, False, who)
    changes.report(asyncio.run(work), json)


def _parse_field(text: str) -> tuple[str, Any]:
    field, equals, value = text.partition("=")
    known = {f.name: f for f in msgspec.structs.fields(WorkClass)}
    if not equals or field not in known:
        raise UsageError(
            f"'{text}': allowed: FIELD=VALUE with FIELD one of"
            f" {', '.join(known)}"
        )
    try:
        return field, tomllib.loads(f"value = {value}")["value"]
    except tomllib.TOMLDecodeError:
        return field, value


def _no_class(name: str, document: ConfigDocument) -> UsageError:
    names = ", ".join(sorted(document.classes))
    return UsageError(
        f"There is no class '{name}'; there are {names}. 'class set --create'"
        " makes one."
    )


async def _change(
    address: str,
    token_file: str,
    name: str,
    fields: dict[str, Any],
    create: bool,
    operator: str,
) -> changes.Applied:
    async with Link(address, token_file) as link:
        document = await changes.current(link)
        if name not in document.classes and not create:
            raise _no_class(name, document)
        edits = [edit_field(name, field, new) for field, new in fields.items()]
        edits = edits or [_create_class_edit(name)]
        accepted = await changes.apply_edits(link, edits, operator)
        return await changes.reached(link, accepted)


def edit_field(name: str, field: str, new: Any) -> changes.Edit:
    """Returns an edit of one field of a class."""
    return changes.Edit(
        f"classes.{name}.{field}",
        new,
        lambda plain: plain["classes"].get(name, {}).get(field),
        lambda plain, value: (
            plain["classes"].setdefault(name, {}).update({field: value})
        ),
    )


def _create_class_edit(name: str) -> changes.Edit:
    return changes.Edit(
        f"classes.{name}",
        True,
        lambda plain: name in plain["classes"],
        lambda plain, _: plain["classes"].setdefault(name, {}),
    )
