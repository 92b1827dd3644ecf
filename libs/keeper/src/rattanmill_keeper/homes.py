"""Agreement on the holders of an account before it is opened.

Opening an account takes the consent of all storage instances but one, or of
the platform store and one other instance. Two sets of all but one instance
share a member, and so do a set of all but one and any pair. An instance that
has consented refuses all other holders, so two instances can't both open an
account. An instance that is partitioned from all others opens none.

If two instances open an account at once, each may get the consent of some of
the others. Then the store decides, and its decision replaces what was agreed
to, unless a holder has already opened the account.
"""

import asyncio
import enum

import msgspec

from rattanmill_core import DECODE_ERRORS, log_event, wall_seconds, warn_event
from rattanmill_keeper.isolation import Loss, merge_losses
from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.members import ROSTER_EXPIRY_SECONDS, Members
from rattanmill_keeper.messages import (
    MAX_SHARERS,
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
# A consent takes a round trip and a sync, a few milliseconds. A member that
# takes longer than this counts as unresponsive.
_CONSENT_TIMEOUT_SECONDS = 0.15
# The front end waits little longer; a slow store replies in 0.2 s.
_STORE_TIMEOUT_SECONDS = 0.3
# With two members, all but one would be a single instance.
_MIN_CONSENTS = 2


class Consent(msgspec.Struct, frozen=True):
    """The account may be opened here.

    Attributes:
        missing: Storage instances that did not consent.
        with_share: Instances that consented and may have granted tokens alone.
        unseen: Other instances that may have granted tokens alone although
            nothing shows it: their registration expired or their disk was lost.
        max_beginners: How many of those that did not consent may have granted
            tokens alone, as instances only do so in small systems.
        losses: As in ``Members.losses``, by all who consented.
        unable: Those that can't have granted alone, as anyone knows who
            consented.
        one_turn: Those that granted at most one turn alone, if anything.
    """

    missing: frozenset[str] = frozenset()
    with_share: frozenset[str] = frozenset()
    unseen: frozenset[str] = frozenset()
    max_beginners: int = MAX_SHARERS
    losses: dict[str, Loss] = {}
    unable: frozenset[str] = frozenset()
    one_turn: frozenset[str] = frozenset()


class NeedsArbitration(msgspec.Struct, frozen=True):
    """The platform store must decide, and no instance can win without it.

    Attributes:
        consent: The consents so far, with which the account is opened if the
            store confirms the holders.
        is_divided: Whether some instances agreed to other holders.
    """

    consent: Consent
    is_divided: bool


class OpenDecision(enum.Enum):
    """Next step after the consents were collected."""

    OPEN = enum.auto()
    ASK_STORE = enum.auto()
    GIVE_UP = enum.auto()


def evaluate_consents(
    roster: int, agreed: int, refused: int, lost_disks: int
) -> OpenDecision:
    """Decides on the next step.

    Args:
        roster: Number of storage instances that may exist, including this one.
        agreed: Number of other instances that consented.
        refused: Number of other instances that agreed to other holders.
        lost_disks: Number of disks that may be lost at once. If an account is
            opened with the store, more instances than these must know of it.
    """
    consents = agreed + 1
    if not refused and consents >= max(_MIN_CONSENTS, roster - 1):
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
    """Requests the others' consent to open an account at these holders.

    Args:
        program: Program id.
        holders: Proposed holders of the account.
        ledger: The ledger of this instance.
        members: The storage instances.
    """
    if members.store_silence_seconds() > ROSTER_EXPIRY_SECONDS / 2:
        return Unsure("cut off for too long to know all storage instances")
    roster = members.roster() | {ledger.name}
    request = Agree(program, ledger.name, holders, sorted(roster))
    replies = await _ask_others(request, members)
    outdated = [r for r in replies.values() if isinstance(r, Outdated)]
    if outdated:
        unknown = set().union(*(r.roster for r in outdated)) - roster
        members.last_seen.update(dict.fromkeys(unknown, wall_seconds()))
        roster |= unknown
        request = msgspec.structs.replace(request, roster=sorted(roster))
        replies = await _ask_others(request, members)
    refused = [r for r in replies.values() if isinstance(r, Refused)]
    if not all(reply.holders for reply in refused):
        return Unsure("another storage instance is opening the account")
    consent = _consent(replies, request, ledger, members)
    members.learn_losses(consent.losses)
    agreed = len(roster - consent.missing) - 1
    decision = evaluate_consents(
        len(roster), agreed, len(refused), members.tolerated_disk_losses
    )
    if decision is OpenDecision.OPEN:
        return consent
    if decision is OpenDecision.ASK_STORE and _is_open_nowhere(
        refused, replies, ledger, members
    ):
        return NeedsArbitration(consent, bool(refused))
    if not refused:
        return CutOff()
    refused.sort(key=lambda reply: not reply.is_open)
    ledger.add_home(Home(program, refused[0].holders))
    return Elsewhere(refused[0].holders)


def _is_open_nowhere(
    refused: list[Refused], replies: dict, ledger: Ledger, members: Members
) -> bool:
    """Whether no other holders can have opened the account.

    All other holders must have replied that they have not. That too few
    instances can have consented to them is no proof, as the instance that
    opened the account may have known fewer storage instances.
    """
    answered = {
        name
        for name, reply in replies.items()
        if isinstance(reply, Agreed | Refused)
    }
    answered.add(ledger.name)
    return all(
        not reply.is_open and answered.issuperset(members.owners(reply.holders))
        for reply in refused
    )


async def arbitrate(
    home: Home,
    contested: NeedsArbitration,
    ledger: Ledger,
    members: Members,
    kv: KeyValue,
) -> Consent | Elsewhere | Unsure:
    """Lets the store decide on the holders, and informs the others.

    The store keeps the first holders that are written to it. The requester
    must have its own consent to these holders on disk: along with the others
    that consented, it keeps any other instance from getting the consent of all
    but one.
    """
    found = await _ask_store(home.program, home.holders, kv)
    if isinstance(found, Unsure):
        return found
    if isinstance(found, Elsewhere):
        home = Home(home.program, found.holders)
    elif not contested.is_divided:
        return contested.consent
    roster = sorted(members.roster() | {ledger.name})
    request = Agree(home.program, ledger.name, home.holders, roster, True)
    replies = await _ask_others(request, members)
    log_event("home_decided", program=home.program, holders=home.holders)
    for reply in replies.values():
        if isinstance(reply, Refused) and reply.is_open:
            # It opened the account just before it received the decision, and
            # the holders in the store have recorded nothing.
            await _correct_store(home, reply.holders, kv)
            return Elsewhere(reply.holders)
    if found is not None:
        return found
    return _consent(replies, request, ledger, members)


async def _correct_store(
    home: Home, holders: tuple[str, ...], kv: KeyValue
) -> None:
    """Updates the store after an account was opened at other holders."""
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
    replies: dict, request: Agree, ledger: Ledger, members: Members
) -> Consent:
    """Returns the consents among the replies."""
    agreed = {n: r for n, r in replies.items() if isinstance(r, Agreed)}
    missing = set(request.roster) - set(agreed) - {ledger.name}
    having = {name for name, reply in agreed.items() if reply.has_share}
    if request.program in ledger.shares:
        having.add(ledger.name)
    having.update(
        ledger.predecessors_with_share(request.program),
        *(reply.predecessors_with_share for reply in agreed.values()),
        ledger.told.grantors(request.program),
        *(reply.grantors for reply in agreed.values()),
    )
    unseen = {name for name, reply in agreed.items() if reply.has_lost_share}
    if ledger.may_have_lost_share():
        unseen.add(ledger.name)
    unseen |= members.left_out_sharers()
    # Only a successor could tell what its predecessors had granted, unless
    # these are known to be unable, see ``Consent``.
    unseen.update(*map(members.predecessors, list(unseen)))
    return Consent(
        frozenset(missing),
        frozenset(having),
        frozenset(unseen - missing - having),
        max(
            [members.max_beginners()]
            + [reply.max_beginners for reply in agreed.values()]
        ),
        merge_losses(
            [members.losses(), *(reply.losses for reply in agreed.values())]
        ),
        frozenset(members.unable()).union(
            *(reply.unable for reply in agreed.values())
        ),
        _one_turn(agreed, request.program, ledger, members),
    )


def _one_turn(
    agreed: dict[str, Agreed], program: str, ledger: Ledger, members: Members
) -> frozenset[str]:
    """Returns who granted at most one turn alone, as far as it is certain.

    Of those that consented and have granted, what they granted counts. Of the
    others one instance at least must know it, and none may tell otherwise.
    """
    told = [members.one_turn(), *(reply.one_turn for reply in agreed.values())]
    known = set().union(*told)
    found = {n for n in known if all(each.get(n, True) for each in told)}
    has_one = {n: r.has_one_turn for n, r in agreed.items() if r.has_share}
    if program in ledger.shares:
        has_one[ledger.name] = ledger.has_one_turn(program)
    shown = {name for name, is_one in has_one.items() if is_one}
    return frozenset(found - has_one.keys() | shown)


async def _ask_others(
    request: Agree, members: Members
) -> dict[str, Agreed | Refused | Outdated | Unsure | None]:
    """Asks all others that are responsive; returns replies by name."""
    links = {
        member.name: members.link(member)
        for member in members.known.values()
        if member.name != request.keeper
    }
    responsive = {
        name: link for name, link in links.items() if not link.failures
    }
    replies = await asyncio.gather(
        *(
            link.ask(request, _CONSENT_TIMEOUT_SECONDS)
            for link in responsive.values()
        )
    )
    return dict(zip(responsive, replies, strict=True))


async def _ask_store(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Elsewhere | Unsure | None:
    """Writes the holders to the store; None if these are now recorded."""
    try:
        async with asyncio.timeout(_STORE_TIMEOUT_SECONDS):
            return await _record_in_store(program, holders, kv)
    except TimeoutError:
        return Unsure("the store did not reply in time")


async def _record_in_store(
    program: str, holders: tuple[str, ...], kv: KeyValue
) -> Elsewhere | Unsure | None:
    key = HOME_PREFIX + program
    outcome = await kv.write(key, msgspec.json.encode(holders), 0)
    if isinstance(outcome, Unavailable | Conflict):
        # A write without a reply may have taken effect nevertheless.
        outcome = await kv.read(key)
    match outcome:
        case Written():
            log_event("home_by_store", program=program)
            return None
        case Found(entry=entry):
            return _recorded_holders(key, entry.value, holders)
    return Unsure(
        "too few storage instances consented, and the store is unavailable"
    )


def _recorded_holders(
    key: str, value: bytes, holders: tuple[str, ...]
) -> Elsewhere | Unsure | None:
    """Compares holders with an entry of the store; None if they are the same.

    Other writers may add entries.
    """
    try:
        recorded = msgspec.json.decode(value, type=tuple[str, ...])
    except DECODE_ERRORS as error:
        warn_event("home_undecodable", key=key, why=str(error))
        return Unsure("the store's holders of the account can't be decoded")
    return None if recorded == holders else Elsewhere(recorded)
