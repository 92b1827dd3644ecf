"""Accounts that track how many tokens each program may use.

A turn may run once its reservation is on the disks of a majority of the
account's holders. This needs neither clocks nor leases: a holder that was
paused, partitioned or killed continues from what is on its disk, and the
others do not wait for it. The holders never change during the lifetime of an
account, so any two majorities share a member. A holder that is decommissioned
has a successor, which takes its place once the holder records nothing any more
and the successor has on disk all that it held. An instance that takes the
place of two holders counts once.
"""

from collections.abc import Callable, Iterable

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.accounts import merge_accounts, use_digest
from rattanmill_keeper.grants import ToldChange, ToldGrants
from rattanmill_keeper.isolation import Contact
from rattanmill_keeper.messages import (
    Account,
    AccountRef,
    Agree,
    Elsewhere,
    Full,
    Grant,
    Home,
    Opened,
    Recorded,
    Refused,
    Reserve,
    Settle,
    Share,
    Unsure,
    Use,
    max_share,
)

# A program whose account was unused for this long is considered ended. The
# longest retention of turns that operators configure is far shorter.
ACCOUNT_TTL_SECONDS = 3600.0
# In place of the attempts of a share that was lost with a disk.
_RESTORED = "restored"


class AccountChange(msgspec.Struct, frozen=True, tag="account"):
    """Journal record of the state of an account."""

    account: Account


class UseChange(msgspec.Struct, frozen=True, tag="use"):
    """Journal record of one use of an account."""

    program: str
    attempt: str
    use: Use


class ShareChange(msgspec.Struct, frozen=True, tag="share"):
    """Journal record of the tokens that this instance granted alone."""

    program: str
    share: Share


class GrantedChange(msgspec.Struct, frozen=True, tag="granted"):
    """Journal record of what decommissioned instances have granted alone.

    Attributes:
        granted: Tokens by instance and program.
        known_from: As in ``Succeed``.
    """

    granted: dict[str, dict[str, int]]
    known_from: float = 0.0


class HomeChange(msgspec.Struct, frozen=True, tag="home"):
    """Journal record of the holders of an account."""

    home: Home
    at: float


class RosterChange(msgspec.Struct, frozen=True, tag="roster"):
    """Journal record of the known storage instances.

    Attributes:
        seen: Unix time in seconds at which each was last there, by name.
        informed_by: As in ``Members``.
        contacts: As in ``Members``, with Unix times in seconds.
        successors: As in ``Members``.
        appointed: As in ``Succession``.
        one_turn_from: As in ``Members``.
        share_sizes_from: As in ``Members``; infinite from an earlier version.
        is_held_off: Whether the instance begins no programs alone for a while.
    """

    seen: dict[str, float]
    informed_by: dict[str, tuple[str, ...]] = {}
    contacts: dict[str, Contact] = {}
    successors: dict[str, str] = {}
    appointed: str = ""
    one_turn_from: dict[str, float] = {}
    share_sizes_from: float = float("inf")
    is_held_off: bool = False


class OpenRequired(msgspec.Struct, frozen=True):
    """The account must first be opened with the consent of the others.

    Attributes:
        holders: Holders that were already agreed on, or empty.
    """

    holders: tuple[str, ...] = ()


class PendingRecord(msgspec.Struct, frozen=True):
    """A use that takes effect once it is on disk, and the reply to send then.

    Attributes:
        account: The account, if it is new here. Uses can only be restored
            along with their account; without it a holder would lose them on a
            restart.
        change: The use.
        reply: The reply.
    """

    account: AccountChange | None
    change: UseChange
    reply: Recorded


class Ledger:
    """Accounts as known to one storage instance.

    Attributes:
        name: Name of this storage instance.
        accounts: Open accounts held here, by program.
        digests: Digest of each account's uses, by program.
        shares: Tokens that this instance has granted alone, by program.
        homes: Holders of accounts, open or only agreed on, by program.
        opening: Programs whose accounts are being opened here.
        shares_lost_until: Unix time in seconds until which programs go on that
            may have been granted tokens on a disk that was lost since.
        begun_used_at: Unix time in seconds at which a program was last granted
            tokens that began here alone, or one of its turns ended.
        owner: As in ``Members``.
        granted: Tokens that instances have granted alone in whose place this
            one holds accounts, by instance and program.
        told: What others have granted alone.
        granted_known_from: Unix time in seconds from which it can tell.
        granted_kept_at: Unix time in seconds at which it was last told, or
            dropped what no account needs any more.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.accounts: dict[str, Account] = {}
        self.digests: dict[str, int] = {}
        self.shares: dict[str, Share] = {}
        self.homes: dict[str, HomeChange] = {}
        self.opening: set[str] = set()
        self.shares_lost_until = 0.0
        self.begun_used_at = 0.0
        self.owner: Callable[[str], str] = lambda holder: holder
        self.granted: dict[str, dict[str, int]] = {}
        self.told = ToldGrants()
        self.granted_known_from = 0.0
        self.granted_kept_at = 0.0

    def is_holder(self, holders: Iterable[str]) -> bool:
        """Whether this instance is one of the holders, or in place of one."""
        return self.name in map(self.owner, holders)

    def find(self, program: str) -> Opened | Elsewhere | OpenRequired:
        """Returns an account's placement, or that it must be opened here."""
        account = self.accounts.get(program)
        if account is not None:
            return Opened(account.place)
        known = self.homes.get(program)
        if known is None:
            return OpenRequired()
        holders = known.home.holders
        if self.is_holder(holders):
            return OpenRequired(holders)
        return Elsewhere(holders)

    def reserve(self, request: Reserve) -> PendingRecord | Full | Unsure:
        """Decides on a reservation, which takes effect once it is on disk.

        An attempt that retries because the reply was lost already has its
        reservation. The reservation is written again, as the first record, or
        the one that another holder sent, may not be on disk yet.
        """
        if request.place is None or not self.is_holder(request.place.holders):
            return Unsure("this instance is not a holder of the account")
        if self.holders_of(request.program) not in ((), request.place.holders):
            return Unsure("this instance has agreed to other holders")
        account = self.accounts.get(request.program)
        new_account = None
        if account is None:
            # The account is open; only this holder was unreachable when it was
            # opened. It has recorded nothing, so no majority relied on it.
            account = Account(request.program, request.budget, request.place)
            self._put(account)
            new_account = self._touch(account)
        use = account.uses.get(request.attempt)
        if use is not None and use.settled:
            return Unsure("the attempt has already ended")
        if use is not None:
            repeated = UseChange(request.program, request.attempt, use)
            return PendingRecord(new_account, repeated, self._reply(account))
        if account.taken + request.tokens > account.limit:
            return Full()
        change = self._set_use(account, request.attempt, Use(request.tokens))
        return PendingRecord(new_account, change, self._reply(account))

    def reserve_alone(
        self, request: Reserve, may_open_share: bool
    ) -> ShareChange | Full | Unsure:
        """Grants a reservation out of this instance's share.

        The share belongs to the instance that opened the account if all others
        consented, and otherwise to the one whose consent was missing: an
        instance that has consented opens no share.

        Args:
            request: The reservation.
            may_open_share: Whether this instance knows what it granted before,
                and may open a share for a program that it does not know.
        """
        share = self.shares.get(request.program)
        if share is None:
            is_known = (
                request.program in self.homes
                or request.program in self.accounts
                or self.predecessors_with_share(request.program)
            )
            if is_known or not may_open_share:
                return Unsure("this instance has no share of the budget")
            share = self.shares[request.program] = Share()
        if request.attempt not in share.uses:
            taken = share.taken + request.tokens
            limit = share.limit or max_share(request.budget, request.tokens)
            if share.is_closed or taken > limit:
                return Full()
            share.uses[request.attempt] = Use(request.tokens)
        return self._touch_share(request.program)

    def may_have_lost_share(self) -> bool:
        """Whether programs go on that it may have granted to unknowingly."""
        return wall_seconds() < self.shares_lost_until

    def has_one_turn(self, program: str) -> bool:
        """Whether this instance granted a program at most one turn alone."""
        return self.shares.get(program, Share()).is_one_turn

    def close_share(self, program: str) -> ShareChange:
        """Stops granting alone; the change lists what was granted."""
        share = self.shares.setdefault(program, Share())
        share.is_closed = True
        return self._touch_share(program)

    def restore_shares(self, grants: Iterable[Grant]) -> list[ShareChange]:
        """Restores what was granted alone on a disk that was lost."""
        return [
            self._restore_share(grant)
            for grant in grants
            if grant.program not in self.shares
        ]

    def _restore_share(self, grant: Grant) -> ShareChange:
        self.shares[grant.program] = Share(
            {_RESTORED: Use(grant.tokens, True)},
            is_closed=True,
            is_restored=True,
        )
        return self._touch_share(grant.program)

    def is_share_restored(self, program: str) -> bool:
        """Whether another instance has told what was granted to a program."""
        return self.shares.get(program, Share()).is_restored

    def begun_grant(self, program: str) -> Grant | None:
        """Returns what was granted to a program that began here alone."""
        share = self.shares.get(program)
        if share is None or not share.uses or share.limit:
            return None
        return Grant(program, share.taken)

    def predecessors_with_share(self, program: str) -> list[str]:
        """Returns the instances that granted alone, which this one succeeds."""
        return [n for n, tokens in self.granted.items() if program in tokens]

    def granted_before(self, program: str) -> int:
        """Returns the tokens that these instances have granted alone."""
        return sum(t.get(program, 0) for t in self.granted.values())

    def all_granted(self) -> dict[str, dict[str, int]]:
        """Returns what was granted alone, here and by these instances."""
        mine = {
            program: share.taken
            for program, share in self.shares.items()
            if share.uses
        }
        return {self.name: mine, **self.granted}

    def add_granted(self, change: GrantedChange) -> None:
        """Adds what instances have granted that this one succeeds."""
        for name, tokens in change.granted.items():
            self.granted.setdefault(name, {}).update(tokens)
        self.granted_known_from = max(
            self.granted_known_from, change.known_from
        )
        self.granted_kept_at = wall_seconds()

    def _expire_granted(self) -> None:
        """Drops what was granted to programs that have ended."""
        if self.granted_kept_at > wall_seconds() - ACCOUNT_TTL_SECONDS:
            return
        self.granted_kept_at = wall_seconds()
        self.granted = {
            name: {p: t for p, t in tokens.items() if p in self.accounts}
            for name, tokens in self.granted.items()
        }

    def release_share(self, program: str) -> list[ShareChange | AccountChange]:
        """Closes this instance's share and returns its rest to the holders."""
        account = self.accounts[program]
        if account.place.sharers != (self.name,):
            return []
        change = self.close_share(program)
        spare = account.place.reserved - change.share.taken
        account.given = max(account.given, spare)
        return [change, self._touch(account)]

    def settle(self, settlement: Settle) -> list[UseChange | ShareChange]:
        """Records the final use of an attempt.

        A holder that does not know the attempt records it as well. Otherwise a
        reservation that arrives later would never be settled.
        """
        changes: list[UseChange | ShareChange] = []
        account = self.accounts.get(settlement.program)
        if account is not None:
            tokens = 0 if settlement.alone else settlement.tokens
            use = account.uses.get(settlement.attempt, Use(tokens))
            if not use.settled:
                ended = Use(min(tokens, use.tokens), True)
                changes.append(
                    self._set_use(account, settlement.attempt, ended)
                )
        share = self.shares.get(settlement.program)
        use = share.uses.get(settlement.attempt) if share else None
        if use and not use.settled:
            ended = Use(min(settlement.tokens, use.tokens), True)
            share.uses[settlement.attempt] = ended
            changes.append(self._touch_share(settlement.program))
        return changes

    def ref(self, account: Account) -> AccountRef:
        """Returns the account's version for comparison by other holders."""
        program = account.program
        return AccountRef(program, self.digests[program], account.limit)

    def get_many(self, programs: list[str]) -> list[Account]:
        """Returns the accounts of the programs that are held here."""
        return [self.accounts[p] for p in programs if p in self.accounts]

    def is_current(self, ref: AccountRef) -> bool:
        """Whether another holder's version of an account adds nothing here."""
        account = self.accounts.get(ref.program)
        return (
            account is not None
            and self.digests[ref.program] == ref.digest
            and account.limit >= ref.limit
        )

    def agree(self, request: Agree) -> Refused | HomeChange:
        """Decides whether an account may be opened at these holders.

        If two instances open the same account at once, the one with the
        smaller name wins, and the other finds the holders of the winner here.
        Known holders are written again, as they may not be on disk yet.
        """
        program, holders = request.program, request.holders
        if request.is_decided:
            self.override_home(Home(program, holders))
        known = self.holders_of(program)
        if known and known != holders:
            return Refused(known, program in self.accounts)
        if not known and program in self.opening and self.name < request.keeper:
            return Refused(())
        home = Home(program, holders)
        return self.add_home(home) or HomeChange(home, wall_seconds())

    def override_home(self, home: Home) -> HomeChange | None:
        """Replaces the agreed holders by those in the platform store.

        Returns:
            The change, or None if the account is open. The store would know
            the holders of an open account.
        """
        if home.program in self.accounts:
            return None
        self.homes.pop(home.program, None)
        return self.add_home(home)

    def open(self, account: Account) -> AccountChange | None:
        """Opens an account here, unless other holders have become known."""
        known = self.holders_of(account.program)
        if known not in ((), account.place.holders):
            return None
        if account.program not in self.accounts:
            self._put(account)
        return self._touch(self.accounts[account.program])

    def open_share(self, program: str, tokens: int) -> ShareChange:
        """Lets this instance grant alone, as all others have consented.

        Only valid for an account that no instance knew before: an instance
        that has lost its disk does not know what it granted.

        Args:
            program: Program id.
            tokens: Maximum tokens of one turn, by which callers let a program
                exceed its budget. So nothing has to be set aside.
        """
        self.shares.setdefault(program, Share(limit=tokens))
        return self._touch_share(program)

    def merge(
        self, account: Account, is_successor: bool = False
    ) -> AccountChange | None:
        """Merges another holder's replica; None if it changes nothing.

        Args:
            account: The replica.
            is_successor: Whether this instance is to take that holder's place.
        """
        if not is_successor and not self.is_holder(account.place.holders):
            return None
        held = self.accounts.get(account.program)
        merged = merge_accounts([held, account]) if held else account
        if held and (merged.uses, merged.limit) == (held.uses, held.limit):
            return None
        self._put(merged)
        return self._touch(merged)

    def add_home(self, home: Home) -> HomeChange | None:
        """Records the holders of an account; None if they are known."""
        if home.program in self.accounts or home.program in self.homes:
            return None
        change = HomeChange(home, wall_seconds())
        self.homes[home.program] = change
        return change

    def restore(
        self,
        change: (
            AccountChange
            | UseChange
            | ShareChange
            | HomeChange
            | GrantedChange
            | ToldChange
        ),
    ) -> None:
        """Applies a journal record; later records replace earlier ones."""
        match change:
            case AccountChange(account=account):
                self._put(account)
            case UseChange(program=program, attempt=attempt, use=use):
                account = self.accounts.get(program)
                if account is not None:
                    self._set_use(account, attempt, use)
            case ShareChange(program=program, share=share):
                self.shares[program] = share
                self._note_begun(share)
            case HomeChange(home=home):
                self.homes[home.program] = change
            case GrantedChange():
                self.add_granted(change)
            case ToldChange():
                self.told.restore(change)

    def snapshot(
        self,
    ) -> list[
        AccountChange | ShareChange | HomeChange | GrantedChange | ToldChange
    ]:
        """Returns records from which the ledger can be restored."""
        return [
            *self.homes.values(),
            *map(AccountChange, self.accounts.values()),
            *(ShareChange(p, share) for p, share in self.shares.items()),
            GrantedChange(
                {name: dict(tokens) for name, tokens in self.granted.items()},
                self.granted_known_from,
            ),
            *self.told.snapshot(),
        ]

    def expire(self) -> list[str]:
        """Drops programs that ended long ago and returns their ids."""
        oldest = wall_seconds() - ACCOUNT_TTL_SECONDS
        accounts = [p for p, a in self.accounts.items() if a.touched < oldest]
        for program in accounts:
            del self.accounts[program]
            del self.digests[program]
        homes = [
            program
            for program, change in self.homes.items()
            if change.at < oldest and program not in self.accounts
        ]
        for program in homes:
            del self.homes[program]
        shares = [p for p, s in self.shares.items() if s.touched < oldest]
        for program in shares:
            del self.shares[program]
        self._expire_granted()
        self.told.expire(oldest)
        ended = set(shares) - self.accounts.keys() - self.homes.keys()
        return sorted({*accounts, *homes, *ended})

    def holders_of(self, program: str) -> tuple[str, ...]:
        """Returns the holders agreed on here, or an empty tuple."""
        account = self.accounts.get(program)
        if account is not None:
            return account.place.holders
        known = self.homes.get(program)
        return known.home.holders if known else ()

    def _put(self, account: Account) -> None:
        self.accounts[account.program] = account
        digest = 0
        for attempt, use in account.uses.items():
            digest ^= use_digest(attempt, use)
        self.digests[account.program] = digest

    def _set_use(self, account: Account, attempt: str, use: Use) -> UseChange:
        before = account.uses.get(attempt)
        if before:
            self.digests[account.program] ^= use_digest(attempt, before)
        account.uses[attempt] = use
        self.digests[account.program] ^= use_digest(attempt, use)
        account.touched = wall_seconds()
        return UseChange(account.program, attempt, use)

    def _reply(self, account: Account) -> Recorded:
        digest = self.digests[account.program]
        return Recorded(account.taken, account.limit, digest)

    def _touch_share(self, program: str) -> ShareChange:
        share = self.shares[program]
        share.touched = wall_seconds()
        self._note_begun(share)
        copy = msgspec.structs.replace(share, uses=dict(share.uses))
        return ShareChange(program, copy)

    def _note_begun(self, share: Share) -> None:
        if share.uses and not share.limit:
            self.begun_used_at = max(self.begun_used_at, share.touched)

    def _touch(self, account: Account) -> AccountChange:
        account.touched = wall_seconds()
        return AccountChange(account)
