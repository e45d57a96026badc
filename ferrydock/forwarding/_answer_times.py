"""Observed times of complete answers, by which `_stop_rule` judges requests.

Owns the most recent observations, in memory only, so that a daemon that has just started has none.
"""

from collections import deque
from collections.abc import Collection, Hashable
from dataclasses import dataclass

from ._observed_times import MAX_OBSERVATIONS, quantile_of

__all__ = ["AnswerKind", "AnswerTime", "AnswerTimes"]

# Share of the answers that end within the usual time. A request that takes longer may be cut by a
# planned stop; one that would have been quicker is served by another daemon.
ANSWER_QUANTILE = 0.95

# With too few answers for a quantile, the usual time is this many times the longest.
FEW_ANSWERS_FACTOR = 1.5

# Prompts are told apart by their tokens in classes of this many bits: each class holds prompts of
# up to four times the length of the one before.
PROMPT_CLASS_BITS = 2


@dataclass(frozen=True, slots=True)
class AnswerTime:
    """Seconds from sending a request to the first bytes of its answer, and to its end."""

    first_s: float
    took_s: float


@dataclass(frozen=True, slots=True)
class AnswerKind:
    """What is known of an answer before it begins.

    Attributes
    ----------
    max_tokens : int
        Largest number of tokens that the request permits; 0 if unknown.
    prompt_tokens : int
        Tokens of the prompt; 0 if unknown.
    is_stream : bool
        Whether the answer is sent in pieces as it is made.
    """

    service: str
    model: str
    route: str
    max_tokens: int = 0
    prompt_tokens: int = 0
    is_stream: bool = True

    @property
    def key(self) -> Hashable:
        """Equal for answers that are compared by the tokens they may have."""
        prompt_class = self.prompt_tokens.bit_length() // PROMPT_CLASS_BITS
        return (self.service, self.model, prompt_class, self.is_stream)


class AnswerTimes:
    """Times of answers by route, and for requests that state their tokens by model and prompt.

    Examples
    --------
    >>> times, kind = AnswerTimes(), AnswerKind("engines", "large", "r", max_tokens=100)
    >>> times.usual_s(kind)
    >>> times.record(kind, AnswerTime(first_s=0.2, took_s=1.2)); round(times.usual_s(kind), 3)
    1.8
    >>> round(times.usual_s(AnswerKind("engines", "large", "other", max_tokens=200)), 3)
    3.3
    """

    __slots__ = ("_by_route_s", "_per_token_s", "_starts_s")

    def __init__(self):
        self._by_route_s: dict[str, deque[float]] = {}
        # Time to the first bytes of a stream, and time from there on per permitted token. An answer
        # in one piece has no beginning of its own.
        self._starts_s: dict[Hashable, deque[float]] = {}
        self._per_token_s: dict[Hashable, deque[float]] = {}

    def record(self, kind: AnswerKind, answer: AnswerTime) -> None:
        """Record the time of a complete answer."""
        _observations(self._by_route_s, kind.route).append(answer.took_s)
        if kind.max_tokens:
            start_s = answer.first_s if kind.is_stream else 0.0
            _observations(self._starts_s, kind.key).append(start_s)
            token_s = (answer.took_s - start_s) / kind.max_tokens
            _observations(self._per_token_s, kind.key).append(token_s)

    def usual_s(self, kind: AnswerKind) -> float | None:
        """Return the time within which 19 of 20 answers like this one end; None if there was none.

        An answer of unknown length is compared with those of its route.
        """
        if not kind.max_tokens:
            return _usual_s(self._by_route_s.get(kind.route, ()))
        start_s = _usual_s(self._starts_s.get(kind.key, ()))
        token_s = _usual_s(self._per_token_s.get(kind.key, ()))
        if start_s is None or token_s is None:
            return None
        return start_s + kind.max_tokens * token_s


def _observations(by_key: dict, key: Hashable) -> deque[float]:
    return by_key.setdefault(key, deque(maxlen=MAX_OBSERVATIONS))


def _usual_s(observed_s: Collection[float]) -> float | None:
    """Return a quantile, or an upper estimate from few observations; None without any."""
    if not observed_s:
        return None
    usual_s = quantile_of(observed_s, ANSWER_QUANTILE)
    return FEW_ANSWERS_FACTOR * max(observed_s) if usual_s is None else usual_s
