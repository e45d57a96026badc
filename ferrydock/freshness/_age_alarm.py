"""Log lines for when the age of a daemon's data exceeds its bound, and when it is below again.

Owns whether the bound is exceeded. Logs two lines each time, however long that lasts.
"""

import logging

from ..logs import log_event

__all__ = ["AgeAlarm"]

_LOG = logging.getLogger("ferrydock.freshness")


class AgeAlarm:
    """Logs one line when an age exceeds its bound, and one when it is within the bound again.

    Parameters
    ----------
    subject : str
        Name of the data; the events are ``<subject>_outdated`` and ``<subject>_current``.

    Notes
    -----
    Nothing is logged before the age has been within its bound for the first time: a daemon that has
    just started has no data yet.
    """

    __slots__ = ("_is_exceeded", "_exceeded_since_s", "_was_confirmed", "subject")

    def __init__(self, subject: str):
        self.subject = subject
        self._is_exceeded = False
        self._was_confirmed = False
        self._exceeded_since_s = 0.0

    def check(self, age_s: float, bound_s: float, now_s: float, **fields) -> None:
        """Compare an age with its bound, both in seconds; `fields` are added to the log line."""
        is_exceeded = age_s > bound_s
        self._was_confirmed = self._was_confirmed or not is_exceeded
        if is_exceeded == self._is_exceeded or not self._was_confirmed:
            return
        self._is_exceeded = is_exceeded
        if is_exceeded:
            self._exceeded_since_s = now_s
            event = f"{self.subject}_outdated"
            log_event(_LOG, logging.WARNING, event, age_s=age_s, bound_s=bound_s, **fields)
        else:
            event, after_s = f"{self.subject}_current", now_s - self._exceeded_since_s
            log_event(_LOG, logging.WARNING, event, age_s=age_s, after_s=after_s, **fields)
