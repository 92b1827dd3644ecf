"""The operators' configuration document: classes of work and their targets.

One versioned document holds everything that operators decide. It is kept in
the key-value service and replaced as a whole by compare-and-swap.
"""

import msgspec

_NAME = r"^[a-z0-9][a-z0-9-]{0,62}$"
Name = msgspec.Meta(pattern=_NAME)


class WorkClass(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A class of work and the target operators state for it.

    Attributes:
        target_seconds: Target for the latency of a whole program.
        target_percent: Share of programs that should finish within it.
        wasted_cache_share: Highest share of prompt tokens computed again.
        max_turns: Most turns of one program.
        max_tokens: Most tokens of one program.
        max_seconds: Longest life of one program.
        max_repeats: How often in a row the same call may be made.
    """

    target_seconds: float = msgspec.field(default=60.0)
    target_percent: float = 95.0
    wasted_cache_share: float = 0.2
    max_turns: int = 430
    max_tokens: int = 5_000_000
    max_seconds: float = 86_400.0
    max_repeats: int = 20


class DomainPlan(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Number of shards into which a failure domain's programs fall."""

    shards: int = 6


class ConfigDocument(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """The whole configuration.

    Attributes:
        number: Grows by one with each accepted change.
        change: Unique id of the change that made this document.
        classes: Classes of work by name.
        default_class: Class of calls that name none.
        domains: Failure domains by name.
        drained: Names of endpoints that take no new work.
    """

    number: int = 0
    change: str = ""
    classes: dict[str, WorkClass] = msgspec.field(
        default_factory=lambda: {"default": WorkClass()}
    )
    default_class: str = "default"
    domains: dict[str, DomainPlan] = msgspec.field(default_factory=dict)
    drained: list[str] = msgspec.field(default_factory=list)


def default_config(domains: list[str]) -> ConfigDocument:
    """Returns the document in force before operators have applied one."""
    return ConfigDocument(domains={name: DomainPlan() for name in domains})


def encode_config(document: ConfigDocument) -> bytes:
    """Returns the JSON form."""
    return msgspec.json.encode(document)


def decode_config(data: bytes) -> ConfigDocument | list[str]:
    """Returns the document, or every error found in ``data``."""
    try:
        document = msgspec.json.decode(data, type=ConfigDocument)
    except msgspec.DecodeError as error:
        return [str(error)]
    errors = check_config(document)
    return errors or document


def check_config(document: ConfigDocument) -> list[str]:
    """Returns a sentence for each value that is out of its range."""
    errors = [
        f"classes.{name}.{field}: {value} is not above 0"
        for name, klass in document.classes.items()
        for field, value in msgspec.structs.asdict(klass).items()
        if value <= 0
    ]
    errors += [
        f"classes.{name}.{field}: {getattr(klass, field)} is above {most}"
        for name, klass in document.classes.items()
        for field, most in (("target_percent", 100), ("wasted_cache_share", 1))
        if getattr(klass, field) > most
    ]
    errors += [
        f"domains.{name}.shards: {plan.shards} is not in 1 to 256"
        for name, plan in document.domains.items()
        if not 1 <= plan.shards <= 256
    ]
    if document.default_class not in document.classes:
        errors.append(
            f"default_class: '{document.default_class}' is not in classes"
        )
    return errors
