"""Rules on plays whose leaders change, and what such a play draws."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from ...standins.fleet import FleetSite, StoreFaults
from ...targets import JoinOrder, OrderDone
from .. import KINDS, Call, Load, TermCounts, Trouble, draw_demand, draw_terms
from .._store_troubles import HeldLease
from .._terms import (
    LATE_DELAY_S,
    MIN_REQUESTS,
    QUIET_S,
    RECOVERY_S,
    TermMonitor,
    cut_leaders_off,
    describe_unprovoked,
    describe_unserved_at_end,
    hold_lists,
    restart_workers,
)
from .._troubles import TROUBLES

LENGTH_S = 38.0
ENDED_S = 20.0


def calls(served, refused, at_s=ENDED_S + RECOVERY_S):
    statuses = [200] * served + [503] * refused
    return [
        Call(f"r{number}", "look", at_s, "one", status=status, complete=True)
        for number, status in enumerate(statuses)
    ]


@pytest.mark.parametrize("name", ["leader_changes", "late_orders", "restarts", "joins"])
def test_a_play_that_did_not_provoke_a_trouble_has_checked_nothing(name):
    counts = TermCounts(leader_changes=1, late_orders=1, restarts=1, joins=1)
    assert describe_unprovoked(counts) == []
    setattr(counts, name, 0)
    assert len(describe_unprovoked(counts)) == 1


@pytest.mark.parametrize(
    ("sent", "is_broken"),
    [
        (calls(18, 2), False),
        (calls(17, 3), True),
        (calls(MIN_REQUESTS - 1, 0), True),
        (calls(20, 0) + calls(0, 20, ENDED_S + RECOVERY_S - 0.1), False),
        ([], True),
    ],
)
def test_a_site_that_serves_too_few_requests_after_the_troubles_is_reported(sent, is_broken):
    assert bool(describe_unserved_at_end(sent, ENDED_S, lambda call: True)) is is_broken


def test_served_requests_beside_a_stall_of_the_emulation_count_and_refused_ones_do_not():
    """Failure: a play whose emulation stalls all the time at its end has checked nothing."""
    assert not describe_unserved_at_end(calls(20, 20), ENDED_S, lambda call: False)
    assert describe_unserved_at_end(calls(0, 20), ENDED_S, lambda call: False)


def test_leaders_late_orders_and_joins_are_counted():
    async def scenario():
        site = FleetSite(("a",))
        worker = site.fleet.add("w0", "a", "a-d0")
        monitor = TermMonitor(site)
        for holder, lease_id in (("one", 1), ("one", 1), ("one", 2), ("two", 3)):
            monitor._note_lease("a", HeldLease(holder, lease_id))
        site.fleet.faults.late_share = 1.0
        site.fleet.faults.late_from_s = site.fleet.faults.late_to_s = 0.0
        order = JoinOrder("g1", 1, "small", ("w0", "w1"))
        assert site.fleet.order(worker, order, 0) is None
        while not monitor.counts.joins:
            await asyncio.sleep(0)
        site.fleet.faults.late_share = 0.0
        assert site.fleet.order(worker, order, 1) == OrderDone(already=True)
        return monitor.counts

    counts = asyncio.run(scenario())
    assert (counts.terms, counts.leader_changes) == (2, 1)
    assert (counts.late_orders, counts.late_done, counts.joins) == (1, 1, 1)


def test_leaders_are_cut_off_in_turn_and_all_have_the_store_again(monkeypatch):
    """Failure: a play cuts off one daemon all the time, and no other one ever leads."""
    daemons = [SimpleNamespace(name=name) for name in ("one", "two")]
    faces = {d.name: SimpleNamespace(faults=StoreFaults()) for d in daemons}
    downs = []

    def leader_names(parts):
        names = [name for name, face in faces.items() if not face.faults.down]
        downs.extend(face.faults.down for face in faces.values() if face.faults.down)
        return set(names[:1])

    monkeypatch.setattr("ferrydock.emulator._terms.leaders", leader_names)
    monkeypatch.setattr("ferrydock.emulator._terms.CUT_S", (0.05, 0.05))
    monkeypatch.setattr("ferrydock.emulator._terms.LAGGING_CUT_SHARE", 1.0)
    monkeypatch.setattr("ferrydock.emulator._terms.CUT_INTERVAL_S", (0.0, 0.0))

    async def scenario():
        loop = asyncio.get_running_loop()
        parts = SimpleNamespace(
            experiment=SimpleNamespace(seed=1),
            now_s=loop.time,
            daemons_of=lambda hall: daemons,
            store_of=lambda daemon: faces[daemon.name],
            store_disturbances=[],
        )
        done = await cut_leaders_off(parts, Trouble(0.0, "leaders_in_turn", 2, 0.05, "a", "busy"))
        return done, parts.store_disturbances

    done, disturbances = asyncio.run(scenario())
    assert "one" in done and "two" in done
    assert {name for d in disturbances for name in d.daemons} == {"one", "two"}
    assert all(face.faults.lists_held_until_s for face in faces.values())
    assert set(downs) == {"busy"} and not any(face.faults.down for face in faces.values())


def test_workers_crash_while_their_hall_has_no_leader_in_contact(monkeypatch):
    """Failure: each restart is seen by a leader, which then remembers nothing of the old start."""
    monkeypatch.setattr("ferrydock.emulator._terms.UNSEEN_SHARE", 1.0)
    names = iter([{"one"}, {"one"}, set()])
    seen = []

    def leader_names(parts):
        seen.append(next(names, set()))
        return seen[-1]

    monkeypatch.setattr("ferrydock.emulator._terms.leaders", leader_names)
    crashed = []

    async def scenario():
        site = FleetSite(("a",))
        for number in range(4):
            site.fleet.add(f"w{number}", "a", "a-d0")

        def crash_worker(worker):
            worker.alive = False
            crashed.append((worker.worker_id, seen[-1]))

        parts = SimpleNamespace(
            experiment=SimpleNamespace(seed=1, length_s=LENGTH_S),
            now_s=lambda: 0.0,
            daemons_of=lambda hall: [SimpleNamespace(name="one")],
            store_of=lambda daemon: SimpleNamespace(faults=StoreFaults()),
            site=SimpleNamespace(fleet=site.fleet, crash_worker=crash_worker),
        )
        return await restart_workers(parts, Trouble(0.0, "workers_restart", 2, 0.0, "a"))

    done = asyncio.run(scenario())
    assert len(crashed) >= 2 and len(seen) >= 3
    assert all(holders == set() for _, holders in crashed)
    assert done.count("unseen") == len(crashed)


def test_lists_are_held_at_as_many_daemons_as_said_and_the_store_counts_as_reachable():
    daemons = [SimpleNamespace(name=name) for name in ("one", "two", "three")]
    faces = {d.name: SimpleNamespace(faults=StoreFaults()) for d in daemons}

    async def scenario():
        parts = SimpleNamespace(
            rng=random.Random(1),
            daemons_of=lambda hall: daemons,
            store_of=lambda daemon: faces[daemon.name],
            store_disturbances=[],
        )
        await hold_lists(parts, Trouble(0.0, "lists_held", 2, 0.01, "a"))
        return parts.store_disturbances

    (disturbance,) = asyncio.run(scenario())
    held = {name for name, face in faces.items() if face.faults.lists_held_until_s}
    assert len(held) == 2 and disturbance.daemons == held and disturbance.is_reachable


@pytest.mark.parametrize("seed", range(1, 41))
def test_troubles_are_known_and_include_all_that_the_incident_needs(seed):
    drawn = draw_terms(seed, LENGTH_S, ("a", "b"))
    kinds = {spec.kind for spec in drawn}
    assert kinds <= set(KINDS) & set(TROUBLES)
    assert kinds >= {"leaders_in_turn", "orders_very_late", "workers_restart", "lists_held"}
    (orders,) = [spec for spec in drawn if spec.kind == "orders_very_late"]
    assert orders.at_s + orders.for_s + LATE_DELAY_S[1] <= LENGTH_S - QUIET_S + 1e-6


def test_demand_moves_between_the_models_and_leaves_other_requests_alone():
    mix = {"write-large": 1.0, "write-small": 1.0, "look": 2.0}
    load = draw_demand(1, LENGTH_S, Load(10.0, mix))
    *changes, last = load.changes
    assert last.mix == mix
    large = [change.mix["write-large"] > change.mix["write-small"] for change in changes]
    assert len(large) >= 3
    assert all(now is not before for before, now in zip(large, large[1:], strict=False))
    assert {change.mix["look"] for change in changes} == {2.0}
    assert load == draw_demand(1, LENGTH_S, Load(10.0, mix))
