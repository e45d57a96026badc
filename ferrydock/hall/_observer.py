"""What the controller of a hall knows of the hall's boxes, at a bounded number of probes.

The state of members of an attested replica follows from the attestation. Only the other boxes are
probed: in every round while they join or leave a replica, fetch weights or have never answered, and
otherwise once per `IDLE_PROBE_INTERVAL_S`.
"""

import asyncio
from dataclasses import dataclass, replace

from ..clock import Clock
from ..engines import BoxPhase, BoxState, EngineControl
from ..outcomes import Unavailable
from ..placement import (
    AbsenceCause,
    AbsenceModel,
    HallPlacement,
    ObservedBox,
    Replica,
    ReplicaPhase,
)
from ..store import Box, BoxList
from ..table import TableView
from ._attestation import Attestations

__all__ = ["HallObserver"]

IDLE_PROBE_INTERVAL_S = 2.0

# After a longer time without a round, in which this daemon did not control the hall or was paused,
# nothing is known of how long boxes have been idle or silent.
MAX_OBSERVATION_GAP_S = 5.0

MAX_CONCURRENT_PROBES = 64


@dataclass(slots=True)
class _BoxEntry:
    """What the observer knows of one box; all times are on the local clock."""

    box: Box
    state: BoxState | None = None
    state_taken_s: float = 0.0
    silent_since_s: float | None = None
    idle_since_s: float | None = None
    last_probe_s: float = -1e9
    listed: bool = True


class HallObserver:
    """Merges the box list, attestations and its own probes into the state of a hall's boxes.

    Parameters
    ----------
    hall : str
        Name of the hall.
    box_list : BoxList
        The platform's list of boxes. It lags, so a box that answers counts as present even if it is
        not listed.
    control : EngineControl
        Requests the state of a box.
    attestations : Attestations
        Attestations by all daemons of the hall.
    absences : AbsenceModel
        Records how long boxes did not answer.
    clock : Clock
        Dates list reads, probes and states.
    """

    __slots__ = (
        "_drain_idle_since_s",
        "_last_list_read_s",
        "_last_refresh_s",
        "_entries",
        "absences",
        "attestations",
        "box_list",
        "clock",
        "control",
        "hall",
        "list_read_count",
        "list_error",
        "probe_count",
    )

    def __init__(
        self,
        hall: str,
        box_list: BoxList,
        control: EngineControl,
        attestations: Attestations,
        absences: AbsenceModel,
        clock: Clock,
    ):
        self.hall = hall
        self.box_list = box_list
        self.control = control
        self.attestations = attestations
        self.absences = absences
        self.clock = clock
        self.probe_count = 0
        self.list_read_count = 0
        self.list_error = ""
        self._entries: dict[str, _BoxEntry] = {}
        self._drain_idle_since_s: dict[str, float] = {}
        self._last_list_read_s = -1e9
        self._last_refresh_s = -1e9

    async def refresh(self, placement: HallPlacement, list_interval_s: float = 1.0) -> None:
        """Read the box list if `list_interval_s` has passed, and probe the boxes that are due."""
        if self.clock.now_s() - self._last_refresh_s > MAX_OBSERVATION_GAP_S:
            self._discard_durations()
        if self.clock.now_s() - self._last_list_read_s >= list_interval_s:
            await self._read_list(placement)
        self._apply_attestations(placement)
        due = self._boxes_to_probe(placement)
        for start in range(0, len(due), MAX_CONCURRENT_PROBES):
            batch = due[start : start + MAX_CONCURRENT_PROBES]
            await asyncio.gather(*(self._probe(entry) for entry in batch))
        self._last_refresh_s = self.clock.now_s()

    def _discard_durations(self) -> None:
        """Discard since when boxes have been idle or silent; it is observed anew."""
        self._drain_idle_since_s.clear()
        for entry in self._entries.values():
            entry.idle_since_s = None
            entry.silent_since_s = None

    async def _read_list(self, placement: HallPlacement) -> None:
        self._last_list_read_s = self.clock.now_s()
        self.list_read_count += 1
        listed = await self.box_list.fetch(self.hall)
        if isinstance(listed, Unavailable):
            self.list_error = listed.reason
            self._add_unlisted_members(placement)
            return
        self.list_error = ""
        listed_names = {box.name for box in listed}
        for box in listed:
            entry = self._entries.setdefault(box.name, _BoxEntry(box))
            entry.box = box
            entry.listed = True
        for name, entry in list(self._entries.items()):
            if name in listed_names:
                continue
            entry.listed = False
            if placement.replica_of(name) is None and entry.silent_since_s is not None:
                del self._entries[name]
        self._add_unlisted_members(placement)

    def _add_unlisted_members(self, placement: HallPlacement) -> None:
        """Add the members of recorded replicas that the box list does not name."""
        for replica in placement.replicas.values():
            for member in replica.members:
                if member.box not in self._entries:
                    box = Box(member.box, self.hall, _guess_domain(self, replica), member.url)
                    self._entries[member.box] = _BoxEntry(box, listed=bool(self.list_error))

    def _apply_attestations(self, placement: HallPlacement) -> None:
        now_s = self.clock.now_s()
        for replica in placement.replicas.values():
            if not self.attestations.is_complete(replica, now_s):
                continue
            attestation = self.attestations.get(replica.replica_id)
            for member in replica.members:
                entry = self._entries.get(member.box)
                if entry is None or attestation is None:
                    continue
                if attestation.probed_s > entry.state_taken_s:
                    state = _attested_state(replica, member.box, member.incarnation, entry)
                    self._store_state(entry, state, attestation.probed_s)

    def _boxes_to_probe(self, placement: HallPlacement) -> list[_BoxEntry]:
        now_s = self.clock.now_s()
        attested = {
            box
            for replica in placement.replicas.values()
            if replica.phase is ReplicaPhase.SERVING
            and self.attestations.is_complete(replica, now_s)
            for box in replica.boxes
        }
        assigned = {box for replica in placement.replicas.values() for box in replica.boxes}
        busy = assigned | placement.releases.keys()
        due = []
        for name, entry in self._entries.items():
            is_idle = name not in busy and not self._is_fetching(placement, name, entry)
            min_interval_s = IDLE_PROBE_INTERVAL_S if is_idle and entry.state is not None else 0.0
            if name not in attested and now_s - entry.last_probe_s >= min_interval_s:
                due.append(entry)
        return due

    def _is_fetching(self, placement: HallPlacement, name: str, entry: _BoxEntry) -> bool:
        prepare = placement.prepares.get(name)
        if prepare is None:
            return False
        held = entry.state.held if entry.state is not None else ()
        return (prepare.model, prepare.version) not in held

    async def _probe(self, entry: _BoxEntry) -> None:
        probed_s = self.clock.now_s()
        entry.last_probe_s = probed_s
        self.probe_count += 1
        state = await self.control.state(entry.box.url)
        if isinstance(state, BoxState) and state.box == entry.box.name:
            self._store_state(entry, state, probed_s)
        elif entry.silent_since_s is None:
            entry.silent_since_s = probed_s

    def _store_state(self, entry: _BoxEntry, state: BoxState, taken_s: float) -> None:
        if entry.silent_since_s is not None:
            self.absences.record(AbsenceCause.SILENT, max(0.0, taken_s - entry.silent_since_s))
            entry.silent_since_s = None
        is_idle = state.phase is BoxPhase.IDLE and not state.replica_id
        if not is_idle:
            entry.idle_since_s = None
        elif entry.idle_since_s is None:
            entry.idle_since_s = taken_s
        entry.state = state
        entry.state_taken_s = taken_s

    def boxes(self, view: TableView) -> dict[str, ObservedBox]:
        """Return the boxes by name, in the form that placement policies take."""
        now_s = self.clock.now_s()
        return {
            name: self._observed_box(entry, view, now_s)
            for name, entry in sorted(self._entries.items())
        }

    def _observed_box(self, entry: _BoxEntry, view: TableView, now_s: float) -> ObservedBox:
        name = entry.box.name
        silent_since_s = entry.silent_since_s
        missing_s = 0.0 if silent_since_s is None else max(now_s - silent_since_s, 1e-3)
        draining = entry.state is not None and entry.state.draining
        idle_since_s = entry.idle_since_s
        return ObservedBox(
            box=entry.box,
            state=entry.state,
            missing_s=missing_s,
            listed=entry.listed,
            leaving=entry.box.leaving or draining or view.box_leaving(name),
            checks_orders=view.checks_orders(name),
            idle_s=0.0
            if idle_since_s is None or silent_since_s is not None
            else now_s - idle_since_s,
        )

    def drained_replica_ids(self, placement: HallPlacement, min_idle_s: float) -> frozenset[str]:
        """Return the draining replicas whose head has reported no requests for `min_idle_s`."""
        now_s = self.clock.now_s()
        drained = set()
        draining = {
            r.replica_id: r for r in placement.replicas.values() if r.phase is ReplicaPhase.DRAINING
        }
        for replica_id in self._drain_idle_since_s.keys() - draining.keys():
            del self._drain_idle_since_s[replica_id]
        for replica_id, replica in draining.items():
            entry = self._entries.get(replica.head.box)
            state = entry.state if entry is not None else None
            idle = state is not None and state.running == 0 and state.waiting == 0
            if entry is None or not idle or entry.silent_since_s is not None:
                self._drain_idle_since_s[replica_id] = now_s
            elif now_s - self._drain_idle_since_s.setdefault(replica_id, now_s) >= min_idle_s:
                drained.add(replica_id)
        return frozenset(drained)


def _guess_domain(observer: HallObserver, replica: Replica) -> str:
    """Return the fabric domain of a known box of the replica, or a placeholder if none is known."""
    for box in replica.boxes:
        entry = observer._entries.get(box)
        if entry is not None:
            return entry.box.fabric_domain
    return f"domain-of-{replica.head.box}"


def _attested_state(replica: Replica, box: str, incarnation: str, entry: _BoxEntry) -> BoxState:
    known = entry.state
    held = known.held if known is not None else ()
    base = known or BoxState(box, incarnation, replica.generation, BoxPhase.READY)
    return replace(
        base,
        incarnation=incarnation,
        fence=replica.generation,
        phase=BoxPhase.READY,
        replica_id=replica.replica_id,
        model=replica.model,
        version=replica.version,
        members=replica.boxes,
        held=held or ((replica.model, replica.version),),
        slots=replica.slots,
    )
