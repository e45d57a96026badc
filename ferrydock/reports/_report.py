"""The report on service-level burn, from what daemons counted minute by minute."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..table import Model, TableView
from ._burn import ALERTS, BurnMinute, merge_minutes

__all__ = ["BurnRow", "CountedMinute", "Objectives", "burn_rows", "objectives_of"]

WINDOWS_MINUTES = (5, 30, 60, 360)


@dataclass(frozen=True, slots=True)
class CountedMinute:
    """One minute that one daemon counted for a team and a model."""

    team: str
    model: str
    counted: BurnMinute


@dataclass(frozen=True, slots=True)
class Objectives:
    """What the table promises a team for a model."""

    first_token_ms: float
    between_tokens_ms: float
    speed_ratio: float
    whole_ratio: float


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn of one team, one model and one objective.

    Attributes
    ----------
    objective : str
        ``first_token``, ``between_tokens`` or ``whole``.
    wanted_ratio : float
        Part of the answers that must meet it.
    answers, bad : int
        Answers in the longest window, and those that missed it.
    p95_ms : float or None
        95th percentile over the longest window; None for ``whole``.
    burn : mapping of int to float or None
        Burn over each window in minutes; None where nothing was counted.
    budget_left_ratio : float
        Part of the longest window's error budget that is left; below 0 if overspent.
    alerts : tuple of str
        Alert lines whose long and short window both burn too fast.
    """

    team: str
    model: str
    objective: str
    wanted_ratio: float
    answers: int
    bad: int
    p95_ms: float | None
    burn: Mapping[int, float | None]
    budget_left_ratio: float
    alerts: tuple[str, ...]


def objectives_of(view: TableView, team: str, model: Model) -> Objectives:
    """Return a team's objectives for a model: its share's, or the model's where it names none."""
    share = view.share_of(team, model.name)
    first_ms = share.first_token_objective_ms if share is not None else 0
    between_ms = share.between_tokens_objective_ms if share is not None else 0
    return Objectives(
        first_ms or model.first_token_objective_ms,
        between_ms or model.between_tokens_objective_ms,
        model.objective_ratio,
        model.whole_objective_ratio,
    )


def burn_rows(
    view: TableView, counted: Iterable[CountedMinute], now_minute: int, team: str, model: str
) -> list[BurnRow]:
    """Return the rows of the report, for one team and model or, where empty, for all.

    Parameters
    ----------
    view : TableView
        Holds the objectives.
    counted : iterable of CountedMinute
        Minutes of all daemons.
    now_minute : int
        The present minute; windows end with it.
    team, model : str
        Filters; an empty one lets all through.
    """
    by_pair: dict[tuple[str, str], list[BurnMinute]] = {}
    for minute in counted:
        if team in ("", minute.team) and model in ("", minute.model):
            by_pair.setdefault((minute.team, minute.model), []).append(minute.counted)
    rows = []
    for (pair_team, pair_model), minutes in sorted(by_pair.items()):
        if pair_model in view.models:
            objectives = objectives_of(view, pair_team, view.models[pair_model])
            rows += _rows_of_pair(pair_team, pair_model, objectives, minutes, now_minute)
    return rows


def _rows_of_pair(
    team: str, model: str, objectives: Objectives, minutes: list[BurnMinute], now_minute: int
) -> list[BurnRow]:
    windows = {
        length: merge_minutes(m for m in minutes if m.minute > now_minute - length)
        for length in WINDOWS_MINUTES
    }
    first = {w: _late(total.first_token, objectives.first_token_ms) for w, total in windows.items()}
    between = {
        w: _late(total.between_tokens, objectives.between_tokens_ms) for w, total in windows.items()
    }
    whole = {w: (total.not_whole, total.answers) for w, total in windows.items()}
    longest = windows[WINDOWS_MINUTES[-1]]
    speed = objectives.speed_ratio
    return [
        _row(team, model, "first_token", speed, first, _p95(longest.first_token)),
        _row(team, model, "between_tokens", speed, between, _p95(longest.between_tokens)),
        _row(team, model, "whole", objectives.whole_ratio, whole, None),
    ]


def _late(histogram, objective_ms: float) -> tuple[int, int]:
    """Return how many values lie above the objective, and how many there are."""
    total = histogram.get_total_count()
    if total == 0:
        return 0, 0
    within = sum(
        item.count_at_value_iterated_to
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= histogram.get_highest_equivalent_value(int(objective_ms))
    )
    return total - within, total


def _p95(histogram) -> float | None:
    if histogram.get_total_count() == 0:
        return None
    return float(histogram.get_value_at_percentile(95))


def _row(
    team: str,
    model: str,
    objective: str,
    wanted: float,
    counts: Mapping[int, tuple[int, int]],
    p95_ms: float | None,
) -> BurnRow:
    allowed = 1 - wanted
    burn = {w: (bad / total / allowed if total else None) for w, (bad, total) in counts.items()}
    bad, total = counts[WINDOWS_MINUTES[-1]]
    left = 1 - (burn[WINDOWS_MINUTES[-1]] or 0.0)
    alerts = tuple(
        alert.name
        for alert in ALERTS
        if (burn[alert.long_minutes] or 0.0) >= alert.burn
        and (burn[alert.short_minutes] or 0.0) >= alert.burn
    )
    return BurnRow(team, model, objective, wanted, total, bad, p95_ms, burn, left, alerts)
