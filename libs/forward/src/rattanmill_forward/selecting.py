"""Selects the endpoint for the next attempt of a call."""

from rattanmill_forward.candidates import draw_candidates
from rattanmill_forward.domains import DomainMonitor
from rattanmill_forward.endpoints import Endpoint, EndpointRegistry
from rattanmill_forward.jobs import Job
from rattanmill_forward.placing import choose, expected_seconds
from rattanmill_forward.stats import PerformanceModel, Pick


class EndpointSelector:
    """Selects endpoints by expected finish among those that may get a call.

    Args:
        registry: The registered endpoints.
        performance: Load and speed of the endpoints, as learned from calls.
        domains: Tracks which failure domains are unreachable.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        performance: PerformanceModel,
        domains: DomainMonitor,
    ) -> None:
        self.registry = registry
        self.performance = performance
        self.domains = domains

    def pick(self, job: Job) -> Pick | None:
        """Chooses an endpoint; returns None if none may get the call."""
        usable = self._usable_endpoints(job)
        if not usable:
            return None
        if job.service.name not in self.performance.services_with_slowdown:
            return self._pick_among(job, usable)
        drawn = draw_candidates(
            usable,
            self.performance.own_domain,
            self.performance.cached_tokens(usable, job.call.prompt_parts),
        )
        return self._pick_among(job, drawn, is_sampled=len(drawn) < len(usable))

    def pick_of_all(self, job: Job) -> Pick:
        """Chooses among all endpoints that may get the call.

        Needs at least one, as after ``pick`` has found one.
        """
        return self._pick_among(job, self._usable_endpoints(job))

    def _pick_among(
        self, job: Job, candidates: list[Endpoint], is_sampled: bool = False
    ) -> Pick:
        """Chooses one of some endpoints."""
        events = job.expected_events()
        estimates = {
            endpoint.name: (
                endpoint,
                self.performance.estimate(
                    endpoint, job.call, job.timing_key, events
                ),
            )
            for endpoint in candidates
        }
        best = choose([estimate for _, estimate in estimates.values()])
        endpoint = estimates[best.name][0]
        cached = self.performance.stats_of(endpoint).cached_tokens(
            job.call.prompt_parts
        )
        return Pick(
            endpoint,
            expected_seconds(best),
            best.active_requests,
            cached,
            job.call.uncached_tokens(cached),
            len(candidates),
            best,
            tuple(estimate for _, estimate in estimates.values()),
            is_sampled,
        )

    def _usable_endpoints(self, job: Job) -> list[Endpoint]:
        """Returns the endpoints that may get a call, preferring healthy ones.

        Each further endpoint counts against the route's maximum number of
        attempts. An endpoint that did not go on with a stream is asked again
        only if no other endpoint can be.
        """
        endpoints = self.registry.by_service.get(job.service.name, ())
        if not job.has_attempts_left:
            endpoints = [e for e in endpoints if e.name in job.possible_runs]
        # A call sent into a partitioned domain may run without anybody being
        # able to tell.
        eligible = [
            endpoint
            for endpoint in endpoints
            if endpoint.name not in job.excluded
            and endpoint.domain not in self.domains.unreachable
        ]
        able = [e for e in eligible if e.name not in job.not_continued]
        eligible = able or eligible
        return self.performance.not_avoided(eligible) or eligible
