"""How often calls may be tried again."""

import random

from rattanmill_policy.outcome import Outcome
from rattanmill_policy.work import Work

_RETRY_RATIO = 0.08
_INITIAL_TOKENS = 10.0
_MAX_TOKENS = 10.0
_MAX_RUNS = 3
# Endpoints that could not be reached cost a call its time only. Counted like
# runs, three of them that are down just then would end a call that has run
# nowhere, while the others stand idle; a caller notices a refusal.
_MAX_TRIES = 8
_BASE_BACKOFF_SECONDS = 0.05
_NOT_RETRYABLE = (Outcome.REJECTED, Outcome.ABANDONED, Outcome.ANSWERED)


class RetryBudget:
    """Retries by class, as a share of first tries.

    When many endpoints fail at once, each failed call would come back up to
    three times, and the endpoints that are left would get a multiple of the
    load just then. One notices a load that stays up after the fault is over.
    With a budget, retries add at most 8% to the load.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def deposit(self, klass: str) -> None:
        """Notes a first try."""
        tokens = self.tokens.get(klass, _INITIAL_TOKENS) + _RETRY_RATIO
        self.tokens[klass] = min(tokens, _MAX_TOKENS)

    def try_withdraw(self, klass: str) -> bool:
        """Takes one retry; False if none is left."""
        tokens = self.tokens.get(klass, _INITIAL_TOKENS)
        if tokens < 1:
            return False
        self.tokens[klass] = tokens - 1
        return True


def should_retry(work: Work, outcome: Outcome, now: float) -> bool:
    """Whether another try may help, budget aside."""
    return (
        outcome not in _NOT_RETRYABLE
        and work.runs < _MAX_RUNS
        and len(work.tried) < _MAX_TRIES
        and work.remaining_seconds(now) > 0
    )


def backoff_seconds(tries: int, rng: random.Random) -> float:
    """Returns how long to wait before another try, with jitter."""
    return (
        rng.uniform(0.5, 1.5) * _BASE_BACKOFF_SECONDS * 2 ** max(0, tries - 1)
    )
