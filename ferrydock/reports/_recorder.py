"""Counts and times what happens to requests: statsd, and the book for the burn report."""

import statsd

from ..clock import Clock
from ._burn import BurnBook, Sample

__all__ = ["Recorder", "make_statsd"]


def make_statsd(address: str) -> statsd.StatsClient | None:
    """Return a client that sends to ``IP:PORT`` over UDP, or None for an empty address."""
    if not address:
        return None
    host, port = address.rsplit(":", 1)
    return statsd.StatsClient(host, int(port), prefix="ferrydock")


class Recorder:
    """Notes how requests ended.

    Parameters
    ----------
    metrics : statsd.StatsClient or None
        Where counters go.
    clock : Clock
        Dates the minutes of the burn report.
    """

    __slots__ = ("burn", "clock", "metrics")

    def __init__(self, metrics: statsd.StatsClient | None, clock: Clock):
        self.metrics = metrics
        self.clock = clock
        self.burn = BurnBook(clock.wall_s())

    def ended(self, wanted, outcome, first_s: float | None, started_s: float, now_s: float) -> None:
        """Note a request that was run, or could not be.

        Parameters
        ----------
        wanted : ModelRequest
            What was asked.
        outcome : Ended or NotRun or GaveUp
            What became of it.
        first_s : float or None
            When the first event of a stream went to the caller.
        started_s, now_s : float
            When it was accepted, and when it ended.
        """
        answer = getattr(outcome, "answer", None)
        whole = answer is not None
        events = getattr(answer, "events", 0)
        sample = _sample(whole, events, first_s, started_s, now_s)
        self.burn.add(wanted.team, wanted.model, sample, self.clock.wall_s())
        word = "whole" if whole else outcome.run.value
        self.count(f"requests.{wanted.model}.{word}")
        self.time(f"requests.{wanted.model}.ms", (now_s - started_s) * 1000)
        if sample.first_token_ms is not None:
            self.time(f"requests.{wanted.model}.first_token_ms", sample.first_token_ms)

    def refused(self, wanted, reason: str) -> None:
        """Note a request beyond its team's limit; it is no failure of the service."""
        self.count(f"requests.{wanted.model}.{reason}")

    def left(self, wanted) -> None:
        """Note that the caller went away before the end."""
        self.count(f"requests.{wanted.model}.caller_left")

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self.metrics is not None:
            self.metrics.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self.metrics is not None:
            self.metrics.gauge(name, value)

    def time(self, name: str, value_ms: float) -> None:
        """Note a duration."""
        if self.metrics is not None:
            self.metrics.timing(name, value_ms)


def _sample(
    whole: bool, events: int, first_s: float | None, started_s: float, now_s: float
) -> Sample:
    """Return the answer as the burn report counts it."""
    if first_s is None:
        return Sample(whole)
    first_ms = (first_s - started_s) * 1000
    if events < 2:
        return Sample(whole, first_ms)
    return Sample(whole, first_ms, (now_s - first_s) * 1000 / (events - 1))
