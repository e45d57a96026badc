"""The burn report of a site, gathered through one daemon."""

import time
from dataclasses import asdict

from ..reports import burn_rows

__all__ = ["burn_fields"]

LONGEST_MINUTES = 360


async def burn_fields(node, query: dict) -> dict:
    """Return the report as JSON fields.

    Parameters
    ----------
    node : Node
        Gathers.
    query : dict
        ``team`` and ``model`` as filters, ``window`` in minutes for the gaps that are shown.
    """
    wall_s = node.clock.wall_s()
    now_minute = int(wall_s // 60)
    gathered = await node.burn_gatherer.gather(now_minute - LONGEST_MINUTES)
    view = node.keeper.view
    team, model = query.get("team", ""), query.get("model", "")
    rows = burn_rows(view, gathered.minutes, now_minute, team, model) if view is not None else []
    window = int(query["window"]) if query.get("window", "").isdigit() else LONGEST_MINUTES
    return {
        "rows": [_row_fields(row) for row in rows],
        "halls": _hall_lines(node, gathered.daemons),
        "gaps": _gaps(gathered, wall_s, window),
    }


def _row_fields(row) -> dict:
    fields = asdict(row)
    fields["burn"] = {str(window): value for window, value in row.burn.items()}
    return fields


def _hall_lines(node, daemons) -> list[dict]:
    """Return replica downtime and stranded accelerators, as the controllers saw them."""
    now_s = node.clock.now_s()
    summaries = [node.state.own_summary(now_s), *node.state.halls.values()]
    lines = []
    for summary in sorted(summaries, key=lambda s: s.hall):
        mine = [d for d in daemons if d.hall == summary.hall]
        short_h = sum(d.short_replica_s for d in mine) / 3600
        stranded_h = sum(d.stranded_box_s for d in mine) / 3600
        line = (
            f"{summary.serving} of {summary.wanted} replicas, {short_h:.3f} replica-hours short "
            f"and {stranded_h:.2f} box-hours stranded as far as its daemons remember"
        )
        lines.append(
            {
                "hall": summary.hall,
                "short_replica_h": short_h,
                "stranded_box_h": stranded_h,
                "line": line,
            }
        )
    return lines


def _gaps(gathered, wall_s: float, window_minutes: int) -> list[str]:
    """Return what the report does not know: replaced daemons, and daemons not reached."""
    gaps = [f"{name} was not reached" for name in gathered.not_reached]
    since_s = wall_s - window_minutes * 60
    for daemon in sorted(gathered.daemons, key=lambda d: d.name):
        if daemon.started_wall_s > since_s:
            at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(daemon.started_wall_s))
            gaps.append(
                f"{daemon.hall}/{daemon.name} counts since {at}; what a daemon before it counted "
                "is lost"
            )
    return gaps
