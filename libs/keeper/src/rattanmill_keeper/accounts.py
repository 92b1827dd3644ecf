"""What holders of an account know, put together.

Each holder knows the attempts that it was told of. A permission counts once a
majority of the holders has recorded it, and any two majorities share a
holder, so the uses that any majority knows of are all that were permitted.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from rattanmill_keeper.messages import Account, Full, Recorded, Use


def digest_of(attempt: str, use: Use) -> int:
    """Returns what one use adds to an account's digest."""
    text = f"{attempt}/{use.tokens}/{use.settled}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def latest(one: Use | None, other: Use) -> Use:
    """Returns what is known of an attempt from two accounts of it.

    An attempt that has ended does not run again; should two tell different
    ends, the larger one counts, so that nothing used is forgotten.
    """
    if one is None:
        return other
    if one.settled != other.settled:
        return one if one.settled else other
    return one if one.tokens >= other.tokens else other


def join(accounts: Iterable[Account]) -> Account:
    """Puts together what holders know of one account.

    Two that opened it may have set different parts aside. Each of them is
    enough, so the one that leaves more to use counts.
    """
    first, *others = accounts
    joined = msgspec.structs.replace(first, uses=dict(first.uses))
    for account in others:
        for attempt, use in account.uses.items():
            joined.uses[attempt] = latest(joined.uses.get(attempt), use)
        if account.limit > joined.limit:
            joined.place = account.place
            joined.given = account.given
    return joined


def majority(holders: int) -> int:
    """Returns how many holders must have recorded a permission."""
    return holders // 2 + 1


def is_permitted(
    replies: list[Recorded | Full], holders: int, tokens: int
) -> bool:
    """Whether what holders say is enough for a permission.

    They mostly know the same. Where they do not, the uses of all of them
    together are at most the sum of what each knows, which settles the matter
    for all programs that are far from their budget.

    Args:
        replies: What holders have answered, also that they have no room.
        holders: How many there are.
        tokens: What was asked for, and is part of what each has taken.
    """
    recorded = [reply for reply in replies if isinstance(reply, Recorded)]
    if len(recorded) < len(replies) or len(recorded) < majority(holders):
        return False
    limit = max(reply.limit for reply in recorded)
    if len({reply.digest for reply in recorded}) == 1:
        return recorded[0].taken <= limit
    most = tokens + sum(reply.taken - tokens for reply in recorded)
    return most <= limit
