"""What the head of each target's answer says of the target itself, noted where it is acted on.

The one place that reads such statements of answers to requests, whatever becomes of the answer.
Owns what was last unreadable of each target and header, so that it is logged once.
"""

import logging
from collections.abc import Container

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Fault
from ..scheduling import EndpointCatalog
from ..targets import Target
from ._dialect import AnswerHeaders

__all__ = ["AnswerNotices"]

_LOG = logging.getLogger("ferrydock.forwarding")


class AnswerNotices:
    """Notes what targets say of themselves.

    Parameters
    ----------
    catalog : EndpointCatalog
        Holds the limits and rests of targets; its directory, which of them leave.
    """

    __slots__ = ("_unreadable", "catalog", "clock")

    def __init__(self, catalog: EndpointCatalog, clock: Clock):
        self.catalog = catalog
        self.clock = clock
        self._unreadable: dict[str, dict[str, Fault]] = {}

    def take(self, target: Target, head: AnswerHeaders, sent_s: float) -> bool:
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
        self._take_leaving(target, head.is_leaving)
        self._take_rest(target, head.rest_s)
        return self._take_limit(target.target_id, head.rate_limit_per_s, sent_s)

    def _take_leaving(self, target: Target, is_leaving: bool | Fault) -> None:
        if isinstance(is_leaving, Fault):
            self._log_unreadable(target.target_id, is_leaving)
        elif is_leaving:
            self.catalog.directory.note_leaving(target.target_id, target.life)

    def _take_rest(self, target: Target, rest_s: float | None | Fault) -> None:
        if isinstance(rest_s, Fault):
            self._log_unreadable(target.target_id, rest_s)
        elif rest_s is not None:
            self.catalog.rests.note(target, rest_s, self.clock.now_s())

    def _take_limit(self, target_id: str, per_s: float | None | Fault, sent_s: float) -> bool:
        if isinstance(per_s, Fault):
            self._log_unreadable(target_id, per_s)
            return False
        return self.catalog.limits.note(target_id, per_s, sent_s, self.clock.now_s())

    def excuse_refusals(self, target: Target) -> bool:
        """Return whether a target has said that it takes few requests or none now."""
        is_limited = self.catalog.limits.rate_per_s(target.target_id) is not None
        return is_limited or self.catalog.rests.left_s(target, self.clock.now_s()) > 0

    def forget_others(self, target_ids: Container[str]) -> None:
        """Drop targets that are not listed."""
        for target_id in [i for i in self._unreadable if i not in target_ids]:
            del self._unreadable[target_id]

    def _log_unreadable(self, target_id: str, fault: Fault) -> None:
        known = self._unreadable.setdefault(target_id, {})
        if known.get(fault.place) != fault:
            known[fault.place] = fault
            log_event(
                _LOG, logging.WARNING, "answer_header_unreadable", target=target_id, why=fault
            )
