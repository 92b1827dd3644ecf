"""All that an instance's decisions rest on."""

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
    """Which rules are in force; all, but for measuring what each is worth.

    Attributes:
        speeds: Speeds are learned; else all endpoints count as equal.
        prefixes: Cached prefixes count.
        reports: Load reports count.
        order: Calls wait by deadline; else in the order they came.
        admission: What cannot meet its target is refused.
        shares: Workspaces over their share go later.
        budget: Retries have a budget.
    """

    speeds: bool = True
    prefixes: bool = True
    reports: bool = True
    order: bool = True
    admission: bool = True
    shares: bool = True
    budget: bool = True


class EndpointGroup:
    """What is served by the same endpoints.

    Attributes:
        waiting: Waiting calls, first to go first.
        finished: Rate of calls that end.
        permits: Programs that may begin.
    """

    def __init__(self) -> None:
        self.waiting: list[Waiter] = []
        self.completions = Rate()
        self.permits = Permits()


class SchedulerState:
    """State of the scheduler, and simple questions to it.

    Args:
        table: Endpoints known.
        config: Returns the operators' configuration in force.
        rules: Rules in force.
        rng: Source of what is random.
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
        """Returns the class of a call; the default if it has gone."""
        document = self.config()
        is_known = work.klass in document.classes
        return work.klass if is_known else document.default_class

    def class_of(self, work: Work) -> WorkClass:
        """Returns the targets of a call's class, as in force now."""
        return self.config().classes[self.class_name(work)]

    def group_of(self, work: Work) -> EndpointGroup:
        """Returns what a call waits with."""
        return self.groups.setdefault(work.group, EndpointGroup())

    def usage_of(self, work: Work, now: float) -> ProgramUsage:
        """Returns what a call's program has had."""
        return self.programs.usage_of(work, now)

    def excess(self, work: Work, now: float) -> float:
        """Returns what its workspace uses beyond its share, in shares."""
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
