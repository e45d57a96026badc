"""Log lines for entries of the target list that are not used because they cannot be decoded.

Owns when the entry under each key was last logged, in memory. Another writer can write such entries
as often as it likes, and each new read of the list meets them again.
"""

import logging

from ..log_limits import LastTimes, LineLimit
from ..logs import log_event
from ..outcomes import Fault

__all__ = ["UnusedEntryLog"]

_LOG = logging.getLogger("ferrydock.platform")

# Time within which one key is logged once, and how many lines are written for all keys within it.
# The next line written gives the number of those left out before it.
PERIOD_S = 60.0
MAX_LINES_PER_PERIOD = 100


class UnusedEntryLog:
    """Writes a line for each entry that is not used, with its key and the field at fault.

    Examples
    --------
    >>> log = UnusedEntryLog()
    >>> slots = Fault("slots", "is missing")
    >>> log.note("a", slots, now_s=0.0), log.note("a", slots, 59.0), log.note("a", slots, 60.0)
    (True, False, True)
    """

    __slots__ = ("_last_lines_s", "_lines")

    def __init__(self):
        # As many keys as lines are written within the period that they are remembered for.
        self._last_lines_s: LastTimes[str] = LastTimes(MAX_LINES_PER_PERIOD)
        self._lines = LineLimit(MAX_LINES_PER_PERIOD, PERIOD_S)

    def note(self, key: str, fault: Fault, now_s: float) -> bool:
        """Write the line of an entry unless a limit is reached; return whether it was written."""
        if self._last_lines_s.is_within(key, PERIOD_S, now_s) or not self._lines.admits(now_s):
            return False
        self._last_lines_s.note(key, now_s)
        log_event(
            _LOG,
            logging.WARNING,
            "target_unreadable",
            key=key,
            field=fault.place,
            why=fault.problem,
            left_out=self._lines.take_left_out(),
        )
        return True
