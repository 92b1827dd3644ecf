"""Settings that the processes of an instance share."""

import msgspec


class RateBounds(msgspec.Struct, frozen=True):
    """By how much a workspace's rate limit may be exceeded.

    In any window, at most rate times window plus burst requests may run, plus
    the overage and the slack.

    Attributes:
        window_seconds: Length of the window.
        overage: Permitted part beyond that.
        slack: Permitted number of requests beyond that.
    """

    window_seconds: float = 1.0
    overage: float = 0.0
    slack: float = 0.0


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a front end or storage process, from any source.

    Attributes:
        name: Name of this instance.
        domain: Failure domain of this instance.
        ip: IP address of this instance.
        store: ``IP:PORT`` of the platform store.
        peer: ``IP:PORT`` for requests from other instances.
        callers: ``IP:PORT`` for callers, or empty.
        readiness: ``IP:PORT`` for the load balancer's readiness check, or
            empty.
        data_folder: Folder on the local disk, or empty.
        first_start: Whether this is the first start of the whole system.
        lost_disks: Number of disks that may fail at once without data loss.
        grace_seconds: Time between SIGTERM and SIGKILL.
        revocation_seconds: Time after which no caller's key that the operators
            have revoked may be accepted any more, or None if it is unbounded.
        value_bytes: Maximum size of a value in the platform store.
        rate_bounds: By how much rate limits of workspaces may be exceeded.
        memory_bytes: Memory of the machine that this process may use.
        max_descriptors: Maximum number of open descriptors.
        disk_bytes: Size of the disk, or None if it is not known.
    """

    name: str
    domain: str
    ip: str
    store: str
    peer: str
    callers: str = ""
    readiness: str = ""
    data_folder: str = ""
    first_start: bool = False
    lost_disks: int = 1
    grace_seconds: float = 8.0
    revocation_seconds: float | None = None
    value_bytes: int = 1024 * 1024
    rate_bounds: RateBounds = RateBounds()
    memory_bytes: int = 256 * 1024 * 1024
    max_descriptors: int = 4096
    disk_bytes: int | None = None
