"""What the observer knows of boxes after a time in which it has not observed them."""

from types import SimpleNamespace

from ...placement import HallPlacement, ReplicaPhase
from .._controller import DRAIN_IDLE_S
from .world import HallSimulation, run

GAP_S = 60.0


async def observed_hall():
    """Return a hall whose boxes have been idle for a second, as its observer has seen."""
    simulation = HallSimulation()
    daemon = simulation.daemon()
    observer, placement = daemon.observer, HallPlacement("hall-a")
    await observer.refresh(placement)
    simulation.clock.advance(1.0)
    return simulation, observer, placement


async def observed_box(simulation, observer, placement, name="hall-a-d0-b0"):
    await observer.refresh(placement)
    return observer.boxes(simulation.view)[name]


def test_a_box_is_not_known_to_have_been_idle_while_nobody_observed_it():
    """Failure: a box without fences was joined at once, though it was in a replica meanwhile."""

    async def check():
        simulation, observer, placement = await observed_hall()
        simulation.clock.advance(2.0)
        assert (await observed_box(simulation, observer, placement)).idle_s == 3.0
        simulation.clock.advance(GAP_S)
        assert (await observed_box(simulation, observer, placement)).idle_s == 0.0

    run(check)


def test_a_silent_box_is_not_known_to_have_been_silent_while_nobody_observed_it():
    """Failure: a box that paused twice counted as missing ever since, and was replaced at once."""

    async def check():
        simulation, observer, placement = await observed_hall()
        simulation.clock.advance(2.0)
        simulation.fleet.boxes["hall-a-d0-b0"].pause()
        await observer.refresh(placement)
        simulation.clock.advance(GAP_S)
        assert (await observed_box(simulation, observer, placement)).missing_s < 1.0

    run(check)


def test_a_replica_has_to_drain_anew_after_nobody_observed_it():
    """Failure: requests that other daemons still sent were cut, as it had been idle long ago."""

    async def check():
        simulation, observer, placement = await observed_hall()
        head = SimpleNamespace(box="hall-a-d0-b0")
        draining = SimpleNamespace(replica_id="r", phase=ReplicaPhase.DRAINING, head=head)
        drained = SimpleNamespace(replicas={"r": draining})
        assert observer.drained_replica_ids(drained, DRAIN_IDLE_S) == frozenset()
        simulation.clock.advance(GAP_S)
        await observer.refresh(placement)
        assert observer.drained_replica_ids(drained, DRAIN_IDLE_S) == frozenset()
        simulation.clock.advance(DRAIN_IDLE_S)
        await observer.refresh(placement)
        assert observer.drained_replica_ids(drained, DRAIN_IDLE_S) == {"r"}

    run(check)
