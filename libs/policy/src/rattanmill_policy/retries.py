"""Limits how often calls are retried."""

import random

from rattanmill_policy.outcome import Outcome
from rattanmill_policy.work import Work

_RETRY_RATIO = 0.08
_INITIAL_TOKENS = 10.0
_MAX_TOKENS = 10.0
_MAX_RUNS = 3
# An unreachable endpoint costs a call only time, so it does not count as a run.
# If it did, three unreachable endpoints would fail a call that has not run
# anywhere while other endpoints are idle, and the caller would see a refusal.
_MAX_TRIES = 8
_BASE_BACKOFF_SECONDS = 0.05
_NOT_RETRYABLE = (Outcome.REJECTED, Outcome.ABANDONED, Outcome.ANSWERED)


class RetryBudget:
    """Retry budget by class, as a fraction of first tries.

    When many endpoints fail at once, each failed call could be retried up to
    three times and multiply the load on the remaining endpoints. The sign of
    this is a load that stays high after the fault is over. With the budget,
    retries add at most 8% to the load.
    """

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def deposit(self, klass: str) -> None:
        """Records a first try."""
        tokens = self.tokens.get(klass, _INITIAL_TOKENS) + _RETRY_RATIO
        self.tokens[klass] = min(tokens, _MAX_TOKENS)

    def try_withdraw(self, klass: str) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        tokens = self.tokens.get(klass, _INITIAL_TOKENS)
        if tokens < 1:
            return False
        self.tokens[klass] = tokens - 1
        return True


def should_retry(work: Work, outcome: Outcome, now: float) -> bool:
    """Returns whether another try may succeed, regardless of the budget."""
    return (
        outcome not in _NOT_RETRYABLE
        and work.runs < _MAX_RUNS
        and len(work.tried) < _MAX_TRIES
        and work.remaining_seconds(now) > 0
    )


def backoff_seconds(tries: int, rng: random.Random) -> float:
    """Returns the exponential backoff before another try, with jitter."""
    return (
        rng.uniform(0.5, 1.5) * _BASE_BACKOFF_SECONDS * 2 ** max(0, tries - 1)
    )
