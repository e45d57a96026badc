"""Formats the burn report as text, and as one self-contained HTML page with charts."""

import html
from collections.abc import Mapping

from ._burn import ALERTS

__all__ = ["burn_html", "burn_text"]

BAR_WIDTH_PIXELS = 220
# Burn at which a bar has its full width; higher than the threshold of each alert.
FULL_BAR_BURN_RATIO = 15.0


def burn_text(report: Mapping) -> str:
    """Return the report as lines for a terminal."""
    lines = []
    for row in report["rows"]:
        burns = " ".join(f"{w}m={_format_burn(b)}" for w, b in row["burn"].items())
        p95 = "" if row["p95_ms"] is None else f" p95={row['p95_ms']:.0f}ms"
        alerts = f" ALERT {','.join(row['alerts'])}" if row["alerts"] else ""
        lines.append(
            f"{row['team']} {row['model']} {row['objective']} wanted={row['wanted_ratio']:g} "
            f"answers={row['answers']} bad={row['bad']}{p95} burn {burns} "
            f"budget_left={row['budget_left_ratio']:.1%}{alerts}"
        )
    lines += [f"hall {h['hall']}: {h['line']}" for h in report["halls"]]
    lines += [f"gap: {gap}" for gap in report["gaps"]]
    return "\n".join(lines) or "nothing was counted yet"


def _format_burn(burn: float | None) -> str:
    return "-" if burn is None else f"{burn:.2f}"


_STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 72em; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: .3em .7em; border-bottom: 1px solid #ddd; }
.alert { color: #a40000; font-weight: bold; }
.gap { color: #7a5b00; }
"""


def burn_html(report: Mapping) -> str:
    """Return the report as one HTML page that loads no other resources."""
    rows = "\n".join(_html_row(row) for row in report["rows"])
    halls = "\n".join(
        f"<li>{html.escape(h['hall'])}: {html.escape(h['line'])}</li>" for h in report["halls"]
    )
    gaps = "\n".join(f'<li class="gap">{html.escape(gap)}</li>' for gap in report["gaps"])
    lines = ", ".join(
        f"{a.name}: burn {a.burn:g} over {a.long_minutes} and {a.short_minutes} min" for a in ALERTS
    )
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>ferrydock: service-level burn</title>
<style>{_STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>Burn 1 uses up just the whole error budget. The dashed lines are the alert lines ({lines}).</p>
<table><thead><tr><th>Team</th><th>Model</th><th>Objective</th><th>Answers</th><th>Missed</th>
<th>p95</th><th>Burn over 5, 30, 60 and 360 minutes</th><th>Budget left</th></tr></thead>
<tbody>
{rows}
</tbody></table>
<h2>Halls</h2><ul>{halls}</ul>
<h2>Gaps</h2><ul>{gaps or "<li>none</li>"}</ul>
</body></html>
"""


def _html_row(row: Mapping) -> str:
    p95 = "" if row["p95_ms"] is None else f"{row['p95_ms']:.0f} ms"
    names = ", ".join(row["alerts"])
    alerts = f' <span class="alert">{html.escape(names)}</span>' if names else ""
    return (
        f"<tr><td>{html.escape(row['team'])}</td><td>{html.escape(row['model'])}</td>"
        f"<td>{row['objective']} ({row['wanted_ratio']:g})</td><td>{row['answers']}</td>"
        f"<td>{row['bad']}</td><td>{p95}</td><td>{_chart(row['burn'])}{alerts}</td>"
        f"<td>{row['budget_left_ratio']:.1%}</td></tr>"
    )


def _chart(burn: Mapping) -> str:
    """Return an SVG chart with one bar per window, and the alert lines."""
    bars = []
    for index, (window, value) in enumerate(burn.items()):
        y = index * 18
        width = min(1.0, (value or 0.0) / FULL_BAR_BURN_RATIO) * BAR_WIDTH_PIXELS
        colour = "#a40000" if (value or 0.0) >= 1 else "#2f6f4f"
        bars.append(f'<rect x="40" y="{y + 3}" width="{width:.1f}" height="12" fill="{colour}"/>')
        bars.append(f'<text x="0" y="{y + 13}" font-size="11">{window} m</text>')
        label = _format_burn(value)
        bars.append(f'<text x="{BAR_WIDTH_PIXELS + 48}" y="{y + 13}" font-size="11">{label}</text>')
    height = 18 * len(burn)
    for alert in ALERTS:
        x = 40 + min(1.0, alert.burn / FULL_BAR_BURN_RATIO) * BAR_WIDTH_PIXELS
        bars.append(
            f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{height}" stroke="#888" '
            'stroke-dasharray="3 3"/>'
        )
    return (
        f'<svg width="{BAR_WIDTH_PIXELS + 100}" height="{height}" role="img">{"".join(bars)}</svg>'
    )
