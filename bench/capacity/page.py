"""Writes the tables of docs/CAPACITY.md between their markers."""

import pathlib

from bench.capacity.fit import Slope
from bench.capacity.model import Row, rows
from bench.results import replace_section

PAGE = pathlib.Path("docs/CAPACITY.md")
_SLOPES = "slopes"
_TARGET = "target"


def write_page(slopes: dict[str, Slope], dates: dict[str, str]) -> None:
    """Replaces the tables of the page."""
    text = PAGE.read_text(encoding="utf-8")
    PAGE.write_text(filled(text, slopes, dates), encoding="utf-8")


def filled(text: str, slopes: dict[str, Slope], dates: dict[str, str]) -> str:
    """Returns the page's text with its tables made from the data."""
    text = replace_section(text, _SLOPES, _slope_table(slopes, dates))
    return replace_section(text, _TARGET, _target_table(rows(slopes)))


def _slope_table(slopes: dict[str, Slope], dates: dict[str, str]) -> str:
    lines = [
        "| slope | varied | measured | points | per unit | at 0 | residual |",
        "|---|---|---|---|---|---|---|",
    ]
    for s in slopes.values():
        points = ", ".join(f"{x:.4g}: {y:.4g}" for x, y in s.points)
        lines.append(
            f"| {s.name} | {s.x} | {s.y} | {points} | {s.slope:.3g}"
            f" | {s.offset:.3g} | {s.residual:.0%} |"
        )
    runs = ", ".join(f"{name} {date}" for name, date in dates.items())
    lines += ["", f"Runs (UTC): {runs}."]
    return "\n".join(lines)


def _target_table(found: list[Row]) -> str:
    lines = [
        "| role | quantity | at the target | limit | from slope | verdict |",
        "|---|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.role} | {row.quantity} | {row.value:.3g}"
        f" | {f'{row.limit:.3g}' if row.limit else '-'} | {row.slope}"
        f" | {row.verdict} |"
        for row in found
    ]
    return "\n".join(lines)
