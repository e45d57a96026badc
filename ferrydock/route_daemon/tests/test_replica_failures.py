"""Peers' reports of avoided replicas, and how long a daemon acts on them."""

import asyncio
from types import SimpleNamespace

import pytest

from ...clock import ManualClock
from ...forwarding import StallDetector, TargetLoads
from ...outcomes import Unavailable
from ...relay import BrokenReplicas
from ...scheduling import EndpointCatalog
from ...targets import Membership, ReplicaState, Target, TargetDirectory, TargetReport
from .._replica_failures import ReplicaFailures

KEY = ("g0", 5)
HEAD = Target("t0", "s", "127.0.0.1:1", "h", 9, membership=Membership(*KEY, 0, ReplicaState.OPEN))
SOUND, SILENT = TargetReport(orders=1, replica=KEY[0], epoch=KEY[1]), Unavailable("silent")

STEP_S = 0.1

# Followers poll their leader at this interval.
RELAY_S = 0.3


class Daemon:
    """What a daemon knows of avoided replicas; no requests are in flight at it."""

    def __init__(self, clock, member_answer, is_leader=False):
        self.clock = clock
        self.member_answer = member_answer
        self.broken = BrokenReplicas()
        directory = TargetDirectory()
        directory.put(HEAD)
        self.catalog = EndpointCatalog(directory)
        attempts = SimpleNamespace(
            selector=SimpleNamespace(catalog=self.catalog),
            loads=TargetLoads(),
            busy_replicas=list,
            attempt_count_at=lambda target_id: 0,
            interrupt=lambda key, reason, may_be_paused: None,
            interrupt_lost=lambda key, reason: None,
        )
        self.stalls = StallDetector(attempts, self, clock, None)
        self.failures = ReplicaFailures(
            self.stalls,
            self.broken,
            (),
            SimpleNamespace(lease=SimpleNamespace(is_valid=is_leader)),
            SimpleNamespace(engine_services=lambda: [SimpleNamespace(name="s")]),
            clock,
        )

    async def report(self, member, timeout_s):
        await asyncio.sleep(0)
        return self.member_answer

    async def pass_time(self, for_s):
        """Run the periodic steps for a time."""
        for _ in range(round(for_s / STEP_S)):
            self.clock.advance(STEP_S)
            await self.stalls.step()
            await self.failures.step()
            for task in list(self.stalls._tasks):
                await task

    def receive_from(self, leader):
        """Receive a reply of the leader, as `relay.RelayClient` does."""
        now_s = self.clock.now_s()
        self.broken.receive_from_leader(leader.broken.to_report(now_s), now_s)


def test_a_sound_replica_reported_while_no_lease_was_held_is_used_again():
    """Failure: a leader between two leases avoided it for ever, and so did its hall's scheduler."""

    async def scenario():
        daemon = Daemon(ManualClock(100.0), SOUND)
        daemon.broken.receive([KEY])  # as `relay.RelayServer` does with a follower's request
        daemon.failures.leadership.lease.is_valid = True
        await daemon.pass_time(20.0)
        assert not daemon.catalog.is_avoided(KEY)

    asyncio.run(scenario())


@pytest.mark.parametrize("reported_for_s", [1.0, 9.0])
def test_a_follower_does_not_use_a_lost_replica_again_when_its_leaders_reports_end(reported_for_s):
    """Failure: a leader reports for 8 s, or until it ends; then followers used it again."""

    async def scenario():
        clock = ManualClock(100.0)
        leader, follower = Daemon(clock, SILENT, is_leader=True), Daemon(clock, SILENT)
        leader.stalls.handle_leader_decision(KEY)
        for _ in range(round(reported_for_s / RELAY_S)):
            follower.receive_from(leader)
            await follower.pass_time(RELAY_S)
        await follower.pass_time(2.0)  # no reply in this time
        assert leader.catalog.is_avoided(KEY)
        assert follower.catalog.is_avoided(KEY)

    asyncio.run(scenario())
