"""Records on the disk of a storage instance, and their encoding."""

import pathlib

import msgspec

from rattanmill_core import DECODE_ERRORS, warn_event
from rattanmill_keeper.files import sync
from rattanmill_keeper.grants import ToldChange
from rattanmill_keeper.ledger import (
    AccountChange,
    GrantedChange,
    HomeChange,
    RosterChange,
    ShareChange,
    UseChange,
)
from rattanmill_keeper.messages import KeptTurn

# File name of the marker, which is written once the instance has recovered. A
# disk without it is new, or replaces one that was lost.
_MARKER_FILE = "whole"
_NEW_MARKER_FILE = "whole.new"

Record = (
    AccountChange
    | UseChange
    | ShareChange
    | HomeChange
    | GrantedChange
    | ToldChange
    | RosterChange
    | KeptTurn
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


class CompletionMarker(msgspec.Struct, frozen=True):
    """Marker on the disk of an instance that has recovered all its data.

    Attributes:
        alone_from: Time from which the instance may grant alone to programs
            that it does not know, in seconds since 1970.
        shares_lost_until: As in ``Ledger``.
        is_new: As in ``Keeper``.
    """

    alone_from: float = float("inf")
    shares_lost_until: float = 0.0
    is_new: bool = False


def encode(record: Record) -> bytes:
    """Returns the encoded form of a journal record."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record | None:
    """Returns a decoded journal record; None if it can't be decoded.

    Such a record was written by a newer version, or is corrupt in spite of a
    matching checksum.
    """
    try:
        return _DECODER.decode(data)
    except DECODE_ERRORS as error:
        warn_event("record_undecodable", why=str(error), bytes=len(data))
        return None


def write_marker(folder: pathlib.Path, marker: CompletionMarker) -> None:
    """Writes the marker unless it exists, and syncs it.

    If a power loss dropped an unsynced marker, the instance would restart with
    all its data and yet conclude that it had lost its disk.
    """
    path = folder / _MARKER_FILE
    if not path.exists():
        path.write_bytes(msgspec.json.encode(marker))
    sync(path)
    sync(folder)


def replace_marker(folder: pathlib.Path, marker: CompletionMarker) -> None:
    """Writes another marker; after a power loss there is one of the two."""
    path = folder / _NEW_MARKER_FILE
    path.write_bytes(msgspec.json.encode(marker))
    sync(path)
    path.replace(folder / _MARKER_FILE)
    sync(folder)


def remove_marker(folder: pathlib.Path) -> None:
    """Removes the marker, as data is missing on the disk."""
    (folder / _MARKER_FILE).unlink(missing_ok=True)
    sync(folder)


def read_marker(folder: pathlib.Path) -> CompletionMarker | None:
    """Returns the marker; None if there is none.

    A marker that can't be decoded still means that the data is complete, but
    not since when the instance may grant alone.
    """
    path = folder / _MARKER_FILE
    if not path.exists():
        return None
    try:
        return msgspec.json.decode(path.read_bytes(), type=CompletionMarker)
    except DECODE_ERRORS as error:
        warn_event("mark_undecodable", why=str(error))
        return CompletionMarker()
