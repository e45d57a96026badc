"""Computes the burn report from the counts per minute of all daemons."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..table import Model, TableView
from ._burn import ALERTS, BurnMinute, merge_minutes

__all__ = ["BurnRow", "CountedMinute", "Objectives", "burn_rows", "objectives_of"]

WINDOWS_MINUTES = (5, 30, 60, 360)


@dataclass(frozen=True, slots=True)
class CountedMinute:
    """The counts of one daemon for one minute, team and model."""

    team: str
    model: str
    counts: BurnMinute


@dataclass(frozen=True, slots=True)
class Objectives:
    """Service-level objectives of a team for a model.

    Attributes
    ----------
    first_token_ms, between_tokens_ms : float
        Time to the first token, and mean time between tokens, that answers must not exceed.
    latency_ratio : float
        Share of the answers that must meet each of these times.
    complete_ratio : float
        Share of the answers that must be complete.
    """

    first_token_ms: float
    between_tokens_ms: float
    latency_ratio: float
    complete_ratio: float


@dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn of one team, one model and one objective.

    Attributes
    ----------
    objective : str
        ``first_token``, ``between_tokens`` or ``whole``.
    wanted_ratio : float
        Share of the answers that must meet the objective.
    answers, bad : int
        Answers in the longest window that the objective applies to, and those that missed it.
    p95_ms : float or None
        95th percentile over the longest window; None for ``whole`` and without answers.
    burn : mapping of int to float or None
        Burn by length of the window in minutes; None for a window without answers.
    budget_left_ratio : float
        Remaining share of the longest window's error budget; below 0 if it is exceeded.
    alerts : tuple of str
        Names of the alerts whose threshold the burn reaches over both windows.
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
    """Return a team's objectives for a model: those of its share where set, else the model's."""
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
    """Return the rows of the report: one for each team, model and objective.

    Parameters
    ----------
    view : TableView
        Table with the objectives; models that it does not hold are left out.
    counted : iterable of CountedMinute
        Counts of all daemons.
    now_minute : int
        Present minute since the Unix epoch, with which all windows end.
    team, model : str
        Only this team and this model; an empty string selects all.
    """
    by_pair: dict[tuple[str, str], list[BurnMinute]] = {}
    for minute in counted:
        if team in ("", minute.team) and model in ("", minute.model):
            by_pair.setdefault((minute.team, minute.model), []).append(minute.counts)
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
    first = {
        w: _count_above(total.first_token, objectives.first_token_ms)
        for w, total in windows.items()
    }
    between = {
        w: _count_above(total.between_tokens, objectives.between_tokens_ms)
        for w, total in windows.items()
    }
    incomplete = {w: (total.incomplete, total.answers) for w, total in windows.items()}
    longest = windows[WINDOWS_MINUTES[-1]]
    latency_ratio = objectives.latency_ratio
    return [
        _row(team, model, "first_token", latency_ratio, first, _p95(longest.first_token)),
        _row(team, model, "between_tokens", latency_ratio, between, _p95(longest.between_tokens)),
        _row(team, model, "whole", objectives.complete_ratio, incomplete, None),
    ]


def _count_above(histogram, objective_ms: float) -> tuple[int, int]:
    """Return the number of values above the objective, and the number of all values."""
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
    wanted_ratio: float,
    counts: Mapping[int, tuple[int, int]],
    p95_ms: float | None,
) -> BurnRow:
    budget_ratio = 1 - wanted_ratio
    burn = {
        w: (bad / total / budget_ratio if total else None) for w, (bad, total) in counts.items()
    }
    bad, total = counts[WINDOWS_MINUTES[-1]]
    budget_left_ratio = 1 - (burn[WINDOWS_MINUTES[-1]] or 0.0)
    alerts = tuple(
        alert.name
        for alert in ALERTS
        if (burn[alert.long_minutes] or 0.0) >= alert.burn
        and (burn[alert.short_minutes] or 0.0) >= alert.burn
    )
    return BurnRow(
        team,
        model,
        objective,
        wanted_ratio,
        total,
        bad,
        p95_ms,
        burn,
        budget_left_ratio,
        alerts,
    )
