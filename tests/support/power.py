"""Folders that keep, after a power loss, only what was synced.

A file's content is durable as of its last sync, and its name as of the last
sync of its folder, as POSIX promises no more. Everything that is synced below
a folder is copied into a second one, from which a power loss restores it.
"""

import contextlib
import fcntl
import functools
import os
import pathlib
import runpy
import shutil
import sys
from collections.abc import Callable, Iterator

_CONTENTS = "contents"
_NAMES = "names"
_FILE_DESCRIPTORS = pathlib.Path("/proc/self/fd")


class PowerLossDisk:
    """A folder, and a copy of what of it is durable.

    Args:
        folder: The folder; a process writes its data below it.
        durable: Folder for the copy.
    """

    def __init__(self, folder: pathlib.Path, durable: pathlib.Path) -> None:
        self.folder = folder.resolve()
        self.durable = durable

    def record_sync(self, descriptor: int) -> None:
        """Copies what the sync of a file or folder has made durable."""
        path = (_FILE_DESCRIPTORS / str(descriptor)).readlink()
        if not path.is_relative_to(self.folder):
            return
        place = path.relative_to(self.folder)
        if path.is_dir():
            self._record_names(place)
        elif path.exists():
            copy = self.durable / _CONTENTS / place
            copy.parent.mkdir(parents=True, exist_ok=True)
            if fcntl.fcntl(descriptor, fcntl.F_GETFL) & os.O_APPEND:
                _extend(copy, path)
            else:
                _replace(copy, path.read_bytes())

    def _record_names(self, place: pathlib.Path) -> None:
        folder = self.durable / _NAMES / place
        folder.mkdir(parents=True, exist_ok=True)
        names = {path.name for path in (self.folder / place).iterdir()}
        for gone in {path.name for path in folder.iterdir()} - names:
            _remove(folder / gone)
        for name in names:
            if (self.folder / place / name).is_dir():
                (folder / name).mkdir(exist_ok=True)
            else:
                (folder / name).touch()

    def lose_power(self) -> None:
        """Leaves of the folder what is durable; its processes have ended."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        names = self.durable / _NAMES
        for path in sorted(names.rglob("*")):
            place = path.relative_to(names)
            if path.is_dir():
                (self.folder / place).mkdir()
                continue
            content = self.durable / _CONTENTS / place
            data = content.read_bytes() if content.exists() else b""
            (self.folder / place).write_bytes(data)

    def lose_data(self) -> None:
        """Empties the folder for good; its processes have ended."""
        shutil.rmtree(self.folder, ignore_errors=True)
        shutil.rmtree(self.durable, ignore_errors=True)

    @contextlib.contextmanager
    def watched(self) -> Iterator[None]:
        """Records the syncs of this process."""
        with contextlib.ExitStack() as stack:
            for name in ("fsync", "fdatasync"):
                sync = getattr(os, name)
                stack.callback(setattr, os, name, sync)
                setattr(os, name, functools.partial(self._sync, sync))
            yield

    def _sync(self, sync: Callable[[int], None], descriptor: int) -> None:
        sync(descriptor)
        self.record_sync(descriptor)


def _extend(copy: pathlib.Path, path: pathlib.Path) -> None:
    """Appends what the copy of a file lacks, as the file only grows."""
    with path.open("rb") as file, copy.open("ab") as end:
        file.seek(end.tell())
        shutil.copyfileobj(file, end)


def _replace(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file at once, as the process may be killed meanwhile."""
    new = path.with_name(f"{path.name}.new")
    new.write_bytes(content)
    new.rename(path)


def _remove(path: pathlib.Path) -> None:
    if path.is_dir():
        shutil.rmtree(path)
    else:
        path.unlink()


def run() -> None:
    """Runs a script on a disk: ``power.py FOLDER DURABLE SCRIPT ARGUMENTS``."""
    folder, durable, script, *arguments = sys.argv[1:]
    disk = PowerLossDisk(pathlib.Path(folder), pathlib.Path(durable))
    sys.argv = [script, *arguments]
    # As for a script that is run by itself.
    sys.path.insert(0, str(pathlib.Path(script).parent))
    with disk.watched():
        runpy.run_path(script, run_name="__main__")


if __name__ == "__main__":
    run()
