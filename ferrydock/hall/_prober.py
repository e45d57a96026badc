"""Probes the replicas assigned to this daemon and attests those that are complete."""

import asyncio

from ..clock import Clock
from ..engines import BoxPhase, BoxState, EngineControl
from ..placement import HallPlacement, Member, Replica
from ._attestation import Attestation, Attestations

__all__ = ["Prober", "attest", "is_ready_member"]


def is_ready_member(replica: Replica, member: Member, state) -> bool:
    """Return whether a box's state shows it ready as the recorded `member` of `replica`."""
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
    """Return an attestation of `replica`, or None unless every member is ready.

    `states` holds the answers to the probes in the order of the members.
    """
    pairs = zip(replica.members, states, strict=True)
    if not all(is_ready_member(replica, member, state) for member, state in pairs):
        return None
    head = states[0]
    return Attestation(replica.replica_id, replica.generation, probed_s, head.running, head.waiting)


class Prober:
    """Probes all members of a replica at once and stores an attestation if all are ready.

    Parameters
    ----------
    control : EngineControl
        Requests the state of a box.
    attestations : Attestations
        Stores the attestations.
    clock : Clock
        Dates the attestations.
    """

    __slots__ = ("attestations", "clock", "control", "probe_count")

    def __init__(self, control: EngineControl, attestations: Attestations, clock: Clock):
        self.control = control
        self.attestations = attestations
        self.clock = clock
        self.probe_count = 0

    async def probe(self, placement: HallPlacement, replica_ids: list[str]) -> None:
        """Probe the replicas of the record named by `replica_ids` concurrently."""
        replicas = [placement.replicas[i] for i in replica_ids if i in placement.replicas]
        await asyncio.gather(*(self._probe_replica(replica) for replica in replicas))

    async def _probe_replica(self, replica: Replica) -> None:
        probed_s = self.clock.now_s()
        self.probe_count += len(replica.members)
        states = await asyncio.gather(
            *(self.control.state(member.url) for member in replica.members)
        )
        attestation = attest(replica, list(states), probed_s)
        if attestation is not None:
            self.attestations.accept(attestation)
        elif any(isinstance(state, BoxState) for state in states):
            self._revoke_if_contradicted(replica, states)

    def _revoke_if_contradicted(self, replica: Replica, states) -> None:
        """Revoke the attestation if a member answered but is not ready as recorded."""
        for member, state in zip(replica.members, states, strict=True):
            if isinstance(state, BoxState) and not is_ready_member(replica, member, state):
                self.attestations.revoke(replica.replica_id, replica.generation)
