"""The main job, shown: a program that survives what goes wrong around it.

Starts stand-ins and instances of three failure domains, runs one program with
a tool pause, a sub-agent and a non-idempotent act, and kills the instance
that owns the program between two turns. Exits 0 only if all held.
"""

import sys
import time

from support import EngineSpec, Layout, ServiceSpec, Stack
from support.client import Client

_TOOL_SECONDS = 0.5


class Report:
    """Prints what happened and remembers whether all held."""

    def __init__(self) -> None:
        self.failed = 0

    def check(self, what: str, held: bool, seen: object) -> None:
        """Prints one line; ``seen`` is what was found."""
        print(f"{'held  ' if held else 'FAILED'}  {what}: {seen}", flush=True)
        self.failed += not held


def layout() -> Layout:
    """Returns three failure domains with engines of unequal speed."""
    engines = [
        EngineSpec(f"model-bank-{number + 1}", number % 3, {"decode": speed})
        for number, speed in enumerate((400, 250, 120))
    ]
    services = [ServiceSpec(f"index-office-{n + 1}", n) for n in range(3)]
    return Layout(engines=engines, services=services)


def run(stack: Stack, report: Report) -> None:
    """Runs the program and reports each step."""
    clients = [instance.client for instance in stack.instances]
    east, west, north = clients[0], clients[2], clients[4]
    program = east.create(
        workspace="edinburgh", budget={"tokens": 20_000, "turns": 10}
    )
    print(f"program {program}, owned by {stack.owner_of(program).name}")
    first = west.chat("Draft the Leith commentary.", program, 1)
    report.check("turn 1 by another domain", first.status == 200, first.text)
    again = north.chat("Draft the Leith commentary.", program, 1)
    same = again.status == 200 and again.text == first.text
    report.check("turn 1 sent again is the same answer", same, again.text)
    time.sleep(_TOOL_SECONDS)
    streamed = north.chat("The tool says 4%.", program, 2, stream=True)
    whole = streamed.events[-1:] == ["[DONE]"]
    report.check("turn 2 streamed after a tool pause", whole, streamed.text)
    _run_sub_agent(stack, report, west, program)
    _run_act(stack, report, east, north, program)
    _kill_owner(stack, report, program)


def _run_sub_agent(
    stack: Stack, report: Report, client: Client, program: str
) -> None:
    child = client.create(
        workspace="edinburgh", parent=program, budget={"tokens": 3000}
    )
    answer = client.chat("Reconcile Leith's returns.", child, 1)
    report.check("sub-agent's turn", answer.status == 200, answer.text)
    left = client.request("DELETE", f"/v1/programs/{child}").json
    shown = client.request("GET", f"/v1/programs/{program}").json
    held = shown["spent_tokens"] >= left["spent_tokens"] > 0
    report.check(
        "sub-agent spent from its parent's budget",
        held,
        f"{left['spent_tokens']} of {shown['spent_tokens']} tokens",
    )


def _run_act(
    stack: Stack, report: Report, one: Client, other: Client, program: str
) -> None:
    first = one.act("invoice-7", "42 pounds", program)
    second = other.act("invoice-7", "42 pounds", program)
    runs = sum(
        stack.standins[s.name].request("GET", "/runs").json.get("invoice-7", 0)
        for s in stack.layout.services
    )
    held = runs == 1 and first.body == second.body
    report.check("act sent twice ran once", held, f"{runs} run")


def _kill_owner(stack: Stack, report: Report, program: str) -> None:
    owner = stack.owner_of(program)
    owner.process.kill()
    client = next(i.client for i in stack.instances if i.domain != owner.domain)
    began = time.monotonic()
    answer = client.chat("Now the summary.", program, 3)
    seconds = time.monotonic() - began
    report.check(
        f"turn 3 after {owner.name} was killed",
        answer.status == 200,
        f"{answer.body[:80]!r} after {seconds:.1f} s",
    )
    history = client.request("GET", f"/v1/programs/{program}/history").json
    held = [turn["turn"] for turn in history["turns"]] == [1, 2, 3]
    report.check("history is whole", held, f"{len(history['turns'])} turns")
    shown = client.request("GET", f"/v1/programs/{program}").json
    held = shown["spent_tokens"] <= 20_000
    report.check("budget kept", held, f"{shown['spent_tokens']} of 20000")


def main() -> int:
    """Runs the demo; returns the exit code."""
    report = Report()
    with Stack(layout()) as stack:
        names = ", ".join(instance.name for instance in stack.instances)
        print(f"instances: {names}")
        run(stack, report)
    print("All held." if not report.failed else f"{report.failed} failed.")
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
