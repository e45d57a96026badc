"""Refusing requests that crash their targets, and finding out which ones do.

Owns the findings under way. What counts as a crash is decided here, what follows from crashes in
`ferrydock.crashes`. Relies on the target directory for planned ends.
"""

import asyncio
import logging

from ..clock import Clock
from ..crashes import CRASHES_TO_KNOW, CrashHistory, TargetPresence, TargetProbe
from ..logs import log_event
from ..route_metrics import RouteMetrics
from ..targets import Target, TargetDirectory
from ._exchange import AttemptEnd, AttemptReason, Exchange

__all__ = ["CrashGuard"]

_LOG = logging.getLogger("ferrydock.forwarding")

# How long a request that may have crashed its third target waits until that is known, in seconds:
# a little longer than one look takes (`crashes._probe.ANSWER_WITHIN_S`). One with fewer crashes
# goes on at once. Chosen, not measured.
WAIT_FOR_LOOK_S = 0.15

# Ends of an attempt that say nothing about the target's process: it answered, refused, or had never
# seen the request; or the caller's time was over.
_NO_SIGN_OF_A_CRASH = (
    AttemptReason.ERROR,
    AttemptReason.WRONG_ANSWER,
    AttemptReason.REFUSED,
    AttemptReason.NOT_SENT,
    AttemptReason.TIME_OVER,
)


class CrashGuard:
    """Guards targets against requests that crash them.

    Parameters
    ----------
    history : CrashHistory
        What is known of requests, here and at peers.
    directory : TargetDirectory
        Tells which targets end as planned.
    metrics : RouteMetrics
        Counts crashes and refusals.
    """

    __slots__ = ("_findings", "clock", "directory", "history", "metrics", "probe")

    def __init__(
        self,
        history: CrashHistory,
        directory: TargetDirectory,
        metrics: RouteMetrics,
        clock: Clock,
    ):
        self.history = history
        self.directory = directory
        self.metrics = metrics
        self.clock = clock
        self.probe = TargetProbe()
        self._findings: set[asyncio.Task] = set()

    # One request ----------------------------------------------------------------------------------

    def admit(self, exchange: Exchange) -> float:
        """Return 0 if a request may be sent, else in how many seconds it may come again."""
        exchange.admitted_s = self.clock.now_s()
        return self.history.admit(exchange.identity)

    def is_refused(self, exchange: Exchange) -> bool:
        """Return whether a request became known as crashing after it had been admitted."""
        return self.history.is_known_since(exchange.identity, exchange.admitted_s)

    def refused_for_s(self, exchange: Exchange) -> float:
        """Return in how many seconds a request may come again."""
        return self.history.refused_for_s(exchange.identity)

    def answered(self, exchange: Exchange) -> None:
        """Note that a target answered a request whole."""
        self.history.note_answer(exchange.identity)

    async def attempt_failed(
        self, exchange: Exchange, target: Target, end: AttemptEnd, began_s: float
    ) -> None:
        """Find out whether an attempt ended with its target's process.

        Returns at once, so that the request can go on elsewhere, unless this would be the crash
        that makes it known: then after the first look at the target.

        Parameters
        ----------
        target : Target
            As it was listed when the request was sent.
        began_s : float
            When the request was sent to it.
        """
        if not end.ran or end.reason in _NO_SIGN_OF_A_CRASH or self._is_leaving(target):
            return
        ended_s = self.clock.now_s()
        finding = asyncio.get_running_loop().create_task(
            self._find(exchange, target, began_s, ended_s)
        )
        self._findings.add(finding)
        finding.add_done_callback(self._findings.discard)
        if self.history.crashes_of(exchange.identity) + 1 >= CRASHES_TO_KNOW:
            await asyncio.wait({finding}, timeout=WAIT_FOR_LOOK_S)

    def _is_leaving(self, target: Target) -> bool:
        """Return whether a target ends as planned: it has said so, or left the list before."""
        listed = self.directory.targets.get(target.target_id)
        return listed is None or listed.draining

    async def _find(
        self, exchange: Exchange, target: Target, began_s: float, ended_s: float
    ) -> None:
        presence = await self.probe.look(target.target_id, target.address)
        if presence is not TargetPresence.GONE:
            return
        self.metrics.target_crashes.inc()
        log_event(
            _LOG,
            logging.INFO,
            "target_crashed",
            request=exchange.inbound.request_id,
            identity=exchange.identity,
            target=target.target_id,
            ran_ms=(ended_s - began_s) * 1000,
            crashes=self.history.crashes_of(exchange.identity) + 1,
        )
        self.history.note_crash(exchange.identity, target.target_id, began_s, ended_s)

    async def close(self) -> None:
        """End what is under way."""
        findings = list(self._findings)
        for finding in findings:
            finding.cancel()
        await asyncio.gather(*findings, return_exceptions=True)
        await self.probe.close()
