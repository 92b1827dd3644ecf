"""A journal of records in segment files, synced in groups.

A frame is its length, a CRC-32 and the record. After a power loss the end of
the newest segment may be missing or torn: reading a segment stops at its
first bad frame. Nothing behind it was ever acknowledged, since a sync covers
all that was written before it; and a process never appends to a segment that
an earlier run has begun.
"""

import asyncio
import concurrent.futures
import os
import pathlib
import struct
import zlib
from collections.abc import Callable, Iterator
from typing import Self

import msgspec

from rattanmill_core import SettingsError, log_event, start_loop, warn_event

_HEADER = struct.Struct("<II")
# Starts the checksum, so that neither a run of zeros nor one of ones, which a
# torn write may leave, looks like a frame.
_CHECKSUM_START = 0x52544D4C
# Long enough that few files exist, short enough that an expired one frees
# its space soon: about half a minute of turns at the sites' peaks.
_SEGMENT_BYTES = 8 * 1024 * 1024
# A longer frame can only be a torn length.
_MOST_FRAME_BYTES = 16 * 1024 * 1024
_SUFFIX = ".journal"


class StoredRecord(msgspec.Struct, frozen=True):
    """A record read back, and the segment in which it lies."""

    segment: int
    data: bytes


class _Waiting(msgspec.Struct):
    """A frame to be written, and who waits for it to be on disk."""

    frame: bytes
    future: asyncio.Future | None


def encode_frame(data: bytes) -> bytes:
    """Returns a record as it is written."""
    return _HEADER.pack(len(data), _checksum(data)) + data


def _checksum(data: bytes) -> int:
    return zlib.crc32(data, _CHECKSUM_START)


def decode_frames(content: bytes) -> Iterator[bytes]:
    """Yields the records of a segment up to its first bad frame."""
    at = 0
    while at + _HEADER.size <= len(content):
        length, checksum = _HEADER.unpack_from(content, at)
        start = at + _HEADER.size
        data = content[start : start + length]
        if length > _MOST_FRAME_BYTES or len(data) < length:
            return
        if _checksum(data) != checksum:
            return
        yield data
        at = start + length


class Journal:
    """Appends records and tells when they are on disk.

    Attributes:
        segment: Number of the segment that is written now.
        synced_bytes: Bytes that syncs have covered.

    Args:
        folder: Where the segments lie.
        snapshot: Returns records that hold all that earlier segments say,
            but for turns. Each segment starts with them.
    """

    def __init__(
        self, folder: pathlib.Path, snapshot: Callable[[], list[bytes]]
    ) -> None:
        self.folder = folder
        self.snapshot = snapshot
        self.segment = 0
        self.written = 0
        self.synced_bytes = 0
        self.pending: list[_Waiting] = []
        self.wake = asyncio.Event()
        self.file = -1
        self.task: asyncio.Task | None = None
        # One thread: writes stay in order, and the loop never waits for disk.
        self.executor = concurrent.futures.ThreadPoolExecutor(1)

    def read(self) -> Iterator[StoredRecord]:
        """Yields all records of earlier runs, oldest first."""
        for number in self.segments():
            content = self._path(number).read_bytes()
            good = 0
            for data in decode_frames(content):
                good += _HEADER.size + len(data)
                yield StoredRecord(number, data)
            if good < len(content):
                warn_event(
                    "journal_tail_bad",
                    segment=number,
                    good_bytes=good,
                    bytes=len(content),
                )

    def segments(self) -> list[int]:
        """Returns the numbers of the segments on disk, oldest first."""
        return sorted(
            int(path.stem)
            for path in self.folder.glob(f"*{_SUFFIX}")
            if path.stem.isdecimal()
        )

    async def __aenter__(self) -> Self:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._begin_segment()
        except OSError as error:
            raise SettingsError(
                f"{self.folder} cannot be written: {error}"
            ) from error
        self.task = start_loop("journal", self._write_for_ever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()
        self.executor.shutdown(wait=True)
        os.close(self.file)

    async def append(self, data: bytes) -> int:
        """Writes a record; returns its segment when it is on disk."""
        future = asyncio.get_running_loop().create_future()
        self.pending.append(_Waiting(encode_frame(data), future))
        self.wake.set()
        return await future

    def append_nowait(self, data: bytes) -> None:
        """Writes a record whose loss only costs certainty, with the next."""
        self.pending.append(_Waiting(encode_frame(data), None))

    def drop_segment(self, number: int) -> None:
        """Removes a segment that nobody needs any more."""
        self._path(number).unlink(missing_ok=True)
        log_event("journal_segment_dropped", segment=number)

    def _begin_segment(self) -> None:
        numbers = self.segments()
        self.segment = max([*numbers, self.segment]) + 1
        path = self._path(self.segment)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self.file = os.open(path, flags, 0o600)
        self.written = 0
        # Behind what waits: the snapshot is younger, and the last word counts.
        self.pending += [
            _Waiting(encode_frame(data), None) for data in self.snapshot()
        ]
        self.wake.set()

    def _path(self, number: int) -> pathlib.Path:
        return self.folder / f"{number:08d}{_SUFFIX}"

    async def _write_for_ever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.wake.wait()
            self.wake.clear()
            group, self.pending = self.pending, []
            if not group:
                continue
            segment = self.segment
            data = b"".join(waiting.frame for waiting in group)
            self.written += len(data)
            await loop.run_in_executor(self.executor, _sync, self.file, data)
            self.synced_bytes += len(data)
            if self.written >= _SEGMENT_BYTES:
                os.close(self.file)
                self._begin_segment()
            for waiting in group:
                if waiting.future and not waiting.future.done():
                    waiting.future.set_result(segment)


def _sync(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
    os.fdatasync(file)
