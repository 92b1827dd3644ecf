"""Kept turns in memory, by id; the journal holds them on disk."""

from collections.abc import Iterable

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.messages import Chain, KeptTurn

# Beyond its time a turn is kept this long, against clocks that differ
# between instances or jump by seconds.
_MARGIN_SECONDS = 15.0


class HeldTurn(msgspec.Struct):
    """A turn and where it lies.

    Attributes:
        kept: The turn.
        segment: Segment of the journal that it lies in.
    """

    kept: KeptTurn
    segment: int


class TurnTable:
    """Turns held by this storage instance.

    Attributes:
        held: Turns by id.
        bytes: Size of their texts.
    """

    def __init__(self) -> None:
        self.held: dict[str, HeldTurn] = {}
        self.bytes = 0

    def add(self, kept: KeptTurn, segment: int) -> bool:
        """Takes a turn in; False if it is held already."""
        if kept.turn in self.held:
            return False
        self.held[kept.turn] = HeldTurn(kept, segment)
        self.bytes += len(kept.text)
        return True

    def chain(self, turn: str) -> Chain:
        """Returns a turn and all that it continues, as far as held here."""
        turns = []
        while held := self.held.get(turn):
            turns.append(held.kept)
            turn = held.kept.previous
        return Chain(turns, turn)

    def get_many(self, turns: Iterable[str]) -> list[KeptTurn]:
        """Returns those of the turns that are held."""
        return [self.held[t].kept for t in turns if t in self.held]

    def missing(self, turns: Iterable[str]) -> list[str]:
        """Returns those of the turns that are not held."""
        return [turn for turn in turns if turn not in self.held]

    def expire(self) -> list[str]:
        """Drops turns whose time is over and returns their ids.

        One that another turn continues is held for as long as that one, in
        whatever order the two came in.
        """
        now = wall_seconds() - _MARGIN_SECONDS
        needed = {t for t, h in self.held.items() if h.kept.expires >= now}
        look_at = list(needed)
        while look_at:
            previous = self.held[look_at.pop()].kept.previous
            if previous in self.held and previous not in needed:
                needed.add(previous)
                look_at.append(previous)
        old = [turn for turn in self.held if turn not in needed]
        for turn in old:
            self.bytes -= len(self.held.pop(turn).kept.text)
        return old

    def segments(self) -> set[int]:
        """Returns the segments of the journal that hold turns still held."""
        return {held.segment for held in self.held.values()}


class HomeEntry(msgspec.Struct, frozen=True):
    """Stands for the home of a program where others stand for its account.

    The account changes with each use, which concerns its holders alone; where
    it is, all have to know, once.
    """

    program: str


class ChangeLog:
    """Order in which turns, homes and uses came in, for those who follow.

    Attributes:
        position: Position of the newest entry.
        entries: What came in, by position: the id of a turn, that of a program
            whose account has changed, or a home.
    """

    def __init__(self) -> None:
        self.position = 0
        self.entries: dict[int, str | HomeEntry] = {}
        self.positions: dict[str | HomeEntry, int] = {}

    def add(self, entry: str | HomeEntry) -> None:
        """Appends an entry; one that is there already moves to the end."""
        self.remove(entry)
        self.position += 1
        self.entries[self.position] = entry
        self.positions[entry] = self.position

    def remove(self, entry: str | HomeEntry) -> None:
        """Forgets an entry."""
        position = self.positions.pop(entry, 0)
        self.entries.pop(position, None)

    def since(self, after: int, most: int) -> list[tuple[int, str | HomeEntry]]:
        """Returns the oldest entries after a position, up to ``most``."""
        newer = []
        for position, entry in reversed(self.entries.items()):
            if position <= after:
                break
            newer.append((position, entry))
        newer.reverse()
        return newer[:most]
