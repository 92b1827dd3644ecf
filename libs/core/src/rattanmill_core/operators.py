"""Answers of the operators' interface, as instances and commands share them."""

import msgspec


class EndpointStatus(msgspec.Struct):
    """An endpoint as one instance sees it."""

    name: str
    kind: str
    service: str
    domain: str
    state: str
    in_flight: int
    models: list[str]


class PeerStatus(msgspec.Struct):
    """An instance as another one knows it.

    Attributes:
        name: Name.
        domain: Failure domain.
        http: Address for callers and operators.
        registered: Whether its lease is held, as far as is known.
        config_number: Configuration it last said to have in force; None if
            it was not heard since the answering instance started.
        heard_seconds: Time since it was last heard, or None.
    """

    name: str
    domain: str
    http: str
    registered: bool
    config_number: int | None = None
    heard_seconds: float | None = None


class InstanceStatus(msgspec.Struct):
    """What an instance answers to ``GET /v1/admin/status``.

    Attributes:
        name: Name.
        domain: Failure domain.
        incarnation: Random id of this run of the process.
        config_number: Number of the configuration in force here.
        lease: ``held``, ``outage`` (held on its peers' word) or ``lapsed``.
        draining: Whether it is shutting down.
        shards: Shards it owns.
        programs: Programs it holds.
        instances: All instances it knows, itself among them.
        owners: Owner of each shard, by failure domain.
    """

    name: str
    domain: str
    incarnation: str
    config_number: int
    lease: str
    draining: bool
    shards: list[str]
    programs: int
    instances: list[PeerStatus]
    owners: dict[str, list[str]]


class ConfigReach(msgspec.Struct):
    """Which instances have a configuration in force.

    Attributes:
        number: Number asked about.
        in_force: Names of instances that have it or a later one.
        not_reached: The others, with what is known of them.
    """

    number: int
    in_force: list[str]
    not_reached: list[PeerStatus]


class HistoryEntry(msgspec.Struct):
    """One accepted change of the configuration.

    Attributes:
        number: Number it was given.
        change: Its unique change id.
        operator: Who made it, by their own account.
        applied: When it was accepted, in seconds since the epoch.
    """

    number: int
    change: str
    operator: str
    applied: float
