"""Shares load reports and cached prompt prefixes with other front ends.

Connects what a front end knows of its endpoints with the load exchange of the
storage instances.
"""

from typing import TYPE_CHECKING

from rattanmill_core import loop_seconds
from rattanmill_forward.calls import Load
from rattanmill_forward.endpoints import EndpointRegistry
from rattanmill_forward.stats import PerformanceModel
from rattanmill_keeper import CachedPrefix, EndpointLoad

if TYPE_CHECKING:
    from rattanmill_keeper.loads import LoadExchange


def share_loads(
    performance: PerformanceModel,
    registry: EndpointRegistry,
    loads: "LoadExchange",
) -> None:
    """Has own reports and prefixes passed on, and those of others recorded.

    Those about endpoints that are not registered are dropped.

    Args:
        performance: What is known of the endpoints.
        registry: The registered endpoints.
        loads: The load exchange.
    """

    def record_loads(reports: list[EndpointLoad]) -> None:
        now = loop_seconds()
        for report in reports:
            endpoint = registry.endpoints.get(report.endpoint)
            if endpoint:
                performance.record_load(
                    endpoint, _load_of(report), now - report.age_seconds
                )

    def record_prefixes(prefixes: list[CachedPrefix]) -> None:
        for cached in prefixes:
            endpoint = registry.endpoints.get(cached.endpoint)
            if endpoint:
                performance.stats_of(endpoint).record_shared_prefix(
                    cached.prefix
                )

    loads.on_loads = record_loads
    loads.on_prefixes = record_prefixes
    performance.on_own_load = lambda name, load: loads.record(
        _report_of(name, load)
    )
    performance.on_own_prefix = loads.record_prefix


def _report_of(endpoint: str, load: Load) -> EndpointLoad:
    return EndpointLoad(
        endpoint, load.running, load.waiting, load.slots, load.slowdown, 0.0
    )


def _load_of(report: EndpointLoad) -> Load:
    return Load(report.running, report.waiting, report.slots, report.slowdown)
