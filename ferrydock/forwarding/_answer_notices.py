"""Applies what the heads of targets' answers state about the targets themselves.

A target can state that it is shutting down, that it limits its request rate, or that it wants a
back-off. Each answer to a request is examined here, whether or not it is forwarded to a caller.
Owns the last invalid value of each target and header, so that it is logged only once.
"""

import logging
from collections.abc import Container

from ..clock import Clock
from ..logs import log_event
from ..outcomes import Fault
from ..scheduling import EndpointCatalog
from ..targets import Target
from ._dialect import AnswerHeaders

__all__ = ["TargetStatements"]

_LOG = logging.getLogger("ferrydock.forwarding")


class TargetStatements:
    """Applies the statements of targets about themselves.

    Parameters
    ----------
    catalog : EndpointCatalog
        Holds the rate limits and back-offs of targets. Its directory records which shut down.
    """

    __slots__ = ("_unreadable", "catalog", "clock")

    def __init__(self, catalog: EndpointCatalog, clock: Clock):
        self.catalog = catalog
        self.clock = clock
        self._unreadable: dict[str, dict[str, Fault]] = {}

    def apply(self, target: Target, head: AnswerHeaders, sent_s: float) -> bool:
        """Apply what the head of an answer states about its target.

        Parameters
        ----------
        sent_s : float
            Local time at which the request was sent.

        Returns
        -------
        bool
            Whether the target's rate limit changed, so that other daemons should be notified.
        """
        if not head.is_targets_own:
            return False
        self._apply_leaving(target, head.is_leaving)
        self._apply_backoff(target, head.backoff_s)
        return self._apply_limit(target.target_id, head.rate_limit_per_s, sent_s)

    def _apply_leaving(self, target: Target, is_leaving: bool | Fault) -> None:
        if isinstance(is_leaving, Fault):
            self._log_unreadable(target.target_id, is_leaving)
        elif is_leaving:
            self.catalog.directory.note_leaving(target.target_id, target.incarnation)

    def _apply_backoff(self, target: Target, backoff_s: float | None | Fault) -> None:
        if isinstance(backoff_s, Fault):
            self._log_unreadable(target.target_id, backoff_s)
        elif backoff_s is not None:
            self.catalog.backoffs.note(target, backoff_s, self.clock.now_s())

    def _apply_limit(
        self, target_id: str, limit_per_s: float | None | Fault, sent_s: float
    ) -> bool:
        if isinstance(limit_per_s, Fault):
            self._log_unreadable(target_id, limit_per_s)
            return False
        return self.catalog.limits.note(target_id, limit_per_s, sent_s, self.clock.now_s())

    def expects_refusals(self, target: Target) -> bool:
        """Return whether a target is cold, has stated a rate limit or requested a back-off."""
        now_s = self.clock.now_s()
        is_limited = self.catalog.limits.rate_per_s(target.target_id) is not None
        is_cold = self.catalog.cold.is_cold(target.target_id, now_s)
        return is_limited or is_cold or self.catalog.backoffs.remaining_s(target, now_s) > 0

    def remove_unlisted(self, target_ids: Container[str]) -> None:
        """Remove targets that are not in `target_ids`."""
        for target_id in [i for i in self._unreadable if i not in target_ids]:
            del self._unreadable[target_id]

    def _log_unreadable(self, target_id: str, fault: Fault) -> None:
        logged = self._unreadable.setdefault(target_id, {})
        if logged.get(fault.place) != fault:
            logged[fault.place] = fault
            log_event(
                _LOG, logging.WARNING, "answer_header_unreadable", target=target_id, why=fault
            )
