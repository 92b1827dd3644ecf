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
# With fewer members, all but one may be nobody else.
_LEAST_ROSTER = 3


class Consent(msgspec.Struct, frozen=True):
    """The account may be opened here."""


class Next(enum.Enum):
    """What follows from the consents that were given."""

    OPEN = enum.auto()
    ASK_STORE = enum.auto()
    GIVE_UP = enum.auto()


def judge(roster: int, agreed: int) -> Next:
    """Decides what consents are enough for.

    Args:
        roster: Storage instances there may be, the asker included.
        agreed: Others that agreed.
    """
    consents = agreed + 1
    if roster >= _LEAST_ROSTER and consents >= roster - 1:
        return Next.OPEN
    if agreed or roster == 1:
        return Next.ASK_STORE
    return Next.GIVE_UP


async def may_open(
    program: str, ledger: Ledger, members: Members, kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    """Finds out whether the account of a program may be opened here."""
    if members.store_silence() > ROSTER_SECONDS / 2:
        return Unsure("cut off for too long to know all others")
    roster = members.roster() | {ledger.name}
    replies = await _ask_others(program, ledger.name, members, roster)
    newer = [set(r.roster) for r in replies if isinstance(r, Outdated)]
    if newer:
        unknown = set().union(*newer) - roster
        members.seen.update(dict.fromkeys(unknown, wall_seconds()))
        roster |= unknown
        replies = await _ask_others(program, ledger.name, members, roster)
    refused = [reply for reply in replies if isinstance(reply, Refused)]
    if refused:
        return _refused(program, refused, ledger)
    agreed = sum(isinstance(reply, Agreed) for reply in replies)
    match judge(len(roster), agreed):
        case Next.OPEN:
            return Consent()
        case Next.ASK_STORE:
            return await _ask_store(program, ledger.name, kv)
    return Unsure("cut off from all other storage instances")


async def _ask_others(
    program: str, name: str, members: Members, roster: set[str]
) -> list[Agreed | Refused | Outdated | Unsure | None]:
    """Asks all others that are not known to be silent."""
    ask = Agree(program, name, sorted(roster))
    links = [
        members.link(member)
        for member in members.known.values()
        if member.name != name
    ]
    return await asyncio.gather(
        *(
            link.ask(ask, _CONSENT_SECONDS)
            for link in links
            if not link.failures
        )
    )


def _refused(
    program: str, refused: list[Refused], ledger: Ledger
) -> Elsewhere | Unsure:
    for reply in refused:
        if reply.keeper:
            ledger.learn(Home(program, reply.keeper))
            return Elsewhere(reply.keeper)
    return Unsure("another instance is opening the account")


async def _ask_store(
    program: str, name: str, kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    try:
        async with asyncio.timeout(_STORE_SECONDS):
            return await _claim(program, name, kv)
    except TimeoutError:
        return Unsure("the store does not answer in time")


async def _claim(
    program: str, name: str, kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    key = HOME_PREFIX + program
    outcome = await kv.write(key, name.encode(), 0)
    if isinstance(outcome, Unavailable | Conflict):
        # Without an answer it may have taken effect all the same.
        outcome = await kv.read(key)
    match outcome:
        case Written():
            log_event("home_by_store", program=program)
            return Consent()
        case Found(entry=entry):
            keeper = entry.value.decode(errors="replace")
            return Consent() if keeper == name else Elsewhere(keeper)
    return Unsure("too few storage instances agreed, and no store")
