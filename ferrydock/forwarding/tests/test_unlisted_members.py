"""Members that die and whose entries are removed before their replica serves."""

import pytest

from ...outcomes import Unavailable
from ...targets import Membership, ReplicaState, Target, TargetReport
from .._stalls import QUIET_S
from .rig import play
from .test_interruptions import KEYS, MEMBER_DEAD, MonitoredReplica
from .test_suspicions import LOST_WITHIN_S

SOUND = TargetReport(orders=1, replica=KEYS[0][0], epoch=KEYS[0][1])


class ReplicaWithUnlistedMember(MonitoredReplica):
    """A replica of which one member has no entry any more; `silent` do not answer."""

    def __init__(self, rank=1, domain="d0"):
        super().__init__()
        self.silent = {"t1"}
        joined = Membership(*KEYS[0], rank, ReplicaState.READY)
        self.directory.put(
            Target("t1", "s", "127.0.0.1:2", "h", 9, domain=domain, membership=joined)
        )
        self.directory.remove("t1")

    async def report(self, member, timeout_s):
        await super().report(member, timeout_s)
        return Unavailable("silent") if member.target_id in self.silent else SOUND


def test_a_replica_whose_dead_member_has_no_entry_is_avoided_and_then_lost():
    """Failure: nobody polled that member, and its replica got requests until the leader acted."""

    async def scenario():
        monitored = ReplicaWithUnlistedMember()
        await monitored.steps(QUIET_S + 0.1)
        assert monitored.avoided == {KEYS[0]}
        await monitored.steps(LOST_WITHIN_S)
        assert monitored.lost == [KEYS[0]]

    play(scenario)


def test_a_replica_whose_member_without_an_entry_answers_goes_on_serving():
    async def scenario():
        monitored = ReplicaWithUnlistedMember()
        await monitored.steps(QUIET_S + 0.1)
        monitored.silent.clear()
        await monitored.steps(LOST_WITHIN_S)
        assert not monitored.lost and not monitored.avoided

    play(scenario)


def test_a_replica_that_the_leader_reported_is_not_used_again_without_its_unlisted_member():
    """Failure: only listed members were asked when the report ended, and these answered."""

    async def scenario():
        monitored = ReplicaWithUnlistedMember()
        monitored.detector.suspicions.report(KEYS[0], MEMBER_DEAD)
        monitored.detector.suspicions.withdraw_report(KEYS[0])
        await monitored.steps(LOST_WITHIN_S)
        assert monitored.avoided == {KEYS[0]}

    play(scenario)


@pytest.mark.parametrize(("rank", "domain"), [(0, "d0"), (1, "")])
def test_removed_entries_that_name_a_replica_without_a_place_in_it_are_not_its_members(
    rank, domain
):
    """Failure: a replica would be lost with an entry that another writer made and removed."""

    async def scenario():
        monitored = ReplicaWithUnlistedMember(rank, domain)
        await monitored.steps(QUIET_S + LOST_WITHIN_S)
        assert not monitored.lost and not monitored.avoided

    play(scenario)
