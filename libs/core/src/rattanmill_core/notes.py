"""What instances tell each other about endpoints and crashing requests."""

import enum

import msgspec


class Sign(enum.StrEnum):
    """What made an endpoint's state change."""

    LISTED = "listed"
    UNLISTED = "unlisted"
    DRAINING = "draining"
    REFUSED = "refused"
    SILENT = "silent"
    STALLED = "stalled"
    FAILING = "failing"
    RETURNED = "returned"


class Aspect(enum.StrEnum):
    """Which question about an endpoint is answered.

    ``DEPARTURE``: whether it is leaving, which the endpoint or the platform
    says and which is the same for everybody. ``REACH``: whether it does its
    work when called from one failure domain; another domain may find
    otherwise while the two are cut off from each other.
    """

    DEPARTURE = "departure"
    REACH = "reach"


class EndpointNote(msgspec.Struct, frozen=True):
    """An endpoint was closed to new work, or opened again.

    Attributes:
        endpoint: Name of the endpoint.
        aspect: What the note is about.
        generation: Grows with each change; a note with a lower one is stale.
        closed: Whether it gets no new work.
        sign: What was seen.
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
        request: First of the fingerprints of the same request.
    """

    fingerprint: bytes
    endpoint: str
    at: int
    request: bytes = b""
