"""The operators' configuration document: work classes and their targets.

One versioned document holds all settings that operators control. It is stored
in the key-value service and replaced as a whole by compare-and-swap.
"""

from typing import Annotated

import msgspec

from rattanmill_core.checks import read_struct
from rattanmill_core.decoding import DECODE_ERRORS

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9-]{0,62}\Z",
        description="1 to 63 lower-case letters, digits and dashes",
    ),
]
Amount = Annotated[int, msgspec.Meta(ge=1)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
Percent = Annotated[float, msgspec.Meta(gt=0, le=100)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Shards = Annotated[int, msgspec.Meta(ge=1, le=256)]
ChangeId = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9_-]{0,64}\Z",
        description="at most 64 letters, digits, dashes and underscores",
    ),
]
Operator = Annotated[str, msgspec.Meta(max_length=64)]
EndpointName = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class WorkClass(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A class of work, with its target and limits.

    Attributes:
        target_seconds: Target latency of a whole program, in seconds.
        target_percent: Percentage of programs that should finish within
            ``target_seconds``.
        wasted_cache_share: Maximum fraction of prompt tokens that are
            recomputed.
        max_turns: Maximum number of turns of one program.
        max_tokens: Maximum number of tokens of one program.
        max_seconds: Maximum lifetime of one program, in seconds.
        max_repeats: Maximum number of consecutive identical calls.
    """

    target_seconds: Seconds = 60.0
    target_percent: Percent = 95.0
    wasted_cache_share: Share = 0.2
    max_turns: Amount = 430
    max_tokens: Amount = 5_000_000
    max_seconds: Seconds = 86_400.0
    max_repeats: Amount = 20


class DomainPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Number of shards among which a domain's programs are divided."""

    shards: Shards = 6


class ConfigDocument(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration.

    Attributes:
        number: Version, incremented by one with each accepted change.
        change: Unique id of the change that produced this document.
        operator: Self-declared name of the operator who made the change.
        applied: Time of acceptance, in seconds since the epoch.
        classes: Work classes by name.
        default_class: Class of calls that specify none.
        domains: Failure domains by name.
        drained: Names of endpoints that receive no new work.
    """

    number: Annotated[int, msgspec.Meta(ge=0)] = 0
    change: ChangeId = ""
    operator: Operator = ""
    applied: float = 0.0
    classes: dict[Name, WorkClass] = msgspec.field(
        default_factory=lambda: {"default": WorkClass()}
    )
    default_class: str = "default"
    domains: dict[Name, DomainPlan] = msgspec.field(default_factory=dict)
    drained: list[EndpointName] = msgspec.field(default_factory=list)


def default_config(domains: list[str]) -> ConfigDocument:
    """Returns the document in force until operators apply one."""
    return ConfigDocument(domains={name: DomainPlan() for name in domains})


def encode_config(document: ConfigDocument) -> bytes:
    """Encodes the document as JSON."""
    return msgspec.json.encode(document)


def decode_config(data: bytes) -> ConfigDocument | list[str]:
    """Decodes a JSON document; returns it, or all errors in ``data``."""
    try:
        plain = msgspec.json.decode(data)
    except DECODE_ERRORS as error:
        return [f"not JSON: {error}"]
    return read_config(plain)


def read_config(plain: object) -> ConfigDocument | list[str]:
    """Converts plain tables to a document and checks it.

    Args:
        plain: Tables, lists and values, as read from JSON or TOML.

    Returns:
        The document, or one message for each error.
    """
    read = read_struct(plain, ConfigDocument)
    return read if isinstance(read, list) else check_config(read) or read


def check_config(document: ConfigDocument) -> list[str]:
    """Returns a message for each value that is inconsistent with others."""
    if document.default_class in document.classes:
        return []
    names = ", ".join(sorted(document.classes)) or "(there are none)"
    return [
        f"default_class: '{document.default_class}' is not in classes;"
        f" allowed: {names}"
    ]
