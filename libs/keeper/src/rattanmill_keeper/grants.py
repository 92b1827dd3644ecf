"""What other storage instances have granted alone, as they have told.

An instance that was isolated and is back tells the programs that it has begun
alone. If its disk is lost later, the others still know of these, and it
restores them from there.
"""

from collections.abc import Iterable

import msgspec

from rattanmill_core import wall_seconds
from rattanmill_keeper.messages import Grant


class ToldChange(msgspec.Struct, frozen=True, tag="told"):
    """Journal record of what an instance has granted alone, as it told.

    Attributes:
        name: Name of the instance.
        grants: The newest one of each program.
        at: Unix time in seconds at which it told them.
    """

    name: str
    grants: list[Grant]
    at: float


class ToldGrants:
    """The newest grants that each other instance has told.

    Attributes:
        tokens: Tokens by instance and program.
        told_at: Unix time in seconds of the newest one, by instance.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, dict[str, int]] = {}
        self.told_at: dict[str, float] = {}

    def learn(self, name: str, grants: Iterable[Grant]) -> ToldChange | None:
        """Records grants; None if all of them are known."""
        known = self.tokens.get(name, {})
        new = [g for g in grants if known.get(g.program) != g.tokens]
        if not new:
            return None
        change = ToldChange(name, new, wall_seconds())
        self.restore(change)
        return change

    def restore(self, change: ToldChange) -> None:
        """Applies a journal record."""
        known = self.tokens.setdefault(change.name, {})
        known.update((grant.program, grant.tokens) for grant in change.grants)
        self.told_at[change.name] = change.at

    def by(self, name: str) -> list[Grant]:
        """Returns all that an instance has told."""
        return [Grant(*each) for each in self.tokens.get(name, {}).items()]

    def grantors(self, program: str) -> list[str]:
        """Returns the instances that have granted tokens to a program."""
        return [n for n, tokens in self.tokens.items() if program in tokens]

    def snapshot(self) -> list[ToldChange]:
        """Returns records from which this can be restored."""
        return [ToldChange(n, self.by(n), at) for n, at in self.told_at.items()]

    def expire(self, oldest: float) -> None:
        """Drops what was told before a Unix time in seconds."""
        for name in [n for n, at in self.told_at.items() if at < oldest]:
            del self.tokens[name], self.told_at[name]
