"""Rate limits: the requests of all schedulers and daemons together, and exchange of limits."""

import random

import pytest

from ...emulator import max_arrivals
from ...targets import Target
from .. import HallPacer, LeaderlessPacer, LimitReport, RateLimits, decode_limits, hall_share

WINDOW_S = 4.0
STEP_S = 0.01
RATES_PER_S = (0.0, 0.3, 1.0, 1.3, 5.0, 50.0)
TARGET = Target("t", "s", "", "h0", 8)


def limits_of(rate_per_s, now_s=0.0):
    limits = RateLimits()
    limits.note("t", rate_per_s, now_s, now_s)
    return limits


def max_in_window(sent_s):
    sent_s = sorted(sent_s)
    return max(
        (sum(0 <= other - at_s < WINDOW_S for other in sent_s) for at_s in sent_s), default=0
    )


class SimulatedHall:
    """A hall with a scheduler, replaced at each change of leader, and daemons that may lose it."""

    def __init__(self, rate_per_s, number, halls, daemons_of_site):
        self.rate_per_s = rate_per_s
        self.share = hall_share(number == 0, halls)
        self.daemons = [
            LeaderlessPacer(limits_of(rate_per_s), lambda: daemons_of_site)
            for _ in range(daemons_of_site // halls)
        ]
        self.start_leader(0.0)

    def start_leader(self, now_s):
        """Start the scheduler of a new leader."""
        self.pacer = HallPacer(limits_of(self.rate_per_s, now_s), lambda hall: self.share)

    def send(self, now_s, has_leader):
        """Send as many requests as are permitted now; return how many."""
        if not has_leader:
            return sum(self._send_leaderless(daemon, now_s) for daemon in self.daemons)
        if self.pacer.wait_s(TARGET, now_s) > 0:
            return 0
        self.pacer.note_granted(TARGET, now_s)
        return 1

    def _send_leaderless(self, daemon, now_s):
        sent = 0
        while daemon.may_send("t", now_s):
            daemon.note_sent("t", now_s)
            sent += 1
        return sent


@pytest.mark.parametrize("rate_per_s", RATES_PER_S)
@pytest.mark.parametrize("daemons, halls", [(9, 3), (71, 3), (300, 3), (8, 1)])
@pytest.mark.parametrize("seed", range(3))
def test_all_halls_and_daemons_together_keep_to_a_limit_while_leaders_change(
    rate_per_s, daemons, halls, seed
):
    rng = random.Random(seed)
    site = [SimulatedHall(rate_per_s, number, halls, daemons) for number in range(halls)]
    leaderless_periods_s = [(rng.uniform(2, 12), rng.uniform(0.1, 3)) for _ in site]
    sent_s = []
    for step in range(int(20 / STEP_S)):
        now_s = step * STEP_S
        for hall, (from_s, for_s) in zip(site, leaderless_periods_s, strict=True):
            has_leader = not from_s <= now_s < from_s + for_s
            if has_leader and now_s - (from_s + for_s) < STEP_S and now_s >= from_s + for_s:
                hall.start_leader(now_s)
            sent_s += [now_s] * hall.send(now_s, has_leader)
    assert max_in_window(sent_s) <= max_arrivals(rate_per_s)
    assert len(sent_s) >= 0.7 * 20 * rate_per_s * 0.75 - 1


def test_a_new_leader_grants_nothing_before_an_interval_has_passed():
    pacer = HallPacer(limits_of(2.0, 10.0), lambda hall: 1.0)
    assert pacer.wait_s(TARGET, 10.0) == pytest.approx(0.5)
    pacer = HallPacer(limits_of(2.0, 10.0), lambda hall: 0.0)
    assert pacer.wait_s(TARGET, 99.0) == float("inf")


def test_a_raised_limit_applies_at_once_and_an_ended_one_does_not_delay():
    limits = limits_of(0.1)
    pacer = HallPacer(limits, lambda hall: 1.0)
    assert pacer.wait_s(TARGET, 0.0) == pytest.approx(10.0)
    limits.note("t", 50.0, 0.0, 1.0)
    assert pacer.wait_s(TARGET, 1.0) <= 0.2
    limits.note("t", None, 1.5, 2.0)
    assert pacer.wait_s(TARGET, 2.0) == 0.0


def test_the_newer_of_two_reports_counts_in_any_order_of_arrival():
    named, ended = LimitReport("t", 2.0, age_s=1.0), LimitReport("t", None, age_s=0.5)
    for reports in ((named, ended), (ended, named)):
        limits = RateLimits()
        for report in reports:
            limits.merge([report], now_s=10.0)
        assert limits.rate_per_s("t") is None
    assert limits.unknown_to_sender([named], 10.0) == (LimitReport("t", None, 0.5),)
    assert limits.reports(15.0) and not limits.reports(30.0)


def test_a_target_that_is_removed_from_the_list_for_a_time_keeps_its_limit():
    listed = {"t"}
    limits = RateLimits(listed.__contains__)
    limits.note("t", 2.0, 0.0, 0.0)
    listed.clear()
    limits.prune(30.0)
    assert limits.rate_per_s("t") == 2.0 and limits.limited_count == 0
    listed.add("t")
    limits.prune(3600.0)
    assert limits.rate_per_s("t") == 2.0 and limits.limited_count == 1


def test_daemons_do_not_report_the_limit_of_a_removed_target_for_ever():
    daemons = [RateLimits(lambda target_id: False) for _ in range(2)]
    daemons[0].note("t", 2.0, 0.0, 0.0)
    for second in range(80):
        for one, other in (daemons, daemons[::-1]):
            other.merge(one.reports(second), second)
            one.prune(second)
    assert [limits.rate_per_s("t") for limits in daemons] == [None, None]


def test_a_scheduler_that_becomes_leader_again_waits_a_full_interval():
    pacer = HallPacer(limits_of(2.0), lambda hall: 1.0)
    pacer.wait_s(TARGET, 0.0)
    pacer.reset()
    assert pacer.wait_s(TARGET, 9.0) == pytest.approx(0.5)


def test_pacers_remove_targets_without_a_limit_and_old_send_times():
    limits = limits_of(20.0)
    hall, leaderless = HallPacer(limits, lambda hall: 1.0), LeaderlessPacer(limits, lambda: 1)
    hall.wait_s(TARGET, 0.0)
    leaderless.note_sent("t", 0.0)
    leaderless.prune(3.9)
    assert leaderless._sent_s
    leaderless.prune(4.0)
    limits.note("t", None, 1.0, 4.0)
    hall.prune()
    assert not leaderless._sent_s and not hall._next_permitted_s


@pytest.mark.parametrize("fields", [["t"], 3, {"t": 3}, {"t": [1.0]}, {"t": ["x", 1.0]}])
def test_undecodable_limits_are_refused(fields):
    with pytest.raises((TypeError, ValueError)):
        decode_limits(fields)
