"""Notes that instances exchange on endpoints and crashing requests."""

import enum

import msgspec


class Sign(enum.StrEnum):
    """Cause of a change in an endpoint's state."""

    LISTED = "listed"
    UNLISTED = "unlisted"
    DRAINING = "draining"
    REFUSED = "refused"
    SILENT = "silent"
    STALLED = "stalled"
    FAILING = "failing"
    RETURNED = "returned"


class Aspect(enum.StrEnum):
    """Aspect of an endpoint's state that a note describes.

    ``DEPARTURE``: whether it is leaving, as reported by the endpoint or the
    platform; this is the same for all instances. ``REACH``: whether it works
    when called from one failure domain; the result may differ in another
    domain during a partition between the two.
    """

    DEPARTURE = "departure"
    REACH = "reach"


class EndpointNote(msgspec.Struct, frozen=True):
    """An endpoint was closed to new work, or opened again.

    Attributes:
        endpoint: Name of the endpoint.
        aspect: Aspect that the note describes.
        generation: Increases with each change; a note with a lower
            generation is stale.
        closed: Whether the endpoint is closed to new work.
        sign: Cause of the change.
    """

    endpoint: str
    aspect: Aspect
    generation: int
    closed: bool
    sign: Sign


class CrashNote(msgspec.Struct, frozen=True):
    """A request was in flight when an endpoint crashed, or has finished.

    Attributes:
        fingerprint: Digest of the request.
        endpoint: The endpoint that crashed; empty for a finished run.
        at: Time in milliseconds since the epoch.
        request: First fingerprint of the same request.
    """

    fingerprint: bytes
    endpoint: str
    at: int
    request: bytes = b""
