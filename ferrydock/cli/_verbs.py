"""Registry of the verbs of the command line, their exit statuses, and their arguments."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum

from absl.flags import FlagValues

from ._client import OperatorClient

__all__ = ["Context", "ExitStatus", "Verb", "find_verb", "register_verb", "finish", "verbs"]


class ExitStatus(IntEnum):
    """Exit status of the process; the closing message begins with the status in words."""

    DONE = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5

    @property
    def word(self) -> str:
        """The words that the closing message begins with."""
        return _STATUS_TEXTS[self]


_STATUS_TEXTS = {
    ExitStatus.DONE: "done",
    ExitStatus.BAD_INPUT: "bad input",
    ExitStatus.CONFLICT: "conflict",
    ExitStatus.UNKNOWN: "outcome unknown",
    ExitStatus.UNREACHABLE: "unreachable",
}


@dataclass(slots=True)
class Context:
    """What every verb is called with, beside its arguments.

    Attributes
    ----------
    client : OperatorClient
        Client for the daemon that the flags name.
    flags : FlagValues
        Parsed flags.
    """

    client: OperatorClient
    flags: FlagValues


@dataclass(frozen=True, slots=True)
class Verb:
    """One verb of the command line.

    Attributes
    ----------
    name : str
        One or two words, as typed.
    usage : str
        Its arguments and flags, for the usage text.
    doc : str
        What it does, for the usage text.
    run : callable
        Coroutine function that is called with the context and the arguments.
    """

    name: str
    usage: str
    doc: str
    run: Callable[[Context, list[str]], Awaitable[ExitStatus]]


_VERBS: dict[str, Verb] = {}


def register_verb(name: str, usage: str, doc: str) -> Callable:
    """Return a decorator that registers a coroutine function as the verb `name`."""

    def register(run: Callable) -> Callable:
        _VERBS[name] = Verb(name, usage, doc, run)
        return run

    return register


def verbs() -> tuple[Verb, ...]:
    """Return all verbs, sorted by name."""
    return tuple(_VERBS[name] for name in sorted(_VERBS))


def find_verb(words: list[str]) -> tuple[Verb, list[str]] | None:
    """Return the verb that `words` begin with, and its arguments; None if there is none."""
    for count in (2, 1):
        verb = _VERBS.get(" ".join(words[:count]))
        if verb is not None and len(words) >= count:
            return verb, words[count:]
    return None


def finish(status: ExitStatus, message: str) -> ExitStatus:
    """Print the closing message of a verb and return its status."""
    stream = sys.stdout if status is ExitStatus.DONE else sys.stderr
    print(f"{status.word}: {message}", file=stream)
    return status
