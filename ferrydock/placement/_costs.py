"""What waiting and repairing cost, in the site's own objective."""

from dataclasses import dataclass

from ..table import Model, TableView
from ._observed import ObservedBox

__all__ = ["Costs"]

SWITCH_S = 1.0


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs under the table's objective weights.

    Attributes
    ----------
    view : TableView
        Holds the weights of group downtime and of stranded boxes.
    rate_bytes_per_s : float
        What one load gets of the weight store.
    """

    view: TableView
    rate_bytes_per_s: float

    def per_second(self, model: Model, idle_boxes: int) -> float:
        """Return the cost of one second in which a replica is short and boxes stand idle."""
        site = self.view.site
        urgency = 2.0 ** (model.priority - 5)
        return site.downtime_weight * urgency + site.stranded_weight * idle_boxes

    def load_s(self, model: Model, boxes: list[ObservedBox]) -> float:
        """Return how long it takes until all `boxes` hold their part of the weights."""
        part_bytes = model.weight_bytes / model.boxes_per_replica
        to_load = sum(1 for seen in boxes if not seen.holds(model.name, model.version))
        return SWITCH_S + to_load * part_bytes / max(1.0, self.rate_bytes_per_s)
