"""Log lines for entries of the target list that are not used because they cannot be decoded.

Owns when the entry under each key was last logged, in memory. Another writer can write such entries
as often as it likes, and each new read of the list meets them again.
"""

import logging
from collections import deque

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

    __slots__ = ("_left_out", "_lines")

    def __init__(self):
        # Key and time of each line of the last period.
        self._lines: deque[tuple[str, float]] = deque()
        self._left_out = 0

    def note(self, key: str, fault: Fault, now_s: float) -> bool:
        """Write the line of an entry unless a limit is reached; return whether it was written."""
        while self._lines and now_s - self._lines[0][1] >= PERIOD_S:
            self._lines.popleft()
        if any(key == logged_key for logged_key, _ in self._lines):
            return False
        if len(self._lines) >= MAX_LINES_PER_PERIOD:
            self._left_out += 1
            return False
        self._lines.append((key, now_s))
        log_event(
            _LOG,
            logging.WARNING,
            "target_unreadable",
            key=key,
            field=fault.place,
            why=fault.problem,
            left_out=self._left_out or None,
        )
        self._left_out = 0
        return True
