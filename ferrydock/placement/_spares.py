"""Spare boxes fetch weights ahead of the repairs that they are most likely needed for."""

from collections.abc import Iterable

from ..table import Model
from ._draft import Draft
from ._observed import ObservedBox

__all__ = ["prepare_boxes", "prepare_spares"]

# A replica in another fabric domain counts this much; one in the same domain counts 1.
OTHER_DOMAIN_WEIGHT = 0.01


def prepare_spares(draft: Draft) -> None:
    """Order free boxes to fetch the weights that their fabric domain most likely needs."""
    fetching = sum(1 for box in draft.prepares if _is_fetching(draft, box))
    free_boxes_by_domain = draft.free_boxes_by_domain()
    for domain in sorted(free_boxes_by_domain):
        model = _likely_model(draft, domain)
        for observed in free_boxes_by_domain[domain]:
            if model is None or fetching >= draft.inputs.view.site.concurrent_loads:
                break
            if observed.holds(model.name, model.version) or observed.box.name in draft.prepares:
                continue
            prepare_boxes(draft, [observed], model)
            fetching += 1


def prepare_boxes(draft: Draft, boxes: Iterable[ObservedBox], model: Model) -> None:
    """Order boxes to fetch a model's weights, unless they already have that order."""
    for observed in boxes:
        before = draft.prepares.get(observed.box.name)
        if before is None or (before.model, before.version) != (model.name, model.version):
            draft.prepare(observed.box.name, model)


def _is_fetching(draft: Draft, box: str) -> bool:
    prepare = draft.prepares[box]
    observed = draft.inputs.boxes.get(box)
    return observed is not None and not observed.holds(prepare.model, prepare.version)


def _likely_model(draft: Draft, domain: str) -> Model | None:
    """Return the model that this domain most likely needs, by priority and size of replicas."""
    weights: dict[str, float] = {}
    for replica in draft.replicas.values():
        model = draft.inputs.view.models.get(replica.model)
        if model is not None:
            domain_weight = 1.0 if draft.domain_of(replica) == domain else OTHER_DOMAIN_WEIGHT
            expected_need = domain_weight * 2.0 ** (model.priority - 5) * len(replica.members)
            weights[model.name] = weights.get(model.name, 0.0) + expected_need
    if not weights:
        return None
    return draft.inputs.view.models[max(weights, key=lambda name: (weights[name], name))]
