"""Counts answers for the burn rate: how fast the error budget of a team and model is used up.

Each answer is counted in the minute in which it ended. At burn 1 the error budget is used up
exactly at the end of the objective's period. Each alert compares the burn over a long window,
which shows that it is significant, and over a short one, which shows that it goes on. Source:
"The Site Reliability Workbook", chapter 5, multiwindow alerts.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["ALERTS", "Alert", "BurnHistory", "BurnMinute", "Sample", "merge_minutes"]

MINUTE_S = 60
KEPT_MINUTES = 6 * 60
HISTOGRAM_LOW_MS = 1
HISTOGRAM_HIGH_MS = 3_600_000
HISTOGRAM_SIGNIFICANT_DIGITS = 2


@dataclass(frozen=True, slots=True)
class Alert:
    """An alert, raised if the burn over a long and a short window reaches a threshold.

    Attributes
    ----------
    long_minutes, short_minutes : int
        Lengths of the windows, which both end with the present minute.
    burn : float
        Threshold.
    """

    name: str
    long_minutes: int
    short_minutes: int
    burn: float


ALERTS = (Alert("page", 60, 5, 14.4), Alert("page_slow", 360, 30, 6.0))


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of one request as its caller observed it.

    Attributes
    ----------
    complete : bool
        Whether the caller received the complete answer.
    first_token_ms, between_tokens_ms : float or None
        Time to the first token, and mean time between tokens; None if not observed, as for an
        answer that is not streamed.
    """

    complete: bool
    first_token_ms: float | None = None
    between_tokens_ms: float | None = None


def _histogram() -> HdrHistogram:
    return HdrHistogram(HISTOGRAM_LOW_MS, HISTOGRAM_HIGH_MS, HISTOGRAM_SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class BurnMinute:
    """Answers for one team and model that ended in one minute, on one or more daemons."""

    minute: int
    answers: int = 0
    incomplete: int = 0
    first_token: HdrHistogram = field(default_factory=_histogram)
    between_tokens: HdrHistogram = field(default_factory=_histogram)

    def add(self, sample: Sample) -> None:
        """Count one answer."""
        self.answers += 1
        if not sample.complete:
            self.incomplete += 1
        if sample.first_token_ms is not None:
            self.first_token.record_value(_in_range(sample.first_token_ms))
        if sample.between_tokens_ms is not None:
            self.between_tokens.record_value(_in_range(sample.between_tokens_ms))

    def merge(self, other: "BurnMinute") -> None:
        """Add the counts of `other`, from another daemon or minute."""
        self.answers += other.answers
        self.incomplete += other.incomplete
        self.first_token.add(other.first_token)
        self.between_tokens.add(other.between_tokens)


def _in_range(value_ms: float) -> int:
    return min(HISTOGRAM_HIGH_MS, max(HISTOGRAM_LOW_MS, round(value_ms)))


class BurnHistory:
    """Answers counted by one daemon, minute by minute, over the last `KEPT_MINUTES`.

    Parameters
    ----------
    started_s : float
        Wall-clock time from which on this daemon counts; the report shows earlier time as a gap.
    """

    __slots__ = ("_minutes", "started_s")

    def __init__(self, started_s: float):
        self.started_s = started_s
        self._minutes: dict[tuple[str, str], deque[BurnMinute]] = {}

    def add(self, team: str, model: str, sample: Sample, wall_s: float) -> None:
        """Count one answer that ended at the wall-clock time `wall_s`."""
        minute = int(wall_s // MINUTE_S)
        kept = self._minutes.setdefault((team, model), deque(maxlen=KEPT_MINUTES))
        if not kept or kept[-1].minute != minute:
            kept.append(BurnMinute(minute))
        kept[-1].add(sample)

    def pairs(self) -> Iterable[tuple[str, str]]:
        """Return the pairs of team and model for which an answer was counted."""
        return tuple(self._minutes)

    def minutes_since(self, team: str, model: str, since_minute: int) -> list[BurnMinute]:
        """Return the counts from `since_minute` on, in minutes since the Unix epoch."""
        kept = self._minutes.get((team, model), ())
        return [minute for minute in kept if minute.minute >= since_minute]


def merge_minutes(minutes: Iterable[BurnMinute]) -> BurnMinute:
    """Return the sum of the counts."""
    total = BurnMinute(0)
    for minute in minutes:
        total.merge(minute)
    return total
