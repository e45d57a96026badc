"""The error-budget burn report of a site, collected by one daemon from all others."""

import time
from dataclasses import asdict

from ..reports import burn_rows

__all__ = ["burn_fields"]

MAX_WINDOW_MINUTES = 360


async def burn_fields(node, query: dict) -> dict:
    """Return the report as JSON fields.

    Parameters
    ----------
    node : Node
        The daemon that collects the report.
    query : dict
        ``team`` and ``model`` filter the rows; ``window`` is the period in minutes that the
        reported gaps cover.
    """
    wall_s = node.clock.wall_s()
    now_minute = int(wall_s // 60)
    gathered = await node.burn_gatherer.gather(now_minute - MAX_WINDOW_MINUTES)
    view = node.keeper.view
    team, model = query.get("team", ""), query.get("model", "")
    rows = burn_rows(view, gathered.minutes, now_minute, team, model) if view is not None else []
    window_minutes = (
        int(query["window"]) if query.get("window", "").isdigit() else MAX_WINDOW_MINUTES
    )
    return {
        "rows": [_row_fields(row) for row in rows],
        "halls": _hall_rows(node, gathered.daemons),
        "gaps": _gaps(gathered, wall_s, window_minutes),
    }


def _row_fields(row) -> dict:
    fields = asdict(row)
    fields["burn"] = {str(window): value for window, value in row.burn.items()}
    return fields


def _hall_rows(node, daemons) -> list[dict]:
    """Return replica downtime and stranded boxes by hall, as observed by the halls' controllers."""
    now_s = node.clock.now_s()
    summaries = [node.state.summarize_hall(now_s), *node.state.halls.values()]
    hall_rows = []
    for summary in sorted(summaries, key=lambda s: s.hall):
        hall_daemons = [d for d in daemons if d.hall == summary.hall]
        short_replica_h = sum(d.short_replica_s for d in hall_daemons) / 3600
        stranded_box_h = sum(d.stranded_box_s for d in hall_daemons) / 3600
        line = (
            f"{summary.serving} of {summary.wanted} replicas, {short_replica_h:.3f} replica-hours "
            f"short and {stranded_box_h:.2f} box-hours stranded as far as its daemons remember"
        )
        hall_rows.append(
            {
                "hall": summary.hall,
                "short_replica_h": short_replica_h,
                "stranded_box_h": stranded_box_h,
                "line": line,
            }
        )
    return hall_rows


def _gaps(gathered, wall_s: float, window_minutes: int) -> list[str]:
    """Return what the report lacks: daemons not reached, and counts lost when a daemon started."""
    gaps = [f"{name} was not reached" for name in gathered.not_reached]
    window_start_s = wall_s - window_minutes * 60
    for daemon in sorted(gathered.daemons, key=lambda d: d.name):
        if daemon.started_wall_s > window_start_s:
            started_at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(daemon.started_wall_s))
            gaps.append(
                f"{daemon.hall}/{daemon.name} counts since {started_at}; "
                "what a daemon before it counted is lost"
            )
    return gaps
