"""Starts the demo's stack on fixed addresses and stays until interrupted."""

import signal
import time

from demo import layout
from support import Stack

_FIRST_PORT = 18000


def main() -> None:
    """Starts the stack, prints how to reach it, waits and cleans up."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    plan = layout()
    plan.first_port = _FIRST_PORT
    with Stack(plan) as stack:
        print("Instances (callers and operators):")
        for instance in stack.instances:
            print(f"  http://{instance.http}  {instance.name}")
        print("Stand-ins, and how to set their faults:")
        for name, client in stack.standins.items():
            print(f"  http://{client.address}  {name}")
        kv = stack.standins["kv"].address
        print(f"  curl http://{kv}/faults")
        print(f"  curl http://{kv}/faults -d '{{\"down\": true}}'")
        print("Interrupt to end.", flush=True)
        try:
            while True:
                time.sleep(1)
        except KeyboardInterrupt:
            print("Ending.")


if __name__ == "__main__":
    main()
