"""In-memory table of kept turns, which the journal holds on disk."""

import itertools
from collections.abc import Iterable

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.messages import Chain, KeptTurn

# Time for which a turn is kept beyond its expiry, as clocks differ between
# instances or may jump by seconds.
_EXPIRY_MARGIN_SECONDS = 15.0
# Texts of turns that are sent in one message: several of the largest.
_MAX_SENT_BYTES = 16 * 1024 * 1024


class HeldTurn(msgspec.Struct):
    """A turn and its location in the journal.

    Attributes:
        kept: The turn.
        segment: Number of the journal segment that contains it.
    """

    kept: KeptTurn
    segment: int


class TurnTable:
    """Turns held by this storage instance.

    Attributes:
        held: Turns by id.
        bytes: Total size of their texts.
    """

    def __init__(self) -> None:
        self.held: dict[str, HeldTurn] = {}
        self.bytes = 0

    def add(self, kept: KeptTurn, segment: int) -> bool:
        """Adds a turn; returns False if it is already held."""
        if kept.turn in self.held:
            return False
        self.held[kept.turn] = HeldTurn(kept, segment)
        self.bytes += len(kept.text)
        return True

    def chain(self, turn: str) -> Chain:
        """Returns a turn and all turns that it continues, if held here."""
        turns = []
        while held := self.held.get(turn):
            turns.append(held.kept)
            turn = held.kept.previous
        return Chain(turns, turn)

    def get_many(self, turns: Iterable[str]) -> list[KeptTurn]:
        """Returns the turns that are held, of those given.

        The last ones are left out if their texts would exceed what is sent at
        once. They are asked for again.
        """
        found = [self.held[t].kept for t in turns if t in self.held]
        sizes = itertools.accumulate(len(kept.text) for kept in found)
        fitting = [
            kept
            for kept, size in zip(found, sizes, strict=True)
            if size <= _MAX_SENT_BYTES
        ]
        return fitting or found[:1]

    def missing(self, turns: Iterable[str]) -> list[str]:
        """Returns the ids that are not held, of those given."""
        return [turn for turn in turns if turn not in self.held]

    def expire(self) -> list[str]:
        """Drops expired turns and returns their ids.

        A turn that another turn continues is held for as long as that one, in
        whatever order the two were added.
        """
        now = wall_seconds() - _EXPIRY_MARGIN_SECONDS
        needed = {t for t, h in self.held.items() if h.kept.expires >= now}
        unvisited = list(needed)
        while unvisited:
            previous = self.held[unvisited.pop()].kept.previous
            if previous in self.held and previous not in needed:
                needed.add(previous)
                unvisited.append(previous)
        expired = [turn for turn in self.held if turn not in needed]
        for turn in expired:
            self.bytes -= len(self.held.pop(turn).kept.text)
        return expired

    def segments(self) -> set[int]:
        """Returns the journal segments that contain held turns."""
        return {held.segment for held in self.held.values()}


class HomeEntry(msgspec.Struct, frozen=True):
    """Change log entry for the home of a program.

    It is separate from the entry for the program's account: the account
    changes with each use and matters only to its holders, whereas its home
    must reach all instances, but only once.
    """

    program: str


class SuccessorEntry(msgspec.Struct, frozen=True):
    """Change log entry for the successor of a decommissioned instance."""

    name: str


ChangeEntry = str | HomeEntry | SuccessorEntry


class ChangeLog:
    """Ordered log of turns, homes and uses for instances that follow this one.

    Attributes:
        position: Position of the newest entry.
        entries: Entries by position: the id of a turn, the id of a program
            whose account has changed, a home or a successor.
        positions: Position of each entry.
    """

    def __init__(self) -> None:
        self.position = 0
        self.entries: dict[int, ChangeEntry] = {}
        self.positions: dict[ChangeEntry, int] = {}

    def add(self, entry: ChangeEntry) -> None:
        """Appends an entry; an existing one moves to the end."""
        self.remove(entry)
        self.position += 1
        self.entries[self.position] = entry
        self.positions[entry] = self.position

    def remove(self, entry: ChangeEntry) -> None:
        """Removes an entry, if it exists."""
        position = self.positions.pop(entry, 0)
        self.entries.pop(position, None)

    def since(self, after: int, limit: int) -> list[tuple[int, ChangeEntry]]:
        """Returns the oldest entries after a position, up to ``limit``."""
        newer = []
        for position, entry in reversed(self.entries.items()):
            if position <= after:
                break
            newer.append((position, entry))
        newer.reverse()
        return newer[:limit]
