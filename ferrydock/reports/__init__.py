"""Metrics and the report on service-level burn."""

from ._burn import ALERTS, Alert, BurnBook, BurnMinute, Sample, merge_minutes
from ._recorder import Recorder, make_statsd

__all__ = [
    "ALERTS",
    "Alert",
    "BurnBook",
    "BurnMinute",
    "Recorder",
    "Sample",
    "make_statsd",
    "merge_minutes",
]
