"""Stores operators' changes of the configuration and its history.

A change contains the number of the document it was made from and a unique
change id. It is stored by compare-and-swap, so that one of two operators who
change the same document gets a conflict. A document that is replaced is first
added to the history: an operator whose response was lost finds there that the
change was accepted, even after later changes.
"""

import time

import msgspec

from rattanmill_core import (
    ConfigDocument,
    HistoryEntry,
    Ran,
    Reason,
    Refusal,
    decode_config,
    encode_config,
    new_id,
    part_logger,
    refuse,
)
from rattanmill_entry.gossip import adopt_config
from rattanmill_entry.node import Node
from rattanmill_platform import (
    Conflict,
    Found,
    Missing,
    Unavailable,
    Written,
)
from rattanmill_platform.live import CONFIG_KEY

_log = part_logger("config")
_HISTORY_PREFIX = "rm/config-history/"
_MAX_HISTORY_DOCUMENTS = 50
_SWEEP_INTERVAL_CHANGES = 10
_MAX_DOCUMENT_BYTES = 1_000_000


class _Base(msgspec.Struct):
    """The stored state that a change is based on.

    Attributes:
        document: The highest document known.
        revision: Revision of the stored value; 0 if there is none.
    """

    document: ConfigDocument
    revision: int


async def store_config(
    node: Node, document: ConfigDocument
) -> ConfigDocument | Refusal:
    """Stores a document that was made from number ``document.number``.

    Returns:
        The accepted document with its new number, or a refusal. A repeat of an
        accepted change id succeeds again instead of conflicting with itself.
    """
    change = document.change or new_id()
    base = await _read_base(node)
    if isinstance(base, Refusal):
        return base
    if document.number != base.document.number:
        earlier = await _find_accepted(node, document.number + 1, change)
        if earlier and _same_content(earlier, document):
            return earlier
        return _conflict(document, base.document)
    changed = msgspec.structs.replace(
        document,
        number=document.number + 1,
        change=change,
        applied=time.time(),
    )
    refusal = _check_change(base.document, changed)
    refusal = refusal or await _archive(node, base.document)
    if refusal:
        return refusal
    return await _swap(node, changed, base.revision)


async def _read_base(node: Node) -> _Base | Refusal:
    found = await node.kv.read(CONFIG_KEY)
    match found:
        case Unavailable():
            detail = "The key-value service is unavailable; nothing changed."
            return refuse(Reason.STORE_UNAVAILABLE, detail)
        case Missing():
            return _Base(node.config, 0)
    stored = decode_config(found.entry.value)
    if isinstance(stored, list):
        # If it were treated as missing, it would be overwritten with a low
        # number, and every instance would keep its old document: the change
        # would be lost silently.
        detail = f"The stored configuration is broken: {'; '.join(stored)}"
        return refuse(Reason.INTERNAL, detail, ran=Ran.NO)
    adopt_config(node, stored)
    # A store that was restored from a backup may be older than the document
    # in force.
    return _Base(node.config, found.entry.revision)


def _conflict(document: ConfigDocument, base: ConfigDocument) -> Refusal:
    by = f", by {base.operator}" if base.operator else ""
    detail = (
        f"Number {base.number} is in force{by}; this change was made from"
        f" number {document.number}. Read it and make the change again."
    )
    return refuse(Reason.CONFIG_CONFLICT, detail)


def _same_content(accepted: ConfigDocument, sent: ConfigDocument) -> bool:
    """Whether the accepted document has the content that was sent."""
    return accepted == msgspec.structs.replace(
        sent,
        number=accepted.number,
        change=accepted.change,
        applied=accepted.applied,
    )


def _check_change(
    base: ConfigDocument, changed: ConfigDocument
) -> Refusal | None:
    """Refuses changes that would lose programs.

    Program ids contain the failure domain and the shard.
    """
    errors = [
        f"domains.{name}: cannot be removed, its programs would be lost"
        for name in base.domains
        if name not in changed.domains
    ]
    errors += [
        f"domains.{name}.shards: {changed.domains[name].shards};"
        f" allowed: {plan.shards}, as program ids contain their shard"
        for name, plan in base.domains.items()
        if name in changed.domains and changed.domains[name] != plan
    ]
    size = len(encode_config(changed))
    if size > _MAX_DOCUMENT_BYTES:
        errors.append(f"{size} bytes; allowed: at most {_MAX_DOCUMENT_BYTES}")
    if not errors:
        return None
    return refuse(Reason.CONFIG_INVALID, "; ".join(errors))


async def _archive(node: Node, base: ConfigDocument) -> Refusal | None:
    """Adds the document that will be replaced to the history."""
    if not base.number:
        return None
    key = history_key(base.number)
    outcome = await node.kv.create_unique(key, encode_config(base))
    if isinstance(outcome, Unavailable):
        detail = "The key-value service is unavailable; nothing changed."
        return refuse(Reason.STORE_UNAVAILABLE, detail)
    if isinstance(outcome, Conflict):
        _log.error("History already has another number {}.", base.number)
    return None


async def _swap(
    node: Node, changed: ConfigDocument, revision: int
) -> ConfigDocument | Refusal:
    outcome = await node.kv.write(CONFIG_KEY, encode_config(changed), revision)
    if not isinstance(outcome, Written):
        accepted = await _find_accepted(node, changed.number, changed.change)
        if accepted is None and isinstance(outcome, Unavailable):
            detail = (
                "Whether the change was stored is not known. Send the same"
                " change id again; it is stored once at most."
            )
            return refuse(Reason.STORE_UNAVAILABLE, detail, ran=Ran.UNKNOWN)
        if accepted is None:
            detail = "Another change was stored first. Read it and make yours"
            detail = f"{detail} again."
            return refuse(Reason.CONFIG_CONFLICT, detail)
        changed = accepted
    _log.info(
        "Configuration {} accepted from {}.",
        changed.number,
        changed.operator or "an unnamed operator",
    )
    adopt_config(node, changed)
    if changed.number % _SWEEP_INTERVAL_CHANGES == 0:
        node.spawn(_sweep(node, changed.number))
    return changed


async def _find_accepted(
    node: Node, number: int, change: str
) -> ConfigDocument | None:
    """Returns the document of a change, if it was accepted."""
    for key in (CONFIG_KEY, history_key(number)):
        found = await node.kv.read(key)
        if not isinstance(found, Found):
            continue
        document = decode_config(found.entry.value)
        if isinstance(document, ConfigDocument) and document.change == change:
            return document
    return None


def history_key(number: int) -> str:
    """Returns the key of an earlier document."""
    return f"{_HISTORY_PREFIX}{number:010}"


async def read_history(node: Node) -> list[ConfigDocument] | Refusal:
    """Returns the kept documents, newest first."""
    # The document in force here may be slightly older than the stored one.
    base = await _read_base(node)
    if isinstance(base, Refusal):
        return base
    listed = await node.kv.list(_HISTORY_PREFIX)
    if isinstance(listed, Unavailable):
        detail = (
            "The key-value service, which stores the history, is unavailable."
        )
        return refuse(Reason.STORE_UNAVAILABLE, detail)
    kept = [decode_config(entry.value) for entry in listed.entries]
    known = {d.number: d for d in kept if isinstance(d, ConfigDocument)}
    known[node.config.number] = node.config
    numbers = sorted(known, reverse=True)
    return [known[number] for number in numbers[:_MAX_HISTORY_DOCUMENTS]]


def history_entry(document: ConfigDocument) -> HistoryEntry:
    """Returns the history entry of a document."""
    return HistoryEntry(
        document.number, document.change, document.operator, document.applied
    )


async def _sweep(node: Node, number: int) -> None:
    """Deletes the oldest documents to keep the history bounded."""
    listed = await node.kv.list(_HISTORY_PREFIX)
    if isinstance(listed, Unavailable):
        return
    oldest = history_key(max(0, number - _MAX_HISTORY_DOCUMENTS))
    for entry in listed.entries:
        if entry.key < oldest:
            await node.kv.delete(entry.key)
