"""What fronts ask of storage instances, and these of each other."""

from typing import Any

import msgspec

from rattanmill_core import CrashNote
from rattanmill_wire import Codec

# Instances grant alone only where there are no more than these: with more, the
# consent of others may leave out several that grant.
MAX_SHARERS = 3


class KeptTurn(msgspec.Struct, frozen=True, tag="turn"):
    """A finished turn, as the next ones of its line need it.

    Attributes:
        turn: Its id, the id of the request that ran it.
        previous: The turn that it continues, or empty.
        text: Its new input and then its output, as an endpoint reads them.
        expires: Seconds since 1970 until which it is kept at least.
        chain: What all turns of its chain have in common: it decides which
            storage instances keep them, so that one has them all.
    """

    turn: str
    previous: str
    text: bytes
    expires: float
    chain: str = ""

    @property
    def key(self) -> str:
        """What decides which storage instances keep it."""
        return self.chain or self.turn


class TurnRef(msgspec.Struct, frozen=True, array_like=True):
    """A turn that a storage instance holds; its fields as in ``KeptTurn``."""

    turn: str
    key: str


class Home(msgspec.Struct, frozen=True):
    """Where the account of a program is.

    Attributes:
        program: The program.
        holders: Names of the storage instances that hold it, each in another
            failure domain. The first one opened it.
    """

    program: str
    holders: tuple[str, ...]


class Use(msgspec.Struct, frozen=True, array_like=True):
    """What one attempt takes of a budget.

    Attributes:
        tokens: What it used or, while it runs, the most that it may use.
        settled: Whether it has ended.
    """

    tokens: int
    settled: bool = False


class Place(msgspec.Struct, frozen=True):
    """Where an open account is.

    Attributes:
        holders: As in ``Home``.
        sharers: Names of those that may have granted tokens alone.
        reserved: Tokens that the holders do not grant, since these may have.
    """

    holders: tuple[str, ...]
    sharers: tuple[str, ...] = ()
    reserved: int = 0


class Account(msgspec.Struct):
    """What a program may use and has used, in tokens, as one holder knows it.

    Attributes:
        program: The program.
        budget: All that it may use.
        place: Who holds it.
        uses: By attempt.
        given: How much of what is reserved for sharers they have given back.
        touched: Seconds since 1970 of its last use.
    """

    program: str
    budget: int
    place: Place
    uses: dict[str, Use] = msgspec.field(default_factory=dict)
    given: int = 0
    touched: float = 0.0

    @property
    def settled(self) -> int:
        """What attempts that have ended used."""
        return sum(use.tokens for use in self.uses.values() if use.settled)

    @property
    def taken(self) -> int:
        """The most that has been used, running attempts included."""
        return sum(use.tokens for use in self.uses.values())

    @property
    def limit(self) -> int:
        """What the holders may grant together."""
        return self.budget - self.place.reserved + self.given


def max_share(budget: int, tokens: int) -> int:
    """Returns the most that one instance may grant a program alone.

    A failure domain that is cut off goes on with it. Callers allow a program
    its budget and one turn; at most three instances grant alone, so three of
    these parts together stay within that also if all are cut off from each
    other. It is one turn of the smallest budgets in use, and five of others.

    Args:
        budget: All that the program may use.
        tokens: The most that one turn uses.
    """
    return (budget + tokens) // MAX_SHARERS


class Share(msgspec.Struct):
    """What one storage instance has granted alone to a program.

    Attributes:
        uses: By attempt.
        is_closed: Whether it grants nothing more.
        touched: Seconds since 1970 of its last change.
    """

    uses: dict[str, Use] = msgspec.field(default_factory=dict)
    is_closed: bool = False
    touched: float = 0.0

    @property
    def taken(self) -> int:
        """The most that was used."""
        return sum(use.tokens for use in self.uses.values())


class Open(msgspec.Struct, tag=32):
    """Asks where the account of a program is; opened if it has none.

    Attributes:
        program: The program.
        budget: All that it may use.
        tokens: The most that one turn uses.
    """

    program: str
    budget: int
    tokens: int


class Opened(msgspec.Struct, tag=33):
    """The account is open."""

    place: Place


class Reserve(msgspec.Struct, tag=1):
    """Asks for the permission to use up to ``tokens`` in one attempt.

    Attributes:
        program: The program.
        attempt: The attempt.
        tokens: The most that it may use.
        budget: All that the program may use.
        place: Where the account is, if it is known to be open.
        alone: Whether one instance is to grant it out of its own share.
    """

    program: str
    attempt: str
    tokens: int
    budget: int
    place: Place | None = None
    alone: bool = False


class Recorded(msgspec.Struct, tag=31):
    """The reservation is on the disk of one holder.

    Attributes:
        taken: The most that was used, as known there, this one included.
        limit: What the holders may grant together, as known there.
        digest: Holders with the same digest know the same uses.
    """

    taken: int
    limit: int
    digest: int


class Full(msgspec.Struct, tag=34):
    """A holder knows of so many uses that there is no room."""


class Reserved(msgspec.Struct, tag=2):
    """The permission: enough holders have recorded it."""

    taken: int


class Spent(msgspec.Struct, tag=3):
    """The budget holds no such turn any more."""

    budget: int
    settled: int
    running: int


class Elsewhere(msgspec.Struct, tag=4):
    """These are to hold the account; whether it is open, they know."""

    holders: tuple[str, ...]


class Unsure(msgspec.Struct, tag=5):
    """It can't be said here and now."""

    why: str


class CutOff(msgspec.Struct, tag=39):
    """It reaches no other storage instance, and opens no account."""


class Settle(msgspec.Struct, tag=6):
    """Says what an attempt used in the end.

    Attributes:
        program: The program.
        attempt: The attempt.
        tokens: What it used.
        alone: Whether one instance has granted it out of its own share.
    """

    program: str
    attempt: str
    tokens: int
    alone: bool = False


class Done(msgspec.Struct, tag=7):
    """It was done."""


class Show(msgspec.Struct, tag=35):
    """Asks a holder for an account; answered with ``Shown``."""

    program: str


class Shown(msgspec.Struct, tag=36):
    """An account as one holder knows it."""

    account: Account


class Merge(msgspec.Struct, tag=18):
    """Tells holders what others know of accounts."""

    accounts: list[Account]


class GiveBack(msgspec.Struct, tag=37):
    """Asks one that may have granted tokens alone to grant no more."""

    program: str


class GivenBack(msgspec.Struct, tag=38):
    """It grants no more alone, which is on its disk.

    Attributes:
        used: The most that was used of what it has granted.
    """

    used: int


class Agree(msgspec.Struct, tag=8):
    """Asks whether ``keeper`` may open an account at these holders.

    Attributes:
        program: The program.
        keeper: Who asks.
        holders: Who is to hold it.
        roster: All storage instances that the asker knows of.
        is_decided: Whether the store says that these are the holders.
    """

    program: str
    keeper: str
    holders: tuple[str, ...]
    roster: list[str]
    is_decided: bool = False


class Agreed(msgspec.Struct, tag=9):
    """Yes, and it is written down.

    Attributes:
        has_share: Whether it has granted tokens alone, or may do so.
    """

    has_share: bool = False


class Refused(msgspec.Struct, tag=10):
    """No: these have it, or, if empty, somebody is opening it.

    Attributes:
        holders: Whom the one that was asked has agreed to.
        is_open: Whether it knows that the account is open there.
    """

    holders: tuple[str, ...]
    is_open: bool = False


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
        revision: Revision of the store with which the instance last heard that
            a storage instance came, went or changed.
    """

    run: str
    position: int
    notes: list[CrashNote]
    revision: int = 0


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
        unlisted: Storage instances that it has known lately, which are not
            registered any more; they may have the missing one.
    """

    turns: list[KeptTurn]
    missing: str
    whole: bool = False
    unlisted: list[str] = []


class Follow(msgspec.Struct, tag=14):
    """Asks what was taken in since a position of a run.

    Attributes:
        asker: Name of the asking storage instance. Whoever is followed
            counts it from then on when an account is opened.
        run: Run of the one that is asked.
        after: Position up to which everything was taken.
        asker_run: Run of the one that asks.
    """

    asker: str
    run: str
    after: int
    asker_run: str = ""


class AccountRef(msgspec.Struct, frozen=True, array_like=True):
    """An account that a storage instance holds, as it knows it.

    Attributes:
        program: The program.
        digest: Holders with the same digest know the same uses.
        limit: What the holders may grant together.
    """

    program: str
    digest: int
    limit: int


class News(msgspec.Struct, tag=15):
    """What was taken in since then.

    Attributes:
        run: Id of the process's run; positions begin anew with each.
        position: Where to go on.
        turns: Turns kept.
        homes: Homes written down.
        accounts: Accounts that the asker should hold. It may have missed
            permissions, and be the last to hold them.
        whole: Whether the instance has all that it should.
        more: Whether there is more at once.
        revision: As in ``Pong``.
        is_counted: Whether the asker is listed here.
        absent: Others that were known lately and may have something that the
            asker has lost. None if the asker is new: it had nothing.
    """

    run: str
    position: int
    turns: list[TurnRef]
    homes: list[Home]
    accounts: list[AccountRef]
    whole: bool
    more: bool
    revision: int = 0
    is_counted: bool = True
    absent: list[str] = []


class FetchAccounts(msgspec.Struct, tag=40):
    """Asks for the accounts of programs."""

    programs: list[str]


class Accounts(msgspec.Struct, tag=41):
    """Those that are held here."""

    accounts: list[Account]


class FetchTurns(msgspec.Struct, tag=16):
    """Asks for turns by id."""

    turns: list[str]


class Turns(msgspec.Struct, tag=17):
    """Those that are there."""

    turns: list[KeptTurn]


class Lacking(msgspec.Struct, tag=19):
    """Asks which of these turns are not there."""

    turns: list[str]


class StoreList(msgspec.Struct, tag=20):
    """Asks to read a prefix of the platform's store for the asker."""

    prefix: str


class StoreWatch(msgspec.Struct, tag=21):
    """Asks to watch prefixes of the platform's store for the asker.

    Answered once one of them has changed, or when the time is over.

    Attributes:
        prefix: A prefix.
        after: Revision up to which its changes are known.
        seconds: How long to wait.
        others: The same of further prefixes.
    """

    prefix: str
    after: int
    seconds: float
    others: dict[str, int] = {}


class StoreItem(msgspec.Struct):
    """A key; a value of None says that it was removed."""

    key: str
    value: bytes | None
    revision: int


class StoreItems(msgspec.Struct, tag=22):
    """What the store said.

    Attributes:
        items: Keys, or changes of them.
        revision: The store's revision.
        waits: Revision at which keys were missing that are listed on, as they
            may be back soon; 0 if there are none.
        others: The same of the further prefixes that were asked for, without
            those of which nothing can be said.
    """

    items: list[StoreItem]
    revision: int
    waits: int = 0
    others: dict[str, "StoreItems"] = {}


Message = (
    Reserve
    | Reserved
    | Recorded
    | Full
    | Open
    | Opened
    | Show
    | Shown
    | GiveBack
    | GivenBack
    | Spent
    | Elsewhere
    | Unsure
    | CutOff
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
    | FetchAccounts
    | Accounts
    | FetchTurns
    | Turns
    | Merge
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
