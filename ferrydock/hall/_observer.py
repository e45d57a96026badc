"""How a controller keeps sight of all boxes of its hall at a bounded cost.

Members of attested replicas are taken as reported by the daemons that probe them. Only boxes
that no fresh statement covers are asked directly: often where something is under way, seldom
where nothing is.
"""

import asyncio
from dataclasses import dataclass, replace

from ..clock import Clock
from ..engines import BoxPhase, BoxState, EngineControl
from ..outcomes import Unavailable
from ..placement import Absence, AbsenceModel, HallPlacement, ObservedBox, Replica, ReplicaPhase
from ..store import Box, BoxList
from ..table import TableView
from ._attestation import Attestations

__all__ = ["HallObserver"]

QUIET_PROBE_S = 2.0
PROBES_AT_ONCE = 64


@dataclass(slots=True)
class _Sighting:
    """What is remembered of one box."""

    box: Box
    state: BoxState | None = None
    heard_s: float = 0.0
    silent_since_s: float | None = None
    idle_since_s: float | None = None
    asked_s: float = -1e9
    listed: bool = True


class HallObserver:
    """Merges box list, attestations and own probes into one picture of a hall.

    Parameters
    ----------
    hall : str
        The hall.
    box_list : BoxList
        The platform's list; it lags, so a box that answers counts whatever the list says.
    control : EngineControl
        Reaches the boxes.
    attestations : Attestations
        Statements of all daemons of the hall.
    absences : AbsenceModel
        Is told how long absences lasted.
    clock : Clock
        Dates what is seen.
    """

    __slots__ = (
        "_drain_quiet",
        "_list_read_s",
        "_sightings",
        "absences",
        "attestations",
        "box_list",
        "clock",
        "control",
        "hall",
        "list_reads",
        "list_unavailable",
        "probes",
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
        self.probes = 0
        self.list_reads = 0
        self.list_unavailable = ""
        self._sightings: dict[str, _Sighting] = {}
        self._drain_quiet: dict[str, float] = {}
        self._list_read_s = -1e9

    async def refresh(self, placement: HallPlacement, list_interval_s: float = 1.0) -> None:
        """Read the box list if it is due, and ask the boxes that need asking."""
        if self.clock.now_s() - self._list_read_s >= list_interval_s:
            await self._read_list(placement)
        self._take_attested(placement)
        due = self._due(placement)
        for start in range(0, len(due), PROBES_AT_ONCE):
            batch = due[start : start + PROBES_AT_ONCE]
            await asyncio.gather(*(self._ask(sighting) for sighting in batch))

    async def _read_list(self, placement: HallPlacement) -> None:
        self._list_read_s = self.clock.now_s()
        self.list_reads += 1
        listed = await self.box_list.fetch(self.hall)
        if isinstance(listed, Unavailable):
            self.list_unavailable = listed.reason
            self._remember_members(placement)
            return
        self.list_unavailable = ""
        names = {box.name for box in listed}
        for box in listed:
            sighting = self._sightings.setdefault(box.name, _Sighting(box))
            sighting.box = box
            sighting.listed = True
        for name, sighting in list(self._sightings.items()):
            if name in names:
                continue
            sighting.listed = False
            if placement.replica_of(name) is None and sighting.silent_since_s is not None:
                del self._sightings[name]
        self._remember_members(placement)

    def _remember_members(self, placement: HallPlacement) -> None:
        """Know the members of recorded replicas even where the list does not name them."""
        for replica in placement.replicas.values():
            for member in replica.members:
                if member.box not in self._sightings:
                    box = Box(member.box, self.hall, _domain_hint(self, replica), member.url)
                    self._sightings[member.box] = _Sighting(box, listed=bool(self.list_unavailable))

    def _take_attested(self, placement: HallPlacement) -> None:
        now_s = self.clock.now_s()
        for replica in placement.replicas.values():
            if not self.attestations.whole(replica, now_s):
                continue
            statement = self.attestations.get(replica.replica_id)
            for member in replica.members:
                sighting = self._sightings.get(member.box)
                if sighting is None or statement is None:
                    continue
                if statement.probed_s > sighting.heard_s:
                    state = _attested_state(replica, member.box, member.incarnation, sighting)
                    self._note(sighting, state, statement.probed_s)

    def _due(self, placement: HallPlacement) -> list[_Sighting]:
        now_s = self.clock.now_s()
        attested = {
            box
            for replica in placement.replicas.values()
            if replica.phase is ReplicaPhase.SERVING and self.attestations.whole(replica, now_s)
            for box in replica.boxes
        }
        placed = {box for replica in placement.replicas.values() for box in replica.boxes}
        busy = placed | placement.releases.keys()
        due = []
        for name, sighting in self._sightings.items():
            quiet = name not in busy and not self._fetching(placement, name, sighting)
            pause_s = QUIET_PROBE_S if quiet and sighting.state is not None else 0.0
            if name not in attested and now_s - sighting.asked_s >= pause_s:
                due.append(sighting)
        return due

    def _fetching(self, placement: HallPlacement, name: str, sighting: _Sighting) -> bool:
        prepare = placement.prepares.get(name)
        if prepare is None:
            return False
        held = sighting.state.held if sighting.state is not None else ()
        return (prepare.model, prepare.version) not in held

    async def _ask(self, sighting: _Sighting) -> None:
        asked_s = self.clock.now_s()
        sighting.asked_s = asked_s
        self.probes += 1
        state = await self.control.state(sighting.box.url)
        if isinstance(state, BoxState) and state.box == sighting.box.name:
            self._note(sighting, state, asked_s)
        elif sighting.silent_since_s is None:
            sighting.silent_since_s = asked_s

    def _note(self, sighting: _Sighting, state: BoxState, at_s: float) -> None:
        if sighting.silent_since_s is not None:
            self.absences.record(Absence.SILENT, max(0.0, at_s - sighting.silent_since_s))
            sighting.silent_since_s = None
        free = state.phase is BoxPhase.IDLE and not state.replica_id
        if not free:
            sighting.idle_since_s = None
        elif sighting.idle_since_s is None:
            sighting.idle_since_s = at_s
        sighting.state = state
        sighting.heard_s = at_s

    def boxes(self, view: TableView) -> dict[str, ObservedBox]:
        """Return the picture as placement decisions take it."""
        now_s = self.clock.now_s()
        return {
            name: self._observed(sighting, view, now_s)
            for name, sighting in sorted(self._sightings.items())
        }

    def _observed(self, sighting: _Sighting, view: TableView, now_s: float) -> ObservedBox:
        name = sighting.box.name
        silent = sighting.silent_since_s
        missing_s = 0.0 if silent is None else max(now_s - silent, 1e-3)
        draining = sighting.state is not None and sighting.state.draining
        idle_since_s = sighting.idle_since_s
        return ObservedBox(
            box=sighting.box,
            state=sighting.state,
            missing_s=missing_s,
            listed=sighting.listed,
            leaving=sighting.box.leaving or draining or view.box_leaving(name),
            checks_orders=view.checks_orders(name),
            idle_s=0.0 if idle_since_s is None or silent is not None else now_s - idle_since_s,
        )

    def drained(self, placement: HallPlacement, quiet_s: float) -> frozenset[str]:
        """Return the draining replicas whose head has reported no work for `quiet_s`."""
        now_s = self.clock.now_s()
        found = set()
        draining = {
            r.replica_id: r for r in placement.replicas.values() if r.phase is ReplicaPhase.DRAINING
        }
        for replica_id in self._drain_quiet.keys() - draining.keys():
            del self._drain_quiet[replica_id]
        for replica_id, replica in draining.items():
            sighting = self._sightings.get(replica.head.box)
            state = sighting.state if sighting is not None else None
            idle = state is not None and state.running == 0 and state.waiting == 0
            if sighting is None or not idle or sighting.silent_since_s is not None:
                self._drain_quiet[replica_id] = now_s
            elif now_s - self._drain_quiet.setdefault(replica_id, now_s) >= quiet_s:
                found.add(replica_id)
        return frozenset(found)


def _domain_hint(observer: HallObserver, replica: Replica) -> str:
    """Return the fabric domain of the replica's other boxes, as far as one is known."""
    for box in replica.boxes:
        sighting = observer._sightings.get(box)
        if sighting is not None:
            return sighting.box.fabric_domain
    return f"domain-of-{replica.head.box}"


def _attested_state(replica: Replica, box: str, incarnation: str, sighting: _Sighting) -> BoxState:
    known = sighting.state
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
