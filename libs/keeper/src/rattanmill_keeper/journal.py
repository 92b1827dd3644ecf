"""Write-ahead journal of records in segment files, with group commit.

A frame consists of the record's length, a CRC-32 and the record. After a power
loss the end of the newest segment may be missing or torn, so reading a segment
stops at its first bad frame. Nothing after that frame was acknowledged, since
a sync covers all earlier writes, and a process never appends to a segment of
an earlier run. What it reads it syncs first, as a process that was killed may
have written it without a sync.
"""

import asyncio
import concurrent.futures
import os
import pathlib
import struct
import zlib
from collections.abc import Callable, Iterable, Iterator
from typing import Self

import msgspec

from rattanmill_core import SettingsError, log_event, start_loop, warn_event
from rattanmill_keeper.files import make_folder, sync

_HEADER = struct.Struct("<II")
# Initial value of the checksum, so that neither a run of zeros nor one of ones,
# as a torn write may leave, looks like a frame.
_CHECKSUM_SEED = 0x52544D4C
# Large enough that there are few files, and small enough that the space of
# expired turns is freed soon: about half a minute of turns at the sites' peaks.
_SEGMENT_BYTES = 8 * 1024 * 1024
# A larger length can only come from a torn write.
_MAX_FRAME_BYTES = 16 * 1024 * 1024
_SUFFIX = ".journal"


class Location(msgspec.Struct, frozen=True):
    """Where a record is on disk.

    Attributes:
        segment: Number of its segment.
        offset: Position of its data in the segment, in bytes.
        size: Size of its data in bytes.
    """

    segment: int
    offset: int
    size: int


class StoredRecord(msgspec.Struct, frozen=True):
    """A record read from disk, and its location."""

    location: Location
    data: bytes


class _PendingRecord(msgspec.Struct):
    """A record to be written, and the future of a writer that awaits it."""

    data: bytes
    future: asyncio.Future | None


def encode_frames(records: Iterable[bytes]) -> bytes:
    """Returns the frames of records."""
    return b"".join(
        part
        for data in records
        for part in (_HEADER.pack(len(data), _checksum(data)), data)
    )


def _checksum(data: bytes) -> int:
    return zlib.crc32(data, _CHECKSUM_SEED)


def decode_frames(content: bytes) -> Iterator[bytes]:
    """Yields the records of a segment up to its first bad frame."""
    offset = 0
    while offset + _HEADER.size <= len(content):
        length, checksum = _HEADER.unpack_from(content, offset)
        start = offset + _HEADER.size
        data = content[start : start + length]
        if length > _MAX_FRAME_BYTES or len(data) < length:
            return
        if _checksum(data) != checksum:
            return
        yield data
        offset = start + length


class Journal:
    """Appends records to segment files and awaits their sync.

    Attributes:
        segment: Number of the segment that is being written.
        snapshot_segment: Number of the newest segment whose snapshot is on
            disk, or 0 if there is none of this run.
        written: Bytes written to that segment.
        synced_bytes: Bytes synced by this process.
        pending: Records that have not been written yet.
        wake: Set when there are records to write.
        sizes: Size of each segment on disk, in bytes.

    Args:
        folder: Folder of the segment files.
        snapshot: Returns records equivalent to all earlier segments, except
            for turns. Each segment starts with them.
    """

    def __init__(
        self, folder: pathlib.Path, snapshot: Callable[[], list[bytes]]
    ) -> None:
        self.folder = folder
        self.snapshot = snapshot
        self.segment = 0
        self.snapshot_segment = 0
        self.written = 0
        self.synced_bytes = 0
        self.pending: list[_PendingRecord] = []
        self.sizes: dict[int, int] = {}
        self.wake = asyncio.Event()
        self.file = -1
        self.task: asyncio.Task | None = None
        # A single thread keeps writes in order and off the event loop.
        self.executor = concurrent.futures.ThreadPoolExecutor(1)

    def read(self) -> Iterator[StoredRecord]:
        """Yields all records of earlier runs, oldest first."""
        numbers = self.segments()
        if numbers:
            sync(self.folder)
        for number in numbers:
            sync(self._path(number))
            content = self._path(number).read_bytes()
            self.sizes[number] = len(content)
            good = 0
            for data in decode_frames(content):
                start = good + _HEADER.size
                good = start + len(data)
                yield StoredRecord(Location(number, start, len(data)), data)
            if good < len(content):
                warn_event(
                    "journal_tail_bad",
                    segment=number,
                    good_bytes=good,
                    bytes=len(content),
                )

    def read_at(self, location: Location) -> bytes:
        """Returns the data of a record that is on disk."""
        file = os.open(self._path(location.segment), os.O_RDONLY)
        try:
            return os.pread(file, location.size, location.offset)
        finally:
            os.close(file)

    @property
    def disk_bytes(self) -> int:
        """Size of all segments on disk."""
        return sum(self.sizes.values())

    def segments(self) -> list[int]:
        """Returns the numbers of the segments on disk, oldest first."""
        return sorted(
            int(path.stem)
            for path in self.folder.glob(f"*{_SUFFIX}")
            if path.stem.isdecimal()
        )

    async def __aenter__(self) -> Self:
        try:
            make_folder(self.folder)
            self._start_segment()
        except OSError as error:
            raise SettingsError(
                f"{self.folder} is not writable: {error}"
            ) from error
        self.task = start_loop("journal", self._write_forever())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()
        self.executor.shutdown(wait=True)
        os.close(self.file)

    async def append(self, data: bytes) -> Location:
        """Writes a record; returns its location once it is on disk."""
        future = asyncio.get_running_loop().create_future()
        self.pending.append(_PendingRecord(data, future))
        self.wake.set()
        return await future

    def append_nowait(self, data: bytes) -> None:
        """Writes a record along with the next one that is awaited.

        Only for records whose loss in a crash merely makes answers less
        certain.
        """
        self.pending.append(_PendingRecord(data, None))

    def drop_segment(self, number: int) -> None:
        """Removes a segment that is no longer needed."""
        self._path(number).unlink(missing_ok=True)
        self.sizes.pop(number, None)
        log_event("journal_segment_dropped", segment=number)

    def _start_segment(self) -> None:
        numbers = self.segments()
        self.segment = max([*numbers, self.segment]) + 1
        path = self._path(self.segment)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        self.file = os.open(path, flags, 0o600)
        self.written = 0
        # After the pending records: the snapshot is newer, and later records
        # replace earlier ones.
        self.pending += [_PendingRecord(data, None) for data in self.snapshot()]
        self.wake.set()

    def _path(self, number: int) -> pathlib.Path:
        return self.folder / f"{number:08d}{_SUFFIX}"

    async def _write_forever(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.wake.wait()
            self.wake.clear()
            group, self.pending = self.pending, []
            if not group:
                continue
            segment = self.segment
            new_in = None if self.written else self.folder
            data = encode_frames(pending.data for pending in group)
            start = self.written
            self.written += len(data)
            await loop.run_in_executor(
                self.executor, _sync, self.file, data, new_in
            )
            self.synced_bytes += len(data)
            self.sizes[segment] = self.written
            # The first group of a segment contains its snapshot.
            self.snapshot_segment = segment
            if self.written >= _SEGMENT_BYTES:
                os.close(self.file)
                self._start_segment()
            for pending in group:
                start += _HEADER.size
                if pending.future and not pending.future.done():
                    size = len(pending.data)
                    pending.future.set_result(Location(segment, start, size))
                start += len(pending.data)


def _sync(file: int, data: bytes, new_in: pathlib.Path | None) -> None:
    """Returns once the data is on disk.

    Args:
        file: Descriptor of the file.
        data: What is appended to it.
        new_in: Folder that does not have the file's name on disk yet, or None.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]
    os.fdatasync(file)
    if new_in is not None:
        sync(new_in)
