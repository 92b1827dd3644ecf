"""A front end's client for the storage instances."""

from rattanmill_core import Metrics
from rattanmill_keeper.borrowing import RateClient
from rattanmill_keeper.loads import LoadExchange
from rattanmill_keeper.lookup import TurnClient
from rattanmill_keeper.members import Members
from rattanmill_keeper.permits import BudgetClient
from rattanmill_keeper.reach import Reachability


class KeeperClient:
    """Client for the storage instances.

    Attributes:
        reach: Links to the storage instances, and whether these respond.
        budgets: Reserves and settles tokens.
        turns: Keeps and finds turns.
        rates: Borrows tokens of workspaces' rate limits.
        loads: Exchanges loads of endpoints with other front ends.

    Args:
        domain: Failure domain of this front end.
        members: The storage instances.
        metrics: Counters and durations.
    """

    def __init__(self, domain: str, members: Members, metrics: Metrics) -> None:
        self.reach = Reachability(domain, members, metrics)
        self.budgets = BudgetClient(self.reach)
        self.turns = TurnClient(self.reach)
        self.rates = RateClient(self.reach)
        self.loads = LoadExchange(self.reach)
