"""Starts the demo's stack on fixed addresses and stays until interrupted.

Usage: python scripts/up.py [FIRST-PORT]
"""

import signal
import socket
import sys
import time
from types import FrameType

from demo import layout
from support import Stack

FIRST_PORT = 18000
_MOST_PORT = 65000
_STOPS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class _StopError(Exception):
    """The process was told to end."""


def _stop(number: int, frame: FrameType | None) -> None:
    # Only the first counts: a second one in the middle of ending the
    # processes would leave some of them behind.
    for stop in _STOPS:
        signal.signal(stop, signal.SIG_IGN)
    raise _StopError


def _describe(stack: Stack) -> None:
    first, second = stack.instances[0].http, stack.instances[2].http
    print("Instances, for callers and operators:")
    for instance in stack.instances:
        print(f"  http://{instance.http}  {instance.name}")
    print("Stand-ins for the platform and the endpoints:")
    for name, client in stack.standins.items():
        print(f"  http://{client.address}  {name}")
    kv = stack.standins["kv"].address
    engine = stack.standins["model-bank-1"].address
    print("Try (docs/API.md has more):")
    print(f"  curl http://{first}/v1/programs -d '{{}}'")
    print(f"  RATTANMILL_ADDRESS={second} rattanmill status")
    print("Set and clear faults of a stand-in; GET /faults shows which:")
    print(f"  curl http://{kv}/faults")
    print(f"  curl http://{kv}/faults -d '{{\"down\": true}}'")
    print(f"  curl http://{kv}/faults -d '{{\"down\": false}}'")
    print(f"  curl http://{engine}/faults -d '{{\"draining\": true}}'")
    print("Processes:")
    processes = {
        **stack.processes,
        **{i.name: i.process for i in stack.instances},
    }
    for name, process in processes.items():
        print(f"  {process.pid}  {name}")
    print(f"Logs: {stack.folder}/NAME.log")
    print("Interrupt to end.", flush=True)


def _first_port(arguments: list[str]) -> int:
    if not arguments:
        return FIRST_PORT
    port = int(arguments[0]) if arguments[0].isdecimal() else 0
    if not 1024 <= port <= _MOST_PORT:
        print(f"FIRST-PORT: allowed: 1024 to {_MOST_PORT}", file=sys.stderr)
        sys.exit(2)
    return port


def _is_taken(port: int) -> bool:
    """Whether another process listens where the key-value service will.

    A second system would take the first one's stand-ins for its own, and its
    instances would join the first one's.
    """
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


def main() -> int:
    """Starts the stack, prints how to reach it, waits and cleans up."""
    plan = layout()
    plan.first_port = _first_port(sys.argv[1:])
    if _is_taken(plan.first_port):
        print(
            f"Not started: 127.0.0.1:{plan.first_port} is taken. Is another"
            " 'make up' running?",
            file=sys.stderr,
        )
        return 1
    for stop in _STOPS:
        signal.signal(stop, _stop)
    try:
        with Stack(plan) as stack:
            _describe(stack)
            while True:
                time.sleep(1)
    except _StopError:
        print("Ended; nothing is left running.", flush=True)
        return 0
    except AssertionError as error:
        print(f"Not started: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
