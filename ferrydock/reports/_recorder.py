"""Records the results and durations of requests, for statsd and for the burn report."""

import statsd

from ..clock import Clock
from ._burn import BurnHistory, Sample

__all__ = ["Recorder", "make_statsd"]


def make_statsd(address: str) -> statsd.StatsClient | None:
    """Return a client that sends to ``IP:PORT`` over UDP, or None for an empty address."""
    if not address:
        return None
    host, port = address.rsplit(":", 1)
    return statsd.StatsClient(host, int(port), prefix="ferrydock")


class Recorder:
    """Records the results of requests in statsd and in the counts of the burn report.

    Parameters
    ----------
    metrics : statsd.StatsClient or None
        Client that metrics are sent with; None sends none.
    clock : Clock
        Gives the wall-clock time that selects the minute of the burn report.
    """

    __slots__ = ("burn", "clock", "metrics")

    def __init__(self, metrics: statsd.StatsClient | None, clock: Clock):
        self.metrics = metrics
        self.clock = clock
        self.burn = BurnHistory(clock.wall_s())

    def record_end(
        self, request, outcome, first_s: float | None, started_s: float, now_s: float
    ) -> None:
        """Record the end of a request that was admitted.

        Parameters
        ----------
        request : ModelRequest
            The request.
        outcome : Completed or NotRun or Failed
            Its result.
        first_s : float or None
            Time on the clock at which the first event of a stream was sent to the caller.
        started_s, now_s : float
            Times on the clock at which the request was accepted, and at which it ended.
        """
        answer = getattr(outcome, "answer", None)
        complete = answer is not None
        events = getattr(answer, "events", 0)
        sample = _sample(complete, events, first_s, started_s, now_s)
        self.burn.add(request.team, request.model, sample, self.clock.wall_s())
        result = "whole" if complete else outcome.run.value
        self.count(f"requests.{request.model}.{result}")
        self.time(f"requests.{request.model}.ms", (now_s - started_s) * 1000)
        if sample.first_token_ms is not None:
            self.time(f"requests.{request.model}.first_token_ms", sample.first_token_ms)

    def record_refusal(self, request, reason: str) -> None:
        """Record a request refused because of its team's limit.

        It does not count in the burn report, as it is no failure of the service.
        """
        self.count(f"requests.{request.model}.{reason}")

    def record_disconnect(self, request) -> None:
        """Record that the caller disconnected before the request ended."""
        self.count(f"requests.{request.model}.caller_left")

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""
        if self.metrics is not None:
            self.metrics.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.metrics is not None:
            self.metrics.gauge(name, value)

    def time(self, name: str, value_ms: float) -> None:
        """Record a duration."""
        if self.metrics is not None:
            self.metrics.timing(name, value_ms)


def _sample(
    complete: bool, events: int, first_s: float | None, started_s: float, now_s: float
) -> Sample:
    """Return the sample for the burn report; each event of a stream counts as one token."""
    if first_s is None:
        return Sample(complete)
    first_ms = (first_s - started_s) * 1000
    if events < 2:
        return Sample(complete, first_ms)
    return Sample(complete, first_ms, (now_s - first_s) * 1000 / (events - 1))
