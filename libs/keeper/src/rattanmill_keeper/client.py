"""A front's way to the storage instances."""

from rattanmill_core import Metrics
from rattanmill_keeper.lookup import TurnClient
from rattanmill_keeper.members import Members
from rattanmill_keeper.permits import BudgetClient
from rattanmill_keeper.reach import Reachability


class KeeperClient:
    """What a front asks of storage instances.

    Attributes:
        reach: The links to them, and what was heard on these.
        budgets: Reserves and settles budgets.
        turns: Keeps and finds turns.

    Args:
        domain: Failure domain of this front.
        copies: Failure domains in which a turn must be on disk.
        members: The storage instances.
        metrics: Counters and times.
    """

    def __init__(
        self, domain: str, copies: int, members: Members, metrics: Metrics
    ) -> None:
        self.reach = Reachability(domain, members, metrics)
        self.budgets = BudgetClient(self.reach)
        self.turns = TurnClient(self.reach, copies)
