"""The controller of a hall's replicas, on virtual time against workers in memory."""

import asyncio
from dataclasses import replace

import pytest

from ...standins.fleet import run_virtually
from ...targets import ReplicaState, Target
from .._order_sender import KnownOrders
from .hall import Hall

ALL_REPLICAS = {"large": 2, "small": 4}


def run_scenario(scenario, *arguments):
    """Run a scenario on virtual time."""
    return run_virtually(scenario(*arguments))


async def hall_with_all_replicas(hall):
    """Return a hall whose replicas all serve."""
    hall.start_controller()
    assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 60.0) is not None
    return hall


def test_forms_all_replicas_and_stages_spares():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(1))
        staged = [w for w in hall.fleet.workers.values() if w.membership is None]
        assert await hall.until(lambda: all(w.staged for w in staged), 30.0) is not None
        assert len(staged) == 4
        for domain, model in (("d0", "large"), ("d1", "small")):
            assert {w.staged[0] for w in staged if w.domain == domain} == {model}
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_workers_that_register_one_by_one_do_not_skew_the_mix_of_models():
    async def scenario():
        hall = Hall(6, domains=0)
        hall.start_controller()
        for domain in ("d1", "d0"):  # d1, last by name, registers first; d0 much later
            for number in range(10):
                hall.fleet.add(f"{domain}-{number}", "hall-a", domain)
                await asyncio.sleep(0.2)
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 60.0) is not None

    run_scenario(scenario)


def foreign_target(number, service, domain=""):
    """Return a target that no worker of the hall has registered."""
    return Target(f"foreign-{number}", service, "127.0.0.1:9", "hall-a", 8, domain=domain)


def test_entries_without_a_domain_form_no_replicas_and_change_no_plan(caplog):
    """Failure: entries that lack what a member needs were ordered to join, and shifted the plan."""

    async def scenario():
        hall = Hall(1)
        await asyncio.sleep(0.1)
        for number in range(12):
            hall.directory.put(foreign_target(number, "engines"))
        await hall_with_all_replicas(hall)
        await asyncio.sleep(30.0)
        assert hall.models() == ALL_REPLICAS
        assert not [line for line in caplog.messages if "foreign" in line]

    run_scenario(scenario)


def test_entries_of_another_service_that_keep_coming_do_not_delay_the_first_replicas():
    """Failure: the first plan waits until the list has been unchanged for a while."""

    async def scenario():
        hall = Hall(1)
        hall.start_controller()
        for number in range(100):
            hall.directory.put(foreign_target(number, "unnamed", "d0"))
            await asyncio.sleep(0.2)
        assert hall.models() == ALL_REPLICAS

    run_scenario(scenario)


def test_entries_of_another_service_that_name_a_replica_are_not_its_members():
    """Failure: a replica with a missing member was cut, as such an entry did not report either."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(1))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        for number, head in enumerate(hall.fleet.open_heads()):
            member = hall.directory.targets[head.members[1]]
            foreign = foreign_target(number, "unnamed", member.domain)
            hall.directory.put(replace(foreign, membership=member.membership))
            hall.list.overwrite(hall.fleet.workers[member.target_id])
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_dead_member_is_replaced_by_a_spare_within_three_seconds():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.kill_worker(head.members[2])
        hall.controller.mark_suspected([head.members[2]], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_with_requests_in_flight_outlasts_a_short_silence_of_a_member():
    """Failure: a leader dissolved it at the first unanswered poll, and its answers were cut."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        head = hall.fleet.open_heads()[0]
        hall.in_flight = {head.worker_id: 1}
        hall.controller.mark_suspected([head.members[1]], "test")
        await asyncio.sleep(1.2)
        hall.controller.end_suspicion([head.members[1]])
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_an_idle_replica_outlasts_a_short_silence_of_a_member_whose_host_is_reached():
    """Failure: its requests had gone elsewhere, so the sound replica was formed anew."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        member_id = hall.fleet.open_heads()[0].members[1]
        hall.controller.mark_suspected([member_id], "test", is_reached=True)
        await asyncio.sleep(1.2)
        hall.controller.end_suspicion([member_id])
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        hall.controller.mark_suspected([member_id], "test", is_reached=True)
        hall.controller.mark_lost([member_id], "test")
        assert await hall.until(lambda: hall.broken, 1.0) is not None

    run_scenario(scenario)


def test_a_replica_with_requests_in_flight_is_replaced_once_a_member_is_lost():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.in_flight = {head.worker_id: 1}
        hall.kill_worker(head.members[2])
        hall.controller.mark_suspected([head.members[2]], "test")
        await asyncio.sleep(0.5)
        assert hall.broken == []
        hall.controller.mark_lost([head.members[2]], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_replicas_of_which_most_are_silent_at_once_are_not_all_formed_anew():
    """Failure: a hall whose workers stood still for a second formed its replicas again."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(2))
        await asyncio.sleep(20.0)
        heads = hall.fleet.open_heads()
        before = {head.group_key for head in heads}
        hall.controller.mark_suspected([head.worker_id for head in heads], "test")
        await asyncio.sleep(1.2)
        hall.controller.end_suspicion([head.worker_id for head in heads])
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_dead_head_is_replaced_by_a_spare_within_three_seconds():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(3))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "large")
        hall.kill_worker(head.worker_id)
        hall.controller.mark_suspected([head.worker_id], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_loss_that_nobody_reports_is_detected_when_the_entry_expires():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(4))
        await asyncio.sleep(30.0)
        head = next(w for w in hall.fleet.open_heads() if w.model == "small")
        hall.kill_worker(head.members[1])
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 7.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_entries_that_expire_and_reappear_dissolve_no_live_replica():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(7))
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

    run_scenario(scenario)


def test_a_head_whose_entry_is_overwritten_finishes_its_requests_and_is_replaced(caplog):
    """Failure: a live replica whose head had no usable entry was cut in the middle of answers."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(5))
        await asyncio.sleep(20.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        key = head.group_key
        hall.list.overwrite(head)
        assert await hall.until(lambda: head.group_key != key, 10.0) is not None
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0) is not None
        assert hall.broken == [] and hall.fleet.violations == []
        text = " ".join(line for line in caplog.messages if head.worker_id in line)
        assert text.index("order=CloseOrder") < text.index("order=LeaveOrder")
        assert f"event=replica_dissolved replica={key[0]} epoch={key[1]} cut=False" in text

    run_scenario(scenario)


@pytest.mark.parametrize("second", [0, 1, 2])
def test_a_member_that_is_missing_after_another_one_was_is_asked_anew(second):
    """Failure: the last report of the time before was too old, and a live replica was cut."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(12))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        for member_id in (head.members[3], head.members[second]):
            member = hall.fleet.workers[member_id]
            hall.list.overwrite(member)
            await asyncio.sleep(0.5)
            hall.list.restore(member)
            await asyncio.sleep(3.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_member_whose_entry_stays_overwritten_keeps_its_replica_and_is_logged_once(caplog):
    """Failure: a line each second, for as long as the entry was there."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(11))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        member = hall.fleet.workers[hall.fleet.open_heads()[0].members[1]]
        hall.list.overwrite(member)
        await asyncio.sleep(60.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        lines = [line for line in caplog.messages if "members_missing" in line]
        assert len(lines) == 1 and f"missing={member.worker_id} alive=True" in lines[0]

    run_scenario(scenario)


def test_a_head_whose_entry_is_back_within_a_second_keeps_its_replica():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(10))
        await asyncio.sleep(20.0)
        before = {head.group_key for head in hall.fleet.open_heads()}
        for head in hall.fleet.open_heads():
            hall.list.overwrite(head)
            await asyncio.sleep(0.5)
            assert head.worker_id not in hall.directory.targets
            hall.list.restore(head)
        await asyncio.sleep(5.0)
        assert {head.group_key for head in hall.fleet.open_heads()} == before
        assert hall.broken == []

    run_scenario(scenario)


def test_a_new_leader_with_an_empty_list_dissolves_no_live_replica():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(9))
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

    run_scenario(scenario)


def test_two_losses_in_one_domain_are_both_replaced():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(8))
        await asyncio.sleep(30.0)
        for head in [h for h in hall.fleet.open_heads() if h.model == "large"]:
            hall.kill_worker(head.members[1])
            hall.controller.mark_suspected([head.members[1]], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_known_number_of_orders_that_is_too_high_is_corrected():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(10))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        for worker in hall.fleet.workers.values():
            known = KnownOrders(worker.orders + 1, worker.group_key)
            hall.controller.order_sender._known[worker.worker_id] = known
        hall.kill_worker(head.members[1])
        hall.controller.mark_suspected([head.members[1]], "test")
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 4.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_with_a_leaving_member_finishes_its_requests_first():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(13))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        leaving = hall.fleet.workers[head.members[1]]
        leaving.draining = True
        hall.list._on_change(leaving)
        assert await hall.until(lambda: leaving.membership is None, 20.0) is not None
        assert await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0) is not None
        assert hall.broken == []  # no request in flight was cut
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_with_a_leaving_member_finishes_a_request_of_eight_seconds():
    """Failure: its members were told to leave after 4 s, which stopped the request."""

    async def scenario():
        hall = await hall_with_all_replicas(Hall(13))
        await asyncio.sleep(30.0)
        hall.fleet.closing_s = 8.0
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        members = [hall.fleet.workers[member_id] for member_id in head.members]
        members[1].draining = True
        hall.list._on_change(members[1])

        def is_closing():
            return head.current_membership.state is ReplicaState.CLOSING

        assert await hall.until(is_closing, 5.0) is not None
        await asyncio.sleep(7.8)
        assert is_closing() and len({member.group_key for member in members}) == 1
        assert await hall.until(lambda: members[1].membership is None, 5.0) is not None
        assert hall.broken == []

    run_scenario(scenario)


def test_an_open_replica_is_not_opened_again_while_its_entry_lags():
    async def scenario():
        hall = Hall(5)
        hall.list.lag_s = 0.8
        await hall_with_all_replicas(hall)
        order_sender = hall.controller.order_sender
        await asyncio.sleep(10.0)
        forming = 16 + 6 + 4  # joins, opens, stagings
        assert order_sender.control.given <= forming + 2

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_late_and_duplicate_orders_break_no_rule_of_the_workers(seed):
    async def scenario():
        hall = Hall(100 + seed)
        hall.fleet.faults.late_share = 0.35
        hall.start_controller()
        await hall.until(lambda: False, 40.0)
        victims = [h for h in hall.fleet.open_heads() if h.model == "large"][:1]
        for head in victims:
            hall.kill_worker(head.members[1])
            hall.controller.mark_suspected([head.members[1]], "test")
        await hall.until(lambda: False, 20.0)
        hall.fleet.faults.late_share = 0.0
        took_s = await hall.until(lambda: sum(hall.models().values()) >= 5, 60.0)
        assert hall.fleet.violations == []
        assert took_s is not None

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(12))
def test_a_new_controller_completes_the_work_of_one_killed_while_forming(seed):
    async def scenario():
        hall = Hall(200 + seed)
        hall.fleet.faults.late_share = 0.15
        hall.start_controller()
        await hall.until(lambda: False, hall.rng.uniform(0.2, 20.0))
        hall.kill_controller()
        await hall.until(lambda: False, hall.rng.uniform(0.0, 3.0))
        hall.start_controller()
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 120.0)
        assert hall.fleet.violations == []
        assert took_s is not None

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(4))
def test_a_controller_with_a_stale_list_takes_no_member_of_an_open_replica(seed):
    async def scenario():
        hall = Hall(300 + seed)
        await asyncio.sleep(0.1)
        empty = tuple(hall.directory.targets.values())
        assert all(target.membership is None for target in empty) and len(empty) == 20
        await hall_with_all_replicas(hall)
        hall.kill_controller()
        hall.following.cancel()  # the directory receives no updates from here on
        hall.directory.replace(empty)
        before = {head.group_key for head in hall.fleet.open_heads()}
        hall.start_controller()
        await hall.until(lambda: False, 20.0)
        assert hall.fleet.violations == []
        # Spares may have formed another replica.
        assert before <= {head.group_key for head in hall.fleet.open_heads()}

    run_scenario(scenario)


def small_heads(hall):
    """Return the open heads of the small model in the order of their names."""
    heads = [h for h in hall.fleet.open_heads() if h.model == "small"]
    return sorted(heads, key=lambda head: head.worker_id)


def kill_and_suspect(hall, worker_id):
    """Kill a worker and let the controller suspect it."""
    hall.kill_worker(worker_id)
    hall.controller.mark_suspected([worker_id], "test")


def test_survivors_form_a_replica_without_a_target_that_must_first_load():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(14))
        await asyncio.sleep(30.0)
        for spare in [w for w in hall.fleet.workers.values() if w.membership is None]:
            kill_and_suspect(hall, spare.worker_id)
        await asyncio.sleep(6.0)
        first, second = small_heads(hall)[:2]
        kill_and_suspect(hall, first.members[1])
        await asyncio.sleep(1.0)
        for number in range(2):  # empty workers register and replace the spares
            hall.fleet.add(f"new-{number}", "hall-a", "d1")
        await asyncio.sleep(1.0)
        kill_and_suspect(hall, second.members[1])
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        await asyncio.sleep(12.0)
        assert all(hall.fleet.workers[f"new-{n}"].staged == ["small"] for n in range(2))
        kill_and_suspect(hall, second.worker_id)  # the new workers, staged by then, replace it
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_is_not_formed_with_a_worker_that_is_still_loading():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(15))
        await asyncio.sleep(30.0)
        for spare in [w for w in hall.fleet.workers.values() if w.membership is None]:
            kill_and_suspect(hall, spare.worker_id)
        await asyncio.sleep(6.0)
        for number in range(2):
            hall.fleet.add(f"new-{number}", "hall-a", "d1")
        await asyncio.sleep(2.0)
        assert all(hall.fleet.workers[f"new-{n}"].staged == ["small"] for n in range(2))
        first, second = small_heads(hall)[:2]
        kill_and_suspect(hall, first.members[1])
        await asyncio.sleep(1.0)
        kill_and_suspect(hall, second.members[1])
        took_s = await hall.until(lambda: hall.models()["small"] == 3, 20.0)
        assert took_s is not None and took_s < 3.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_is_not_formed_with_a_member_that_begins_to_leave():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(16))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        before = set(head.members)
        kill_and_suspect(hall, head.members[1])
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
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 10.0)
        assert took_s is not None and took_s < 3.0
        assert joined.membership is None

    run_scenario(scenario)


def test_spares_of_one_model_load_another_model_that_lacks_a_replica():
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
                kill_and_suspect(hall, worker.worker_id)
        for number in range(2):
            extra = hall.fleet.add(f"extra-{number}", "hall-a", "d0")
            extra.staged = ["large"]
            hall.list._on_change(extra)
        await asyncio.sleep(5.0)
        for head in smalls:
            kill_and_suspect(hall, head.members[1])
            kill_and_suspect(hall, head.worker_id)
        took_s = await hall.until(lambda: hall.models()["small"] >= 1, 30.0)
        assert took_s is not None and took_s < 17.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_is_formed_while_the_list_stands_still():
    async def scenario():
        hall = await hall_with_all_replicas(Hall(18))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        hall.list.lag_s = 30.0  # as while the store is unreachable
        kill_and_suspect(hall, head.members[2])
        took_s = await hall.until(lambda: hall.models() == ALL_REPLICAS, 20.0)
        assert took_s is not None and took_s < 6.0
        assert hall.fleet.violations == []

    run_scenario(scenario)


def test_a_replica_that_could_not_be_formed_is_not_adopted_again(caplog):
    async def scenario():
        hall = await hall_with_all_replicas(Hall(19))
        await asyncio.sleep(30.0)
        head = next(h for h in hall.fleet.open_heads() if h.model == "large")
        for spare in hall.fleet.workers.values():
            if spare.membership is None and "large" in spare.staged:
                spare.staging_until_s = hall.clock.now_s() + 500.0  # never ready within the test
        hall.list.lag_s = 1.5
        caplog.clear()
        kill_and_suspect(hall, head.members[2])
        await hall.until(lambda: False, 15.0)
        assert "replica_not_formed" in caplog.text
        assert "replica_adopted" not in caplog.text
        assert hall.fleet.violations == []

    with caplog.at_level("INFO"):
        run_scenario(scenario)


def test_a_hall_that_has_lost_all_replicas_forms_new_ones_from_empty_targets():
    """Too few survivors hold weights to form a replica, and new targets hold none."""

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

    run_scenario(scenario)
