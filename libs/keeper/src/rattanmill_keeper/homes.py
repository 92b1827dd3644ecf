"""Opens accounts: finds out that nobody else has, with all others' consent."""

import asyncio

from rattanmill_core import log_event
from rattanmill_platform import (
    Conflict,
    Found,
    KeyValue,
    Unavailable,
    Written,
)

from rattanmill_keeper.ledger import Ledger
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import (
    Agree,
    Agreed,
    Elsewhere,
    Home,
    Refused,
    Unsure,
)

HOME_PREFIX = "rattanmill/homes/"
# A consent takes a trip and a sync, a few milliseconds. A member that does not
# answer so long is asked no more and the store decides.
_CONSENT_SECONDS = 0.15


class Consent:
    """The others' consent to one account's opening here."""


async def may_open(
    program: str, ledger: Ledger, members: Members, kv: KeyValue
) -> Consent | Elsewhere | Unsure:
    """Finds out whether the account of a program may be opened here.

    All other storage instances must agree. If one cannot be asked, it may
    have opened the account itself, so the store decides; whoever is cut off
    from both must not open it.
    """
    others = [m for m in members.known.values() if m.name != ledger.name]
    replies = await asyncio.gather(
        *(_ask(members, member, program, ledger.name) for member in others)
    )
    refused = [reply for reply in replies if isinstance(reply, Refused)]
    if refused:
        return _refused(program, refused, ledger)
    if all(isinstance(reply, Agreed) for reply in replies) and _complete(
        members
    ):
        return Consent()
    return await _ask_store(program, ledger.name, kv)


def _complete(members: Members) -> bool:
    """Whether every storage instance there may be has been asked.

    One that is no longer listed may have been cut off only.
    """
    return members.synced and not members.lost_at


async def _ask(
    members: Members, member: Member, program: str, asker: str
) -> Agreed | Refused | Unsure:
    link = members.link(member)
    reply = await link.ask(Agree(program, asker), _CONSENT_SECONDS)
    return reply if reply is not None else Unsure("silent")


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
    key = HOME_PREFIX + program
    outcome = await kv.write(key, name.encode(), 0)
    if isinstance(outcome, Unavailable):
        # It may have taken effect all the same.
        outcome = await kv.read(key)
    elif isinstance(outcome, Conflict):
        outcome = await kv.read(key)
    match outcome:
        case Written():
            log_event("home_by_store", program=program)
            return Consent()
        case Found(entry=entry):
            keeper = entry.value.decode(errors="replace")
            return Consent() if keeper == name else Elsewhere(keeper)
    return Unsure("neither all storage instances nor the store can be asked")
