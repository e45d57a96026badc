"""Spare boxes fetch the weights that they are most likely to need."""

from collections.abc import Iterable

from ..table import Model
from ._draft import Draft
from ._observed import ObservedBox

__all__ = ["prepare_boxes", "prepare_spares"]

FAR_WEIGHT = 0.01


def prepare_spares(draft: Draft) -> None:
    """Have free boxes fetch the weights that their fabric domain most likely needs."""
    fetching = sum(1 for box in draft.prepares if _still_fetching(draft, box))
    free = draft.free()
    for domain in sorted(free):
        model = _likely_model(draft, domain)
        for seen in free[domain]:
            if model is None or fetching >= draft.given.view.site.concurrent_loads:
                break
            if seen.holds(model.name, model.version) or seen.box.name in draft.prepares:
                continue
            prepare_boxes(draft, [seen], model)
            fetching += 1


def prepare_boxes(draft: Draft, boxes: Iterable[ObservedBox], model: Model) -> None:
    """Have boxes fetch a model's weights, unless they were told so before."""
    for seen in boxes:
        before = draft.prepares.get(seen.box.name)
        if before is None or (before.model, before.version) != (model.name, model.version):
            draft.prepare(seen.box.name, model)


def _still_fetching(draft: Draft, box: str) -> bool:
    prepare = draft.prepares[box]
    seen = draft.given.boxes.get(box)
    return seen is not None and not seen.holds(prepare.model, prepare.version)


def _likely_model(draft: Draft, domain: str) -> Model | None:
    """Return the model whose loss would cost this fabric domain most."""
    weights: dict[str, float] = {}
    for replica in draft.replicas.values():
        model = draft.given.view.models.get(replica.model)
        if model is not None:
            near = 1.0 if draft.domain_of(replica) == domain else FAR_WEIGHT
            share = near * 2.0 ** (model.priority - 5) * len(replica.members)
            weights[model.name] = weights.get(model.name, 0.0) + share
    if not weights:
        return None
    return draft.given.view.models[max(weights, key=lambda name: (weights[name], name))]
