"""The verb `report burn`."""

import orjson

from ..reports import burn_html, burn_text
from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []

FORMATS = ("text", "json", "html")


@register_verb(
    "report burn",
    "[--format=text|json|html] [--team=T] [--model=M] [--window=MINUTES]",
    "Print how fast the error budgets burn, over all daemons that can be reached.",
)
async def burn(context: Context, args: list[str]) -> ExitStatus:
    """Print the burn report in the form that the flag `format` names."""
    form = context.flags.format
    if args or form not in FORMATS:
        return finish(ExitStatus.BAD_INPUT, f"--format: {form!r}; allowed: {', '.join(FORMATS)}")
    query = {
        "team": context.flags.team,
        "model": context.flags.model,
        "window": str(context.flags.window),
    }
    report = await context.client.get("/operator/burn", **query)
    if not isinstance(report, dict):
        return finish(ExitStatus.UNREACHABLE, report.reason)
    if form == "json":
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    elif form == "html":
        print(burn_html(report))
    else:
        print(burn_text(report))
    return ExitStatus.DONE
