"""Figures of a service with two models, as a small site has it."""

from ...configuration import EngineFigures, ModelFigures
from ...targets import Target


def two_models(loads_per_s=5.0):
    """Return an engine with a model of four workers and one of two."""
    return EngineFigures(
        slots=9,
        kv_tokens=984705,
        step_s=0.0078,
        step_per_request_s=0.00018,
        step_per_token_s=1.8e-8,
        read_tokens_per_s=45900.0,
        read_pair_s=4.3e-10,
        loads_per_s=loads_per_s,
        keeps=1,
        form_s=0.3,
        models=(
            ModelFigures("large", 4, 0.5, 1.0, 16.0, 1.6),
            ModelFigures("small", 2, 0.5, 0.6, 12.0, 1.1),
        ),
    )


def worker(name, domain="d0", **fields):
    """Return an idle worker."""
    return Target(
        target_id=name,
        service="engines",
        address="127.0.0.1:1",
        hall="hall-a",
        slots=9,
        domain=domain,
        **fields,
    )
