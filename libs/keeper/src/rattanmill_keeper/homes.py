"""Opens accounts: finds out that no other storage instance has.

An account is opened with the consent of all storage instances but one, or of
the platform's store and one other. Two sets of all but one always share a
member, also if one of them counts members that the other does not know of
yet; and so do all but one, and any two. Whoever agreed once refuses others,
so two instances cannot both open an account. Whoever is cut off alone opens
none.
"""

import asyncio
import enum

import msgspec

from rattanmill_core import log_event, wall_seconds
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.members import ROSTER_SECONDS, Members
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
from rattanmill_platform import Conflict, Found, KeyValue, Unavailable, Written

HOME_PREFIX = "rattanmill/homes/"
# A consent takes a trip and a sync, a few milliseconds. A member that does not
# answer so long counts as silent.
_CONSENT_SECONDS = 0.15
# A caller's front waits little longer; a slow store answers in 0.2 s.
_STORE_SECONDS = 0.3
# With two members, all but one would be each for itself.
_LEAST_CONSENTS = 2


class Consent(msgspec.Struct, frozen=True):
    """The account may be opened here.

    Attributes:
        missing: Storage instances that did not agree. At most one of them may
            have granted tokens alone: others only do with three in all.
        having: Those that agreed and may have granted tokens alone.
    """

    missing: frozenset[str] = frozenset()
    having: frozenset[str] = frozenset()


class Next(enum.Enum):
    """What follows from the consents that were given."""

    OPEN = enum.auto()
    ASK_STORE = enum.auto()
    GIVE_UP = enum.auto()


def judge(roster: int, agreed: int, lost_disks: int) -> Next:
    """Decides what consents are enough for.

    Args:
        roster: Storage instances there may be, the asker included.
        agreed: Others that agreed.
        lost_disks: Disks that may be lost at once. Who opens an account with
            the store must not be the only one to know when they are.
    """
    consents = agreed + 1
    if consents >= max(_LEAST_CONSENTS, roster - 1):
        return Next.OPEN
    if agreed >= min(lost_disks, roster - 1):
        return Next.ASK_STORE
    return Next.GIVE_UP


async def may_open(
    program: str,
    holders: tuple[str, ...],
    ledger: Ledger,
    members: Members,
    kv: KeyValue,
) -> Consent | Elsewhere | Unsure | CutOff:
    """Finds out whether a program's account may be opened at these holders.

    Args:
        program: The program.
        holders: Who is to hold it.
        ledger: What this instance knows.
        members: The storage instances.
        kv: The platform's store.
    """
    if members.store_silence() > ROSTER_SECONDS / 2:
        return Unsure("cut off for too long to know all others")
    roster = members.roster() | {ledger.name}
    replies = await _ask_others(program, holders, ledger.name, members, roster)
    newer = [r for r in replies.values() if isinstance(r, Outdated)]
    if newer:
        unknown = set().union(*(r.roster for r in newer)) - roster
        members.seen.update(dict.fromkeys(unknown, wall_seconds()))
        roster |= unknown
        replies = await _ask_others(
            program, holders, ledger.name, members, roster
        )
    refused = [r for r in replies.values() if isinstance(r, Refused)]
    if refused:
        return _refused(program, refused, ledger)
    agreed = {n: r for n, r in replies.items() if isinstance(r, Agreed)}
    missing = roster - set(agreed) - {ledger.name}
    having = {name for name, reply in agreed.items() if reply.has_share}
    if program in ledger.shares:
        having.add(ledger.name)
    consent = Consent(frozenset(missing), frozenset(having))
    match judge(len(roster), len(agreed), members.lost_disks):
        case Next.OPEN:
            return consent
        case Next.ASK_STORE:
            found = await _ask_store(program, holders, kv)
            return consent if isinstance(found, Consent) else found
    return CutOff()


async def _ask_others(
    program: str,
    holders: tuple[str, ...],
    name: str,
    members: Members,
    roster: set[str],
) -> dict[str, Agreed | Refused | Outdated | Unsure | None]:
    """Asks all others that are not known to be silent; replies by name."""
    ask = Agree(program, name, holders, sorted(roster))
    links = {
        member.name: members.link(member)
        for member in members.known.values()
        if member.name != name
    }
    there = {name: link for name, link in links.items() if not link.failures}
    replies = await asyncio.gather(
        *(link.ask(ask, _CONSENT_SECONDS) for link in there.values())
    )
    return dict(zip(there, replies, strict=True))


def _refused(
    program: str, refused: list[Refused], ledger: Ledger
) -> Elsewhere | Unsure:
    for reply in refused:
        if reply.holders:
            ledger.learn(Home(program, reply.holders))
            return Elsewhere(reply.holders)
    return Unsure("another instance is opening the account")


async def _ask_store(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    try:
        async with asyncio.timeout(_STORE_SECONDS):
            return await _claim(program, holders, kv)
    except TimeoutError:
        return Unsure("the store does not answer in time")


async def _claim(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    key = HOME_PREFIX + program
    outcome = await kv.write(key, msgspec.json.encode(holders), 0)
    if isinstance(outcome, Unavailable | Conflict):
        # Without an answer it may have taken effect all the same.
        outcome = await kv.read(key)
    match outcome:
        case Written():
            log_event("home_by_store", program=program)
            return Consent()
        case Found(entry=entry):
            known = msgspec.json.decode(entry.value, type=tuple[str, ...])
            return Consent() if known == holders else Elsewhere(known)
    return Unsure("too few storage instances agreed, and no store")
