"""Metrics of a process, kept until the libraries that expose them are loaded.

A restarted process has to listen again soon, and loading OpenTelemetry and its
exporter takes processor time. They are loaded when the metrics are first read.
"""

import asyncio
import importlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from rattanmill_core.refusal import Refusal

if TYPE_CHECKING:
    from rattanmill_core.instruments import Instruments

_INSTRUMENTS_MODULE = "rattanmill_core.instruments"
# Bounds the memory to about 1 MB if nobody reads the metrics.
MAX_HELD_RECORDS = 4096

# Name of a metric, and its labels.
_Series = tuple[str, tuple[tuple[str, str], ...]]


class HeldRecords:
    """Records of a process whose instruments are not loaded yet.

    Attributes:
        counts: Sum of each counter.
        durations: All observed durations, in seconds.
        gauges: Name and reader of each gauge.
        totals: Name and reader of each total.
    """

    def __init__(self) -> None:
        self.counts: dict[_Series, int] = {}
        self.durations: list[tuple[str, float, dict[str, str]]] = []
        self.gauges: list[tuple[str, Callable[[], float]]] = []
        self.totals: list[tuple[str, Callable[[], float]]] = []

    @property
    def size(self) -> int:
        """Number of counters and durations held."""
        return len(self.counts) + len(self.durations)

    def count(self, name: str, amount: int, labels: dict[str, str]) -> None:
        """Adds ``amount`` to the counter ``name``."""
        series = (name, tuple(sorted(labels.items())))
        self.counts[series] = self.counts.get(series, 0) + amount

    def observe(
        self, name: str, seconds: float, labels: dict[str, str]
    ) -> None:
        """Keeps a duration."""
        self.durations.append((name, seconds, labels))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Keeps a gauge."""
        self.gauges.append((name, read))

    def total(self, name: str, read: Callable[[], float]) -> None:
        """Keeps a total."""
        self.totals.append((name, read))

    def pass_on(self, instruments: "Instruments") -> None:
        """Records everything with the instruments."""
        for (name, labels), amount in self.counts.items():
            instruments.count(name, amount, dict(labels))
        for name, seconds, labels in self.durations:
            instruments.observe(name, seconds, labels)
        for name, read in self.gauges:
            instruments.gauge(name, read)
        for name, read in self.totals:
            instruments.total(name, read)


class Metrics:
    """The metric instruments of one process.

    Instruments are created on first use; names are listed in docs/METRICS.md.

    Attributes:
        recorder: What records are passed to: ``HeldRecords`` until the
            instruments are loaded.
    """

    def __init__(self) -> None:
        self.recorder: HeldRecords | Instruments = HeldRecords()

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Adds ``amount`` to the counter ``name``."""
        self.recorder.count(name, amount, labels)
        self._limit_held()

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Records a duration in seconds; ``name`` ends with ``_seconds``."""
        self.recorder.observe(name, seconds, labels)
        self._limit_held()

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge that calls ``read`` at each collection."""
        self.recorder.gauge(name, read)

    def total(self, name: str, read: Callable[[], float]) -> None:
        """Registers a counter whose total ``read`` returns, such as bytes."""
        self.recorder.total(name, read)

    def refused(self, refusal: Refusal) -> None:
        """Counts a refusal sent to a caller, by reason."""
        self.count("rattanmill_refusals", reason=refusal.reason)

    def retried(self, reason: str) -> None:
        """Counts a repeated attempt at an endpoint or the store, by reason."""
        self.count("rattanmill_retries", reason=reason)

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._load().exposition()

    async def read(self) -> bytes:
        """Like ``exposition``; loads the libraries beside the event loop."""
        if isinstance(self.recorder, HeldRecords):
            # Imports in the event loop would delay all other work of the
            # process by the time they take.
            await asyncio.to_thread(
                importlib.import_module, _INSTRUMENTS_MODULE
            )
        return self.exposition()

    def _limit_held(self) -> None:
        held = self.recorder
        if isinstance(held, HeldRecords) and held.size >= MAX_HELD_RECORDS:
            self._load()

    def _load(self) -> "Instruments":
        held = self.recorder
        if isinstance(held, HeldRecords):
            module = importlib.import_module(_INSTRUMENTS_MODULE)
            self.recorder = module.Instruments()
            held.pass_on(self.recorder)
        return self.recorder
