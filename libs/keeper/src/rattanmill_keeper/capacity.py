"""Whether a storage instance has room for further turns.

A turn that ran and can't be kept is lost for its program, so front ends are
told before the disk or the memory is full.
"""

import msgspec

# Shares of a disk: from the first on, no turns are begun; what has begun by
# then is kept up to the second. Followers and snapshots need the rest.
_FULL_SHARE = 0.7
_REFUSED_SHARE = 0.9
# What a turn takes in memory without its text: ids, use, place in the log.
_TURN_BYTES = 2048
# Memory of an instance that holds nothing.
_BASE_BYTES = 48 * 1024 * 1024
# Of the rest, for each of these: the turns, the texts that are cached and those
# that are being written, which take this many times their size.
_MEMORY_SHARE = 0.25
_WRITE_COPIES = 4
_MIN_SHARE_BYTES = 4 * 1024 * 1024
# Of such a share, for long requests that have arrived in part.
_PARTS_SHARE = 0.5
# Of a machine's memory and descriptors, for connections of other instances; one
# of them holds a message up to this size. As many descriptors again, and more,
# are taken for a moment by those that are shut down.
_CONNECTIONS_MEMORY_SHARE = 0.25
_CONNECTIONS_DESCRIPTORS_SHARE = 0.25
_CONNECTION_BYTES = 64 * 1024


class Capacity(msgspec.Struct, frozen=True):
    """What the machine of a storage instance bears.

    Attributes:
        share_bytes: Memory for turns, for cached texts, and for texts that are
            being written, each.
        disk_bytes: Size of the disk, or None if it is not known.
    """

    share_bytes: int
    disk_bytes: int | None = None

    @property
    def parts_bytes(self) -> int:
        """Memory for long requests that have arrived in part."""
        return int(self.share_bytes * _PARTS_SHARE)

    def is_full(self, turns: int, used_disk_bytes: int) -> bool:
        """Whether no further turns should begin.

        Args:
            turns: Number of turns held.
            used_disk_bytes: Size of what is on disk.
        """
        return turns * _TURN_BYTES > self.share_bytes or (
            self.disk_bytes is not None
            and used_disk_bytes > self.disk_bytes * _FULL_SHARE
        )

    def has_disk_for(self, size: int, used_disk_bytes: int) -> bool:
        """Whether a text of a size can still be written."""
        return (
            self.disk_bytes is None
            or used_disk_bytes + size <= self.disk_bytes * _REFUSED_SHARE
        )

    def has_memory_for(self, size: int, written_bytes: int) -> bool:
        """Whether a text can be written beside those that are being written.

        The largest one is let through alone.
        """
        if not written_bytes:
            return True
        return (written_bytes + size) * _WRITE_COPIES <= self.share_bytes


def capacity_of(memory_bytes: int, disk_bytes: int | None) -> Capacity:
    """Returns what a machine bears."""
    free_bytes = memory_bytes - _BASE_BYTES
    share_bytes = max(_MIN_SHARE_BYTES, int(free_bytes * _MEMORY_SHARE))
    return Capacity(share_bytes, disk_bytes)


def max_connections(memory_bytes: int, max_descriptors: int) -> int:
    """Returns how many connections of other instances a machine bears."""
    by_memory = int(
        memory_bytes * _CONNECTIONS_MEMORY_SHARE / _CONNECTION_BYTES
    )
    by_descriptors = int(max_descriptors * _CONNECTIONS_DESCRIPTORS_SHARE)
    return max(1, min(by_memory, by_descriptors))
