"""Runs one cell: a policy under a load, perhaps with a fault."""

import json
import os
import pathlib
import subprocess
import sys
import threading
import time
from collections.abc import Callable

import msgspec

from bench.load import LoadResult, Order, ProgramResult
from bench.workloads import WORKLOADS, Workload
from support import Layout, Stack
from support.waiting import wait_until

_SECONDS = 20.0
_WARM_SECONDS = 5.0
_FAULT_AT = 6.0
_FAULT_SECONDS = 6.0
_FOREVER = 3600.0
_TRIED_AGAIN = (
    "not_connected",
    "draining",
    "broken",
    "timed_out",
)


class Cell(msgspec.Struct, frozen=True):
    """What to measure.

    Attributes:
        workload: Name of the workload.
        policy: Name of the policy.
        load: Percent of capacity; 0: closed loop, which measures capacity.
        fault: Name of a fault, or ``none``.
        seed: Fixes programs and arrivals.
    """

    workload: str
    policy: str
    load: int
    fault: str
    seed: int

    @property
    def name(self) -> str:
        """Name as it is given on the command line."""
        parts = (self.workload, self.policy, self.load, self.fault, self.seed)
        return "/".join(map(str, parts))


class CellResult(msgspec.Struct, kw_only=True):
    """Figures of one cell; seconds, shares of 1, or per second.

    Attributes:
        p50: Latency of programs that finished; likewise p95 and p99.
        within: Share of all programs offered that finished within target.
        goodput: Programs finished within target, a second.
        throughput: Programs finished, a second.
        wasted: Prompt tokens computed again on any engine, of all.
        wasted_same: The same, as engines count it: only what the same engine
            had had before.
        retries: Retries per first try.
        machine_load: Other load on the machine before the run, in cores.
        busiest_instance: Processor time of the busiest instance, of a core.
    """

    cell: Cell
    offered: int
    finished: int
    refused: int
    abandoned: int
    p50: float
    p95: float
    p99: float
    within: float
    within_by_class: dict[str, float]
    goodput: float
    throughput: float
    wasted: float
    wasted_same: float
    retries: float
    refusals: dict[str, int]
    engine_calls: dict[str, int]
    generator_lag_p99: float
    generator_cpu: float
    busiest_instance: float
    machine_load: float
    date: str


class Run(msgspec.Struct):
    """A data file.

    Attributes:
        command: How it was made.
        date: When.
        machine: On what.
        capacity: Programs a second by workload, that the loads refer to.
        cells: Figures.
    """

    command: str
    date: str
    machine: str
    capacity: dict[str, float]
    cells: list[CellResult]


def _slow(stack: Stack) -> Callable[[], None]:
    name = stack.layout.engines[1].name
    stack.standins[name].faults(slow_factor=5.0)
    return lambda: stack.standins[name].faults(slow_factor=1.0)


def _crash(stack: Stack) -> Callable[[], None]:
    names = [spec.name for spec in stack.layout.engines[1:3]]
    for name in names:
        stack.processes[name].kill()
    return lambda: [stack.restart_engine(name) for name in names]


def _cut(stack: Stack) -> Callable[[], None]:
    stack.cut(2, kv=True, domains=True)
    return stack.heal


def _stale(stack: Stack) -> Callable[[], None]:
    _all_engines(stack, load_lag_seconds=10.0)
    return lambda: _all_engines(stack, load_lag_seconds=0.0)


def _gaps(stack: Stack) -> Callable[[], None]:
    _all_engines(stack, event_lag_seconds=5.0, event_gap=3)
    return lambda: None


def _kv_down(stack: Stack) -> Callable[[], None]:
    stack.standins["kv"].faults(down=True)
    return lambda: stack.standins["kv"].faults(down=False)


def _all_engines(stack: Stack, **faults: object) -> None:
    for spec in stack.layout.engines:
        stack.standins[spec.name].faults(**faults)


# What each fault does at first; what that returns ends it.
FAULTS: dict[str, Callable[[Stack], Callable[[], None]]] = {
    "slow": _slow,
    "crash": _crash,
    "cut": _cut,
    "stale-load": _stale,
    "event-gaps": _gaps,
    "kv-down": _kv_down,
}
# These last for the whole run; the others end after some seconds.
_LASTING = ("slow", "crash", "stale-load", "event-gaps")


class BenchStack(Stack):
    """A stack whose instances run the policy that is measured."""

    def __init__(self, layout: Layout, policy: str) -> None:
        super().__init__(layout)
        self.policy = policy

    def _plan_instances(self) -> None:
        super()._plan_instances()
        for instance in self.instances:
            arguments = instance.process.arguments
            at = arguments.index("rattanmill_entry.main")
            arguments[at : at + 1] = ["bench.instance", self.policy]


def run_cell(cell: Cell, capacity: float) -> CellResult:
    """Runs a cell; ``capacity`` is in programs a second."""
    workload = WORKLOADS[cell.workload]
    policy = cell.policy if cell.load else "without-admission"
    layout = Layout(
        domains=workload.domains,
        engines=workload.engines,
        services=workload.services,
    )
    machine_load = os.getloadavg()[0]
    with BenchStack(layout, policy) as stack:
        _apply_classes(stack, workload, 1.0 if cell.load else _FOREVER)
        order = Order(
            workload.name,
            cell.seed,
            [instance.http for instance in stack.instances],
            _SECONDS,
            capacity * cell.load / 100,
            workload.closed,
            _WARM_SECONDS,
            {
                name: klass["target_seconds"] * (1 if cell.load else 60)
                for name, klass in workload.classes.items()
            },
        )
        load = _run_load(stack, order, cell.fault)
        return _result(cell, stack, order, load, machine_load)


def _apply_classes(stack: Stack, workload: Workload, factor: float) -> None:
    """Puts the workload's classes in force on every instance."""
    client = stack.instances[0].client
    shown = client.request("GET", "/v1/admin/config").json
    shown["classes"] = {
        name: klass | {"target_seconds": klass["target_seconds"] * factor}
        for name, klass in workload.classes.items()
    }
    shown["default_class"] = next(iter(workload.classes))
    answer = client.request("PUT", "/v1/admin/config", shown)
    assert answer.status == 200, answer
    number = answer.json["number"]
    wait_until(
        lambda: all(
            i.client.request("GET", "/v1/admin/config").json["number"] == number
            for i in stack.instances
        ),
        "the classes are in force everywhere",
    )


def _run_load(stack: Stack, order: Order, fault: str) -> LoadResult:
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.load"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    timers = _fault_timers(stack, fault)
    try:
        output, _ = process.communicate(msgspec.json.encode(order))
    finally:
        for timer in timers:
            timer.cancel()
        process.kill()
        process.wait()
    return msgspec.json.decode(output, type=LoadResult)


def _fault_timers(stack: Stack, fault: str) -> list[threading.Timer]:
    if fault == "none":
        return []
    heal: list[Callable[[], None]] = []
    timers = [
        threading.Timer(_FAULT_AT, lambda: heal.append(FAULTS[fault](stack))),
        threading.Timer(
            _FAULT_AT + _FAULT_SECONDS, lambda: [end() for end in heal]
        ),
    ]
    for timer in timers[: 1 if fault in _LASTING else 2]:
        timer.daemon = True
        timer.start()
    return timers


def _result(
    cell: Cell,
    stack: Stack,
    order: Order,
    load: LoadResult,
    machine_load: float,
) -> CellResult:
    counted = [p for p in load.programs if p.began >= order.warm_seconds]
    done = sorted(p.seconds for p in counted if p.state == "finished")
    in_time = [p for p in counted if _is_in_time(p, order)]
    span = order.seconds - order.warm_seconds
    # In a closed loop all that ends in the span counts, whenever it began.
    ended = [
        p
        for p in load.programs
        if p.state == "finished"
        and order.warm_seconds <= p.began + p.seconds <= order.seconds
    ]
    stats = _engine_stats(stack)
    prompt = sum(s.get("prompt_tokens", 0) for s in stats.values())
    computed = prompt - sum(s.get("reused_tokens", 0) for s in stats.values())
    first = _first_tokens(stack, list(stats))
    same = sum(s.get("wasted_tokens", 0) for s in stats.values())
    engine_calls = {name: s.get("calls", 0) for name, s in stats.items()}
    tries = _retries(stack)
    return CellResult(
        cell=cell,
        offered=len(counted),
        finished=len(done),
        refused=sum(p.state == "refused" for p in counted),
        abandoned=sum(p.state == "abandoned" for p in counted),
        p50=_quantile(done, 0.5),
        p95=_quantile(done, 0.95),
        p99=_quantile(done, 0.99),
        within=len(in_time) / max(1, len(counted)),
        within_by_class={
            name: _share(
                [p for p in counted if p.klass == name], in_time, order
            )
            for name in order.targets
        },
        goodput=len(in_time) / span,
        throughput=len(ended) / span,
        wasted=(computed - first) / max(1, prompt),
        wasted_same=same / max(1, prompt),
        retries=tries / max(1, sum(engine_calls.values()) - tries),
        refusals=load.refusals,
        engine_calls=engine_calls,
        generator_lag_p99=load.lag_p99,
        generator_cpu=load.cpu_share,
        busiest_instance=_busiest(stack, order.seconds),
        machine_load=machine_load,
        date=time.strftime("%Y-%m-%d %H:%M"),
    )


def _is_in_time(program: ProgramResult, order: Order) -> bool:
    target = order.targets[program.klass]
    return program.state == "finished" and program.seconds <= target


def _share(
    programs: list[ProgramResult], in_time: list[ProgramResult], order: Order
) -> float:
    hits = sum(_is_in_time(p, order) for p in programs)
    return hits / max(1, len(programs))


def _quantile(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def _engine_stats(stack: Stack) -> dict[str, dict[str, int]]:
    """Returns what the engines counted; those that crashed are left out."""
    found = {}
    for spec in stack.layout.engines:
        answer = stack.standins[spec.name].request("GET", "/stats")
        if answer.status == 200:
            found[spec.name] = answer.json
    return found


def _first_tokens(stack: Stack, engines: list[str]) -> int:
    """Returns the tokens that had to be computed once, by whichever engine."""
    seen: dict[str, int] = {}
    for name in engines:
        seen.update(stack.standins[name].request("GET", "/seen").json)
    return sum(seen.values())


def _retries(stack: Stack) -> int:
    return int(
        sum(
            instance.client.metric("rattanmill_retries_total", reason=reason)
            for instance in stack.instances
            for reason in _TRIED_AGAIN
        )
    )


def _busiest(stack: Stack, seconds: float) -> float:
    """Returns the processor time of the busiest instance, of a core."""
    ticks = os.sysconf("SC_CLK_TCK")
    used = []
    for instance in stack.instances:
        stat = pathlib.Path(f"/proc/{instance.process.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        used.append((int(fields[11]) + int(fields[12])) / ticks)
    return max(used) / seconds


def print_result(result: CellResult) -> None:
    """Prints one line for a person who waits."""
    refusals = json.dumps(result.refusals)
    print(
        f"{result.cell.name:45} p50 {result.p50:5.2f} p95 {result.p95:5.2f}"
        f" p99 {result.p99:5.2f} within {result.within:.2f}"
        f" goodput {result.goodput:.2f} wasted {result.wasted:.3f}"
        f" retries {result.retries:.3f} offered {result.offered}"
        f" refused {result.refused} abandoned {result.abandoned} {refusals}"
        f" lag {result.generator_lag_p99 * 1000:.0f} ms"
        f" cpu {result.generator_cpu:.2f}/{result.busiest_instance:.2f}",
        flush=True,
    )
