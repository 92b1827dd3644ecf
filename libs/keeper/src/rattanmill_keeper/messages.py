"""Messages from front ends to storage instances and between these."""

import math
from collections.abc import Collection
from typing import Any

import msgspec

from rattanmill_core import CrashNote
from rattanmill_keeper.isolation import Loss
from rattanmill_wire import Codec

# Instances grant tokens alone only in systems of at most this many storage
# instances. With more, an account could be opened without the consent of
# several instances that grant alone.
MAX_SHARERS = 3


class TurnUse(msgspec.Struct, frozen=True, array_like=True):
    """What a kept turn has used of its program's budget.

    Attributes:
        program: Program id.
        attempt: Attempt id.
        tokens: Tokens used.
        alone: Whether one instance granted the reservation out of its share.
    """

    program: str
    attempt: str
    tokens: int
    alone: bool = False


class KeptTurn(msgspec.Struct, frozen=True, tag="turn"):
    """A finished turn, with what the turns that continue it need.

    Attributes:
        turn: Turn id, which is the id of the request that ran the turn.
        previous: Id of the turn that it continues, or empty.
        text: The turn's new input followed by its output, in the format that
            endpoints read.
        expires: Earliest time at which the turn may be dropped, in seconds
            since 1970.
        chain: Key shared by all turns of a chain. It selects the storage
            instances that keep them, so that each of these has all of them.
        use: What it has used of a budget; None if it has none, or from an
            earlier version. Whoever has the turn can tell it.
    """

    turn: str
    previous: str
    text: bytes
    expires: float
    chain: str = ""
    use: TurnUse | None = None

    @property
    def key(self) -> str:
        """Key that selects the storage instances that keep the turn."""
        return self.chain or self.turn


class TurnRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to a held turn.

    Attributes:
        turn: As in ``KeptTurn``.
        key: As in ``KeptTurn``.
    """

    turn: str
    key: str


class Home(msgspec.Struct, frozen=True):
    """The storage instances that hold a program's account.

    Attributes:
        program: Program id.
        holders: Names of the storage instances with a replica of the account,
            each in a different failure domain. The first one opened it.
    """

    program: str
    holders: tuple[str, ...]


class Use(msgspec.Struct, frozen=True, array_like=True):
    """The tokens of one attempt that count against a budget.

    Attributes:
        tokens: Tokens used or, while the attempt runs, the maximum that it may
            use.
        settled: Whether the attempt has ended.
    """

    tokens: int
    settled: bool = False


class Place(msgspec.Struct, frozen=True):
    """Placement of an open account.

    Attributes:
        holders: As in ``Home``.
        sharers: Names of the storage instances that may have granted tokens
            alone.
        reserved: Tokens set aside for the sharers. The holders do not grant
            them, as the sharers may have done so.
        one_turn: Whether each of the sharers grants one turn at most.
        one_turn_sharers: Those that do; empty from an earlier version.
    """

    holders: tuple[str, ...]
    sharers: tuple[str, ...] = ()
    reserved: int = 0
    one_turn: bool = False
    one_turn_sharers: tuple[str, ...] = ()

    def may_be_given_back(self, returned_by: Collection[str]) -> bool:
        """Whether what is set aside may be granted, less what was used of it.

        Callers allow one turn beyond the budget, which the last of the sharers
        may have granted.

        Args:
            returned_by: Sharers that grant nothing more, and have told what
                they granted.
        """
        lacking = set(self.sharers).difference(returned_by)
        has_one_turn = self.one_turn or lacking.issubset(self.one_turn_sharers)
        return not lacking or (len(lacking) == 1 and has_one_turn)


class Account(msgspec.Struct):
    """One holder's replica of a program's account, in tokens.

    Attributes:
        program: Program id.
        budget: Total tokens that the program may use.
        place: Placement of the account.
        uses: Uses by attempt id.
        given: Tokens that the sharers have returned out of those set aside
            for them.
        touched: Time of the last change, in seconds since 1970.
    """

    program: str
    budget: int
    place: Place
    uses: dict[str, Use] = msgspec.field(default_factory=dict)
    given: int = 0
    touched: float = 0.0

    @property
    def settled(self) -> int:
        """Tokens used by attempts that have ended."""
        return sum(use.tokens for use in self.uses.values() if use.settled)

    @property
    def taken(self) -> int:
        """Maximum tokens used, including those of running attempts."""
        return sum(use.tokens for use in self.uses.values())

    @property
    def limit(self) -> int:
        """Total tokens that the holders may grant."""
        return self.budget - self.place.reserved + self.given


def max_share(budget: int, tokens: int) -> int:
    """Returns what one instance grants alone to a program unknown to it.

    It lets a program begin in a failure domain that is cut off. It is one turn,
    by which callers let a program exceed its budget: nothing has to be set
    aside for one instance, so nothing is lost with its disk. A turn of more
    than half of the budget is not granted, see ``reserve_for``.

    Args:
        budget: Total tokens that the program may use.
        tokens: Maximum tokens of one turn.
    """
    return tokens if 2 * tokens <= budget else 0


def max_earlier_share(budget: int, tokens: int) -> int:
    """Returns what an instance of an earlier version grants alone.

    At most three instances grant alone, and all three together stay within the
    budget and one turn.
    """
    return (budget + tokens) // MAX_SHARERS


def reserve_for(
    sharers: int, budget: int, tokens: int, grant_one_turn: bool
) -> int:
    """Returns what is set aside for instances that may have granted alone.

    Callers allow the largest of their turns beyond the budget. How large the
    others were is unknown to who opens the account.

    Args:
        sharers: Number of these instances.
        budget: Total tokens that the program may use.
        tokens: Maximum tokens of the turn for which the account is opened.
        grant_one_turn: Whether each of them grants one turn at most.
    """
    # Rounded up, as larger turns may be rounded down by less.
    largest = math.ceil((budget + tokens) / MAX_SHARERS)
    earlier = sharers * largest - tokens
    beyond_one = (sharers - 1) * (budget // 2)
    return max(0, min(earlier, beyond_one) if grant_one_turn else earlier)


class Share(msgspec.Struct):
    """What one storage instance has granted alone to a program.

    Attributes:
        uses: Uses by attempt id.
        is_closed: Whether the instance grants nothing more alone.
        touched: Time of the last change, in seconds since 1970.
        limit: Maximum number of tokens, or 0 if it is ``max_share``.
        is_restored: Whether it was lost with a disk, and another instance has
            told what it was.
    """

    uses: dict[str, Use] = msgspec.field(default_factory=dict)
    is_closed: bool = False
    touched: float = 0.0
    limit: int = 0
    is_restored: bool = False

    @property
    def taken(self) -> int:
        """Maximum tokens used, including those of running attempts."""
        return sum(use.tokens for use in self.uses.values())

    @property
    def is_one_turn(self) -> bool:
        """Whether it is at most one turn; an earlier version granted more."""
        sizes = (use.tokens for use in self.uses.values())
        return self.taken <= max(self.limit, *sizes, 0)


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """What one storage instance has granted alone to a program it began.

    Attributes:
        program: Program id.
        tokens: Tokens.
    """

    program: str
    tokens: int


class Open(msgspec.Struct, tag=32):
    """Requests the placement of a program's account, opening it if needed.

    Attributes:
        program: Program id.
        budget: Total tokens that the program may use.
        tokens: Maximum tokens of one turn.
    """

    program: str
    budget: int
    tokens: int


class Opened(msgspec.Struct, tag=33):
    """The account is open."""

    place: Place


class Reserve(msgspec.Struct, tag=1):
    """Requests a budget reservation for one attempt.

    Attributes:
        program: Program id.
        attempt: Attempt id.
        tokens: Maximum tokens that the attempt may use.
        budget: Total tokens that the program may use.
        place: Placement of the account, if it is known to be open.
        alone: Whether the receiver should grant it alone out of its share.
        ended: Tokens used by attempts of the program that have ended, by
            attempt id. They are settled first.
    """

    program: str
    attempt: str
    tokens: int
    budget: int
    place: Place | None = None
    alone: bool = False
    ended: dict[str, int] = {}


class Recorded(msgspec.Struct, tag=31):
    """The reservation is on one holder's disk.

    Attributes:
        taken: Maximum tokens used as known to this holder, including this
            reservation.
        limit: Total tokens that the holders may grant, as known to this one.
        digest: Digest of the uses; holders with equal digests know the same.
        settled: Number of ended attempts of the request that were settled.
    """

    taken: int
    limit: int
    digest: int
    settled: int = 0


class Full(msgspec.Struct, tag=34):
    """The uses known to the holder leave too little of the budget.

    Attributes:
        settled: As in ``Recorded``.
    """

    settled: int = 0


class Reserved(msgspec.Struct, tag=2):
    """The reservation is granted: enough holders have recorded it."""

    taken: int


class Spent(msgspec.Struct, tag=3):
    """The rest of the budget is too small for the reservation."""

    budget: int
    settled: int
    running: int


class Elsewhere(msgspec.Struct, tag=4):
    """Other holders were agreed on; only they know if the account is open."""

    holders: tuple[str, ...]


class Unsure(msgspec.Struct, tag=5):
    """The receiver can't answer for certain at present."""

    why: str


class CutOff(msgspec.Struct, tag=39):
    """The receiver reaches no other storage instance to open accounts."""


class Settle(msgspec.Struct, tag=6):
    """Reports the final use of an attempt.

    Attributes:
        program: Program id.
        attempt: Attempt id.
        tokens: Tokens used.
        alone: Whether one instance granted the reservation out of its share.
    """

    program: str
    attempt: str
    tokens: int
    alone: bool = False


class Done(msgspec.Struct, tag=7):
    """The request was carried out."""


class Show(msgspec.Struct, tag=35):
    """Requests a holder's replica of an account; the reply is ``Shown``."""

    program: str


class Shown(msgspec.Struct, tag=36):
    """A holder's replica of an account."""

    account: Account


class Merge(msgspec.Struct, tag=18):
    """Sends accounts as other holders know them, to be merged."""

    accounts: list[Account]


class Succeed(msgspec.Struct, tag=46):
    """Requests that the receiver hold accounts in place of the sender.

    Sent by an instance that is being decommissioned and that records nothing
    any more. All accounts that it holds are sent, in pages.

    Attributes:
        keeper: Name of the sender.
        run: Run id of the receiver in its last ``Succeeded``, or empty in the
            first page.
        names: Instances whose accounts the sender holds, including itself.
        accounts: A page of the accounts.
        is_last: Whether the receiver has all accounts with this page, and
            holds them from then on.
        granted: A page of the tokens that these instances have granted alone,
            by instance and program. They grant nothing more.
        granted_known_from: Unix time in seconds from which these are all that
            matter, as the sender may have granted on a disk that was lost.
    """

    keeper: str
    run: str
    names: list[str]
    accounts: list[Account]
    is_last: bool
    granted: dict[str, dict[str, int]] = {}
    granted_known_from: float = 0.0


class Succeeded(msgspec.Struct, tag=47):
    """The page is on disk.

    Attributes:
        run: Run id of the receiver.
        is_listed: Whether the store lists it as the successor.
    """

    run: str
    is_listed: bool = False


class GiveBack(msgspec.Struct, tag=37):
    """Requests that a sharer grant no more tokens alone."""

    program: str


class GivenBack(msgspec.Struct, tag=38):
    """The sharer grants no more alone, and has this on disk.

    Attributes:
        used: Maximum tokens used of those that it has granted.
    """

    used: int


class Agree(msgspec.Struct, tag=8):
    """Requests consent to open an account at these holders.

    Attributes:
        program: Program id.
        keeper: Name of the requesting storage instance.
        holders: Proposed holders of the account.
        roster: All storage instances that the requester knows.
        is_decided: Whether the platform store records these holders.
    """

    program: str
    keeper: str
    holders: tuple[str, ...]
    roster: list[str]
    is_decided: bool = False


class Agreed(msgspec.Struct, tag=9):
    """Consent is given and on disk.

    Attributes:
        has_share: Whether the instance has granted tokens alone, or may do so.
        has_lost_share: Whether it may have granted tokens alone on a disk that
            was lost since.
        max_beginners: As in ``Members.max_beginners``.
        losses: As in ``Members.losses``; None from an earlier version.
        unable: As in ``Members.unable``.
        predecessors_with_share: Decommissioned instances that have granted
            tokens alone, in whose place it holds accounts.
        has_one_turn: Whether what it granted alone is one turn at most.
        one_turn: As in ``Members.one_turn``.
        grantors: Instances that have told that they granted tokens alone.
    """

    has_share: bool = False
    has_lost_share: bool = False
    max_beginners: int = 0
    losses: dict[str, Loss] | None = None
    unable: list[str] = []
    predecessors_with_share: list[str] = []
    has_one_turn: bool = False
    one_turn: dict[str, bool] = {}
    grantors: list[str] = []


class Refused(msgspec.Struct, tag=10):
    """Consent is refused.

    Attributes:
        holders: Holders that the instance has already agreed to; empty if it
            is opening the account itself.
        is_open: Whether it knows that the account is open at these holders.
    """

    holders: tuple[str, ...]
    is_open: bool = False


class Outdated(msgspec.Struct, tag=23):
    """The requester's roster lacks some of these storage instances."""

    roster: list[str]


class Ping(msgspec.Struct, tag=24):
    """Checks that the receiver responds; the reply is ``Pong``.

    Attributes:
        run: Run id in the last ``Pong`` that was received, or empty.
        after: Position in that ``Pong``.
    """

    run: str = ""
    after: int = 0


class Pong(msgspec.Struct, tag=28):
    """Returns what front ends have reported of crashes since the last pong.

    Attributes:
        run: Run id of the process.
        position: Position of the newest note.
        notes: Crashes and finished runs.
        revision: Store revision at which the instance last learned that a
            storage instance was added, removed or changed.
        is_full: Whether it keeps no further turns for now.
    """

    run: str
    position: int
    notes: list[CrashNote]
    revision: int = 0
    is_full: bool = False


class Crashed(msgspec.Struct, tag=29):
    """Reports crashes and finished runs; the reply is ``Done``."""

    notes: list[CrashNote]


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that an endpoint reported in a response.

    Attributes:
        endpoint: Name of the endpoint.
        running: Requests that run.
        waiting: Requests that wait for a slot.
        slots: Maximum number of concurrent requests.
        slowdown: How long work takes there at this moment relative to the
            usual time, or None if the endpoint does not report it.
        age_seconds: Time since the response arrived.
    """

    endpoint: str
    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    age_seconds: float = 0.0


class CachedPrefix(msgspec.Struct, frozen=True, array_like=True):
    """A prompt prefix that was sent to an endpoint, which should cache it.

    Attributes:
        endpoint: Name of the endpoint.
        prefix: Id of the prefix.
    """

    endpoint: str
    prefix: str


class ReportLoads(msgspec.Struct, tag=44):
    """Reports loads of endpoints; the reply is ``SharedLoads``.

    Attributes:
        front_end: Random id of the reporting process.
        loads: Loads reported by endpoints since the last exchange, oldest
            first.
        prefixes: Prefixes that the front end has sent to an endpoint for the
            first time.
        run: Run id in the last ``SharedLoads`` that was received, or empty.
        after_load: Position of the newest load in that reply.
        after_prefix: Position of the newest prefix in that reply.
        clock_seconds: Receiver's clock when this was sent, as known from that
            reply; 0 if there was none.
    """

    front_end: str
    loads: list[EndpointLoad]
    prefixes: list[CachedPrefix]
    run: str = ""
    after_load: int = 0
    after_prefix: int = 0
    clock_seconds: float = 0.0


class SharedLoads(msgspec.Struct, tag=45):
    """Returns what other front ends have reported of endpoints.

    Attributes:
        run: Run id of the process; positions start over with each run.
        loads: Loads after the requested position, newest first.
        prefixes: Prefixes after the requested position, oldest first.
        load_position: Position of the newest load.
        prefix_position: Position of the newest prefix in this message.
        clock_seconds: Clock of the process.
    """

    run: str
    loads: list[EndpointLoad]
    prefixes: list[CachedPrefix]
    load_position: int
    prefix_position: int
    clock_seconds: float


class Keep(msgspec.Struct, tag=11):
    """Requests that a turn be kept; the reply follows once it is on disk."""

    kept: KeptTurn


class Fetch(msgspec.Struct, tag=12):
    """Requests a turn and all turns that it continues.

    Attributes:
        turn: Id of the turn.
        max_bytes: Maximum size of their texts; 0, from an earlier version, for
            any size.
    """

    turn: str
    max_bytes: int = 0


class Chain(msgspec.Struct, tag=13):
    """The turns that were found, newest first.

    Attributes:
        turns: Turns, each of which continues the next one.
        missing: Id of the next turn of the chain, which is not held here, or
            empty if the chain is complete.
        whole: Whether this instance has recovered and would have the missing
            turn if it should keep it.
        unlisted: Storage instances that were known recently and are not
            registered any more. They may hold the missing turn.
        next_bytes: Size of the text of the missing turn if it is held here and
            did not fit into the reply, or 0.
    """

    turns: list[KeptTurn]
    missing: str
    whole: bool = False
    unlisted: list[str] = []
    next_bytes: int = 0


class Follow(msgspec.Struct, tag=14):
    """Requests the entries of the change log after a position.

    Attributes:
        asker: Name of the requesting storage instance. From then on the
            receiver requires its consent when it opens an account.
        run: Run id of the receiver for which the position holds.
        after: Position up to which the requester has everything.
        asker_run: Run id of the requester.
        predecessors: Instances whose accounts the requester holds for them.
    """

    asker: str
    run: str
    after: int
    asker_run: str = ""
    predecessors: list[str] = []


class AccountRef(msgspec.Struct, frozen=True, array_like=True):
    """Version of an account at one holder.

    Attributes:
        program: Program id.
        digest: Digest of the uses; holders with equal digests know the same.
        limit: Total tokens that the holders may grant.
    """

    program: str
    digest: int
    limit: int


class News(msgspec.Struct, tag=15):
    """Entries of the change log after the requested position.

    Attributes:
        run: Run id of the process; positions start over with each run.
        position: Position from which to continue.
        turns: Turns kept.
        homes: Homes recorded.
        accounts: Accounts of which the requester is a holder. It may have
            missed reservations, and may be the last one to store them.
        whole: Whether the instance has recovered all data that it should have.
        more: Whether further entries are available at once.
        revision: As in ``Pong``.
        is_counted: Whether the requester is listed here.
        absent: Other instances that were known recently and may have data that
            the requester has lost. Empty if the requester is new and so had no
            data.
        is_first_run: Whether the requester was never seen before its current
            run, so that its disk held nothing before.
        may_have_lost_share: Whether the instance may have granted tokens alone
            on a disk that was lost since.
        alone_after_seconds: After how many seconds it may grant tokens alone.
        has_begun: Whether it has begun programs alone that may still go on.
        uses: What turns kept there have used of accounts that are not held
            there. The requester may hold them.
        successors: Successors of decommissioned instances, by name.
        one_turn: Instances that grant at most one turn alone, as in
            ``Members.one_turn``.
        has_lost_nothing: Whether the requester, which lost its disk, can't have
            granted tokens alone on it but for ``lost_grants``.
        lost_grants: What it had granted alone on that disk.
        grants: What this instance has granted alone to programs in these
            entries that it began and that may still go on.
        held_off_seconds: For how long it begins no programs alone.
        is_closed: Whether it begins none any more, as another instance holds
            its accounts.
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
    is_first_run: bool = False
    may_have_lost_share: bool = False
    alone_after_seconds: float = 0.0
    has_begun: bool = False
    uses: list[TurnUse] = []
    successors: dict[str, str] = {}
    one_turn: list[str] = []
    has_lost_nothing: bool = False
    lost_grants: list[Grant] = []
    grants: list[Grant] = []
    held_off_seconds: float = 0.0
    is_closed: bool = False


class FetchAccounts(msgspec.Struct, tag=40):
    """Requests the accounts of programs."""

    programs: list[str]


class Accounts(msgspec.Struct, tag=41):
    """The requested accounts that are held here."""

    accounts: list[Account]


class FetchTurns(msgspec.Struct, tag=16):
    """Requests turns by id."""

    turns: list[str]


class Turns(msgspec.Struct, tag=17):
    """The requested turns that are held here.

    Attributes:
        turns: The turns.
        has_more: Whether the texts of others did not fit into the reply.
    """

    turns: list[KeptTurn]
    has_more: bool = False


class Lacking(msgspec.Struct, tag=19):
    """Requests which of these turns are not held; also the reply to that."""

    turns: list[str]


class TakeRate(msgspec.Struct, tag=42):
    """Requests tokens of a workspace's rate; the reply is ``RateGranted``.

    Attributes:
        workspace: Name of the workspace.
        per_second: Its rate limit.
        burst: Requests that may exceed the rate limit at once.
        version: Version of the configuration that sets the limit.
        begun: Requests that wait and do not begin a program.
        new: Requests that wait and begin a program.
        spare: Further tokens wanted for requests to come.
        is_forwarded: Whether another storage instance forwards it.
    """

    workspace: str
    per_second: float
    burst: float
    version: int
    begun: int = 0
    new: int = 0
    spare: int = 0
    is_forwarded: bool = False


class RateGranted(msgspec.Struct, tag=43):
    """Tokens lent for a while.

    Attributes:
        begun: Tokens for requests of programs that have begun.
        new: Tokens for requests that begin a program.
        spare: Further tokens.
        seconds: How long the tokens may be used.
        begun_wait_seconds: When a further request of a program that has begun
            may get a token.
        new_wait_seconds: When a further program may begin.
    """

    begun: int
    new: int
    spare: int
    seconds: float
    begun_wait_seconds: float
    new_wait_seconds: float


class StoreList(msgspec.Struct, tag=20):
    """Requests all keys under a prefix of the platform store."""

    prefix: str


class StoreWatch(msgspec.Struct, tag=21):
    """Watches prefixes of the platform store.

    The reply follows once one of the prefixes has changed, or on a timeout.

    Attributes:
        prefix: Prefix to watch.
        after: Revision up to which its changes are known.
        seconds: Timeout.
        others: Revisions of further prefixes to watch, by prefix.
    """

    prefix: str
    after: int
    seconds: float
    others: dict[str, int] = {}


class StoreItem(msgspec.Struct):
    """A key of the platform store.

    Attributes:
        key: Key.
        value: Value, or None if the key was removed.
        revision: Revision of the entry.
    """

    key: str
    value: bytes | None
    revision: int


class StoreItems(msgspec.Struct, tag=22):
    """Keys or changes of the platform store.

    Attributes:
        items: Keys, or changes of keys.
        revision: Revision of the store.
        waits: Revision at which keys were missing that are still listed, as
            they may return soon; 0 if there are none.
        others: Results for the further requested prefixes, except those whose
            state is unknown.
        lead: Seconds from the arrival of the request to the time before which
            no change is missing, usually negative; None if that is unknown.
    """

    items: list[StoreItem]
    revision: int
    waits: int = 0
    others: dict[str, "StoreItems"] = {}
    lead: float | None = None


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
    | Succeed
    | Succeeded
    | Lacking
    | StoreList
    | StoreWatch
    | StoreItems
    | Outdated
    | Ping
    | Pong
    | Crashed
    | TakeRate
    | RateGranted
    | ReportLoads
    | SharedLoads
)


def codec() -> Codec:
    """Returns the codec of all messages of this module."""
    return Codec(_UNION)


_UNION: Any = Message
