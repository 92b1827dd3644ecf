"""Distribution of endpoint crashes among front ends.

A caller retries a request that crashes endpoints through another front end.
Front ends do not know each other. What one has seen reaches the others in the
replies to the pings that they send to storage instances.
"""

import collections
from collections.abc import Callable

from rattanmill_core import CrashNote
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import Ping, Pong

# A crash makes suspects of the requests in flight, a few dozen. This limit
# covers some minutes of crashes on a bad day.
_MAX_NOTES = 1_000


class CrashLog:
    """Crash notes reported to a storage instance, in order.

    Attributes:
        position: Position of the newest note.
        notes: Newest notes with their positions.

    Args:
        run: Run id of the process, to which positions are specific.
    """

    def __init__(self, run: str) -> None:
        self.run = run
        self.position = 0
        self.notes: collections.deque[tuple[int, CrashNote]] = (
            collections.deque(maxlen=_MAX_NOTES)
        )

    def add(self, notes: list[CrashNote]) -> None:
        """Appends notes that a front end reported."""
        for note in notes:
            self.position += 1
            self.notes.append((self.position, note))

    def answer(self, ping: Ping) -> Pong:
        """Returns the notes that the requester has not received yet."""
        after = ping.after if ping.run == self.run else 0
        new_notes = [note for position, note in self.notes if position > after]
        return Pong(self.run, self.position, new_notes)


class CrashFeed:
    """Crash notes that a front end receives from the storage instances.

    Attributes:
        on_notes: Called with new notes.
        last_pongs: Last pong of each storage instance without its notes, by
            name.
    """

    def __init__(self) -> None:
        self.on_notes: Callable[[list[CrashNote]], None] = lambda notes: None
        self.last_pongs: dict[str, Pong] = {}

    def ping(self, member: Member) -> Ping:
        """Returns the next ping for a storage instance."""
        last = self.last_pongs.get(member.name)
        return Ping(last.run, last.position) if last else Ping()

    def receive(self, member: Member, pong: Pong) -> None:
        """Processes a storage instance's pong."""
        self.last_pongs[member.name] = Pong(pong.run, pong.position, [])
        if pong.notes:
            self.on_notes(pong.notes)
