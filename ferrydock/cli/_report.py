"""The verb `report burn`."""

import orjson

from ..reports import burn_html, burn_text
from ._verbs import Context, ExitStatus, register_verb, say

__all__ = []

FORMATS = ("text", "json", "html")


@register_verb(
    "report burn",
    "[--format=text|json|html] [--team=T] [--model=M] [--window=MINUTES]",
    "Print how fast the error budgets burn, over all daemons that can be reached.",
)
async def burn(context: Context, args: list[str]) -> ExitStatus:
    """Print the burn report."""
    wanted = context.flags.format
    if args or wanted not in FORMATS:
        return say(ExitStatus.BAD_INPUT, f"--format: {wanted!r}; allowed: {', '.join(FORMATS)}")
    query = {
        "team": context.flags.team,
        "model": context.flags.model,
        "window": str(context.flags.window),
    }
    report = await context.client.get("/operator/burn", **query)
    if not isinstance(report, dict):
        return say(ExitStatus.UNREACHABLE, report.reason)
    if wanted == "json":
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    elif wanted == "html":
        print(burn_html(report))
    else:
        print(burn_text(report))
    return ExitStatus.DONE
