"""Metrics of requests, and the report on how fast error budgets are used up."""

from ._burn import ALERTS, Alert, BurnHistory, BurnMinute, Sample, merge_minutes
from ._page import burn_html, burn_text
from ._recorder import Recorder, make_statsd
from ._report import BurnRow, CountedMinute, Objectives, burn_rows, objectives_of

__all__ = [
    "ALERTS",
    "Alert",
    "BurnHistory",
    "BurnMinute",
    "BurnRow",
    "CountedMinute",
    "Objectives",
    "Recorder",
    "Sample",
    "burn_html",
    "burn_rows",
    "burn_text",
    "make_statsd",
    "merge_minutes",
    "objectives_of",
]
