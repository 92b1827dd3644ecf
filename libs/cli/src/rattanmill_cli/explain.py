"""``rattanmill explain``: the timeline of a request or program."""

import datetime

import msgspec

from rattanmill_cli.causes import causes
from rattanmill_cli.lines import describe
from rattanmill_cli.output import print_json
from rattanmill_cli.story import Timeline, build_timeline
from rattanmill_core import UsageError


class ExplainOutput(msgspec.Struct):
    """A timeline as ``--json`` prints it.

    Attributes:
        lines: Log lines in order of corrected time.
        skews: Clocks known to be behind.
        unreadable: Lines that could not be read.
        causes: How it ended and why.
    """

    lines: list
    skews: list
    unreadable: int
    causes: list[str]


def explain(ident: str, *files: str, json: bool = False) -> None:
    """Explain what happened to a request, turn or program, from logs.

    Needs no running system. Prints the lines of all instances in order of
    time, events of the participants, and the cause last.

    Args:
        ident: Id of a request, turn or program.
        files: Log files of all instances.
        json: Print JSON.
    """
    if not files:
        raise UsageError("explain: name the log files of the instances")
    timeline = build_timeline(ident, files)
    if not timeline.own:
        raise UsageError(f"{ident}: not in these {len(files)} files")
    if json:
        lines = timeline.lines
        print_json(
            ExplainOutput(
                lines, timeline.skews, timeline.unreadable, causes(timeline)
            )
        )
        return
    _print(timeline)


def _print(timeline: Timeline) -> None:
    start = timeline.lines[0].time
    at = datetime.datetime.fromtimestamp(start, datetime.UTC)
    print(f"From {at.isoformat(timespec='milliseconds')}:")
    for line in timeline.lines:
        print(f"{line.time - start:8.3f}  {describe(line)}")
    print()
    for skew in timeline.skews:
        print(
            f"The clock of {skew.behind} is behind that of {skew.ahead} by"
            f" {skew.seconds:.3f} s or more; its lines stand so much later."
        )
    if timeline.unreadable:
        print(f"{timeline.unreadable} lines could not be read.")
    for sentence in causes(timeline):
        print(sentence)
