"""Metrics that are computed from the daemon's state when they are scraped; owns no state."""

import logging
from collections.abc import Container, Sequence

from ..forwarding import RouteGateway
from ..logs import BoundedHandler
from ..replicas import ReplicaController
from ..route_metrics import RouteMetrics
from ..targets import TargetDirectory
from ._deployment import Deployment
from ._retry_shares import RetryShares

__all__ = ["Gauges"]


class Gauges:
    """Updates the gauges at each scrape; counters and histograms are updated as events happen.

    Parameters
    ----------
    deployment : Deployment
        Provides the store's era and the number of store calls.
    controllers : sequence of ReplicaController
        Provide the replica plans of the halls that this daemon leads.
    """

    __slots__ = (
        "controllers",
        "deployment",
        "directory",
        "gateway",
        "metrics",
        "retry_shares",
    )

    def __init__(
        self,
        metrics: RouteMetrics,
        gateway: RouteGateway,
        directory: TargetDirectory,
        retry_shares: RetryShares,
        deployment: Deployment,
        controllers: Sequence[ReplicaController],
    ):
        self.metrics = metrics
        self.gateway = gateway
        self.directory = directory
        self.retry_shares = retry_shares
        self.deployment = deployment
        self.controllers = controllers

    def text(self) -> str:
        """Update the gauges and return all metrics in the Prometheus text format."""
        metrics, current = self.metrics, self.gateway.current
        services = current.engine_services()
        replicas = [r for service in services for r in self.directory.replicas(service.name)]
        metrics.set_replicas(replica.model for replica in replicas)
        self._set_plans()
        metrics.targets.set(len(self.directory.targets))
        metrics.targets_idle.set(self._count_idle({service.name for service in services}))
        metrics.weight_loads.set(sum(c.state.staging.count for c in self.controllers))
        links = self.gateway.forwarder.attempts.upstream.dialer.links
        metrics.links_lost.set(links is not None and links.is_lost)
        metrics.in_flight.set(self.gateway.in_flight)
        metrics.caller_bytes_held.set(self.gateway.caller_bytes_held)
        selector = self.gateway.forwarder.selector
        metrics.waiting.set(selector.queue_length)
        metrics.set_team_queues(selector.waiting_by_team())
        metrics.targets_limited.set(self.gateway.forwarder.selector.catalog.limits.limited_count)
        backoffs = self.gateway.forwarder.selector.catalog.backoffs
        metrics.targets_resting.set(backoffs.count_among(self.directory.targets))
        metrics.halls_evacuated.set(self.gateway.forwarder.selector.catalog.evacuated.count)
        metrics.version.set(current.version)
        now_s = self.gateway.clock.now_s()
        cold = self.gateway.forwarder.selector.catalog.cold
        metrics.targets_cold.set(cold.count_among(self.directory.targets, now_s))
        metrics.age.set(current.age_s(now_s))
        metrics.store_era.set(self.deployment.store.era)
        metrics.targets_age.set(self.directory.age_s(now_s))
        for service, budget in self.retry_shares.items():
            metrics.budget_left.labels(service).set(budget.available)
        for result, calls in self.deployment.store_calls.items():
            metrics.store_calls.labels(result).set(calls)
        for labels, calls in self.deployment.call_counts.by_caller.items():
            metrics.store_calls_by_caller.labels(*labels).set(calls)
        crashes = self.gateway.forwarder.crashes.history
        metrics.crashing_known.set(crashes.refused_count)
        metrics.crashes_remembered.set(crashes.record_count)
        metrics.log_lines_left_out.set(_count_dropped_log_lines())
        return metrics.text().decode()

    def _count_idle(self, services: Container[str]) -> int:
        """Return the number of targets of services with engines that belong to no replica."""
        return sum(
            target.membership is None and not target.draining and target.service in services
            for target in self.directory.targets.values()
        )

    def _set_plans(self) -> None:
        self.metrics.clear_plans()
        for controller in self.controllers:
            for plan in controller.plans.values():
                self.metrics.add_plan(controller.hall, plan.replicas, plan.slots_wanted)


def _count_dropped_log_lines() -> int:
    handlers = logging.getLogger().handlers
    return sum(handler.dropped_count for handler in handlers if isinstance(handler, BoundedHandler))
