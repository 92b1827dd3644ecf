"""Typed messages between instances and the links that carry them."""

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
    "ConfigAsk",
    "ConfigTell",
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
    "decode_message",
    "encode_message",
    "load_secret",
]
