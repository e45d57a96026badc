"""Log lines as the age of something followed passes its bound, and as it is back below.

Owns whether the bound is passed. Two lines for each time, however long it lasts.
"""

import logging

from ..logs import log_event

__all__ = ["AgeAlarm"]

_LOG = logging.getLogger("ferrydock.freshness")


class AgeAlarm:
    """Tells once when an age passes its bound, and once when it is back.

    Parameters
    ----------
    followed : str
        What is followed; the events are named ``<followed>_outdated`` and ``<followed>_current``.

    Notes
    -----
    Nothing is said before the first confirmation: a daemon that starts is not late.
    """

    __slots__ = ("_is_passed", "_passed_s", "_was_confirmed", "followed")

    def __init__(self, followed: str):
        self.followed = followed
        self._is_passed = False
        self._was_confirmed = False
        self._passed_s = 0.0

    def look(self, age_s: float, bound_s: float, now_s: float, **fields) -> None:
        """Compare an age with its bound; `fields` go into the line."""
        is_passed = age_s > bound_s
        self._was_confirmed = self._was_confirmed or not is_passed
        if is_passed == self._is_passed or not self._was_confirmed:
            return
        self._is_passed = is_passed
        if is_passed:
            self._passed_s = now_s
            event = f"{self.followed}_outdated"
            log_event(_LOG, logging.WARNING, event, age_s=age_s, bound_s=bound_s, **fields)
        else:
            event, after_s = f"{self.followed}_current", now_s - self._passed_s
            log_event(_LOG, logging.WARNING, event, age_s=age_s, after_s=after_s, **fields)
