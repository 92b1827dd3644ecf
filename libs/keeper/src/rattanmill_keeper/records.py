"""What a storage instance writes to its disk, and how."""

import os
import pathlib

import msgspec

from rattanmill_core import warn_event
from rattanmill_keeper.ledger import (
    AccountChange,
    HomeChange,
    RosterChange,
    ShareChange,
    UseChange,
)
from rattanmill_keeper.messages import KeptTurn

# Written once the instance has all that it should; a disk without it is new
# or was lost.
_MARK = "whole"

Record = (
    AccountChange
    | UseChange
    | ShareChange
    | HomeChange
    | RosterChange
    | KeptTurn
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


class CompletionMarker(msgspec.Struct, frozen=True):
    """What stands on the disk of an instance that has all that it should.

    Attributes:
        alone_from: Seconds since 1970 from which it may grant alone to
            programs that it has not heard of.
    """

    alone_from: float = float("inf")


def encode(record: Record) -> bytes:
    """Returns a record as the journal holds it."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> Record | None:
    """Returns a record of the journal; None if it can't be read.

    It was written by a newer version, or is damaged where the checksum fits.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        warn_event("record_undecodable", why=str(error), bytes=len(data))
        return None


def write_marker(folder: pathlib.Path, mark: CompletionMarker) -> None:
    """Writes the mark, unless there is one.

    Synced, or a power loss takes it, and the instance that comes back with all
    its data takes itself for one that lost its disk.
    """
    path = folder / _MARK
    if path.exists():
        return
    with path.open("wb") as file:
        file.write(msgspec.json.encode(mark))
        file.flush()
        os.fsync(file.fileno())


def read_marker(folder: pathlib.Path) -> CompletionMarker | None:
    """Returns the mark; None if there is none.

    One that can't be read says that all is there, and not what was granted
    alone.
    """
    path = folder / _MARK
    if not path.exists():
        return None
    try:
        return msgspec.json.decode(path.read_bytes(), type=CompletionMarker)
    except msgspec.DecodeError as error:
        warn_event("mark_undecodable", why=str(error))
        return CompletionMarker()
