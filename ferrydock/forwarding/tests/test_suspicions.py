"""When a silent replica is lost, and what becomes of the requests there."""

import pytest

from ...outcomes import Unavailable, Unreachable
from .._stalls import QUIET_S
from .._suspicions import MAX_SILENCE_S, MAX_UNREACHABLE_S, RECHECK_INTERVAL_S
from .rig import play
from .test_interruptions import ANSWER, KEYS, MEMBER_DEAD, MonitoredReplica

# Time limit for a verdict on a silent replica, with room for two polls.
LOST_WITHIN_S = MAX_SILENCE_S + 2 * RECHECK_INTERVAL_S


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


def test_member_that_no_connection_reaches_is_lost_sooner_than_one_that_is_silent():
    """Failure: a hall with no free slot lacked each replica that lost a member for 1.5 s longer."""

    async def scenario():
        monitored = MonitoredReplica()
        monitored.reports = [Unreachable("no connection")] * 99
        await monitored.steps(QUIET_S + MAX_UNREACHABLE_S - 0.1)
        assert monitored.avoided == {KEYS[0]} and not monitored.lost
        await monitored.steps(2 * RECHECK_INTERVAL_S)
        assert monitored.lost == [KEYS[0]]

    play(scenario)


def test_member_that_is_reached_between_two_failed_connections_is_not_lost_sooner():
    async def scenario():
        monitored = MonitoredReplica()
        monitored.reports = [Unreachable("lost"), Unavailable("silent")] * 9
        await monitored.steps(QUIET_S + MAX_SILENCE_S - 0.1)
        assert monitored.avoided == {KEYS[0]} and not monitored.lost

    play(scenario)


def test_requests_at_a_dead_replica_that_the_leader_reported_first_are_ended():
    """Failure: a follower polled no replica that it avoided by report, and never found it lost."""

    async def scenario():
        monitored = MonitoredReplica()
        monitored.detector.suspicions.report(KEYS[0], MEMBER_DEAD)
        await monitored.steps(QUIET_S + LOST_WITHIN_S)
        assert monitored.lost == [KEYS[0]], f"{monitored.poll_count} polls"

    play(scenario)


def test_requests_at_a_dead_replica_whose_head_is_not_listed_any_more_are_ended():
    """Failure: each suspicion ended with the head's entry, and none led to a verdict."""

    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + 0.1)
        assert monitored.avoided == {KEYS[0]}
        monitored.directory.remove("t0")
        await monitored.steps(LOST_WITHIN_S)
        assert monitored.lost == [KEYS[0]], f"{monitored.poll_count} polls"

    play(scenario)


def test_dead_replica_is_lost_although_the_daemon_pauses_briefly_each_second():
    """Failure: each own pause of 0.1 s began the 1.5 s of silence anew, so they never ended."""

    async def scenario():
        monitored = MonitoredReplica()
        for _ in range(6):
            await monitored.steps(0.9)
            await monitored.step_after(0.1)
        assert monitored.lost == [KEYS[0]], f"{monitored.poll_count} polls"

    play(scenario)


def test_members_that_answer_during_an_own_pause_of_the_daemon_have_answered():
    """Failure: their answers were dropped with the poll, and the replica was avoided for longer."""

    async def scenario():
        monitored = MonitoredReplica()
        await monitored.steps(QUIET_S + 0.1)
        assert monitored.avoided == {KEYS[0]}
        monitored.reports = [ANSWER] * 99
        monitored.pause_during_poll_s = 0.1
        await monitored.steps(2 * RECHECK_INTERVAL_S)
        assert not monitored.avoided, f"{monitored.poll_count} polls"

    play(scenario)
