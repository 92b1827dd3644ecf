"""State of the scheduler on which all decisions of an instance are based."""

import random
from collections.abc import Callable

import msgspec

from rattanmill_core import ConfigDocument, WorkClass
from rattanmill_policy.admission import Admission, Permits, Rate
from rattanmill_policy.candidates import Candidates
from rattanmill_policy.fairness import WorkspaceShares
from rattanmill_policy.prefixes import PrefixMap
from rattanmill_policy.queueing import ProgramUsage, ProgramUsageTable, Waiter
from rattanmill_policy.retries import RetryBudget
from rattanmill_policy.speeds import BlendedSpeed, EndpointStats, blend_speed
from rattanmill_policy.table import EndpointTable
from rattanmill_policy.work import Work


class Rules(msgspec.Struct, frozen=True):
    """Scheduling rules in force.

    All rules are enabled in production. Benchmarks disable individual rules to
    measure the effect of each.

    Attributes:
        speeds: Learn the speed of each endpoint; otherwise all endpoints are
            treated as equal.
        prefixes: Take cached prefixes into account.
        reports: Take load reports into account.
        order: Order waiting calls by deadline; otherwise first come, first
            served.
        admission: Refuse programs that cannot meet their target.
        shares: Defer workspaces that exceed their fair share.
        budget: Limit retries by a budget.
    """

    speeds: bool = True
    prefixes: bool = True
    reports: bool = True
    order: bool = True
    admission: bool = True
    shares: bool = True
    budget: bool = True


class EndpointGroup:
    """State shared by all calls that the same endpoints serve.

    Attributes:
        waiting: Waiting calls, ordered by deadline.
        completions: Rate at which calls end.
        permits: Permits for program starts.
    """

    def __init__(self) -> None:
        self.waiting: list[Waiter] = []
        self.completions = Rate()
        self.permits = Permits()


class SchedulerState:
    """State of the scheduler, with simple queries.

    Args:
        table: Known endpoints.
        config: Returns the operators' configuration in force.
        rules: Rules in force.
        rng: Random number generator.
    """

    def __init__(
        self,
        table: EndpointTable,
        config: Callable[[], ConfigDocument],
        rules: Rules,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.config = config
        self.rules = rules
        self.candidates = Candidates(table, rng)
        self.admission = Admission(rng)
        self.prefixes = PrefixMap()
        self.programs = ProgramUsageTable()
        self.shares = WorkspaceShares()
        self.retry_budget = RetryBudget()
        self.groups: dict[str, EndpointGroup] = {}

    def class_name(self, work: Work) -> str:
        """Returns the class of a call, or the default if it was removed."""
        document = self.config()
        is_known = work.klass in document.classes
        return work.klass if is_known else document.default_class

    def class_of(self, work: Work) -> WorkClass:
        """Returns the current targets of a call's class."""
        return self.config().classes[self.class_name(work)]

    def group_of(self, work: Work) -> EndpointGroup:
        """Returns the endpoint group of a call."""
        return self.groups.setdefault(work.group, EndpointGroup())

    def usage_of(self, work: Work, now: float) -> ProgramUsage:
        """Returns the service used by a call's program."""
        return self.programs.usage_of(work, now)

    def excess(self, work: Work, now: float) -> float:
        """Returns the workspace's usage above its share, in fair shares."""
        if not self.rules.shares:
            return 0.0
        return self.shares.excess(work.workspace, now)

    def speeds_of(
        self, work: Work, stats: EndpointStats, now: float
    ) -> BlendedSpeed:
        """Returns the speeds of an endpoint."""
        fleet = self.candidates.fleet(work.group)
        own = stats.speed if self.rules.speeds else fleet
        return blend_speed(own, fleet, now)
