"""Files and folders that are there after a power loss.

The sync of a file covers its content. Its name is in its folder, which has a
sync of its own.
"""

import itertools
import os
import pathlib


def sync(path: pathlib.Path) -> None:
    """Returns once a file's content, or the names in a folder, are on disk.

    Raises:
        OSError: They can't be written.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(path: pathlib.Path) -> None:
    """Creates a folder, with those that it is in, and syncs their names.

    Raises:
        OSError: It can't be created.
    """
    parents = itertools.takewhile(
        lambda each: not each.exists(), (path, *path.parents)
    )
    created = list(parents)
    path.mkdir(parents=True, exist_ok=True)
    for folder in created:
        sync(folder.parent)
