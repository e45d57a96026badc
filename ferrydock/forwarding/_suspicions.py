"""Replicas that are suspected to have lost a member, until they answer or are considered lost.

A target may be silent for a second or so and go on, so one poll without an answer does not show
that it is dead. Its replica gets no new requests from then on, and its members are polled until
they answer, or until they have been silent for longer than a sound target may be. Owns the
suspicions of this daemon, and the set of suspected replicas in the `EndpointCatalog`; relies on
`AttemptRunner` for the requests in flight there.
"""

import asyncio
import logging
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..clock import Clock
from ..logs import log_event
from ..outcomes import NotListening, Unavailable
from ..targets import ReplicaView, Target, TargetControl, TargetReport
from ._attempts import AttemptRunner

__all__ = ["FailureListener", "Polled", "Suspicions", "poll_targets"]

_LOG = logging.getLogger("ferrydock.forwarding")

# How long a sound target may answer nothing. A target that is silent for longer is considered lost,
# and its replica is formed anew.
MAX_SILENCE_S = 1.5

# Interval between two polls of the silent members of a suspected replica.
RECHECK_INTERVAL_S = 0.25

# How long a silent member may take to answer such a poll.
RECHECK_TIMEOUT_S = 0.2

# Reason for interrupting an attempt, as written to log lines and read by `ferrydock explain`.
MEMBER_DEAD = "member_dead"

ReplicaKey = tuple[str, int]


class FailureListener(Protocol):
    """Receives what this daemon finds out about silent targets and their replicas."""

    def on_targets_suspected(self, target_ids: Collection[str], reason: str) -> None:
        """Handle targets that did not answer a poll."""

    def on_targets_lost(self, target_ids: Collection[str], reason: str) -> None:
        """Handle suspected targets that refuse connections, or were silent for too long."""

    def on_targets_answered(self, target_ids: Collection[str]) -> None:
        """Handle suspected targets that answer again."""

    def on_replica_avoided(self, key: ReplicaKey) -> None:
        """Handle a replica, given by name and epoch, that this daemon stops using."""

    def on_replica_used_again(self, key: ReplicaKey) -> None:
        """Handle a replica, given by name and epoch, whose suspicion has ended."""


@dataclass(frozen=True, slots=True)
class Polled:
    """Result of polling targets.

    Attributes
    ----------
    silent : tuple of Target
        Targets that did not answer in time.
    gone : tuple of Target
        Targets that cannot go on as members of the replica: nothing listens at their addresses, or
        they report that they do not belong to it.
    """

    silent: tuple[Target, ...] = ()
    gone: tuple[Target, ...] = ()

    @property
    def failed(self) -> tuple[Target, ...]:
        """Targets that did not show that they serve."""
        return self.silent + self.gone


async def poll_targets(
    control: TargetControl,
    targets: Sequence[Target],
    timeout_s: float,
    key: ReplicaKey | None = None,
) -> Polled:
    """Request reports from targets concurrently.

    Parameters
    ----------
    timeout_s : float
        How long a target may take to answer, in seconds.
    key : (str, int), optional
        Replica, by name and epoch, that they must report to belong to; by default any answer will
        do.
    """
    reports = await asyncio.gather(*(control.report(target, timeout_s) for target in targets))
    silent, gone = [], []
    for target, report in zip(targets, reports, strict=True):
        if isinstance(report, NotListening) or not _may_belong(report, key):
            gone.append(target)
        elif isinstance(report, Unavailable):
            silent.append(target)
    return Polled(tuple(silent), tuple(gone))


def _may_belong(report: TargetReport | Unavailable, key: ReplicaKey | None) -> bool:
    if key is None or isinstance(report, Unavailable):
        return True
    return (report.replica, report.epoch) == key


@dataclass(slots=True, eq=False)
class _Suspicion:
    """A suspected replica.

    Attributes
    ----------
    silent : dict of str to Target
        Members that have not answered since, by id.
    since_s : float
        Local time since which they are known to be silent.
    polled_s : float
        Local time of the last poll.
    """

    replica: ReplicaView
    silent: dict[str, Target] = field(default_factory=dict)
    since_s: float = 0.0
    polled_s: float = 0.0
    is_polling: bool = False


class Suspicions:
    """The suspected replicas of this daemon, and those that its hall leader suspects.

    Parameters
    ----------
    attempts : AttemptRunner
        Hands over the requests at suspected replicas, and interrupts those at lost ones.
    control : TargetControl
        Requests reports from targets.
    resumed_s : callable
        Returns the local time at which this daemon last resumed after a pause of its own. What it
        has not received by then shows nothing about targets.
    spawn : callable
        Starts a coroutine as a task.

    Attributes
    ----------
    listener : FailureListener or None
        Notified of what is found out.
    has_lost_links : callable
        Returns whether this daemon reaches no target at all; by default not known.
    """

    __slots__ = (
        "_own",
        "_reported",
        "attempts",
        "catalog",
        "clock",
        "control",
        "has_lost_links",
        "listener",
        "resumed_s",
        "spawn",
    )

    def __init__(
        self,
        attempts: AttemptRunner,
        control: TargetControl,
        clock: Clock,
        resumed_s: Callable[[], float],
        spawn: Callable,
    ):
        self.attempts = attempts
        self.catalog = attempts.selector.catalog
        self.control = control
        self.clock = clock
        self.resumed_s = resumed_s
        self.spawn = spawn
        self.listener: FailureListener | None = None
        self.has_lost_links: Callable | None = None
        self._own: dict[ReplicaKey, _Suspicion] = {}
        self._reported: set[ReplicaKey] = set()

    def begin(self, replica: ReplicaView, polled: Polled, silent_since_s: float) -> None:
        """Suspect a replica after a poll of its members; consider it lost if one is gone.

        Parameters
        ----------
        silent_since_s : float
            Local time since which nothing was received from the replica.
        """
        now_s, ids = self.clock.now_s(), _ids(polled.failed)
        key = replica.key
        if key in self.catalog.broken:
            return
        if key not in self._own:
            silent = {target.target_id: target for target in polled.failed}
            self._own[key] = _Suspicion(replica, silent, silent_since_s, now_s)
            if self.listener is not None:
                self.listener.on_targets_suspected(ids, f"silent in {replica.name}")
            self._avoid(key, MEMBER_DEAD)
        if polled.gone:
            self._consider_lost(self._own[key], _ids(polled.gone))

    def report(self, key: ReplicaKey, reason: str) -> None:
        """Handle the hall leader's report that a replica is suspected."""
        if key not in self.catalog.broken and key not in self._reported:
            self._reported.add(key)
            self._avoid(key, reason)

    def withdraw_report(self, key: ReplicaKey) -> None:
        """Handle that the hall leader does not suspect a replica any more."""
        self._reported.discard(key)
        self._use_again(key)

    def mark_broken(self, key: ReplicaKey, reason: str) -> None:
        """Never use a replica again, and interrupt its requests."""
        self._own.pop(key, None)
        if key in self.catalog.broken:
            return
        self.catalog.broken.add(key)
        self.catalog.suspected.discard(key)
        self.attempts.interrupt_lost(key, reason)
        if self.listener is not None:
            self.listener.on_replica_avoided(key)

    def step(self) -> None:
        """Poll the silent members of the suspected replicas that are due."""
        now_s = self.clock.now_s()
        for key, suspicion in list(self._own.items()):
            if not self._is_listed(suspicion.replica):
                del self._own[key]
                self._use_again(key)
            elif not suspicion.is_polling and now_s - suspicion.polled_s >= RECHECK_INTERVAL_S:
                suspicion.is_polling = True
                suspicion.polled_s = now_s
                self.spawn(self._poll(suspicion))

    async def _poll(self, suspicion: _Suspicion) -> None:
        key = suspicion.replica.key
        began_s = self.clock.now_s()
        try:
            polled = await poll_targets(
                self.control, list(suspicion.silent.values()), RECHECK_TIMEOUT_S, key
            )
            shows_nothing = (
                polled.silent and self.has_lost_links is not None and await self.has_lost_links()
            )
        finally:
            suspicion.is_polling = False
        now_s = self.clock.now_s()
        if self._own.get(key) is not suspicion:
            return
        if shows_nothing or self.resumed_s() > began_s:
            suspicion.since_s = now_s
            return
        answered = suspicion.silent.keys() - _ids(polled.failed)
        suspicion.silent = {target.target_id: target for target in polled.failed}
        if answered and self.listener is not None:
            self.listener.on_targets_answered(answered)
        if polled.gone:
            self._consider_lost(suspicion, _ids(polled.gone))
        elif not polled.silent:
            self._end(suspicion)
        elif now_s - max(suspicion.since_s, self.resumed_s()) >= MAX_SILENCE_S:
            self._consider_lost(suspicion, _ids(polled.silent))
        else:
            self.attempts.interrupt(key, MEMBER_DEAD)

    def _end(self, suspicion: _Suspicion) -> None:
        """Use a replica again whose members have all answered."""
        key = suspicion.replica.key
        del self._own[key]
        log_event(
            _LOG,
            logging.INFO,
            "replica_answers",
            replica=key[0],
            epoch=key[1],
            silent_ms=(self.clock.now_s() - suspicion.since_s) * 1000,
        )
        self._use_again(key)

    def _consider_lost(self, suspicion: _Suspicion, target_ids: Collection[str]) -> None:
        key = suspicion.replica.key
        log_event(
            _LOG,
            logging.WARNING,
            "replica_lost",
            replica=key[0],
            epoch=key[1],
            members=",".join(sorted(target_ids)),
            silent_ms=(self.clock.now_s() - suspicion.since_s) * 1000,
        )
        if self.listener is not None:
            self.listener.on_targets_lost(target_ids, f"lost in {suspicion.replica.name}")
        self.mark_broken(key, MEMBER_DEAD)

    def _avoid(self, key: ReplicaKey, reason: str) -> None:
        """Send no new requests to a replica, and hand over those that it has."""
        if key in self.catalog.suspected:
            return
        self.catalog.suspected.add(key)
        self.attempts.interrupt(key, reason)
        if self.listener is not None:
            self.listener.on_replica_avoided(key)

    def _use_again(self, key: ReplicaKey) -> None:
        if key in self._own or key in self._reported:
            return
        self.catalog.suspected.discard(key)
        if self.listener is not None:
            self.listener.on_replica_used_again(key)

    def _is_listed(self, replica: ReplicaView) -> bool:
        """Return whether a replica is still in the target list with its head."""
        head = self.catalog.directory.targets.get(replica.head.target_id)
        if head is None or head.membership is None:
            return False
        return (head.membership.replica, head.membership.epoch) == replica.key


def _ids(targets: Collection[Target]) -> list[str]:
    return [target.target_id for target in targets]
