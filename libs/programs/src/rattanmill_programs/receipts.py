"""Receipts: turns that callers hold while the key-value service is unavailable.

A receipt is the whole turn, authenticated with a keyed hash (HMAC). The turn's
chain digest binds it to the program and to every earlier turn, so a receipt
that was altered, or belongs to another position or program, does not verify.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from rattanmill_core import DECODE_ERRORS
from rattanmill_programs.records import TurnKept

_TAG_BYTES = 32


def sign_receipt(secret: bytes, turn: TurnKept) -> str:
    """Returns the receipt of a turn as URL-safe base64."""
    data = msgspec.msgpack.encode(turn)
    return base64.urlsafe_b64encode(_tag(secret, data) + data).decode()


def verify_receipt(secret: bytes, text: str) -> TurnKept | None:
    """Returns the turn, or None if the receipt is not valid."""
    try:
        raw = base64.urlsafe_b64decode(text)
    except (binascii.Error, ValueError):
        return None
    tag, data = raw[:_TAG_BYTES], raw[_TAG_BYTES:]
    if not hmac.compare_digest(tag, _tag(secret, data)):
        return None
    try:
        return msgspec.msgpack.decode(data, type=TurnKept)
    except DECODE_ERRORS:
        return None


def _tag(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, b"rattanmill receipt" + data, hashlib.sha256)
