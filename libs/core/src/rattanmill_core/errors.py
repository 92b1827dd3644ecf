"""The exception tree: wrong settings, wrong usage and broken invariants.

Outcomes of requests are values (see ``refusal``); only these stop a process.
Each has an exit code of its own, which docs/operators/cli.md lists.
"""


class RattanmillError(Exception):
    """Root of the tree.

    Attributes:
        exit_code: What a process that stops on this error exits with.
        message: One or more lines for the person who started the process.
    """

    exit_code = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class UsageError(RattanmillError):
    """A command was given arguments that it cannot work with."""

    exit_code = 2


class SettingsError(RattanmillError):
    """A settings or configuration file is missing, unreadable or wrong."""

    exit_code = 3


class UnreachableError(RattanmillError):
    """No answer came from the instance that a command talks to."""

    exit_code = 4


class RefusedError(RattanmillError):
    """An instance refused what a command asked."""

    exit_code = 5


class ConflictError(RefusedError):
    """Another operator's change came first."""

    exit_code = 6


class NotReachedError(RattanmillError):
    """A change was accepted, but is not yet in force on every instance."""

    exit_code = 7


class InvariantError(RattanmillError):
    """The process found its own state to be impossible and must stop."""

    exit_code = 70
