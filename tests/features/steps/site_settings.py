"""Steps about the settings file of the users' platform."""

import pathlib
import tempfile

from behave import given, then
from rattanmill_site.settings import FRONT, load_settings

from rattanmill_core import RateBounds, SettingsError

_FIELDS = {
    "node_name": "front-1",
    "zone": "east",
    "ip": "127.0.0.1",
    "port_range": "7000,7001",
    "platform.address": "127.0.0.1:7002",
    "listen_addrs.front": "127.0.0.1:7003",
    "listen_addrs.ready": "127.0.0.1:7004",
}


def _load(context):
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder, "node.conf")
        lines = (f"{name}={value}\n" for name, value in context.fields.items())
        file.write_text("".join(lines), encoding="utf-8")
        return load_settings(str(file), FRONT)


@given('the platform\'s settings with "{fields}"')
def step_settings(context, fields):
    pairs = (field.strip().split("=") for field in fields.split(","))
    context.fields = {**_FIELDS, **dict(pairs)}


@then("revoked keys are refused after {seconds:f} seconds at most")
def step_bound(context, seconds):
    assert _load(context).revocation_seconds == seconds


@then("revoked keys are refused without a bound")
def step_no_bound(context):
    assert _load(context).revocation_seconds is None


@then(
    "rate limits may be exceeded by {overage:f} and {slack:d} in {seconds:d}"
    " seconds"
)
def step_rates(context, overage, slack, seconds):
    bounds = _load(context).rate_bounds
    assert bounds == RateBounds(seconds, overage, slack), bounds


@then(
    "the process may use {memory:d} MB, {descriptors:d} descriptors and a disk"
    " of {disk} MB"
)
def step_machine(context, memory, descriptors, disk):
    settings = _load(context)
    assert settings.memory_bytes == memory * 1024 * 1024
    assert settings.max_descriptors == descriptors
    assert str(settings.disk_bytes) == disk, settings.disk_bytes


@then('they are refused with "{message}"')
def step_refused(context, message):
    try:
        _load(context)
    except SettingsError as error:
        assert message in error.message, error.message
    else:
        raise AssertionError("the settings were accepted")
