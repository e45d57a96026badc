"""Daemons that lead a hall in turn, each with a target list older than the changes of the others.

Orders get no answer and are carried out seconds later, demand moves, and targets start again under
the same id. A play is repeated by its seed.
"""

import pytest

from ...standins.fleet import run_virtually
from .leaders import Troubles, play

WITHOUT_RESTARTS = Troubles(restarts=False)
WITH_RESTARTS = Troubles()
ORDERS_ANSWERED = Troubles(late_share=0.0)
NEEDLESS_LEAVES_CONFIRMED = Troubles(needless_leave_at_any_number=True)
LATE_REPORTS = Troubles(report_lag_s=0.8)

PLAYS = [
    # A leave without effect was counted: the number was too high.
    pytest.param(WITHOUT_RESTARTS, 22, id="without_restarts-22"),
    pytest.param(WITH_RESTARTS, 65, id="with_restarts-65"),
    # The number was that of an earlier start of the target; in the second one a head that served.
    pytest.param(WITH_RESTARTS, 35, id="with_restarts-35"),
    pytest.param(WITH_RESTARTS, 55, id="with_restarts-55"),
    # A domain formed no replicas any more.
    pytest.param(ORDERS_ANSWERED, 18, id="orders_answered-18"),
    # They catch a sender that keeps numbers past a term and needs no report for a join, under a
    # leader whose list is older than its lease.
    pytest.param(ORDERS_ANSWERED, 148, id="orders_answered-148"),
    pytest.param(ORDERS_ANSWERED, 162, id="orders_answered-162"),
    pytest.param(NEEDLESS_LEAVES_CONFIRMED, 1, id="needless_leaves_confirmed-1"),
    pytest.param(LATE_REPORTS, 1, id="late_reports-1"),
]


@pytest.mark.parametrize("troubles, seed", PLAYS)
def test_leaders_in_turn_keep_the_rules_of_replicas_and_restore_the_hall(troubles, seed):
    """Failure: a target joined a replica while its own served, by a number of an earlier term."""

    async def scenario():
        hall, restored_after_s = await play(seed, troubles)
        assert hall.fleet.violations == []
        assert restored_after_s is not None

    run_virtually(scenario())
