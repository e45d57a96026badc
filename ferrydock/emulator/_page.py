"""The report of an emulation: figures, and one self-contained HTML page with plots."""

import html
from collections import Counter

from hdrh.histogram import HdrHistogram

from ._load import Call
from ._result import PROMISES, Result

__all__ = ["figures", "page"]

WIDTH, HEIGHT = 640, 120
PERCENTILES = (50, 90, 99)
SLICES = 40
_COLOURS = {"served": "#3a7d44", "503": "#d9a441", "cut": "#b23a48", "no_answer": "#6b2737"}


def figures(result: Result) -> dict:
    """Return the figures of a run, in the form of its result file."""
    outcomes = Counter(call.outcome for call in result.calls)
    served = [call for call in result.calls if call.outcome == "served"]
    return {
        "name": result.name,
        "seed": result.seed,
        "requests": len(result.calls),
        "outcomes": dict(sorted(outcomes.items())),
        "served_part": len(served) / len(result.calls) if result.calls else 0.0,
        "answer_ms": _percentiles(served),
        "broken": result.broken,
        "troubles": result.troubles,
        "memory_mb": result.memory_bytes / 1e6,
        "store_calls": result.store_calls,
        "replicas_at_end": result.replicas_at_end,
    }


def _percentiles(calls: list[Call]) -> dict[str, float]:
    histogram = HdrHistogram(1, 60000, 3)
    for call in calls:
        histogram.record_value(max(1, int(call.took_s * 1000)))
    if not calls:
        return {}
    return {f"p{p}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def _plot(calls: list[Call], length_s: float) -> str:
    """Return an SVG of stacked outcomes over time."""
    slices: list[Counter[str]] = [Counter() for _ in range(SLICES)]
    for call in calls:
        slice_index = min(SLICES - 1, int(call.at_s / length_s * SLICES))
        slices[slice_index][call.outcome] += 1
    max_calls = max((sum(counts.values()) for counts in slices), default=1) or 1
    bars = []
    for number, counts in enumerate(slices):
        top = float(HEIGHT)
        for outcome, count in sorted(counts.items(), key=lambda pair: pair[0] != "served"):
            bar_height = count / max_calls * HEIGHT
            top -= bar_height
            colour = _COLOURS.get(outcome, "#7a7a7a")
            bars.append(
                f'<rect x="{number * WIDTH / SLICES:.1f}" y="{top:.1f}" '
                f'width="{WIDTH / SLICES - 1:.1f}" height="{bar_height:.1f}" fill="{colour}">'
                f"<title>{html.escape(outcome)}: {count}</title></rect>"
            )
    return f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}">{"".join(bars)}</svg>'


def _row(name: str, ours, other) -> str:
    cells = f"<td>{html.escape(str(ours))}</td>"
    if other is not None:
        cells += f"<td>{html.escape(str(other))}</td>"
    return f"<tr><th>{html.escape(name)}</th>{cells}</tr>"


def _table(ours: dict, other: dict | None) -> str:
    names = ("requests", "served_part", "outcomes", "answer_ms", "memory_mb", "store_calls")
    rows = [_row(name, ours[name], other.get(name) if other else None) for name in names]
    return f"<table>{''.join(rows)}</table>"


def page(result: Result, against: dict | None = None) -> str:
    """Return the HTML page of a run, compared with the figures of another run if given."""
    ours = figures(result)
    length_s = max((call.at_s for call in result.calls), default=1.0) or 1.0
    broken = "".join(f"<li>{html.escape(line)}</li>" for line in result.broken)
    troubles = "".join(f"<li>{html.escape(line)}</li>" for line in result.troubles)
    promises = "".join(f"<li>{html.escape(line)}</li>" for line in PROMISES)
    legend = " ".join(
        f'<span style="color:{colour}">&#9632; {name}</span>' for name, colour in _COLOURS.items()
    )
    verdict = f"{len(result.broken)} broken" if result.broken else "all held"
    return f"""<!doctype html><html lang="en"><meta charset="utf-8">
<title>{html.escape(result.name)}</title>
<style>body{{font:15px sans-serif;max-width:720px;margin:2em auto}}th{{text-align:left}}
td,th{{padding:2px 10px 2px 0;vertical-align:top}}</style>
<h1>{html.escape(result.name)}</h1><p>Seed {result.seed}. Promises: {verdict}.</p>
<h2>Requests over time</h2>{_plot(result.calls, length_s)}<p>{legend}</p>
<h2>Figures</h2>{_table(ours, against)}
<h2>Promises</h2><ul>{promises}</ul><h2>Broken</h2><ul>{broken or "<li>none</li>"}</ul>
<h2>Troubles</h2><ul>{troubles or "<li>none</li>"}</ul></html>
"""
