"""Configuration changes: compare-and-set on a number, with retries."""

import asyncio
import getpass
import random
from collections.abc import Callable
from typing import Any

import msgspec

from rattanmill_cli.link import Link, LostAnswerError, StoreSilentError
from rattanmill_cli.output import print_json
from rattanmill_core import (
    ConfigDocument,
    ConfigReach,
    ConflictError,
    NotReachedError,
    RefusedError,
    new_id,
    read_config,
)

_CONFIG_PATH = "/v1/admin/config"
_MAX_SENDS = 6
_RETRY_DELAY_SECONDS = 0.5
_MAX_CONFLICT_RETRIES = 20
_REACH_TIMEOUT_SECONDS = 10


class Edit(msgspec.Struct):
    """One value that an operator changes.

    Attributes:
        what: Dotted name, such as ``classes.evening.target_seconds``.
        new: The new value.
        read: Returns the value in plain tables; None if there is none.
        write: Sets the value in plain tables.
    """

    what: str
    new: Any
    read: Callable[[dict[str, Any]], Any]
    write: Callable[[dict[str, Any], Any], None]


class Applied(msgspec.Struct):
    """An accepted change and the instances where it is in force."""

    number: int
    change: str
    in_force: list[str]
    not_reached: list[str]


def operator_name(given: str) -> str:
    """Returns the operator name that the history records."""
    return given or getpass.getuser()


async def current(link: Link) -> ConfigDocument:
    """Returns the configuration in force at the instance."""
    return await link.get(_CONFIG_PATH, ConfigDocument)


async def send(link: Link, document: ConfigDocument) -> ConfigDocument:
    """Sends a document whose number is the one that it was made from.

    After a lost answer, sends the same change id again. This is idempotent:
    the instance finds the change stored and reports it as accepted.

    Raises:
        ConflictError: Another change was accepted from the same number.
        RefusedError: The document or the operator was refused.
        UnreachableError: It is unknown whether the document was accepted.
    """
    if not document.change:
        document = msgspec.structs.replace(document, change=new_id())
    may_be_stored = False
    for left in reversed(range(_MAX_SENDS)):
        try:
            return await link.put(_CONFIG_PATH, document, ConfigDocument)
        except StoreSilentError as error:
            may_be_stored = may_be_stored or error.may_have_run
            if not left or not may_be_stored:
                raise
        except LostAnswerError as error:
            may_be_stored = True
            if not left:
                raise _unknown_outcome(document.change, error) from error
        await asyncio.sleep(random.uniform(0.5, 1) * _RETRY_DELAY_SECONDS)
    raise AssertionError


def _unknown_outcome(change: str, error: LostAnswerError) -> LostAnswerError:
    return LostAnswerError(
        f"{error.message}\nWhether change {change} was stored is not known:"
        " look for it with 'rattanmill config history'."
    )


async def apply_edits(
    link: Link, edits: list[Edit], operator: str
) -> ConfigDocument:
    """Applies edits to the configuration in force; retries on conflict.

    Raises:
        ConflictError: Another operator changed one of the same values since
            they were first read.
        RefusedError: A new value is not allowed.
    """
    found: list[Any] | None = None
    for _ in range(_MAX_CONFLICT_RETRIES):
        base = await current(link)
        plain = msgspec.to_builtins(base)
        values = [edit.read(plain) for edit in edits]
        if found is None:
            found = values
        _check_conflicts(edits, found, values, base)
        for edit in edits:
            edit.write(plain, edit.new)
        document = _read(plain)
        document.change = new_id()
        document.operator = operator
        try:
            return await send(link, document)
        except ConflictError:
            await asyncio.sleep(random.uniform(0, _RETRY_DELAY_SECONDS))
    raise ConflictError(
        f"Others' changes came first {_MAX_CONFLICT_RETRIES} times. Try again."
    )


def _check_conflicts(
    edits: list[Edit], found: list[Any], values: list[Any], base: ConfigDocument
) -> None:
    for edit, before, now in zip(edits, found, values, strict=True):
        if now not in (before, edit.new):
            raise ConflictError(
                f"{edit.what}: changed from {before} to {now} meanwhile by"
                f" {base.operator or 'another operator'} (number"
                f" {base.number}). Nothing of yours was changed; look, and"
                " give the command again if you still want it."
            )


def _read(plain: dict[str, Any]) -> ConfigDocument:
    document = read_config(plain)
    if isinstance(document, list):
        raise RefusedError("\n".join(document))
    return document


async def reached(link: Link, document: ConfigDocument) -> Applied:
    """Waits, up to a timeout, until all instances apply a document."""
    reach = await link.get(
        f"{_CONFIG_PATH}/reach?number={document.number}"
        f"&seconds={_REACH_TIMEOUT_SECONDS}",
        ConfigReach,
    )
    return Applied(
        document.number,
        document.change,
        reach.in_force,
        [
            status.name if status.registered else f"{status.name} (no lease)"
            for status in reach.not_reached
        ],
    )


def report(applied: Applied, json: bool) -> None:
    """Prints where a change is in force.

    Raises:
        NotReachedError: The change is accepted but not in force everywhere.
    """
    known = len(applied.in_force) + len(applied.not_reached)
    if json:
        print_json(applied)
    else:
        print(
            f"Configuration {applied.number} (change {applied.change}) is in"
            f" force on {len(applied.in_force)} of {known} instances."
        )
    if applied.not_reached:
        raise NotReachedError(
            f"Accepted, but not reached: {', '.join(applied.not_reached)}."
            " They apply it as soon as they reach another instance or the"
            " key-value service; 'rattanmill status' shows when."
        )
