"""Typed messages between instances, and the connections that carry them."""

from typing import TYPE_CHECKING

from rattanmill_core import import_on_use
from rattanmill_wire.requests import (
    Codec,
    Encoded,
    RequestLink,
    RequestServer,
    ServerLimits,
    kind_of,
)

if TYPE_CHECKING:
    from rattanmill_wire.messages import (
        CallCancel,
        CallCredit,
        CallKind,
        CallStart,
        ConfigAsk,
        ConfigTell,
        EndpointNotes,
        Heartbeat,
        Message,
        PinsHeld,
        ReplyChunk,
        ReplyEnd,
        ReplyHead,
        ReplyRefused,
        decode_message,
        encode_message,
    )
    from rattanmill_wire.peers import PeerHub, PeerSecret, load_secret

__all__ = [
    "CallCancel",
    "CallCredit",
    "CallKind",
    "CallStart",
    "Codec",
    "ConfigAsk",
    "ConfigTell",
    "Encoded",
    "EndpointNotes",
    "Heartbeat",
    "Message",
    "PeerHub",
    "PeerSecret",
    "PinsHeld",
    "ReplyChunk",
    "ReplyEnd",
    "ReplyHead",
    "ReplyRefused",
    "RequestLink",
    "RequestServer",
    "ServerLimits",
    "decode_message",
    "encode_message",
    "kind_of",
    "load_secret",
]

__getattr__ = import_on_use(
    __name__,
    {
        "messages": (
            "CallCancel",
            "CallCredit",
            "CallKind",
            "CallStart",
            "ConfigAsk",
            "ConfigTell",
            "EndpointNotes",
            "Heartbeat",
            "Message",
            "PinsHeld",
            "ReplyChunk",
            "ReplyEnd",
            "ReplyHead",
            "ReplyRefused",
            "decode_message",
            "encode_message",
        ),
        "peers": (
            "PeerHub",
            "PeerSecret",
            "load_secret",
        ),
    },
)
