"""Registry of the verbs of the command line, and what every verb is given."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum

from absl.flags import FlagValues

from ._client import OperatorClient

__all__ = ["Context", "ExitStatus", "Verb", "find_verb", "register_verb", "say", "verbs"]


class ExitStatus(IntEnum):
    """Exit statuses; messages begin with the same word."""

    DONE = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5

    @property
    def word(self) -> str:
        """The word that messages begin with."""
        return _WORDS[self]


_WORDS = {
    ExitStatus.DONE: "done",
    ExitStatus.BAD_INPUT: "bad input",
    ExitStatus.CONFLICT: "conflict",
    ExitStatus.UNKNOWN: "outcome unknown",
    ExitStatus.UNREACHABLE: "unreachable",
}


@dataclass(slots=True)
class Context:
    """What a verb works with.

    Attributes
    ----------
    client : OperatorClient
        Speaks to the daemon.
    flags : FlagValues
        Parsed flags.
    """

    client: OperatorClient
    flags: FlagValues


@dataclass(frozen=True, slots=True)
class Verb:
    """One verb: its words, its arguments, what it does, and its code."""

    name: str
    usage: str
    doc: str
    run: Callable[[Context, list[str]], Awaitable[ExitStatus]]


_VERBS: dict[str, Verb] = {}


def register_verb(name: str, usage: str, doc: str) -> Callable:
    """Return a decorator that enters a coroutine function as the verb `name`."""

    def enter(run: Callable) -> Callable:
        _VERBS[name] = Verb(name, usage, doc, run)
        return run

    return enter


def verbs() -> tuple[Verb, ...]:
    """Return all verbs, sorted."""
    return tuple(_VERBS[name] for name in sorted(_VERBS))


def find_verb(words: list[str]) -> tuple[Verb, list[str]] | None:
    """Return the verb that `words` begin with, and the words after it."""
    for count in (2, 1):
        verb = _VERBS.get(" ".join(words[:count]))
        if verb is not None and len(words) >= count:
            return verb, words[count:]
    return None


def say(status: ExitStatus, message: str) -> ExitStatus:
    """Print the closing message of a verb and return its status."""
    stream = sys.stdout if status is ExitStatus.DONE else sys.stderr
    print(f"{status.word}: {message}", file=stream)
    return status
