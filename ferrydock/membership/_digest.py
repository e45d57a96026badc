"""Digests: the messages that two daemons send each other in one exchange."""

from dataclasses import dataclass

from ..engines import Fence
from ..hall import Attestation
from ._exchange_pb2 import Digest
from ._members import DaemonInfo, MemberStatus
from ._state import Contact, ControllerUpdate, DemandUpdate, HallSummary, ModelLoad, SharedState

__all__ = ["NewerData", "apply_digest", "build_digest"]

AGE_STEP_S = 0.01
NO_ATTESTATION_BYTE = 255
MAX_BYTE = 255


@dataclass(frozen=True, slots=True)
class NewerData:
    """Whether the peer has a newer table or a newer placement record."""

    table: bool
    placement: bool


def build_digest(state: SharedState, now_s: float, to_hall: str, everything: bool) -> Digest:
    """Return the digest for a daemon of `to_hall`.

    Parameters
    ----------
    state : SharedState
        State to send.
    now_s : float
        Current time, to convert times to ages: clocks of different boxes are not compared.
    to_hall : str
        Hall of the peer. Members, attestations and the placement record are sent only to peers of
        the own hall.
    everything : bool
        Whether to send all members and summaries, not only recent changes.
    """
    own = state.members.own
    digest = Digest(
        sender=own.name,
        hall=own.hall,
        table_revision=state.keeper.revision,
    )
    if to_hall == own.hall:
        _pack_hall_state(digest, state, now_s, everything)
    else:
        _pack_hall(digest.halls.add(), state.summarize_hall(now_s), now_s)
    for summary in state.summaries_to_send(now_s, to_hall, everything):
        _pack_hall(digest.halls.add(), summary, now_s)
    return digest


def _pack_hall_state(digest: Digest, state: SharedState, now_s: float, everything: bool) -> None:
    members = state.members
    for info in members.all_members() if everything else members.recent_changes(now_s):
        _pack_member(digest.members.add(), info)
    digest.member_set = members.live_set_hash()
    members.record_revision(members.own.name, state.keeper.revision)
    digest.reached = members.revision_bitmap(state.keeper.revision)
    _pack_fence(digest.placement, state.placement.fence)
    _pack_attestations(digest, state, now_s)
    if state.controller is not None:
        digest.controller.name = state.controller.name
        digest.controller.term = state.controller.term
        digest.controller.age_ms = _age_ms(state.controller.renewed_s, now_s)
    for demand in state.demands_to_send():
        packed = digest.demands.add(name=demand.name, age_ms=_age_ms(demand.made_s, now_s))
        for share, rate_per_s in demand.rates_per_s.items():
            packed.demands.add(share=share, rate_per_s=rate_per_s)


def apply_digest(state: SharedState, digest: Digest, now_s: float, transit_s: float) -> NewerData:
    """Apply the digest of a peer; return what the peer has newer.

    Parameters
    ----------
    state : SharedState
        State to update.
    digest : Digest
        Digest of the peer.
    now_s : float
        Time of arrival.
    transit_s : float
        Upper bound of the transit time; it is added to all ages, so that no data appears more
        recent than it is.
    """
    sent_s = now_s - transit_s
    if digest.hall == state.hall:
        _apply_hall_state(state, digest, now_s, sent_s)
    for packed in digest.halls:
        state.offer_summary(_unpack_hall(packed, sent_s), now_s)
    newer_table = digest.table_revision > state.keeper.revision or (
        digest.table_revision > 0 and not state.keeper.loaded
    )
    newer_record = (
        digest.hall == state.hall and _unpack_fence(digest.placement) > state.placement.fence
    )
    return NewerData(newer_table, newer_record)


def _apply_hall_state(state: SharedState, digest: Digest, now_s: float, sent_s: float) -> None:
    members = state.members
    for packed in digest.members:
        members.merge(_unpack_member(packed, digest.hall), now_s)
    members.clear_suspicion(digest.sender, now_s)
    members.record_revision(digest.sender, digest.table_revision)
    if digest.member_set == members.live_set_hash():
        members.merge_revision_bitmap(digest.reached, digest.table_revision)
    state.offer_attestations(_unpack_attestations(state, digest, sent_s))
    if digest.controller.name:
        renewed_s = sent_s - digest.controller.age_ms / 1000
        state.offer_controller(
            ControllerUpdate(digest.controller.name, digest.controller.term, renewed_s)
        )
    for demand in digest.demands:
        rates = {d.share: d.rate_per_s for d in demand.demands}
        state.offer_demand(DemandUpdate(demand.name, sent_s - demand.age_ms / 1000, rates))


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, min(2**31, round((now_s - at_s) * 1000)))


def _pack_fence(packed, fence: Fence) -> None:
    packed.term, packed.ballot, packed.order = fence


def _unpack_fence(packed) -> Fence:
    return Fence(packed.term, packed.ballot, packed.order)


def _pack_member(packed, info: DaemonInfo) -> None:
    packed.name = info.name
    packed.incarnation = info.incarnation
    packed.update = info.update
    packed.status = int(info.status)
    packed.peer_address = info.peer_address
    packed.url = info.url
    packed.stopping = info.stopping
    packed.outside_peer_address = info.outside_peer_address
    packed.outside_url = info.outside_url


def _unpack_member(packed, hall: str) -> DaemonInfo:
    return DaemonInfo(
        name=packed.name,
        hall=hall,
        peer_address=packed.peer_address,
        url=packed.url,
        outside_peer_address=packed.outside_peer_address,
        outside_url=packed.outside_url,
        incarnation=packed.incarnation,
        update=packed.update,
        status=MemberStatus(min(packed.status, int(MemberStatus.LEFT))),
        stopping=packed.stopping,
    )


def _pack_attestations(digest: Digest, state: SharedState, now_s: float) -> None:
    """Pack three bytes for each replica: age of its attestation, running and waiting requests."""
    ages, running, waiting = bytearray(), bytearray(), bytearray()
    for replica_id in sorted(state.placement.replicas):
        replica = state.placement.replicas[replica_id]
        attestation = state.attestations.get(replica_id)
        if attestation is None or attestation.generation != replica.generation:
            ages.append(NO_ATTESTATION_BYTE)
            running.append(0)
            waiting.append(0)
            continue
        ages.append(_pack_age(now_s - attestation.probed_s))
        running.append(min(attestation.running, MAX_BYTE))
        waiting.append(min(attestation.waiting, MAX_BYTE))
    if any(age != NO_ATTESTATION_BYTE for age in ages):
        _pack_fence(digest.attestations.record, state.placement.fence)
        digest.attestations.ages = bytes(ages)
        digest.attestations.running = bytes(running)
        digest.attestations.waiting = bytes(waiting)


def _pack_age(age_s: float) -> int:
    """Return the age in steps of `AGE_STEP_S`, rounded up: never less than the actual age."""
    steps = int(age_s / AGE_STEP_S) + 1
    return steps if steps < NO_ATTESTATION_BYTE else NO_ATTESTATION_BYTE


def _unpack_attestations(
    state: SharedState, digest: Digest, sent_s: float
) -> tuple[Attestation, ...]:
    packed = digest.attestations
    if _unpack_fence(packed.record) != state.placement.fence:
        return ()
    found = []
    rows = zip(
        sorted(state.placement.replicas), packed.ages, packed.running, packed.waiting, strict=False
    )
    for replica_id, age, running, waiting in rows:
        if age != NO_ATTESTATION_BYTE:
            generation = state.placement.replicas[replica_id].generation
            probed_s = sent_s - age * AGE_STEP_S
            found.append(Attestation(replica_id, generation, probed_s, running, waiting))
    return tuple(found)


def _pack_hall(packed, summary: HallSummary, now_s: float) -> None:
    packed.hall = summary.hall
    packed.age_ms = _age_ms(summary.made_s, now_s)
    packed.daemons = summary.daemons
    packed.lowest_revision = summary.lowest_revision
    packed.controller = summary.controller
    packed.store_away = summary.store_away
    packed.wanted = summary.wanted
    packed.serving = summary.serving
    for contact in summary.contacts:
        packed.contacts.add(
            name=contact.name,
            peer_address=contact.peer_address,
            url=contact.url,
            table_revision=contact.table_revision,
        )
    for load in summary.models:
        packed.models.add(
            model=load.model, replicas=load.replicas, slots=load.slots, load=load.load
        )
    for share, rate_per_s in summary.demands.items():
        packed.demands.add(share=share, rate_per_s=rate_per_s)


def _unpack_hall(packed, sent_s: float) -> HallSummary:
    return HallSummary(
        hall=packed.hall,
        made_s=sent_s - packed.age_ms / 1000,
        daemons=packed.daemons,
        lowest_revision=packed.lowest_revision,
        contacts=tuple(
            Contact(c.name, c.peer_address, c.url, c.table_revision) for c in packed.contacts
        ),
        models=tuple(ModelLoad(m.model, m.replicas, m.slots, m.load) for m in packed.models),
        controller=packed.controller,
        store_away=packed.store_away,
        wanted=packed.wanted,
        serving=packed.serving,
        demands={d.share: d.rate_per_s for d in packed.demands},
    )
