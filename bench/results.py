"""Writes the measured parts of a page between their markers."""

import datetime
import pathlib


def write_section(page: pathlib.Path, name: str, text: str) -> None:
    """Replaces a section of a page.

    Args:
        page: Page that has the markers ``<!-- NAME begin -->`` and ``end``.
        name: Name of the section.
        text: New text of the section.
    """
    old = page.read_text(encoding="utf-8")
    page.write_text(replace_section(old, name, text), encoding="utf-8")


def report(
    page: pathlib.Path,
    name: str,
    began: datetime.datetime,
    details: str,
    text: str,
) -> None:
    """Prints what ``python -m bench.NAME`` found and writes its section."""
    print(text)
    note = f"`python -m bench.{name}`, {began:%Y-%m-%d %H:%M} UTC, {details}."
    write_section(page, name, f"{note}\n\n{text}")


def replace_section(page: str, name: str, text: str) -> str:
    """Returns a page's text with one section replaced."""
    begin, end = f"<!-- {name} begin -->", f"<!-- {name} end -->"
    before, rest = page.split(begin, 1)
    _, after = rest.split(end, 1)
    return f"{before}{begin}\n{text}\n{end}{after}"
