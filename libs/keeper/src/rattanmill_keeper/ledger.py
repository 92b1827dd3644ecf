"""Accounts of programs: who may use how many tokens.

The permission to run a turn is a reservation that is on the disks of a
majority of the account's holders. It needs no clock and no lease: a holder
that was paused, cut off or killed goes on from what it has written down, and
the others do not wait for it. The holders never change while the account
lives, so no two majorities are without a common member.
"""

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.accounts import digest_of, join
from rattanmill_keeper.messages import (
    Account,
    AccountRef,
    Agree,
    Elsewhere,
    Full,
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

# A program whose account was not used for so long has ended. The longest
# retention of a turn that operators ask for is far below.
ACCOUNT_TTL_SECONDS = 3600.0


class AccountChange(msgspec.Struct, frozen=True, tag="account"):
    """The state of one account, as written to the journal."""

    account: Account


class UseChange(msgspec.Struct, frozen=True, tag="use"):
    """A use of an account, as written to the journal."""

    program: str
    attempt: str
    use: Use


class ShareChange(msgspec.Struct, frozen=True, tag="share"):
    """What was granted alone here, as written to the journal."""

    program: str
    share: Share


class HomeChange(msgspec.Struct, frozen=True, tag="home"):
    """Where an account is, as written to the journal."""

    home: Home
    at: float


class RosterChange(msgspec.Struct, frozen=True, tag="roster"):
    """The storage instances known of, as written to the journal."""

    seen: dict[str, float]


class OpenRequired(msgspec.Struct, frozen=True):
    """The account must be opened first, with the others' consent.

    Attributes:
        holders: Who is to hold it, if that was agreed to already.
    """

    holders: tuple[str, ...] = ()


class PendingRecord(msgspec.Struct, frozen=True):
    """A use that counts once it is on disk, and the reply to give then.

    Attributes:
        account: The account, if it is new here. Its uses can't be read back
            without it: a holder that starts again would have forgotten them.
        change: The use.
        reply: The reply.
    """

    account: AccountChange | None
    change: UseChange
    reply: Recorded


class Ledger:
    """What one storage instance knows of accounts.

    Attributes:
        name: Name of this storage instance.
        accounts: Open accounts held here.
        digests: Digest of each account's uses.
        shares: What this instance has granted alone, by program.
        homes: Where accounts are, whether open or only agreed to.
        opening: Programs whose account is being opened here.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.accounts: dict[str, Account] = {}
        self.digests: dict[str, int] = {}
        self.shares: dict[str, Share] = {}
        self.homes: dict[str, HomeChange] = {}
        self.opening: set[str] = set()

    def find(self, program: str) -> Opened | Elsewhere | OpenRequired:
        """Returns where an account is, or that it must be opened here."""
        account = self.accounts.get(program)
        if account is not None:
            return Opened(account.place)
        known = self.homes.get(program)
        if known is None:
            return OpenRequired()
        holders = known.home.holders
        if self.name in holders:
            return OpenRequired(holders)
        return Elsewhere(holders)

    def reserve(self, ask: Reserve) -> PendingRecord | Full | Unsure:
        """Decides on a reservation; a change must be on disk to count.

        An attempt that asks again, because the reply was lost, has its
        reservation already. It is written again, as the first record, or what
        another holder told of it, may still be on its way to the disk.
        """
        if ask.place is None or self.name not in ask.place.holders:
            return Unsure("not held here")
        if self.holders_of(ask.program) not in ((), ask.place.holders):
            return Unsure("other holders were agreed to here")
        account = self.accounts.get(ask.program)
        adopted = None
        if account is None:
            # It is open, and this holder only was out of reach just then. It
            # has recorded nothing, so no majority relied on it.
            account = Account(ask.program, ask.budget, ask.place)
            self._hold(account)
            adopted = self._changed(account)
        use = account.uses.get(ask.attempt)
        if use is not None and use.settled:
            return Unsure("the attempt has ended")
        if use is not None:
            again = UseChange(ask.program, ask.attempt, use)
            return PendingRecord(adopted, again, self._recorded(account))
        if account.taken + ask.tokens > account.limit:
            return Full()
        change = self._use(account, ask.attempt, Use(ask.tokens))
        return PendingRecord(adopted, change, self._recorded(account))

    def reserve_alone(
        self, ask: Reserve, may_open_share: bool
    ) -> ShareChange | Full | Unsure:
        """Grants out of the part that one domain may grant alone.

        That is the opener's domain if all have agreed to the account, and
        else the one that was not asked: whoever has agreed begins no share.

        Args:
            ask: What is asked for.
            may_open_share: Whether this instance knows what it granted before,
                and may begin a share for a program that it has not heard of.
        """
        share = self.shares.get(ask.program)
        if share is None:
            is_known = ask.program in self.homes or ask.program in self.accounts
            if is_known or not may_open_share:
                return Unsure("nothing of the budget is set aside here")
            share = self.shares[ask.program] = Share()
        if ask.attempt not in share.uses:
            taken = share.taken + ask.tokens
            if share.is_closed or taken > max_share(ask.budget, ask.tokens):
                return Full()
            share.uses[ask.attempt] = Use(ask.tokens)
        return self._share_changed(ask.program)

    def close_share(self, program: str) -> ShareChange:
        """Grants nothing more alone; what was granted stands in the change."""
        share = self.shares.setdefault(program, Share())
        share.is_closed = True
        return self._share_changed(program)

    def release_share(self, program: str) -> list[ShareChange | AccountChange]:
        """Ends what this instance alone may grant, and gives the rest back."""
        account = self.accounts[program]
        if account.place.sharers != (self.name,):
            return []
        change = self.close_share(program)
        spare = account.place.reserved - change.share.taken
        account.given = max(account.given, spare)
        return [change, self._changed(account)]

    def settle(self, said: Settle) -> list[UseChange | ShareChange]:
        """Books what an attempt used.

        A holder that has not heard of the attempt notes it as well: its
        reservation may still be under way here, and would then stay for ever.
        """
        changes: list[UseChange | ShareChange] = []
        account = self.accounts.get(said.program)
        if account is not None:
            tokens = 0 if said.alone else said.tokens
            use = account.uses.get(said.attempt, Use(tokens))
            if not use.settled:
                ended = Use(min(tokens, use.tokens), True)
                changes.append(self._use(account, said.attempt, ended))
        share = self.shares.get(said.program)
        use = share.uses.get(said.attempt) if share else None
        if use and not use.settled:
            ended = Use(min(said.tokens, use.tokens), True)
            share.uses[said.attempt] = ended
            changes.append(self._share_changed(said.program))
        return changes

    def ref(self, account: Account) -> AccountRef:
        """Returns what tells other holders whether they know the same."""
        program = account.program
        return AccountRef(program, self.digests[program], account.limit)

    def get_many(self, programs: list[str]) -> list[Account]:
        """Returns the accounts of those programs that are held here."""
        return [self.accounts[p] for p in programs if p in self.accounts]

    def is_current(self, ref: AccountRef) -> bool:
        """Whether an account that another holder has is no news here."""
        account = self.accounts.get(ref.program)
        return (
            account is not None
            and self.digests[ref.program] == ref.digest
            and account.limit >= ref.limit
        )

    def agree(self, ask: Agree) -> Refused | HomeChange:
        """Decides whether an account may be opened at these holders.

        Two that open the same account at once meet here: the smaller name
        goes on, and the other finds its holders written down. What is known
        already is written again: it may still be on its way to the disk.
        """
        program, holders = ask.program, ask.holders
        if ask.is_decided:
            self.override_home(Home(program, holders))
        known = self.holders_of(program)
        if known and known != holders:
            return Refused(known, program in self.accounts)
        if not known and program in self.opening and self.name < ask.keeper:
            return Refused(())
        home = Home(program, holders)
        return self.add_home(home) or HomeChange(home, wall_seconds())

    def override_home(self, home: Home) -> HomeChange | None:
        """Takes the holders that the store says, whatever was agreed to.

        None if the account is open with others, which the store would know.
        """
        if home.program in self.accounts:
            return None
        self.homes.pop(home.program, None)
        return self.add_home(home)

    def open(self, account: Account) -> AccountChange | None:
        """Opens an account here, unless other holders became known."""
        known = self.holders_of(account.program)
        if known not in ((), account.place.holders):
            return None
        if account.program not in self.accounts:
            self._hold(account)
        return self._changed(self.accounts[account.program])

    def open_share(self, program: str) -> ShareChange:
        """Lets this instance grant alone: all have agreed to the account.

        Only for an account that nobody had heard of before; one that has lost
        its disk can't tell what it granted.
        """
        self.shares.setdefault(program, Share())
        return self._share_changed(program)

    def merge(self, account: Account) -> AccountChange | None:
        """Takes what other holders know; None if that is no news."""
        if self.name not in account.place.holders:
            return None
        held = self.accounts.get(account.program)
        joined = join([held, account]) if held else account
        if held and (joined.uses, joined.limit) == (held.uses, held.limit):
            return None
        self._hold(joined)
        return self._changed(joined)

    def add_home(self, home: Home) -> HomeChange | None:
        """Writes down where an account is; None if that is no news."""
        if home.program in self.accounts or home.program in self.homes:
            return None
        change = HomeChange(home, wall_seconds())
        self.homes[home.program] = change
        return change

    def restore(
        self, change: AccountChange | UseChange | ShareChange | HomeChange
    ) -> None:
        """Takes back what the journal says; later records replace earlier."""
        match change:
            case AccountChange(account=account):
                self._hold(account)
            case UseChange(program=program, attempt=attempt, use=use):
                account = self.accounts.get(program)
                if account is not None:
                    self._use(account, attempt, use)
            case ShareChange(program=program, share=share):
                self.shares[program] = share
            case HomeChange(home=home):
                self.homes[home.program] = change

    def snapshot(self) -> list[AccountChange | ShareChange | HomeChange]:
        """Returns records from which all of this can be restored."""
        return [
            *self.homes.values(),
            *map(AccountChange, self.accounts.values()),
            *(ShareChange(p, share) for p, share in self.shares.items()),
        ]

    def expire(self) -> list[str]:
        """Drops programs that have ended long ago and returns them."""
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
        return sorted({*accounts, *homes})

    def holders_of(self, program: str) -> tuple[str, ...]:
        """Returns the holders that were agreed to here, or nobody."""
        account = self.accounts.get(program)
        if account is not None:
            return account.place.holders
        known = self.homes.get(program)
        return known.home.holders if known else ()

    def _hold(self, account: Account) -> None:
        self.accounts[account.program] = account
        digest = 0
        for attempt, use in account.uses.items():
            digest ^= digest_of(attempt, use)
        self.digests[account.program] = digest

    def _use(self, account: Account, attempt: str, use: Use) -> UseChange:
        before = account.uses.get(attempt)
        if before:
            self.digests[account.program] ^= digest_of(attempt, before)
        account.uses[attempt] = use
        self.digests[account.program] ^= digest_of(attempt, use)
        account.touched = wall_seconds()
        return UseChange(account.program, attempt, use)

    def _recorded(self, account: Account) -> Recorded:
        digest = self.digests[account.program]
        return Recorded(account.taken, account.limit, digest)

    def _share_changed(self, program: str) -> ShareChange:
        share = self.shares[program]
        share.touched = wall_seconds()
        copy = msgspec.structs.replace(share, uses=dict(share.uses))
        return ShareChange(program, copy)

    def _changed(self, account: Account) -> AccountChange:
        account.touched = wall_seconds()
        return AccountChange(account)
