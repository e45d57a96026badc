"""Orders derived from a placement record and the states that boxes report."""

from collections.abc import Mapping
from dataclasses import dataclass

from ..engines import Order, OrderAction
from ..table import TableView
from ._observed import ObservedBox
from ._record import HallPlacement, Replica

__all__ = ["AddressedOrder", "pending_orders"]


@dataclass(frozen=True, slots=True)
class AddressedOrder:
    """An order with the name and URL of the box that it is for."""

    box: str
    url: str
    order: Order


def pending_orders(
    placement: HallPlacement, view: TableView, boxes: Mapping[str, ObservedBox]
) -> tuple[AddressedOrder, ...]:
    """Return the orders that answering boxes have not obeyed yet.

    An order is pending until its box reports the order's fence or a higher one. Orders are not
    queued: a controller derives them from the record again in each round, also after a pause.
    """
    orders = []
    for replica in placement.replicas.values():
        orders += _load_orders(replica, view, boxes)
    for box, fence in placement.releases.items():
        observed = boxes.get(box)
        if observed is not None and observed.present and observed.known_state.fence < fence:
            orders.append(AddressedOrder(box, observed.box.url, Order(fence, OrderAction.RELEASE)))
    for box, prepare in placement.prepares.items():
        observed = boxes.get(box)
        if observed is not None and observed.idle and observed.known_state.fence < prepare.fence:
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
            orders.append(AddressedOrder(box, observed.box.url, order))
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
    orders = []
    for member in replica.members:
        observed = boxes.get(member.box)
        if (
            observed is None
            or not observed.present
            or observed.known_state.incarnation != member.incarnation
        ):
            continue
        if observed.known_state.fence < replica.generation:
            orders.append(AddressedOrder(member.box, member.url, order))
    return orders
