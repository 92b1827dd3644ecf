"""Measures the slopes and writes docs/CAPACITY.md's tables.

Usage: python -m bench.capacity [--page] [MEASURE ...]

With ``--page`` nothing is measured; the tables are written from the data.
"""

import datetime
import pathlib
import platform
import sys

import msgspec

from bench.capacity.fit import Slope
from bench.capacity.measures import measures
from bench.capacity.page import write_page

DATA = pathlib.Path("bench/results/capacity.json")


class Run(msgspec.Struct):
    """When and where a measure ran, and what it found."""

    date: str
    machine: str
    slopes: list[Slope]


def load(path: pathlib.Path = DATA) -> dict[str, Run]:
    """Returns the stored runs by measure."""
    if not path.exists():
        return {}
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Run])


def main() -> None:
    """Runs the measures named, or all, and writes data and page."""
    runs = load()
    names = [name for name in sys.argv[1:] if not name.startswith("--")]
    for measure in measures() if "--page" not in sys.argv else ():
        if names and measure.name not in names:
            continue
        print(f"{measure.name} ...", flush=True)
        now = datetime.datetime.now(datetime.UTC)
        slopes = measure.run()
        date = now.strftime("%Y-%m-%d %H:%M")
        runs[measure.name] = Run(date, platform.machine(), slopes)
        for slope in slopes:
            print(f"  {slope.name}: {slope.slope:.4g} {slope.y} per {slope.x}")
        DATA.parent.mkdir(exist_ok=True)
        DATA.write_bytes(msgspec.json.format(msgspec.json.encode(runs)))
    write_page(slopes_by_name(runs), {n: run.date for n, run in runs.items()})


def slopes_by_name(runs: dict[str, Run]) -> dict[str, Slope]:
    """Returns all slopes by name."""
    return {slope.name: slope for run in runs.values() for slope in run.slopes}


if __name__ == "__main__":
    main()
