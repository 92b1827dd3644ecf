"""Steps about data that can't be decoded."""

from behave import then, when
from rattanmill_site import store
from rattanmill_site.config import decode_config, decode_endpoint
from rattanmill_site.prefixes import CONFIG_PREFIX, ENDPOINT_PREFIX

from rattanmill_keeper import Members, Unsure, codec, homes, records
from rattanmill_keeper.members import MEMBERS_PREFIX
from rattanmill_platform import Reply, Unavailable
from support.memory import MemoryKv

_NESTED_JSON = b'{"a":' + b"[" * 2000 + b"]" * 2000 + b"}"
# One field, whose value is an array of one element, which is such an array.
_NESTED_MSGPACK = b"\x81\xa1a" + b"\x91" * 2000 + b"\xc0"


def decode_member():
    members = Members(MemoryKv())
    members._on_written(MEMBERS_PREFIX + "a", _NESTED_JSON)
    return members.known or None


_DECODERS = {
    "an endpoint's entry": (
        lambda: decode_endpoint(f"{ENDPOINT_PREFIX}a", _NESTED_JSON),
        str,
    ),
    "the operators' configuration": (
        lambda: decode_config(CONFIG_PREFIX, _NESTED_JSON),
        str,
    ),
    "a storage instance's entry": (decode_member, type(None)),
    "the holders of an account": (
        lambda: homes._recorded_holders("key", _NESTED_JSON, ("a",)),
        Unsure,
    ),
    "a message of another instance": (
        lambda: codec().decode(_NESTED_MSGPACK),
        type(None),
    ),
    "a record of the journal": (
        lambda: records.decode(_NESTED_MSGPACK),
        type(None),
    ),
    "a reply of the store": (
        lambda: store._decode(Reply(200, _NESTED_JSON, 0), 200, store._Page),
        Unavailable,
    ),
}


@when("{what} holds 2000 nested lists in a field that nothing reads")
def step_decode(context, what):
    decode, context.expected = _DECODERS[what]
    context.found = decode()


@then("it counts as data that can't be decoded")
def step_undecodable(context):
    assert isinstance(context.found, context.expected), context.found
