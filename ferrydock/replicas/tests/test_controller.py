"""The controller of a hall's replicas, on virtual time against workers in memory."""

import asyncio

import pytest

from ...standins.fleet import run_virtually
from .._order_sender import KnownOrders
from .hall import Hall

WHOLE = {"large": 2, "small": 4}


def play(scenario, *arguments):
    """Run a scenario on virtual time."""
    return run_virtually(scenario(*arguments))


async def formed(hall):
    """Return a hall whose replicas all serve."""
    hall.start_controller()
    assert await hall.until(lambda: hall.models() == WHOLE, 60.0) is not None
    return hall


def test_forms_all_replicas_and_stages_spares():
    async def scenario():
        hall = await formed(Hall(1))
        staged = [w for w in hall.fleet.workers.values() if w.membership is None]
        assert await hall.until(lambda: all(w.staged for w in staged), 30.0) is not None
        assert len(staged) == 4
        for domain, model in (("d0", "large"), ("d1", "small")):
            assert {w.staged[0] for w in staged if w.domain == domain} == {model}
        assert hall.fleet.violations == []

    play(scenario)


def test_workers_that_show_up_one_by_one_do_not_decide_the_mix():
    async def scenario():
        hall = Hall(6, domains=0)
        hall.start_controller()
        for domain in ("d1", "d0"):  # the last domain shows up first, the other long after
            for number in range(10):
                hall.fleet.add(f"{domain}-{number}", "hall-a", domain)
                await asyncio.sleep(0.2)
        assert await hall.until(lambda: hall.models() == WHOLE, 60.0) is not None

    play(scenario)


def test_a_dead_member_is_replaced_by_a_spare_within_three_seconds():
    async def scenario():
        hall = await formed(Hall(2))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.kill_worker(head.members[2])
        hall.controller.suspect([head.members[2]], "test")
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_dead_head_is_replaced_too():
    async def scenario():
        hall = await formed(Hall(3))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.kill_worker(head.worker_id)
        hall.controller.suspect([head.worker_id], "test")
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_loss_that_nobody_reports_is_seen_when_the_entry_goes():
    async def scenario():
        hall = await formed(Hall(4))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "small")
        hall.kill_worker(head.members[1])
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 7.0
        assert hall.fleet.violations == []

    play(scenario)


def test_entries_that_go_and_come_back_dissolve_nothing_that_lives():
    async def scenario():
        hall = await formed(Hall(7))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        for worker_id in list(hall.directory.targets):
            hall.directory.remove(worker_id)
        for worker in hall.fleet.workers.values():
            await asyncio.sleep(0.1)
            hall.list._on_change(worker)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    play(scenario)


def test_a_new_leader_dissolves_nothing_that_lives():
    async def scenario():
        hall = await formed(Hall(9))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        hall.kill_controller()
        for worker_id in list(hall.directory.targets):
            hall.directory.remove(worker_id)
        hall.start_controller()
        for worker in hall.fleet.workers.values():
            await asyncio.sleep(0.1)
            hall.list._on_change(worker)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before

    play(scenario)


def test_two_losses_in_one_domain_leave_as_many_replicas_as_fit():
    async def scenario():
        hall = await formed(Hall(8))
        await asyncio.sleep(30.0)
        for head in [h for h in hall.fleet.open_heads() if h.model == "large"]:
            hall.kill_worker(head.members[1])
            hall.controller.suspect([head.members[1]], "test")
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_number_of_orders_that_was_counted_too_high_is_put_right():
    async def scenario():
        hall = await formed(Hall(10))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        for worker in hall.fleet.workers.values():
            known = KnownOrders(worker.orders + 1, worker.group_key)
            hall.controller.order_sender._known[worker.worker_id] = known
        hall.kill_worker(head.members[1])
        hall.controller.suspect([head.members[1]], "test")
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 4.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_replica_whose_member_leaves_ends_its_requests_first():
    async def scenario():
        hall = await formed(Hall(13))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        leaving = hall.fleet.workers[head.members[1]]
        leaving.draining = True
        hall.list._on_change(leaving)
        assert await hall.until(lambda: leaving.membership is None, 20.0) is not None
        assert await hall.until(lambda: hall.models() == WHOLE, 20.0) is not None
        assert hall.broken == []  # nothing that runs was broken off
        assert hall.fleet.violations == []

    play(scenario)


def test_an_open_replica_is_not_opened_again_while_its_entry_lags():
    async def scenario():
        hall = Hall(5)
        hall.list.lag_s = 0.8
        await formed(hall)
        order_sender = hall.controller.order_sender
        await asyncio.sleep(10.0)
        forming = 16 + 6 + 4  # joins, opens, stagings
        assert order_sender.control.given <= forming + 2

    play(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_late_and_doubled_orders_break_no_rule(seed):
    async def scenario():
        hall = Hall(100 + seed)
        hall.fleet.faults.late_share = 0.35
        hall.start_controller()
        await hall.until(lambda: False, 40.0)
        victims = [h for h in hall.fleet.open_heads() if h.model == "large"][:1]
        for head in victims:
            hall.kill_worker(head.members[1])
            hall.controller.suspect([head.members[1]], "test")
        await hall.until(lambda: False, 20.0)
        hall.fleet.faults.late_share = 0.0
        took_s = await hall.until(lambda: sum(hall.models().values()) >= 5, 60.0)
        assert hall.fleet.violations == []
        assert took_s is not None

    play(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_a_controller_killed_while_forming_is_taken_over(seed):
    async def scenario():
        hall = Hall(200 + seed)
        hall.fleet.faults.late_share = 0.15
        hall.start_controller()
        await hall.until(lambda: False, hall.rng.uniform(0.2, 20.0))
        hall.kill_controller()
        await hall.until(lambda: False, hall.rng.uniform(0.0, 3.0))
        hall.start_controller()
        took_s = await hall.until(lambda: hall.models() == WHOLE, 120.0)
        assert hall.fleet.violations == []
        assert took_s is not None

    play(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_a_controller_with_an_old_list_takes_no_member_of_an_open_replica(seed):
    async def scenario():
        hall = Hall(300 + seed)
        await asyncio.sleep(0.1)
        empty = tuple(hall.directory.targets.values())
        assert all(target.membership is None for target in empty) and len(empty) == 20
        await formed(hall)
        hall.kill_controller()
        hall.following.cancel()  # from here on no change of an entry arrives
        hall.directory.replace(empty)
        before = {head.group_key for head in hall.fleet.open_heads()}
        hall.start_controller()
        await hall.until(lambda: False, 20.0)
        assert hall.fleet.violations == []
        assert before <= {head.group_key for head in hall.fleet.open_heads()}  # spares may form one

    play(scenario)


def small_heads(hall):
    """Return the open heads of the small model in the order of their names."""
    heads = [h for h in hall.fleet.open_heads() if h.model == "small"]
    return sorted(heads, key=lambda head: head.worker_id)


def lose(hall, worker_id):
    """Let a worker fall silent and the controller hear of it."""
    hall.kill_worker(worker_id)
    hall.controller.suspect([worker_id], "test")


def test_a_survivor_is_not_tied_to_a_target_that_must_first_load():
    async def scenario():
        hall = await formed(Hall(14))
        await asyncio.sleep(30.0)
        for spare in [w for w in hall.fleet.workers.values() if w.membership is None]:
            lose(hall, spare.worker_id)
        await asyncio.sleep(6.0)
        first, second = small_heads(hall)[:2]
        lose(hall, first.members[1])
        await asyncio.sleep(1.0)
        for number in range(2):  # empty workers come, as replacements of the spares
            hall.fleet.add(f"new-{number}", "hall-a", "d1")
        await asyncio.sleep(1.0)
        lose(hall, second.members[1])
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        await asyncio.sleep(12.0)
        assert all(hall.fleet.workers[f"new-{n}"].staged == ["small"] for n in range(2))
        lose(hall, second.worker_id)  # what has come meanwhile stands in for it
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_worker_whose_weights_are_still_loading_is_not_waited_for_in_a_replica():
    async def scenario():
        hall = await formed(Hall(15))
        await asyncio.sleep(30.0)
        for spare in [w for w in hall.fleet.workers.values() if w.membership is None]:
            lose(hall, spare.worker_id)
        await asyncio.sleep(6.0)
        for number in range(2):
            hall.fleet.add(f"new-{number}", "hall-a", "d1")
        await asyncio.sleep(2.0)
        assert all(hall.fleet.workers[f"new-{n}"].staged == ["small"] for n in range(2))
        first, second = small_heads(hall)[:2]
        lose(hall, first.members[1])
        await asyncio.sleep(1.0)
        lose(hall, second.members[1])
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_replica_is_not_formed_with_a_member_that_begins_to_leave():
    async def scenario():
        hall = await formed(Hall(16))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        before = set(head.members)
        lose(hall, head.members[1])
        joined = None
        async with asyncio.timeout(10.0):
            while joined is None:
                joined = next(
                    (
                        w
                        for w in hall.fleet.workers.values()
                        if w.alive
                        and w.membership is not None
                        and w.membership.state.value == "joining"
                        and w.worker_id not in before
                    ),
                    None,
                )
                await asyncio.sleep(0.01)
        joined.draining = True
        hall.list._on_change(joined)
        took_s = await hall.until(lambda: hall.models() == WHOLE, 10.0)
        assert took_s is not None and took_s < 3.0
        assert joined.membership is None

    play(scenario)


def test_spares_of_one_model_are_staged_anew_for_another_that_lacks_them():
    async def scenario():
        hall = Hall(17, domains=1)
        hall.start_controller()
        assert await hall.until(lambda: sum(hall.models().values()) >= 3, 60.0) is not None
        await asyncio.sleep(30.0)
        smalls = [h for h in hall.fleet.open_heads() if h.model == "small"]
        larges = [h for h in hall.fleet.open_heads() if h.model == "large"]
        assert len(smalls) == 2 and len(larges) == 1
        for worker in list(hall.fleet.workers.values()):  # no spare of the small model is left
            if worker.membership is None and "small" in worker.staged:
                lose(hall, worker.worker_id)
        for number in range(2):
            extra = hall.fleet.add(f"extra-{number}", "hall-a", "d0")
            extra.staged = ["large"]
            hall.list._on_change(extra)
        await asyncio.sleep(5.0)
        for head in smalls:
            lose(hall, head.members[1])
            lose(hall, head.worker_id)
        took_s = await hall.until(lambda: hall.models()["small"] >= 1, 30.0)
        assert took_s is not None and took_s < 17.0
        assert hall.fleet.violations == []

    play(scenario)


def test_a_replica_is_formed_while_the_list_stands_still():
    async def scenario():
        hall = await formed(Hall(18))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        hall.list.lag_s = 30.0  # as while the store is away
        lose(hall, head.members[2])
        took_s = await hall.until(lambda: hall.models() == WHOLE, 20.0)
        assert took_s is not None and took_s < 6.0
        assert hall.fleet.violations == []

    play(scenario)


def test_what_was_given_up_while_it_was_formed_is_not_adopted_again(caplog):
    async def scenario():
        hall = await formed(Hall(19))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        for spare in hall.fleet.workers.values():
            if spare.membership is None and "large" in spare.staged:
                spare.staging_until_s = hall.clock.now_s() + 500.0  # it never gets ready
        hall.list.lag_s = 1.5
        caplog.clear()
        lose(hall, head.members[2])
        await hall.until(lambda: False, 15.0)
        assert "replica_not_formed" in caplog.text
        assert "replica_adopted" not in caplog.text
        assert hall.fleet.violations == []

    with caplog.at_level("INFO"):
        play(scenario)


def test_a_hall_that_has_lost_all_replicas_forms_others_from_bare_targets():
    """The survivors hold too few weights for any replica, and new targets hold none."""

    async def scenario():
        hall = Hall(9, domains=1, workers=10)
        hall.start_controller()
        assert await hall.until(lambda: hall.models() == {"large": 1, "small": 2}, 60.0)
        await asyncio.sleep(30.0)
        for worker in list(hall.fleet.workers.values())[1:]:
            hall.kill_worker(worker.worker_id)
        await asyncio.sleep(10.0)
        for number in range(9):
            hall.fleet.add(f"new-{number}", "hall-a", "d0")
        assert await hall.until(lambda: sum(hall.models().values()) >= 2, 60.0) is not None
        assert hall.fleet.violations == []

    play(scenario)
