"""Receipts: turns that the caller keeps while the key-value service is away.

A receipt is the whole turn, sealed with a keyed hash. The turn's own chain
digest ties it to the program and to every turn before it, so a receipt that
was altered, or that belongs to another place or program, does not verify.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from rattanmill_programs.records import TurnKept

_TAG_BYTES = 32


def seal_receipt(secret: bytes, turn: TurnKept) -> str:
    """Returns the receipt of a turn as text."""
    data = msgspec.msgpack.encode(turn)
    return base64.urlsafe_b64encode(_tag(secret, data) + data).decode()


def open_receipt(secret: bytes, text: str) -> TurnKept | None:
    """Returns the turn, or None if the receipt is not one of ours."""
    try:
        raw = base64.urlsafe_b64decode(text)
    except (binascii.Error, ValueError):
        return None
    tag, data = raw[:_TAG_BYTES], raw[_TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(secret, data)):
        return None
    try:
        return msgspec.msgpack.decode(data, type=TurnKept)
    except msgspec.DecodeError:
        return None


def _tag(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, b"rattanmill receipt" + data, hashlib.sha256)
