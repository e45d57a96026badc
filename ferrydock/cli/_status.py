"""The verbs `status` and `version`."""

import orjson

from .. import __version__
from ._verbs import Context, ExitStatus, finish, register_verb

__all__ = []


@register_verb(
    "status",
    "[--json] [--explain=REPLICA]",
    "Show halls, replicas with their boxes, who is controller, and what is waiting.",
)
async def status(context: Context, args: list[str]) -> ExitStatus:
    """Print the status of the site as last reported to the daemon."""
    fields = await context.client.get("/operator/status")
    if not isinstance(fields, dict):
        return finish(ExitStatus.UNREACHABLE, fields.reason)
    if context.flags.json:
        print(orjson.dumps(fields, option=orjson.OPT_INDENT_2).decode())
        return ExitStatus.DONE
    if context.flags.explain:
        return _print_decision(fields, context.flags.explain)
    _print_status(fields)
    return ExitStatus.DONE


def _print_decision(fields: dict, replica: str) -> ExitStatus:
    """Print the hall controller's last decision on a replica, and the reason for it."""
    for found in fields["replicas"]:
        if found["replica"] == replica:
            why = found["why"] or "only the hall's controller knows why: ask it"
            print(f"{replica} {found['phase']} on {' '.join(found['boxes'])}")
            return finish(ExitStatus.DONE, why)
    return finish(ExitStatus.BAD_INPUT, f"--explain: there is no replica {replica!r} in this hall")


def _print_status(fields: dict) -> None:
    print(f"daemon {fields['daemon']} revision {fields['revision']} store {fields['store']}")
    for hall in fields["halls"]:
        store_note = " store away" if hall["store_away"] else ""
        age_note = f" not heard of for {hall['age_s']:.0f} s" if hall["age_s"] > 15 else ""
        print(
            f"hall {hall['hall']}: {hall['daemons']} daemons, revision {hall['lowest_revision']}, "
            f"{hall['serving']} of {hall['wanted']} replicas, "
            f"controller {hall['controller'] or 'none'}{store_note}{age_note}"
        )
    for member in fields["members"]:
        note = " stopping" if member["stopping"] else ""
        print(f"  daemon {member['name']} {member['status']} at {member['revision']}{note}")
    for replica in fields["replicas"]:
        completeness = "whole" if replica["whole"] else "not whole"
        load = f"{replica['running']} running {replica['waiting']} waiting"
        print(
            f"  replica {replica['replica']} {replica['model']} {replica['phase']} "
            f"{completeness} {load}"
        )
        print(f"    boxes {' '.join(replica['boxes'])}")
    for waiting in fields["waiting"]:
        counts = ""
        if "wanted" in waiting:
            counts = f" {waiting['serving']} of {waiting['wanted']}"
        print(f"  waiting: {waiting['what']}{counts} {waiting['why']}")


@register_verb("version", "", "Print the version.")
async def version(context: Context, args: list[str]) -> ExitStatus:
    """Print the version of the command line."""
    print(f"ferrydock {__version__}")
    return ExitStatus.DONE
