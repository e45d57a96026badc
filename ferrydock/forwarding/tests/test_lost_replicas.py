"""Replicas that this daemon considers lost, while others find that they serve."""

from ...targets import TargetReport
from .._lost_replicas import CHECK_INTERVAL_S, FIRST_CHECK_AFTER_S
from .rig import play
from .test_interruptions import ANSWER, KEYS, MEMBER_DEAD, MonitoredReplica
from .test_suspicions import LOST_WITHIN_S, QUIET_S

BELONGS = TargetReport(3, *KEYS[0], "open")


async def lost_replica():
    """Return a replica that was silent for so long that it is lost."""
    monitored = MonitoredReplica()
    await monitored.steps(QUIET_S + LOST_WITHIN_S)
    assert monitored.detector.catalog.broken == {KEYS[0]}
    return monitored


def test_a_lost_replica_whose_members_answer_is_used_again():
    """Failure: one daemon never used it again, and had no other replica left for its requests."""

    async def scenario():
        monitored = await lost_replica()
        monitored.reports = [BELONGS] * 99
        await monitored.steps(FIRST_CHECK_AFTER_S + CHECK_INTERVAL_S)
        assert not monitored.avoided

    play(scenario)


def test_a_lost_replica_is_not_used_before_its_leader_has_had_time_to_dissolve_it():
    async def scenario():
        monitored = await lost_replica()
        polls = monitored.poll_count
        monitored.reports = [BELONGS] * 99
        await monitored.steps(FIRST_CHECK_AFTER_S - LOST_WITHIN_S)
        assert monitored.avoided == {KEYS[0]} and monitored.poll_count == polls

    play(scenario)


def test_a_lost_replica_whose_member_belongs_to_another_one_is_not_used_again():
    async def scenario():
        monitored = await lost_replica()
        monitored.reports = [TargetReport(4, "other", 9, "open")] * 99
        await monitored.steps(3 * FIRST_CHECK_AFTER_S)
        assert monitored.avoided == {KEYS[0]}

    play(scenario)


def test_a_lost_replica_is_not_used_while_the_leader_reports_it():
    async def scenario():
        monitored = await lost_replica()
        monitored.detector.suspicions.report(KEYS[0], MEMBER_DEAD)
        monitored.reports = [BELONGS] * 99
        await monitored.steps(3 * FIRST_CHECK_AFTER_S)
        assert monitored.avoided == {KEYS[0]}
        monitored.detector.suspicions.withdraw_report(KEYS[0])
        await monitored.steps(2 * CHECK_INTERVAL_S)
        assert not monitored.avoided

    play(scenario)


def test_a_lost_replica_that_is_not_listed_any_more_is_not_polled():
    async def scenario():
        monitored = await lost_replica()
        monitored.directory.remove("t0")
        polls = monitored.poll_count
        monitored.reports = [ANSWER] * 99
        await monitored.steps(3 * FIRST_CHECK_AFTER_S)
        assert monitored.poll_count == polls and monitored.avoided == {KEYS[0]}

    play(scenario)
