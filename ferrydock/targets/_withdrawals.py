"""Log lines that tell when and from what this daemon learns that a target leaves or is removed.

Owns when this daemon last began a request at each target, and the times of recent lines. For log
lines only: no decision reads any of it.
"""

import logging
from enum import StrEnum

from ..clock import Clock
from ..log_limits import LastTimes, LineLimit
from ..logs import log_event
from ..store import Position

__all__ = ["ListSource", "WithdrawalLog"]

_LOG = logging.getLogger("ferrydock.targets")

# Limit on log lines; all targets of a hall may leave at once. The next line written gives the
# number of lines omitted before it.
MAX_LINES_PER_S = 100

# Time within which the same is logged once of a target whose entry comes and goes.
REPEAT_AFTER_S = 60.0

# Bounds the memory; a site has some hundreds of targets.
MAX_TARGETS_REMEMBERED = 2000

MS_PER_S = 1000


class ListSource(StrEnum):
    """From what a daemon has learned a change of the target list, as written to log lines."""

    STORE_WATCH = "store_watch"
    STORE_READ = "store_read"
    LEADER = "leader"
    FOLLOWER = "follower"
    TARGET_ANSWER = "target_answer"


class WithdrawalLog:
    """Writes one line for each target that this daemon learns to be leaving or removed."""

    __slots__ = ("_last_begun_s", "_last_lines_s", "_lines", "clock")

    def __init__(self, clock: Clock):
        self.clock = clock
        self._last_begun_s: LastTimes[str] = LastTimes(MAX_TARGETS_REMEMBERED)
        # By target and the way it was learned.
        self._last_lines_s: LastTimes[tuple[str, str]] = LastTimes(MAX_TARGETS_REMEMBERED)
        self._lines = LineLimit(MAX_LINES_PER_S, period_s=1.0)

    def note_begun(self, target_id: str, now_s: float) -> None:
        """Record that a request begins at a target at local time `now_s`."""
        self._last_begun_s.note(target_id, now_s)

    def write(
        self, target_id: str, how: str, source: ListSource, position: Position, list_age_s: float
    ) -> None:
        """Write the line of one target, or count it as omitted.

        Parameters
        ----------
        how : str
            ``draining`` or ``removed``, as the list shows it; ``announced`` by the target itself.
        position : Position
            Position of the source that the list has reached with the change.
        list_age_s : float
            Age of the list before the change, in seconds.
        """
        now_s = self.clock.now_s()
        if self._last_lines_s.is_within((target_id, how), REPEAT_AFTER_S, now_s):
            self._lines.leave_out()
            return
        if not self._lines.admits(now_s):
            return
        self._last_lines_s.note((target_id, how), now_s)
        begun_s = self._last_begun_s.get(target_id)
        log_event(
            _LOG,
            logging.INFO,
            "target_withdrawn",
            target=target_id,
            how=how,
            source=source.value,
            revision=position.revision,
            list_age_ms=list_age_s * MS_PER_S,
            begun_ago_ms=(now_s - begun_s) * MS_PER_S if begun_s is not None else None,
            left_out=self._lines.take_left_out(),
        )
