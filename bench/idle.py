"""What idle fronts and storage instances take: processor time and messages.

Real processes on stand-ins of the platform; no calls, no probes of balancers.

Usage: python -m bench.idle [LABEL=CHECKOUT...]

Several checkouts are measured by turns; without any, this one.
"""

import collections
import contextlib
import datetime
import json
import os
import pathlib
import signal
import sys
import time
from collections.abc import Iterator

import msgspec
import numpy as np

from bench.results import report
from bench.sampling import cpu_seconds
from support.process import Process
from support.site import Site
from support.waiting import wait_until

PAGE = pathlib.Path("docs/CAPACITY.md")
_HERE = pathlib.Path(__file__).resolve().parents[1]
_DOMAINS = ("east", "west", "north")
_FRONTS = (3, 9, 18, 27)
_STORAGES = (3, 6, 12, 24)
# Where the time of a front is split by cause.
_SPLIT = (9, 24)
_AT = f" at {_SPLIT[0]} fronts, {_SPLIT[1]} storage"
_CAUSES = ("pings", "watches")
_TARGETS = ((79, 12), (316, 24))
_SETTLE_SECONDS = 3.0
_SECONDS = 6.0
_NUMBER = 211
_WRITE_SECONDS = 0.3
_ENTRIES = 6


class Code(msgspec.Struct, frozen=True):
    """A checkout and what its lines are called."""

    label: str
    checkout: pathlib.Path


class Cell(msgspec.Struct, frozen=True):
    """One measurement; cores and messages a second are of one process.

    Attributes:
        label: What the checkout is called.
        fronts: Number of fronts.
        storages: Number of storage instances.
        front: Cores of a front.
        storage: Cores of a storage instance.
        sent: Messages that a front sends, by kind.
        taken: Messages that a storage instance takes, by kind.
    """

    label: str
    fronts: int
    storages: int
    front: float
    storage: float
    sent: dict[str, float]
    taken: dict[str, float]


class IdleSite(Site):
    """A site of as many processes as asked for, which count their messages.

    Args:
        code: Whose processes.
        storages: Number of storage instances.
        without: What fronts do not do, as in ``bench.counted``.
    """

    def __init__(
        self, code: Code, storages: int, without: str = "nothing"
    ) -> None:
        super().__init__(_NUMBER)
        self.code = code
        self.storages = storages
        self.without = without

    def host(self, role: str, domain: str, number: int = 1) -> str:
        """Returns the IP address of a process of a role in a domain."""
        last = number + (100 if role == "front" else 1)
        return f"127.{self.number}.{_DOMAINS.index(domain) + 1}.{last}"

    def add_fronts(self, count: int) -> None:
        """Starts fronts until there are as many; returns once all are up."""
        for index in range(len(self.all_of("front")), count):
            domain = _DOMAINS[index % len(_DOMAINS)]
            self.start("front", domain, number=index // len(_DOMAINS) + 1)
        for front in self.all_of("front"):
            wait_until(lambda f=front: f.events("started"), "it is up")
        time.sleep(_SETTLE_SECONDS)

    def all_of(self, role: str) -> list[Process]:
        """Returns all processes of a role."""
        return [
            process
            for name, process in self.processes.items()
            if name.startswith(f"{role}-")
        ]

    def counts(self, role: str) -> collections.Counter[str]:
        """Returns the messages of all processes of a role, by kind."""
        found: collections.Counter[str] = collections.Counter()
        for process in self.all_of(role):
            path = self._counts_path(process)
            path.unlink(missing_ok=True)
            os.kill(process.pid, signal.SIGUSR2)
        time.sleep(_WRITE_SECONDS)
        for process in self.all_of(role):
            wait_until(self._counts_path(process).exists, "it has counted")
            text = self._counts_path(process).read_text(encoding="utf-8")
            found.update(json.loads(text))
        return found

    def _start_all(self) -> None:
        store = ["standins.sitestore", self.store_address]
        self._start(Process("store", store, self.folder.name))
        wait_until(self._store_answers, "the store answers")
        self.configure()
        for number in range(_ENTRIES):
            self.put(f"servers/llm-{number}", _entry(number))
        for index in range(self.storages):
            domain = _DOMAINS[index % len(_DOMAINS)]
            number = index // len(_DOMAINS) + 1
            self.start("storage", domain, first=True, number=number)
        for storage in self.all_of("storage"):
            wait_until(lambda s=storage: s.events("started"), "it is up")

    def _start(self, process: Process) -> None:
        if process.name != "store":
            role = process.name.partition("-")[0]
            process.arguments = [
                sys.executable,
                "-m",
                "bench.counted",
                str(self.code.checkout),
                role,
                str(self._counts_path(process)),
                self.without if role == "front" else "nothing",
            ]
        super()._start(process)

    def _counts_path(self, process: Process) -> pathlib.Path:
        return pathlib.Path(self.folder.name, f"{process.name}.counts")


def main(codes: list[Code]) -> None:
    """Measures and writes the page's section."""
    began = datetime.datetime.now(datetime.UTC)
    cells = [
        cell
        for storages in _STORAGES
        for code in codes
        for cell in _measure_sizes(code, storages)
    ]
    splits = [
        (cause, cell)
        for cause in _CAUSES
        for code in codes
        for cell in _measure_without(code, cause)
    ]
    tables = [
        _sizes(cells),
        _kinds(cells),
        _split(cells, splits),
        _calculated(cells, [code.label for code in codes]),
    ]
    details = f"{_SECONDS:.0f} s a line, {os.getloadavg()[0]:.1f} load at last"
    report(PAGE, "idle", began, details, "\n\n".join(tables))


def _entry(number: int) -> bytes:
    entry = {
        "service": "llm",
        "address": f"127.{_NUMBER}.9.{number + 1}:1",
        "zone": _DOMAINS[number % len(_DOMAINS)],
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(entry).encode()


def _measure_sizes(code: Code, storages: int) -> Iterator[Cell]:
    with IdleSite(code, storages) as site:
        for fronts in _FRONTS:
            site.add_fronts(fronts)
            yield _measure(site)


def _measure_without(code: Code, cause: str) -> Iterator[Cell]:
    fronts, storages = _SPLIT
    with IdleSite(code, storages, cause) as site:
        site.add_fronts(fronts)
        yield _measure(site)


def _measure(site: IdleSite) -> Cell:
    fronts, storages = site.all_of("front"), site.all_of("storage")
    sent, taken = site.counts("front"), site.counts("storage")
    began = time.monotonic()
    front, storage = _cpu(fronts), _cpu(storages)
    time.sleep(_SECONDS)
    front, storage = _cpu(fronts) - front, _cpu(storages) - storage
    seconds = time.monotonic() - began
    sent = site.counts("front") - sent
    taken = site.counts("storage") - taken
    counted = time.monotonic() - began
    cell = Cell(
        site.code.label,
        len(fronts),
        len(storages),
        front / seconds / len(fronts),
        storage / seconds / len(storages),
        {kind: n / counted / len(fronts) for kind, n in sent.items()},
        {kind: n / counted / len(storages) for kind, n in taken.items()},
    )
    with contextlib.suppress(BrokenPipeError):
        print(_row(cell), flush=True)
    return cell


def _cpu(processes: list[Process]) -> float:
    return sum(cpu_seconds(process.pid) for process in processes)


def _rate(rates: dict[str, float], way: str) -> float:
    return sum(rate for kind, rate in rates.items() if kind.startswith(way))


def _row(cell: Cell) -> str:
    return (
        f"| {cell.label} | {cell.fronts} | {cell.storages} |"
        f" {cell.front:.4f} | {_rate(cell.sent, 'sent'):.1f} |"
        f" {cell.storage:.4f} | {_rate(cell.taken, 'taken'):.1f} |"
    )


def _table(head: list[str], rows: list[str]) -> str:
    first = f"| {' | '.join(head)} |"
    return "\n".join([first, "|" + "---|" * len(head), *rows])


def _sizes(cells: list[Cell]) -> str:
    head = ["code", "fronts", "storage instances", "cores a front"]
    head += ["messages/s a front", "cores a storage instance"]
    head += ["messages/s taken there"]
    return _table(head, [_row(cell) for cell in cells])


def _kinds(cells: list[Cell]) -> str:
    """Shows the kinds of messages where the split is measured."""
    rows = [
        f"| {cell.label} | {kind} | {rate:.2f} |"
        for cell in cells
        if (cell.fronts, cell.storages) == _SPLIT
        for kind, rate in sorted((cell.sent | cell.taken).items())
    ]
    return _table(["code", f"messages{_AT}", "/s"], rows)


def _split(cells: list[Cell], splits: list[tuple[str, Cell]]) -> str:
    rows = []
    for whole in cells:
        if (whole.fronts, whole.storages) != _SPLIT:
            continue
        parts = {
            cause: whole.front - cell.front
            for cause, cell in splits
            if cell.label == whole.label
        }
        rest = whole.front - sum(parts.values())
        shown = [f"{parts[cause]:.4f}" for cause in _CAUSES] + [f"{rest:.4f}"]
        rows.append(f"| {whole.label} | {' | '.join(shown)} |")
    head = [f"cores a front{_AT}", *_CAUSES, "rest"]
    return _table(head, rows)


def _calculated(cells: list[Cell], labels: list[str]) -> str:
    """Shows what straight lines say of the targets.

    A front's slope is over all sizes; the targets are on the lines over fronts
    at as many storage instances.
    """
    rows = []
    for label in labels:
        own = [cell for cell in cells if cell.label == label]
        slope, _ = np.polyfit(
            [cell.storages for cell in own], [cell.front for cell in own], 1
        )
        shown = [f"{slope:.6f}"]
        for fronts, storages in _TARGETS:
            like = [cell for cell in own if cell.storages == storages]
            for role in ("front", "storage"):
                shown.append(f"{_at(like, role, fronts):.3f}")
        rows.append(f"| {label} | {' | '.join(shown)} |")
    head = ["code", "cores a front per storage instance"]
    for fronts, storages in _TARGETS:
        size = f"{fronts} fronts, {storages} storage"
        head += [f"front at {size}", f"storage instance at {size}"]
    return _table(head, rows)


def _at(cells: list[Cell], role: str, fronts: int) -> float:
    """Returns the cores of a role's process on the line over fronts."""
    line = np.polyfit(
        [cell.fronts for cell in cells],
        [getattr(cell, role) for cell in cells],
        1,
    )
    return float(np.polyval(line, fronts))


def _read(argument: str) -> Code:
    label, _, checkout = argument.partition("=")
    return Code(label, pathlib.Path(checkout).resolve())


if __name__ == "__main__":
    main([_read(each) for each in sys.argv[1:]] or [Code("now", _HERE)])
