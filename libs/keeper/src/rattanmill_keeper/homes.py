"""Opens accounts: finds out that no other storage instance has.

An account is opened with the consent of all storage instances but one, or of
the platform's store and one other. Two sets of all but one share a member, and
so do all but one, and any two. Whoever agreed once refuses others, so two
instances cannot both open an account. Whoever is cut off alone opens none.

One whose registration is gone for long is left out of all, and may have opened
accounts before, with the store and one other that is out of reach now. All but
one of the rest are enough only if each of them has read in the store, since
then, what was opened with it, and was itself counted all the while or has heard
what was opened meanwhile. So is the store and one other, since the two may be
those that others leave out.

Two that open one account at once may divide the others between them. Then the
store decides, and what it says takes the place of what was agreed to, provided
that no holder has the account open.
"""

import asyncio
import enum
from collections.abc import Callable

import msgspec

from rattanmill_core import boot_seconds, log_event, wall_seconds
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.members import (
    CONFIRMED_SECONDS,
    PRESENT_SECONDS,
    ROSTER_SECONDS,
    Members,
)
from rattanmill_keeper.messages import (
    Agree,
    Agreed,
    CutOff,
    Elsewhere,
    Home,
    Outdated,
    Refused,
    Unsure,
)
from rattanmill_platform import (
    Conflict,
    Found,
    KeyValue,
    Range,
    Unavailable,
    Written,
)

HOME_PREFIX = "rattanmill/homes/"
# A consent takes a trip and a sync, a few milliseconds. A member that does not
# answer so long counts as silent.
_CONSENT_SECONDS = 0.15
# A caller's front waits little longer; a slow store answers in 0.2 s.
_STORE_SECONDS = 0.3
# Half of what a lease lasts at least after one that was asked was confirmed.
_CLAIM_SECONDS = 1.0
_LIST_SECONDS = 2.0
# With two members, all but one would be each for itself.
_LEAST_CONSENTS = 2
# Of so many that agreed, one that others leave out leaves two, and all but one
# of the rest are never without both.
_ENOUGH_CONSENTS = 3
# Among so many, any two that agree share a member with any other two.
_FEW = 3


class Consent(msgspec.Struct, frozen=True):
    """The account may be opened here.

    Attributes:
        missing: Storage instances that did not agree. At most one of them may
            have granted tokens alone: others only do with three in all.
        having: Those that agreed and may have granted tokens alone.
        without: Storage instances that were left out.
    """

    missing: frozenset[str] = frozenset()
    having: frozenset[str] = frozenset()
    without: frozenset[str] = frozenset()


class Contested(msgspec.Struct, frozen=True):
    """The store must decide, and may: nobody gets all others' consent.

    Attributes:
        consent: Who agreed; with it the account is opened if the store says so.
        is_divided: Whether some agreed to other holders.
        until: By when the store must have decided, in seconds of the clock
            that goes on while the machine is suspended. Later some who agreed
            may have been left out by others.
    """

    consent: Consent
    is_divided: bool
    until: float = float("inf")


class Vote(msgspec.Struct, frozen=True):
    """Who agreed, and what else is known of the account.

    Attributes:
        program: The program.
        asker: Who asked the others.
        roster: Storage instances that count.
        without: Storage instances that were left out.
        replies: Of those that were asked.
        standings: Of all that agreed, the asker included; see
            ``Keeper.standing``.
        others: Other holders that those who agreed have heard of.
    """

    program: str
    asker: str
    roster: frozenset[str]
    without: frozenset[str]
    replies: dict[str, Agreed | Refused | Outdated | Unsure | None]
    standings: list[float]
    others: list[tuple[str, ...]]

    @property
    def refused(self) -> list[Refused]:
        """Those that have agreed to other holders."""
        return [r for r in self.replies.values() if isinstance(r, Refused)]

    @property
    def is_sound(self) -> bool:
        """Whether consents without the store suffice if they are many enough.

        Those that were left out may have opened the account. All the rest
        share a member with any two; of all but one, none may have been left
        out in turn.
        """
        if not self.without or len(self.standings) == len(self.roster):
            return True
        return not self.others and max(self.standings) < PRESENT_SECONDS

    @property
    def is_many(self) -> bool:
        """Whether others that leave one of them out must ask another one."""
        return (
            len(self.standings) >= _ENOUGH_CONSENTS
            or len(self.roster | self.without) <= _FEW
        )

    @property
    def is_present(self) -> bool:
        """Whether nobody can have left out one of them yet."""
        return max(self.standings) < CONFIRMED_SECONDS


class Next(enum.Enum):
    """What follows from the consents that were given."""

    OPEN = enum.auto()
    ASK_STORE = enum.auto()
    GIVE_UP = enum.auto()


def judge(roster: int, agreed: int, refused: int, lost_disks: int) -> Next:
    """Decides what consents are enough for.

    Args:
        roster: Storage instances there may be, the asker included.
        agreed: Others that agreed.
        refused: Others that agreed to other holders.
        lost_disks: Disks that may be lost at once. Who opens an account with
            the store must not be the only one to know when they are.
    """
    consents = agreed + 1
    if not refused and consents >= max(_LEAST_CONSENTS, roster - 1):
        return Next.OPEN
    if agreed >= min(max(lost_disks, 1), roster - 1):
        return Next.ASK_STORE
    return Next.GIVE_UP


async def may_open(
    program: str,
    holders: tuple[str, ...],
    ledger: Ledger,
    members: Members,
    standing: Callable[[], float],
) -> Consent | Contested | Elsewhere | Unsure | CutOff:
    """Finds out whether a program's account may be opened at these holders.

    Args:
        program: The program.
        holders: Who is to hold it.
        ledger: What this instance knows.
        members: The storage instances.
        standing: As in ``Keeper``.
    """
    began = boot_seconds()
    if members.store_silence() > ROSTER_SECONDS / 2:
        return Unsure("cut off for too long to know all others")
    roster = members.roster() | {ledger.name}
    ask = Agree(program, ledger.name, holders, sorted(roster))
    replies = await _ask_others(ask, members)
    newer = [r for r in replies.values() if isinstance(r, Outdated)]
    if newer:
        unknown = set().union(*(r.roster for r in newer)) - roster
        members.seen.update(dict.fromkeys(unknown, wall_seconds()))
        roster |= unknown
        ask = msgspec.structs.replace(ask, roster=sorted(roster))
        replies = await _ask_others(ask, members)
    vote = _count(ask, replies, ledger, members, standing())
    if not all(reply.holders for reply in vote.refused):
        return Unsure("another instance is opening the account")
    consent = _consent(replies, ask, ledger, vote.without)
    verdict = _verdict(vote, members.lost_disks)
    if verdict is Next.OPEN:
        return consent
    if verdict is Next.ASK_STORE:
        until = float("inf") if vote.is_many else began + _CLAIM_SECONDS
        return Contested(consent, bool(vote.refused), until)
    return _give_up(vote, ledger)


def _count(
    ask: Agree,
    replies: dict[str, Agreed | Refused | Outdated | Unsure | None],
    ledger: Ledger,
    members: Members,
    standing: float,
) -> Vote:
    roster = frozenset(ask.roster)
    agreed = [
        reply
        for name, reply in replies.items()
        if isinstance(reply, Agreed) and name in roster
    ]
    without = members.left_out().union(*(each.left_out for each in agreed))
    others = ledger.others.get(ask.program, set()).union(
        *(each.others for each in agreed)
    )
    return Vote(
        ask.program,
        ask.keeper,
        roster,
        frozenset(without - roster),
        replies,
        [standing, *(each.standing for each in agreed)],
        sorted(others - {ask.holders}),
    )


def _verdict(vote: Vote, lost_disks: int) -> Next:
    agreed = len(vote.standings) - 1
    against = len(vote.refused) + (not vote.is_sound)
    verdict = judge(len(vote.roster), agreed, against, lost_disks)
    if verdict is not Next.ASK_STORE:
        return verdict
    is_enough = vote.is_many or vote.is_present
    may_ask = is_enough and _are_closed(vote)
    return Next.ASK_STORE if may_ask else Next.GIVE_UP


def _give_up(vote: Vote, ledger: Ledger) -> Elsewhere | Unsure | CutOff:
    refused = sorted(vote.refused, key=lambda reply: not reply.is_open)
    if refused:
        ledger.learn(Home(vote.program, refused[0].holders))
        return Elsewhere(refused[0].holders)
    if len(vote.standings) == 1:
        return CutOff()
    if vote.others:
        return Elsewhere(vote.others[0])
    if vote.without or not (vote.is_many or vote.is_present):
        return Unsure("others may have opened it with one that was left out")
    return CutOff()


def _are_closed(vote: Vote) -> bool:
    """Whether all who may have opened the account elsewhere say they have not.

    That too few can have agreed there is no proof: who opened it may have
    known of fewer storage instances.
    """
    answered = {
        name
        for name, reply in vote.replies.items()
        if isinstance(reply, Agreed | Refused)
    }
    answered.add(vote.asker)
    elsewhere = [reply.holders for reply in vote.refused]
    if not vote.is_many:
        elsewhere += vote.others
    is_open = any(reply.is_open for reply in vote.refused)
    return not is_open and all(map(answered.issuperset, elsewhere))


async def decide(
    home: Home,
    contested: Contested,
    ledger: Ledger,
    members: Members,
    kv: KeyValue,
) -> Consent | Elsewhere | Unsure:
    """Lets the store decide where an account is, and tells the others.

    It takes the first holders that it is told. Whoever asks must have agreed
    to them itself, on disk: with the others that did, it keeps any other
    opener from the consent of all but one.
    """
    found = await _ask_store(home.program, home.holders, kv)
    if isinstance(found, Unsure):
        return found
    if boot_seconds() > contested.until:
        return Unsure("the store has decided too late")
    if isinstance(found, Elsewhere):
        home = Home(home.program, found.holders)
    elif not contested.is_divided:
        return contested.consent
    roster = sorted(members.roster() | {ledger.name})
    ask = Agree(home.program, ledger.name, home.holders, roster, True)
    replies = await _ask_others(ask, members)
    log_event("home_decided", program=home.program, holders=home.holders)
    for reply in replies.values():
        if isinstance(reply, Refused) and reply.is_open:
            # Opened just before it heard; nothing was at the store's holders.
            await _correct(home, reply.holders, kv)
            return Elsewhere(reply.holders)
    return _consent(replies, ask, ledger) if found is None else found


async def _correct(home: Home, holders: tuple[str, ...], kv: KeyValue) -> None:
    """Lets the store say where an account was opened without it."""
    key = HOME_PREFIX + home.program
    found = await kv.read(key)
    if not isinstance(found, Found):
        return
    outcome = await kv.write(
        key, msgspec.json.encode(holders), found.entry.revision
    )
    log_event(
        "home_corrected",
        program=home.program,
        holders=holders,
        outcome=type(outcome).__name__,
    )


def _consent(
    replies: dict,
    ask: Agree,
    ledger: Ledger,
    without: frozenset[str] = frozenset(),
) -> Consent:
    """Returns who agreed and who did not."""
    agreed = {n: r for n, r in replies.items() if isinstance(r, Agreed)}
    missing = set(ask.roster) - set(agreed) - {ledger.name}
    having = {name for name, reply in agreed.items() if reply.has_share}
    if ask.program in ledger.shares:
        having.add(ledger.name)
    return Consent(frozenset(missing), frozenset(having), without)


async def _ask_others(
    ask: Agree, members: Members
) -> dict[str, Agreed | Refused | Outdated | Unsure | None]:
    """Asks all others that are not known to be silent; replies by name."""
    links = {
        member.name: members.link(member)
        for member in members.known.values()
        if member.name != ask.keeper
    }
    there = {name: link for name, link in links.items() if not link.failures}
    replies = await asyncio.gather(
        *(link.ask(ask, _CONSENT_SECONDS) for link in there.values())
    )
    return dict(zip(there, replies, strict=True))


async def list_decided(kv: KeyValue) -> list[Home] | None:
    """Returns what was opened with the store; None if it does not answer."""
    try:
        async with asyncio.timeout(_LIST_SECONDS):
            listed = await kv.list(HOME_PREFIX)
    except TimeoutError:
        return None
    if not isinstance(listed, Range):
        return None
    return [
        Home(
            entry.key.removeprefix(HOME_PREFIX),
            msgspec.json.decode(entry.value, type=tuple[str, ...]),
        )
        for entry in listed.entries
    ]


async def _ask_store(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Elsewhere | Unsure | None:
    """Tells the store; None if it has these holders now."""
    try:
        async with asyncio.timeout(_STORE_SECONDS):
            return await _claim(program, holders, kv)
    except TimeoutError:
        return Unsure("the store does not answer in time")


async def _claim(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Elsewhere | Unsure | None:
    key = HOME_PREFIX + program
    outcome = await kv.write(key, msgspec.json.encode(holders), 0)
    if isinstance(outcome, Unavailable | Conflict):
        # Without an answer it may have taken effect all the same.
        outcome = await kv.read(key)
    match outcome:
        case Written():
            log_event("home_by_store", program=program)
            return None
        case Found(entry=entry):
            known = msgspec.json.decode(entry.value, type=tuple[str, ...])
            return None if known == holders else Elsewhere(known)
    return Unsure("too few storage instances agreed, and no store")
