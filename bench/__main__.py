"""Runs cells and writes their figures to a data file.

Usage: python -m bench [--quick] [--sets SETS] [CELL ...]

A cell is WORKLOAD/POLICY/LOAD/FAULT/SEED; ``*`` stands for anything. Without
a cell all of the sets run.
"""

import concurrent.futures
import fnmatch
import os
import pathlib
import platform
import sys
import time

import defopt
import msgspec

from bench.cells import FAULTS, Cell, Run, print_result, run_cell
from bench.policies import RULES
from bench.report import write_report
from bench.workloads import WORKLOADS

_SEEDS = (1, 2, 3)
_LOADS = (50, 90, 100, 120, 200)
_FAULT_LOAD = 90
_RULE_LOAD = 120
_RESULTS = pathlib.Path("bench/results")


def main_cells() -> list[Cell]:
    """Returns the policies side by side at each load."""
    return [
        Cell(workload, policy, load, "none", seed)
        for workload in WORKLOADS
        for load in _LOADS
        for policy in ("naive", "least-loaded", "rattanmill")
        for seed in _SEEDS
        if policy != "least-loaded" or load == _FAULT_LOAD
    ]


def fault_cells() -> list[Cell]:
    """Returns ours and the naive policy under each fault."""
    return [
        Cell(workload, policy, _FAULT_LOAD, fault, seed)
        for workload in WORKLOADS
        for fault in FAULTS
        for policy in ("naive", "rattanmill")
        for seed in _SEEDS
    ]


def rule_cells() -> list[Cell]:
    """Returns ours less each rule, and each rule alone."""
    return [
        Cell(workload, f"{kind}-{rule}", _RULE_LOAD, "none", seed)
        for workload in WORKLOADS
        for rule in RULES
        for kind in ("without", "only")
        for seed in _SEEDS
    ]


def quick_cells() -> list[Cell]:
    """Returns the main cells, once each."""
    return [
        Cell(workload, policy, load, "none", 1)
        for workload in WORKLOADS
        for load in (90, 200)
        for policy in ("naive", "rattanmill")
    ]


_SETS = {
    "main": main_cells,
    "faults": fault_cells,
    "rules": rule_cells,
    "quick": quick_cells,
}


def main(
    *patterns: str,
    quick: bool = False,
    sets: str = "main,faults,rules",
    capacity: float = 0.0,
    data: str = "",
    at_once: int = 3,
    report: bool = False,
) -> None:
    """Measures the policies.

    Args:
        patterns: Cells to run; all of the set if none is given.
        quick: Take the main cells once each, a few minutes in all.
        sets: Sets of cells, of main, faults, rules and quick.
        capacity: Programs a second to take as capacity; measured if 0.
        data: Data file; named after the date if not given.
        at_once: Cells to run at a time; each takes about a core and a half.
        report: Only write the page from the data file.
    """
    path = pathlib.Path(
        data or _RESULTS / f"{time.strftime('%Y%m%d-%H%M')}.json"
    )
    if report:
        write_report(msgspec.json.decode(path.read_bytes(), type=Run))
        return
    names = ["quick"] if quick else sets.split(",")
    chosen = [cell for name in names for cell in _SETS[name]()]
    if patterns:
        chosen = [cell for cell in chosen if _matches(cell, patterns)]
    if not chosen:
        sys.exit(f"No cell matches {', '.join(patterns)}.")
    run = _load_run(path)
    for workload in sorted({cell.workload for cell in chosen}):
        if capacity:
            run.capacity[workload] = capacity
        elif workload not in run.capacity:
            run.capacity[workload] = _measure_capacity(workload, at_once)
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        tasks = [
            pool.submit(run_cell, cell, run.capacity[cell.workload])
            for cell in chosen
        ]
        for cell, task in zip(chosen, tasks, strict=True):
            if error := task.exception():
                print(f"{cell.name}: FAILED: {error!r}", flush=True)
                failed += 1
                continue
            print_result(task.result())
            run.cells = [c for c in run.cells if c.cell != cell]
            run.cells.append(task.result())
            path.write_bytes(msgspec.json.format(msgspec.json.encode(run)))
    print(f"Data: {path}; {failed} cells failed")
    if failed:
        sys.exit(1)


def _matches(cell: Cell, patterns: tuple[str, ...]) -> bool:
    return any(fnmatch.fnmatch(cell.name, pattern) for pattern in patterns)


def _load_run(path: pathlib.Path) -> Run:
    if path.exists():
        return msgspec.json.decode(path.read_bytes(), type=Run)
    path.parent.mkdir(parents=True, exist_ok=True)
    return Run(
        " ".join(["python -m bench", *sys.argv[1:]]),
        time.strftime("%Y-%m-%d %H:%M"),
        f"{os.cpu_count()} cores, Python {platform.python_version()}",
        {},
        [],
    )


def _measure_capacity(workload: str, at_once: int) -> float:
    """Returns programs a second with all engines busy, median of seeds."""
    cells = [Cell(workload, "rattanmill", 0, "none", seed) for seed in _SEEDS]
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        results = list(pool.map(run_cell, cells, [0.0] * len(cells)))
    for result in results:
        print_result(result)
    rates = sorted(result.throughput for result in results)
    print(f"Capacity of {workload}: {rates[1]:.2f} programs a second")
    return rates[1]


if __name__ == "__main__":
    defopt.run(main)
