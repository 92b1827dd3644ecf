"""What a process of the system learns from its settings."""

import msgspec


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a front or storage process, whatever file they come from.

    Attributes:
        name: Name of this instance.
        domain: Its failure domain.
        ip: Its address.
        store: ``IP:PORT`` of the platform's store.
        peer: ``IP:PORT`` for requests of other instances.
        callers: ``IP:PORT`` for callers, or empty.
        readiness: ``IP:PORT`` for the balancer's question, or empty.
        data_folder: Folder on its disk, or empty.
        first_start: Whether the whole system starts for the first time.
        lost_disks: Disks that may be lost at once without loss of data.
        grace_seconds: Time between SIGTERM and SIGKILL.
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
