"""Identifiers of programs, calls and changes."""

import secrets

import msgspec

_RANDOM_BYTES = 12


class ProgramId(msgspec.Struct, frozen=True):
    """Id of a program, which includes the shard that owns it.

    Attributes:
        domain: Failure domain in which the program was created.
        shard: Shard number within the domain.
        token: Unguessable random part.
    """

    domain: str
    shard: int
    token: str

    def __str__(self) -> str:
        return f"{self.domain}.{self.shard}.{self.token}"


def parse_program_id(text: str) -> ProgramId | None:
    """Parses a program id; returns None if ``text`` is not valid."""
    parts = text.split(".")
    if len(parts) != 3 or not all(parts) or not parts[1].isdecimal():
        return None
    if len(text) > 128 or not parts[2].isalnum():
        return None
    return ProgramId(parts[0], int(parts[1]), parts[2])


def new_id() -> str:
    """Returns a random id of 24 hexadecimal digits."""
    return secrets.token_hex(_RANDOM_BYTES)
