"""Whether a request that another daemon sends through this one may begin at its target."""

import asyncio
from dataclasses import replace

import pytest

from ...clock import ManualClock
from ...evacuation import EvacuatedHalls
from ...forwarding import SendCheck
from ...scheduling import EndpointCatalog
from ...store import Position
from ...targets import Membership, ReplicaState, Target, TargetDirectory
from .._forwarded_targets import CatalogTargets

HEAD, SECOND = (
    Target(
        f"t{rank}",
        "write",
        f"127.0.0.1:{9000 + rank}",
        "hall-a",
        4,
        membership=Membership("g1", 1, rank, ReplicaState.OPEN),
    )
    for rank in range(2)
)


class Confirmer:
    """Applies a change of the target list while a request waits."""

    def __init__(self, change):
        self.change = change

    async def wait_until_recent(self):
        await asyncio.sleep(0)
        self.change()


def forwarded():
    directory = TargetDirectory()
    for target in (HEAD, SECOND):
        directory.put(target)
    return directory, CatalogTargets(SendCheck(EndpointCatalog(directory)), ManualClock(0.0))


def may_begin(targets):
    return asyncio.run(targets.may_begin(HEAD.address))


def test_request_may_begin_at_a_listed_target():
    _, targets = forwarded()
    assert may_begin(targets)


@pytest.mark.parametrize(
    "change",
    [
        lambda directory: directory.put(replace(HEAD, draining=True)),
        lambda directory: directory.put(replace(SECOND, draining=True)),
        lambda directory: directory.remove(HEAD.target_id),
    ],
)
def test_request_does_not_begin_at_a_target_whose_leaving_is_known_only_once_the_list_is_confirmed(
    change,
):
    directory, targets = forwarded()
    targets.send_check.confirmer = Confirmer(lambda: change(directory))
    assert not may_begin(targets)


def test_request_does_not_begin_in_a_closed_hall():
    _, targets = forwarded()
    clock = ManualClock(0.0)
    targets.catalog.evacuated = evacuated = EvacuatedHalls(("hall-a", "hall-b"), 5.0, clock)
    evacuated.apply_read((), Position(0, 1), clock.now_s())
    evacuated.apply_read(("hall-a",), Position(0, 2), clock.now_s())
    assert may_begin(targets)
    clock.advance(5.0)
    assert not may_begin(targets)
