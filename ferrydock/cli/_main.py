"""``ferrydock``: the operators' command line, with its flags and usage text."""

import asyncio
import ipaddress
import os
import sys
from urllib.parse import urlsplit

import uvloop
from absl import flags

from ..demo_keys import DEMO_OPERATOR_KEY, DEMO_TEAM_KEY
from ..environment import apply_environment
from . import _demo, _emulate, _explain, _report, _request, _status, _table  # noqa: F401  each registers its verbs
from ._client import OperatorClient
from ._verbs import Context, ExitStatus, Verb, find_verb, finish, verbs

__all__ = ["main"]


def _define_flags() -> None:
    flags.DEFINE_string("daemon", "http://127.0.0.1:7070", "Address http://IP:PORT of a daemon.")
    flags.DEFINE_string("operator_key", "", "Operator key; by default the demo key, on loopback.")
    flags.DEFINE_integer("expect_revision", None, "Revision that the edit is based on.")
    flags.DEFINE_bool("dry_run", False, "Check an edit and write nothing.")
    flags.DEFINE_integer("until_revision", None, "Wait until this revision is in force.")
    flags.DEFINE_float("timeout_s", 30.0, "Longest wait.", 0.0, 86400.0)
    flags.DEFINE_bool("json", False, "Print JSON.")
    flags.DEFINE_string("explain", "", "Replica whose last decision to explain.")
    flags.DEFINE_string("replica", "", "Replica whose story to tell.")
    flags.DEFINE_string("report", "", "Where to write the page of an emulation.")
    flags.DEFINE_string("against", "", "Result file of an earlier emulation, to compare with.")
    flags.DEFINE_string("team_key", DEMO_TEAM_KEY, "Key of the team that sends a request.")
    flags.DEFINE_string("key", "", "Idempotency key: the request runs at most once.")
    flags.DEFINE_string("format", "text", "Form of a report: text, json or html.")
    flags.DEFINE_string("team", "", "Only this team.")
    flags.DEFINE_string("model", "", "Only this model.")
    flags.DEFINE_integer("window", 360, "Minutes that a report looks back.", 1, 360)
    flags.DEFINE_integer("max_tokens", 512, "Longest answer.", 1, 1000000)


def _usage() -> str:
    lines = ["ferrydock [--daemon=http://IP:PORT] [--operator_key=KEY] VERB ...", ""]
    for verb in verbs():
        lines.append(f"  {verb.name} {verb.usage}".rstrip())
        lines.append(f"      {verb.doc}")
    lines += ["", "Exit status: 0 done, 2 bad input, 3 conflict, 4 outcome unknown, 5 unreachable."]
    return "\n".join(lines)


def _verb_help(verb: Verb) -> str:
    return f"ferrydock {verb.name} {verb.usage}\n\n{verb.doc}"


def _is_loopback(url: str) -> bool:
    try:
        return ipaddress.ip_address(urlsplit(url).hostname or "").is_loopback
    except ValueError:
        return False


async def _run(verb: Verb, args: list[str]) -> ExitStatus:
    values = flags.FLAGS
    key = values.operator_key
    if not key and _is_loopback(values.daemon):
        key = DEMO_OPERATOR_KEY
    client = OperatorClient(values.daemon, key)
    try:
        return await verb.run(Context(client, values), args)
    finally:
        await client.close()


def main(argv: list[str] | None = None) -> int:
    """Run the verb that the arguments name, and return the exit status of the process."""
    arguments = list(sys.argv if argv is None else argv)
    wants_help = "--help" in arguments or "-h" in arguments
    arguments = [a for a in arguments if a not in ("--help", "-h")]
    _define_flags()
    try:
        words = flags.FLAGS(arguments)[1:]
    except flags.Error as error:
        return finish(ExitStatus.BAD_INPUT, str(error).splitlines()[0])
    invalid = apply_environment(flags.FLAGS, os.environ)
    if invalid is not None:
        return finish(ExitStatus.BAD_INPUT, invalid.reason)
    found = find_verb(words)
    if wants_help or not words:
        print(_verb_help(found[0]) if found is not None else _usage())
        return ExitStatus.DONE
    if found is None:
        return finish(ExitStatus.BAD_INPUT, f"there is no verb {' '.join(words)!r}; try --help")
    verb, args = found
    try:
        return uvloop.run(_run(verb, args))
    except (KeyboardInterrupt, asyncio.CancelledError):
        return finish(ExitStatus.UNKNOWN, "interrupted")


if __name__ == "__main__":
    sys.exit(main())
