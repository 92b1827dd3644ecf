"""Opens accounts: finds out that no other storage instance has.

An account is opened with the consent of all storage instances but one, or of
the platform's store and one other. Two sets of all but one share a member, and
so do all but one, and any two. Whoever agreed once refuses others, so two
instances cannot both open an account. Whoever is cut off alone opens none.

Two that open one account at once may divide the others between them. Then the
store decides, and what it says takes the place of what was agreed to, provided
that no holder has the account open.
"""

import asyncio
import enum

import msgspec

from rattanmill_core import log_event, wall_seconds
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.members import ROSTER_EXPIRY_SECONDS, Members
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
    with_share: frozenset[str] = frozenset()


class NeedsArbitration(msgspec.Struct, frozen=True):
    """The store must decide, and may: nobody gets all others' consent.

    Attributes:
        consent: Who agreed; with it the account is opened if the store says so.
        is_divided: Whether some agreed to other holders.
    """

    consent: Consent
    is_divided: bool


class OpenDecision(enum.Enum):
    """What follows from the consents that were given."""

    OPEN = enum.auto()
    ASK_STORE = enum.auto()
    GIVE_UP = enum.auto()


def evaluate_consents(
    roster: int, agreed: int, refused: int, lost_disks: int
) -> OpenDecision:
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
        return OpenDecision.OPEN
    if agreed >= min(max(lost_disks, 1), roster - 1):
        return OpenDecision.ASK_STORE
    return OpenDecision.GIVE_UP


async def request_consent(
    program: str,
    holders: tuple[str, ...],
    ledger: Ledger,
    members: Members,
) -> Consent | NeedsArbitration | Elsewhere | Unsure | CutOff:
    """Finds out whether a program's account may be opened at these holders.

    Args:
        program: The program.
        holders: Who is to hold it.
        ledger: What this instance knows.
        members: The storage instances.
    """
    if members.store_silence_seconds() > ROSTER_EXPIRY_SECONDS / 2:
        return Unsure("cut off for too long to know all others")
    roster = members.roster() | {ledger.name}
    ask = Agree(program, ledger.name, holders, sorted(roster))
    replies = await _ask_others(ask, members)
    newer = [r for r in replies.values() if isinstance(r, Outdated)]
    if newer:
        unknown = set().union(*(r.roster for r in newer)) - roster
        members.last_seen.update(dict.fromkeys(unknown, wall_seconds()))
        roster |= unknown
        ask = msgspec.structs.replace(ask, roster=sorted(roster))
        replies = await _ask_others(ask, members)
    refused = [r for r in replies.values() if isinstance(r, Refused)]
    if not all(reply.holders for reply in refused):
        return Unsure("another instance is opening the account")
    consent = _consent(replies, ask, ledger)
    agreed = len(roster - consent.missing) - 1
    verdict = evaluate_consents(
        len(roster), agreed, len(refused), members.tolerated_disk_losses
    )
    if verdict is OpenDecision.OPEN:
        return consent
    if verdict is OpenDecision.ASK_STORE and _are_closed(
        refused, replies, ledger
    ):
        return NeedsArbitration(consent, bool(refused))
    if not refused:
        return CutOff()
    refused.sort(key=lambda reply: not reply.is_open)
    ledger.add_home(Home(program, refused[0].holders))
    return Elsewhere(refused[0].holders)


def _are_closed(refused: list[Refused], replies: dict, ledger: Ledger) -> bool:
    """Whether all who may have opened the account elsewhere say they have not.

    That too few can have agreed there is no proof: who opened it may have
    known of fewer storage instances.
    """
    answered = {
        name
        for name, reply in replies.items()
        if isinstance(reply, Agreed | Refused)
    }
    answered.add(ledger.name)
    return all(
        not reply.is_open and answered.issuperset(reply.holders)
        for reply in refused
    )


async def arbitrate(
    home: Home,
    contested: NeedsArbitration,
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


def _consent(replies: dict, ask: Agree, ledger: Ledger) -> Consent:
    """Returns who agreed and who did not."""
    agreed = {n: r for n, r in replies.items() if isinstance(r, Agreed)}
    missing = set(ask.roster) - set(agreed) - {ledger.name}
    having = {name for name, reply in agreed.items() if reply.has_share}
    if ask.program in ledger.shares:
        having.add(ledger.name)
    return Consent(frozenset(missing), frozenset(having))


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
