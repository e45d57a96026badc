"""Detects requests that crash their targets, and refuses them.

Owns the checks of targets that are in progress. This module decides what counts as a crash;
`ferrydock.crashes` decides what follows from crashes. Relies on the target directory to recognise
planned shutdowns.
"""

import asyncio
import logging
from collections.abc import Sequence

from ..clock import Clock
from ..crashes import CrashHistory, TargetPresence, TargetProbe
from ..links import TargetDialer
from ..logs import log_event
from ..route_metrics import RouteMetrics
from ..targets import Target, TargetDirectory
from ._exchange import AttemptEnd, AttemptReason, Exchange

__all__ = ["CrashGuard"]

_LOG = logging.getLogger("ferrydock.forwarding")

# How long a request that may have crashed its third target waits for the check of that target: a
# little longer than one probe takes (`crashes._probe.CONNECT_TIMEOUT_S`). A request with fewer
# crashes is retried without waiting.
MAX_CHECK_WAIT_S = 0.15

# Events of an answer after which its target has not ended because of a part of the prompt.
EVENTS_OF_A_SOUND_ANSWER = 2

# Reasons for the end of an attempt that are no sign of a crash: the target answered, refused or
# never received the request, or the caller's deadline passed.
_REASONS_WITHOUT_CRASH = (
    AttemptReason.ERROR,
    AttemptReason.WRONG_ANSWER,
    AttemptReason.REFUSED,
    AttemptReason.NOT_SENT,
    AttemptReason.TARGET_LEFT,
    AttemptReason.TIME_OVER,
)


class CrashGuard:
    """Guards targets against requests that crash them.

    Parameters
    ----------
    history : CrashHistory
        Crashes by request identity, from this daemon and its peers.
    directory : TargetDirectory
        Shows which targets shut down as planned.
    metrics : RouteMetrics
        Counts crashes and refusals.
    dialer : TargetDialer, optional
        Connects to targets to find out whether they have crashed; by default directly.
    """

    __slots__ = ("_checks", "clock", "directory", "history", "metrics", "probe")

    def __init__(
        self,
        history: CrashHistory,
        directory: TargetDirectory,
        metrics: RouteMetrics,
        clock: Clock,
        dialer: TargetDialer | None = None,
    ):
        self.history = history
        self.directory = directory
        self.metrics = metrics
        self.clock = clock
        self.probe = TargetProbe(dialer)
        self._checks: set[asyncio.Task] = set()

    # One request ----------------------------------------------------------------------------------

    async def admit(self, exchange: Exchange) -> float:
        """Return 0 if a request may be sent, else the seconds until its caller may retry."""
        await self._wait_until_settled(exchange)
        exchange.admitted_s = self.clock.now_s()
        return self.history.admit(*exchange.identities)

    async def is_known_since_admission(self, exchange: Exchange) -> bool:
        """Return whether a request was found to crash its targets after it had been admitted."""
        await self._wait_until_settled(exchange)
        return self.history.was_detected_since(exchange.admitted_s, *exchange.identities)

    async def _wait_until_settled(self, exchange: Exchange) -> None:
        """Wait while other daemons may explain the crashes of a request that was just found."""
        while (wait_s := self.history.settling_s(*exchange.identities)) > 0:
            await asyncio.sleep(wait_s)

    def refused_for_s(self, exchange: Exchange) -> float:
        """Return the seconds until a refused request may be retried."""
        return self.history.refused_for_s(*exchange.identities)

    def record_answer(self, exchange: Exchange) -> None:
        """Record that a target answered a request completely."""
        for identity in exchange.identities:
            self.history.note_answer(identity)

    def is_suspicious(self, exchange: Exchange) -> bool:
        """Return whether a request that lost its target has a part that may be the cause.

        It is not retried then: the retry would cost one more target.
        """
        return any(self.history.is_suspicious(part) for part in exchange.part_identities)

    async def check_failed_attempt(
        self,
        exchange: Exchange,
        target: Target,
        end: AttemptEnd,
        sent_s: float,
        event_count: int,
    ) -> None:
        """Start checking whether an attempt failed because its target's process ended.

        Returns without waiting for the result, so that the request can be retried elsewhere.
        However, if this crash would be the one after which the request is refused or not retried,
        waits up to `MAX_CHECK_WAIT_S` for the result.

        The parts of its prompt are blamed with it, unless the target had begun to answer.

        Parameters
        ----------
        target : Target
            The target's entry in the directory when the request was sent.
        sent_s : float
            Local time at which the request was sent.
        event_count : int
            Number of events of this attempt that were sent to the caller.
        """
        if (
            not end.may_have_run
            or end.reason in _REASONS_WITHOUT_CRASH
            or self._is_planned_shutdown(target)
        ):
            return
        blamed = [exchange.identity]
        if event_count < EVENTS_OF_A_SOUND_ANSWER:
            blamed += exchange.part_identities
        else:  # a part that crashes targets does so as they begin to answer
            for part in exchange.part_identities:
                self.history.note_answer(part)
        ended_s = self.clock.now_s()
        check = asyncio.get_running_loop().create_task(
            self._check_for_crash(exchange, blamed, target, sent_s, ended_s)
        )
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)
        if any(self.history.is_next_decisive(identity) for identity in blamed):
            await asyncio.wait({check}, timeout=MAX_CHECK_WAIT_S)

    def _is_planned_shutdown(self, target: Target) -> bool:
        """Return whether a target shuts down as planned: it is draining or not listed."""
        listed = self.directory.targets.get(target.target_id)
        return listed is None or listed.draining

    async def _check_for_crash(
        self,
        exchange: Exchange,
        blamed: Sequence[str],
        target: Target,
        sent_s: float,
        ended_s: float,
    ) -> None:
        presence = await self.probe.probe(target.target_id, target.address)
        if presence is not TargetPresence.TERMINATED:
            return
        self.metrics.target_crashes.inc()
        log_event(
            _LOG,
            logging.INFO,
            "target_crashed",
            request=exchange.inbound.request_id,
            identity=exchange.identity,
            parts=",".join(exchange.inbound.shared_parts) or None,
            target=target.target_id,
            ran_ms=(ended_s - sent_s) * 1000,
            crashes=self.history.crash_count_of(exchange.identity) + 1,
        )
        for identity in blamed:
            self.history.note_crash(identity, target.target_id, sent_s, ended_s)

    async def close(self) -> None:
        """Cancel the checks in progress."""
        checks = list(self._checks)
        for check in checks:
            check.cancel()
        await asyncio.gather(*checks, return_exceptions=True)
        await self.probe.close()
