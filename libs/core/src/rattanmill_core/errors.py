"""The exception tree: wrong settings, wrong usage and broken invariants.

Outcomes of requests are values (see ``refusal``); only these stop a process.
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
    """A settings file is missing, unreadable or has wrong values."""

    exit_code = 3


class InvariantError(RattanmillError):
    """The process found its own state to be impossible and must stop."""

    exit_code = 70
