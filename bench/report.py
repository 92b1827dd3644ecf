"""Writes the tables of docs/MEASUREMENTS.md from a data file."""

import collections
import math
import pathlib
import statistics
from collections.abc import Callable

from bench.cells import CellResult, Run

_PAGE = pathlib.Path("docs/MEASUREMENTS.md")
_BEGIN = "<!-- tables: begin -->"
_END = "<!-- tables: end -->"
_Cells = list[CellResult]
_BUSY_LOAD = 2.0

_COLUMNS: dict[str, Callable[[CellResult], float]] = {
    "p50 s": lambda r: r.p50 if r.finished else math.nan,
    "p95 s": lambda r: r.p95 if r.finished else math.nan,
    "p99 s": lambda r: r.p99 if r.finished else math.nan,
    "within target": lambda r: r.within,
    "goodput /s": lambda r: r.goodput,
    "wasted cache": lambda r: r.wasted,
    "same engine": lambda r: r.wasted_same,
    "retries": lambda r: r.retries,
    "refused": lambda r: r.refused / max(1, r.offered),
    "abandoned": lambda r: r.abandoned / max(1, r.offered),
}


def write_report(run: Run) -> None:
    """Replaces the tables of the page."""
    text = _PAGE.read_text(encoding="utf-8")
    head, rest = text.split(_BEGIN, 1)
    tail = rest.split(_END, 1)[1]
    tables = "\n\n".join([_BEGIN, _preface(run), *_sections(run), _END])
    _PAGE.write_text(head + tables + tail, encoding="utf-8")


def _preface(run: Run) -> str:
    busy = max(result.machine_load for result in run.cells)
    trial = (
        " **Trials: other work ran on the machine.**"
        if busy > _BUSY_LOAD
        else ""
    )
    seeds = sorted({result.cell.seed for result in run.cells})
    capacity = ", ".join(
        f"{name} {rate:.2f}" for name, rate in sorted(run.capacity.items())
    )
    lag = max(result.generator_lag_p99 for result in run.cells)
    generator = max(result.generator_cpu for result in run.cells)
    instance = max(result.busiest_instance for result in run.cells)
    return (
        f"Command `{run.command}`, {run.date}, {run.machine}, seeds"
        f" {', '.join(map(str, seeds))}.{trial} Highest load average before"
        f" a cell {busy:.1f}. Capacity in programs a second: {capacity}."
        f" Load generator: at most {generator:.2f} of a core, its event loop"
        f" late by at most {lag * 1000:.0f} ms at the 99th percentile; the"
        f" busiest instance used {instance:.2f} of a core."
    )


def _sections(run: Run) -> list[str]:
    found = []
    for workload in sorted({result.cell.workload for result in run.cells}):
        cells = [r for r in run.cells if r.cell.workload == workload]
        main = [r for r in cells if _is_main(r)]
        faults = [r for r in cells if r.cell.fault != "none"]
        rules = [r for r in cells if _is_rule(r)]
        if main:
            found += [f"### {workload}: load", _table(main, ("load", "policy"))]
            found += [_goals(main, faults)]
        if faults:
            title = f"### {workload}: faults at 90% of capacity"
            found += [title, _table(faults, ("fault", "policy"))]
        if rules:
            title = f"### {workload}: each rule off, and alone"
            found += [title, _table(rules, ("load", "policy"))]
        found += [f"Refusals by reason, {workload}:", _reasons(cells)]
    return found


def _is_rule(result: CellResult) -> bool:
    return result.cell.policy.startswith(("without-", "only-"))


def _is_main(result: CellResult) -> bool:
    return result.cell.fault == "none" and not _is_rule(result)


def _groups(cells: _Cells, keys: tuple[str, ...]) -> dict[tuple, _Cells]:
    groups: dict[tuple, _Cells] = collections.defaultdict(list)
    for result in cells:
        groups[tuple(getattr(result.cell, key) for key in keys)].append(result)
    return dict(sorted(groups.items()))


def _table(cells: _Cells, keys: tuple[str, ...]) -> str:
    head = [*keys, "runs", *_COLUMNS]
    rows = [
        [
            *map(str, group),
            str(len(results)),
            *(_spread(list(map(f, results))) for f in _COLUMNS.values()),
        ]
        for group, results in _groups(cells, keys).items()
    ]
    return _markdown(head, rows)


def _reasons(cells: _Cells) -> str:
    keys = ("load", "fault", "policy")
    rows = []
    for group, results in _groups(cells, keys).items():
        total: collections.Counter[str] = collections.Counter()
        for result in results:
            total.update(result.refusals)
        shown = ", ".join(f"{k} {v}" for k, v in sorted(total.items()))
        rows.append([*map(str, group), shown or "none"])
    return _markdown([*keys, "refusals, all runs"], rows)


def _markdown(head: list[str], rows: list[list[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _spread(values: list[float]) -> str:
    """Returns the median, and least and most if there are several."""
    if any(map(math.isnan, values)):
        return "none finished"
    middle = f"{statistics.median(values):.3g}"
    if len(values) < 2:
        return middle
    return f"{middle} ({min(values):.3g}-{max(values):.3g})"


def _goals(main: _Cells, faults: _Cells) -> str:
    """Returns the goals that can be told from the cells there are."""
    rows = [
        _ratio_goal(main, "p95 at 90% / naive's", 0.5, lambda r: r.p95),
        _ratio_goal(main, "wasted at 90% / naive's", 0.2, lambda r: r.wasted),
        _overload_goal(main),
        _retry_goal(faults),
        _within_goal(main + faults),
    ]
    found = [row for row in rows if row]
    return _markdown(["goal", "wanted", "measured", "held"], found)


def _median(
    cells: _Cells, policy: str, load: int, value: Callable[[CellResult], float]
) -> float | None:
    found = [
        value(r)
        for r in cells
        if r.cell.policy == policy and r.cell.load == load
    ]
    return statistics.median(found) if found else None


def _ratio_goal(
    cells: _Cells,
    title: str,
    most: float,
    value: Callable[[CellResult], float],
) -> list[str]:
    ours = _median(cells, "rattanmill", 90, value)
    naive = _median(cells, "naive", 90, value)
    if ours is None or not naive:
        return []
    return _goal_row(title, f"at most {most}", ours / naive, naive * most, ours)


def _goal_row(
    title: str, wanted: str, shown: float, most: float, found: float
) -> list[str]:
    return [title, wanted, f"{shown:.3g}", "yes" if found <= most else "NO"]


def _overload_goal(cells: _Cells) -> list[str]:
    full = _median(cells, "rattanmill", 100, lambda r: r.goodput)
    twice = _median(cells, "rattanmill", 200, lambda r: r.goodput)
    if full is None or twice is None:
        return []
    title = "goodput at 200% / at 100%"
    return _goal_row(title, "at least 0.95", twice / full, twice, 0.95 * full)


def _retry_goal(cells: _Cells) -> list[str]:
    ours = [r.retries for r in cells if r.cell.policy == "rattanmill"]
    if not ours:
        return []
    title = "retries per first try, worst fault"
    return _goal_row(title, "under 0.1", max(ours), 0.1, max(ours))


def _within_goal(cells: _Cells) -> list[str]:
    groups = _groups(cells, ("load", "fault", "seed", "policy"))
    gaps = [
        results[0].within - groups[*key[:3], "naive"][0].within
        for key, results in groups.items()
        if key[3] == "rattanmill" and (*key[:3], "naive") in groups
    ]
    if not gaps:
        return []
    title = "within target less naive's, worst cell"
    return _goal_row(title, "never under 0", min(gaps), min(gaps), 0.0)
