"""Counters, gauges and histograms of the route daemon, in the Prometheus text format."""

import math
from collections.abc import Iterable, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["RouteMetrics"]

MAX_ROUTE_LABELS = 60
OTHER = "other"
_DURATION_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0, 8.0)
_LIST_AGE_BUCKETS_S = (0.1, 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 3.0, 5.0, 10.0)
_LOOP_LATE_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)
_SEND_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0)


class _LabelLimiter:
    """Returns the first `MAX_ROUTE_LABELS` distinct names unchanged, and ``other`` for the rest."""

    __slots__ = ("_labelled_names",)

    def __init__(self):
        self._labelled_names: set[str] = set()

    def __call__(self, name: str) -> str:
        if name in self._labelled_names:
            return name
        if len(self._labelled_names) >= MAX_ROUTE_LABELS:
            return OTHER
        self._labelled_names.add(name)
        return name


class RouteMetrics:
    """The metrics of one daemon.

    Notes
    -----
    A site may add and remove hundreds of routes, so only the first `MAX_ROUTE_LABELS` routes with
    requests get a label of their own.

    Examples
    --------
    >>> metrics = RouteMetrics()
    >>> metrics.count_request("r", "stream", "done", 0.2)
    >>> b'ferrydock_requests_total{kind="stream",outcome="done",route="r"} 1.0' in metrics.text()
    True
    >>> metrics.add_plan("hall-a", {"large": 2}, {"large": 11.5})
    >>> b'ferrydock_replicas_planned{hall="hall-a",model="large"} 2.0' in metrics.text()
    True
    >>> metrics.clear_plans()
    >>> b'model="large"' in metrics.text()
    False
    >>> metrics.set_team_queues({"blue": 3})
    >>> metrics.set_team_queues({"green": 1})
    >>> b'team_queue{team="green"} 1.0' in metrics.text(), b'team="blue"' in metrics.text()
    (True, False)
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        registry = self.registry
        self._routes = _LabelLimiter()
        self.requests = Counter(
            "ferrydock_requests",
            "Requests that have ended.",
            ("route", "kind", "outcome"),
            registry=registry,
        )
        self.first_answer = Histogram(
            "ferrydock_first_answer_seconds",
            "Time from a request to the first bytes of its answer.",
            ("kind",),
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.longest_gap = Histogram(
            "ferrydock_longest_gap_seconds",
            "Longest pause between two events of a stream.",
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.queue_wait = Histogram(
            "ferrydock_queue_wait_seconds",
            "Time that a request waited for room at a target.",
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.list_age_at_send = Histogram(
            "ferrydock_list_age_at_send_seconds",
            "Age of the target list when a request began to be sent to a target.",
            buckets=_LIST_AGE_BUCKETS_S,
            registry=registry,
        )
        self.send = Histogram(
            "ferrydock_send_seconds",
            "Time from the choice of a target to the first byte of the request.",
            buckets=_SEND_BUCKETS_S,
            registry=registry,
        )
        self.loop_late = Histogram(
            "ferrydock_loop_late_seconds",
            "How late a timer of the daemon's loop fired, checked 20 times a second.",
            buckets=_LOOP_LATE_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "ferrydock_attempts", "Attempts that have ended.", ("result",), registry=registry
        )
        self.links_lost = Gauge(
            "ferrydock_links_lost",
            "1 while this daemon reaches no target directly, otherwise 0.",
            registry=registry,
        )
        self.target_crashes = Counter(
            "ferrydock_target_crashes",
            "Attempts of this daemon that ended with their target's process.",
            registry=registry,
        )
        self.callers_cut = Counter(
            "ferrydock_callers_cut",
            "Callers cut because they did not read their answers.",
            ("why",),
            registry=registry,
        )
        self.connections_closed = Counter(
            "ferrydock_connections_closed",
            "Connections of callers that have ended, by the reason and by what they held then.",
            ("why", "state"),
            registry=registry,
        )
        self.caller_bytes_held = Gauge(
            "ferrydock_caller_bytes_held",
            "Bytes of answers that callers have not read yet, held in the daemon's memory.",
            registry=registry,
        )
        self.crashing_refused = Counter(
            "ferrydock_crashing_refused",
            "Requests refused since they crash their targets.",
            registry=registry,
        )
        self.crashing_known = Gauge(
            "ferrydock_crashing_known",
            "Requests known to crash their targets.",
            registry=registry,
        )
        self.crashes_remembered = Gauge(
            "ferrydock_crashes_remembered",
            "Requests remembered since a target ended under them.",
            registry=registry,
        )
        self.budget_left = Gauge(
            "ferrydock_retry_budget_left",
            "Retries that may be spent now.",
            ("service",),
            registry=registry,
        )
        self.replicas = Gauge(
            "ferrydock_replicas", "Open replicas known here.", ("model",), registry=registry
        )
        self.replicas_planned = Gauge(
            "ferrydock_replicas_planned",
            "Replicas that the halls led by this daemon should hold.",
            ("hall", "model"),
            registry=registry,
        )
        self.slots_wanted = Gauge(
            "ferrydock_slots_wanted",
            "Slots that the whole site's requests fill on average, as this daemon's halls plan by.",
            ("model",),
            registry=registry,
        )
        self.targets = Gauge("ferrydock_targets", "Targets known here.", registry=registry)
        self.targets_idle = Gauge(
            "ferrydock_targets_idle",
            "Targets known here that could serve in a replica and belong to none.",
            registry=registry,
        )
        self.weight_loads = Gauge(
            "ferrydock_weight_loads",
            "Loads of weights in progress in the halls led by this daemon.",
            registry=registry,
        )
        self.targets_age = Gauge(
            "ferrydock_targets_age_seconds",
            "How long ago the target list was surely complete.",
            registry=registry,
        )
        self.targets_limited = Gauge(
            "ferrydock_targets_limited",
            "Targets under a limit that they have named.",
            registry=registry,
        )
        self.targets_cold = Gauge(
            "ferrydock_targets_cold",
            "Targets that bear few requests, because they have started a short time ago.",
            registry=registry,
        )
        self.targets_resting = Gauge(
            "ferrydock_targets_resting",
            "Targets that want no requests of this daemon for a while.",
            registry=registry,
        )
        self.halls_evacuated = Gauge(
            "ferrydock_halls_evacuated",
            "Halls whose targets operators have evacuated, as known here.",
            registry=registry,
        )
        self.store_era = Gauge(
            "ferrydock_store_era", "How often the store has come back older.", registry=registry
        )
        self.in_flight = Gauge("ferrydock_in_flight", "Requests under way.", registry=registry)
        self.waiting = Gauge("ferrydock_waiting", "Requests that wait for room.", registry=registry)
        self.team_queue = Gauge(
            "ferrydock_team_queue",
            "Requests of a team in the queues of this daemon, for its hall if it leads one.",
            ("team",),
            registry=registry,
        )
        self.repairs = Counter(
            "ferrydock_repairs", "Replicas given up.", ("cause",), registry=registry
        )
        self.forming = Histogram(
            "ferrydock_forming_seconds",
            "Time from the plan of a replica until it is open.",
            ("result",),
            buckets=(0.5, 1, 2, 3, 5, 10, 20, 40),
            registry=registry,
        )
        self.version = Gauge(
            "ferrydock_configuration_version", "Version in force.", registry=registry
        )
        self.age = Gauge(
            "ferrydock_configuration_age_seconds",
            "How long ago the version in force was surely the newest.",
            registry=registry,
        )
        self.store_calls = Gauge(
            "ferrydock_store_calls",
            "Calls of the platform's store so far.",
            ("result",),
            registry=registry,
        )
        self.store_calls_by_caller = Gauge(
            "ferrydock_store_calls_by_caller",
            "Calls of the platform's store so far, by what makes them and the daemon's state.",
            ("kind", "caller", "state"),
            registry=registry,
        )
        self.log_lines_left_out = Gauge(
            "ferrydock_log_lines_left_out", "Log lines left out of late.", registry=registry
        )

    def count_request(self, route: str, kind: str, outcome: str, first_s: float | None) -> None:
        """Count a request that has ended.

        `first_s` is the time to the first byte of the answer in seconds; None if the caller
        received no answer of a target.
        """
        self.requests.labels(self._routes(route), kind, outcome).inc()
        if first_s is not None:
            self.first_answer.labels(kind).observe(first_s)

    def observe_send(self, send_s: float | None, list_age_s: float | None) -> None:
        """Observe the times of sending of one attempt.

        Parameters
        ----------
        send_s : float or None
            Seconds from the choice of the target to the first byte; None if none was written.
        list_age_s : float or None
            Age of the target list in seconds; an infinite one, of a list that was never confirmed,
            is left out, since it would make the sum of the histogram useless.
        """
        if send_s is not None:
            self.send.observe(send_s)
        if list_age_s is not None and math.isfinite(list_age_s):
            self.list_age_at_send.observe(list_age_s)

    def set_replicas(self, models: Iterable[str]) -> None:
        """Set the number of open replicas per model; `models` has one entry per open replica."""
        self.replicas.clear()
        for model in models:
            self.replicas.labels(model).inc()

    def set_team_queues(self, waiting: Mapping[str, int]) -> None:
        """Set the number of queued requests by team; other teams have no gauge."""
        self.team_queue.clear()
        for team, count in waiting.items():
            self.team_queue.labels(team).set(count)

    def clear_plans(self) -> None:
        """Remove the planned replicas and wanted slots of all halls and models."""
        self.replicas_planned.clear()
        self.slots_wanted.clear()

    def add_plan(
        self, hall: str, replicas: Mapping[str, int], slots_wanted: Mapping[str, float]
    ) -> None:
        """Set the replicas that a hall should have, and the slots wanted on the site, by model."""
        for model, count in replicas.items():
            self.replicas_planned.labels(hall, model).set(count)
        for model, slots in slots_wanted.items():
            self.slots_wanted.labels(model).set(slots)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
