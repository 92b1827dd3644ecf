"""Soaks by hand: ``python -m soak --seeds 50``."""

import concurrent.futures
import functools
import random
import sys

import defopt

from soak.plan import Scale, draw_plan
from soak.runs import Outcome, soak

# Each run has this many views of the others' addresses.
_STEP = 3
_NUMBERS = 20


def main(
    *,
    seeds: int = 10,
    first: int = 0,
    seconds: float = 25.0,
    fronts: int = 1,
    keepers: int = 1,
    callers: int = 6,
    jobs: int = 2,
    keep: str = "var/soak",
    plan: bool = False,
) -> int:
    """Runs seeds and prints what each showed; returns the exit code.

    Args:
        seeds: How many seeds.
        first: The first seed; 0 draws one.
        seconds: How long faults come in each.
        fronts: Fronts in each of three failure domains.
        keepers: Storage instances in each.
        callers: Programs at a time.
        jobs: Runs at once.
        keep: Folder for the logs of seeds that showed something wrong.
        plan: Whether the faults are printed and nothing is run.
    """
    first = first or random.SystemRandom().randrange(1, 1_000_000)
    scale = Scale(seconds, fronts, keepers, callers)
    chosen = range(first, first + seeds)
    if plan:
        for seed in chosen:
            print(seed, *draw_plan(seed, scale), sep="\n  ")
        return 0
    run = functools.partial(_run, scale=scale, keep=keep)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        failed = [o for o in pool.map(run, enumerate(chosen)) if not _tell(o)]
    print(f"{len(chosen) - len(failed)} seeds held, {len(failed)} did not")
    return 1 if failed else 0


def _run(numbered: tuple[int, int], scale: Scale, keep: str) -> Outcome:
    index, seed = numbered
    number = 1 + _STEP * (index % _NUMBERS)
    return soak(seed, scale, number, keep)


def _tell(outcome: Outcome) -> bool:
    verdict = "broke" if outcome.wrong else "held"
    print(f"seed {outcome.seed} {verdict}: {outcome.faults} faults,", end=" ")
    print(f"{outcome.resumed} resumed,", outcome.counts, flush=True)
    for line in outcome.wrong:
        print("   ", line[:1000], flush=True)
    return not outcome.wrong


if __name__ == "__main__":
    sys.exit(defopt.run(main))
