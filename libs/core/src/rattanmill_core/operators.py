"""Responses of the operator API, shared by instances and commands."""

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
    """An instance as another one sees it.

    Attributes:
        name: Name.
        domain: Failure domain.
        http: Address for callers and operators.
        registered: Whether its lease is held, as far as known.
        config_number: Number of the configuration in force that it last
            reported; None if the responding instance has received no
            heartbeat from it since its own start.
        heard_seconds: Seconds since its last heartbeat, or None.
    """

    name: str
    domain: str
    http: str
    registered: bool
    config_number: int | None = None
    heard_seconds: float | None = None


class InstanceStatus(msgspec.Struct):
    """Response of an instance to ``GET /v1/admin/status``.

    Attributes:
        name: Name.
        domain: Failure domain.
        incarnation: Random id of this run of the process.
        config_number: Number of the configuration in force here.
        lease: ``held``, ``outage`` (held by confirmation of its peers during
            an outage of the store) or ``lapsed``.
        draining: Whether it is shutting down.
        shards: Shards it owns.
        programs: Number of programs it holds.
        instances: All instances it knows, including itself.
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
        number: Number of the configuration requested.
        in_force: Names of instances that have it or a later one.
        not_reached: The other instances, with their last known state.
    """

    number: int
    in_force: list[str]
    not_reached: list[PeerStatus]


class HistoryEntry(msgspec.Struct):
    """One accepted change of the configuration.

    Attributes:
        number: Number assigned to the configuration.
        change: Unique id of the change.
        operator: Self-declared name of the operator who made it.
        applied: Time of acceptance, in seconds since the epoch.
    """

    number: int
    change: str
    operator: str
    applied: float
