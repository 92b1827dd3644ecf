"""Exceptions: invalid settings, invalid usage and broken invariants.

Outcomes of requests are values (see ``refusal``); only these exceptions stop
a process. Each has its own exit code, listed in docs/operators/cli.md.
"""


class RattanmillError(Exception):
    """Base class of all rattanmill exceptions.

    Attributes:
        exit_code: Exit code of a process that stops on this error.
        message: One or more lines for the person who started the process.
    """

    exit_code = 1

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class UsageError(RattanmillError):
    """A command received invalid arguments."""

    exit_code = 2


class SettingsError(RattanmillError):
    """A settings or configuration file is missing, unreadable or invalid."""

    exit_code = 3


class UnreachableError(RattanmillError):
    """The instance that a command connects to did not reply."""

    exit_code = 4


class RefusedError(RattanmillError):
    """An instance refused the request of a command."""

    exit_code = 5


class ConflictError(RefusedError):
    """Another operator's change was applied first."""

    exit_code = 6


class NotReachedError(RattanmillError):
    """A change was accepted, but is not yet in force on every instance."""

    exit_code = 7


class InvariantError(RattanmillError):
    """The process detected an impossible state and must stop."""

    exit_code = 70
