"""Crashes of endpoints that fronts tell of, for all other fronts.

A caller sends a request that crashes endpoints again through another front.
Fronts do not know each other; what one has seen reaches the others with the
signs of life that they ask storage instances for.
"""

import collections
from collections.abc import Callable

from rattanmill_core import CrashNote
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import Ping, Pong

# A crash suspects what was in flight, a few dozen requests; this holds the
# crashes of some minutes on a bad day.
_MOST_NOTES = 1_000


class CrashLog:
    """What a storage instance was told, in order.

    Args:
        run: Id of the process's run; positions mean nothing to another one.
    """

    def __init__(self, run: str) -> None:
        self.run = run
        self.position = 0
        self.notes: collections.deque[tuple[int, CrashNote]] = (
            collections.deque(maxlen=_MOST_NOTES)
        )

    def add(self, notes: list[CrashNote]) -> None:
        """Takes what a front tells."""
        for note in notes:
            self.position += 1
            self.notes.append((self.position, note))

    def answer(self, ping: Ping) -> Pong:
        """Returns what the asker has not heard yet."""
        after = ping.after if ping.run == self.run else 0
        news = [note for position, note in self.notes if position > after]
        return Pong(self.run, self.position, news)


class CrashFeed:
    """What a front has heard from each storage instance.

    Attributes:
        on_notes: Called with what is new.
    """

    def __init__(self) -> None:
        self.on_notes: Callable[[list[CrashNote]], None] = lambda notes: None
        self.last_pongs: dict[str, Pong] = {}

    def ping(self, member: Member) -> Ping:
        """Returns the next question to a storage instance."""
        last = self.last_pongs.get(member.name)
        return Ping(last.run, last.position) if last else Ping()

    def receive(self, member: Member, pong: Pong) -> None:
        """Takes an answer."""
        self.last_pongs[member.name] = Pong(pong.run, pong.position, [])
        if pong.notes:
            self.on_notes(pong.notes)
