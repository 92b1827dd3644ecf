"""``rattanmill explain``: the story of one request or program."""

import datetime

import msgspec

from rattanmill_cli.causes import causes
from rattanmill_cli.lines import describe
from rattanmill_cli.output import print_json
from rattanmill_cli.story import Story, tell
from rattanmill_core import UsageError


class Told(msgspec.Struct):
    """A story as ``--json`` prints it.

    Attributes:
        lines: As the instances wrote them, in order.
        skews: Clocks that cannot be right.
        unreadable: Lines that could not be read.
        causes: How it ended and why.
    """

    lines: list
    skews: list
    unreadable: int
    causes: list[str]


def explain(ident: str, *files: str, json: bool = False) -> None:
    """Tell what happened to a request, turn or program, from logs.

    Needs no running system. Lines of all instances in order of time, what
    befell those who took part, and the cause last.

    Args:
        ident: Id of a request, turn or program.
        files: Logs of the instances, all that there are.
        json: Print JSON.
    """
    if not files:
        raise UsageError("explain: name the log files of the instances")
    story = tell(ident, files)
    if not story.own:
        raise UsageError(f"{ident}: not in these {len(files)} files")
    if json:
        lines = story.lines
        print_json(Told(lines, story.skews, story.unreadable, causes(story)))
        return
    _print(story)


def _print(story: Story) -> None:
    start = story.lines[0].time
    at = datetime.datetime.fromtimestamp(start, datetime.UTC)
    print(f"From {at.isoformat(timespec='milliseconds')}:")
    for line in story.lines:
        print(f"{line.time - start:8.3f}  {describe(line)}")
    print()
    for skew in story.skews:
        print(
            f"The clock of {skew.behind} is behind that of {skew.ahead} by"
            f" {skew.seconds:.3f} s or more; its lines stand so much later."
        )
    if story.unreadable:
        print(f"{story.unreadable} lines could not be read.")
    for sentence in causes(story):
        print(sentence)
