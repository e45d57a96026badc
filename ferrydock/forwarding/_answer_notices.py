"""What the head of each target's answer says of the target itself, noted where it is acted on.

The one place that reads such statements of answers to requests, whatever becomes of the answer.
Owns what was last unreadable of each target, so that it is logged once.
"""

import logging
from collections.abc import Container

from ..clock import Clock
from ..logs import log_event
from ..scheduling import EndpointCatalog
from ._dialect import AnswerHeaders

__all__ = ["AnswerNotices"]

_LOG = logging.getLogger("ferrydock.forwarding")


class AnswerNotices:
    """Notes what targets say of themselves.

    Parameters
    ----------
    catalog : EndpointCatalog
        Holds the limits of targets.
    """

    __slots__ = ("_unreadable", "catalog", "clock")

    def __init__(self, catalog: EndpointCatalog, clock: Clock):
        self.catalog = catalog
        self.clock = clock
        self._unreadable: dict[str, str] = {}

    def take(self, target_id: str, head: AnswerHeaders, sent_s: float) -> bool:
        """Note what an answer says of its target.

        Parameters
        ----------
        sent_s : float
            Local time at which the request was sent.

        Returns
        -------
        bool
            Whether other daemons should hear of it at once.
        """
        if not head.is_targets_own:
            return False
        if head.faults:
            self._log_unreadable(target_id, head)
            return False
        now_s = self.clock.now_s()
        return self.catalog.limits.note(target_id, head.rate_limit_per_s, sent_s, now_s)

    def is_limited(self, target_id: str) -> bool:
        """Return whether a target is under a limit that it has named."""
        return self.catalog.limits.rate_per_s(target_id) is not None

    def forget_others(self, target_ids: Container[str]) -> None:
        """Drop targets that are not listed."""
        for target_id in [i for i in self._unreadable if i not in target_ids]:
            del self._unreadable[target_id]

    def _log_unreadable(self, target_id: str, head: AnswerHeaders) -> None:
        why = "; ".join(str(fault) for fault in head.faults)
        if self._unreadable.get(target_id) == why:
            return
        self._unreadable[target_id] = why
        log_event(_LOG, logging.WARNING, "answer_header_unreadable", target=target_id, why=why)
