"""Table of kept turns, whose texts the journal holds on disk."""

import collections
from collections.abc import Callable, Iterable

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.journal import Location
from rattanmill_keeper.messages import Chain, KeptTurn

# Time for which a turn is kept beyond its expiry, as clocks differ between
# instances or may jump by seconds.
_EXPIRY_MARGIN_SECONDS = 15.0
# Texts of turns that are sent in one message, unless one alone is longer.
_MAX_SENT_BYTES = 4 * 1024 * 1024
_DEFAULT_CACHE_BYTES = 64 * 1024 * 1024


class HeldTurn(msgspec.Struct):
    """A turn and where its text is.

    Attributes:
        kept: The turn without its text.
        location: Location of its record in the journal.
        size: Size of its text in bytes.
    """

    kept: KeptTurn
    location: Location
    size: int


class TurnTable:
    """Turns held by this storage instance.

    Attributes:
        held: Turns by id, without their texts.
        bytes: Total size of their texts.
        texts: Texts by id that are in memory; least recently used first.
        cached_bytes: Total size of these.
        cache_bytes: Maximum of that.

    Args:
        read: Reads a turn's record from disk.
    """

    def __init__(self, read: Callable[[Location], KeptTurn]) -> None:
        self.read = read
        self.held: dict[str, HeldTurn] = {}
        self.bytes = 0
        self.texts: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )
        self.cached_bytes = 0
        self.cache_bytes = _DEFAULT_CACHE_BYTES

    def add(self, kept: KeptTurn, location: Location) -> bool:
        """Adds a turn; returns False if it is already held."""
        if kept.turn in self.held:
            return False
        size = len(kept.text)
        without_text = msgspec.structs.replace(kept, text=b"")
        self.held[kept.turn] = HeldTurn(without_text, location, size)
        self.bytes += size
        self._cache(kept.turn, kept.text)
        return True

    def _cache(self, turn: str, text: bytes) -> None:
        self.texts[turn] = text
        self.cached_bytes += len(text)
        while self.cached_bytes > self.cache_bytes:
            _, evicted = self.texts.popitem(last=False)
            self.cached_bytes -= len(evicted)

    def _uncache(self, turn: str) -> None:
        self.cached_bytes -= len(self.texts.pop(turn, b""))

    def _with_text(self, held: HeldTurn) -> KeptTurn:
        turn = held.kept.turn
        text = self.texts.get(turn)
        if text is None:
            text = self.read(held.location).text
            self._cache(turn, text)
        else:
            self.texts.move_to_end(turn)
        return msgspec.structs.replace(held.kept, text=text)

    def chain(self, turn: str, max_bytes: int = 0) -> Chain:
        """Returns a turn and all turns that it continues, if held here.

        Args:
            turn: Id of the turn.
            max_bytes: Maximum size of their texts, or 0 for any size.
        """
        turns = []
        size = 0
        while held := self.held.get(turn):
            size += held.size
            if max_bytes and size > max_bytes:
                return Chain(turns, turn, next_bytes=held.size)
            turns.append(self._with_text(held))
            turn = held.kept.previous
        return Chain(turns, turn)

    def get(self, turn: str) -> KeptTurn | None:
        """Returns a turn with its text, or None if it is not held."""
        held = self.held.get(turn)
        return self._with_text(held) if held else None

    def get_many(self, turns: Iterable[str]) -> list[KeptTurn]:
        """Returns the turns that are held, of those given.

        The last ones are left out if their texts would exceed what is sent at
        once. They are asked for again.
        """
        found: list[KeptTurn] = []
        size = 0
        for held in filter(None, map(self.held.get, turns)):
            size += held.size
            if found and size > _MAX_SENT_BYTES:
                break
            found.append(self._with_text(held))
        return found

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
            self.bytes -= self.held.pop(turn).size
            self._uncache(turn)
        return expired

    def segments(self) -> set[int]:
        """Returns the journal segments that contain held turns."""
        return {held.location.segment for held in self.held.values()}


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
