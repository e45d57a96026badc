"""Costs of waiting and of repairs, weighted by the site's objective."""

from dataclasses import dataclass

from ..table import Model, TableView
from ._observed import ObservedBox

__all__ = ["Costs"]

# Part of a load's duration that does not depend on the weights.
ENGINE_SWITCH_S = 1.0


@dataclass(frozen=True, slots=True)
class Costs:
    """Costs in the units of the objective weights of the table.

    Attributes
    ----------
    view : TableView
        Table with the objective weights of replica downtime and of unused boxes.
    rate_bytes_per_s : float
        Rate at which one load reads from the weight store.
    """

    view: TableView
    rate_bytes_per_s: float

    def cost_per_s(self, model: Model, idle_boxes: int) -> float:
        """Return the cost of one second without a replica of `model` and with unused boxes.

        Each level of priority doubles the cost of the missing replica.
        """
        site = self.view.site
        urgency = 2.0 ** (model.priority - 5)
        return site.downtime_weight * urgency + site.stranded_weight * idle_boxes

    def load_s(self, model: Model, boxes: list[ObservedBox]) -> float:
        """Return the seconds until all `boxes` hold their part of the weights and can serve."""
        part_bytes = model.weight_bytes / model.boxes_per_replica
        load_count = sum(1 for observed in boxes if not observed.holds(model.name, model.version))
        return ENGINE_SWITCH_S + load_count * part_bytes / max(1.0, self.rate_bytes_per_s)
