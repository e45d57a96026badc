"""Logs the start and the end of the refusal of a request that crashes its targets.

Stateless. Writes one line for each change of a verdict, of which there are at most as many as
crashes.
"""

import logging
from collections.abc import Iterable

from ..logs import log_event
from ._rule import Crash

__all__ = ["CrashLog"]

_LOG = logging.getLogger("ferrydock.crashes")


class CrashLog:
    """Logs verdicts; the default listener of `CrashHistory`."""

    __slots__ = ()

    def refusal_started(
        self, identity: str, crashes: tuple[Crash, ...], refused_for_s: float
    ) -> None:
        """Log that a request is refused because it crashes its targets.

        For each crash, `before_last_ms` tells how long before the last one it ended, and `ran_ms`
        how long the attempt ran: whether one termination was counted several times.
        """
        last_s = crashes[-1].ended_s
        log_event(
            _LOG,
            logging.WARNING,
            "crashing_request_known",
            identity=identity,
            crashes=len(crashes),
            seen_by_daemons=len({crash.observer for crash in crashes}),
            targets=",".join(crash.target_id for crash in crashes),
            before_last_ms=_milliseconds(last_s - crash.ended_s for crash in crashes),
            ran_ms=_milliseconds(crash.ended_s - crash.began_s for crash in crashes),
            refused_for_s=refused_for_s,
        )

    def refusal_ended(self, identity: str, reason: str) -> None:
        """Log that the refusal of a request has ended, and why."""
        log_event(_LOG, logging.WARNING, "crashing_request_released", identity=identity, why=reason)


def _milliseconds(durations_s: Iterable[float]) -> str:
    return ",".join(f"{duration_s * 1000:.0f}" for duration_s in durations_s)
