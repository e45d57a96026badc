"""Orders that follow from a placement record, compared with what the boxes say."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..engines import Order, OrderAction
from ..table import TableView
from ._observed import ObservedBox
from ._record import HallPlacement, Replica

__all__ = ["AddressedOrder", "pending_orders"]


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """An order and the box that it is for."""

    box: str
    url: str
    order: Order


def pending_orders(
    placement: HallPlacement, view: TableView, boxes: Mapping[str, ObservedBox]
) -> tuple[AddressedOrder, ...]:
    """Return the orders that boxes in reach have not carried out yet.

    An order is sent until its box says that it stands behind the order's fence. Nothing is
    queued: what a controller would send after a pause follows anew from the record.
    """
    orders = []
    for replica in placement.replicas.values():
        orders += _load_orders(replica, view, boxes)
    for box, fence in placement.releases.items():
        seen = boxes.get(box)
        if seen is not None and seen.present and seen.known_state.fence < fence:
            orders.append(AddressedOrder(box, seen.box.url, Order(fence, OrderAction.RELEASE)))
    for box, prepare in placement.prepares.items():
        seen = boxes.get(box)
        if seen is not None and seen.idle and seen.known_state.fence < prepare.fence:
            model = view.models.get(prepare.model)
            if model is None:
                continue
            order = Order(
                prepare.fence,
                OrderAction.PREPARE,
                model=prepare.model,
                version=prepare.version,
                weight_bytes=model.weight_bytes // model.boxes_per_replica,
            )
            orders.append(AddressedOrder(box, seen.box.url, order))
    return tuple(orders)


def _load_orders(
    replica: Replica, view: TableView, boxes: Mapping[str, ObservedBox]
) -> list[AddressedOrder]:
    model = view.models.get(replica.model)
    weight_bytes = model.weight_bytes // len(replica.members) if model is not None else 0
    order = Order(
        replica.generation,
        OrderAction.LOAD,
        replica.replica_id,
        replica.model,
        replica.version,
        weight_bytes,
        replica.boxes,
        replica.slots,
    )
    found = []
    for member in replica.members:
        seen = boxes.get(member.box)
        if seen is None or not seen.present or seen.known_state.incarnation != member.incarnation:
            continue
        if seen.known_state.fence < replica.generation:
            found.append(AddressedOrder(member.box, member.url, order))
    return found
