"""Which promises an emulation did not hold: put together from what callers and workers saw.

The rules stand with their topics (`_stops`, `_crashing`, `_leaving`); here they get the run's times
and its daemons' and store's troubles. Owns nothing; notes what is broken in the result.
"""

from ._crashing import CONTACT_S, MAX_MORE, arrivals_beyond, describe_refused
from ._leaving import StoreHurt, after_its_word, describe_late, late_arrivals
from ._limits import describe_excess, excess
from ._load import Call
from ._rests import describe_disturbed, disturbed
from ._stops import (
    BACK_UNSEEN_S,
    PROMISES_NOT_RUN,
    PlannedStop,
    Run,
    describe_broken,
    excuse_of_call,
    excuse_of_stop,
    is_as_promised,
    judge_end,
)
from ._troubles import PlayedParts

__all__ = ["Judge"]

# What a daemon says that refuses a request since its configuration is too old.
UNCONFIRMED = "configuration_unconfirmed"

# How long after trouble a daemon is in touch and has the newest configuration in force: the
# platform's ``contact-ms`` and ``config-apply-ms`` on the known sites.
IN_FORCE_S = CONTACT_S + 2.0


class Judge:
    """Judges a run that is over.

    Parameters
    ----------
    began_s : float
        Loop time at which the load began.
    store_hurts : list of StoreHurt
        When something was done to the store, as which daemons reach it.
    """

    def __init__(self, parts: PlayedParts, began_s: float, store_hurts: list[StoreHurt]):
        self.parts = parts
        self.began_s = began_s
        self.store_hurts = store_hurts
        self._sent_to = {call.request_id: call.daemon for call in parts.result.calls}
        self._daemons = {daemon.name: daemon for daemon in parts.daemons}

    def judge(self, wanted_replicas: int) -> None:
        """Note which promises did not hold."""
        result, record = self.parts.result, self.parts.site.record
        broken = result.broken
        broken += [f"{v.rule}: {v.worker} {v.detail}" for v in self.parts.site.fleet.violations]
        for call in result.calls:
            self._judge_call(call, record.runs.get(call.request_id, 0))
        if record.keys_seen:
            broken.append(f"key: {record.keys_seen} requests brought a key to a worker")
        strangers = {name for name in record.tenants.values() if name != "acme"}
        if strangers:
            broken.append(f"tenant: requests ran for {sorted(strangers)}")
        for daemon in self.parts.daemons:
            broken += [f"own end: {daemon.name} with status {s}" for s in daemon.own_ends]
        self._judge_stops()
        self._judge_crashing()
        self._judge_leaving()
        self._judge_leaving_said()
        self._judge_unconfirmed()
        self._judge_limits()
        self._judge_rests()
        result.replicas_at_end = len(self.parts.site.fleet.open_heads())
        if result.replicas_at_end < wanted_replicas:
            broken.append(f"formed: {result.replicas_at_end} replicas are open at the end")
        for face in self.parts.site.stores:
            for kind, count in face.calls.items():
                result.store_calls[kind] = result.store_calls.get(kind, 0) + count

    def _judge_crashing(self) -> None:
        """Note requests that went on to targets that they crash, and others refused for it."""
        result = self.parts.result
        result.broken += describe_refused(result.calls)
        sent_to = {call.request_id: self._daemons[call.daemon] for call in result.calls}

        def is_well(request_id: str, at_s: float) -> bool:
            from_s = at_s - CONTACT_S
            is_stable = not any(h.from_s <= at_s and h.to_s >= from_s for h in self.store_hurts)
            return is_stable and sent_to[request_id].was_well(at_s, CONTACT_S)

        for (path, _, body), seen in self.parts.site.record.crashing.items():
            beyond = arrivals_beyond(seen, is_well)
            result.crashes += len(seen.crashed_s)
            result.beyond = max(result.beyond, len(beyond))
            if len(beyond) > MAX_MORE:
                at_s = ", ".join(f"{at_s - self.began_s:.2f}" for at_s in beyond)
                result.broken.append(f"crashing: {body!r} on {path} went on at {at_s} s")

    def _judge_leaving(self) -> None:
        """Note requests that were sent to targets long after their word that they leave."""
        result = self.parts.result
        sent_to = {call.request_id: self._daemons[call.daemon] for call in result.calls}

        def is_well(request_id: str, from_s: float, to_s: float) -> bool:
            daemon = sent_to[request_id]
            is_hurt = any(hurt.touches(daemon.name, from_s, to_s) for hurt in self.store_hurts)
            return not is_hurt and daemon.was_well(to_s, to_s - from_s)

        arrivals = self.parts.site.record.at_leaving
        result.at_leaving = len(arrivals)
        for late in late_arrivals(arrivals, is_well):
            daemon = sent_to[late.request_id].name
            result.broken.append(describe_late(late, daemon, late.at_s - self.began_s))

    def _judge_leaving_said(self) -> None:
        """Note requests sent to targets whose answers had said that they leave."""
        result = self.parts.result
        calls = {call.request_id: call for call in result.calls}
        for said in self.parts.site.record.leaving_said:
            result.leaving_said += len(said.told)
            late = after_its_word(
                said,
                lambda request_id: self.began_s + calls[request_id].at_s,
                self._daemon_of,
                self._was_well,
            )
            for one in late[:1]:
                daemon = self._daemon_of(one.request_id)
                result.broken.append(describe_late(one, daemon, one.at_s - self.began_s))

    def _judge_limits(self) -> None:
        """Note targets that got more requests than the limit they had named."""
        result = self.parts.result
        for limit in self.parts.site.record.limits:
            result.at_limited += len(limit.arrived)
            for at_s, count in excess(limit, self._daemon_of, self._was_well)[:1]:
                result.broken.append(describe_excess(limit, at_s - self.began_s, count))

    def _judge_rests(self) -> None:
        """Note targets that got requests from daemons that they had asked for rest."""
        result = self.parts.result
        for shedding in self.parts.site.record.shed:
            result.shed += len(shedding.refused)
            found = disturbed(shedding, self._daemon_of, self._was_well)
            for at_s, daemon, count in found[:1]:
                since_s = at_s - self.began_s
                result.broken.append(describe_disturbed(shedding, daemon, since_s, count))

    def _daemon_of(self, request_id: str) -> str:
        return self._sent_to[request_id]

    def _was_well(self, daemon: str, from_s: float, to_s: float) -> bool:
        """Return whether nothing was done to a daemon, by its name, between two loop times."""
        return self._daemons[daemon].was_well(to_s, to_s - from_s)

    def _judge_unconfirmed(self) -> None:
        """Note requests refused for an old configuration by daemons that were well for long."""
        for call in self.parts.result.calls:
            if call.code != UNCONFIRMED:
                continue
            at_s = self.began_s + call.at_s
            from_s = at_s - IN_FORCE_S
            is_hurt = any(hurt.touches(call.daemon, from_s, at_s) for hurt in self.store_hurts)
            if not is_hurt and self._daemons[call.daemon].was_well(at_s, IN_FORCE_S):
                self.parts.result.broken.append(
                    f"unconfirmed: {call.request_id} refused by {call.daemon} at {call.at_s:.2f} s"
                )

    def _judge_stops(self) -> None:
        """Note what is wrong with planned stops, and with the calls that were under way."""
        result = self.parts.result
        faults = [judge_end(stop) for stop in result.stops]
        result.broken += [fault for fault in faults if fault]
        for call in result.calls:
            run = self._run_of(call)
            for stop in result.stops:
                if stop.covers(call):
                    result.stop_calls += 1
                    if not is_as_promised(call, run):
                        self._judge_broken(call, stop, run)

    def _judge_broken(self, call: Call, stop: PlannedStop, run: Run) -> None:
        """Count a call that did not end as promised as an exception, or note it."""
        result = self.parts.result
        excuse = excuse_of_stop(stop) or excuse_of_call(
            call, stop, run, result.stood_still, result.slow_answers
        )
        if excuse:
            self.parts.result.excused[excuse] += 1
        else:
            self.parts.result.broken.append(describe_broken(call, stop, run))

    def _run_of(self, call: Call) -> Run:
        """Return what the workers' record holds of a call."""
        site = self.parts.site
        record, killed_s, crashed_s = site.record, site.killed_s, site.crashed_s
        reached = record.workers.get(call.request_id, ())
        lost = [killed_s[w] for w in reached if w in killed_s]
        sent_s = call.at_s + self.began_s
        lost += [at_s for w in reached for at_s in crashed_s.get(w, ()) if at_s >= sent_s]
        lost_s = min(lost, default=float("inf"))
        worked_s = record.worked_s.get(call.request_id, float("-inf"))
        count = record.runs.get(call.request_id, 0)
        may_be_unread = any(
            sent_s - BACK_UNSEEN_S <= at_s <= call.ended_s + self.began_s
            for worker_id, crashed in crashed_s.items()
            if (worker_id in self.parts.site.plain) == (call.kind in ("look", "file"))
            for at_s in crashed
        )
        return Run(count, worked_s - self.began_s, lost_s - self.began_s, may_be_unread)

    def _judge_call(self, call: Call, runs: int) -> None:
        """Note what is wrong with one call, which ran `runs` times at workers."""
        broken = self.parts.result.broken
        if call.fault:
            broken.append(f"answer: {call.request_id} {call.kind} {call.fault}")
        if call.kind == "file" and runs > 1:
            broken.append(f"once: {call.request_id} ran {runs} times")
        if call.kind == "file" and call.status in PROMISES_NOT_RUN and runs:
            broken.append(f"refusal: {call.request_id} got {call.status} and ran")
