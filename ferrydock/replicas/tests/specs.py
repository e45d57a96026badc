"""Engine and targets of a small service with two models, for tests."""

from ...configuration import EngineSpec, ModelSpec
from ...targets import Membership, ReplicaState, Target


def two_models(loads_per_s=5.0, **fields):
    """Return an engine with a model of four workers and one of two."""
    return EngineSpec(
        slots=9,
        loads_per_s=loads_per_s,
        models=(
            ModelSpec("large", 4, 0.5, 16.0, 1.6),
            ModelSpec("small", 2, 0.5, 12.0, 1.1),
        ),
        **fields,
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


def member(name, key, rank=0, state=ReplicaState.READY, **fields):
    """Return a worker that belongs to the replica with a name and epoch."""
    return worker(name, membership=Membership(*key, rank, state), **fields)
