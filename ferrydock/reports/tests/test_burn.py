"""The burn report, compared with a naive count of the same answers, and its pages."""

import random

from ...table import RowKey, Table
from .. import (
    BurnHistory,
    CountedMinute,
    Sample,
    burn_html,
    burn_rows,
    burn_text,
    objectives_of,
)

NOW_MINUTE = 10_000
HISTOGRAM_ERROR_RATIO = 0.01


def view():
    rows = {
        RowKey("models", "draft"): {"first_token_objective_ms": "500"},
        RowKey("teams", "lanyu"): {},
        RowKey("teams", "kelenn"): {},
        RowKey("shares", "one"): {"team": "lanyu", "model": "draft"},
        RowKey("shares", "two"): {
            "team": "kelenn",
            "model": "draft",
            "first_token_objective_ms": "250",
        },
    }
    return Table(rows, 1).view()


def answers(seed, count):
    """Return random answers as (team, minute, sample), with no time near an objective.

    Near an objective the histogram's rounding error would change the count.
    """
    source = random.Random(seed)
    found = []
    for _ in range(count):
        first_ms = source.choice((40.0, 200.0, 300.0, 450.0, 900.0, 5000.0))
        between_ms = source.choice((10.0, 30.0, 60.0))
        sample = Sample(source.random() > 0.02, first_ms, between_ms)
        minute = NOW_MINUTE - source.randrange(0, 400)
        found.append((source.choice(("lanyu", "kelenn")), minute, sample))
    return sorted(found, key=lambda answer: answer[1])


def counted(found, daemons=3):
    """Count the answers on several daemons in turn, and return the counts of all."""
    histories = [BurnHistory(0.0) for _ in range(daemons)]
    for index, (team, minute, sample) in enumerate(found):
        histories[index % daemons].add(team, "draft", sample, minute * 60.0)
    return [
        CountedMinute(team, model, minute)
        for history in histories
        for team, model in history.pairs()
        for minute in history.minutes_since(team, model, 0)
    ]


def naive_bad(found, team, window, misses):
    inside = [s for t, minute, s in found if t == team and minute > NOW_MINUTE - window]
    return sum(misses(s) for s in inside), len(inside)


def test_burn_equals_a_naive_count_of_the_same_answers():
    for seed in range(20):
        found = answers(seed, 400)
        rows = burn_rows(view(), counted(found), NOW_MINUTE, "", "")
        assert len(rows) == 6
        for row in rows:
            first_ms = {"lanyu": 500, "kelenn": 250}[row.team]
            misses = {
                "first_token": lambda s, o=first_ms: s.first_token_ms > o,
                "between_tokens": lambda s: s.between_tokens_ms > 40,
                "whole": lambda s: not s.complete,
            }[row.objective]
            for window, burn in row.burn.items():
                bad, total = naive_bad(found, row.team, window, misses)
                if total == 0:
                    assert burn is None
                else:
                    assert abs(burn - bad / total / (1 - row.wanted_ratio)) < 1e-6
            bad, total = naive_bad(found, row.team, 360, misses)
            assert (row.bad, row.answers) == (bad, total)


def test_the_95th_percentile_is_within_the_histograms_error():
    found = [("lanyu", NOW_MINUTE, Sample(True, float(ms), 10.0)) for ms in range(1, 2001)]
    row = burn_rows(view(), counted(found), NOW_MINUTE, "lanyu", "draft")[0]
    assert abs(row.p95_ms - 1900) <= 1900 * HISTOGRAM_ERROR_RATIO + 1


def test_an_alert_is_raised_only_if_both_windows_burn_too_fast():
    old = [("lanyu", NOW_MINUTE - 50, Sample(False)) for _ in range(50)]
    good = [("lanyu", NOW_MINUTE, Sample(True)) for _ in range(50)]
    bad = [("lanyu", NOW_MINUTE, Sample(False)) for _ in range(50)]

    def alerts(found):
        rows = burn_rows(view(), counted(found), NOW_MINUTE, "", "")
        return next(r for r in rows if r.objective == "whole").alerts

    assert alerts(old + good) == ()
    assert "page" in alerts(old + bad)


def test_a_shares_objective_overrides_the_models():
    model = view().models["draft"]
    assert objectives_of(view(), "kelenn", model).first_token_ms == 250
    assert objectives_of(view(), "lanyu", model).first_token_ms == 500


def test_pages_escape_names_and_show_alerts_and_gaps():
    report = {
        "rows": [
            {
                "team": "<b>",
                "model": "draft",
                "objective": "whole",
                "wanted_ratio": 0.999,
                "answers": 5,
                "bad": 1,
                "p95_ms": None,
                "burn": {"5": 200.0, "30": None, "60": 1.0, "360": 0.5},
                "budget_left_ratio": 0.5,
                "alerts": ["page"],
            }
        ],
        "halls": [{"hall": "hall-a", "line": "1 of 1 replicas"}],
        "gaps": ["hall-a/x counts since then"],
    }
    page = burn_html(report)
    assert "<b>" not in page
    assert "&lt;b&gt;" in page
    assert "http" not in page.split("</style>")[1]
    text = burn_text(report)
    assert "ALERT page" in text
    assert "gap: hall-a/x" in text
    assert burn_text({"rows": [], "halls": [], "gaps": []}) == "nothing was counted yet"
