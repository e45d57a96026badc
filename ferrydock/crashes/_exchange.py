"""Telling peers what changed, in calls that run between daemons anyway.

Owns, for each peer that is asked, how far it has heard of this daemon and this daemon of it. Each
side sends only what changed since; a process that has started again is sent all. Nothing is sent
while nothing is known, so without a crash no message is longer than before.
"""

from collections import OrderedDict
from dataclasses import dataclass

from ._history import CrashHistory
from ._messages import CrashNews

__all__ = ["CrashExchange"]

# Reports in one message; the rest follows in the next. 500 are 110 KB (`benchmarks.crashes`): 0.09
# s on a link of 10 Mbit/s. Chosen, not measured.
MAX_REPORTS = 500

# Peers whose position is remembered: the hall leader, or the leaders of the other halls. Chosen,
# not measured.
MAX_PEERS = 32


@dataclass(slots=True)
class _Position:
    """How far two daemons have heard of each other.

    Attributes
    ----------
    sent : int
        Own change up to which the peer has heard.
    life, heard : str, int
        The peer's history, and its change up to which this daemon has heard.
    """

    sent: int = 0
    life: str = ""
    heard: int = 0


class CrashExchange:
    """Exchanges a history with peers' histories.

    Parameters
    ----------
    history : CrashHistory
        What is told, and what the peers' reports go to.

    Examples
    --------
    >>> from ferrydock.clock import ManualClock
    >>> clock = ManualClock()
    >>> one, two = CrashHistory(clock), CrashHistory(clock)
    >>> asking, answering = CrashExchange(one), CrashExchange(two)
    >>> asking.question("two") is None
    True
    >>> one.note_crash("r", "t1", 0.0, 1.0)
    >>> two.note_crash("r", "t2", 2.0, 3.0)
    >>> asked = asking.question("two")
    >>> answering.receive(asked)
    >>> asking.take_answer("two", asked, answering.answer(asked))
    >>> one.crashes_of("r"), two.crashes_of("r")
    (2, 2)
    """

    __slots__ = ("_positions", "history")

    def __init__(self, history: CrashHistory):
        self.history = history
        self._positions: OrderedDict[str, _Position] = OrderedDict()

    def question(self, peer: str) -> CrashNews | None:
        """Return what to send along with a call to a peer; None for nothing."""
        position = self._position(peer)
        reports, up_to = self.history.reports_since(position.sent, MAX_REPORTS)
        if not reports and not position.life:
            return None
        return CrashNews(self.history.life, up_to, position.life, position.heard, reports)

    def take_answer(self, peer: str, asked: CrashNews | None, answer: CrashNews | None) -> None:
        """Take over a peer's answer to a question."""
        if answer is None:
            return
        position = self._position(peer)
        has_started_again = position.life not in ("", answer.life)
        if has_started_again:
            position.sent = 0
        elif asked is not None:
            position.sent = asked.change
        position.life, position.heard = answer.life, answer.change
        self.history.merge(answer.reports)

    def receive(self, asked: CrashNews | None) -> None:
        """Take over what a peer sent along with its call."""
        if asked is not None:
            self.history.merge(asked.reports)

    def answer(self, asked: CrashNews | None, repeated_only: bool = False) -> CrashNews | None:
        """Return what a calling peer lacks; None if it asked for nothing and there is nothing.

        Parameters
        ----------
        repeated_only : bool
            Leave out requests that have never had two crashes in a row. A hall's leader, to which
            all its followers tell all, need not pass every end of a target on to each of them:
            1,800 requests that lost one are 0.39 MB (`benchmarks.crashes`).
        """
        heard = self._heard_by(asked)
        reports, up_to = self.history.reports_since(heard, MAX_REPORTS, repeated_only)
        if asked is None and not reports:
            return None
        return CrashNews(self.history.life, up_to, reports=reports)

    def has_news_for(self, asked: CrashNews | None) -> bool:
        """Return whether a request with two crashes in a row changed that a peer has not heard."""
        return self.history.last_repeated > self._heard_by(asked)

    def _heard_by(self, asked: CrashNews | None) -> int:
        is_same = asked is not None and asked.known_life == self.history.life
        return asked.known_change if asked is not None and is_same else 0

    def _position(self, peer: str) -> _Position:
        position = self._positions.get(peer)
        if position is None:
            if len(self._positions) >= MAX_PEERS:
                self._positions.popitem(last=False)
            position = self._positions[peer] = _Position()
        return position
