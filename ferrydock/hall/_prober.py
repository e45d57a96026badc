"""Probes the replicas that fall to this daemon and states which of them are whole."""

import asyncio

from ..clock import Clock
from ..engines import BoxPhase, BoxState, EngineControl
from ..placement import HallPlacement, Member, Replica
from ._attestation import Attestation, Attestations

__all__ = ["Prober", "attest", "member_reports"]


def member_reports(replica: Replica, member: Member, state) -> bool:
    """Return whether a state says that its box serves in `replica` as recorded."""
    return (
        isinstance(state, BoxState)
        and state.box == member.box
        and state.incarnation == member.incarnation
        and state.replica_id == replica.replica_id
        and state.fence == replica.generation
        and state.phase is BoxPhase.READY
        and not state.draining
    )


def attest(replica: Replica, states: list, probed_s: float) -> Attestation | None:
    """Return a statement that `replica` is whole, or None unless every member reports so."""
    pairs = zip(replica.members, states, strict=True)
    if not all(member_reports(replica, member, state) for member, state in pairs):
        return None
    head = states[0]
    return Attestation(replica.replica_id, replica.generation, probed_s, head.running, head.waiting)


class Prober:
    """Reads the state of all members of a replica at once.

    Parameters
    ----------
    control : EngineControl
        Reaches the boxes.
    attestations : Attestations
        Where statements go.
    clock : Clock
        Dates the statements.
    """

    __slots__ = ("attestations", "clock", "control", "probes")

    def __init__(self, control: EngineControl, attestations: Attestations, clock: Clock):
        self.control = control
        self.attestations = attestations
        self.clock = clock
        self.probes = 0

    async def probe(self, placement: HallPlacement, replica_ids: list[str]) -> None:
        """Probe some replicas of a record side by side."""
        wanted = [placement.replicas[i] for i in replica_ids if i in placement.replicas]
        await asyncio.gather(*(self._probe_one(replica) for replica in wanted))

    async def _probe_one(self, replica: Replica) -> None:
        probed_s = self.clock.now_s()
        self.probes += len(replica.members)
        states = await asyncio.gather(
            *(self.control.state(member.url) for member in replica.members)
        )
        statement = attest(replica, list(states), probed_s)
        if statement is not None:
            self.attestations.accept(statement)
        elif any(isinstance(state, BoxState) for state in states):
            self._revoke_if_contradicted(replica, states)

    def _revoke_if_contradicted(self, replica: Replica, states) -> None:
        """Take a statement back at once where a member says something else."""
        for member, state in zip(replica.members, states, strict=True):
            if isinstance(state, BoxState) and not member_reports(replica, member, state):
                self.attestations.revoke(replica.replica_id, replica.generation)
