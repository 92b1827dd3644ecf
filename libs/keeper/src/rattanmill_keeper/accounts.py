"""Merging of the replicas of an account.

Each holder knows the attempts that were reported to it. A reservation is
granted once a majority of the holders has recorded it, and any two majorities
share a holder. So the uses known to any one majority include all that were
granted.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from rattanmill_keeper.messages import Account, Full, Recorded, Use


def use_digest(attempt: str, use: Use) -> int:
    """Returns the contribution of one use to an account's digest."""
    text = f"{attempt}/{use.tokens}/{use.settled}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def merge_use(first: Use | None, second: Use) -> Use:
    """Merges two records of the use of one attempt.

    A settled use replaces an unsettled one, as an attempt that has ended does
    not run again. If both are settled with different tokens, the larger value
    wins, so that no use is lost.
    """
    if first is None:
        return second
    if first.settled != second.settled:
        return first if first.settled else second
    return first if first.tokens >= second.tokens else second


def merge_accounts(accounts: Iterable[Account]) -> Account:
    """Merges several holders' replicas of one account.

    If two instances opened the account, they may have set different amounts
    aside for sharers. Either amount is sufficient, so the one that leaves more
    of the budget wins.
    """
    first, *others = accounts
    merged = msgspec.structs.replace(first, uses=dict(first.uses))
    for account in others:
        for attempt, use in account.uses.items():
            merged.uses[attempt] = merge_use(merged.uses.get(attempt), use)
        if account.limit > merged.limit:
            merged.place = account.place
            merged.given = account.given
    return merged


def majority(holders: int) -> int:
    """Returns the number of holders that must record a reservation."""
    return holders // 2 + 1


def is_granted(
    replies: list[Recorded | Full], holders: int, tokens: int
) -> bool:
    """Whether the holders' replies grant a reservation.

    Holders mostly know the same uses. If they differ, the sum of the uses that
    each knows is an upper bound of all uses together, which is enough to grant
    the reservation unless the program is close to its budget.

    Args:
        replies: Replies of holders, including refusals for lack of budget.
        holders: Number of holders.
        tokens: Tokens of the reservation, which each reply includes in
            ``taken``.
    """
    recorded = [reply for reply in replies if isinstance(reply, Recorded)]
    if len(recorded) < len(replies) or len(recorded) < majority(holders):
        return False
    limit = max(reply.limit for reply in recorded)
    if len({reply.digest for reply in recorded}) == 1:
        return recorded[0].taken <= limit
    upper_bound = tokens + sum(reply.taken - tokens for reply in recorded)
    return upper_bound <= limit
