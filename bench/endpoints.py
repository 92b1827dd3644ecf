"""Measures how endpoints that fail are met: ``python -m bench.endpoints``.

Prints one line for each figure. Results are kept in docs/design/endpoints.md.
"""

import concurrent.futures
import os
import signal
import time

from support import Client, EngineSpec, Layout, Stack, wait_until
from support.stack import random_text

_MARKER = "poisoned-text"
_SENDS = 6
_OTHERS = 24
_PROBE_SECONDS = 20.0


def layout(engines: int, per_domain: int) -> Layout:
    """Returns engines spread over three domains."""
    return Layout(
        per_domain=per_domain,
        engines=[EngineSpec(f"engine-{n + 1}", n % 3) for n in range(engines)],
        services=[],
    )


def phases(stack: Stack, engine: str) -> set[str]:
    """Returns what all instances say of an engine."""
    found = set()
    for instance in stack.instances:
        answer = instance.client.request("GET", "/v1/admin/endpoints")
        found |= {e["state"] for e in answer.json if e["name"] == engine}
    return found


def measure_probes(per_domain: int) -> None:
    """Prints probes a second by number of instances."""
    with Stack(layout(6, per_domain)) as stack:
        wait_until(lambda: phases(stack, "engine-6") == {"live"}, "it is live")
        before = _probes(stack)
        time.sleep(_PROBE_SECONDS)
        rate = (_probes(stack) - before) / _PROBE_SECONDS
        print(
            f"probes: {per_domain} instances per domain:"
            f" {rate / 6:.2f}/s per engine"
        )


def _probes(stack: Stack) -> float:
    name = "rattanmill_probes_total"
    return sum(i.client.metric(name) for i in stack.instances)


def measure_signs() -> None:
    """Prints the time until all instances keep work from an engine."""
    for what in ("draining", "killed"):
        with Stack(layout(6, 2)) as stack:
            wait_until(
                lambda s=stack: phases(s, "engine-1") == {"live"}, "it is live"
            )
            began = time.monotonic()
            if what == "draining":
                stack.standins["engine-1"].faults(draining=True)
                wanted = {"leaving"}
            else:
                os.kill(stack.processes["engine-1"].pid, signal.SIGKILL)
                wanted = {"down"}
            domain = stack.in_domain(0)
            wait_until(
                lambda s=stack, w=wanted, d=domain: (
                    {_phase(i.client, "engine-1") for i in d} == w
                    and (w == {"down"} or phases(s, "engine-1") == w)
                ),
                "the sign is known",
            )
            took = time.monotonic() - began
            print(f"signs: {what}, no call there: {took:.2f} s")


def _phase(client: Client, engine: str) -> str:
    answer = client.request("GET", "/v1/admin/endpoints")
    return next(e["state"] for e in answer.json if e["name"] == engine)


def measure_stuck() -> None:
    """Prints how long calls take whose engine hangs or is frozen."""
    for what in ("hang", "frozen"):
        with Stack(layout(3, 2)) as stack:
            wait_until(
                lambda s=stack: phases(s, "engine-1") == {"live"}, "it is live"
            )
            if what == "hang":
                stack.standins["engine-1"].faults(hang=True)
            else:
                stack.processes["engine-1"].pause()
            times = sorted(_timed_calls(stack, _OTHERS))
            if what == "frozen":
                stack.processes["engine-1"].resume()
            print(
                f"stuck: {what}: {len(times)} of {_OTHERS} answered,"
                f" median {times[len(times) // 2]:.2f} s,"
                f" longest {times[-1]:.2f} s"
            )


def _timed_calls(stack: Stack, count: int) -> list[float]:
    def call(number: int) -> float | None:
        instance = stack.instances[number % len(stack.instances)]
        began = time.monotonic()
        answer = Client(instance.http, 90).chat(random_text())
        return time.monotonic() - began if answer.status == 200 else None

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return [t for t in pool.map(call, range(count)) if t is not None]


def measure_poison() -> None:
    """Prints engines lost to one request that is sent again and again."""
    with Stack(layout(6, 2)) as stack:
        names = [spec.name for spec in stack.layout.engines]
        lost = 0
        text = f"{_MARKER} {random_text(40)}"
        for number in range(_SENDS):
            wait_until(
                lambda: all(phases(stack, n) == {"live"} for n in names),
                "all engines are live",
            )
            for name in names:
                stack.standins[name].faults(crash_marker=_MARKER)
            stack.instances[number].client.chat(text)
            dead = [n for n in names if not stack.processes[n].alive]
            lost += len(dead)
            for name in dead:
                stack.restart_engine(name)
        print(f"poison: {lost} engines lost by {_SENDS} sends of one request")


def main() -> None:
    """Runs all measurements."""
    measure_poison()
    measure_signs()
    measure_stuck()
    for per_domain in (2, 4):
        measure_probes(per_domain)


if __name__ == "__main__":
    main()
