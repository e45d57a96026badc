"""Replicas that are suspected to have lost a member, until they answer or are considered lost.

A target may be silent for a second or so and go on, so one poll without an answer does not show
that it is dead. Its replica gets no new requests from then on, and its members are polled until
they answer, or until they have been silent for longer than a sound target may be. The same follows
from a report of the hall leader. Owns the suspicions of this daemon, and the set of suspected
replicas in the `EndpointCatalog`; relies on `AttemptRunner` for the requests in flight there.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from ..clock import Clock
from ..logs import log_event
from ..outcomes import NotListening, Unavailable, Unreachable
from ..targets import (
    MAX_SILENCE_S,
    ReplicaState,
    ReplicaView,
    Target,
    TargetControl,
    TargetReport,
)
from ._attempts import AttemptRunner
from ._lost_replicas import LostReplicas

__all__ = ["FailureListener", "Polled", "Suspicions", "poll_targets"]

_LOG = logging.getLogger("ferrydock.forwarding")

# How long no connection to a target is made until it is considered lost. Several polls fall into
# this time, since a single connection may fail because packets were lost.
MAX_UNREACHABLE_S = 0.6

# Interval between two polls of the silent members of a suspected replica.
RECHECK_INTERVAL_S = 0.25

# How long a silent member may take to answer such a poll.
RECHECK_TIMEOUT_S = 0.2

# Reason for interrupting an attempt, as written to log lines and read by `ferrydock explain`.
MEMBER_DEAD = "member_dead"

ReplicaKey = tuple[str, int]


class FailureListener(Protocol):
    """Receives what this daemon finds out about silent targets and their replicas."""

    def on_targets_suspected(
        self, target_ids: Collection[str], reached_ids: Collection[str], reason: str
    ) -> None:
        """Handle targets that did not answer a poll; their hosts accept connections if reached."""

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
    unreachable : tuple of Target
        Those of them to which no connection was made.
    gone : tuple of Target
        Targets that cannot go on as members of the replica: nothing listens at their addresses, or
        they report that they do not belong to it.
    """

    silent: tuple[Target, ...] = ()
    unreachable: tuple[Target, ...] = ()
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
    silent, unreachable, gone = [], [], []
    for target, report in zip(targets, reports, strict=True):
        if isinstance(report, NotListening) or not _may_belong(report, key):
            gone.append(target)
        elif isinstance(report, Unavailable):
            silent.append(target)
            if isinstance(report, Unreachable):
                unreachable.append(target)
    return Polled(tuple(silent), tuple(unreachable), tuple(gone))


def _may_belong(report: TargetReport | Unavailable, key: ReplicaKey | None) -> bool:
    if key is None or isinstance(report, Unavailable):
        return True
    return (report.replica, report.epoch) == key


@dataclass(slots=True, eq=False)
class _Suspicion:
    """A suspected replica.

    Attributes
    ----------
    members : dict of str to Target
        Its members by id when the suspicion began, also those that had no entry then.
    silent : dict of str to Target
        Those of them that have not answered since.
    silent_since_s : float or None
        When the first unanswered poll of them began, in seconds that this daemon has run
        (`Suspicions.running_s`); None before there is one.
    unreachable_since_s : dict of str to float
        When the first of the last polls began that did not reach a member, by its id, in the same
        seconds.
    polled_s : float
        Local time of the last poll.
    is_reported : bool
        Whether the hall leader reports it now.
    """

    key: ReplicaKey
    head_id: str
    members: dict[str, Target]
    silent: dict[str, Target]
    silent_since_s: float | None = None
    unreachable_since_s: dict[str, float] = field(default_factory=dict)
    polled_s: float = float("-inf")
    is_polling: bool = False
    is_reported: bool = False


class Suspicions:
    """The replicas that this daemon or its hall leader suspects.

    A suspicion ends when the members have answered this daemon and the leader reports the replica
    no more. Members of a replica that only the leader suspects are polled while requests of this
    daemon are there, and when the report ends: it may end because the leader does.

    Parameters
    ----------
    attempts : AttemptRunner
        Hands over the requests at suspected replicas, and interrupts those at lost ones.
    control : TargetControl
        Requests reports from targets.
    running_s : callable
        Returns for how long this daemon has run, in seconds, without the pauses of its process.
    resumed_s : callable
        Returns the local time at which this daemon last resumed after such a pause. What it has
        not received by then shows nothing about targets.
    spawn : callable
        Starts a coroutine as a task.

    Attributes
    ----------
    listener : FailureListener or None
        Notified of what is found out.
    has_lost_links : callable
        Returns whether this daemon reaches no target at all; by default not known.
    lost : LostReplicas
        The replicas that are considered lost, until their members answer again.
    """

    __slots__ = (
        "_suspicions",
        "attempts",
        "catalog",
        "clock",
        "control",
        "has_lost_links",
        "listener",
        "lost",
        "resumed_s",
        "running_s",
        "spawn",
    )

    def __init__(
        self,
        attempts: AttemptRunner,
        control: TargetControl,
        clock: Clock,
        running_s: Callable[[], float],
        resumed_s: Callable[[], float],
        spawn: Callable[[Coroutine], None],
    ):
        self.attempts = attempts
        self.catalog = attempts.selector.catalog
        self.control = control
        self.clock = clock
        self.running_s = running_s
        self.resumed_s = resumed_s
        self.spawn = spawn
        self.listener: FailureListener | None = None
        self.has_lost_links: Callable[[], Awaitable[bool]] | None = None
        self._suspicions: dict[ReplicaKey, _Suspicion] = {}
        self.lost = LostReplicas(
            clock, self._open_members, self._do_members_answer, self._use_lost_again, spawn
        )

    def begin(self, replica: ReplicaView, polled: Polled, took_s: float) -> None:
        """Suspect a replica after a poll of its members, which took `took_s` seconds."""
        if replica.key in self.catalog.broken:
            return
        suspicion = self._suspicions.get(replica.key)
        if suspicion is None:
            members = _by_id(replica.members)
            suspicion = _Suspicion(replica.key, replica.head.target_id, members, members)
            self._suspicions[replica.key] = suspicion
        suspicion.polled_s = self.clock.now_s()
        self._avoid(suspicion)
        self._apply(suspicion, polled, took_s)

    def report(self, key: ReplicaKey, reason: str) -> None:
        """Handle the hall leader's report that it avoids a replica."""
        self.lost.note_reported(key, True)
        if key in self.catalog.broken:
            return
        suspicion = self._suspicions.get(key)
        if suspicion is None:
            members = self._known_members(key)
            head_id = next(iter(members), "")
            suspicion = self._suspicions[key] = _Suspicion(key, head_id, members, members)
        suspicion.is_reported = True
        self._avoid(suspicion)
        self.attempts.interrupt(key, reason, may_be_paused=True)

    def withdraw_report(self, key: ReplicaKey) -> None:
        """Handle that the hall leader does not report a replica any more; poll its members."""
        self.lost.note_reported(key, False)
        suspicion = self._suspicions.get(key)
        if suspicion is not None:
            suspicion.is_reported = False

    def mark_broken(self, key: ReplicaKey, reason: str) -> None:
        """Consider a replica lost, and interrupt its requests.

        It is used again only if its members answer although nobody reports it any more.
        """
        suspicion = self._suspicions.pop(key, None)
        if key in self.catalog.broken:
            return
        members = suspicion.members if suspicion is not None else self._known_members(key)
        self.lost.add(key, members, suspicion is not None and suspicion.is_reported)
        self.catalog.broken.add(key)
        self.catalog.suspected.discard(key)
        self.attempts.interrupt_lost(key, reason)
        if self.listener is not None:
            self.listener.on_replica_avoided(key)

    def step(self) -> None:
        """Poll the silent members of the suspected replicas that are due, and of lost ones."""
        self.lost.step()
        now_s = self.clock.now_s()
        for suspicion in list(self._suspicions.values()):
            if suspicion.is_polling or now_s - suspicion.polled_s < RECHECK_INTERVAL_S:
                continue
            suspicion.polled_s = now_s
            has_requests = self.attempts.attempt_count_at(suspicion.head_id) > 0
            if not has_requests and not self._listed_members(suspicion.key):
                self._use_again(suspicion.key)
            elif has_requests or not suspicion.is_reported:
                suspicion.is_polling = True
                self.spawn(self._poll(suspicion))

    async def _poll(self, suspicion: _Suspicion) -> None:
        """Poll the silent members, and apply the result.

        What was not answered counts only if this daemon could have received an answer.
        """
        began_s, began_running_s = self.clock.now_s(), self.running_s()
        targets = list((suspicion.silent or suspicion.members).values())
        try:
            polled = await poll_targets(self.control, targets, RECHECK_TIMEOUT_S, suspicion.key)
            has_lost_links = (
                bool(polled.silent)
                and self.has_lost_links is not None
                and await self.has_lost_links()
            )
        finally:
            suspicion.is_polling = False
        if self._suspicions.get(suspicion.key) is not suspicion:
            return
        if has_lost_links:
            suspicion.silent_since_s = None
            suspicion.unreachable_since_s = {}
        elif not polled.silent or self.resumed_s() <= began_s:
            self._apply(suspicion, polled, self.running_s() - began_running_s)

    def _apply(self, suspicion: _Suspicion, polled: Polled, took_s: float) -> None:
        """Apply the result of a poll of silent members that took `took_s` seconds."""
        answered = suspicion.silent.keys() - _by_id(polled.failed)
        suspicion.silent = _by_id(polled.failed)
        if answered and self.listener is not None:
            self.listener.on_targets_answered(answered)
        if not polled.failed:
            suspicion.silent_since_s = None
            suspicion.unreachable_since_s = {}
            if not suspicion.is_reported:
                self._end(suspicion)
            return
        running_s = self.running_s()
        if suspicion.silent_since_s is None:
            suspicion.silent_since_s = running_s - took_s
        unreached = self._note_unreachable(suspicion, polled.unreachable, running_s - took_s)
        if self.listener is not None:
            reached = _by_id(polled.silent).keys() - _by_id(polled.unreachable)
            reason = f"silent in {suspicion.key[0]}"
            self.listener.on_targets_suspected(suspicion.silent, reached, reason)
        if polled.gone or unreached:
            self._consider_lost(suspicion, [*_by_id(polled.gone), *unreached])
        elif running_s - suspicion.silent_since_s >= MAX_SILENCE_S:
            self._consider_lost(suspicion, _by_id(polled.silent))
        else:
            may_be_paused = not polled.unreachable
            self.attempts.interrupt(suspicion.key, MEMBER_DEAD, may_be_paused)

    def _note_unreachable(
        self, suspicion: _Suspicion, unreachable: Collection[Target], poll_began_s: float
    ) -> list[str]:
        """Record the members that a poll did not reach; return the ids of those to give up."""
        since_s = {
            target.target_id: suspicion.unreachable_since_s.get(target.target_id, poll_began_s)
            for target in unreachable
        }
        suspicion.unreachable_since_s = since_s
        lost_before_s = self.running_s() - MAX_UNREACHABLE_S
        return [target_id for target_id, from_s in since_s.items() if from_s <= lost_before_s]

    def _end(self, suspicion: _Suspicion) -> None:
        """Use a replica again whose members have all answered."""
        name, epoch = suspicion.key
        log_event(_LOG, logging.INFO, "replica_answers", replica=name, epoch=epoch)
        self._use_again(suspicion.key)

    def _consider_lost(self, suspicion: _Suspicion, target_ids: Collection[str]) -> None:
        name, epoch = suspicion.key
        since_s = suspicion.silent_since_s
        log_event(
            _LOG,
            logging.WARNING,
            "replica_lost",
            replica=name,
            epoch=epoch,
            members=",".join(sorted(target_ids)),
            silent_ms=(self.running_s() - since_s) * 1000 if since_s is not None else None,
        )
        if self.listener is not None:
            self.listener.on_targets_lost(target_ids, f"lost in {name}")
        self.mark_broken(suspicion.key, MEMBER_DEAD)

    def _avoid(self, suspicion: _Suspicion) -> None:
        """Send no new requests to a replica."""
        key = suspicion.key
        if key in self.catalog.broken or key in self.catalog.suspected:
            return
        self.catalog.suspected.add(key)
        if self.listener is not None:
            self.listener.on_replica_avoided(key)

    def _use_again(self, key: ReplicaKey) -> None:
        del self._suspicions[key]
        self.catalog.suspected.discard(key)
        if self.listener is not None:
            self.listener.on_replica_used_again(key)

    def _use_lost_again(self, key: ReplicaKey) -> None:
        """Use a replica again that was considered lost and whose members have all answered."""
        name, epoch = key
        log_event(_LOG, logging.WARNING, "lost_replica_answers", replica=name, epoch=epoch)
        self.catalog.broken.discard(key)
        if self.listener is not None:
            self.listener.on_replica_used_again(key)

    async def _do_members_answer(self, members: Mapping[str, Target], key: ReplicaKey) -> bool:
        """Poll targets; return whether all report that they belong to a replica."""
        targets = list(members.values())
        polled = await poll_targets(self.control, targets, RECHECK_TIMEOUT_S, key)
        return not polled.failed

    def _open_members(self, key: ReplicaKey) -> dict[str, Target]:
        """Return the members of a replica whose head is listed as open; empty for any other."""
        members = self._known_members(key)
        head = next(iter(members.values()), None)
        if head is None or head.existing_membership.rank != 0:
            return {}
        is_open = head.existing_membership.state is ReplicaState.OPEN
        return members if is_open and not head.draining else {}

    def _known_members(self, key: ReplicaKey) -> dict[str, Target]:
        """Return the members of a listed replica by id, the head first, also unlisted ones."""
        members = self._listed_members(key)
        if members:
            service = next(iter(members.values())).service
            members |= _by_id(self.catalog.directory.unlisted_members(service, key))
        return members

    def _listed_members(self, key: ReplicaKey) -> dict[str, Target]:
        """Return the members of a replica in the target list by id, the head first."""
        members = [
            target
            for target in self.catalog.directory.targets.values()
            if target.membership is not None
            and (target.membership.replica, target.membership.epoch) == key
        ]
        return _by_id(sorted(members, key=lambda target: target.existing_membership.rank))


def _by_id(targets: Iterable[Target]) -> dict[str, Target]:
    return {target.target_id: target for target in targets}
