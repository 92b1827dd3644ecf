"""Accounts of programs: who may use how many tokens.

The permission to run a turn is a reservation that is on the disk of the
program's home. It needs no clock and no lease: a home that was paused or cut
off goes on from what it has written down, and nobody else opens the account.
"""

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.messages import (
    Account,
    Elsewhere,
    Home,
    Refused,
    Reserve,
    Reserved,
    Settle,
    Spent,
)

# A program whose account was not used for so long has ended. The longest
# retention of a turn that operators ask for is far below.
_FORGET_SECONDS = 3600.0


class AccountChange(msgspec.Struct, frozen=True, tag="account"):
    """The state of one account, as written to the journal."""

    account: Account


class HomeChange(msgspec.Struct, frozen=True, tag="home"):
    """Where an account is, as written to the journal."""

    home: Home
    at: float


class RosterChange(msgspec.Struct, frozen=True, tag="roster"):
    """The storage instances known of, as written to the journal."""

    seen: dict[str, float]


class Opening(msgspec.Struct, frozen=True):
    """The account must be opened first, with the others' consent."""


class Ledger:
    """Accounts at home here, and the homes of others.

    Attributes:
        name: Name of this storage instance.
        accounts: Accounts at home here.
        homes: Where other accounts are, and since when that is known.
        opening: Programs whose account is being opened here.
        is_whole: Whether this instance has all that its disk should hold.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.accounts: dict[str, Account] = {}
        self.homes: dict[str, HomeChange] = {}
        self.opening: set[str] = set()
        self.is_whole = False

    def reserve(
        self, ask: Reserve
    ) -> AccountChange | Reserved | Spent | Elsewhere | Opening:
        """Decides on a permission; a change must be on disk before it counts.

        An attempt that asks again, because the reply was lost, has its
        permission already.
        """
        account = self.accounts.get(ask.program)
        if account is None:
            known = self.homes.get(ask.program)
            return Elsewhere(known.home.keeper) if known else Opening()
        if ask.attempt in account.running:
            return Reserved(account.taken)
        if account.taken + ask.tokens > account.budget:
            running = account.taken - account.settled
            return Spent(account.budget, account.settled, running)
        account.running[ask.attempt] = ask.tokens
        return self._changed(account)

    def settle(self, said: Settle) -> AccountChange | None:
        """Books what an attempt used; None if it had no reservation."""
        account = self.accounts.get(said.program)
        if account is None or said.attempt not in account.running:
            return None
        most = account.running.pop(said.attempt)
        account.settled += min(said.tokens, most)
        return self._changed(account)

    def may_open(self, program: str, asker: str) -> Refused | HomeChange | None:
        """Decides whether another instance may become a program's home.

        Two that open the same account at once meet here: the smaller name
        goes on, and the other finds its home written down.
        """
        if program in self.accounts:
            return Refused(self.name)
        known = self.homes.get(program)
        if known:
            home = known.home.keeper
            return None if home == asker else Refused(home)
        if program in self.opening and self.name < asker:
            return Refused("")
        return self.learn(Home(program, asker))

    def open(self, program: str, budget: int) -> AccountChange | None:
        """Opens an account here, unless its home became known meanwhile."""
        if program in self.homes:
            return None
        account = self.accounts.get(program)
        if account is None:
            account = Account(program, budget)
            self.accounts[program] = account
        return self._changed(account)

    def adopt(self, account: Account) -> AccountChange:
        """Takes an account over from a home that is being emptied."""
        self.homes.pop(account.program, None)
        self.accounts[account.program] = account
        return self._changed(account)

    def give_away(self, program: str, home: Home) -> HomeChange:
        """Ends an account here that another home has taken over."""
        self.accounts.pop(program, None)
        change = HomeChange(home, wall_seconds())
        self.homes[program] = change
        return change

    def learn(self, home: Home) -> HomeChange | None:
        """Writes down where an account is; None if that is no news."""
        if home.program in self.accounts:
            return None
        if home.keeper == self.name and self.is_whole:
            # Somebody agreed to an account that was not opened in the end.
            return None
        known = self.homes.get(home.program)
        if known and known.home.version >= home.version:
            return None
        change = HomeChange(home, wall_seconds())
        self.homes[home.program] = change
        return change

    def is_lost(self, program: str) -> bool:
        """Whether the account was here and went with the disk.

        What its turns have used is not known any more; opened anew, the
        program could use its budget a second time.
        """
        known = self.homes.get(program)
        return known is not None and known.home.keeper == self.name

    def restore(self, change: AccountChange | HomeChange) -> None:
        """Takes back what the journal says; later records replace earlier."""
        if isinstance(change, AccountChange):
            program = change.account.program
            self.accounts[program] = change.account
            self.homes.pop(program, None)
        else:
            program = change.home.program
            self.homes[program] = change
            self.accounts.pop(program, None)

    def snapshot(self) -> list[AccountChange | HomeChange]:
        """Returns records from which all of this can be restored."""
        return [
            *map(AccountChange, self.accounts.values()),
            *self.homes.values(),
        ]

    def forget_old(self) -> list[str]:
        """Drops programs that have ended long ago and returns them."""
        oldest = wall_seconds() - _FORGET_SECONDS
        accounts = [p for p, a in self.accounts.items() if a.touched < oldest]
        homes = [p for p, change in self.homes.items() if change.at < oldest]
        for program in accounts:
            del self.accounts[program]
        for program in homes:
            del self.homes[program]
        return [*accounts, *homes]

    def _changed(self, account: Account) -> AccountChange:
        account.touched = wall_seconds()
        return AccountChange(account)
