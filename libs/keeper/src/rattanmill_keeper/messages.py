"""What fronts ask of storage instances, and these of each other."""

from typing import Any

import msgspec

from rattanmill_core import CrashNote
from rattanmill_wire import Codec


class KeptTurn(msgspec.Struct, frozen=True, tag="turn"):
    """A finished turn, as the next ones of its line need it.

    Attributes:
        turn: Its id, the id of the request that ran it.
        previous: The turn that it continues, or empty.
        text: Its new input and then its output, as an endpoint reads them.
        expires: Seconds since 1970 until which it is kept at least.
    """

    turn: str
    previous: str
    text: bytes
    expires: float


class Home(msgspec.Struct, frozen=True):
    """Where the account of a program is.

    Attributes:
        program: The program.
        keeper: Name of the storage instance.
        version: Grows each time the account moves.
    """

    program: str
    keeper: str
    version: int = 1


class Account(msgspec.Struct):
    """What a program may use and has used, in tokens.

    Attributes:
        program: The program.
        budget: All that it may use.
        settled: Used by turns that have ended.
        running: The most that each running turn may still use, by attempt.
        touched: Seconds since 1970 of its last use.
        version: Version of its home, see ``Home``.
    """

    program: str
    budget: int
    settled: int = 0
    running: dict[str, int] = msgspec.field(default_factory=dict)
    touched: float = 0.0
    version: int = 1

    @property
    def taken(self) -> int:
        """The most that has been used, running turns included."""
        return self.settled + sum(self.running.values())


class Reserve(msgspec.Struct, tag=1):
    """Asks for the permission to use up to ``tokens`` in one attempt."""

    program: str
    attempt: str
    tokens: int
    budget: int


class Reserved(msgspec.Struct, tag=2):
    """The permission, written to disk."""

    taken: int


class Spent(msgspec.Struct, tag=3):
    """The budget holds no such turn any more."""

    budget: int
    settled: int
    running: int


class Elsewhere(msgspec.Struct, tag=4):
    """The account is at another storage instance."""

    keeper: str


class Unsure(msgspec.Struct, tag=5):
    """It can't be said here and now."""

    why: str


class Settle(msgspec.Struct, tag=6):
    """Says what an attempt used in the end."""

    program: str
    attempt: str
    tokens: int


class Done(msgspec.Struct, tag=7):
    """It was done."""


class Agree(msgspec.Struct, tag=8):
    """Asks whether ``keeper`` may open the account of a program.

    Attributes:
        roster: All storage instances that the asker knows of.
    """

    program: str
    keeper: str
    roster: list[str]


class Agreed(msgspec.Struct, tag=9):
    """Yes, and it is written down."""


class Refused(msgspec.Struct, tag=10):
    """No: ``keeper`` has it, or, if empty, somebody is opening it."""

    keeper: str


class Outdated(msgspec.Struct, tag=23):
    """The asker does not know of all these storage instances."""

    roster: list[str]


class Ping(msgspec.Struct, tag=24):
    """Asks whether anybody is there; answered with ``Pong``.

    Attributes:
        run: Run of the process whose last ``Pong`` was heard, or empty.
        after: Position of that ``Pong``.
    """

    run: str = ""
    after: int = 0


class Pong(msgspec.Struct, tag=28):
    """Says what fronts have told of crashes since.

    Attributes:
        run: Id of the process's run.
        position: Of the newest note.
        notes: Crashes and finished runs.
    """

    run: str
    position: int
    notes: list[CrashNote]


class Crashed(msgspec.Struct, tag=29):
    """Tells of crashes and finished runs; answered with ``Done``."""

    notes: list[CrashNote]


class Keep(msgspec.Struct, tag=11):
    """Asks to keep a turn; answered when it is on disk."""

    kept: KeptTurn


class Fetch(msgspec.Struct, tag=12):
    """Asks for a turn and all that it continues."""

    turn: str


class Chain(msgspec.Struct, tag=13):
    """The turns found, newest first.

    Attributes:
        turns: Each continues the next one.
        missing: Where the chain ends here though it goes on, or empty.
        whole: Whether this instance would know of the missing one.
    """

    turns: list[KeptTurn]
    missing: str
    whole: bool


class Follow(msgspec.Struct, tag=14):
    """Asks what was taken in since a position of a run.

    Attributes:
        asker: Name of the asking storage instance. Whoever is followed
            counts it from then on when an account is opened.
        run: Run of the one that is asked.
        after: Position up to which everything was taken.
    """

    asker: str
    run: str
    after: int


class News(msgspec.Struct, tag=15):
    """What was taken in since then.

    Attributes:
        run: Id of the process's run; positions begin anew with each.
        position: Where to go on.
        turns: Ids of turns kept.
        homes: Homes written down.
        whole: Whether the instance has all that it should.
        more: Whether there is more at once.
    """

    run: str
    position: int
    turns: list[str]
    homes: list[Home]
    whole: bool
    more: bool


class FetchTurns(msgspec.Struct, tag=16):
    """Asks for turns by id."""

    turns: list[str]


class Turns(msgspec.Struct, tag=17):
    """Those that are there."""

    turns: list[KeptTurn]


class Adopt(msgspec.Struct, tag=18):
    """Hands accounts over to another home."""

    accounts: list[Account]


class Lacking(msgspec.Struct, tag=19):
    """Asks which of these turns are not there."""

    turns: list[str]


class StoreList(msgspec.Struct, tag=20):
    """Asks to read a prefix of the platform's store for the asker."""

    prefix: str


class StoreWatch(msgspec.Struct, tag=21):
    """Asks to watch a prefix of the platform's store for the asker."""

    prefix: str
    after: int
    seconds: float


class StoreItem(msgspec.Struct):
    """A key; a value of None says that it was removed."""

    key: str
    value: bytes | None
    revision: int


class StoreItems(msgspec.Struct, tag=22):
    """What the store said."""

    items: list[StoreItem]
    revision: int


Message = (
    Reserve
    | Reserved
    | Spent
    | Elsewhere
    | Unsure
    | Settle
    | Done
    | Agree
    | Agreed
    | Refused
    | Keep
    | Fetch
    | Chain
    | Follow
    | News
    | FetchTurns
    | Turns
    | Adopt
    | Lacking
    | StoreList
    | StoreWatch
    | StoreItems
    | Outdated
    | Ping
    | Pong
    | Crashed
)


def codec() -> Codec:
    """Returns the codec of all messages here."""
    return Codec(_UNION)


_UNION: Any = Message
