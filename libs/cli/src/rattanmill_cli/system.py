"""``rattanmill status``, ``endpoint`` and ``program``: the running system."""

import asyncio
import collections
from typing import Any

from rattanmill_cli import changes
from rattanmill_cli.link import Link
from rattanmill_cli.output import print_json, print_table
from rattanmill_core import (
    EndpointStatus,
    InstanceStatus,
    UsageError,
    parse_program_id,
)

_DRAINED = "drained"


def status(
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Show instances, failure domains, owners and versions in force.

    Args:
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    shown = asyncio.run(_status(address, token_file))
    if json:
        print_json(shown)
        return
    print(
        f"{shown.name} in {shown.domain}: configuration"
        f" {shown.config_number}, lease {shown.lease},"
        f" {len(shown.shards)} shards, {shown.programs} programs"
        + (", draining" if shown.draining else "")
    )
    print()
    owned = collections.Counter(
        owner for owners in shown.owners.values() for owner in owners
    )
    rows = [
        (
            peer.name,
            peer.domain,
            peer.http,
            "held" if peer.registered else "lapsed",
            peer.config_number,
            None if peer.heard_seconds is None else f"{peer.heard_seconds:.1f}",
            owned[peer.name],
        )
        for peer in shown.instances
    ]
    head = ("INSTANCE", "DOMAIN", "ADDRESS", "LEASE", "CONFIG", "HEARD S")
    print_table((*head, "SHARDS"), rows)
    print()
    print_table(("DOMAIN", "OWNERS OF SHARDS 0 1 2 ..."), shown.owners.items())


async def _status(address: str, token_file: str) -> InstanceStatus:
    async with Link(address, token_file) as link:
        return await link.get("/v1/admin/status", InstanceStatus)


def list_endpoints(
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """List the endpoints as one instance sees them.

    Args:
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    endpoints = asyncio.run(_endpoints(address, token_file))
    if json:
        print_json(endpoints)
        return
    rows = [
        (e.name, e.kind, e.service, e.domain, e.state, e.in_flight, e.models)
        for e in sorted(endpoints, key=lambda e: (e.domain, e.name))
    ]
    head = ("ENDPOINT", "KIND", "SERVICE", "DOMAIN", "STATE", "IN FLIGHT")
    print_table((*head, "MODELS"), rows)


async def _endpoints(address: str, token_file: str) -> list[EndpointStatus]:
    async with Link(address, token_file) as link:
        return await link.get("/v1/admin/endpoints", list[EndpointStatus])


def drain(
    name: str,
    *,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Give an endpoint no new work; running work continues.

    Args:
        name: Name of the endpoint.
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    who = changes.operator_name(operator)
    work = _set_drained(address, token_file, name, True, who)
    changes.report(asyncio.run(work), json)


def undrain(
    name: str,
    *,
    operator: str = "",
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Give a drained endpoint new work again.

    Args:
        name: Name of the endpoint.
        operator: Your name, for the history; by default your login.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    who = changes.operator_name(operator)
    work = _set_drained(address, token_file, name, False, who)
    changes.report(asyncio.run(work), json)


async def _set_drained(
    address: str, token_file: str, name: str, wanted: bool, operator: str
) -> changes.Applied:
    async with Link(address, token_file) as link:
        document = await changes.current(link)
        if name not in document.drained:
            await _check_endpoint(link, name, wanted)
        edit = changes.Edit(
            f"drained ({name})",
            wanted,
            lambda plain: name in plain[_DRAINED],
            lambda plain, value: _write_drained(plain, name, value),
        )
        accepted = await changes.apply_edits(link, [edit], operator)
        return await changes.reached(link, accepted)


async def _check_endpoint(link: Link, name: str, wanted: bool) -> None:
    endpoints = await link.get("/v1/admin/endpoints", list[EndpointStatus])
    names = sorted(e.name for e in endpoints)
    if name not in names:
        raise UsageError(
            f"There is no endpoint '{name}'; there are {', '.join(names)}."
        )
    if not wanted:
        raise UsageError(f"'{name}' is not drained.")


def _write_drained(plain: dict[str, Any], name: str, wanted: bool) -> None:
    others = [other for other in plain[_DRAINED] if other != name]
    plain[_DRAINED] = [*others, name] if wanted else others


def show_program(
    program: str,
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """Show a program's state, budget and owner.

    Args:
        program: Id of the program.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    _print_program(
        asyncio.run(_program("GET", address, token_file, program)), json
    )


def end_program(
    program: str,
    *,
    address: str = "",
    token_file: str = "",
    json: bool = False,
) -> None:
    """End a program after the turn that is under way.

    Args:
        program: Id of the program.
        address: IP:PORT of any instance.
        token_file: File with the operators' token.
        json: Print JSON.
    """
    _print_program(
        asyncio.run(_program("DELETE", address, token_file, program)), json
    )


def _print_program(shown: dict[str, Any], json: bool) -> None:
    if json:
        print_json(shown)
        return
    rows = [
        (f"{name}.{inner}", value[inner]) if inner else (name, value)
        for name, value in shown.items()
        for inner in (value if isinstance(value, dict) else [""])
    ]
    print_table(("FIELD", "VALUE"), rows)


async def _program(
    method: str, address: str, token_file: str, program: str
) -> dict[str, Any]:
    if parse_program_id(program) is None:
        raise UsageError(
            f"'{program}' is no program id; allowed: DOMAIN.SHARD.TOKEN"
        )
    async with Link(address, token_file) as link:
        path = f"/v1/admin/programs/{program}"
        return await link.read(method, path)
