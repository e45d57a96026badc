"""Digests: what two daemons tell each other in one exchange, packed and unpacked."""

from dataclasses import dataclass

from ..engines import Fence
from ..hall import Attestation
from ._exchange_pb2 import Digest
from ._members import DaemonInfo, MemberStatus
from ._state import Contact, ControllerNews, DemandNews, HallSummary, ModelLoad, SharedState

__all__ = ["Needs", "apply_digest", "build_digest"]

AGE_STEP_S = 0.01
NO_STATEMENT = 255
MOST_IN_BYTE = 255


@dataclass(frozen=True, slots=True)
class Needs:
    """What the other side has that this one lacks."""

    table: bool
    placement: bool


def build_digest(state: SharedState, now_s: float, to_hall: str, everything: bool) -> Digest:
    """Return what to tell a daemon of `to_hall`.

    Parameters
    ----------
    state : SharedState
        What this daemon knows.
    now_s : float
        Turns times into ages: clocks of different boxes are not compared.
    to_hall : str
        Hall of the other daemon. Members, attestations and the placement record stay at home.
    everything : bool
        Whether to tell of all members, not only of late changes.
    """
    own = state.members.own
    digest = Digest(
        sender=own.name,
        hall=own.hall,
        table_revision=state.keeper.revision,
    )
    if to_hall == own.hall:
        _add_home_news(digest, state, now_s, everything)
    else:
        _pack_hall(digest.halls.add(), state.own_summary(now_s), now_s)
    for summary in state.summaries_to_tell(now_s, to_hall, everything):
        _pack_hall(digest.halls.add(), summary, now_s)
    return digest


def _add_home_news(digest: Digest, state: SharedState, now_s: float, everything: bool) -> None:
    members = state.members
    for info in members.everyone() if everything else members.rumours(now_s):
        _pack_member(digest.members.add(), info)
    digest.member_set = members.set_hash()
    members.note_revision(members.own.name, state.keeper.revision)
    digest.reached = members.reached_bitmap(state.keeper.revision)
    _pack_fence(digest.placement, state.placement.fence)
    _pack_attestations(digest, state, now_s)
    if state.controller is not None:
        digest.controller.name = state.controller.name
        digest.controller.term = state.controller.term
        digest.controller.age_ms = _age_ms(state.controller.renewed_s, now_s)
    for news in state.demands_to_tell():
        packed = digest.demands.add(name=news.name, age_ms=_age_ms(news.made_s, now_s))
        for share, rate_per_s in news.rates_per_s.items():
            packed.demands.add(share=share, rate_per_s=rate_per_s)


def apply_digest(state: SharedState, digest: Digest, now_s: float, transit_s: float) -> Needs:
    """Take what another daemon told.

    Parameters
    ----------
    state : SharedState
        What this daemon knows.
    digest : Digest
        What the other one knows.
    now_s : float
        When it arrived.
    transit_s : float
        Longest time that it can have been under way; it is added to all ages, so that nothing
        looks fresher than it is.
    """
    sent_s = now_s - transit_s
    if digest.hall == state.hall:
        _apply_home_news(state, digest, now_s, sent_s)
    for packed in digest.halls:
        state.offer_summary(_unpack_hall(packed, sent_s), now_s)
    newer_table = digest.table_revision > state.keeper.revision or (
        digest.table_revision > 0 and not state.keeper.loaded
    )
    newer_record = (
        digest.hall == state.hall and _unpack_fence(digest.placement) > state.placement.fence
    )
    return Needs(newer_table, newer_record)


def _apply_home_news(state: SharedState, digest: Digest, now_s: float, sent_s: float) -> None:
    members = state.members
    for packed in digest.members:
        members.merge(_unpack_member(packed, digest.hall), now_s)
    members.heard_from(digest.sender, now_s)
    members.note_revision(digest.sender, digest.table_revision)
    if digest.member_set == members.set_hash():
        members.merge_bitmap(digest.reached, digest.table_revision)
    state.offer_attestations(_unpack_attestations(state, digest, sent_s))
    if digest.controller.name:
        renewed_s = sent_s - digest.controller.age_ms / 1000
        state.offer_controller(
            ControllerNews(digest.controller.name, digest.controller.term, renewed_s)
        )
    for demand in digest.demands:
        rates = {d.share: d.rate_per_s for d in demand.demands}
        state.offer_demand(DemandNews(demand.name, sent_s - demand.age_ms / 1000, rates))


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
    """Pack one byte a replica for the age, and one each for its load."""
    ages, running, waiting = bytearray(), bytearray(), bytearray()
    for replica_id in sorted(state.placement.replicas):
        replica = state.placement.replicas[replica_id]
        statement = state.attestations.get(replica_id)
        if statement is None or statement.generation != replica.generation:
            ages.append(NO_STATEMENT)
            running.append(0)
            waiting.append(0)
            continue
        ages.append(_age_steps(now_s - statement.probed_s))
        running.append(min(statement.running, MOST_IN_BYTE))
        waiting.append(min(statement.waiting, MOST_IN_BYTE))
    if any(age != NO_STATEMENT for age in ages):
        _pack_fence(digest.attestations.record, state.placement.fence)
        digest.attestations.ages = bytes(ages)
        digest.attestations.running = bytes(running)
        digest.attestations.waiting = bytes(waiting)


def _age_steps(age_s: float) -> int:
    """Return the age in whole steps, rounded up so that nothing grows younger on its way."""
    steps = int(age_s / AGE_STEP_S) + 1
    return steps if steps < NO_STATEMENT else NO_STATEMENT


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
        if age != NO_STATEMENT:
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
