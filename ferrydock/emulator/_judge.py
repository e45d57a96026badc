"""Finds broken promises of a run by comparing the records of callers and workers.

The rules are in the module of each topic (`_stops`, `_crashing`, `_leaving`, `_limits`, `_rests`).
This module applies them with the run's times and the disturbances of its daemons and store. Owns
nothing; adds broken promises to the result.
"""

import asyncio
import time

from ..standins.fleet import LeavingArrival, ReplicaArrival
from ._broken import describe_broken_answers, describe_unserved_beside_broken
from ._crashing import CONTACT_S, MAX_LATE_ARRIVALS, describe_refused, late_arrivals
from ._crashing_parts import (
    PART_CRASHES,
    crashes_targets,
    describe_unserved_sharers,
    is_of_part_play,
)
from ._drains import DrainJudge, LateClass
from ._endless import describe_filler, describe_memory, describe_unserved_elsewhere
from ._endless_senders import describe_unserved_after
from ._foreign_entries import describe_log_lines, describe_unserved_beside
from ._hops import Arrival, Departure, analyse_hops
from ._leaving import (
    DRAIN_S,
    StoreDisturbance,
    arrivals_after_leaving,
    describe_late,
    late_leaving_arrivals,
)
from ._limits import describe_excess, rate_limit_violations
from ._link_troubles import describe_unserved
from ._load import Call
from ._long_answers import describe_unanswered
from ._rests import backoff_violations, describe_violations
from ._silences import describe_dead, describe_late_answers, describe_lost, members_lost_s
from ._skew import describe_skew
from ._stops import (
    PROMISES_NOT_RUN,
    STALE_HEAD_S,
    Execution,
    PlannedStop,
    describe_broken,
    excuse_of_call,
    excuse_of_emulation,
    excuse_of_stop,
    find_end_fault,
    is_as_promised,
)
from ._store_answers import describe_store_answers
from ._terms import describe_unprovoked, describe_unserved_at_end
from ._troubles import EmulationParts

__all__ = ["PromiseChecker"]

# Error code of a daemon that refuses a request because its configuration may be out of date.
UNCONFIRMED = "configuration_unconfirmed"

# How long after a disturbance a daemon has contact again and applies the newest configuration: the
# sum of ``contact-ms`` and ``config-apply-ms`` of the known sites.
IN_FORCE_S = CONTACT_S + 2.0


class PromiseChecker:
    """Checks the promises after a run has ended.

    Parameters
    ----------
    load_began_s : float
        Loop time at which the load began.
    store_disturbances : list of StoreDisturbance
        Times at which the store was disturbed, with the daemons affected.
    """

    def __init__(
        self, parts: EmulationParts, load_began_s: float, store_disturbances: list[StoreDisturbance]
    ):
        self.parts = parts
        self.load_began_s = load_began_s
        self.store_disturbances = store_disturbances
        self._sent_to = {call.request_id: call.daemon for call in parts.result.calls}
        self._at_replicas: dict[str, list[ReplicaArrival]] = {}
        for arrival in parts.site.record.at_replicas:
            self._at_replicas.setdefault(arrival.request_id, []).append(arrival)
        self._daemons = {daemon.name: daemon for daemon in parts.daemons}

    def check(self, wanted_replicas: int) -> None:
        """Add every broken promise to the result.

        Fewer than `wanted_replicas` open replicas at the end break a promise too.
        """
        result, record = self.parts.result, self.parts.site.record
        broken = result.broken
        broken += [f"{v.rule}: {v.worker} {v.detail}" for v in self.parts.site.fleet.violations]
        for call in result.calls:
            self._check_call(call, record.runs.get(call.request_id, 0))
        if record.keys_seen:
            broken.append(f"key: {record.keys_seen} requests brought a key to a worker")
        other_teams = {name for name in record.tenants.values() if name != "acme"}
        if other_teams:
            broken.append(f"tenant: requests ran for {sorted(other_teams)}")
        for daemon in self.parts.daemons:
            broken += [
                f"own end: {daemon.name} with status {s}" for s in daemon.unexpected_exit_statuses
            ]
        self._check_stops()
        self._check_crashing()
        self._check_crashing_parts()
        if self.parts.experiment.persistent_callers:
            self._check_drains()
        else:
            self._check_leaving()
        self._check_leaving_said()
        self._check_unconfirmed()
        self._check_links()
        calls = [call for call in result.calls if not crashes_targets(call)]
        result.broken += describe_skew(calls, self.parts.skews_s, self._was_in_contact)
        self._check_limits()
        self._check_rests()
        self._check_foreign_entries()
        self._check_broken_answers()
        self._check_lost()
        self._check_endless()
        self._check_long_answers()
        self._check_terms()
        result.replicas_at_end = len(self.parts.site.fleet.open_heads())
        if result.replicas_at_end < wanted_replicas:
            broken.append(f"formed: {result.replicas_at_end} replicas are open at the end")
        answered = [call for face in self.parts.site.stores for call in face.answered]
        result.store_answers = describe_store_answers(answered, self.load_began_s)
        for face in self.parts.site.stores:
            for kind, count in face.calls.items():
                result.store_calls[kind] = result.store_calls.get(kind, 0) + count

    def _check_crashing(self) -> None:
        """Report crashing requests that kept reaching targets, and others refused as crashing."""
        result = self.parts.result
        result.broken += describe_refused([c for c in result.calls if not is_of_part_play(c)])
        sent_to = {call.request_id: self._daemons[call.daemon] for call in result.calls}

        def is_undisturbed(request_id: str, at_s: float) -> bool:
            from_s = at_s - CONTACT_S
            is_stable = not any(
                disturbance.from_s <= at_s and disturbance.to_s >= from_s
                for disturbance in self.store_disturbances
            )
            return is_stable and sent_to[request_id].was_undisturbed(at_s, CONTACT_S)

        for (path, _, body), seen in self.parts.site.record.crashing.items():
            beyond = late_arrivals(seen, is_undisturbed)
            result.crashes += len(seen.crashed_s)
            result.beyond = max(result.beyond, len(beyond))
            if len(beyond) > MAX_LATE_ARRIVALS:
                at_s = ", ".join(f"{at_s - self.load_began_s:.2f}" for at_s in beyond)
                result.broken.append(f"crashing: {body!r} on {path} went on at {at_s} s")

    def _check_crashing_parts(self) -> None:
        """Report parts that went on crashing targets, and sound requests that suffered for them."""
        result, sent_to = self.parts.result, self._sent_to

        def is_undisturbed(request_id: str, at_s: float) -> bool:
            return self._had_contact(sent_to[request_id], at_s - CONTACT_S, at_s)

        for part, seen in self.parts.site.record.crashing_parts.items():
            late = late_arrivals(seen, is_undisturbed, PART_CRASHES)
            result.part_crashes += len(seen.crashed_s)
            result.part_late = max(result.part_late, len(late))
            if len(late) > MAX_LATE_ARRIVALS:
                at_s = ", ".join(f"{at_s - self.load_began_s:.2f}" for at_s in late)
                result.broken.append(f"part: requests with {part} went on at {at_s} s")
            calls = [call for call in result.calls if is_of_part_play(call)]
            result.broken += describe_unserved_sharers(
                calls, seen, self._was_in_contact, self.load_began_s
            )

    def _check_leaving(self) -> None:
        """Report requests sent to targets long after the store had recorded that they leave."""
        result = self.parts.result
        sent_to = {call.request_id: self._daemons[call.daemon] for call in result.calls}

        def is_undisturbed(request_id: str, from_s: float, to_s: float) -> bool:
            daemon = sent_to[request_id]
            is_disturbed = any(
                disturbance.affects(daemon.name, from_s, to_s)
                for disturbance in self.store_disturbances
            )
            return not is_disturbed and daemon.was_undisturbed(to_s, to_s - from_s)

        arrivals = self.parts.site.record.at_leaving
        result.at_leaving = len(arrivals)
        for late in late_leaving_arrivals(arrivals, is_undisturbed):
            daemon = sent_to[late.request_id].name
            result.broken.append(describe_late(late, daemon, late.at_s - self.load_began_s))

    def _check_drains(self) -> None:
        """Measure the arrivals at leaving targets, and report the late ones that are judged."""
        result = self.parts.result
        calls = {call.request_id: call for call in result.calls}
        arrivals = self.parts.site.record.at_leaving
        result.at_leaving = len(arrivals)
        judge = DrainJudge(
            lambda request_id: self._daemons[calls[request_id].daemon],
            lambda request_id: calls[request_id].at_s,
            self.store_disturbances,
            result.stood_still,
            self.load_began_s,
        )
        result.drains = drains = judge.measure(arrivals)
        wall_offset_s = time.time() - asyncio.get_running_loop().time()
        drains.load_began_wall_s = self.load_began_s + wall_offset_s
        drains.hop_lines = self._analyse_hops(arrivals, wall_offset_s)
        result.broken += [
            late.describe(drains.load_began_wall_s)
            for late in drains.late
            if late.why is LateClass.JUDGED
        ]

    def _analyse_hops(self, arrivals: list[LeavingArrival], wall_offset_s: float) -> list[str]:
        """Return lines on which hop took how long for requests at leaving targets."""
        site = self.parts.site
        departures = [
            Departure(worker.worker_id, worker.left_s + wall_offset_s)
            for worker in site.all_workers()
            if worker.left_s is not None
        ]
        arrived = [
            Arrival(
                arrival.worker_id,
                arrival.request_id,
                self._sent_to[arrival.request_id],
                arrival.at_s + wall_offset_s,
            )
            for arrival in arrivals
        ]
        log_lines = {
            daemon.name: daemon.log_path.read_text(errors="replace").splitlines()
            for daemon in self.parts.daemons
        }
        return analyse_hops(departures, arrived, log_lines, DRAIN_S).lines()

    def _check_leaving_said(self) -> None:
        """Report requests sent to targets long after their answers announced that they leave."""
        result = self.parts.result
        calls = {call.request_id: call for call in result.calls}
        for announcement in self.parts.site.record.leaving_said:
            result.leaving_said += len(announcement.told)
            late = arrivals_after_leaving(
                announcement,
                lambda request_id: self.load_began_s + calls[request_id].at_s,
                self._daemon_of,
                self._was_undisturbed,
            )
            for late_arrival in late[:1]:
                daemon = self._daemon_of(late_arrival.request_id)
                result.broken.append(
                    describe_late(late_arrival, daemon, late_arrival.at_s - self.load_began_s)
                )

    def _check_limits(self) -> None:
        """Report targets that received more requests than the limit they announced."""
        result = self.parts.result
        for limit in self.parts.site.record.limits:
            result.at_limited += len(limit.arrived)
            for at_s, count in rate_limit_violations(limit, self._daemon_of, self._was_undisturbed)[
                :1
            ]:
                result.broken.append(describe_excess(limit, at_s - self.load_began_s, count))

    def _check_rests(self) -> None:
        """Report targets that received requests during a back-off that they had asked for."""
        result = self.parts.result
        for shedding in self.parts.site.record.shed:
            result.shed += len(shedding.refused)
            found = backoff_violations(shedding, self._daemon_of, self._was_undisturbed)
            for at_s, daemon, count in found[:1]:
                refused_s = at_s - self.load_began_s
                result.broken.append(describe_violations(shedding, daemon, refused_s, count))

    def _check_foreign_entries(self) -> None:
        """Report requests that failed, and logs that grew, beside entries of another writer."""
        result, experiment = self.parts.result, self.parts.experiment
        if not result.foreign_entries:
            return
        result.broken += describe_unserved_beside(
            result.calls, experiment.troubles, self._note_excuse
        )
        for daemon in self.parts.daemons:
            log = daemon.log_path.read_bytes()
            result.broken += describe_log_lines(daemon.name, log, self.parts.now_s())

    def _check_lost(self) -> None:
        """Report lost requests and large daemons beside workers in the troubles of these plays."""
        result = self.parts.result
        if result.silences or result.endless or result.broken_answers:
            result.broken += describe_memory(result.memory_bytes)
            self._check_dead_replicas()
            result.broken += describe_late_answers(result.calls, self._is_in_steady_state)
            endless = self.parts.site.record.endless
            sound = [call for call in result.calls if call.request_id not in endless]
            result.broken += describe_lost(
                sound, self._execution_of, self._killed_s, result.stood_still
            )

    def _check_endless(self) -> None:
        """Report callers that suffered from workers that sent bytes without end."""
        result, answered = self.parts.result, self.parts.site.record.endless
        if not result.endless:
            return
        result.broken += describe_filler(result.calls, answered)
        result.broken += describe_unserved_elsewhere(
            result.calls,
            answered,
            self.parts.endless_s,
            self._is_in_steady_state,
        )
        result.broken += describe_unserved_after(
            result.calls, self.parts.endless_s, self._is_in_steady_state
        )

    def _check_broken_answers(self) -> None:
        """Report callers that suffered from answers whose heads are broken."""
        result, record = self.parts.result, self.parts.site.record
        result.broken_answers += len(record.broken) + record.broken_control
        if not result.broken_answers:
            return
        result.broken += describe_broken_answers(result.calls, record.broken)
        result.broken += describe_unserved_beside_broken(
            result.calls, record.broken, self.parts.broken_s, self._is_in_steady_state
        )
        result.broken += describe_unserved_after(
            result.calls, self.parts.broken_s, self._is_in_steady_state
        )

    def _check_long_answers(self) -> None:
        """Report requests that stopping daemons accepted and did not answer completely."""
        if self.parts.experiment.has_long_answers:
            result = self.parts.result
            result.broken += describe_unanswered(
                result.calls, result.stops, self._execution_of, self._killed_s, result.stood_still
            )

    def _check_terms(self) -> None:
        """Report a site that does not serve again, and troubles that did not come about."""
        result = self.parts.result
        if result.terms is not None:
            ended_s = self.parts.last_trouble_ended_s
            result.broken += describe_unprovoked(result.terms)
            result.broken += describe_unserved_at_end(
                result.calls, ended_s, self._is_in_steady_state
            )

    def _is_in_steady_state(self, call: Call) -> bool:
        """Return whether nothing disturbed daemon and store, and no stall silenced all workers."""
        stalls = self.parts.result.stood_still
        return self._was_in_contact(call) and not any(p.causes_suspicion(call) for p in stalls)

    def _check_dead_replicas(self) -> None:
        """Report requests to replicas long after one of their members had died."""
        site = self.parts.site
        self.parts.result.broken += describe_dead(
            site.record.at_replicas,
            site.killed_s,
            lambda arrival: self._had_contact(
                self._sent_to[arrival.request_id], arrival.at_s - CONTACT_S, arrival.at_s
            ),
            self.load_began_s,
        )

    def _killed_s(self, daemon: str) -> list[float]:
        """Return when the named daemon was killed, in seconds since the load began."""
        return [at_s - self.load_began_s for at_s in self._daemons[daemon].killed_s]

    def _note_excuse(self, call: Call) -> str:
        """Return why the emulation may have kept a call from being served, and count it."""
        result = self.parts.result
        excuse = excuse_of_emulation(call, result.stood_still, result.slow_answers)
        if excuse:
            result.excused[excuse] += 1
        return excuse

    def _daemon_of(self, request_id: str) -> str:
        return self._sent_to[request_id]

    def _was_undisturbed(self, daemon: str, from_s: float, to_s: float) -> bool:
        """Return whether the named daemon was undisturbed between two loop times."""
        return self._daemons[daemon].was_undisturbed(to_s, to_s - from_s)

    def _check_unconfirmed(self) -> None:
        """Report requests that daemons undisturbed for `IN_FORCE_S` refused as unconfirmed."""
        for call in self.parts.result.calls:
            if call.code != UNCONFIRMED:
                continue
            at_s = self.load_began_s + call.at_s
            from_s = at_s - IN_FORCE_S
            is_disturbed = any(
                disturbance.affects(call.daemon, from_s, at_s)
                for disturbance in self.store_disturbances
            )
            if not is_disturbed and self._daemons[call.daemon].was_undisturbed(at_s, IN_FORCE_S):
                self.parts.result.broken.append(
                    f"unconfirmed: {call.request_id} refused by {call.daemon} at {call.at_s:.2f} s"
                )

    def _check_links(self) -> None:
        """Report callers of daemons without links that were served far worse than others.

        Requests that crash their targets are refused at every daemon, and are left out.
        """
        if not self.parts.links:
            return
        result = self.parts.result
        harmless = [call for call in result.calls if not crashes_targets(call)]
        result.broken += describe_unserved(
            harmless,
            self.parts.links,
            self._was_in_contact,
            lambda daemon, at_s: self._was_undisturbed(daemon, at_s, at_s),
            self.load_began_s,
        )

    def _was_in_contact(self, call: Call) -> bool:
        """Return whether daemon and store were undisturbed during a call and `CONTACT_S` before."""
        to_s = self.load_began_s + call.ended_s
        from_s = self.load_began_s + call.at_s - CONTACT_S
        return self._had_contact(call.daemon, from_s, to_s)

    def _had_contact(self, daemon: str, from_s: float, to_s: float) -> bool:
        """Return whether a daemon and the store were undisturbed between two loop times."""
        is_stable = not any(d.affects(daemon, from_s, to_s) for d in self.store_disturbances)
        return is_stable and self._was_undisturbed(daemon, from_s, to_s)

    def _check_stops(self) -> None:
        """Report planned stops, and calls under way during them, that did not end as promised."""
        result = self.parts.result
        faults = [find_end_fault(stop) for stop in result.stops]
        result.broken += [fault for fault in faults if fault]
        for call in result.calls:
            execution = self._execution_of(call)
            for stop in result.stops:
                if stop.covers(call):
                    result.stop_calls += 1
                    if not is_as_promised(call, execution):
                        self._excuse_or_report(call, stop, execution)

    def _excuse_or_report(self, call: Call, stop: PlannedStop, execution: Execution) -> None:
        """Count a call as excused if an exception of the promise applies; otherwise report it."""
        result = self.parts.result
        excuse = excuse_of_stop(stop) or excuse_of_call(
            call, stop, execution, result.stood_still, result.slow_answers
        )
        if excuse:
            self.parts.result.excused[excuse] += 1
        else:
            self.parts.result.broken.append(describe_broken(call, stop, execution))

    def _execution_of(self, call: Call) -> Execution:
        """Return what the workers recorded about a call."""
        site = self.parts.site
        record, killed_s, crashed_s = site.record, site.killed_s, site.crashed_s
        worker_ids = record.workers.get(call.request_id, ())
        lost_times_s = [killed_s[w] for w in worker_ids if w in killed_s]
        sent_s = call.at_s + self.load_began_s
        lost_times_s += [
            at_s for w in worker_ids for at_s in crashed_s.get(w, ()) if at_s >= sent_s
        ]
        lost_times_s += members_lost_s(self._at_replicas.get(call.request_id, ()), crashed_s)
        lost_s = min(lost_times_s, default=float("inf"))
        worked_s = record.worked_s.get(call.request_id, float("-inf"))
        count = record.runs.get(call.request_id, 0)
        may_be_unread = any(
            sent_s - STALE_HEAD_S <= at_s <= call.ended_s + self.load_began_s
            for worker_id, crashed in crashed_s.items()
            if (worker_id in self.parts.site.plain) == (call.kind in ("look", "file"))
            for at_s in crashed
        )
        return Execution(
            count, worked_s - self.load_began_s, lost_s - self.load_began_s, may_be_unread
        )

    def _check_call(self, call: Call, runs: int) -> None:
        """Report what is wrong with a call that workers ran `runs` times."""
        broken = self.parts.result.broken
        if call.fault:
            broken.append(f"answer: {call.request_id} {call.kind} {call.fault}")
        if call.kind == "file" and runs > 1:
            broken.append(f"once: {call.request_id} ran {runs} times")
        if call.kind == "file" and call.status in PROMISES_NOT_RUN and runs:
            broken.append(f"refusal: {call.request_id} got {call.status} and ran")
