"""OpenTelemetry instruments, exposed in the Prometheus text format.

Loading these libraries takes a sixth of the time of a front end's imports, so
``metrics`` imports this module on first use.
"""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, Metric, generate_latest

_SHORT_BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5)
_LONG_BUCKETS_SECONDS = (1, 2, 5, 10, 20, 50, 100, 200, 500)


class Instruments:
    """The instruments of one process, created on first use."""

    def __init__(self) -> None:
        view = View(
            instrument_name="*_seconds",
            aggregation=ExplicitBucketHistogramAggregation(
                (*_SHORT_BUCKETS_SECONDS, *_LONG_BUCKETS_SECONDS)
            ),
        )
        self.provider = MeterProvider(
            metric_readers=[_create_reader()], views=[view]
        )
        self.meter = self.provider.get_meter("rattanmill")
        self.counters: dict[str, Counter] = {}
        self.histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: int, labels: dict[str, str]) -> None:
        """Adds ``amount`` to the counter ``name``."""
        counter = self.counters.get(name)
        if counter is None:
            counter = self.meter.create_counter(name)
            self.counters[name] = counter
        counter.add(amount, labels)

    def observe(
        self, name: str, seconds: float, labels: dict[str, str]
    ) -> None:
        """Records a duration in the histogram ``name``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.meter.create_histogram(name, unit="s")
            self.histograms[name] = histogram
        histogram.record(seconds, labels)

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Registers a gauge that calls ``read`` at each collection."""
        self.meter.create_observable_gauge(name, [_create_callback(read)])

    def total(self, name: str, read: Callable[[], float]) -> None:
        """Registers a counter whose total ``read`` returns."""
        self.meter.create_observable_counter(name, [_create_callback(read)])

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return generate_latest(_CountersFirst())


class _CountersFirst:
    """All metrics, counters and gauges first and those of the runtime last.

    Some collectors keep only the beginning of a long page.
    """

    def collect(self) -> list[Metric]:
        return sorted(REGISTRY.collect(), key=_position)


def _position(metric: Metric) -> tuple[bool, bool]:
    return (
        not metric.name.startswith("rattanmill_"),
        metric.type == "histogram",
    )


def _create_reader() -> PrometheusMetricReader:
    # There is one scope and one resource, whose labels only make the page long.
    return PrometheusMetricReader(
        disable_target_info=True, scope_info_enabled=False
    )


def _create_callback(
    read: Callable[[], float],
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return observe
