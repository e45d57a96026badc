"""When a silent replica is lost, and what becomes of the requests there."""

import pytest

from .._suspicions import MAX_SILENCE_S, RECHECK_INTERVAL_S
from .rig import play
from .test_interruptions import ANSWER, MonitoredReplica


@pytest.mark.parametrize("running", [1, 2])
def test_a_replica_that_is_silent_after_a_long_computation_is_not_lost(running):
    """Failure: the time that it had computed, while its members answered, counted as silence."""

    async def scenario():
        monitored = MonitoredReplica(running)
        monitored.reports = [ANSWER] * 9
        await monitored.steps(MAX_SILENCE_S - 0.3)
        assert monitored.poll_count >= 2 and not monitored.avoided
        monitored.reports = []
        await monitored.steps(1.0)
        assert not monitored.lost
        monitored.reports = [ANSWER] * 9
        await monitored.steps(2 * RECHECK_INTERVAL_S)
        assert not monitored.lost and not monitored.avoided

    play(scenario)
